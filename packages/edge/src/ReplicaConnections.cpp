#include "ReplicaConnections.h"

#include "AnsweredRequests.h"
#include "RelayFields.h"

#include <goldcrestkeel/edge/Numbers.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace goldcrestkeel {

namespace {

/** Interval of the checks for expired idle connections and connects. */
constexpr Duration kExpiryInterval{ 250000 };
/** A pending connect is abandoned after this time. TCP retransmits a lost SYN
 *  after one second. */
constexpr Duration kConnectTimeout{ 1500000 };
/** Idle timeout if the replica announces none. */
constexpr Duration kDefaultIdleTimeout{ 4000000 };
/** A connection is closed this long before the idle timeout of the replica, so
 *  that no request is in flight when the replica closes it. */
constexpr Duration kIdleMargin{ 1000000 };
/** Lower limit of the idle timeout, for replicas that announce a shorter one.
 */
constexpr Duration kMinIdleTimeout{ 300000 };

Duration
IdleTimeoutOf(const ResponseMessage& aAnswer)
{
  const std::string_view value = FieldValue(aAnswer.m_fields, "keep-alive");
  constexpr std::string_view kTimeout = "timeout=";
  const std::size_t at = value.find(kTimeout);
  if (at == std::string_view::npos) {
    return kDefaultIdleTimeout;
  }
  std::uint32_t seconds = 0;
  const char* first = value.data() + at + kTimeout.size();
  std::from_chars(first, value.data() + value.size(), seconds);
  return std::max(kMinIdleTimeout, std::chrono::seconds(seconds) - kIdleMargin);
}

// A replica that restarts under the same id may have another address.
std::string
EndpointKey(const ReplicaRecord& aReplica)
{
  return aReplica.m_id + "@" + aReplica.m_address;
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
    case ConnectionEnd::TooLarge:
      return CopyFailure::Malformed;
    case ConnectionEnd::Broken:
    case ConnectionEnd::Idle:
      break;
  }
  return CopyFailure::Broken;
}

} // namespace

/** One connection of a pool, with at most one copy on it. */
class ReplicaConnections::Connection : public ClientConnection::Owner
{
public:
  Connection(ReplicaConnections& aOwner, const ReplicaRecord& aReplica)
    : m_owner(aOwner)
    , m_id(aReplica.m_id)
    , m_endpoint(EndpointKey(aReplica))
    , m_connectDeadline(aOwner.m_loop.Now() + kConnectTimeout)
    , m_connection(aOwner.m_loop,
                   ParseAddress(aReplica.m_address),
                   aOwner.m_limits.m_answerBytes,
                   *this)
  {
  }

  void Send(OutgoingCopy&& aCopy)
  {
    m_copy = aCopy.m_copy;
    m_requestId = std::move(aCopy.m_requestId);
    m_requestEndsAt = aCopy.m_requestEndsAt;
    m_connection.Send(std::move(aCopy.m_bytes), aCopy.m_head);
  }

  void CancelUnsent()
  {
    m_copy = 0;
    m_connection.CancelUnsent();
  }

  void Close() { m_connection.Close(); }

  /** The connection can send a copy, possibly once it is established. */
  bool IsFree(TimePoint aNow) const
  {
    return m_copy == 0 &&
           (!m_connection.IsConnected() ||
            (m_connection.IsReusable() && aNow < m_idleDeadline));
  }
  /** It is established and has no copy. */
  bool IsUnused() const { return m_copy == 0 && m_connection.IsConnected(); }
  TimePoint IdleDeadline() const { return m_idleDeadline; }
  bool HasAnswered(std::string_view aRequestId, TimePoint aNow) const
  {
    return m_answered.Contains(aNow, aRequestId);
  }
  bool IsExpired(TimePoint aNow) const
  {
    return m_connection.IsConnected() ? m_copy == 0 && aNow >= m_idleDeadline
                                      : aNow >= m_connectDeadline;
  }

  void Connected(ClientConnection&) override
  {
    m_idleDeadline = m_owner.m_loop.Now() + kDefaultIdleTimeout;
  }

  void Sent(ClientConnection&) override
  {
    m_owner.m_listener.OnCopySent(m_copy, m_state);
  }

