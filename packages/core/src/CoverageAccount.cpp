#include "CoverageAccount.h"

#include <goldcrestkeel/core/Invariant.h>

#include <numeric>

namespace goldcrestkeel {

CoverageAccount::CoverageAccount(const SnapshotView& aView)
  : m_view(&aView)
  , m_documents(aView.m_groups.size(), 0)
  , m_counted(aView.m_groups.size(), false)
{
}

bool
CoverageAccount::Count(std::uint32_t aShard, DocumentCount aDocuments)
{
  if (aDocuments > m_view->m_groups[aShard].m_documents) {
    return false;
  }
  if (!m_counted[aShard]) {
    m_counted[aShard] = true;
    ++m_answered;
  }
  if (aDocuments > m_documents[aShard]) {
    m_searched += aDocuments - m_documents[aShard];
    m_documents[aShard] = aDocuments;
  }
  return true;
}

double
CoverageAccount::Fraction() const
{
  if (m_view->m_total == 0) {
    return 0;
  }
  return static_cast<double>(m_searched) / static_cast<double>(m_view->m_total);
}

CoverageReport
CoverageAccount::Report() const
{
  const DocumentCount sum =
    std::accumulate(m_documents.begin(), m_documents.end(), DocumentCount{ 0 });
  GK_INVARIANT(sum == m_searched && sum <= m_view->m_total,
               InvariantId::AccurateCoverage,
               std::to_string(m_searched) +
                 " documents reported as searched, " + std::to_string(sum) +
                 " counted of " + std::to_string(m_view->m_total));
  CoverageReport report;
  report.m_fraction = Fraction();
  report.m_documentsSearched = m_searched;
  report.m_documentsTotal = m_view->m_total;
  report.m_shardsAnswered = m_answered;
  report.m_shardsTotal = static_cast<std::uint32_t>(m_view->m_groups.size());
  for (std::size_t i = 0; i < m_counted.size(); ++i) {
    if (!m_counted[i]) {
      report.m_missingShards.push_back(m_view->m_groups[i].m_shard);
    }
  }
  return report;
}

} // namespace goldcrestkeel
