#pragma once

#include <goldcrestkeel/core/Time.h>
#include <goldcrestkeel/edge/Loop.h>

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace goldcrestkeel {

/** Value of one member of a log line. */
using LogValue = std::variant<std::string_view, std::int64_t, double, bool>;

struct LogField
{
  std::string_view m_name;
  LogValue m_value;
};

/** How much a log line matters when there is no room for all. */
enum class LogPriority
{
  /** Left out first. */
  Request,
  /** Start, stop, lost and regained dependencies. */
  Process,
};

/** Writes structured lines to a descriptor without ever blocking. What the
 *  reader does not take, and what exceeds the rate, is counted and left out. */
class DecisionLog
{
public:
  /** aLoop must outlive the log. */
  DecisionLog(Loop& aLoop, int aDescriptor, std::string aHost);
  ~DecisionLog();
  DecisionLog(const DecisionLog&) = delete;
  DecisionLog& operator=(const DecisionLog&) = delete;

  void Write(LogPriority aWeight,
             std::string_view aEvent,
             std::initializer_list<LogField> aMembers);
  /** Writes what the reader takes at once. */
  void Flush();

  std::uint64_t DroppedLines() const { return m_leftOut; }

private:
  bool HasRoom(LogPriority aWeight, TimePoint aNow);

  Loop& m_loop;
  int m_descriptor;
  std::string m_host;
  std::string m_buffer;
  double m_tokens;
  TimePoint m_tokensAt;
  std::uint64_t m_leftOut = 0;
  std::uint64_t m_leftOutSinceLine = 0;
  bool m_flushPlanned = false;
  LoopTimer m_flush;
};

} // namespace goldcrestkeel