  AnswerMatch MatchRequest(ClientConnection&,
                           const ResponseMessage& aAnswer) override
  {
    const std::string_view id =
      FieldValue(aAnswer.m_fields, m_owner.m_names.m_requestId);
    if (id.empty()) {
      if (m_requestId.empty()) {
        return AnswerMatch::Belongs;
      }
      if (std::exchange(m_checkMayRepeat, false)) {
        return AnswerMatch::Other;
      }
      // It may be a second copy of an earlier answer.
      return m_echoesIds ? AnswerMatch::Unknown : AnswerMatch::Belongs;
    }
    m_echoesIds = true;
    return id == m_requestId.View() ? AnswerMatch::Belongs : AnswerMatch::Other;
  }

  void Received(ClientConnection&) override { m_owner.UpdateHeldBytes(*this); }

  void Answered(ClientConnection&, ResponseMessage&& aAnswer) override
  {
    const CopyId copy = std::exchange(m_copy, 0);
    m_owner.m_connectionByCopy.erase(copy);
    CountHeldBytes();
    m_answered.Add(m_owner.m_loop.Now(), m_requestId.View(), m_requestEndsAt);
    m_checkMayRepeat = m_checkMayRepeat || m_requestId.empty();
    m_requestId = SharedText();
    m_idleDeadline = m_owner.m_loop.Now() + IdleTimeoutOf(aAnswer);
    ReplicaAnswer answer = m_owner.ToAnswer(std::move(aAnswer));
    ReplicaConnections& owner = m_owner;
    if (std::exchange(m_state, ConnectionState::Proven) ==
        ConnectionState::New) {
      owner.m_listener.OnConnectionProven(m_id);
    }
    if (!m_connection.IsReusable()) {
      owner.Remove(*this);
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
    owner.m_connectionByCopy.erase(copy);
    owner.Remove(*this);
    if (copy != 0) {
      owner.m_listener.OnCopyFailed(copy, aFailure);
    }
  }

  /** Updates the sum of the owner. */
  void CountHeldBytes() { SetCountedBytes(m_connection.HeldBytes()); }
  void ReleaseHeldBytes() { SetCountedBytes(0); }
  std::size_t CountedBytes() const { return m_countedBytes; }

  const std::string& Id() const { return m_id; }
  const std::string& EndpointName() const { return m_endpoint; }
  CopyId Copy() const { return m_copy; }
  bool IsConnected() const { return m_connection.IsConnected(); }
  bool IsProven() const { return m_state == ConnectionState::Proven; }
  /** Rank for the choice of a connection; greater is better. */
  int Reliability() const
  {
    return static_cast<int>(IsConnected()) + static_cast<int>(IsProven());
  }
  bool WasSent() const { return m_connection.WasSent(); }

private:
  void SetCountedBytes(std::size_t aBytes)
  {
    m_owner.m_heldBytes += aBytes;
    m_owner.m_heldBytes -= std::exchange(m_countedBytes, aBytes);
  }

  ReplicaConnections& m_owner;
  /** Id of the replica or host. */
  std::string m_id;
  std::string m_endpoint;
  CopyId m_copy = 0;
  SharedText m_requestId;
  TimePoint m_requestEndsAt;
  AnsweredRequests m_answered;
  ConnectionState m_state = ConnectionState::New;
  /** An answer on this connection carried a request id. */
  bool m_echoesIds = false;
  /** A health check, which has no request id, was answered, and no second copy
   *  of that answer has come. */
  bool m_checkMayRepeat = false;
  /** Bytes that m_heldBytes of the owner includes. */
  std::size_t m_countedBytes = 0;
  TimePoint m_connectDeadline;
  TimePoint m_idleDeadline;
  ClientConnection m_connection;
};

ReplicaConnections::ReplicaConnections(Loop& aLoop,
                                       const EdgeFieldNames& aNames,
                                       CopyListener& aListener,
                                       const AnswerLimits& aLimits)
  : m_loop(aLoop)
  , m_names(aNames)
  , m_listener(aListener)
  , m_limits(aLimits)
  , m_rejectTimer(aLoop, [this] { FailRejected(); })
  , m_expiryTimer(aLoop, [this] { CloseExpired(); })
  , m_cleanUpTimer(aLoop, [this] { m_removed.clear(); })
{
  m_expiryTimer.SetAfter(kExpiryInterval);
}

ReplicaConnections::~ReplicaConnections() = default;

void
ReplicaConnections::Send(const ReplicaRecord& aReplica, OutgoingCopy aCopy)
{
  Endpoint& endpoint = m_endpoints[EndpointKey(aReplica)];
  Connection* chosen = nullptr;
  const TimePoint now = m_loop.Now();
  // Prefers a proven connection, then an established one, the newest first, so
  // that surplus connections become idle and expire.
  for (auto connection = endpoint.m_connections.rbegin();
       connection != endpoint.m_connections.rend();
       ++connection) {
    if ((*connection)->IsFree(now) &&
        !(*connection)->HasAnswered(aCopy.m_requestId.View(), now) &&
        (!chosen || (*connection)->Reliability() > chosen->Reliability())) {
      chosen = connection->get();
      if (chosen->IsProven()) {
        break;
      }
    }
  }
  if (!chosen && m_openCount >= m_limit) {
    CloseFree();
  }
  if (!chosen && m_openCount >= m_limit) {
    // Not within this call, in which the owner is still sending.
    m_rejected.push_back(aCopy.m_copy);
    m_rejectTimer.SetAfter(Duration(0));
    return;
  }
  if (!chosen) {
    chosen = &Open(aReplica);
  }
  m_connectionByCopy[aCopy.m_copy] = chosen;
  chosen->Send(std::move(aCopy));
}

void
ReplicaConnections::SendOverNew(const ReplicaRecord& aReplica,
                                OutgoingCopy aCopy)
{
  Connection& connection = Open(aReplica);
  m_connectionByCopy[aCopy.m_copy] = &connection;
  connection.Send(std::move(aCopy));
}

ReplicaConnections::Connection&
ReplicaConnections::Open(const ReplicaRecord& aReplica)
{
  ++m_openedTotal;
  ++m_openCount;
  auto& connections = m_endpoints[EndpointKey(aReplica)].m_connections;
  connections.push_back(std::make_unique<Connection>(*this, aReplica));
  return *connections.back();
}

void
ReplicaConnections::Abort(CopyId aCopy)
{
  std::erase(m_rejected, aCopy);
  const auto found = m_connectionByCopy.find(aCopy);
  if (found == m_connectionByCopy.end()) {
    return;
  }
  Connection& connection = *found->second;
  m_connectionByCopy.erase(found);
  if (connection.WasSent()) {
    Remove(connection);
  } else {
    connection.CancelUnsent();
  }
}

void
ReplicaConnections::FailRejected()
{
  for (const CopyId copy : std::exchange(m_rejected, {})) {
    m_listener.OnCopyFailed(copy, CopyFailure::NoConnection);
  }
}

void
ReplicaConnections::CloseFree()
{
  Connection* first = nullptr;
  for (const auto& [id, endpoint] : m_endpoints) {
    for (const auto& connection : endpoint.m_connections) {
      if (connection->IsUnused() &&
          (!first || connection->IdleDeadline() < first->IdleDeadline())) {
        first = connection.get();
      }
    }
  }
  if (first) {
    Remove(*first);
  }
}

void
ReplicaConnections::UpdateHeldBytes(Connection& aConnection)
{
  aConnection.CountHeldBytes();
  if (m_heldBytes <= m_limits.m_totalBytes) {
    return;
  }
  Connection* largest = &aConnection;
  for (const auto& [copy, connection] : m_connectionByCopy) {
    if (connection->CountedBytes() > largest->CountedBytes()) {
      largest = connection;
    }
  }
  largest->Fail(CopyFailure::Malformed);
}

void
ReplicaConnections::Remove(Connection& aConnection)
{
  aConnection.ReleaseHeldBytes();
  auto& connections = m_endpoints[aConnection.EndpointName()].m_connections;
  const auto found = std::find_if(
    connections.begin(), connections.end(), [&](const auto& aOther) {
      return aOther.get() == &aConnection;
    });
  if (found != connections.end()) {
    --m_openCount;
    // The connection may be in one of its callbacks, so it is destroyed in the
    // next iteration of the event loop.
    if (aConnection.IsProven()) {
      m_listener.OnProvenConnectionEnded(aConnection.Id());
    }
    aConnection.Close();
    m_removed.push_back(std::move(*found));
    connections.erase(found);
    m_cleanUpTimer.SetAfter(Duration(0));
  }
}

void
ReplicaConnections::CloseExpired()
{
  const TimePoint now = m_loop.Now();
  std::vector<Connection*> expired;
  for (auto& [id, endpoint] : m_endpoints) {
    for (const auto& connection : endpoint.m_connections) {
      if (connection->IsExpired(now)) {
        expired.push_back(connection.get());
      }
    }
  }
  for (Connection* connection : expired) {
    connection->Fail(CopyFailure::NotSent);
  }
  std::erase_if(m_endpoints, [](const auto& aEndpoint) {
    return aEndpoint.second.m_connections.empty();
  });
  m_expiryTimer.SetAfter(kExpiryInterval);
}

} // namespace goldcrestkeel
