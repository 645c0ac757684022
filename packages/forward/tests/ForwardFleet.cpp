#include "ForwardFleet.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <list>
#include <numeric>
#include <set>
#include <utility>

namespace goldcrestkeel::testing {

namespace {

constexpr Duration kNearDelay{ 1000 };
constexpr Duration kFarDelay{ 8000 };
/** How long before its request a host must have learned a limit to be held to
 *  it. */
constexpr Duration kLearningTime{ 500000 };
/** When a host that has started counts the hosts for the second time. */
constexpr Duration kSecondCountDelay{ 2000000 };
/** Time until a host learns of a change of a replica, and a random part. */
constexpr Duration kDiscoveryTime{ 300000 };
constexpr Duration kDiscoveryJitter{ 1000000 };
/** Largest share of the callers of a host, relative to the smallest one. */
constexpr double kUnevenShares = 3;

} // namespace

/** A replica that runs requests in its slots and queues the others. */
class ForwardFleet::Replica
{
public:
  struct Arrival
  {
    TimePoint m_at;
    bool m_knewLimit = false;
    bool m_cold = false;
  };
  using Reply = std::function<void(ReplicaAnswer&&)>;

  Replica(ForwardFleet& aFleet, ReplicaRecord aRecord, std::size_t aNumber)
    : m_fleet(aFleet)
    , m_record(std::move(aRecord))
    , m_number(aNumber)
  {
  }

  /** A request for the instance that started at aInstance. */
  void Arrive(bool aKnewLimit, WallTime aInstance, Reply aReply)
  {
    ReplicaAnswer refusal;
    refusal.m_status = m_up ? 421 : 0;
    refusal.m_notRun = m_up;
    refusal.m_wrongInstance = m_up;
    if (!m_up || aInstance != m_record.m_startedAt) {
      aReply(std::move(refusal));
      return;
    }
    m_arrivals.push_back({ m_fleet.Now(), aKnewLimit, IsCold() });
    if (IsCold() && CrashesNow()) {
      Crash();
      aReply({});
      const std::size_t service = m_number / m_fleet.m_options.m_dataCentres;
      const std::size_t dataCentre = m_number % m_fleet.m_options.m_dataCentres;
      m_fleet.m_events.After(m_fleet.m_options.m_restartTime,
                             [this, service, dataCentre] {
                               m_fleet.Return(service, dataCentre, true);
                             });
      return;
    }
    if (m_queue.size() >= m_fleet.m_options.m_queueLimit) {
      refusal.m_status = 503;
      refusal.m_notRun = true;
      refusal.m_wrongInstance = false;
      refusal.m_load = Load();
      aReply(std::move(refusal));
      return;
    }
    m_queue.push_back(std::move(aReply));
    m_mostQueued = std::max(m_mostQueued, m_queue.size() + m_running.size());
    StartNext();
  }

  void Crash()
  {
    ++m_fleet.m_crashes;
    m_up = false;
    ++m_generation;
    for (const Reply& reply : std::exchange(m_running, {})) {
      reply({});
    }
    for (const Reply& reply : std::exchange(m_queue, {})) {
      reply({});
    }
  }

  bool IsCold() const { return m_fleet.Now() < m_coldUntil; }
  bool IsUp() const { return m_up; }

  ForwardFleet& m_fleet;
  ReplicaRecord m_record;
  /** Place in the list of the fleet. */
  std::size_t m_number;
  std::optional<double> m_limit;
  std::vector<Arrival> m_arrivals;
  TimePoint m_coldUntil;
  std::size_t m_mostQueued = 0;
  bool m_up = true;

private:
  bool CrashesNow() const
  {
    const std::size_t most = m_fleet.m_options.m_crashRequests;
    return most > 0 && m_arrivals.size() > most &&
           m_arrivals[m_arrivals.size() - 1 - most].m_at >
             m_fleet.Now() - std::chrono::seconds(1) &&
           m_arrivals[m_arrivals.size() - 1 - most].m_cold;
  }

