#include "HitMerger.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace goldcrestkeel {

namespace {

/** Number of hits that triggers pruning, as a multiple of the hits kept. */
constexpr std::size_t kPruneFactor = 8;

bool
RanksBefore(const Hit& aLeft, const Hit& aRight)
{
  if (aLeft.m_score != aRight.m_score) {
    return aLeft.m_score > aRight.m_score;
  }
  return aLeft.m_id < aRight.m_id;
}

} // namespace

HitMerger::HitMerger(std::uint32_t aOffset, std::uint32_t aLimit)
  : m_offset(aOffset)
  , m_maxHits(std::size_t{ aOffset } + aLimit)
{
}

void
HitMerger::Add(std::vector<Hit> aHits)
{
  if (m_hits.empty()) {
    m_hits = std::move(aHits);
  } else {
    m_hits.insert(m_hits.end(),
                  std::make_move_iterator(aHits.begin()),
                  std::make_move_iterator(aHits.end()));
  }
  if (m_hits.size() > kPruneFactor * (m_maxHits + 1)) {
    Prune();
  }
}

void
HitMerger::Prune()
{
  if (m_hits.size() > m_maxHits) {
    const auto end = m_hits.begin() + static_cast<std::ptrdiff_t>(m_maxHits);
    std::nth_element(m_hits.begin(), end, m_hits.end(), RanksBefore);
    m_hits.erase(end, m_hits.end());
  }
}

std::vector<Hit>
HitMerger::TakePage()
{
  Prune();
  std::sort(m_hits.begin(), m_hits.end(), RanksBefore);
  const std::size_t skipped = std::min(m_offset, m_hits.size());
  m_hits.erase(m_hits.begin(),
               m_hits.begin() + static_cast<std::ptrdiff_t>(skipped));
  return std::exchange(m_hits, {});
}

} // namespace goldcrestkeel
