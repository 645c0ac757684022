#include <goldcrestkeel/standins/ShardIndex.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <stdexcept>
#include <tuple>

namespace goldcrestkeel::standins {

namespace {

bool
IsTermCharacter(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9');
}

char
ToLowerAscii(char aCharacter)
{
  return aCharacter >= 'A' && aCharacter <= 'Z'
           ? static_cast<char>(aCharacter - 'A' + 'a')
           : aCharacter;
}

} // namespace

std::vector<std::string>
SplitTerms(std::string_view aText)
{
  std::vector<std::string> terms;
  std::string term;
  for (const char character : aText) {
    if (IsTermCharacter(character)) {
      term.push_back(ToLowerAscii(character));
    } else if (!term.empty()) {
      terms.push_back(std::move(term));
      term.clear();
    }
  }
  if (!term.empty()) {
    terms.push_back(std::move(term));
  }
  return terms;
}

ShardIndex::ShardIndex(std::istream& aFile)
{
  std::string line;
  if (!std::getline(aFile, line)) {
    throw std::runtime_error("shard file is empty or cannot be read");
  }
  const auto header = nlohmann::json::parse(line);
  header.at("version").get_to(m_version);
  header.at("shard").get_to(m_shard);
  header.at("documents").get_to(m_documentCounts);
  while (std::getline(aFile, line)) {
    const auto document = nlohmann::json::parse(line);
    AddDocument(document.at("id"),
                document.at("title"),
                document.at("description").get_ref<const std::string&>());
  }
  const auto ownCount = m_documentCounts.find(m_shard);
  if (ownCount == m_documentCounts.end() ||
      ownCount->second != m_documents.size()) {
    throw std::runtime_error("shard file does not hold as many documents as "
                             "its header states for shard " +
                             m_shard);
  }
}

void
ShardIndex::AddDocument(std::string aId,
                        std::string aTitle,
                        std::string_view aDescription)
{
  const auto documentIndex = static_cast<std::uint32_t>(m_documents.size());
  for (const auto text : { std::string_view(aTitle), aDescription }) {
    for (const auto& term : SplitTerms(text)) {
      auto& postings = m_postings[term];
      if (postings.empty() || postings.back().m_document != documentIndex) {
        postings.push_back({ documentIndex, 0 });
      }
      ++postings.back().m_count;
    }
  }
  m_documents.push_back({ std::move(aId), std::move(aTitle) });
}

std::vector<SearchHit>
ShardIndex::Search(std::string_view aStatement,
                   std::size_t aMaxHits,
                   std::size_t aDocumentsSearched) const
{
  const auto split = SplitTerms(aStatement);
  const std::set<std::string> terms(split.begin(), split.end());
  struct Match
  {
    std::size_t m_terms = 0;
    std::uint64_t m_score = 0;
  };
  std::unordered_map<std::uint32_t, Match> matches;
  for (const auto& term : terms) {
    const auto postings = m_postings.find(term);
    if (postings == m_postings.end()) {
      return {};
    }
    for (const auto& posting : postings->second) {
      if (posting.m_document < aDocumentsSearched) {
        auto& match = matches[posting.m_document];
        ++match.m_terms;
        match.m_score += posting.m_count;
      }
    }
  }
  std::vector<SearchHit> hits;
  for (const auto& [documentIndex, match] : matches) {
    if (match.m_terms == terms.size()) {
      const auto& document = m_documents[documentIndex];
      hits.push_back({ document.m_id, document.m_title, match.m_score });
    }
  }
  std::sort(hits.begin(),
            hits.end(),
            [](const SearchHit& aLeft, const SearchHit& aRight) {
              return std::tie(aRight.m_score, aLeft.m_id) <
                     std::tie(aLeft.m_score, aRight.m_id);
            });
  hits.resize(std::min(hits.size(), aMaxHits));
  return hits;
}

} // namespace goldcrestkeel::standins
