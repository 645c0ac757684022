#pragma once

#include "ExitCode.h"
#include "Transport.h"

#include <goldcrestkeel/core/Errors.h>

#include <nlohmann/json.hpp>

#include <string>

namespace goldcrestkeel::gkctl {

/** Final outcome of one request, possibly after attempts through several
 *  hosts. */
struct Answer
{
  /** Host that answered; the last one tried if none did. */
  std::string m_host;
  /** HTTP status; 0 if there is no usable answer. */
  int m_status = 0;
  /** JSON body: the result, or a problem as in application/problem+json. */
  nlohmann::json m_body;
  /** Whether the request ran; always Yes for a success. */
  Ran m_ran = Ran::No;
  /** Number of hosts that were tried. */
  std::size_t m_attempts = 0;

  bool Succeeded() const { return m_status >= 200 && m_status < 300; }
  /** Member "error" of a problem, for example "overloaded"; empty if there is
   *  none. */
  std::string ErrorName() const;
};

/** Converts a response of aHost. A body that is not JSON and a failed transfer
 *  become problems. */
Answer
ReadAnswer(const std::string& aHost, const Response& aResponse);

ExitCode
ExitCodeOf(const Answer& aAnswer);

/** Formats a problem as readable lines without a line feed at the end. The
 *  first line is, for example, "error: overloaded: The host is overloaded". */
std::string
DescribeProblem(const Answer& aAnswer);

/** Formats the body of an answer as readable lines: one line for each single
 *  value, a table for each array of objects. */
std::string
DescribeBody(const nlohmann::json& aBody);

/** Serializes aValue as JSON; replaces bytes that are not UTF-8. aIndent is the
 *  number of spaces per level, or -1 for a single line. */
std::string
Dump(const nlohmann::json& aValue, int aIndent = -1);

} // namespace goldcrestkeel::gkctl
