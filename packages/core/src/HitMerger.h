#pragma once

#include <goldcrestkeel/core/QueryEngine.h>

#include <vector>

namespace goldcrestkeel {

/** Merges the hits of all shards, ordered by descending score, then by id. */
class HitMerger
{
public:
  /** Keeps the aLimit hits that follow the first aOffset. */
  HitMerger(std::uint32_t aOffset, std::uint32_t aLimit);

  void Add(std::vector<Hit> aHits);
  /** Returns the page in order and empties the merger. */
  std::vector<Hit> TakePage();

private:
  /** Removes all hits after the end of the page. */
  void Prune();

  std::size_t m_offset;
  /** Offset plus limit. */
  std::size_t m_maxHits;
  std::vector<Hit> m_hits;
};

} // namespace goldcrestkeel