  LoadReport Load() const
  {
    return { static_cast<std::uint32_t>(m_running.size()),
             static_cast<std::uint32_t>(m_queue.size()),
             m_record.m_slots,
             0 };
  }

  void StartNext()
  {
    if (m_running.size() >= m_record.m_slots || m_queue.empty()) {
      return;
    }
    m_running.push_back(std::move(m_queue.front()));
    const auto job = std::prev(m_running.end());
    m_queue.pop_front();
    const double work = static_cast<double>(m_fleet.m_options.m_work.count()) *
                        (0.5 + m_fleet.m_random->Unit()) *
                        (IsCold() ? m_fleet.m_options.m_coldFactor : 1);
    m_fleet.m_events.After(Duration(static_cast<Duration::rep>(work)),
                           [this, job, generation = m_generation] {
                             if (generation == m_generation) {
                               End(job);
                             }
                           });
  }

  void End(std::list<Reply>::iterator aJob)
  {
    const Reply reply = std::move(*aJob);
    m_running.erase(aJob);
    ReplicaAnswer answer;
    answer.m_status = 200;
    answer.m_stamp = "stamp";
    answer.m_load = Load();
    answer.m_requestLimit = m_limit;
    reply(std::move(answer));
    StartNext();
  }

  unsigned m_generation = 0;
  std::list<Reply> m_running;
  std::deque<Reply> m_queue;
};

/** A host with its forwarder; events that come too late for it are dropped. */
class ForwardFleet::Host : public ForwardSink
{
public:
  Host(ForwardFleet& aFleet, std::size_t aIndex)
    : m_record(aFleet.m_records[aIndex])
    , m_fleet(aFleet)
    , m_random(
        MakeSeededRandom(aFleet.m_options.m_seed * 1000 + aIndex * 7 + 1))
  {
    ForwarderOptions options;
    options.m_hostId = m_record.m_id;
    options.m_dataCentre = m_record.m_dataCentre;
    for (std::size_t i = 0; i < aFleet.m_options.m_dataCentres; ++i) {
      options.m_regions["dc" + std::to_string(i)] = "r" + std::to_string(i);
    }
    options.m_repeatSlack = 50;
    m_forwarder = MakeForwarder(options, *m_random, *this);
    const TimePoint now = aFleet.Now();
    m_forwarder->SetTable(now, aFleet.m_table);
    m_forwarder->SetLiveHosts(aFleet.m_records.size());
    m_forwarder->SetHosts(now, aFleet.m_records);
    m_forwarder->SetEvacuated(now, aFleet.m_evacuated);
    // The second count of the hosts.
    Later(kSecondCountDelay,
          [this] { m_forwarder->SetHosts(m_fleet.Now(), m_fleet.m_records); });
    for (const auto& replica : aFleet.m_replicas) {
      m_forwarder->UpdateReplica(now, replica->m_record, now);
      m_forwarder->ConnectionProven(replica->m_record.m_id);
    }
  }

  ForwardId Start(const Tenant* aTenant = nullptr,
                  std::function<void(const ForwardResult&)> aDone = {})
  {
    const TimePoint now = m_fleet.Now();
    ForwardRequest request;
    request.m_id = m_next++;
    request.m_table = m_fleet.m_table;
    request.m_route = &m_fleet.m_table->m_routes.front();
    request.m_deadline = now + m_fleet.m_options.m_timeout;
    request.m_tenant = aTenant;
    m_startedAt[request.m_id] = now;
    m_done[request.m_id] = std::move(aDone);
    ++m_fleet.m_outcomes.m_requests;
    ++m_outcomes.m_requests;
    m_forwarder->Start(now, request);
    ArmTimer();
    return request.m_id;
  }

