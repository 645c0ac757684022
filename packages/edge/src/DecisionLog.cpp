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

/** Lines on requests that are written in a second on average, and at once after
 *  a quiet time. */
constexpr double kLinesPerSecond = 150;
constexpr double kBurstLines = 600;
/** Bytes that wait for the reader; further lines are left out. */
constexpr std::size_t kMaxBuffered = 256 * 1024;
/** Lines are written together to save system calls. */
constexpr Duration kFlushInterval{ 200000 };

void
AppendEscaped(std::string& aOut, std::string_view aText)
{
  constexpr std::string_view kHex = "0123456789abcdef";
  aOut += '"';
  for (const char letter : aText) {
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
  , m_tokensAt(aLoop.Now())
  , m_flush(aLoop, [this] { Flush(); })
{
}

DecisionLog::~DecisionLog()
{
  Flush();
}

bool
DecisionLog::HasRoom(LogPriority aWeight, TimePoint aNow)
{
  if (m_buffer.size() >= kMaxBuffered) {
    return false;
  }
  if (aWeight == LogPriority::Process) {
    return true;
  }
  const double seconds = static_cast<double>((aNow - m_tokensAt).count()) / 1e6;
  m_tokens = std::min(kBurstLines, m_tokens + seconds * kLinesPerSecond);
  m_tokensAt = aNow;
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

void
DecisionLog::Write(LogPriority aWeight,
                   std::string_view aEvent,
                   std::initializer_list<LogField> aMembers)
{
  const TimePoint now = m_loop.Now();
  if (!HasRoom(aWeight, now)) {
    ++m_leftOut;
    ++m_leftOutSinceLine;
    return;
  }
  const ValueAppender append{ m_buffer };
  m_buffer += "{\"time_ms\":";
  m_buffer += std::to_string(m_loop.GetClock().WallNow());
  m_buffer += ",\"host\":";
  append(std::string_view(m_host));
  m_buffer += ",\"event\":";
  append(aEvent);
  for (const LogField& member : aMembers) {
    m_buffer += ',';
    append(member.m_name);
    m_buffer += ':';
    std::visit(append, member.m_value);
  }
  if (m_leftOutSinceLine > 0) {
    m_buffer += ",\"lines_left_out\":" + std::to_string(m_leftOutSinceLine);
    m_leftOutSinceLine = 0;
  }
  m_buffer += "}\n";
  if (!m_flushPlanned) {
    m_flushPlanned = true;
    m_flush.SetAfter(kFlushInterval);
  }
}

void
DecisionLog::Flush()
{
  m_flushPlanned = false;
  std::size_t written = 0;
  while (written < m_buffer.size()) {
    // A pipe that polls writable takes PIPE_BUF bytes without blocking.
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
    m_flushPlanned = true;
    m_flush.SetAfter(kFlushInterval);
  }
}

} // namespace goldcrestkeel
