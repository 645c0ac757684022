#include "RequestTrace.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>

namespace goldcrestkeel::gkctl {

namespace {

using nlohmann::json;

std::string
StringMember(const json& aLine, const char* aMember)
{
  const auto member = aLine.find(aMember);
  return member != aLine.end() && member->is_string()
           ? member->get<std::string>()
           : std::string();
}

double
TimeMs(const json& aLine)
{
  return aLine.value("time_ms", 0.0);
}

} // namespace

RequestTrace::RequestTrace(std::string aRequest)
  : m_request(std::move(aRequest))
{
}

void
RequestTrace::Read(std::istream& aLog)
{
  std::string text;
  while (std::getline(aLog, text)) {
    const std::size_t start = text.find('{');
    if (start == std::string::npos) {
      continue;
    }
    json line = json::parse(text.begin() + static_cast<std::ptrdiff_t>(start),
                            text.end(),
                            nullptr,
                            false);
    const auto time = line.is_object() ? line.find("time_ms") : line.end();
    if (line.is_object() && time != line.end() && time->is_number()) {
      m_lines.push_back(std::move(line));
    }
  }
}

bool
RequestTrace::IsOfRequest(const json& aLine) const
{
  return StringMember(aLine, "request") == m_request;
}

std::vector<json>
RequestTrace::Lines(double aMarginMs) const
{
  std::set<std::string> replicas;
  std::set<std::string> hosts;
  double first = 0;
  double last = 0;
  for (const json& line : m_lines) {
    if (!IsOfRequest(line)) {
      continue;
    }
    first = hosts.empty() ? TimeMs(line) : std::min(first, TimeMs(line));
    last = std::max(last, TimeMs(line));
    hosts.insert(StringMember(line, "host"));
    replicas.insert(StringMember(line, "replica"));
  }
  replicas.erase("");
  std::vector<json> trace;
  for (const json& line : m_lines) {
    const bool withinMargin =
      TimeMs(line) >= first - aMarginMs && TimeMs(line) <= last + aMarginMs;
    const bool ofOtherRequest = !StringMember(line, "request").empty();
    const std::string replica = StringMember(line, "replica");
    const bool isContext = !ofOtherRequest &&
                           hosts.contains(StringMember(line, "host")) &&
                           (replica.empty() || replicas.contains(replica));
    if (IsOfRequest(line) || (withinMargin && !hosts.empty() && isContext)) {
      trace.push_back(line);
    }
  }
  std::stable_sort(
    trace.begin(), trace.end(), [](const json& aLeft, const json& aRight) {
      return TimeMs(aLeft) < TimeMs(aRight);
    });
  return trace;
}

std::string
FormatTraceLine(const json& aLine, double aStartMs)
{
  std::array<char, 32> time{};
  std::snprintf(
    time.data(), time.size(), "%+10.0f ms  ", TimeMs(aLine) - aStartMs);
  std::string text(time.data());
  text += StringMember(aLine, "host") + "  " + StringMember(aLine, "event");
  for (const auto& [name, value] : aLine.items()) {
    const bool shown =
      name != "time_ms" && name != "host" && name != "event" && value != "";
    if (shown) {
      text.append("  ").append(name).append("=").append(
        value.is_string() ? value.get<std::string>() : value.dump());
    }
  }
  return text;
}

} // namespace goldcrestkeel::gkctl
