#pragma once

#include <string>

namespace goldcrestkeel {

/** An entry host of the deployment, as it announces itself to the others. */
struct HostRecord
{
  std::string m_id;
  std::string m_dataCentre;
  /** "IP:port" at which it accepts relayed requests of other entry hosts; empty
   *  if it accepts none. */
  std::string m_relayAddress;
  /** CPU quota in processor cores; may be a fraction of one core. */
  double m_cores = 1;

  bool operator==(const HostRecord&) const = default;
};

} // namespace goldcrestkeel
