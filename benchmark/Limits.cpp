#include "Benchmark.h"
#include "Simulation.h"

#include <algorithm>
#include <string>

namespace goldcrestkeel::benchmark {

namespace {

constexpr int kChanges = 200;
/** Number of hosts at the start, and its minimum and maximum later. */
constexpr int kInitialHosts = 7;
constexpr int kMinHosts = 3;
constexpr int kMaxHosts = 12;
/** Maximum time until a host receives a membership change. */
constexpr std::uint64_t kMaxPropagationDelayUs = 9500000;
/** Maximum time between two membership changes. */
constexpr std::uint64_t kMaxChangeIntervalUs = 8000000;
/** Connection limit of the replica, which all hosts share. */
constexpr std::uint32_t kConnections = 30;

/** An entry host with its own, delayed copy of the member list. */
struct SimulatedHost
{
  std::unique_ptr<RandomSource> m_random;
  std::unique_ptr<QueryEngine> m_engine;
  std::set<int> m_knownHosts;
  std::uint32_t m_assumedLiveHosts = 1;
  bool m_live = true;
};

/** Simulation of hosts that join and leave. Each change reaches each host after
 *  a separate random delay, so that member lists differ and changes can arrive
 *  out of order. */
class MembershipSimulation
{
public:
  MembershipSimulation(std::uint64_t aSeed, bool aUseEngineShare)
    : m_random(MakeSeededRandom(aSeed))
    , m_useEngineShare(aUseEngineShare)
  {
    for (int host = 0; host < kInitialHosts; ++host) {
      Join(true);
    }
  }

  /** Runs all changes. Returns the number of events after which the live hosts
   *  together could open more connections than the limit. */
  int CountOverLimit()
  {
    ScheduleChanges(kChanges);
    int overLimit = 0;
    while (m_events.RunNext()) {
      overLimit += TotalConnectionShare() > kConnections;
    }
    return overLimit;
  }

private:
  void ScheduleChanges(int aRemaining)
  {
    if (aRemaining == 0) {
      return;
    }
    After(m_random->Below(kMaxChangeIntervalUs), [this, aRemaining] {
      const auto live =
        std::count_if(m_members.begin(),
                      m_members.end(),
                      [](const auto& aItem) { return aItem.second.m_live; });
      const bool join =
        live <= kMinHosts || (live < kMaxHosts && m_random->Below(2) == 0);
      if (join) {
        Join(false);
      } else {
        Leave();
      }
      ScheduleChanges(aRemaining - 1);
    });
  }

  void Join(bool aInitial)
  {
    const int id = m_nextId++;
    SimulatedHost& member = m_members[id];
    member.m_random = MakeSeededRandom(static_cast<std::uint64_t>(id));
    EngineOptions options;
    if (m_useEngineShare && !aInitial) {
      options.m_joinedAt = m_events.Now();
    }
    member.m_engine = MakeQueryEngine(options, *member.m_random);
    ServiceSpec spec;
    spec.m_name = "catalogue";
    spec.m_shards = { "s0" };
    ReplicaSpec replica;
    replica.m_id = "s0-r0";
    replica.m_shard = "s0";
    replica.m_connections = kConnections;
    spec.m_replicas.push_back(replica);
    member.m_engine->SetService(m_events.Now(), spec);
    if (aInitial) {
      for (int host = 0; host < kInitialHosts; ++host) {
        member.m_knownHosts.insert(host);
      }
      UpdateLiveHosts(member);
      return;
    }
    // A new host starts with the member list of another host.
    member.m_knownHosts = FirstLive(id).m_knownHosts;
    member.m_knownHosts.insert(id);
    UpdateLiveHosts(member);
    Announce(id, true);
  }

  void Leave()
  {
    std::vector<int> live;
    for (const auto& [id, member] : m_members) {
      if (member.m_live) {
        live.push_back(id);
      }
    }
    const int departed = live[m_random->Below(live.size())];
    m_members[departed].m_live = false;
    Announce(departed, false);
  }

  SimulatedHost& FirstLive(int aExcept)
  {
    for (auto& [id, member] : m_members) {
      if (member.m_live && id != aExcept) {
        return member;
      }
    }
    return m_members.at(aExcept);
  }

  void Announce(int aHost, bool aJoined)
  {
    for (auto& item : m_members) {
      SimulatedHost& member = item.second;
      After(m_random->Below(kMaxPropagationDelayUs),
            [this, &member, aHost, aJoined] {
              // A join that arrives after the host has left must be ignored.
              if (aJoined && m_members.at(aHost).m_live) {
                member.m_knownHosts.insert(aHost);
              } else {
                member.m_knownHosts.erase(aHost);
              }
              UpdateLiveHosts(member);
            });
    }
  }

  void UpdateLiveHosts(SimulatedHost& aMember)
  {
    aMember.m_assumedLiveHosts = static_cast<std::uint32_t>(
      std::max<std::size_t>(aMember.m_knownHosts.size(), 1));
    aMember.m_engine->SetLiveHosts(m_events.Now(), aMember.m_assumedLiveHosts);
  }

  std::uint32_t TotalConnectionShare()
  {
    std::uint32_t sum = 0;
    for (auto& [id, member] : m_members) {
      if (member.m_live) {
        sum += m_useEngineShare
                 ? member.m_engine->ConnectionShare(m_events.Now(), "s0-r0")
                 : kConnections / member.m_assumedLiveHosts;
      }
    }
    return sum;
  }

  void After(std::uint64_t aMicroseconds, std::function<void()> aAction)
  {
    m_events.After(Duration{ aMicroseconds }, std::move(aAction));
  }

  std::unique_ptr<RandomSource> m_random;
  bool m_useEngineShare;
  testing::EventQueue m_events{ TimePoint(Duration{ 0 }) };
  std::map<int, SimulatedHost> m_members;
  int m_nextId = 0;
};

/** Checks that the live hosts together never exceed the connection limit of a
 *  replica while the membership changes. */
class LimitsBenchmark : public Benchmark
{
public:
  std::string_view Name() const override { return "limits"; }

  /** The baseline divides the limit by the size of the current member list
   *  immediately. */
  std::vector<Figure> Run(std::uint64_t aSeed) override
  {
    return { { "limits.over_cap",
               static_cast<double>(
                 MembershipSimulation(aSeed, true).CountOverLimit()),
               Bound::AtMost,
               0,
               static_cast<double>(
                 MembershipSimulation(aSeed, false).CountOverLimit()) } };
  }
};

LimitsBenchmark sLimits;
const BenchmarkRegistration kLimits(sLimits);

} // namespace

} // namespace goldcrestkeel::benchmark
