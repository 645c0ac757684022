#pragma once

#include <goldcrestkeel/core/QueryEngine.h>

#include <vector>

namespace goldcrestkeel {

/** Keeps the best hits of all shards: highest score first, then by id. */
class HitMerger
{
public:
  /** Keeps aLimit hits after the first aOffset. */
  HitMerger(std::uint32_t aOffset, std::uint32_t aLimit);

  void Add(std::vector<Hit> aHits);
  /** The page, in order. Empties the merger. */
  std::vector<Hit> Take();

private:
  void Prune();

  std::size_t m_offset;
  std::size_t m_keep;
  std::vector<Hit> m_hits;
};

} // namespace goldcrestkeel
