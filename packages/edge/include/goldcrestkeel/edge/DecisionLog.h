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

/** Value of a field of a log line; a double is written with three decimals. */
using LogValue = std::variant<std::string_view, std::int64_t, double, bool>;

/** Field of a log line. Both views must be valid only during the call of
 *  DecisionLog::Write(). */
struct LogField
{
  std::string_view m_name;
  LogValue m_value;
};

/** Priority of a log line when the rate or the buffer is exceeded. */
enum class LogPriority
{
  /** About one request or replica; dropped if the rate limit is exceeded or the
   *  buffer is full. */
  Request,
  /** About the process and its dependencies, such as the store; exempt from the
   *  rate limit, dropped only if the buffer is full. */
  Process,
};

/** Writes JSON lines to a descriptor without blocking the event loop. Lines are
 *  dropped and counted if the reader is too slow or the rate limit is exceeded;
 *  the next line that is written reports their number. */
class DecisionLog
{
public:
  /** aLoop must outlive the log; aDescriptor is not closed by it. aHost is the
   *  id of this host, which every line has. */
  DecisionLog(Loop& aLoop, int aDescriptor, std::string aHost);
  ~DecisionLog();
  DecisionLog(const DecisionLog&) = delete;
  DecisionLog& operator=(const DecisionLog&) = delete;

  /** Queues a line; it is written at the next flush. */
  void Write(LogPriority aPriority,
             std::string_view aEvent,
             std::initializer_list<LogField> aFields);
  /** Writes as many queued bytes as the descriptor accepts without blocking. */
  void Flush();

  /** Lines dropped since the start. */
  std::uint64_t DroppedLines() const { return m_droppedLines; }

private:
  /** False if the line must be dropped; otherwise counts it against the rate
   *  limit. */
  bool AdmitLine(LogPriority aPriority, TimePoint aNow);

  Loop& m_loop;
  int m_descriptor;
  std::string m_host;
  std::string m_buffer;
  double m_tokens;
  TimePoint m_tokensUpdatedAt;
  std::uint64_t m_droppedLines = 0;
  std::uint64_t m_droppedSinceLastLine = 0;
  bool m_flushScheduled = false;
  LoopTimer m_flushTimer;
};

} // namespace goldcrestkeel
