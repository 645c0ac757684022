#include "ReplicaConnections.h"

#include "RelayFields.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace goldcrestkeel {

namespace {

constexpr int kMisdirected = 421;

/** How often idle connections and slow connects are looked at. */
constexpr Duration kSweepInterval{ 250000 };
/** A connect without result is given up after this time; the first packet is
 *  sent again after a second if it was lost. */
constexpr Duration kConnectTimeout{ 1500000 };
/** Idle time if the replica names none. */
constexpr Duration kDefaultIdle{ 4000000 };
/** A connection is not used this long before the replica would close it, so
 *  that a request does not cross the close. */
constexpr Duration kIdleMargin{ 1000000 };
/** A replica that names a shorter idle time still gets this much. */
constexpr Duration kShortestIdle{ 300000 };

std::optional<LoadReport>
ParseLoad(std::string_view aText)
{
  LoadReport report;
  const char* at = aText.data();
  const char* end = at + aText.size();
  for (std::uint32_t* field :
       { &report.m_running, &report.m_waiting, &report.m_slots }) {
    while (at != end && (*at == ',' || *at == ' ')) {
      ++at;
    }
    const auto parsed = std::from_chars(at, end, *field);
    if (parsed.ec != std::errc()) {
      return std::nullopt;
    }
    at = parsed.ptr;
  }
  return report;
}

Duration
IdleTimeOf(const ResponseMessage& aAnswer)
{
  const std::string_view value = FieldValue(aAnswer.m_fields, "keep-alive");
  constexpr std::string_view kTimeout = "timeout=";
  const std::size_t at = value.find(kTimeout);
  if (at == std::string_view::npos) {
    return kDefaultIdle;
  }
  std::uint32_t seconds = 0;
  const char* first = value.data() + at + kTimeout.size();
  std::from_chars(first, value.data() + value.size(), seconds);
  return std::max(kShortestIdle, std::chrono::seconds(seconds) - kIdleMargin);
}

// Parts of a list with commas and spaces between them.
std::vector<std::string>
SplitList(std::string_view aText)
{
  std::vector<std::string> parts;
  while (!aText.empty()) {
    const std::size_t end = std::min(aText.find_first_of(", "), aText.size());
    if (end > 0) {
      parts.emplace_back(aText.substr(0, end));
    }
    aText.remove_prefix(std::min(end + 1, aText.size()));
  }
  return parts;
}

CopyFailure
FailureOf(ConnectionEnd aEnd)
{
  switch (aEnd) {
    case ConnectionEnd::Refused:
      return CopyFailure::Refused;
    case ConnectionEnd::NotSent:
      return CopyFailure::NotSent;
    case ConnectionEnd::Malformed:
      return CopyFailure::Malformed;
    case ConnectionEnd::Broken:
    case ConnectionEnd::Idle:
      break;
  }
  return CopyFailure::Broken;
}

} // namespace

/** One connection and the copy on it. */
class ReplicaConnections::Link : public ClientConnection::Owner
{
public:
  Link(ReplicaConnections& aOwner,
       std::string aReplica,
       const sockaddr_in& aAddress)
    : m_owner(aOwner)
    , m_replica(std::move(aReplica))
    , m_connectUntil(aOwner.m_loop.Now() + kConnectTimeout)
    , m_connection(aOwner.m_loop, aAddress, *this)
  {
  }

  void Send(OutgoingCopy&& aCopy)
  {
    m_copy = aCopy.m_copy;
    m_requestId = std::move(aCopy.m_requestId);
    m_connection.Send(std::move(aCopy.m_bytes), aCopy.m_head);
  }

  void Unsend()
  {
    m_copy = 0;
    m_connection.Unsend();
  }

  void Close() { m_connection.Close(); }

  /** A copy can be given to it. */
  bool IsFree(TimePoint aNow) const
  {
    return m_copy == 0 && (!m_connection.IsConnected() ||
                           (m_connection.IsReusable() && aNow < m_idleUntil));
  }
  bool IsOverdue(TimePoint aNow) const
  {
    return m_connection.IsConnected() ? m_copy == 0 && aNow >= m_idleUntil
                                      : aNow >= m_connectUntil;
  }

  void Connected(ClientConnection&) override
  {
    m_idleUntil = m_owner.m_loop.Now() + kDefaultIdle;
  }

  void Sent(ClientConnection&) override
  {
    m_owner.m_listener.OnCopySent(m_copy);
  }

  bool Accepts(ClientConnection&, const ResponseMessage& aAnswer) override
  {
    const std::string_view id =
      FieldValue(aAnswer.m_fields, m_owner.m_names.m_requestId);
    return id.empty() || id == m_requestId;
  }

  void Answered(ClientConnection&, ResponseMessage&& aAnswer) override
  {
    const CopyId copy = std::exchange(m_copy, 0);
    m_owner.m_byCopy.erase(copy);
    m_idleUntil = m_owner.m_loop.Now() + IdleTimeOf(aAnswer);
    ReplicaAnswer answer = m_owner.ToAnswer(std::move(aAnswer));
    ReplicaConnections& owner = m_owner;
    if (!m_connection.IsReusable()) {
      owner.Drop(*this);
    }
    owner.m_listener.OnCopyAnswered(copy, std::move(answer));
  }

