#include "ReplicaTable.h"

namespace goldcrestkeel {

ReplicaIndex
ReplicaTable::Intern(const std::string& aId)
{
  const auto [entry, inserted] =
    m_indices.try_emplace(aId, static_cast<ReplicaIndex>(m_states.size()));
  if (inserted) {
    m_states.emplace_back().m_id = aId;
  }
  return entry->second;
}

std::optional<ReplicaIndex>
ReplicaTable::Find(const std::string& aId) const
{
  const auto entry = m_indices.find(aId);
  if (entry == m_indices.end()) {
    return std::nullopt;
  }
  return entry->second;
}

} // namespace goldcrestkeel
