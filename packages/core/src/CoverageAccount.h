#pragma once

#include "SnapshotSelector.h"

#include <vector>

namespace goldcrestkeel {

/** Documents searched for one query on one pinned snapshot. */
class CoverageAccount
{
public:
  explicit CoverageAccount(const SnapshotView& aView);

  /** Counts aDocuments for shard aShard. Only the largest count of a shard is
   *  kept. Returns false and counts nothing if aDocuments exceeds the size of
   *  the shard. */
  bool Count(std::uint32_t aShard, DocumentCount aDocuments);

  /** Documents searched over all documents, in [0, 1]. */
  double Fraction() const;
  /** Documents searched, over all shards. */
  DocumentCount Searched() const { return m_searched; }
  std::uint32_t ShardsAnswered() const { return m_answered; }

  /** Returns the full report; checks the invariant AccurateCoverage. */
  CoverageReport Report() const;

private:
  const SnapshotView* m_view;
  std::vector<DocumentCount> m_documents;
  std::vector<bool> m_counted;
  DocumentCount m_searched = 0;
  std::uint32_t m_answered = 0;
};

} // namespace goldcrestkeel
