#pragma once

#include "ExitCode.h"
#include "Transport.h"

#include <goldcrestkeel/core/Errors.h>

#include <nlohmann/json.hpp>

#include <string>

namespace goldcrestkeel::gkctl {

/** Final answer to one request, possibly after it was sent through several
 *  hosts. */
struct Answer
{
  /** Host that gave the answer; the last one tried if there is none. */
  std::string m_host;
  /** 0 if no host answered. */
  int m_status = 0;
  /** Answer, or problem of application/problem+json. */
  nlohmann::json m_body;
  /** Whether the request ran; Yes for a success. */
  Ran m_ran = Ran::No;
  /** Hosts that were tried. */
  std::size_t m_attempts = 0;

  bool Succeeded() const { return m_status >= 200 && m_status < 300; }
  /** Name of the error of a problem, for example "overloaded". */
  std::string ErrorName() const;
};

/** Reads a response. What is not JSON becomes a problem. */
Answer
ReadAnswer(const std::string& aHost, const Response& aResponse);

ExitCode
ExitCodeOf(const Answer& aAnswer);

/** Problem in readable lines, without a line feed at the end:
 *  "error: overloaded: The host is overloaded" and so on. */
std::string
DescribeProblem(const Answer& aAnswer);

/** Answer in readable lines: single values one a line, arrays of objects as
 *  tables. */
std::string
DescribeBody(const nlohmann::json& aBody);

/** JSON text; bytes that are not UTF-8 are replaced. */
std::string
Dump(const nlohmann::json& aValue, int aIndent = -1);

} // namespace goldcrestkeel::gkctl
