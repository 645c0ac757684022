#include "Benchmark.h"
#include "Simulation.h"

#include <algorithm>
#include <string>

namespace goldcrestkeel::benchmark {

namespace {

constexpr int kChanges = 200;
/** Hosts when the changes start, and the fewest and most during them. */
constexpr int kHosts = 7;
constexpr int kFewest = 3;
constexpr int kMost = 12;
/** Largest time after which a host learns of a change, in microseconds. */
constexpr std::uint64_t kLag = 9500000;
constexpr std::uint64_t kPause = 8000000;
constexpr std::uint32_t kConnections = 30;

/** An entry host with its own, lagging view of the member list. */
struct Member
{
  std::unique_ptr<RandomSource> m_random;
  std::unique_ptr<QueryEngine> m_engine;
  std::set<int> m_view;
  std::uint32_t m_believed = 1;
  bool m_live = true;
};

/** Hosts come and go. Each one learns of each change after a time of its own,
 *  so that the views differ and changes can arrive in another order. */
class Membership
{
public:
  Membership(std::uint64_t aSeed, bool aCareful)
    : m_random(MakeSeededRandom(aSeed))
    , m_careful(aCareful)
  {
    for (int host = 0; host < kHosts; ++host) {
      Join(true);
    }
  }

  /** Checks at which the hosts could use more than the cap. */
  int OverCap()
  {
    Plan(kChanges);
    int over = 0;
    while (!m_events.empty()) {
      const auto event = m_events.begin();
      m_now = event->first;
      const std::function<void()> action = event->second;
      m_events.erase(event);
      action();
      over += Sum() > kConnections;
    }
    return over;
  }

private:
  void Plan(int aLeft)
  {
    if (aLeft == 0) {
      return;
    }
    After(m_random->Below(kPause), [this, aLeft] {
      const auto live =
        std::count_if(m_members.begin(),
                      m_members.end(),
                      [](const auto& aItem) { return aItem.second.m_live; });
      const bool join =
        live <= kFewest || (live < kMost && m_random->Below(2) == 0);
      if (join) {
        Join(false);
      } else {
        Leave();
      }
      Plan(aLeft - 1);
    });
  }

  void Join(bool aFirst)
  {
    const int id = m_next++;
    Member& member = m_members[id];
    member.m_random = MakeSeededRandom(static_cast<std::uint64_t>(id));
    EngineOptions options;
    if (m_careful && !aFirst) {
      options.m_joinedAt = m_now;
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
    member.m_engine->SetService(m_now, spec);
    if (aFirst) {
      for (int host = 0; host < kHosts; ++host) {
        member.m_view.insert(host);
      }
      Update(member);
      return;
    }
    // The new host starts with the list of another one.
    member.m_view = FirstLive(id).m_view;
    member.m_view.insert(id);
    Update(member);
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
    const int gone = live[m_random->Below(live.size())];
    m_members[gone].m_live = false;
    Announce(gone, false);
  }

  Member& FirstLive(int aExcept)
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
      Member& member = item.second;
      After(m_random->Below(kLag), [this, &member, aHost, aJoined] {
        // A join that arrives after the departure must not count.
        if (aJoined && m_members.at(aHost).m_live) {
          member.m_view.insert(aHost);
        } else {
          member.m_view.erase(aHost);
        }
        Update(member);
      });
    }
  }

  void Update(Member& aMember)
  {
    aMember.m_believed = static_cast<std::uint32_t>(
      std::max<std::size_t>(aMember.m_view.size(), 1));
    aMember.m_engine->SetLiveHosts(m_now, aMember.m_believed);
  }

  std::uint32_t Sum()
  {
    std::uint32_t sum = 0;
    for (auto& [id, member] : m_members) {
      if (member.m_live) {
        sum += m_careful ? member.m_engine->ConnectionShare(m_now, "s0-r0")
                         : kConnections / member.m_believed;
      }
    }
    return sum;
  }

  void After(std::uint64_t aMicroseconds, std::function<void()> aAction)
  {
    m_events.emplace(m_now + Duration{ aMicroseconds }, std::move(aAction));
  }

  std::unique_ptr<RandomSource> m_random;
  bool m_careful;
  TimePoint m_now{ Duration{ 0 } };
  std::multimap<TimePoint, std::function<void()>> m_events;
  std::map<int, Member> m_members;
  int m_next = 0;
};

class Limits : public Benchmark
{
public:
  std::string_view Name() const override { return "limits"; }

  /** The baseline divides by the present member list without a delay. */
  std::vector<Figure> Run(std::uint64_t aSeed) override
  {
    return { { "limits.over_cap",
               static_cast<double>(Membership(aSeed, true).OverCap()),
               Bound::AtMost,
               0,
               static_cast<double>(Membership(aSeed, false).OverCap()) } };
  }
};

Limits sLimits;
const Registration kLimits(sLimits);

} // namespace

} // namespace goldcrestkeel::benchmark
