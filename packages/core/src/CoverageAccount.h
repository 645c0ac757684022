#pragma once

#include "SnapshotSelector.h"

#include <vector>

namespace goldcrestkeel {

/** Documents searched for one query on one pinned snapshot. */
class CoverageAccount
{
public:
  explicit CoverageAccount(const SnapshotView& aView);

  /** Counts aDocuments for the shard at aShard. The largest count of a shard
   *  stands; false if it exceeds the documents of the shard. */
  bool Count(std::uint32_t aShard, DocumentCount aDocuments);

  double Fraction() const;
  /** Documents of the shards that have been counted. */
  DocumentCount Searched() const { return m_searched; }
  std::uint32_t ShardsAnswered() const { return m_answered; }

  /** Full report; checks AccurateCoverage. */
  CoverageReport Report() const;

private:
  const SnapshotView* m_view;
  std::vector<DocumentCount> m_documents;
  std::vector<bool> m_counted;
  DocumentCount m_searched = 0;
  std::uint32_t m_answered = 0;
};

} // namespace goldcrestkeel