  void Cancel(ForwardId aRequest)
  {
    m_startedAt.erase(aRequest);
    m_done.erase(aRequest);
    m_forwarder->Cancel(m_fleet.Now(), aRequest);
    ArmTimer();
  }

  /** Serves a part of a request of another host. */
  void StartRelayed(const RelayedShards& aShards,
                    TimePoint aDeadline,
                    std::function<void(ReplicaAnswer&&)> aReply)
  {
    if (m_forwarder->Contact() != ContactState::Reached) {
      ReplicaAnswer refusal;
      refusal.m_status = 503;
      refusal.m_notRun = true;
      refusal.m_hostUnavailable = true;
      aReply(std::move(refusal));
      return;
    }
    ForwardRequest request;
    request.m_id = m_next++;
    request.m_table = m_fleet.m_table;
    request.m_route = &m_fleet.m_table->m_routes.front();
    request.m_deadline = aDeadline;
    request.m_relayedShards = aShards;
    m_relayed[request.m_id] = std::move(aReply);
    m_forwarder->Start(m_fleet.Now(), request);
    ArmTimer();
  }

  void SetLink(Link aLink)
  {
    m_link = aLink;
    if (aLink == Link::Reset || aLink == Link::ResetWhenUsed) {
      for (const auto& replica : m_fleet.m_replicas) {
        if (!LivesOn(*replica)) {
          m_forwarder->ProvenConnectionEnded(replica->m_record.m_id);
        }
      }
      for (const CopyId copy : std::set<CopyId>(std::exchange(m_open, {}))) {
        m_forwarder->CopyFailed(m_fleet.Now(), copy, CopyFailure::Broken);
      }
      ArmTimer();
    }
  }

  void UpdateReplica(const ReplicaRecord& aRecord)
  {
    const TimePoint now = m_fleet.Now();
    m_forwarder->UpdateReplica(
      now, aRecord, now - kDiscoveryTime - kDiscoveryJitter);
    ArmTimer();
  }

  void SetEvacuated()
  {
    m_forwarder->SetEvacuated(m_fleet.Now(), m_fleet.m_evacuated);
    ArmTimer();
  }

