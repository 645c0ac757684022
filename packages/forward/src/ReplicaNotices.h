#pragma once

#include <goldcrestkeel/core/Time.h>
#include <goldcrestkeel/forward/Forwarder.h>

#include <optional>

namespace goldcrestkeel {

/** What an instance of a replica has said of itself in its answers. */
class ReplicaNotices
{
public:
  /** Takes the notices of aAnswer; returns the one that is new, if any. */
  std::optional<ReplicaNotice> Update(TimePoint aNow,
                                      const ReplicaAnswer& aAnswer);

  /** When the replica first said that it leaves. */
  std::optional<TimePoint> LeavingSince() const { return m_leavingSince; }
  /** Whether it wants no request at aNow. */
  bool IsResting(TimePoint aNow) const { return aNow < m_restUntil; }

private:
  std::optional<TimePoint> m_leavingSince;
  TimePoint m_restUntil;
};

} // namespace goldcrestkeel
