#include "LoadRunner.h"

#include "Curl.h"
#include "FailoverClient.h"

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
constexpr Duration kMaxPollInterval = std::chrono::milliseconds{ 100 };

struct MultiDeleter
{
  void operator()(CURLM* aHandle) const { curl_multi_cleanup(aHandle); }
};

/** State of one request until its final answer. */
struct InFlightRequest
{
  Request m_request;
  std::uint64_t m_index = 0;
  std::size_t m_attempts = 0;
  /** Whether a host may have run the request. */
  bool m_mayHaveRun = false;
  Duration m_scheduled{ 0 };
  Duration m_sendLag{ 0 };
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
  bool CanStart(Duration aNow) const;
  void StartScheduled();
  void Start(InFlightRequest aInFlight);
  void ProcessTransfers();
  void Finish(CURL* aHandle, CURLcode aResult);
  void Poll();

  const LoadPlan& m_plan;
  LoadReport& m_report;
  std::unique_ptr<CURLM, MultiDeleter> m_multi;
  std::unordered_map<CURL*, InFlightRequest> m_requestsInFlight;
  std::uint64_t m_startedCount = 0;
  SteadyClock::time_point m_startTime = SteadyClock::now();
};

Runner::Runner(const LoadPlan& aPlan, LoadReport& aReport)
  : m_plan(aPlan)
  , m_report(aReport)
  , m_multi(InitializeCurl() ? curl_multi_init() : nullptr)
{
  if (!m_multi) {
    throw std::runtime_error("libcurl cannot be initialized");
  }
}

Runner::~Runner()
{
  for (const auto& [handle, inFlight] : m_requestsInFlight) {
    curl_multi_remove_handle(m_multi.get(), handle);
  }
}

Duration
Runner::Now() const
{
  return std::chrono::duration_cast<Duration>(SteadyClock::now() - m_startTime);
}

bool
Runner::CanStart(Duration aNow) const
{
  return m_startedCount < m_plan.m_count &&
         m_requestsInFlight.size() < m_plan.m_maxInFlight &&
         ScheduledTime(m_startedCount, m_plan.m_rate) <= aNow;
}

void
Runner::StartScheduled()
{
  for (Duration now = Now(); CanStart(now); now = Now()) {
    InFlightRequest inFlight;
    inFlight.m_index = m_startedCount;
    inFlight.m_request = m_plan.m_makeRequest(m_startedCount);
    inFlight.m_scheduled = ScheduledTime(m_startedCount, m_plan.m_rate);
    inFlight.m_sendLag = now - inFlight.m_scheduled;
    ++m_startedCount;
    Start(std::move(inFlight));
  }
}

void
Runner::Start(InFlightRequest aInFlight)
{
  aInFlight.m_request.m_host =
    m_plan.m_hosts[(aInFlight.m_index + aInFlight.m_attempts) %
                   m_plan.m_hosts.size()];
  ++aInFlight.m_attempts;
  aInFlight.m_transfer = std::make_unique<CurlTransfer>();
  aInFlight.m_transfer->Prepare(aInFlight.m_request);
  CURL* handle = aInFlight.m_transfer->Handle();
  m_requestsInFlight.emplace(handle, std::move(aInFlight));
  if (curl_multi_add_handle(m_multi.get(), handle) != CURLM_OK) {
    throw std::runtime_error("libcurl: curl_multi_add_handle failed");
  }
}

void
Runner::Finish(CURL* aHandle, CURLcode aResult)
{
  auto node = m_requestsInFlight.extract(aHandle);
  InFlightRequest inFlight = std::move(node.mapped());
  curl_multi_remove_handle(m_multi.get(), aHandle);
  Answer answer =
    ReadAnswer(inFlight.m_request.m_host, inFlight.m_transfer->Finish(aResult));
  inFlight.m_mayHaveRun = inFlight.m_mayHaveRun || answer.m_ran == Ran::Unknown;
  if (!answer.Succeeded() && ShouldTryNextHost(answer) &&
      inFlight.m_attempts < m_plan.m_attempts) {
    Start(std::move(inFlight));
    return;
  }
  if (inFlight.m_mayHaveRun && answer.m_ran == Ran::No) {
    answer.m_ran = Ran::Unknown;
  }
  m_report.Add(answer, Now() - inFlight.m_scheduled, inFlight.m_sendLag);
}

void
Runner::ProcessTransfers()
{
  int running = 0;
  if (curl_multi_perform(m_multi.get(), &running) != CURLM_OK) {
    throw std::runtime_error("libcurl: curl_multi_perform failed");
  }
  int remaining = 0;
  while (CURLMsg* message = curl_multi_info_read(m_multi.get(), &remaining)) {
    if (message->msg == CURLMSG_DONE) {
      Finish(message->easy_handle, message->data.result);
    }
  }
}

void
Runner::Poll()
{
  Duration wait = kMaxPollInterval;
  if (m_startedCount < m_plan.m_count &&
      m_requestsInFlight.size() < m_plan.m_maxInFlight) {
    wait = std::clamp(ScheduledTime(m_startedCount, m_plan.m_rate) - Now(),
                      Duration{ 0 },
                      kMaxPollInterval);
  }
  // Rounds down, so that the next request does not start late: during the last
  // millisecond before its scheduled time, the loop polls without waiting.
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  curl_multi_poll(
    m_multi.get(), nullptr, 0, static_cast<int>(milliseconds), nullptr);
}

Duration
Runner::Run(const std::function<void(const LoadProgress&)>& aProgress)
{
  m_startTime = SteadyClock::now();
  Duration nextProgress = kProgressInterval;
  while (m_startedCount < m_plan.m_count || !m_requestsInFlight.empty()) {
    StartScheduled();
    ProcessTransfers();
    if (Now() >= nextProgress) {
      aProgress({ Now(), m_startedCount, m_requestsInFlight.size() });
      nextProgress += kProgressInterval;
    }
    if (m_startedCount < m_plan.m_count || !m_requestsInFlight.empty()) {
      Poll();
    }
  }
  return Now();
}

} // namespace

Duration
ScheduledTime(std::uint64_t aIndex, double aRate)
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