  void SendCopy(CopyId aCopy,
                ForwardId,
                const ReplicaRecord& aReplica,
                TimePoint) override
  {
    Replica& replica = *m_fleet.m_replicaById.at(aReplica.m_id);
    const Duration delay = DelayTo(aReplica.m_dataCentre);
    const bool refused =
      !replica.IsUp() || m_link == Link::Reset ||
      (m_link == Link::NoNewConnections && m_busy[aReplica.m_id] > 0);
    if (refused) {
      Later(delay, [this, aCopy] {
        m_forwarder->CopyFailed(m_fleet.Now(), aCopy, CopyFailure::Refused);
      });
      return;
    }
    if (m_link == Link::ResetWhenUsed &&
        (!LivesOn(replica) || m_busy[aReplica.m_id] > 0)) {
      UseAndReset(aCopy, aReplica);
      return;
    }
    m_forwarder->CopySent(m_fleet.Now(), aCopy, ConnectionState::Proven);
    m_open.insert(aCopy);
    if (m_link == Link::Silent) {
      return;
    }
    ++m_busy[aReplica.m_id];
    const auto learned = m_learnedAt.find(aReplica.m_id);
    const bool knew = learned != m_learnedAt.end() &&
                      learned->second + kLearningTime <= m_fleet.Now();
    const std::weak_ptr<bool> alive = m_alive;
    const WallTime instance = aReplica.m_startedAt;
    m_fleet.m_events.After(
      delay, [this, alive, &replica, knew, delay, aCopy, instance] {
        replica.Arrive(
          knew,
          instance,
          [this, &fleet = replica.m_fleet, alive, &replica, delay, aCopy](
            ReplicaAnswer&& aAnswer) {
            // The host may be gone by now.
            fleet.m_events.After(
              delay, [this, alive, &replica, aCopy, aAnswer] {
                if (!alive.lock()) {
                  return;
                }
                --m_busy[replica.m_record.m_id];
                if (m_link == Link::Silent || m_open.erase(aCopy) == 0) {
                  return;
                }
                WhenAwake([this, &replica, aCopy, aAnswer] {
                  OnAnswer(replica, aCopy, aAnswer);
                });
              });
          });
      });
  }
  void SendRelay(CopyId aCopy,
                 ForwardId,
                 const ReplicaRecord& aHost,
                 TimePoint aDeadline,
                 const RelayedShards& aShards) override
  {
    m_forwarder->CopySent(m_fleet.Now(), aCopy, ConnectionState::Proven);
    const Duration delay = DelayTo(aHost.m_dataCentre);
    const std::weak_ptr<bool> alive = m_alive;
    const auto reply = [this, alive, delay, aCopy](ReplicaAnswer&& aAnswer) {
      m_fleet.m_events.After(delay, [this, alive, aCopy, aAnswer] {
        if (alive.lock()) {
          ReplicaAnswer answer = aAnswer;
          m_forwarder->CopyAnswered(m_fleet.Now(), aCopy, std::move(answer));
          ArmTimer();
        }
      });
    };
    m_fleet.m_events.After(
      delay, [&fleet = m_fleet, id = aHost.m_id, aShards, aDeadline, reply] {
        if (Host* const host = fleet.HostWithId(id)) {
          host->StartRelayed(aShards, aDeadline, reply);
        }
      });
  }
  void ProbeReplica(CopyId aProbe,
                    const ReplicaRecord& aReplica,
                    std::string_view) override
  {
    if (m_link == Link::ResetWhenUsed) {
      UseAndReset(aProbe, aReplica);
      return;
    }
    if (m_link == Link::Up) {
      // Connecting takes a round trip, too.
      Later(
        4 * DelayTo(aReplica.m_dataCentre),
        [this, aProbe, &aReplica = *m_fleet.m_replicaById.at(aReplica.m_id)] {
          if (!aReplica.IsUp()) {
            m_forwarder->CopyFailed(
              m_fleet.Now(), aProbe, CopyFailure::Refused);
            return;
          }
          ReplicaAnswer answer;
          answer.m_status = 200;
          answer.m_instance = aReplica.m_record.m_id;
          answer.m_warmupLeft =
            std::max(Duration(0), aReplica.m_coldUntil - m_fleet.Now());
          m_forwarder->CopyAnswered(m_fleet.Now(), aProbe, std::move(answer));
        });
    }
  }
  void AbortCopy(CopyId aCopy) override { m_open.erase(aCopy); }
  void LogDecision(const ForwardDecision&) override {}
  void LogRequestLimit(const RequestLimitReport&) override {}
  void LogContact(const ContactReport&) override {}
  void LogReplicaNotice(const ReplicaNoticeReport&) override {}
  void LogReplicaPace(const ReplicaPaceReport&) override {}
  void LogCrash(const CrashDecision&) override {}
  std::string SummaryOf(ForwardId) const override { return {}; }
  void ReportCrash(const CrashReport&) override {}
  void AnnounceSuspect(const SuspectReport&) override {}
  void ReportAnswered(std::uint64_t) override {}
  void AnnounceQuarantine(const SuspectReport&) override {}
  void NoReplicaListed() override {}

