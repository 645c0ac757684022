#include "ReplicaNotices.h"

#include <algorithm>
#include <array>

namespace goldcrestkeel {

namespace {

constexpr std::array<std::string_view, 2> kReplicaNotices{ "leaving", "rest" };

} // namespace

std::string_view
NameOf(ReplicaNotice aNotice)
{
  return kReplicaNotices.at(static_cast<std::size_t>(aNotice));
}

std::optional<ReplicaNotice>
ReplicaNotices::Update(TimePoint aNow, const ReplicaAnswer& aAnswer)
{
  if (aAnswer.m_restFor) {
    const bool wasResting = IsResting(aNow);
    m_restUntil = std::max(m_restUntil, aNow + *aAnswer.m_restFor);
    if (!wasResting) {
      return ReplicaNotice::Rest;
    }
  }
  if (aAnswer.m_leaving && !m_leavingSince) {
    m_leavingSince = aNow;
    return ReplicaNotice::Leaving;
  }
  return std::nullopt;
}

} // namespace goldcrestkeel
