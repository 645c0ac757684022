#pragma once

#include <goldcrestkeel/Forward.h>
#include <goldcrestkeel/testing/EventQueue.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace goldcrestkeel::testing {

/** Size and load of a ForwardFleet. */
struct ForwardFleetOptions
{
  std::size_t m_dataCentres = 3;
  std::size_t m_hostsEach = 2;
  /** Shards of the only route; 0: the route has a single service. Each service
   *  has one replica in each data centre. */
  std::size_t m_shards = 0;
  /** Replicas of each service; 0: one in each data centre. */
  std::size_t m_replicas = 0;
  double m_minShardRatio = 1;
  /** Callers' requests a second over all hosts; 0: only those of Start(). */
  double m_requestRate = 180;
  Duration m_work{ 20000 };
  std::uint32_t m_slots = 3;
  /** Requests that wait at a replica; it refuses more. */
  std::size_t m_queueLimit = 1000000;
  bool m_idempotent = true;
  std::vector<Tenant> m_tenants{};
  Duration m_target{ 250000 };
  Duration m_timeout{ 1000000 };
  unsigned m_seed = 1;
  /** Hosts in all data centres together; 0: m_hostsEach in each. */
  std::size_t m_hosts = 0;
  /** Connections that each replica accepts. */
  std::uint32_t m_connections = 600;
  /** Warm-up of the service, as the routing table has it. */
  Duration m_warmupTime{ 0 };
  double m_warmupPerSecond = 0;
  /** How long a replica is cold after its start, and its service time then,
   *  relative to the usual one. */
  Duration m_coldTime{ 0 };
  double m_coldFactor = 1;
  /** A cold replica that gets more requests than this within one second
   *  crashes, and is back after m_restartTime; 0: it does not. */
  std::size_t m_crashRequests = 0;
  Duration m_restartTime{ 2000000 };
};

/** Hosts that forward the requests of many callers to the same replicas, in
 *  virtual time. Each host has another share of the callers. */
class ForwardFleet
{
public:
  class Host;
  class Replica;

  /** What callers got. */
  struct Outcomes
  {
    std::uint64_t m_requests = 0;
    std::uint64_t m_inTarget = 0;
    std::uint64_t m_late = 0;
    /** Sum of the times until the answers, in target or late. */
    Duration m_answerTime{ 0 };
    /** Refused as not run, and the sum of the time until then. */
    std::uint64_t m_refused = 0;
    Duration m_refusalTime{ 0 };
    std::uint64_t m_failed = 0;
    std::uint64_t m_missingShards = 0;

    Outcomes& operator+=(const Outcomes& aOther);
  };

  /** State of the links from a host to all replicas. */
  enum class Link
  {
    Up,
    /** Nothing arrives in either direction. */
    Silent,
    /** All connections are reset, and new ones are refused. */
    Reset,
    /** New connections are refused, while one open connection to each replica
     *  lives on. */
    NoNewConnections,
    /** New connections are accepted, and reset once they are used; the open one
     *  to every fourth replica lives on. */
    ResetWhenUsed,
  };

  explicit ForwardFleet(const ForwardFleetOptions& aOptions);
  ~ForwardFleet();

  void Run(Duration aTime);
  /** Starts a request of a tenant, nullptr for none; aDone gets its result,
   *  unless it is cancelled. */
  ForwardId Start(std::size_t aHost,
                  const Tenant* aTenant,
                  std::function<void(const ForwardResult&)> aDone);
  void Cancel(std::size_t aHost, ForwardId aRequest);
  const RoutingTable& Table() const { return *m_table; }
  EventQueue& Events() { return m_events; }
  /** The replica of a service in a data centre names a limit from now on, in
   *  requests a second; std::nullopt: it names none any more. */
  void NameLimit(std::size_t aService,
                 std::size_t aDataCentre,
                 std::optional<double> aLimit);
  void SetRequestRate(double aRate) { m_options.m_requestRate = aRate; }
  /** The host stops at once, and another process takes its place. */
  void Restart(std::size_t aHost);
  /** The host does nothing for a while, and what arrives waits. */
  void Pause(std::size_t aHost, Duration aTime);

  /** The replica ends at once. Its entry is still listed. */
  void Crash(std::size_t aService, std::size_t aDataCentre);
  /** It is back: as another, cold instance that the hosts learn of some time
   *  later, or as the same one. */
  void Return(std::size_t aService, std::size_t aDataCentre, bool aIsNew);
  /** It turns cold, and the hosts learn of it some time later. */
  void TurnCold(std::size_t aService, std::size_t aDataCentre);
  /** Sets the evacuated data centres on all hosts, also on those that restart
   *  later. */
  void Evacuate(const std::set<std::string>& aDataCentres);
  std::size_t Crashes() const { return m_crashes; }
  /** Largest number of requests that it got while it was cold within one
   *  second since aFrom, without those answered with 421. */
  std::size_t MostColdRequests(std::size_t aService,
                               std::size_t aDataCentre,
                               TimePoint aFrom) const;
  /** Largest number of requests that it had at a time since the last reset. */
  std::size_t MostQueued(std::size_t aService, std::size_t aDataCentre) const;

  /** Largest number of requests that the replica got within aWindow, from hosts
   *  that had learned its limit 0.5 s before. Counts windows that begin at
   *  aFrom or later. */
  std::size_t MostRequests(std::size_t aService,
                           std::size_t aDataCentre,
                           TimePoint aFrom,
                           Duration aWindow) const;
  /** Requests that the replica got since aFrom. */
  std::size_t RequestsSince(std::size_t aService,
                            std::size_t aDataCentre,
                            TimePoint aFrom) const;
  void SetLink(std::size_t aHost, Link aLink);
  /** What callers of a host got since the last reset. */
  const Outcomes& OutcomesOf(std::size_t aHost) const;
  void ResetOutcomes();
  /** Relays of hosts that reach no replica. */
  std::uint64_t FallbackRelays() const;
  TimePoint Now() const { return m_events.Now(); }
  std::size_t size() const { return m_hosts.size(); }

  /** Since the last reset by the test. */
  Outcomes m_outcomes;

private:
  friend class Host;
  friend class Replica;

  void AddReplicas(const std::vector<std::string>& aServices);
  void ScheduleCaller();
  std::unique_ptr<Host> MakeHost(std::size_t aIndex);
  Replica& ReplicaOf(std::size_t aService, std::size_t aDataCentre) const;
  /** Tells all hosts of the record of a replica, some time later. */
  void ListReplica(const Replica& aReplica);
  Host* HostWithId(const std::string& aId) const;

  ForwardFleetOptions m_options;
  EventQueue m_events{ TimePoint(std::chrono::seconds(100)) };
  std::unique_ptr<RandomSource> m_random;
  std::shared_ptr<RoutingTable> m_table;
  std::vector<HostRecord> m_records;
  /** By service, then by data centre. */
  std::vector<std::unique_ptr<Replica>> m_replicas;
  std::map<std::string, Replica*> m_replicaById;
  std::set<std::string> m_evacuated;
  std::size_t m_crashes = 0;
  std::vector<std::unique_ptr<Host>> m_hosts;
  /** Cumulative shares of the callers, by host. */
  std::vector<double> m_callerShares;
};

} // namespace goldcrestkeel::testing
