#include "CommandRun.h"

#include <algorithm>

namespace goldcrestkeel::benchmark {

namespace {

constexpr Duration kSecond{ 1000000 };
/** The clocks of all hosts, callers and backend servers are off by up to this
 *  much, so that two of them differ by up to kMaxClockSkew. */
constexpr std::uint64_t kOffsetMs = kMaxClockSkew / 2;
constexpr Duration kWarmUp{ 10 * kSecond };
/** Time for late starts and late sends after the last command. */
constexpr Duration kAftermath{ 120 * kSecond };
constexpr int kSends = 5;
constexpr std::uint64_t kMeanFaultUs = 6000000;

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
    int m_sendsLeft = kSends;
    /** Number of the latest send; answers to earlier ones count as well. */
    int m_send = 0;
    bool m_settled = false;
    std::string m_why = "no answer";
    Ran m_ran = Ran::Unknown;
  };

  std::uint64_t Below(std::uint64_t aBound) { return m_random.Below(aBound); }
  Duration Micros(std::uint64_t aFrom, std::uint64_t aTo)
  {
    return Duration{ aFrom + Below(aTo - aFrom) };
  }
  bool Chance(double aShare) { return m_random.Unit() < aShare; }
  WallTime Offset()
  {
    return static_cast<WallTime>(Below(2 * kOffsetMs + 1)) -
           static_cast<WallTime>(kOffsetMs);
  }

  void StartCommands();
  void StartCommand();
  void Send(const std::shared_ptr<Caller>& aCaller);
  void SendLater(const std::shared_ptr<Caller>& aCaller, Duration aDelay);
  void Answered(const std::shared_ptr<Caller>& aCaller,
                int aSend,
                const CommandOutcome& aOutcome);
  void InstallFaultHooks();
  void NextFault();
  void InjectFault();
  void Replace(std::size_t aHost, Duration aDelay);

