#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace goldcrestkeel {

/** Queue of the keys of updates that still have to be disseminated by gossip.
 *  Each message carries the keys with the fewest transmissions so far; a key
 *  leaves the queue after a limited number of transmissions. */
template<typename Key>
class DisseminationQueue
{
public:
  /** Enqueues aKey, or resets its number of transmissions to 0. */
  void Add(const Key& aKey);
  void Remove(const Key& aKey);
  bool Empty() const { return m_byTransmissions.empty(); }

  /** Calls aAppend(key) in the order of the number of transmissions until it
   *  returns false, which means that the message is full. Each key for which it
   *  returned true counts as transmitted and leaves the queue after
   *  aMaxTransmissions transmissions. */
  template<typename Append>
  void Dequeue(std::uint32_t aMaxTransmissions, Append aAppend);

private:
  std::set<std::pair<std::uint32_t, Key>> m_byTransmissions;
  std::map<Key, std::uint32_t> m_transmissions;
};

template<typename Key>
void
DisseminationQueue<Key>::Add(const Key& aKey)
{
  Remove(aKey);
  m_byTransmissions.emplace(0, aKey);
  m_transmissions.emplace(aKey, 0);
}

template<typename Key>
void
DisseminationQueue<Key>::Remove(const Key& aKey)
{
  const auto found = m_transmissions.find(aKey);
  if (found != m_transmissions.end()) {
    m_byTransmissions.erase({ found->second, aKey });
    m_transmissions.erase(found);
  }
}

template<typename Key>
template<typename Append>
void
DisseminationQueue<Key>::Dequeue(std::uint32_t aMaxTransmissions,
                                 Append aAppend)
{
  std::vector<std::pair<std::uint32_t, Key>> sent;
  for (const auto& entry : m_byTransmissions) {
    if (!aAppend(entry.second)) {
      break;
    }
    sent.push_back(entry);
  }
  for (auto& [count, key] : sent) {
    m_byTransmissions.erase({ count, key });
    if (count + 1 < aMaxTransmissions) {
      m_transmissions[key] = count + 1;
      m_byTransmissions.emplace(count + 1, std::move(key));
    } else {
      m_transmissions.erase(key);
    }
  }
}

} // namespace goldcrestkeel
