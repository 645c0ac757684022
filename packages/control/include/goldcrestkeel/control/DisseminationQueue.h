#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace goldcrestkeel {

/** Keys of entries that are still to be spread. Each message takes those sent
 *  least often; a key leaves the queue after a number of transmissions. */
template<typename Key>
class DisseminationQueue
{
public:
  /** Spreads aKey anew. */
  void Add(const Key& aKey);
  void Remove(const Key& aKey);
  bool Empty() const { return m_byCount.empty(); }

  /** Calls aTake(key) for the keys in the order of their transmissions until it
   *  returns false. A taken key leaves the queue after aLimit transmissions. */
  template<typename Take>
  void Drain(std::uint32_t aLimit, Take aTake);

private:
  std::set<std::pair<std::uint32_t, Key>> m_byCount;
  std::map<Key, std::uint32_t> m_counts;
};

template<typename Key>
void
DisseminationQueue<Key>::Add(const Key& aKey)
{
  Remove(aKey);
  m_byCount.emplace(0, aKey);
  m_counts.emplace(aKey, 0);
}

template<typename Key>
void
DisseminationQueue<Key>::Remove(const Key& aKey)
{
  const auto found = m_counts.find(aKey);
  if (found != m_counts.end()) {
    m_byCount.erase({ found->second, aKey });
    m_counts.erase(found);
  }
}

template<typename Key>
template<typename Take>
void
DisseminationQueue<Key>::Drain(std::uint32_t aLimit, Take aTake)
{
  std::vector<std::pair<std::uint32_t, Key>> taken;
  for (const auto& entry : m_byCount) {
    if (!aTake(entry.second)) {
      break;
    }
    taken.push_back(entry);
  }
  for (auto& [count, key] : taken) {
    m_byCount.erase({ count, key });
    if (count + 1 < aLimit) {
      m_counts[key] = count + 1;
      m_byCount.emplace(count + 1, std::move(key));
    } else {
      m_counts.erase(key);
    }
  }
}

} // namespace goldcrestkeel
