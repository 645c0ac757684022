#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestkeel::standins {

/** Keys, locks and sessions of the simulated key-value service, in the manner
 *  of Consul. Not thread-safe; time is passed in. */
class KeyValueTable
{
public:
  using Time = std::chrono::steady_clock::time_point;

  struct Entry
  {
    std::string m_value;
    std::uint64_t m_createIndex = 0;
    std::uint64_t m_modifyIndex = 0;
    std::uint64_t m_lockIndex = 0;
    /** Holder of the lock, empty if none. */
    std::string m_session;
  };

  struct Session
  {
    std::string m_name;
    std::chrono::milliseconds m_ttl{ 0 };
    /** Time after an involuntary end during which no one may lock the keys. */
    std::chrono::milliseconds m_lockDelay{ 0 };
    /** Deletes the keys it holds when it ends, instead of unlocking them. */
    bool m_deletesKeys = false;
    std::uint64_t m_createIndex = 0;
    Time m_expires;
  };

  /** Index of the last change to any key. */
  std::uint64_t Index() const { return m_index; }
  const Entry* Get(const std::string& aKey) const;
  std::vector<std::pair<std::string, Entry>> List(
    const std::string& aPrefix) const;
  /** Index of the last write or deletion of aKey; 1 if there was none. */
  std::uint64_t KeyIndex(const std::string& aKey) const;
  /** Largest KeyIndex() below aPrefix; 1 if there is none. */
  std::uint64_t PrefixIndex(const std::string& aPrefix) const;

  void Put(const std::string& aKey, const std::string& aValue);
  /** Writes if the key's modification index is aIndex; 0 means absent. */
  bool CompareAndSwap(const std::string& aKey,
                      const std::string& aValue,
                      std::uint64_t aIndex);
  /** Writes and locks; false if another session or a lock delay holds it, or
   *  the session does not exist. */
  bool Acquire(const std::string& aKey,
               const std::string& aValue,
               const std::string& aSession,
               Time aNow);
  /** Writes and unlocks; false if aSession does not hold the lock. */
  bool Release(const std::string& aKey,
               const std::string& aValue,
               const std::string& aSession);
  bool Delete(const std::string& aKey, std::optional<std::uint64_t> aIndex);
  void DeletePrefix(const std::string& aPrefix);

  void CreateSession(const std::string& aId, Session aSession, Time aNow);
  /** False if there is no such session. */
  bool RenewSession(const std::string& aId, Time aNow);
  void DestroySession(const std::string& aId);
  /** Ends the sessions whose time to live has passed. */
  void Expire(Time aNow);
  std::optional<Time> NextExpiry() const;
  const std::map<std::string, Session>& Sessions() const { return m_sessions; }

private:
  Entry& Write(const std::string& aKey, const std::string& aValue);
  void Erase(const std::string& aKey);
  void EndSession(const std::string& aId, std::optional<Time> aNow);

  std::uint64_t m_index = 1;
  std::map<std::string, Entry> m_entries;
  std::map<std::string, std::uint64_t> m_deleted;
  std::map<std::string, Session> m_sessions;
  std::map<std::string, Time> m_lockDelays;
};

} // namespace goldcrestkeel::standins
