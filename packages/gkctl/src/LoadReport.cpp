#include "LoadReport.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace goldcrestkeel::gkctl {

namespace {

double
Milliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

void
LoadReport::Add(const Answer& aAnswer, Duration aLatency, Duration aSendLag)
{
  ++m_total;
  m_answered += aAnswer.m_status != 0 ? 1 : 0;
  m_maxSendLag = std::max(m_maxSendLag, aSendLag);
  ++m_ran[std::string(NameOf(aAnswer.m_ran))];
  if (!aAnswer.Succeeded()) {
    const std::string name = aAnswer.ErrorName();
    ++m_outcomes[name.empty() ? std::to_string(aAnswer.m_status) : name];
    return;
  }
  ++m_outcomes["ok"];
  m_latencies.push_back(aLatency);
  const nlohmann::json::json_pointer fractionPath("/coverage/fraction");
  if (aAnswer.m_body.is_object() && aAnswer.m_body.contains(fractionPath) &&
      aAnswer.m_body.at(fractionPath).is_number()) {
    const double fraction = aAnswer.m_body.at(fractionPath).get<double>();
    ++m_coverageCount;
    m_coverageSum += fraction;
    m_minCoverage = std::min(m_minCoverage, fraction);
  }
}

double
LoadReport::PercentileMs(double aQuantile) const
{
  if (m_latencies.empty()) {
    return 0;
  }
  std::vector<Duration> latencies = m_latencies;
  const auto rank = static_cast<std::size_t>(
    std::ceil(aQuantile * static_cast<double>(latencies.size())));
  const auto at = latencies.begin() + static_cast<std::ptrdiff_t>(
                                        std::max<std::size_t>(rank, 1) - 1);
  std::nth_element(latencies.begin(), at, latencies.end());
  return Milliseconds(*at);
}

nlohmann::json
LoadReport::ToJson(Duration aElapsed, double aRate) const
{
  const double seconds = std::max(Seconds(aElapsed), 1e-6);
  nlohmann::json report{
    { "requests", m_total },
    { "succeeded", Succeeded() },
    { "seconds", seconds },
    { "rate", aRate },
    { "succeeded_per_s", static_cast<double>(Succeeded()) / seconds },
    { "outcomes", m_outcomes },
    { "ran", m_ran },
    { "largest_send_lag_ms", Milliseconds(m_maxSendLag) }
  };
  if (Succeeded() > 0) {
    report["latency_ms"] = { { "p50", PercentileMs(0.5) },
                             { "p90", PercentileMs(0.9) },
                             { "p99", PercentileMs(0.99) },
                             { "p999", PercentileMs(0.999) },
                             { "max", PercentileMs(1) } };
  }
  if (m_coverageCount > 0) {
    report["coverage"] = {
      { "mean", m_coverageSum / static_cast<double>(m_coverageCount) },
      { "min", m_minCoverage }
    };
  }
  return report;
}

std::string
LoadReport::ToText(Duration aElapsed, double aRate) const
{
  std::ostringstream text;
  text << std::fixed << std::setprecision(2) << m_total << " requests in "
       << Seconds(aElapsed) << " s (scheduled " << aRate << " per s), "
       << Succeeded() << " succeeded\n";
  for (const auto& [name, count] : m_outcomes) {
    text << "  " << name << ": " << count << "\n";
  }
  if (Succeeded() > 0) {
    text << "latency from the scheduled time: p50 " << PercentileMs(0.5)
         << " ms, p90 " << PercentileMs(0.9) << " ms, p99 "
         << PercentileMs(0.99) << " ms, p99.9 " << PercentileMs(0.999)
         << " ms, max " << PercentileMs(1) << " ms\n";
  }
  if (m_coverageCount > 0) {
    text << std::setprecision(4) << "coverage: mean "
         << m_coverageSum / static_cast<double>(m_coverageCount) << ", min "
         << m_minCoverage << "\n";
  }
  text << std::setprecision(2)
       << "largest send lag: " << Milliseconds(m_maxSendLag) << " ms\n";
  return text.str();
}

} // namespace goldcrestkeel::gkctl
