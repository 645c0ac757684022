#pragma once

#include <goldcrestkeel/Net.h>

#include <memory>
#include <string>

namespace goldcrestkeel {

/** All parts of one entry host, wired together. */
class Daemon
{
public:
  /** Throws std::exception if a part cannot be made. */
  explicit Daemon(Settings aSettings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /** Serves until a shutdown has finished. */
  void Run();

  /** Stops gracefully. Any thread; a second call is ignored. */
  void Shutdown();
  /** Puts those settings in force that do not need a restart. Any thread. */
  void Apply(Settings aSettings);

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace goldcrestkeel