  void Ended(ClientConnection&, ConnectionEnd aEnd) override
  {
    Fail(FailureOf(aEnd));
  }

  void Fail(CopyFailure aFailure)
  {
    const CopyId copy = std::exchange(m_copy, 0);
    ReplicaConnections& owner = m_owner;
    owner.m_byCopy.erase(copy);
    owner.Drop(*this);
    if (copy != 0) {
      owner.m_listener.OnCopyFailed(copy, aFailure);
    }
  }

  const std::string& Replica() const { return m_replica; }
  CopyId Copy() const { return m_copy; }
  bool IsConnected() const { return m_connection.IsConnected(); }
  bool WasSent() const { return m_connection.WasSent(); }

private:
  ReplicaConnections& m_owner;
  std::string m_replica;
  CopyId m_copy = 0;
  std::string m_requestId;
  TimePoint m_connectUntil;
  TimePoint m_idleUntil;
  ClientConnection m_connection;
};

ReplicaConnections::ReplicaConnections(Loop& aLoop,
                                       const EdgeFieldNames& aNames,
                                       CopyListener& aListener)
  : m_loop(aLoop)
  , m_names(aNames)
  , m_listener(aListener)
  , m_sweep(aLoop, [this] { Sweep(); })
  , m_cleanUp(aLoop, [this] { m_dropped.clear(); })
{
  m_sweep.SetAfter(kSweepInterval);
}

ReplicaConnections::~ReplicaConnections() = default;

void
ReplicaConnections::Send(const ReplicaRecord& aReplica, OutgoingCopy aCopy)
{
  // A replica that starts again under its id may have another address.
  const std::string key = aReplica.m_id + "@" + aReplica.m_address;
  Host& host = m_hosts[key];
  Link* chosen = nullptr;
  const TimePoint now = m_loop.Now();
  // The link used last is first in use again, so that others become idle.
  for (auto link = host.m_links.rbegin(); link != host.m_links.rend(); ++link) {
    const bool free = (*link)->IsFree(now);
    if (free && (!chosen || (*link)->IsConnected())) {
      chosen = link->get();
      if (chosen->IsConnected()) {
        break;
      }
    }
  }
  if (!chosen) {
    ++m_opened;
    host.m_links.push_back(
      std::make_unique<Link>(*this, key, ParseAddress(aReplica.m_address)));
    chosen = host.m_links.back().get();
  }
  m_byCopy[aCopy.m_copy] = chosen;
  chosen->Send(std::move(aCopy));
}

void
ReplicaConnections::Abort(CopyId aCopy)
{
  const auto found = m_byCopy.find(aCopy);
  if (found == m_byCopy.end()) {
    return;
  }
  Link& link = *found->second;
  m_byCopy.erase(found);
  if (link.WasSent()) {
    Drop(link);
  } else {
    link.Unsend();
  }
}

std::size_t
ReplicaConnections::Open() const
{
  std::size_t open = 0;
  for (const auto& [id, host] : m_hosts) {
    open += host.m_links.size();
  }
  return open;
}

void
ReplicaConnections::Drop(Link& aLink)
{
  auto& links = m_hosts[aLink.Replica()].m_links;
  const auto found =
    std::find_if(links.begin(), links.end(), [&](const auto& aOther) {
      return aOther.get() == &aLink;
    });
  if (found != links.end()) {
    // The link may be in one of its calls; the next round destroys it.
    aLink.Close();
    m_dropped.push_back(std::move(*found));
    links.erase(found);
    m_cleanUp.SetAfter(Duration(0));
  }
}

void
ReplicaConnections::Sweep()
{
  const TimePoint now = m_loop.Now();
  std::vector<Link*> overdue;
  for (auto& [id, host] : m_hosts) {
    for (const auto& link : host.m_links) {
      if (link->IsOverdue(now)) {
        overdue.push_back(link.get());
      }
    }
  }
  for (Link* link : overdue) {
    link->Fail(CopyFailure::NotSent);
  }
  std::erase_if(m_hosts,
                [](const auto& aHost) { return aHost.second.m_links.empty(); });
  m_sweep.SetAfter(kSweepInterval);
}

ReplicaAnswer
ReplicaConnections::ToAnswer(ResponseMessage&& aAnswer) const
{
  ReplicaAnswer answer;
  answer.m_status = aAnswer.m_status;
  answer.m_stamp = std::string(FieldValue(aAnswer.m_fields, m_names.m_stamp));
  answer.m_otherInstance = aAnswer.m_status == kMisdirected;
  answer.m_notRun = answer.m_otherInstance ||
                    !FieldValue(aAnswer.m_fields, m_names.m_notRun).empty();
  if (const auto shards =
        ParseNumbers(FieldValue(aAnswer.m_fields, kShardsField))) {
    answer.m_shards = *shards;
    answer.m_shardStamps =
      SplitList(FieldValue(aAnswer.m_fields, m_names.m_shardStamps));
  }
  answer.m_notRun =
    answer.m_notRun || FieldValue(aAnswer.m_fields, kCopiesField) == "0";
  answer.m_load = ParseLoad(FieldValue(aAnswer.m_fields, m_names.m_load));
  answer.m_body = std::move(aAnswer.m_body);
  answer.m_fields = EndToEndFields(std::move(aAnswer.m_fields));
  return answer;
}

} // namespace goldcrestkeel
