#pragma once

#include "ClientConnection.h"

#include <goldcrestkeel/edge/EdgeSettings.h>
#include <goldcrestkeel/edge/FieldNames.h>
#include <goldcrestkeel/forward/Forwarder.h>

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace goldcrestkeel {

/** Receives the progress of copies. For each copy, one of OnCopyAnswered() and
 *  OnCopyFailed() ends it, unless it is aborted. */
class CopyListener
{
public:
  virtual ~CopyListener() = default;
  /** The first byte of the copy was written to a connection. */
  virtual void OnCopySent(CopyId aCopy, ConnectionState aConnection) = 0;
  virtual void OnCopyAnswered(CopyId aCopy, ReplicaAnswer&& aAnswer) = 0;
  virtual void OnCopyFailed(CopyId aCopy, CopyFailure aFailure) = 0;
  /** A connection to the replica or host has brought its first answer. */
  virtual void OnConnectionProven(const std::string& aId) = 0;
  /** A connection that had brought an answer has ended. */
  virtual void OnProvenConnectionEnded(const std::string& aId) = 0;
};

/** A serialized copy of a request, ready to be sent. */
struct OutgoingCopy
{
  CopyId m_copy = 0;
  RequestBytes m_bytes;
  /** Request id; responses that carry another one are skipped. */
  SharedText m_requestId;
  /** The request is a HEAD request. */
  bool m_head = false;
  /** No copy of the request is sent after this time. */
  TimePoint m_requestEndsAt = TimePoint::max();
};

/** Connection pools to all replicas and to other entry hosts. */
class ReplicaConnections
{
public:
  /** All arguments must outlive the pools. */
  ReplicaConnections(Loop& aLoop,
                     const EdgeFieldNames& aNames,
                     CopyListener& aListener,
                     const AnswerLimits& aLimits);
  ~ReplicaConnections();

  /** Sends a copy on an idle connection, or opens one. Throws
   *  std::runtime_error if the address of aReplica is not of the form
   *  "IP:port". */
  void Send(const ReplicaRecord& aReplica, OutgoingCopy aCopy);
  /** Sends a copy over a new connection. Throws as Send(). */
  void SendOverNew(const ReplicaRecord& aReplica, OutgoingCopy aCopy);
  /** Aborts a copy without a callback. Its connection is closed if a part of
   *  the copy was sent, and kept otherwise. */
  void Abort(CopyId aCopy);

  /** Bytes received of answers that are not complete. */
  std::size_t HeldBytes() const { return m_heldBytes; }
  /** Connections that are open or being established. */
  std::size_t OpenCount() const { return m_openCount; }
  /** Of these, connections that have a copy. */
  std::size_t BusyCount() const { return m_connectionByCopy.size(); }
  /** From aLimit connections on, one that has no copy is closed for a new one
   *  of Send(). If there is none, the copy fails with NoConnection. */
  void SetLimit(std::size_t aLimit) { m_limit = aLimit; }
  /** Connections opened since the start. */
  std::uint64_t OpenedTotal() const { return m_openedTotal; }

private:
  class Connection;
  struct Endpoint
  {
    std::vector<std::unique_ptr<Connection>> m_connections;
  };

  /** Opens a connection to aReplica. */
  Connection& Open(const ReplicaRecord& aReplica);
  /** Closes the connection without a copy that would expire first, if any. */
  void CloseFree();
  /** Reports the copies that have found no connection. */
  void FailRejected();
  /** Updates m_heldBytes, and ends the largest answer if it exceeds its limit.
   */
  void UpdateHeldBytes(Connection& aConnection);
  void Remove(Connection& aConnection);
  void CloseExpired();
  ReplicaAnswer ToAnswer(ResponseMessage&& aAnswer) const;

  Loop& m_loop;
  const EdgeFieldNames& m_names;
  CopyListener& m_listener;
  AnswerLimits m_limits;
  std::size_t m_heldBytes = 0;
  std::unordered_map<std::string, Endpoint> m_endpoints;
  std::unordered_map<CopyId, Connection*> m_connectionByCopy;
  std::vector<std::unique_ptr<Connection>> m_removed;
  std::uint64_t m_openedTotal = 0;
  std::size_t m_openCount = 0;
  std::size_t m_limit = std::numeric_limits<std::size_t>::max();
  /** Copies that have found no connection. */
  std::vector<CopyId> m_rejected;
  LoopTimer m_rejectTimer;
  LoopTimer m_expiryTimer;
  LoopTimer m_cleanUpTimer;
};

} // namespace goldcrestkeel
