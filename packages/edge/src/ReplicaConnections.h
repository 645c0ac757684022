#pragma once

#include "ClientConnection.h"

#include <goldcrestkeel/edge/FieldNames.h>
#include <goldcrestkeel/forward/Forwarder.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace goldcrestkeel {

/** Receives what happens to the copies. */
class CopyListener
{
public:
  virtual ~CopyListener() = default;
  virtual void OnCopySent(CopyId aCopy) = 0;
  virtual void OnCopyAnswered(CopyId aCopy, ReplicaAnswer&& aAnswer) = 0;
  virtual void OnCopyFailed(CopyId aCopy, CopyFailure aFailure) = 0;
};

/** One copy as it goes to a replica. */
struct OutgoingCopy
{
  CopyId m_copy = 0;
  std::string m_bytes;
  /** Id that the answer must carry if it carries one. */
  std::string m_requestId;
  bool m_head = false;
};

/** Connections to all replicas. */
class ReplicaConnections
{
public:
  /** All arguments must outlive the object. */
  ReplicaConnections(Loop& aLoop,
                     const EdgeFieldNames& aNames,
                     CopyListener& aListener);
  ~ReplicaConnections();

  void Send(const ReplicaRecord& aReplica, OutgoingCopy aCopy);
  /** Ends a copy without a call. Its connection is kept if nothing was sent. */
  void Abort(CopyId aCopy);

  std::size_t Open() const;
  std::uint64_t Opened() const { return m_opened; }

private:
  class Link;
  struct Host
  {
    std::vector<std::unique_ptr<Link>> m_links;
  };

  Link& LinkFor(Host& aHost);
  void Drop(Link& aLink);
  void Sweep();
  ReplicaAnswer ToAnswer(ResponseMessage&& aAnswer) const;

  Loop& m_loop;
  const EdgeFieldNames& m_names;
  CopyListener& m_listener;
  std::unordered_map<std::string, Host> m_hosts;
  std::unordered_map<CopyId, Link*> m_byCopy;
  std::vector<std::unique_ptr<Link>> m_dropped;
  std::uint64_t m_opened = 0;
  LoopTimer m_sweep;
  LoopTimer m_cleanUp;
};

} // namespace goldcrestkeel
