#pragma once

#include <goldcrestkeel/core/Time.h>

#include <optional>
#include <string_view>

namespace goldcrestkeel {

/** How fast requests go to a replica. */
enum class ReplicaPace
{
  Usual,
  SlowStart,
  /** It warms up. */
  Cold,
};

std::string_view
NameOf(ReplicaPace aPace);

/** The pace of a replica changes, for the log. The views are valid only during
 *  LogReplicaPace(). */
struct ReplicaPaceReport
{
  ReplicaPace m_pace = ReplicaPace::Usual;
  std::string_view m_service;
  std::string_view m_replica;
  std::string_view m_reason;
  /** Cold: requests a second from all hosts together. SlowStart: concurrent
   *  requests of this host. Not set if there is no limit. */
  std::optional<double> m_limit{};
  /** How long the replica stays cold. */
  Duration m_left{ 0 };
  /** Time since its last answer or, before the first one, since discovery. */
  Duration m_age{ 0 };
};

} // namespace goldcrestkeel
