#include "ClientConnection.h"

#include <goldcrestkeel/edge/HttpCaller.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace goldcrestkeel {

namespace {

constexpr std::array<std::string_view, 3> kOutcomes{ "answered",
                                                     "not_sent",
                                                     "unknown" };

std::string_view
ReasonOf(ConnectionEnd aEnd)
{
  switch (aEnd) {
    case ConnectionEnd::Refused:
      return "refused";
    case ConnectionEnd::NotSent:
      return "not_sent";
    case ConnectionEnd::Broken:
      return "broken";
    case ConnectionEnd::Malformed:
      return "malformed";
    case ConnectionEnd::TooLarge:
      return "too_large";
    case ConnectionEnd::Idle:
      break;
  }
  return "idle";
}

} // namespace

std::string_view
NameOf(CallOutcome aOutcome)
{
  return kOutcomes.at(static_cast<std::size_t>(aOutcome));
}

/** One connection of the client, with at most one call on it. */
class HttpCaller::Connection : public ClientConnection::Owner
{
public:
  explicit Connection(HttpCaller& aOwner)
    : m_owner(aOwner)
    , m_connection(aOwner.m_loop,
                   ParseAddress(aOwner.m_address),
                   kMaxAnswerBytes,
                   *this)
    , m_timer(aOwner.m_loop, [this] { OnTimeout(); })
  {
  }

  bool IsFree() const
  {
    return !m_done && m_connection.IsConnected() && m_connection.IsReusable();
  }

  void Start(const HttpCall& aCall, Done aDone)
  {
    m_done = std::move(aDone);
    m_maxAnswerBytes = aCall.m_maxAnswerBytes;
    m_timer.SetAfter(aCall.m_timeout);
    std::string bytes = aCall.m_method + " " + aCall.m_target + " HTTP/1.1\r\n";
    AppendField(bytes, "Host", m_owner.m_address);
    if (!aCall.m_body.empty()) {
      AppendField(bytes, "Content-Type", "application/json");
    }
    if (!aCall.m_body.empty() || aCall.m_method != "GET") {
      AppendField(bytes, "Content-Length", std::to_string(aCall.m_body.size()));
    }
    bytes += "\r\n";
    bytes += aCall.m_body;
    m_connection.Send(std::move(bytes), false);
  }

  void Close() { m_connection.Close(); }
  std::size_t HeldBytes() const { return m_connection.HeldBytes(); }
  void EndTooLarge() { End(ResultOf(ConnectionEnd::TooLarge)); }

  void Received(ClientConnection&) override
  {
    if (HeldBytes() > m_maxAnswerBytes) {
      EndTooLarge();
    } else {
      m_owner.LimitHeldBytes();
    }
  }
  void Connected(ClientConnection&) override {}
  void Sent(ClientConnection&) override {}
  AnswerMatch MatchRequest(ClientConnection&, const ResponseMessage&) override
  {
    return AnswerMatch::Belongs;
  }

  void Answered(ClientConnection&, ResponseMessage&& aAnswer) override
  {
    m_timer.Cancel();
    const HttpCallResult result{ CallOutcome::Answered,
                                 aAnswer.m_status,
                                 std::move(aAnswer.m_body),
                                 std::move(aAnswer.m_fields) };
    const Done done = std::exchange(m_done, nullptr);
    if (!m_connection.IsReusable()) {
      m_owner.RemoveConnection(*this);
    }
    done(result);
  }

  void Ended(ClientConnection&, ConnectionEnd aEnd) override
  {
    End(ResultOf(aEnd));
  }

private:
  HttpCallResult ResultOf(ConnectionEnd aEnd) const
  {
    const bool sent = aEnd != ConnectionEnd::Refused &&
                      aEnd != ConnectionEnd::NotSent && m_connection.WasSent();
    HttpCallResult result;
    result.m_outcome = sent ? CallOutcome::Unknown : CallOutcome::NotSent;
    result.m_reason = ReasonOf(aEnd);
    return result;
  }

  void OnTimeout()
  {
    HttpCallResult result = ResultOf(ConnectionEnd::Broken);
    result.m_reason = "timeout";
    End(result);
  }

  void End(const HttpCallResult& aResult)
  {
    m_timer.Cancel();
    const Done done = std::exchange(m_done, nullptr);
    m_owner.RemoveConnection(*this);
    if (done) {
      done(aResult);
    }
  }

  HttpCaller& m_owner;
  Done m_done;
  std::uint64_t m_maxAnswerBytes = kMaxAnswerBytes;
  ClientConnection m_connection;
  LoopTimer m_timer;
};

HttpCaller::HttpCaller(Loop& aLoop, std::string aAddress)
  : m_loop(aLoop)
  , m_address(std::move(aAddress))
  , m_cleanUpTimer(aLoop, [this] { m_removed.clear(); })
{
  ParseAddress(m_address);
}

HttpCaller::~HttpCaller() = default;

void
HttpCaller::Call(const HttpCall& aCall, Done aDone)
{
  auto connection =
    std::find_if(m_connections.begin(),
                 m_connections.end(),
                 [](const auto& aConnection) { return aConnection->IsFree(); });
  if (connection == m_connections.end()) {
    m_connections.push_back(std::make_unique<Connection>(*this));
    connection = std::prev(m_connections.end());
  }
  (*connection)->Start(aCall, std::move(aDone));
}

void
HttpCaller::RemoveConnection(Connection& aConnection)
{
  const auto found = std::find_if(
    m_connections.begin(), m_connections.end(), [&](const auto& aOther) {
      return aOther.get() == &aConnection;
    });
  if (found != m_connections.end()) {
    // The connection may be in one of its callbacks, so it is destroyed in the
    // next iteration of the event loop.
    aConnection.Close();
    m_removed.push_back(std::move(*found));
    m_connections.erase(found);
    m_cleanUpTimer.SetAfter(Duration(0));
  }
}

std::size_t
HttpCaller::HeldBytes() const
{
  std::size_t held = 0;
  for (const auto& connection : m_connections) {
    held += connection->HeldBytes();
  }
  return held;
}

void
HttpCaller::LimitHeldBytes()
{
  if (HeldBytes() > kMaxAnswerBytes) {
    const auto largest =
      std::max_element(m_connections.begin(),
                       m_connections.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft->HeldBytes() < aRight->HeldBytes();
                       });
    (*largest)->EndTooLarge();
  }
}

std::string
EscapeQueryValue(std::string_view aText)
{
  constexpr std::string_view kHex = "0123456789ABCDEF";
  constexpr std::string_view kPlain = "-._~/";
  std::string escaped;
  for (const char letter : aText) {
    const auto byte = static_cast<unsigned char>(letter);
    if (std::isalnum(byte) != 0 || kPlain.find(letter) != kPlain.npos) {
      escaped += letter;
    } else {
      escaped += '%';
      escaped += kHex[byte >> 4U];
      escaped += kHex[byte & 15U];
    }
  }
  return escaped;
}

} // namespace goldcrestkeel
