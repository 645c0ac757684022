#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestkeel::standins {

/** Keys, locks and sessions of the simulated key-value service, with the
 *  semantics of Consul. Not thread-safe. Callers pass in the current time. */
class KeyValueTable
{
public:
  using Time = std::chrono::steady_clock::time_point;

  struct Entry
  {
    std::string m_value;
    std::uint64_t m_createIndex = 0;
    std::uint64_t m_modifyIndex = 0;
    /** Number of acquisitions of the lock; acquiring it again while holding it
     *  does not count. */
    std::uint64_t m_lockIndex = 0;
    /** Id of the session that holds the lock; empty if the key is unlocked. */
    std::string m_session;
  };

  struct Session
  {
    std::string m_name;
    /** Time to live since the last renewal; 0 means that the session does not
     *  expire. */
    std::chrono::milliseconds m_ttl{ 0 };
    /** Time after expiry of the session during which no session may lock the
     *  keys that it held. */
    std::chrono::milliseconds m_lockDelay{ 0 };
    /** Whether the keys that the session has locked are deleted when it ends,
     *  instead of unlocked. */
    bool m_deletesKeys = false;
    std::uint64_t m_createIndex = 0;
    Time m_expiresAt;
  };

  /** Index of the last change to any key, or of the last creation of a
   *  session. */
  std::uint64_t Index() const { return m_index; }
  /** Returns the entry of aKey, or null if the key does not exist. The pointer
   *  is valid until the key is deleted. */
  const Entry* Get(const std::string& aKey) const;
  /** Returns the entries whose keys start with aPrefix, in order of keys. */
  std::vector<std::pair<std::string, Entry>> List(
    const std::string& aPrefix) const;
  /** Returns the index of the last write or deletion of aKey; 1 if there was
   *  none. */
  std::uint64_t KeyIndex(const std::string& aKey) const;
  /** Returns the largest KeyIndex() of the keys that start with aPrefix; 1 if
   *  there is none. */
  std::uint64_t PrefixIndex(const std::string& aPrefix) const;

  void Put(const std::string& aKey, const std::string& aValue);
  /** Writes the key if its modification index is aExpectedIndex, where 0 means
   *  that the key must not exist. Returns whether it wrote. */
  bool CompareAndSwap(const std::string& aKey,
                      const std::string& aValue,
                      std::uint64_t aExpectedIndex);
  /** Writes and locks the key. Returns false and writes nothing if another
   *  session holds the lock, a lock delay has not passed, or the session does
   *  not exist. */
  bool Acquire(const std::string& aKey,
               const std::string& aValue,
               const std::string& aSession,
               Time aNow);
  /** Writes and unlocks the key. Returns false and writes nothing if aSession
   *  does not hold the lock. */
  bool Release(const std::string& aKey,
               const std::string& aValue,
               const std::string& aSession);
  /** Deletes the key if it exists. With aExpectedIndex, returns false and
   *  deletes nothing unless it is the modification index of the key, where 0
   *  means that the key must not exist. */
  bool Delete(const std::string& aKey,
              std::optional<std::uint64_t> aExpectedIndex);
  void DeletePrefix(const std::string& aPrefix);

  /** Creates the session aId, which expires after its time to live unless it
   *  is renewed. */
  void CreateSession(const std::string& aId, Session aSession, Time aNow);
  /** Restarts the time to live. Returns false if the session does not exist. */
  bool RenewSession(const std::string& aId, Time aNow);
  /** Ends the session without a lock delay. */
  void DestroySession(const std::string& aId);
  /** Ends the sessions whose time to live has passed. Their lock delays start
   *  at aNow. */
  void ExpireSessions(Time aNow);
  /** Returns the earliest expiry of a session, or nothing if no session has a
   *  time to live. */
  std::optional<Time> NextExpiry() const;
  const std::map<std::string, Session>& Sessions() const { return m_sessions; }

private:
  Entry& WriteEntry(const std::string& aKey, const std::string& aValue);
  void EraseEntry(const std::string& aKey);
  /** Ends the session; with aNow, its lock delay starts at this time. */
  void EndSession(const std::string& aId, std::optional<Time> aNow);

  std::uint64_t m_index = 1;
  std::map<std::string, Entry> m_entries;
  /** Index of the deletion of each key that does not exist any more. */
  std::map<std::string, std::uint64_t> m_deletionIndexes;
  std::map<std::string, Session> m_sessions;
  /** Time until which each key cannot be locked. */
  std::map<std::string, Time> m_lockDelayEnds;
};

} // namespace goldcrestkeel::standins
