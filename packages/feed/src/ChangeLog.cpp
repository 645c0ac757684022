#include <goldcrestkeel/feed/ChangeLog.h>

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace goldcrestkeel {

ChangeLog::ChangeLog(std::size_t aMaxChanges)
  : m_maxChanges(aMaxChanges)
{
}

bool
ChangeLog::HasValueOf(const FeedItem& aItem) const
{
  const auto known = m_items.find(aItem.m_key);
  return known != m_items.end() && !known->second.m_deleted &&
         !aItem.m_deleted && known->second.m_value == aItem.m_value;
}

bool
ChangeLog::IsNewer(const FeedItem& aItem) const
{
  const auto known = m_items.find(aItem.m_key);
  return known == m_items.end() ? !aItem.m_deleted
                                : known->second.m_revision < aItem.m_revision;
}

void
ChangeLog::Record(const FeedItem& aItem)
{
  m_items[aItem.m_key] = aItem;
  m_changes.emplace_back(aItem.m_revision, aItem.m_key);
  m_newestChange = std::max(m_newestChange, aItem.m_revision);
}

std::vector<FeedItem>
ChangeLog::MissingFrom(const FeedChanges& aList) const
{
  std::set<std::string_view> listed;
  for (const FeedItem& item : aList.m_items) {
    listed.insert(item.m_key);
  }
  std::vector<FeedItem> missing;
  for (const auto& [key, item] : m_items) {
    if (!item.m_deleted && !listed.contains(key) &&
        item.m_revision <= aList.m_revision) {
      missing.push_back({ key, {}, aList.m_revision, true });
    }
  }
  return missing;
}

void
ChangeLog::DropOldChanges()
{
  while (m_changes.size() > m_maxChanges) {
    const auto [revision, key] = std::move(m_changes.front());
    m_changes.pop_front();
    m_retainedAfter = std::max(m_retainedAfter, revision);
    const auto item = m_items.find(key);
    if (item != m_items.end() && item->second.m_deleted &&
        item->second.m_revision == revision) {
      m_items.erase(item);
    }
  }
}

FeedChanges
ChangeLog::Apply(const FeedChanges& aChanges)
{
  if (aChanges.m_complete && aChanges.m_revision < m_revision) {
    // An older list says nothing about keys that changed since.
    return { {}, m_revision, false };
  }
  const bool first = m_revision == 0;
  const bool newEra = aChanges.m_revision.m_era > m_revision.m_era;
  FeedChanges applied;
  applied.m_complete = aChanges.m_complete;
  for (const FeedItem& item : aChanges.m_items) {
    if (IsNewer(item)) {
      // A restored store gives most of its keys other revisions only.
      const bool sameValue = newEra && HasValueOf(item);
      Record(item);
      if (!sameValue) {
        applied.m_items.push_back(item);
      }
    }
  }
  if (aChanges.m_complete) {
    for (FeedItem& item : MissingFrom(aChanges)) {
      Record(item);
      applied.m_items.push_back(std::move(item));
    }
  }
  m_revision = std::max(m_revision, aChanges.m_revision);
  applied.m_revision = m_revision;
  if (first) {
    // Other hosts that lack some of these keys get the whole state.
    m_changes.clear();
    m_retainedAfter = m_revision;
  }
  DropOldChanges();
  return applied;
}

FeedChanges
ChangeLog::Since(FeedRevision aRevision) const
{
  FeedChanges changes;
  changes.m_revision = m_revision;
  changes.m_complete = aRevision < m_retainedAfter;
  if (!changes.m_complete && aRevision >= m_newestChange) {
    return changes;
  }
  for (const auto& [key, item] : m_items) {
    if (changes.m_complete ? !item.m_deleted : item.m_revision > aRevision) {
      changes.m_items.push_back(item);
    }
  }
  return changes;
}

} // namespace goldcrestkeel
