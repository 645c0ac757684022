#pragma once

#include "LoopbackServer.h"

#include <goldcrestkeel/Edge.h>
#include <goldcrestkeel/Net.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace goldcrestkeel::testing {

/** Address that nothing else listens on. */
std::string
FreeAddress();

/** One route to one service, whose only replica the test plays. */
class OneReplica : public TopologySource
{
public:
  OneReplica(std::string aAddress, bool aIdempotent, bool aHasTable)
    : m_address(std::move(aAddress))
    , m_idempotent(aIdempotent)
    , m_hasTable(aHasTable)
  {
  }

  void Start(TopologyListener& aListener) override;
  void RefreshReplicas() override {}
  void KeepQuarantine(const SuspectReport&) override {}
  std::vector<SharedFeed*> Feeds() override { return {}; }

  /** A table with the route, not indexed. */
  std::shared_ptr<RoutingTable> MakeTable(RoutingVersion aVersion) const;
  /** Passes aTable on. */
  void Apply(std::shared_ptr<RoutingTable> aTable);
  void ApplyHosts(const std::vector<HostRecord>& aHosts)
  {
    m_listener->OnHosts(aHosts);
  }

private:
  std::string m_address;
  bool m_idempotent;
  bool m_hasTable;
  TopologyListener* m_listener = nullptr;
};

/** A caller's connection. */
class Caller
{
public:
  explicit Caller(const std::string& aAddress);
  ~Caller();
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  void Send(const std::string& aBytes) const;
  /** All bytes received so far. */
  const std::string& Received();
  /** Forgets them. */
  void Clear() { m_received.clear(); }

private:
  int m_socket;
  std::string m_received;
};

inline const std::string kHead =
  "GET /lookup/1 HTTP/1.1\r\nHost: shop.example\r\n";

/** A file in memory. */
struct LogFile
{
  LogFile();
  ~LogFile();
  LogFile(const LogFile&) = delete;
  LogFile& operator=(const LogFile&) = delete;

  int m_descriptor;
};

/** An entry host in the thread of the test. */
class ServerFixture
{
public:
  explicit ServerFixture(bool aIdempotent, bool aHasTable = true);

  void RunUntil(const std::function<bool()>& aDone, Duration aLimit);
  void RunFor(Duration aTime)
  {
    RunUntil([] { return false; }, aTime);
  }
  void Shutdown()
  {
    m_server->Shutdown([this] { m_stopped = true; });
  }
  /** The lines that the host has logged. */
  std::string Log();

  LoopbackServer m_replica;
  OneReplica m_source;
  SystemClock m_clock;
  Loop m_loop{ m_clock };
  LogFile m_logFile;
  DecisionLog m_log{ m_loop, m_logFile.m_descriptor, "h1" };
  EdgeSettings m_settings;
  std::optional<EdgeServer> m_server;
  bool m_stopped = false;
};

} // namespace goldcrestkeel::testing
