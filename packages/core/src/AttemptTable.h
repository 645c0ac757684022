#pragma once

#include "ReplicaTable.h"

#include <goldcrestkeel/core/QueryEngine.h>

#include <vector>

namespace goldcrestkeel {

/** A sub-request in flight. */
struct Attempt
{
  QueryId m_query = 0;
  std::uint32_t m_shard = 0;
  ReplicaIndex m_replica = 0;
  std::uint64_t m_incarnation = 0;
  TimePoint m_sentAt;
  bool m_hedge = false;
};

/** Attempts in flight by id. An id combines a table position and a serial
 *  number, so the id of a finished attempt never matches a later one. */
class AttemptTable
{
public:
  AttemptId Add(const Attempt& aAttempt)
  {
    std::uint32_t position = 0;
    if (m_free.empty()) {
      position = static_cast<std::uint32_t>(m_entries.size());
      m_entries.emplace_back();
    } else {
      position = m_free.back();
      m_free.pop_back();
    }
    const AttemptId id = (++m_serial << kPositionBits) | position;
    m_entries[position] = { id, aAttempt };
    return id;
  }

  Attempt* Find(AttemptId aId)
  {
    const std::size_t position = aId & kPositionMask;
    if (position >= m_entries.size() || m_entries[position].m_id != aId) {
      return nullptr;
    }
    return &m_entries[position].m_attempt;
  }

  void Remove(AttemptId aId)
  {
    const std::size_t position = aId & kPositionMask;
    m_entries[position].m_id = 0;
    m_free.push_back(static_cast<std::uint32_t>(position));
  }

  std::size_t size() const { return m_entries.size() - m_free.size(); }

private:
  /** At most 16 million concurrent attempts; serial numbers last for 10^12
   *  attempts. */
  static constexpr unsigned kPositionBits = 24;
  static constexpr AttemptId kPositionMask =
    (AttemptId{ 1 } << kPositionBits) - 1;

  struct Entry
  {
    AttemptId m_id = 0;
    Attempt m_attempt;
  };

  std::vector<Entry> m_entries;
  std::vector<std::uint32_t> m_free;
  std::uint64_t m_serial = 0;
};

} // namespace goldcrestkeel
