#include "RateLimitFleet.h"

#include <goldcrestkeel/core/StableHash.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

using namespace std::chrono_literals;

namespace goldcrestkeel::testing {

namespace {

constexpr double kZipf = 1.2;
constexpr double kTotalRate = 120;
constexpr double kLimitRatio = 1.6;
/** As the edge bounds it. */
constexpr Duration kMaxWait = 80ms;
/** Callers of a host that is paused leave after this time. */
constexpr Duration kPatience = 600ms;

} // namespace

class RateLimitFleet::Host
  : public RateLimitOwner::Sink
  , public RateLimitClient::Sink
{
public:
  Host(RateLimitFleet& aFleet, std::size_t aIndex)
    : m_fleet(aFleet)
    , m_index(aIndex)
  {
  }

  void Start(const std::vector<OwnerCandidate>& aHosts)
  {
    ++m_life;
    m_alive = true;
    m_timerAt.reset();
    const OwnerCandidate& self = m_fleet.m_records[m_index];
    m_owner = std::make_unique<RateLimitOwner>(
      m_fleet.Now(), self, m_fleet.m_nextInstance++, *this);
    m_client = std::make_unique<RateLimitClient>(self, *m_owner, *this);
    SetHosts(aHosts);
    SetLimits();
  }
  void SetHosts(const std::vector<OwnerCandidate>& aHosts)
  {
    m_owner->SetHosts(m_fleet.Now(), aHosts);
    m_client->SetHosts(aHosts, aHosts.size());
    ArmTimer();
  }
  void SetLimits()
  {
    m_owner->SetLimits(m_fleet.Now(), m_fleet.Limits());
    m_client->SetLimits(m_fleet.Now(), m_fleet.Limits());
    ArmTimer();
  }

  /** Runs aAction in the present life of the host, once it is not paused. */
  void Schedule(Duration aDelay, std::function<void()> aAction)
  {
    m_fleet.At(aDelay, [this, life = m_life, action = std::move(aAction)] {
      RunAwake(life, action);
    });
  }
  void RunAwake(unsigned aLife, const std::function<void()>& aAction)
  {
    if (aLife != m_life || !m_alive) {
      return;
    }
    if (m_fleet.Now() < m_pausedUntil) {
      m_fleet.At(m_pausedUntil - m_fleet.Now(),
                 [this, aLife, aAction] { RunAwake(aLife, aAction); });
      return;
    }
    aAction();
    ArmTimer();
  }
  void ArmTimer()
  {
    auto next = m_client->NextTimer();
    next =
      std::min(next.value_or(*m_owner->NextTimer()), *m_owner->NextTimer());
    if (m_timerAt && *m_timerAt > m_fleet.Now() && *m_timerAt <= *next) {
      return;
    }
    m_timerAt = next;
    const unsigned timer = ++m_timer;
    m_fleet.At(std::max(Duration(0), *next - m_fleet.Now()),
               [this, timer, life = m_life] {
                 if (timer == m_timer) {
                   RunAwake(life, [this, timer] { OnTimer(timer); });
                 }
               });
  }
  void OnTimer(unsigned aTimer)
  {
    if (aTimer == m_timer) {
      m_timerAt.reset();
      m_owner->OnTimer(m_fleet.Now());
      m_client->OnTimer(m_fleet.Now());
    }
  }

  void Arrive(std::size_t aTenant)
  {
    const TimePoint arrivedAt = m_fleet.Now();
    Schedule(0ms, [this, aTenant, arrivedAt] {
      const TimePoint now = m_fleet.Now();
      if (now - arrivedAt > kPatience) {
        return;
      }
      const auto id = m_nextRequest++;
      const AdmissionResult result = m_client->Admit(
        now, m_fleet.m_tenants[aTenant].m_name, id, now + kMaxWait);
      if (result.m_admission == Admission::Waiting) {
        m_waiting[id] = aTenant;
      } else {
        Record(aTenant, result);
      }
    });
  }
  void Record(std::size_t aTenant, const AdmissionResult& aResult)
  {
    TenantLoad& tenant = m_fleet.m_tenants[aTenant];
    ++tenant.m_arrived;
    tenant.m_refusedByLimit += 1 - tenant.m_ideal.Take(m_fleet.Now(), 1);
    if (aResult.m_admission == Admission::Admitted) {
      tenant.m_admitted.push_back(m_fleet.Now());
    } else {
      ++tenant.m_refused;
    }
  }

  // RateLimitClient::Sink
  void OnDecided(std::uint64_t aRequest,
                 const AdmissionResult& aResult) override
  {
    Record(m_waiting.at(aRequest), aResult);
    m_waiting.erase(aRequest);
  }
  void Send(const OwnerCandidate& aHost, const TokenMessage& aMessage) override
  {
    Call(
      aHost, aMessage, [this](const std::string& aId, const Result& aResult) {
        if (aResult.m_outcome == PeerOutcome::Answered) {
          m_client->OnReply(m_fleet.Now(), aId, aResult.m_reply);
        } else {
          m_client->OnFailed(m_fleet.Now(), aId, aResult.m_outcome);
        }
      });
  }
  // RateLimitOwner::Sink
  void Probe(const OwnerCandidate& aHost, const TokenMessage& aMessage) override
  {
    Call(
      aHost, aMessage, [this](const std::string& aId, const Result& aResult) {
        if (aResult.m_outcome == PeerOutcome::Answered) {
          m_owner->OnReply(m_fleet.Now(), aId, aResult.m_reply);
        } else {
          m_owner->OnPeer(m_fleet.Now(), aId, aResult.m_outcome);
        }
      });
  }
  void LogOwner(const OwnerDecision&) override {}

  struct Result
  {
    PeerOutcome m_outcome = PeerOutcome::TimedOut;
    TokenReply m_reply{};
  };
  using OnResult = std::function<void(const std::string&, const Result&)>;

  void Call(const OwnerCandidate& aHost,
            const TokenMessage& aMessage,
            OnResult aOnResult)
  {
    ++m_fleet.m_messages;
    const std::string id = aHost.m_id;
    const auto call = m_nextCall++;
    m_calls.insert(call);
    const auto end =
      [this, call, id, onResult = std::move(aOnResult)](const Result& aResult) {
        if (m_calls.erase(call) > 0) {
          onResult(id, aResult);
        }
      };
    Schedule(kPeerTimeout, [end] { end({ PeerOutcome::TimedOut }); });
    const std::size_t to = std::stoul(id.substr(1));
    Host& peer = *m_fleet.m_hosts[to];
    if (m_fleet.IsLost(m_index, to)) {
      return;
    }
    m_fleet.At(m_fleet.DelayBetween(m_index, to),
               [this, &peer, to, aMessage, end] {
                 if (!peer.m_alive) {
                   Schedule(m_fleet.DelayBetween(m_index, to),
                            [end] { end({ PeerOutcome::Refused }); });
                   return;
                 }
                 peer.Schedule(0ms, [this, &peer, to, aMessage, end] {
                   const TokenReply reply =
                     peer.m_owner->OnMessage(m_fleet.Now(), aMessage);
                   if (!m_fleet.IsLost(to, m_index)) {
                     Schedule(m_fleet.DelayBetween(m_index, to), [end, reply] {
                       end({ PeerOutcome::Answered, reply });
                     });
                   }
                 });
               });
  }

  RateLimitFleet& m_fleet;
  std::size_t m_index;
  std::unique_ptr<RateLimitOwner> m_owner;
  std::unique_ptr<RateLimitClient> m_client;
  bool m_alive = false;
  unsigned m_life = 0;
  unsigned m_timer = 0;
  std::optional<TimePoint> m_timerAt;
  TimePoint m_pausedUntil;
  std::map<std::uint64_t, std::size_t> m_waiting;
  std::uint64_t m_nextRequest = 1;
  std::set<std::uint64_t> m_calls;
  std::uint64_t m_nextCall = 1;
};

RateLimitFleet::RateLimitFleet(std::size_t aHosts,
                               std::size_t aTenants,
                               unsigned aSeed)
  : m_random(MakeSeededRandom(aSeed))
{
  double sum = 0;
  for (std::size_t i = 1; i <= aTenants; ++i) {
    sum += std::pow(i, -kZipf);
  }
  for (std::size_t i = 0; i < aTenants; ++i) {
    const double rate =
      kTotalRate * std::pow(static_cast<double>(i + 1), -kZipf) / sum;
    const RateLimit limit{ rate * kLimitRatio, std::max(3.0, rate) };
    std::vector<std::size_t> hosts;
    for (std::size_t host = 0; host < 1 + i % 4; ++host) {
      hosts.push_back(m_random->Below(aHosts));
    }
    m_tenants.push_back({ "tenant" + std::to_string(i), limit, rate, hosts });
    m_tenants.back().m_ideal =
      TokenBucket(Now() - 60s, limit.m_rate, limit.m_burst);
  }
  for (std::size_t i = 0; i < aHosts; ++i) {
    m_records.push_back({ "h" + std::to_string(i), "a", i % 3 ? 0.12 : 0.25 });
    m_hosts.push_back(std::make_unique<Host>(*this, i));
  }
  for (const auto& host : m_hosts) {
    host->Start(m_records);
  }
  // Hosts have been up for a while when callers come.
  m_events.RunUntil(Now() + 5s);
  for (std::size_t i = 0; i < aTenants; ++i) {
    Arrive(i);
  }
}

RateLimitFleet::~RateLimitFleet() = default;

void
RateLimitFleet::Run(Duration aTime)
{
  m_events.RunUntil(Now() + aTime);
}

void
RateLimitFleet::At(Duration aDelay, std::function<void()> aAction)
{
  m_events.After(aDelay, std::move(aAction));
}

std::size_t
RateLimitFleet::HostFor(const TenantLoad& aTenant)
{
  std::size_t host = aTenant.m_hosts[m_random->Below(aTenant.m_hosts.size())];
  while (!m_hosts[host]->m_alive) {
    host = (host + 1) % m_hosts.size();
  }
  return host;
}

void
RateLimitFleet::Arrive(std::size_t aTenant)
{
  // The first call only starts the process.
  const double wait =
    -std::log(1 - m_random->Unit()) / m_tenants[aTenant].m_rate;
  At(Duration(static_cast<Duration::rep>(wait * 1e6)), [this, aTenant] {
    m_hosts[HostFor(m_tenants[aTenant])]->Arrive(aTenant);
    Arrive(aTenant);
  });
}

Duration
RateLimitFleet::DelayBetween(std::size_t aOne, std::size_t aOther)
{
  const std::uint64_t base =
    StableHash().Add(std::to_string(aOne + aOther)).Mixed() % 10000;
  return Duration(1000 +
                  static_cast<Duration::rep>(base + m_random->Below(1000))) +
         m_extraDelay;
}

bool
RateLimitFleet::IsLost(std::size_t aOne, std::size_t aOther)
{
  return (m_isCut && m_isCut(aOne, aOther)) || m_random->Unit() < m_lossRatio;
}

std::map<std::string, RateLimit>
RateLimitFleet::Limits() const
{
  std::map<std::string, RateLimit> limits;
  for (const TenantLoad& tenant : m_tenants) {
    limits[tenant.m_name] = tenant.m_limit;
  }
  return limits;
}

std::vector<OwnerCandidate>
RateLimitFleet::Records(const std::vector<std::size_t>& aListed) const
{
  std::vector<OwnerCandidate> records;
  for (const std::size_t index : aListed) {
    records.push_back(m_records[index]);
  }
  return records;
}

std::size_t
RateLimitFleet::OwnerOf(std::size_t aTenant, std::size_t aRank) const
{
  return RankOwners(m_records, m_tenants[aTenant].m_name).at(aRank);
}

void
RateLimitFleet::Pause(std::size_t aHost, Duration aTime)
{
  m_hosts[aHost]->m_pausedUntil = Now() + aTime;
}

void
RateLimitFleet::Kill(std::size_t aHost)
{
  m_hosts[aHost]->m_alive = false;
  ++m_hosts[aHost]->m_life;
}

void
RateLimitFleet::Restart(std::size_t aHost)
{
  m_hosts[aHost]->Start(m_records);
}

std::size_t
RateLimitFleet::AddHost(double aCores)
{
  const std::size_t index = m_records.size();
  m_records.push_back({ "h" + std::to_string(index), "a", aCores });
  m_hosts.push_back(std::make_unique<Host>(*this, index));
  m_hosts.back()->Start(m_records);
  return index;
}

void
RateLimitFleet::SetList(std::size_t aHost,
                        const std::vector<std::size_t>& aListed)
{
  m_hosts[aHost]->SetHosts(Records(aListed));
}

void
RateLimitFleet::SetListEverywhere(const std::vector<std::size_t>& aListed)
{
  for (std::size_t i = 0; i < m_hosts.size(); ++i) {
    SetList(i, aListed);
  }
}

void
RateLimitFleet::SetLimit(std::size_t aTenant, RateLimit aLimit)
{
  m_tenants[aTenant].m_limit = aLimit;
  m_tenants[aTenant].m_ideal.SetLimits(Now(), aLimit.m_rate, aLimit.m_burst);
  for (const auto& host : m_hosts) {
    host->Schedule(Duration(m_random->Below(3000000)),
                   [&host = *host] { host.SetLimits(); });
  }
}

} // namespace goldcrestkeel::testing
