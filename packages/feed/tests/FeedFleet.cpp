#include "FeedFleet.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace goldcrestkeel::testing {

namespace {

constexpr Duration kNetworkDelay = 4ms;
/** As the I/O around a follower does it. */
constexpr Duration kPollAnswerTime = 600ms;
constexpr Duration kWatchWait = 1500ms;
constexpr Duration kWatchTimeout = 1900ms;
constexpr Duration kProbeTimeout = 1000ms;
constexpr Duration kProbeInterval = 2000ms;
constexpr Duration kWatchPause = 750ms;
constexpr Duration kRetryDelay = 300ms;

} // namespace

class FeedFleet::Host : public FeedSink
{
public:
  Host(FeedFleet& aFleet, std::size_t aIndex, const HostRecord& aRecord)
    : m_fleet(aFleet)
    , m_index(aIndex)
    , m_record(aRecord)
  {
    Start();
  }

  void Start()
  {
    ++m_life;
    m_alive = true;
    m_reading = true;
    m_follower = std::make_unique<FeedFollower>(
      FeedOptions{ m_record }, *m_fleet.m_random, *this);
    Schedule(0ms, [this] { ReadStore(); });
    Schedule(10ms, [this] {
      m_follower->OnHosts(m_fleet.Now(), m_fleet.m_records);
      ArmTimer();
    });
  }

  void Kill()
  {
    ++m_life;
    m_alive = false;
  }

  /** Runs aAction in the present life of the host, once it is not paused. */
  void Schedule(Duration aTime, std::function<void()> aAction)
  {
    m_fleet.After(aTime, [this, life = m_life, action = std::move(aAction)] {
      RunWhenAwake(life, action);
    });
  }

  void RunWhenAwake(unsigned aLife, const std::function<void()>& aAction)
  {
    if (aLife != m_life) {
      return;
    }
    if (m_fleet.Now() < m_pausedUntil) {
      m_fleet.After(m_pausedUntil - m_fleet.Now(),
                    [this, aLife, aAction] { RunWhenAwake(aLife, aAction); });
      return;
    }
    aAction();
  }

  void ArmTimer()
  {
    const unsigned timer = ++m_timer;
    if (const auto next = m_follower->NextTimer()) {
      Schedule(std::max(Duration(0), *next - m_fleet.Now()), [this, timer] {
        if (timer == m_timer) {
          m_follower->OnTimer(m_fleet.Now());
          ArmTimer();
        }
      });
    }
  }

  // The store.
  void ReadStore()
  {
    if (!m_reading) {
      return;
    }
    ++m_fleet.m_storeCalls;
    const unsigned read = ++m_read;
    if (m_cutFromStore && m_cutSilently) {
      // The renewal that goes out with the watch.
      Schedule(kProbeTimeout, [this, read] {
        if (read == m_read && m_reading) {
          m_follower->OnStoreLost(m_fleet.Now());
        }
      });
    }
    if (m_fleet.m_storeDown || m_cutFromStore) {
      const bool silent = m_cutFromStore && m_cutSilently;
      Schedule(silent ? kWatchTimeout : kNetworkDelay,
               [this, read] { OnReadFailed(read); });
      return;
    }
    Schedule(kWatchTimeout, [this, read] { OnReadFailed(read); });
    WaitAtStore(read, m_fleet.Now(), m_fleet.Now() + kWatchWait);
  }
  void WaitAtStore(unsigned aRead, TimePoint aSentAt, TimePoint aUntil)
  {
    m_fleet.After(kNetworkDelay, [this, aRead, aSentAt, aUntil, life = m_life] {
      if (aRead != m_read || life != m_life || m_cutFromStore ||
          m_fleet.m_storeDown) {
        return;
      }
      if (m_fleet.m_storeRevision > m_follower->Revision() ||
          m_fleet.Now() >= aUntil) {
        Schedule(kNetworkDelay,
                 [this, aRead, aSentAt, revision = m_fleet.m_storeRevision] {
                   OnRead(aRead, aSentAt, revision);
                 });
        return;
      }
      WaitAtStore(aRead, aSentAt, aUntil);
    });
  }
  void OnRead(unsigned aRead, TimePoint aSentAt, FeedRevision aRevision)
  {
    if (aRead != m_read || !m_reading) {
      return;
    }
    ++m_read;
    const bool first = m_follower->Revision() == 0;
    const bool news = aRevision > m_follower->Revision();
    FeedChanges changes;
    changes.m_revision = aRevision;
    changes.m_complete = first;
    changes.m_items = { { "k", "v", aRevision, false } };
    m_follower->OnStoreChanges(changes,
                               std::max(aSentAt, m_fleet.Now() - 250ms));
    Schedule(news ? kWatchPause : 0ms, [this] { ReadStore(); });
  }
  void OnReadFailed(unsigned aRead)
  {
    if (aRead != m_read || !m_reading) {
      return;
    }
    ++m_read;
    m_follower->OnStoreLost(m_fleet.Now());
    Schedule(kRetryDelay, [this] { ReadStore(); });
  }

