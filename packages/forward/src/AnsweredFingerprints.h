#pragma once

#include <goldcrestkeel/core/Time.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace goldcrestkeel {

/** Remembers which requests replicas have answered lately, by fingerprint. A
 *  request may displace another one. */
class AnsweredFingerprints
{
public:
  void Add(std::uint64_t aFingerprint, TimePoint aNow)
  {
    m_entries[aFingerprint % kEntries] = { aFingerprint, aNow };
  }
  /** Whether such a request was answered after aTime. */
  bool Contains(std::uint64_t aFingerprint, TimePoint aTime) const
  {
    const Entry& entry = m_entries[aFingerprint % kEntries];
    return entry.m_fingerprint == aFingerprint && entry.m_answeredAt > aTime;
  }

private:
  struct Entry
  {
    std::uint64_t m_fingerprint = 0;
    TimePoint m_answeredAt;
  };
  static constexpr std::size_t kEntries = 8192;

  std::array<Entry, kEntries> m_entries{};
};

} // namespace goldcrestkeel
