#include "CommandRun.h"

#include <algorithm>

namespace goldcrestkeel::benchmark {

namespace {

constexpr Duration kSecond{ 1000000 };
/** Maximum error of the clocks of hosts, callers and backend servers. Two of
 *  these clocks then differ by up to kMaxClockSkew. */
constexpr std::uint64_t kMaxClockOffsetMs = kMaxClockSkew / 2;
constexpr Duration kWarmUp{ 10 * kSecond };
/** Time after the last command in which late requests can still run and callers
 *  can still send commands again. */
constexpr Duration kCooldown{ 120 * kSecond };
/** Maximum number of times that a caller sends a command. */
constexpr int kMaxSends = 5;
constexpr std::uint64_t kMeanFaultIntervalUs = 6000000;

class CommandRun
{
public:
  explicit CommandRun(const CommandRunOptions& aOptions);
  CommandRunResult Run();

private:
  struct Caller
  {
    Command m_command;
    Duration m_deadline{ 0 };
    int m_sendsLeft = kMaxSends;
    /** Number of the latest send. Answers to earlier sends count as well. */
    int m_currentSend = 0;
    bool m_hasFinalAnswer = false;
    std::string m_lastDetail = "no answer";
    Ran m_ran = Ran::Unknown;
  };

  std::uint64_t Below(std::uint64_t aBound) { return m_random.Below(aBound); }
  /** Random duration in [aFrom, aTo) microseconds. */
  Duration RandomDuration(std::uint64_t aFrom, std::uint64_t aTo)
  {
    return Duration{ aFrom + Below(aTo - aFrom) };
  }
  bool WithProbability(double aProbability)
  {
    return m_random.Unit() < aProbability;
  }
  /** Random clock error in milliseconds. */
  WallTime RandomClockOffset()
  {
    return static_cast<WallTime>(Below(2 * kMaxClockOffsetMs + 1)) -
           static_cast<WallTime>(kMaxClockOffsetMs);
  }

  void StartCommands();
  void StartCommand();
  void Send(const std::shared_ptr<Caller>& aCaller);
  void SendLater(const std::shared_ptr<Caller>& aCaller, Duration aDelay);
  void OnAnswer(const std::shared_ptr<Caller>& aCaller,
                int aSend,
                const CommandOutcome& aOutcome);
  void InstallFaultHooks();
  void ScheduleNextFault();
  void InjectFault();
  void RestartLater(std::size_t aHost, Duration aDelay);