  // FeedSink
  void PollReader(PollId aPoll,
                  const HostRecord& aReader,
                  FeedRevision aAfter,
                  Duration aWait) override
  {
    m_poll = aPoll;
    Schedule(aWait + kPollAnswerTime,
             [this, aPoll] { FailPoll(aPoll, PollFailure::Unreachable); });
    Host* reader = nullptr;
    for (const auto& host : m_fleet.m_hosts) {
      reader = host->m_record.m_id == aReader.m_id ? host.get() : reader;
    }
    if (!reader->m_alive) {
      Schedule(kNetworkDelay,
               [this, aPoll] { FailPoll(aPoll, PollFailure::Unreachable); });
      return;
    }
    const TimePoint until = m_fleet.Now() + aWait;
    reader->Schedule(kNetworkDelay, [reader, this, aPoll, aAfter, until] {
      reader->Serve(*this, aPoll, aAfter, until);
    });
  }
  void Serve(Host& aCaller, PollId aPoll, FeedRevision aAfter, TimePoint aUntil)
  {
    const ReaderAnswer answer{
      m_follower->ChangesSince(aAfter),
      m_follower->Age(m_fleet.Now()).value_or(Duration(0))
    };
    if (!m_follower->CanServeFollowers(m_fleet.Now())) {
      aCaller.Schedule(kNetworkDelay, [&aCaller, aPoll] {
        aCaller.FailPoll(aPoll, PollFailure::Refused);
      });
    } else if (!answer.m_changes.m_items.empty() || m_fleet.Now() >= aUntil) {
      aCaller.Schedule(kNetworkDelay, [&aCaller, aPoll, answer] {
        aCaller.EndPoll(aPoll, answer);
      });
    } else {
      Schedule(20ms, [this, &aCaller, aPoll, aAfter, aUntil] {
        Serve(aCaller, aPoll, aAfter, aUntil);
      });
    }
  }
  void EndPoll(PollId aPoll, const ReaderAnswer& aAnswer)
  {
    if (m_poll == aPoll) {
      m_poll = 0;
      m_follower->OnAnswer(m_fleet.Now(), aPoll, aAnswer);
      ArmTimer();
    }
  }
  void FailPoll(PollId aPoll, PollFailure aFailure)
  {
    if (m_poll == aPoll) {
      m_poll = 0;
      m_follower->OnPollFailed(m_fleet.Now(), aPoll, aFailure);
      ArmTimer();
    }
  }
  void StartReading(FeedRevision) override
  {
    m_reading = true;
    const unsigned read = ++m_read;
    Schedule(0ms, [this, read] { ProbeStore(read); });
  }
  // A renewal, which costs a tenth of a call.
  void ProbeStore(unsigned aRead)
  {
    if (aRead != m_read || !m_reading) {
      return;
    }
    const bool fails = m_fleet.m_storeDown || m_cutFromStore;
    const bool silent = m_cutFromStore && m_cutSilently;
    Schedule(silent ? kProbeTimeout : 2 * kNetworkDelay, [this, aRead, fails] {
      if (aRead != m_read || !m_reading) {
        return;
      }
      if (fails) {
        m_follower->OnStoreLost(m_fleet.Now());
        Schedule(kProbeInterval, [this, aRead] { ProbeStore(aRead); });
      } else {
        ReadStore();
      }
    });
  }
  void StopReading() override
  {
    m_reading = false;
    ++m_read;
  }
  void Deliver(const FeedChanges&, std::optional<TimePoint>) override {}
  void LogSource(FeedSource,
                 std::string_view,
                 std::string_view,
                 std::optional<Duration>) override
  {
  }