  void Finish(ForwardId aRequest, ForwardResult&& aResult) override
  {
    if (const auto relayed = m_relayed.extract(aRequest)) {
      relayed.mapped()(ToRelayAnswer(std::move(aResult)));
      return;
    }
    const auto started = m_startedAt.extract(aRequest);
    const Duration age = m_fleet.Now() - started.mapped();
    Outcomes outcomes;
    outcomes.m_missingShards = aResult.m_missingShards;
    if (!aResult.m_error) {
      outcomes.m_answerTime = age;
      ++(age <= m_fleet.m_options.m_target ? outcomes.m_inTarget
                                           : outcomes.m_late);
    } else if (aResult.m_retryAfter) {
      ++outcomes.m_refused;
      outcomes.m_refusalTime = age;
    } else {
      ++outcomes.m_failed;
    }
    m_outcomes += outcomes;
    m_fleet.m_outcomes += outcomes;
    const auto done = m_done.extract(aRequest);
    if (done.mapped()) {
      done.mapped()(aResult);
    }
  }

  /** Runs aAction now, or when the pause of the host ends. */
  void WhenAwake(std::function<void()> aAction)
  {
    const std::weak_ptr<bool> alive = m_alive;
    if (m_fleet.Now() >= m_pausedUntil) {
      aAction();
      return;
    }
    m_fleet.m_events.At(m_pausedUntil, [alive, aAction] {
      if (alive.lock()) {
        aAction();
      }
    });
  }

  const ForwarderCounters& Counters() const { return m_forwarder->Counters(); }

  HostRecord m_record;
  TimePoint m_pausedUntil;
  /** What its own callers got. */
  Outcomes m_outcomes;

private:
  Duration DelayTo(const std::string& aDataCentre) const
  {
    return aDataCentre == m_record.m_dataCentre ? kNearDelay : kFarDelay;
  }

  /** Whether the open connection to aReplica outlives Link::ResetWhenUsed. */
  bool LivesOn(const Replica& aReplica) const
  {
    return m_link == Link::ResetWhenUsed && aReplica.m_number % 4 == 0;
  }

  /** A new connection is accepted, and reset once it is used. */
  void UseAndReset(CopyId aCopy, const ReplicaRecord& aReplica)
  {
    const Duration delay = DelayTo(aReplica.m_dataCentre);
    Later(2 * delay, [this, aCopy, delay] {
      m_forwarder->CopySent(m_fleet.Now(), aCopy, ConnectionState::New);
      Later(2 * delay, [this, aCopy] {
        m_forwarder->CopyFailed(m_fleet.Now(), aCopy, CopyFailure::Broken);
      });
    });
  }

  /** Runs aEvent of the forwarder after aDelay, if the host still lives. */
  void Later(Duration aDelay, std::function<void()> aEvent)
  {
    const std::weak_ptr<bool> alive = m_alive;
    m_fleet.m_events.After(aDelay, [this, alive, event = std::move(aEvent)] {
      if (alive.lock()) {
        event();
        ArmTimer();
      }
    });
  }

  static ReplicaAnswer ToRelayAnswer(ForwardResult&& aResult)
  {
    ReplicaAnswer answer = std::move(aResult.m_answer);
    answer.m_shards = std::move(aResult.m_shards);
    answer.m_shardStamps = std::move(aResult.m_stamps);
    if (aResult.m_error) {
      answer.m_status = InfoOf(*aResult.m_error).m_httpStatus;
      answer.m_notRun = aResult.m_copies == 0;
    }
    return answer;
  }

  void OnAnswer(const Replica& aReplica, CopyId aCopy, ReplicaAnswer aAnswer)
  {
    const std::string& id = aReplica.m_record.m_id;
    if (aAnswer.m_status == 0) {
      m_forwarder->CopyFailed(m_fleet.Now(), aCopy, CopyFailure::Broken);
      ArmTimer();
      return;
    }
    if (aAnswer.m_requestLimit) {
      m_learnedAt.emplace(id, m_fleet.Now());
    } else {
      m_learnedAt.erase(id);
    }
    m_forwarder->CopyAnswered(m_fleet.Now(), aCopy, std::move(aAnswer));
    ArmTimer();
  }

