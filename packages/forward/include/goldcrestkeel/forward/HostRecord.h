#pragma once

#include <string>

namespace goldcrestkeel {

/** One entry host of the deployment, as it describes itself to the others. */
struct HostRecord
{
  std::string m_id;
  std::string m_dataCentre;
  /** "IP:port" at which it takes requests of other entry hosts; empty if it
   *  takes none. */
  std::string m_relayAddress;
  /** Part of a processor core that it may use. */
  double m_cores = 1;

  bool operator==(const HostRecord&) const = default;
};

} // namespace goldcrestkeel