  CommandRunOptions m_options;
  CommandFleet m_fleet;
  RandomSource& m_random;
  std::vector<std::shared_ptr<Caller>> m_callers;
  /** For pairs of hosts, and for single hosts and the store, the time until
   *  which no messages pass between them. */
  std::map<std::pair<std::size_t, std::size_t>, TimePoint> m_partitionEnds;
  std::map<std::size_t, TimePoint> m_storePartitionEnds;
  bool m_faultsActive = false;
};

CommandRun::CommandRun(const CommandRunOptions& aOptions)
  : m_options(aOptions)
  , m_fleet(aOptions.m_fleet)
  , m_random(m_fleet.Random())
{
}

CommandRunResult
CommandRun::Run()
{
  m_fleet.RunFor(kWarmUp);
  if (m_options.m_faults) {
    for (std::size_t i = 0; i < m_fleet.Hosts(); ++i) {
      m_fleet.SetClockError(i, RandomClockOffset());
    }
    InstallFaultHooks();
    m_faultsActive = true;
    ScheduleNextFault();
  }
  const std::uint64_t readsBefore = m_fleet.StoreReads();
  const std::uint64_t writesBefore = m_fleet.StoreWrites();
  const TimePoint start = m_fleet.Now();
  StartCommands();
  while (m_callers.size() < m_options.m_commands) {
    m_fleet.RunFor(kSecond);
  }
  CommandRunResult result;
  result.m_seconds = static_cast<double>((m_fleet.Now() - start).count()) / 1e6;
  result.m_storeReads = m_fleet.StoreReads() - readsBefore;
  result.m_storeWrites = m_fleet.StoreWrites() - writesBefore;
  m_faultsActive = false;
  m_fleet.RunFor(m_options.m_faults ? kCooldown : 5 * kSecond);
  result.m_commands = m_callers.size();
  for (const auto& caller : m_callers) {
    result.m_ran += caller->m_ran == Ran::Yes ? 1 : 0;
    result.m_notRun += caller->m_ran == Ran::No ? 1 : 0;
    result.m_unknown += caller->m_ran == Ran::Unknown ? 1 : 0;
    if (caller->m_ran == Ran::Unknown) {
      ++result.m_unknownByDetail[caller->m_lastDetail];
    }
    result.m_executed += m_fleet.Runs(caller->m_command.m_key) != 0 ? 1 : 0;
  }
  result.m_duplicates = m_fleet.Duplicates();
  result.m_falseNotRunAnswers = m_fleet.FalseNotRunAnswers();
  result.m_addedLatencyMs = m_fleet.AddedLatencyMs();
  return result;
}

// ---- Callers --------------------------------------------------------------

void
CommandRun::StartCommands()
{
  if (m_callers.size() >= m_options.m_commands) {
    return;
  }
  StartCommand();
  const auto meanIntervalUs =
    static_cast<std::uint64_t>(m_options.m_interval.count());
  m_fleet.After(RandomDuration(0, 2 * meanIntervalUs),
                [this] { StartCommands(); });
}

void
CommandRun::StartCommand()
{
  auto caller = std::make_shared<Caller>();
  caller->m_command.m_service = "reservations";
  caller->m_command.m_key =
    m_fleet.NewKey(m_options.m_faults ? RandomClockOffset() : 0);
  caller->m_command.m_body = "hold " + std::to_string(m_callers.size());
  caller->m_deadline = RandomDuration(500000, 3000000);
  m_callers.push_back(caller);
  Send(caller);
  if (m_options.m_faults && WithProbability(0.05)) {
    // Some callers send the command through a second host without waiting for
    // the first answer.
    SendLater(caller, RandomDuration(0, 50000));
  }
}

void
CommandRun::SendLater(const std::shared_ptr<Caller>& aCaller, Duration aDelay)
{
  m_fleet.After(aDelay, [this, aCaller] {
    if (!aCaller->m_hasFinalAnswer && aCaller->m_sendsLeft > 0) {
      Send(aCaller);
    }
  });
}

void
CommandRun::Send(const std::shared_ptr<Caller>& aCaller)
{
  const std::size_t host = Below(m_fleet.Hosts());
  const int send = ++aCaller->m_currentSend;
  const bool connected =
    m_fleet.Submit(host,
                   aCaller->m_command,
                   aCaller->m_deadline,
                   [this, aCaller, send](const CommandOutcome& aOutcome) {
                     if (!m_faultsActive || !WithProbability(0.01)) {
                       OnAnswer(aCaller, send, aOutcome);
                     }
                   });
  if (!connected) {
    // The load balancer retries another host.
    SendLater(aCaller, Duration{ 10000 });
    return;
  }
  --aCaller->m_sendsLeft;
  const Duration replyTimeout =
    aCaller->m_deadline + RandomDuration(100000, 400000);
  m_fleet.After(replyTimeout, [this, aCaller, send] {
    if (aCaller->m_currentSend == send) {
      SendLater(aCaller, Duration{ 0 });
    }
  });
}

void
CommandRun::OnAnswer(const std::shared_ptr<Caller>& aCaller,
                     int aSend,
                     const CommandOutcome& aOutcome)
{
  if (aCaller->m_hasFinalAnswer) {
    return;
  }
  aCaller->m_ran = aOutcome.m_ran;
  if (aOutcome.m_ran != Ran::Unknown) {
    aCaller->m_hasFinalAnswer = true;
    return;
  }
  aCaller->m_lastDetail = aOutcome.m_detail;
  std::erase_if(aCaller->m_lastDetail, [](char aCharacter) {
    return aCharacter >= '0' && aCharacter <= '9';
  });
  if (aSend == aCaller->m_currentSend) {
    ++aCaller->m_currentSend;
    SendLater(aCaller,
              RandomDuration(50000, WithProbability(0.1) ? 15000000 : 1000000));
  }
}

// ---- Faults ---------------------------------------------------------------

void
CommandRun::InstallFaultHooks()
{
  m_fleet.m_storeFaultHook = [this](std::size_t aHost, const StoreCall&) {
    if (!m_faultsActive) {
      return DeliveryOutcome::Delivered;
    }
    if (m_storePartitionEnds[aHost] > m_fleet.Now()) {
      return WithProbability(0.5) ? DeliveryOutcome::RequestLost
                                  : DeliveryOutcome::ReplyLost;
    }
    const double draw = m_random.Unit();
    return draw < 0.01   ? DeliveryOutcome::ReplyLost
           : draw < 0.02 ? DeliveryOutcome::RequestLost
           : draw < 0.03 ? DeliveryOutcome::Late
           : draw < 0.04 ? DeliveryOutcome::Refused
                         : DeliveryOutcome::Delivered;
  };
  m_fleet.m_peerFaultHook = [this](std::size_t aFrom, std::size_t aTo) {
    if (!m_faultsActive) {
      return DeliveryOutcome::Delivered;
    }
    if (m_partitionEnds[std::minmax(aFrom, aTo)] > m_fleet.Now()) {
      return WithProbability(0.7) ? DeliveryOutcome::Refused
                                  : DeliveryOutcome::RequestLost;
    }
    const double draw = m_random.Unit();
    return draw < 0.005   ? DeliveryOutcome::ReplyLost
           : draw < 0.010 ? DeliveryOutcome::RequestLost
           : draw < 0.015 ? DeliveryOutcome::Late
           : draw < 0.020 ? DeliveryOutcome::Refused
                          : DeliveryOutcome::Delivered;
  };
  m_fleet.m_backendFaultHook = [this](std::size_t, const SendCommand&) {
    if (!m_faultsActive) {
      return DeliveryOutcome::Delivered;
    }
    const double draw = m_random.Unit();
    return draw < 0.03    ? DeliveryOutcome::Shed
           : draw < 0.06  ? DeliveryOutcome::Refused
           : draw < 0.062 ? DeliveryOutcome::RequestLost
           : draw < 0.064 ? DeliveryOutcome::ReplyLost
           : draw < 0.066 ? DeliveryOutcome::Late
           : draw < 0.067 ? DeliveryOutcome::MismatchedReply
                          : DeliveryOutcome::Delivered;
  };
  m_fleet.m_queueTime = [this] {
    return m_faultsActive && WithProbability(0.02) ? RandomDuration(0, 12000000)
                                                   : Duration{ 0 };
  };
  m_fleet.m_backendClockError = [this] { return RandomClockOffset(); };
}

void
CommandRun::ScheduleNextFault()
{
  m_fleet.After(RandomDuration(0, 2 * kMeanFaultIntervalUs), [this] {
    if (m_faultsActive) {
      InjectFault();
      ScheduleNextFault();
    }
  });
}

void
CommandRun::RestartLater(std::size_t aHost, Duration aDelay)
{
  m_fleet.After(aDelay, [this, aHost] {
    m_fleet.Restart(aHost);
    m_fleet.PublishMembers(2 * kSecond);
  });
}

void
CommandRun::InjectFault()
{
  const std::size_t host = Below(m_fleet.Hosts());
  const std::size_t other = Below(m_fleet.Hosts());
  switch (Below(9)) {
    case 0:
      if (m_fleet.Running(host)) {
        m_fleet.Crash(host);
        m_fleet.PublishMembers(3 * kSecond);
        RestartLater(host, RandomDuration(200000, 25000000));
      }
      break;
    case 1:
      m_fleet.Pause(host, RandomDuration(100000, 20000000));
      break;
    case 2:
      m_fleet.PauseAfterDecision(host, RandomDuration(100000, 20000000));
      break;
    case 3:
      if (m_fleet.Running(host)) {
        m_fleet.Shutdown(host);
        m_fleet.PublishMembers(2 * kSecond);
        RestartLater(host, RandomDuration(2000000, 12000000));
      }
      break;
    case 4:
      m_fleet.InjectStoreOutage(RandomDuration(100000, 20000000));
      break;
    case 5:
      m_partitionEnds[std::minmax(host, other)] =
        m_fleet.Now() + RandomDuration(100000, 10000000);
      break;
    case 6:
      m_storePartitionEnds[host] =
        m_fleet.Now() + RandomDuration(100000, 15000000);
      break;
    case 7:
      m_fleet.SetClockError(host, RandomClockOffset());
      break;
    default:
      m_fleet.PublishMembers(5 * kSecond);
      break;
  }
}

} // namespace

CommandRunResult
RunCommands(const CommandRunOptions& aOptions)
{
  return CommandRun(aOptions).Run();
}

} // namespace goldcrestkeel::benchmark