  CommandRunOptions m_options;
  CommandFleet m_fleet;
  RandomSource& m_random;
  std::vector<std::shared_ptr<Caller>> m_callers;
  /** Pairs of hosts between which nothing passes, until the given time. */
  std::map<std::pair<std::size_t, std::size_t>, TimePoint> m_cuts;
  std::map<std::size_t, TimePoint> m_storeCuts;
  bool m_faulty = false;
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
      m_fleet.SetClockError(i, Offset());
    }
    InstallFaultHooks();
    m_faulty = true;
    NextFault();
  }
  const std::uint64_t reads = m_fleet.StoreReads();
  const std::uint64_t writes = m_fleet.StoreWrites();
  const TimePoint start = m_fleet.Now();
  StartCommands();
  while (m_callers.size() < m_options.m_commands) {
    m_fleet.RunFor(kSecond);
  }
  CommandRunResult result;
  result.m_seconds = static_cast<double>((m_fleet.Now() - start).count()) / 1e6;
  result.m_storeReads = m_fleet.StoreReads() - reads;
  result.m_storeWrites = m_fleet.StoreWrites() - writes;
  m_faulty = false;
  m_fleet.RunFor(m_options.m_faults ? kAftermath : 5 * kSecond);
  result.m_commands = m_callers.size();
  for (const auto& caller : m_callers) {
    result.m_ran += caller->m_ran == Ran::Yes ? 1 : 0;
    result.m_notRun += caller->m_ran == Ran::No ? 1 : 0;
    result.m_unknown += caller->m_ran == Ran::Unknown ? 1 : 0;
    if (caller->m_ran == Ran::Unknown) {
      ++result.m_unknownByDetail[caller->m_why];
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
  const auto mean = static_cast<std::uint64_t>(m_options.m_interval.count());
  m_fleet.After(Micros(0, 2 * mean), [this] { StartCommands(); });
}

void
CommandRun::StartCommand()
{
  auto caller = std::make_shared<Caller>();
  caller->m_command.m_service = "reservations";
  caller->m_command.m_key = m_fleet.NewKey(m_options.m_faults ? Offset() : 0);
  caller->m_command.m_body = "hold " + std::to_string(m_callers.size());
  caller->m_deadline = Micros(500000, 3000000);
  m_callers.push_back(caller);
  Send(caller);
  if (m_options.m_faults && Chance(0.05)) {
    // An impatient caller sends through a second host at once.
    SendLater(caller, Micros(0, 50000));
  }
}

void
CommandRun::SendLater(const std::shared_ptr<Caller>& aCaller, Duration aDelay)
{
  m_fleet.After(aDelay, [this, aCaller] {
    if (!aCaller->m_settled && aCaller->m_sendsLeft > 0) {
      Send(aCaller);
    }
  });
}

void
CommandRun::Send(const std::shared_ptr<Caller>& aCaller)
{
  const std::size_t host = Below(m_fleet.Hosts());
  const int send = ++aCaller->m_send;
  const bool connected =
    m_fleet.Submit(host,
                   aCaller->m_command,
                   aCaller->m_deadline,
                   [this, aCaller, send](const CommandOutcome& aOutcome) {
                     if (!m_faulty || !Chance(0.01)) {
                       Answered(aCaller, send, aOutcome);
                     }
                   });
  if (!connected) {
    // The load balancer tries another host.
    SendLater(aCaller, Duration{ 10000 });
    return;
  }
  --aCaller->m_sendsLeft;
  const Duration patience = aCaller->m_deadline + Micros(100000, 400000);
  m_fleet.After(patience, [this, aCaller, send] {
    if (aCaller->m_send == send) {
      SendLater(aCaller, Duration{ 0 });
    }
  });
}

void
CommandRun::Answered(const std::shared_ptr<Caller>& aCaller,
                     int aSend,
                     const CommandOutcome& aOutcome)
{
  if (aCaller->m_settled) {
    return;
  }
  aCaller->m_ran = aOutcome.m_ran;
  if (aOutcome.m_ran != Ran::Unknown) {
    aCaller->m_settled = true;
    return;
  }
  aCaller->m_why = aOutcome.m_detail;
  std::erase_if(aCaller->m_why,
                [](char aLetter) { return aLetter >= '0' && aLetter <= '9'; });
  if (aSend == aCaller->m_send) {
    ++aCaller->m_send;
    SendLater(aCaller, Micros(50000, Chance(0.1) ? 15000000 : 1000000));
  }
}

// ---- Faults ---------------------------------------------------------------

void
CommandRun::InstallFaultHooks()
{
  m_fleet.m_storeFaultHook = [this](std::size_t aHost, const StoreCall&) {
    if (!m_faulty) {
      return DeliveryOutcome::Delivered;
    }
    if (m_storeCuts[aHost] > m_fleet.Now()) {
      return Chance(0.5) ? DeliveryOutcome::RequestLost
                         : DeliveryOutcome::ReplyLost;
    }
    const double dice = m_random.Unit();
    return dice < 0.01   ? DeliveryOutcome::ReplyLost
           : dice < 0.02 ? DeliveryOutcome::RequestLost
           : dice < 0.03 ? DeliveryOutcome::Late
           : dice < 0.04 ? DeliveryOutcome::Refused
                         : DeliveryOutcome::Delivered;
  };
  m_fleet.m_peerFaultHook = [this](std::size_t aFrom, std::size_t aTo) {
    if (!m_faulty) {
      return DeliveryOutcome::Delivered;
    }
    if (m_cuts[std::minmax(aFrom, aTo)] > m_fleet.Now()) {
      return Chance(0.7) ? DeliveryOutcome::Refused
                         : DeliveryOutcome::RequestLost;
    }
    const double dice = m_random.Unit();
    return dice < 0.005   ? DeliveryOutcome::ReplyLost
           : dice < 0.010 ? DeliveryOutcome::RequestLost
           : dice < 0.015 ? DeliveryOutcome::Late
           : dice < 0.020 ? DeliveryOutcome::Refused
                          : DeliveryOutcome::Delivered;
  };
  m_fleet.m_backendFaultHook = [this](std::size_t, const SendCommand&) {
    if (!m_faulty) {
      return DeliveryOutcome::Delivered;
    }
    const double dice = m_random.Unit();
    return dice < 0.03    ? DeliveryOutcome::Shed
           : dice < 0.06  ? DeliveryOutcome::Refused
           : dice < 0.062 ? DeliveryOutcome::RequestLost
           : dice < 0.064 ? DeliveryOutcome::ReplyLost
           : dice < 0.066 ? DeliveryOutcome::Late
           : dice < 0.067 ? DeliveryOutcome::MismatchedReply
                          : DeliveryOutcome::Delivered;
  };
  m_fleet.m_queueTime = [this] {
    return m_faulty && Chance(0.02) ? Micros(0, 12000000) : Duration{ 0 };
  };
  m_fleet.m_backendClockError = [this] { return Offset(); };
}

void
CommandRun::NextFault()
{
  m_fleet.After(Micros(0, 2 * kMeanFaultUs), [this] {
    if (m_faulty) {
      InjectFault();
      NextFault();
    }
  });
}

void
CommandRun::Replace(std::size_t aHost, Duration aDelay)
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
        Replace(host, Micros(200000, 25000000));
      }
      break;
    case 1:
      m_fleet.Pause(host, Micros(100000, 20000000));
      break;
    case 2:
      m_fleet.PauseAfterDecision(host, Micros(100000, 20000000));
      break;
    case 3:
      if (m_fleet.Running(host)) {
        m_fleet.Shutdown(host);
        m_fleet.PublishMembers(2 * kSecond);
        Replace(host, Micros(2000000, 12000000));
      }
      break;
    case 4:
      m_fleet.InjectStoreOutage(Micros(100000, 20000000));
      break;
    case 5:
      m_cuts[std::minmax(host, other)] =
        m_fleet.Now() + Micros(100000, 10000000);
      break;
    case 6:
      m_storeCuts[host] = m_fleet.Now() + Micros(100000, 15000000);
      break;
    case 7:
      m_fleet.SetClockError(host, Offset());
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
