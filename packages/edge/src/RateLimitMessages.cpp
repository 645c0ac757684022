#include "RateLimitMessages.h"

#include "Socket.h"

#include <goldcrestkeel/edge/JsonNumbers.h>
#include <goldcrestkeel/edge/JsonText.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace goldcrestkeel {

namespace {

using nlohmann::json;

/** Most tenants and hosts that a message may name. */
constexpr std::size_t kMaxEntries = 4096;
/** Largest number of tokens or requests of one entry. */
constexpr std::uint32_t kMaxTokens = 1000000;
/** Longest id of a host, in bytes. */
constexpr std::size_t kMaxHostIdBytes = 200;
/** Largest rate and number of cores. */
constexpr double kMaxNumber = 1e9;
/** Longest times are clamped, in microseconds. */
constexpr std::uint64_t kMaxTimeUs = 60000000;

std::string
Dump(const json& aDocument)
{
  return aDocument.dump(-1, ' ', false, json::error_handler_t::replace);
}

json
ToJson(const OwnerCandidate& aHost)
{
  return json::array({ aHost.m_id, aHost.m_address, aHost.m_cores });
}

const json&
ArrayOf(const json& aValue, std::size_t aSize)
{
  if (!aValue.is_array() || aValue.size() < aSize) {
    throw std::runtime_error("an entry has too few members");
  }
  return aValue;
}

const json&
ListOf(const json& aDocument, const char* aName)
{
  const json& list = aDocument.at(aName);
  if (!list.is_array() || list.size() > kMaxEntries) {
    throw std::runtime_error("a list is too long or no list");
  }
  return list;
}

std::string
TextOf(const json& aValue)
{
  std::string text = aValue.get<std::string>();
  if (text.empty()) {
    throw std::runtime_error("a name is empty");
  }
  return text;
}

std::uint32_t
TokensOf(const json& aValue)
{
  const std::uint32_t tokens = Unsigned32Of(aValue);
  if (tokens > kMaxTokens) {
    throw std::runtime_error("a number of tokens is too large");
  }
  return tokens;
}

double
NumberOf(const json& aValue)
{
  const double number = aValue.get<double>();
  if (!(number >= 0 && number <= kMaxNumber)) {
    throw std::runtime_error("a rate is negative or too large");
  }
  return number;
}

Duration
TimeOf(const json& aValue)
{
  return Duration(std::min(UnsignedOf(aValue), kMaxTimeUs));
}

OwnerCandidate
HostOf(const json& aValue, bool aMayLackAddress)
{
  ArrayOf(aValue, 3);
  // Throws if it is none; the address of a host that is to be asked is used
  // later, where nothing could be refused.
  if (!aMayLackAddress || !aValue[1].get_ref<const std::string&>().empty()) {
    ParseAddress(aValue[1].get<std::string>());
  }
  std::string id = TextOf(aValue[0]);
  if (id.size() > kMaxHostIdBytes) {
    throw std::runtime_error("the id of a host is too long");
  }
  return { std::move(id), aValue[1].get<std::string>(), NumberOf(aValue[2]) };
}

} // namespace

std::string
EncodeTokenMessage(const TokenMessage& aMessage)
{
  json requests = json::array();
  for (const TokenRequest& request : aMessage.m_requests) {
    requests.push_back(json::array({ request.m_tenant,
                                     request.m_waiting,
                                     request.m_ahead,
                                     request.m_returned,
                                     request.m_fallbackUsed,
                                     request.m_claim }));
  }
  return Dump({ { "from", ToJson(aMessage.m_from) },
                { "grants", aMessage.m_grants },
                { "instance", aMessage.m_instance },
                { "requests", requests } });
}

TokenMessage
DecodeTokenMessage(std::string_view aBody)
{
  const json document = ParseHostMessage(aBody, kMaxTokenMessageBytes);
  TokenMessage message;
  message.m_from = HostOf(document.at("from"), true);
  message.m_grants = document.at("grants").get<bool>();
  message.m_instance = UnsignedOf(document.at("instance"));
  for (const json& entry : ListOf(document, "requests")) {
    ArrayOf(entry, 6);
    message.m_requests.push_back({ TextOf(entry[0]),
                                   TokensOf(entry[1]),
                                   TokensOf(entry[2]),
                                   TokensOf(entry[3]),
                                   TokensOf(entry[4]),
                                   NumberOf(entry[5]) });
  }
  return message;
}

std::string
EncodeTokenReply(const TokenReply& aReply)
{
  json grants = json::array();
  for (const TokenGrant& grant : aReply.m_grants) {
    json entry = json::array({ grant.m_tenant,
                               NameOf(grant.m_outcome),
                               grant.m_tokens,
                               grant.m_nextToken.count(),
                               grant.m_retryAfter.count(),
                               grant.m_ample });
    if (grant.m_outcome == GrantOutcome::Redirected) {
      entry.push_back(ToJson(grant.m_owner));
    }
    grants.push_back(std::move(entry));
  }
  json granters = json::array();
  for (const OwnerCandidate& host : aReply.m_granters) {
    granters.push_back(ToJson(host));
  }
  return Dump({ { "instance", aReply.m_instance },
                { "grants", grants },
                { "granters", granters } });
}

TokenReply
DecodeTokenReply(std::string_view aBody)
{
  const json document = ParseHostMessage(aBody, kMaxTokenMessageBytes);
  TokenReply reply;
  reply.m_instance = UnsignedOf(document.at("instance"));
  for (const json& entry : ListOf(document, "grants")) {
    ArrayOf(entry, 6);
    const auto outcome =
      GrantOutcomeFromName(entry[1].get_ref<const std::string&>());
    if (!outcome) {
      throw std::runtime_error("unknown outcome");
    }
    TokenGrant grant{
      TextOf(entry[0]), *outcome,         TokensOf(entry[2]),
      TimeOf(entry[3]), TimeOf(entry[4]), entry[5].get<bool>()
    };
    if (*outcome == GrantOutcome::Redirected) {
      grant.m_owner = HostOf(ArrayOf(entry, 7)[6], false);
    }
    reply.m_grants.push_back(std::move(grant));
  }
  for (const json& host : ListOf(document, "granters")) {
    reply.m_granters.push_back(HostOf(host, false));
  }
  return reply;
}

} // namespace goldcrestkeel
