#pragma once

#include <nlohmann/json.hpp>

#include <istream>
#include <string>
#include <vector>

namespace goldcrestkeel::gkctl {

/** Collects the lines about one request from the logs of entry hosts. */
class RequestTrace
{
public:
  explicit RequestTrace(std::string aRequest);

  /** Reads one log. Ignores text before the JSON object of a line, and lines
   *  without a JSON object or its number "time_ms". */
  void Read(std::istream& aLog);

  /** Returns, in order of time, the lines of the request and the lines without
   *  a request id that its hosts wrote about themselves and about its replicas.
   *  The latter are limited to the time from aMarginMs before the first to
   *  aMarginMs after the last line of the request. Empty if no line has the
   *  request id. */
  std::vector<nlohmann::json> Lines(double aMarginMs) const;

private:
  bool IsOfRequest(const nlohmann::json& aLine) const;

  std::string m_request;
  std::vector<nlohmann::json> m_lines;
};

/** Formats one line for human readers: time since aStartMs, host, event, other
 *  members. */
std::string
FormatTraceLine(const nlohmann::json& aLine, double aStartMs);

} // namespace goldcrestkeel::gkctl
