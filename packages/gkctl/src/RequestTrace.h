#pragma once

#include <nlohmann/json.hpp>

#include <istream>
#include <string>
#include <vector>

namespace goldcrestkeel::gkctl {

/** Lines of the logs of entry hosts that tell what became of one request. */
class RequestTrace
{
public:
  explicit RequestTrace(std::string aRequest);

  /** Reads one log. Anything before the JSON object of a line is ignored, as
   *  are lines without one. */
  void Read(std::istream& aLog);

  /** Lines about the request, about the replicas that they name, and about the
   *  hosts that wrote them, in order of time. Lines about replicas and hosts
   * are those from aMarginMs before the first to aMarginMs after the last line
   * of the request. Empty if no line names the request. */
  std::vector<nlohmann::json> Lines(double aMarginMs) const;

private:
  bool IsOfRequest(const nlohmann::json& aLine) const;

  std::string m_request;
  std::vector<nlohmann::json> m_lines;
};

/** One line for people: time since aStartMs, host, event, members. */
std::string
FormatTraceLine(const nlohmann::json& aLine, double aStartMs);

} // namespace goldcrestkeel::gkctl
