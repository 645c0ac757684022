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

} // namespace

std::string_view
NameOf(CallOutcome aOutcome)
{
  return kOutcomes.at(static_cast<std::size_t>(aOutcome));
}

/** One connection, with at most one call on it. */
class HttpCaller::Exchange : public ClientConnection::Owner
{
public:
  explicit Exchange(HttpCaller& aOwner)
    : m_owner(aOwner)
    , m_connection(aOwner.m_loop, ParseAddress(aOwner.m_address), *this)
    , m_timer(aOwner.m_loop, [this] { End(ResultOf(ConnectionEnd::Broken)); })
  {
  }

  bool IsFree() const
  {
    return !m_done && m_connection.IsConnected() && m_connection.IsReusable();
  }

  void Start(const HttpCall& aCall, Done aDone)
  {
    m_done = std::move(aDone);
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

  void Connected(ClientConnection&) override {}
  void Sent(ClientConnection&) override {}
  bool Accepts(ClientConnection&, const ResponseMessage&) override
  {
    return true;
  }

  void Answered(ClientConnection&, ResponseMessage&& aAnswer) override
  {
    m_timer.Cancel();
    const HttpCallResult result{ CallOutcome::Answered,
                                 aAnswer.m_status,
                                 std::move(aAnswer.m_body) };
    const Done done = std::exchange(m_done, nullptr);
    if (!m_connection.IsReusable()) {
      m_owner.Finished(*this);
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
    return { sent ? CallOutcome::Unknown : CallOutcome::NotSent, 0, {} };
  }

  void End(const HttpCallResult& aResult)
  {
    m_timer.Cancel();
    const Done done = std::exchange(m_done, nullptr);
    m_owner.Finished(*this);
    if (done) {
      done(aResult);
    }
  }

  HttpCaller& m_owner;
  Done m_done;
  ClientConnection m_connection;
  LoopTimer m_timer;
};

HttpCaller::HttpCaller(Loop& aLoop, std::string aAddress)
  : m_loop(aLoop)
  , m_address(std::move(aAddress))
  , m_cleanUp(aLoop, [this] { m_ended.clear(); })
{
  ParseAddress(m_address);
}

HttpCaller::~HttpCaller() = default;

void
HttpCaller::Call(const HttpCall& aCall, Done aDone)
{
  auto exchange =
    std::find_if(m_exchanges.begin(),
                 m_exchanges.end(),
                 [](const auto& aExchange) { return aExchange->IsFree(); });
  if (exchange == m_exchanges.end()) {
    m_exchanges.push_back(std::make_unique<Exchange>(*this));
    exchange = std::prev(m_exchanges.end());
  }
  (*exchange)->Start(aCall, std::move(aDone));
}

void
HttpCaller::Finished(Exchange& aExchange)
{
  const auto found = std::find_if(
    m_exchanges.begin(), m_exchanges.end(), [&](const auto& aOther) {
      return aOther.get() == &aExchange;
    });
  if (found != m_exchanges.end()) {
    // The exchange may be in one of its calls; the next round destroys it.
    aExchange.Close();
    m_ended.push_back(std::move(*found));
    m_exchanges.erase(found);
    m_cleanUp.SetAfter(Duration(0));
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
