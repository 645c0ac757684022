#include "LoadRunner.h"

#include "Curl.h"
#include "HostCaller.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <memory>
#include <stdexcept>
#include <unordered_map>

namespace goldcrestkeel::gkctl {

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr Duration kProgressInterval = std::chrono::seconds{ 1 };
constexpr Duration kLongestPoll = std::chrono::milliseconds{ 100 };

struct MultiDeleter
{
  void operator()(CURLM* aHandle) const { curl_multi_cleanup(aHandle); }
};

/** One request until its final answer. */
struct Flight
{
  Request m_request;
  std::uint64_t m_index = 0;
  std::size_t m_attempts = 0;
  /** Some host may have run the request. */
  bool m_mayHaveRun = false;
  Duration m_due{ 0 };
  Duration m_lag{ 0 };
  std::unique_ptr<CurlTransfer> m_transfer;
};

class Runner
{
public:
  Runner(const LoadPlan& aPlan, LoadReport& aReport);
  ~Runner();
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  Duration Run(const std::function<void(const LoadProgress&)>& aProgress);

private:
  Duration Now() const;
  bool MayStart(Duration aNow) const;
  void StartDue();
  void Start(Flight aFlight);
  void Collect();
  void Finish(CURL* aHandle, CURLcode aResult);
  void Poll();

  const LoadPlan& m_plan;
  LoadReport& m_report;
  std::unique_ptr<CURLM, MultiDeleter> m_multi;
  std::unordered_map<CURL*, Flight> m_flights;
  std::uint64_t m_started = 0;
  SteadyClock::time_point m_start = SteadyClock::now();
};

Runner::Runner(const LoadPlan& aPlan, LoadReport& aReport)
  : m_plan(aPlan)
  , m_report(aReport)
  , m_multi(SetUpCurl() ? curl_multi_init() : nullptr)
{
  if (!m_multi) {
    throw std::runtime_error("libcurl cannot be set up");
  }
}

Runner::~Runner()
{
  for (const auto& [handle, flight] : m_flights) {
    curl_multi_remove_handle(m_multi.get(), handle);
  }
}

Duration
Runner::Now() const
{
  return std::chrono::duration_cast<Duration>(SteadyClock::now() - m_start);
}

bool
Runner::MayStart(Duration aNow) const
{
  return m_started < m_plan.m_count &&
         m_flights.size() < m_plan.m_mostInFlight &&
         DueTime(m_started, m_plan.m_rate) <= aNow;
}

void
Runner::StartDue()
{
  for (Duration now = Now(); MayStart(now); now = Now()) {
    Flight flight;
    flight.m_index = m_started;
    flight.m_request = m_plan.m_make(m_started);
    flight.m_due = DueTime(m_started, m_plan.m_rate);
    flight.m_lag = now - flight.m_due;
    ++m_started;
    Start(std::move(flight));
  }
}

void
Runner::Start(Flight aFlight)
{
  aFlight.m_request.m_host =
    m_plan
      .m_hosts[(aFlight.m_index + aFlight.m_attempts) % m_plan.m_hosts.size()];
  ++aFlight.m_attempts;
  aFlight.m_transfer = std::make_unique<CurlTransfer>();
  aFlight.m_transfer->Prepare(aFlight.m_request);
  CURL* handle = aFlight.m_transfer->Handle();
  m_flights.emplace(handle, std::move(aFlight));
  if (curl_multi_add_handle(m_multi.get(), handle) != CURLM_OK) {
    throw std::runtime_error("libcurl: a transfer cannot start");
  }
}

void
Runner::Finish(CURL* aHandle, CURLcode aResult)
{
  auto node = m_flights.extract(aHandle);
  Flight flight = std::move(node.mapped());
  curl_multi_remove_handle(m_multi.get(), aHandle);
  Answer answer =
    ReadAnswer(flight.m_request.m_host, flight.m_transfer->Finish(aResult));
  flight.m_mayHaveRun = flight.m_mayHaveRun || answer.m_ran == Ran::Unknown;
  if (!answer.Succeeded() && IsWorthAnotherHost(answer) &&
      flight.m_attempts < m_plan.m_attempts) {
    Start(std::move(flight));
    return;
  }
  if (flight.m_mayHaveRun && answer.m_ran == Ran::No) {
    answer.m_ran = Ran::Unknown;
  }
  m_report.Add(answer, Now() - flight.m_due, flight.m_lag);
}

void
Runner::Collect()
{
  int running = 0;
  if (curl_multi_perform(m_multi.get(), &running) != CURLM_OK) {
    throw std::runtime_error("libcurl: transfers fail");
  }
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(m_multi.get(), &left)) {
    if (message->msg == CURLMSG_DONE) {
      Finish(message->easy_handle, message->data.result);
    }
  }
}

void
Runner::Poll()
{
  Duration wait = kLongestPoll;
  if (m_started < m_plan.m_count && m_flights.size() < m_plan.m_mostInFlight) {
    wait = std::clamp(
      DueTime(m_started, m_plan.m_rate) - Now(), Duration{ 0 }, kLongestPoll);
  }
  // Rounds down: the last millisecond before a due time is spent polling.
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  curl_multi_poll(
    m_multi.get(), nullptr, 0, static_cast<int>(milliseconds), nullptr);
}

Duration
Runner::Run(const std::function<void(const LoadProgress&)>& aProgress)
{
  m_start = SteadyClock::now();
  Duration nextProgress = kProgressInterval;
  while (m_started < m_plan.m_count || !m_flights.empty()) {
    StartDue();
    Collect();
    if (Now() >= nextProgress) {
      aProgress({ Now(), m_started, m_flights.size() });
      nextProgress += kProgressInterval;
    }
    if (m_started < m_plan.m_count || !m_flights.empty()) {
      Poll();
    }
  }
  return Now();
}

} // namespace

Duration
DueTime(std::uint64_t aIndex, double aRate)
{
  constexpr double kMicrosecondsPerSecond = 1e6;
  return Duration{ std::llround(static_cast<double>(aIndex) *
                                kMicrosecondsPerSecond / aRate) };
}

Duration
RunLoad(const LoadPlan& aPlan,
        LoadReport& aReport,
        const std::function<void(const LoadProgress&)>& aProgress)
{
  return Runner(aPlan, aReport).Run(aProgress);
}

} // namespace goldcrestkeel::gkctl
