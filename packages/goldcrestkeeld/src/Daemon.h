#pragma once

#include <goldcrestkeel/Net.h>

#include <memory>
#include <string>

namespace goldcrestkeel {

/** Creates and connects the components of one entry host. */
class Daemon
{
public:
  /** Throws std::exception if a component cannot be created. */
  explicit Daemon(Settings aSettings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /** Serves until a shutdown has finished. Throws std::exception if the host
   *  cannot listen or the services file is not valid. */
  void Run();

  /** Starts a graceful shutdown: drains the host, then hands over its key
   *  ranges and stops. Any thread. Further calls have no effect. */
  void Shutdown();
  /** Applies the settings that do not need a restart and logs a warning for
   *  each changed one that does. Any thread. */
  void Apply(Settings aSettings);

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace goldcrestkeel
