#include <goldcrestkeel/standins/KeyValueTable.h>

#include <algorithm>
#include <utility>

namespace goldcrestkeel::standins {

namespace {

/** Index of a key that was never written. It is not 0, because a blocking query
 *  with index 0 returns at once. */
constexpr std::uint64_t kUnwrittenIndex = 1;

} // namespace

const KeyValueTable::Entry*
KeyValueTable::Get(const std::string& aKey) const
{
  const auto found = m_entries.find(aKey);
  return found == m_entries.end() ? nullptr : &found->second;
}

std::vector<std::pair<std::string, KeyValueTable::Entry>>
KeyValueTable::List(const std::string& aPrefix) const
{
  std::vector<std::pair<std::string, Entry>> entries;
  for (auto it = m_entries.lower_bound(aPrefix);
       it != m_entries.end() && it->first.starts_with(aPrefix);
       ++it) {
    entries.push_back(*it);
  }
  return entries;
}

std::uint64_t
KeyValueTable::KeyIndex(const std::string& aKey) const
{
  if (const auto* entry = Get(aKey)) {
    return entry->m_modifyIndex;
  }
  const auto deleted = m_deletionIndexes.find(aKey);
  return deleted == m_deletionIndexes.end() ? kUnwrittenIndex : deleted->second;
}

std::uint64_t
KeyValueTable::PrefixIndex(const std::string& aPrefix) const
{
  std::uint64_t index = kUnwrittenIndex;
  for (const auto& [key, entry] : List(aPrefix)) {
    index = std::max(index, entry.m_modifyIndex);
  }
  for (auto it = m_deletionIndexes.lower_bound(aPrefix);
       it != m_deletionIndexes.end() && it->first.starts_with(aPrefix);
       ++it) {
    index = std::max(index, it->second);
  }
  return index;
}

KeyValueTable::Entry&
KeyValueTable::WriteEntry(const std::string& aKey, const std::string& aValue)
{
  ++m_index;
  const auto [found, created] = m_entries.try_emplace(aKey);
  auto& entry = found->second;
  if (created) {
    entry.m_createIndex = m_index;
    m_deletionIndexes.erase(aKey);
  }
  entry.m_modifyIndex = m_index;
  entry.m_value = aValue;
  return entry;
}

void
KeyValueTable::EraseEntry(const std::string& aKey)
{
  if (m_entries.erase(aKey) > 0) {
    m_deletionIndexes[aKey] = ++m_index;
  }
}

void
KeyValueTable::Put(const std::string& aKey, const std::string& aValue)
{
  WriteEntry(aKey, aValue);
}

bool
KeyValueTable::CompareAndSwap(const std::string& aKey,
                              const std::string& aValue,
                              std::uint64_t aExpectedIndex)
{
  const auto* entry = Get(aKey);
  if ((entry == nullptr ? 0 : entry->m_modifyIndex) != aExpectedIndex) {
    return false;
  }
  WriteEntry(aKey, aValue);
  return true;
}

bool
KeyValueTable::Acquire(const std::string& aKey,
                       const std::string& aValue,
                       const std::string& aSession,
                       Time aNow)
{
  if (!m_sessions.contains(aSession)) {
    return false;
  }
  const auto delay = m_lockDelayEnds.find(aKey);
  if (delay != m_lockDelayEnds.end() && aNow < delay->second) {
    return false;
  }
  const auto* entry = Get(aKey);
  if (entry != nullptr && !entry->m_session.empty() &&
      entry->m_session != aSession) {
    return false;
  }
  auto& written = WriteEntry(aKey, aValue);
  if (written.m_session.empty()) {
    ++written.m_lockIndex;
  }
  written.m_session = aSession;
  return true;
}

bool
KeyValueTable::Release(const std::string& aKey,
                       const std::string& aValue,
                       const std::string& aSession)
{
  const auto* entry = Get(aKey);
  if (entry == nullptr || aSession.empty() || entry->m_session != aSession) {
    return false;
  }
  WriteEntry(aKey, aValue).m_session.clear();
  return true;
}

bool
KeyValueTable::Delete(const std::string& aKey,
                      std::optional<std::uint64_t> aExpectedIndex)
{
  const auto* entry = Get(aKey);
  if (aExpectedIndex &&
      (entry == nullptr ? 0 : entry->m_modifyIndex) != *aExpectedIndex) {
    return false;
  }
  EraseEntry(aKey);
  return true;
}

void
KeyValueTable::DeletePrefix(const std::string& aPrefix)
{
  for (const auto& [key, entry] : List(aPrefix)) {
    EraseEntry(key);
  }
}

void
KeyValueTable::CreateSession(const std::string& aId,
                             Session aSession,
                             Time aNow)
{
  aSession.m_createIndex = ++m_index;
  aSession.m_expiresAt = aNow + aSession.m_ttl;
  m_sessions[aId] = std::move(aSession);
}

bool
KeyValueTable::RenewSession(const std::string& aId, Time aNow)
{
  const auto found = m_sessions.find(aId);
  if (found == m_sessions.end()) {
    return false;
  }
  found->second.m_expiresAt = aNow + found->second.m_ttl;
  return true;
}

void
KeyValueTable::DestroySession(const std::string& aId)
{
  EndSession(aId, std::nullopt);
}

void
KeyValueTable::EndSession(const std::string& aId, std::optional<Time> aNow)
{
  const auto found = m_sessions.find(aId);
  if (found == m_sessions.end()) {
    return;
  }
  const auto session = std::move(found->second);
  m_sessions.erase(found);
  for (const auto& [key, entry] : List("")) {
    if (entry.m_session != aId) {
      continue;
    }
    if (session.m_deletesKeys) {
      EraseEntry(key);
    } else {
      WriteEntry(key, entry.m_value).m_session.clear();
    }
    if (aNow && session.m_lockDelay.count() > 0) {
      m_lockDelayEnds[key] = *aNow + session.m_lockDelay;
    }
  }
}

void
KeyValueTable::ExpireSessions(Time aNow)
{
  std::vector<std::string> expired;
  for (const auto& [id, session] : m_sessions) {
    if (session.m_ttl.count() > 0 && session.m_expiresAt <= aNow) {
      expired.push_back(id);
    }
  }
  for (const auto& id : expired) {
    EndSession(id, aNow);
  }
}

std::optional<KeyValueTable::Time>
KeyValueTable::NextExpiry() const
{
  std::optional<Time> next;
  for (const auto& [id, session] : m_sessions) {
    if (session.m_ttl.count() > 0 && (!next || session.m_expiresAt < *next)) {
      next = session.m_expiresAt;
    }
  }
  return next;
}

} // namespace goldcrestkeel::standins
