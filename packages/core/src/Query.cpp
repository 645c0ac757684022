#include "Query.h"

#include <utility>

namespace goldcrestkeel {

Query::Query(const StartSearch& aRequest,
             std::shared_ptr<Service> aService,
             std::shared_ptr<SnapshotView> aView)
  : m_request(aRequest)
  , m_service(std::move(aService))
  , m_view(std::move(aView))
  , m_coverage(*m_view)
  , m_merger(aRequest.m_offset, aRequest.m_limit)
  , m_shards(m_view->m_groups.size())
{
}

void
Query::Pin(std::shared_ptr<SnapshotView> aView)
{
  m_view = std::move(aView);
  m_coverage = CoverageAccount(*m_view);
  m_merger = HitMerger(m_request.m_offset, m_request.m_limit);
  m_shards.assign(m_view->m_groups.size(), {});
  m_partials.clear();
  ++m_epoch;
}

} // namespace goldcrestkeel