  void ArmTimer()
  {
    const auto next = m_forwarder->NextTimer();
    if (!next || (m_timerAt && *m_timerAt <= *next)) {
      return;
    }
    m_timerAt = next;
    const TimePoint at = std::max(*next, m_fleet.Now());
    const std::weak_ptr<bool> alive = m_alive;
    m_fleet.m_events.At(at, [this, alive, at = *next] {
      if (!alive.lock() || m_timerAt != at) {
        return;
      }
      m_timerAt.reset();
      WhenAwake([this] {
        m_forwarder->OnTimer(m_fleet.Now());
        ArmTimer();
      });
    });
  }

  ForwardFleet& m_fleet;
  Link m_link = Link::Up;
  /** Copies that replicas have, and their number by replica. */
  std::set<CopyId> m_open;
  std::map<std::string, int> m_busy;
  std::map<ForwardId, std::function<void(ReplicaAnswer&&)>> m_relayed;
  std::unique_ptr<RandomSource> m_random;
  std::unique_ptr<Forwarder> m_forwarder;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
  std::optional<TimePoint> m_timerAt;
  ForwardId m_next = 1;
  std::map<ForwardId, TimePoint> m_startedAt;
  std::map<ForwardId, std::function<void(const ForwardResult&)>> m_done;
  /** When the host first got an answer that names the limit, by replica. */
  std::map<std::string, TimePoint> m_learnedAt;
};

ForwardFleet::ForwardFleet(const ForwardFleetOptions& aOptions)
  : m_options(aOptions)
  , m_random(MakeSeededRandom(aOptions.m_seed))
  , m_table(std::make_shared<RoutingTable>())
{
  Route route;
  route.m_name = "route";
  route.m_host = "shop.example";
  route.m_pathPrefix = "/";
  route.m_idempotent = aOptions.m_idempotent;
  route.m_timeout = aOptions.m_timeout;
  route.m_target = aOptions.m_target;
  route.m_attempts = 2;
  std::vector<std::string> services;
  for (std::size_t i = 0; i < std::max<std::size_t>(1, aOptions.m_shards);
       ++i) {
    services.push_back("shard" + std::to_string(i));
    RoutedService& service = m_table->m_services[services.back()];
    service.m_name = services.back();
    service.m_connections = aOptions.m_connections;
    service.m_warmupTime = aOptions.m_warmupTime;
    service.m_warmupPerSecond = aOptions.m_warmupPerSecond;
  }
  if (aOptions.m_shards > 0) {
    route.m_gather = GatherRule{ services, 5, aOptions.m_minShardRatio };
  } else {
    route.m_services = { { services.front(), 1 } };
  }
  m_table->m_version = 1;
  m_table->m_tenants = aOptions.m_tenants;
  m_table->m_hasTenants = !aOptions.m_tenants.empty();
  m_table->m_routes = { route };
  m_table->Index();
  AddReplicas(services);

  const std::size_t hosts = aOptions.m_hosts > 0
                              ? aOptions.m_hosts
                              : aOptions.m_dataCentres * aOptions.m_hostsEach;
  double sum = 0;
  for (std::size_t i = 0; i < hosts; ++i) {
    m_records.push_back({ "host" + std::to_string(i),
                          "dc" + std::to_string(i % aOptions.m_dataCentres),
                          "10.0.1.1:" + std::to_string(1000 + i),
                          1 });
    sum += 1 + (kUnevenShares - 1) * m_random->Unit();
    m_callerShares.push_back(sum);
  }
  for (std::size_t i = 0; i < hosts; ++i) {
    m_hosts.push_back(MakeHost(i));
  }
  if (aOptions.m_requestRate > 0) {
    ScheduleCaller();
  }
}

ForwardFleet::~ForwardFleet() = default;

std::unique_ptr<ForwardFleet::Host>
ForwardFleet::MakeHost(std::size_t aIndex)
{
  return std::make_unique<Host>(*this, aIndex);
}

void
ForwardFleet::AddReplicas(const std::vector<std::string>& aServices)
{
  for (const std::string& service : aServices) {
    const std::size_t replicas =
      m_options.m_replicas > 0 ? m_options.m_replicas : m_options.m_dataCentres;
    for (std::size_t i = 0; i < replicas; ++i) {
      ReplicaRecord record;
      record.m_id = service + "-" + std::to_string(i);
      record.m_service = service;
      record.m_address = "10.0.0.1:" + std::to_string(1000 + m_replicas.size());
      record.m_dataCentre = "dc" + std::to_string(i % m_options.m_dataCentres);
      record.m_slots = m_options.m_slots;
      m_replicas.push_back(
        std::make_unique<Replica>(*this, record, m_replicas.size()));
      m_replicaById[record.m_id] = m_replicas.back().get();
    }
  }
}

void
ForwardFleet::ScheduleCaller()
{
  // Poisson arrivals.
  const double seconds =
    -std::log(1 - m_random->Unit()) / m_options.m_requestRate;
  m_events.After(Duration(static_cast<Duration::rep>(seconds * 1e6)), [this] {
    const double at = m_random->Unit() * m_callerShares.back();
    const std::size_t index =
      std::upper_bound(m_callerShares.begin(), m_callerShares.end(), at) -
      m_callerShares.begin();
    if (m_hosts[index]) {
      m_hosts[index]->WhenAwake(
        [host = m_hosts[index].get()] { host->Start(); });
    }
    ScheduleCaller();
  });
}

ForwardId
ForwardFleet::Start(std::size_t aHost,
                    const Tenant* aTenant,
                    std::function<void(const ForwardResult&)> aDone)
{
  return m_hosts.at(aHost)->Start(aTenant, std::move(aDone));
}

void
ForwardFleet::Cancel(std::size_t aHost, ForwardId aRequest)
{
  m_hosts.at(aHost)->Cancel(aRequest);
}

void
ForwardFleet::Run(Duration aTime)
{
  m_events.RunUntil(Now() + aTime);
}

ForwardFleet::Replica&
ForwardFleet::ReplicaOf(std::size_t aService, std::size_t aDataCentre) const
{
  return *m_replicas.at(aService * m_options.m_dataCentres + aDataCentre);
}

void
ForwardFleet::NameLimit(std::size_t aService,
                        std::size_t aDataCentre,
                        std::optional<double> aLimit)
{
  ReplicaOf(aService, aDataCentre).m_limit = aLimit;
}

void
ForwardFleet::ListReplica(const Replica& aReplica)
{
  for (const auto& host : m_hosts) {
    const std::string id = host->m_record.m_id;
    const Duration delay =
      kDiscoveryTime + Duration(m_random->Below(kDiscoveryJitter.count()));
    m_events.After(delay, [this, id, record = aReplica.m_record] {
      if (Host* const known = HostWithId(id)) {
        known->UpdateReplica(record);
      }
    });
  }
}

void
ForwardFleet::Crash(std::size_t aService, std::size_t aDataCentre)
{
  ReplicaOf(aService, aDataCentre).Crash();
}

void
ForwardFleet::Return(std::size_t aService, std::size_t aDataCentre, bool aIsNew)
{
  Replica& replica = ReplicaOf(aService, aDataCentre);
  replica.m_up = true;
  if (aIsNew) {
    ++replica.m_record.m_startedAt;
    TurnCold(aService, aDataCentre);
  }
}

void
ForwardFleet::TurnCold(std::size_t aService, std::size_t aDataCentre)
{
  Replica& replica = ReplicaOf(aService, aDataCentre);
  replica.m_coldUntil = Now() + m_options.m_coldTime;
  replica.m_record.m_warmupLeft = m_options.m_coldTime;
  ListReplica(replica);
}

void
ForwardFleet::Evacuate(const std::set<std::string>& aDataCentres)
{
  m_evacuated = aDataCentres;
  for (const auto& host : m_hosts) {
    host->SetEvacuated();
  }
}

std::size_t
ForwardFleet::MostColdRequests(std::size_t aService,
                               std::size_t aDataCentre,
                               TimePoint aFrom) const
{
  std::deque<TimePoint> window;
  std::size_t most = 0;
  for (const auto& arrival : ReplicaOf(aService, aDataCentre).m_arrivals) {
    if (arrival.m_at < aFrom || !arrival.m_cold) {
      continue;
    }
    window.push_back(arrival.m_at);
    while (arrival.m_at - window.front() >= std::chrono::seconds(1)) {
      window.pop_front();
    }
    most = std::max(most, window.size());
  }
  return most;
}

std::size_t
ForwardFleet::MostQueued(std::size_t aService, std::size_t aDataCentre) const
{
  return ReplicaOf(aService, aDataCentre).m_mostQueued;
}

ForwardFleet::Outcomes&
ForwardFleet::Outcomes::operator+=(const Outcomes& aOther)
{
  m_requests += aOther.m_requests;
  m_inTarget += aOther.m_inTarget;
  m_late += aOther.m_late;
  m_answerTime += aOther.m_answerTime;
  m_refused += aOther.m_refused;
  m_refusalTime += aOther.m_refusalTime;
  m_failed += aOther.m_failed;
  m_missingShards += aOther.m_missingShards;
  return *this;
}

ForwardFleet::Host*
ForwardFleet::HostWithId(const std::string& aId) const
{
  const auto found =
    std::find_if(m_hosts.begin(), m_hosts.end(), [&](const auto& aHost) {
      return aHost && aHost->m_record.m_id == aId;
    });
  return found == m_hosts.end() ? nullptr : found->get();
}

void
ForwardFleet::SetLink(std::size_t aHost, Link aLink)
{
  m_hosts.at(aHost)->SetLink(aLink);
}

const ForwardFleet::Outcomes&
ForwardFleet::OutcomesOf(std::size_t aHost) const
{
  return m_hosts.at(aHost)->m_outcomes;
}

void
ForwardFleet::ResetOutcomes()
{
  m_outcomes = Outcomes();
  for (const auto& replica : m_replicas) {
    replica->m_mostQueued = 0;
  }
  for (const auto& host : m_hosts) {
    host->m_outcomes = Outcomes();
  }
}

std::uint64_t
ForwardFleet::FallbackRelays() const
{
  std::uint64_t relays = 0;
  for (const auto& host : m_hosts) {
    relays += host->Counters().m_fallbackRelays;
  }
  return relays;
}

void
ForwardFleet::Restart(std::size_t aHost)
{
  m_hosts[aHost].reset();
  m_hosts[aHost] = MakeHost(aHost);
}

void
ForwardFleet::Pause(std::size_t aHost, Duration aTime)
{
  m_hosts[aHost]->m_pausedUntil = Now() + aTime;
}

std::size_t
ForwardFleet::MostRequests(std::size_t aService,
                           std::size_t aDataCentre,
                           TimePoint aFrom,
                           Duration aWindow) const
{
  std::vector<TimePoint> counted;
  for (const auto& arrival : ReplicaOf(aService, aDataCentre).m_arrivals) {
    if (arrival.m_at >= aFrom && arrival.m_knewLimit) {
      counted.push_back(arrival.m_at);
    }
  }
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < counted.size(); ++last) {
    while (counted[last] - counted[first] >= aWindow) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

std::size_t
ForwardFleet::RequestsSince(std::size_t aService,
                            std::size_t aDataCentre,
                            TimePoint aFrom) const
{
  const auto& arrivals = ReplicaOf(aService, aDataCentre).m_arrivals;
  return std::count_if(
    arrivals.begin(), arrivals.end(), [&](const Replica::Arrival& aArrival) {
      return aArrival.m_at >= aFrom;
    });
}

} // namespace goldcrestkeel::testing
