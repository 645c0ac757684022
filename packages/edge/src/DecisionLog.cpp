#include <goldcrestkeel/edge/DecisionLog.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <climits>
#include <cstdio>
#include <utility>

namespace goldcrestkeel {

namespace {

/** Token bucket for lines with the priority Request: sustained rate in lines
 *  per second, and largest burst in lines. */
constexpr double kLinesPerSecond = 150;
constexpr double kBurstLines = 600;
/** Limit of buffered bytes, beyond which lines are dropped. */
constexpr std::size_t kMaxBufferedBytes = 256 * 1024;
/** Texts are cut at this length, in bytes: ids and names may come from callers,
 *  who may fill a header with one. */
constexpr std::size_t kMaxTextBytes = 4096;
/** Lines are buffered this long and written together to save system calls. */
constexpr Duration kFlushInterval{ 200000 };

void
AppendEscaped(std::string& aOut, std::string_view aText)
{
  constexpr std::string_view kHex = "0123456789abcdef";
  aOut += '"';
  for (const char letter : aText.substr(0, kMaxTextBytes)) {
    const auto byte = static_cast<unsigned char>(letter);
    if (letter == '"' || letter == '\\') {
      aOut += '\\';
      aOut += letter;
    } else if (byte < 0x20 || byte >= 0x7f) {
      aOut += "\\u00";
      aOut += kHex[byte >> 4U];
      aOut += kHex[byte & 15U];
    } else {
      aOut += letter;
    }
  }
  aOut += '"';
}

struct ValueAppender
{
  std::string& m_out;

  void operator()(std::string_view aText) const { AppendEscaped(m_out, aText); }
  void operator()(std::int64_t aNumber) const
  {
    m_out += std::to_string(aNumber);
  }
  void operator()(double aNumber) const
  {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", aNumber);
    m_out += text.data();
  }
  void operator()(bool aFlag) const { m_out += aFlag ? "true" : "false"; }
};

} // namespace

DecisionLog::DecisionLog(Loop& aLoop, int aDescriptor, std::string aHost)
  : m_loop(aLoop)
  , m_descriptor(aDescriptor)
  , m_host(std::move(aHost))
  , m_tokens(kBurstLines)
  , m_tokensUpdatedAt(aLoop.Now())
  , m_flushTimer(aLoop, [this] { Flush(); })
{
}

DecisionLog::~DecisionLog()
{
  Flush();
}

bool
DecisionLog::AdmitLine(LogPriority aPriority, TimePoint aNow)
{
  if (m_buffer.size() >= kMaxBufferedBytes) {
    return false;
  }
  if (aPriority == LogPriority::Process) {
    return true;
  }
  const double seconds =
    static_cast<double>((aNow - m_tokensUpdatedAt).count()) / 1e6;
  m_tokens = std::min(kBurstLines, m_tokens + seconds * kLinesPerSecond);
  m_tokensUpdatedAt = aNow;
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

void
DecisionLog::Write(LogPriority aPriority,
                   std::string_view aEvent,
                   std::initializer_list<LogField> aFields)
{
  const TimePoint now = m_loop.Now();
  if (!AdmitLine(aPriority, now)) {
    ++m_droppedLines;
    ++m_droppedSinceLastLine;
    return;
  }
  const ValueAppender append{ m_buffer };
  m_buffer += "{\"time_ms\":";
  m_buffer += std::to_string(m_loop.GetClock().WallNow());
  m_buffer += ",\"host\":";
  append(std::string_view(m_host));
  m_buffer += ",\"event\":";
  append(aEvent);
  for (const LogField& field : aFields) {
    m_buffer += ',';
    append(field.m_name);
    m_buffer += ':';
    std::visit(append, field.m_value);
  }
  if (m_droppedSinceLastLine > 0) {
    m_buffer += ",\"lines_left_out\":" + std::to_string(m_droppedSinceLastLine);
    m_droppedSinceLastLine = 0;
  }
  m_buffer += "}\n";
  if (!m_flushScheduled) {
    m_flushScheduled = true;
    m_flushTimer.SetAfter(kFlushInterval);
  }
}

void
DecisionLog::Flush()
{
  m_flushScheduled = false;
  std::size_t written = 0;
  while (written < m_buffer.size()) {
    // A pipe that poll() reports as writable accepts PIPE_BUF bytes without
    // blocking.
    pollfd state{ m_descriptor, POLLOUT, 0 };
    if (poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0) {
      break;
    }
    const std::size_t size =
      std::min<std::size_t>(PIPE_BUF, m_buffer.size() - written);
    const ssize_t count = write(m_descriptor, m_buffer.data() + written, size);
    if (count <= 0) {
      break;
    }
    written += static_cast<std::size_t>(count);
  }
  m_buffer.erase(0, written);
  if (!m_buffer.empty()) {
    m_flushScheduled = true;
    m_flushTimer.SetAfter(kFlushInterval);
  }
}

} // namespace goldcrestkeel