  FeedFleet& m_fleet;
  std::size_t m_index;
  HostRecord m_record;
  std::unique_ptr<FeedFollower> m_follower;
  bool m_alive = true;
  unsigned m_life = 0;
  bool m_reading = true;
  unsigned m_read = 0;
  unsigned m_timer = 0;
  PollId m_poll = 0;
  TimePoint m_pausedUntil;
  bool m_cutFromStore = false;
  bool m_cutSilently = false;
};

FeedFleet::FeedFleet(std::size_t aDataCentres,
                     std::size_t aHostsEach,
                     unsigned aSeed)
  : m_random(MakeSeededRandom(aSeed))
{
  for (std::size_t i = 0; i < aDataCentres * aHostsEach; ++i) {
    const std::string dataCentre = "dc" + std::to_string(i / aHostsEach);
    m_records.push_back({ "h" + std::to_string(i),
                          dataCentre,
                          "10.0.0.1:" + std::to_string(1000 + i),
                          i % 5 == 0 ? 0.5 : 0.25 });
  }
  for (std::size_t i = 0; i < m_records.size(); ++i) {
    m_hosts.push_back(std::make_unique<Host>(*this, i, m_records[i]));
  }
}

FeedFleet::~FeedFleet() = default;

void
FeedFleet::After(Duration aTime, std::function<void()> aAction)
{
  m_events.After(aTime, std::move(aAction));
}

void
FeedFleet::Run(Duration aTime)
{
  m_events.RunUntil(Now() + aTime);
}

void
FeedFleet::Change()
{
  ++m_storeRevision.m_number;
}

std::size_t
FeedFleet::ReaderOf(std::size_t aDataCentre, std::size_t aRank) const
{
  for (std::size_t i = 0; i < m_hosts.size(); ++i) {
    const bool here =
      m_records[i].m_dataCentre == "dc" + std::to_string(aDataCentre);
    SourceSelector selector(FeedOptions{ m_records[i] }, *m_random);
    selector.SetHosts(m_records);
    if (here && selector.Rank() == aRank) {
      return i;
    }
  }
  return m_hosts.size();
}

void
FeedFleet::Pause(std::size_t aHost, Duration aTime)
{
  m_hosts[aHost]->m_pausedUntil = Now() + aTime;
}

void
FeedFleet::Kill(std::size_t aHost)
{
  m_hosts[aHost]->Kill();
}

void
FeedFleet::Restart(std::size_t aHost)
{
  m_hosts[aHost]->Start();
}

void
FeedFleet::CutFromStore(std::size_t aHost, bool aSilent)
{
  m_hosts[aHost]->m_cutFromStore = true;
  m_hosts[aHost]->m_cutSilently = aSilent;
}

void
FeedFleet::HealStore(std::size_t aHost)
{
  m_hosts[aHost]->m_cutFromStore = false;
}

bool
FeedFleet::IsAlive(std::size_t aHost) const
{
  return m_hosts[aHost]->m_alive && m_hosts[aHost]->m_pausedUntil <= Now();
}

FeedRevision
FeedFleet::RevisionOf(std::size_t aHost) const
{
  return m_hosts[aHost]->m_follower->Revision();
}

FeedSource
FeedFleet::SourceOf(std::size_t aHost) const
{
  return m_hosts[aHost]->m_follower->Source();
}

} // namespace goldcrestkeel::testing
