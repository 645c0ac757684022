#include <goldcrestkeel/standins/ShardIndex.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <stdexcept>
#include <tuple>

namespace goldcrestkeel::standins {

namespace {

bool
IsTermByte(char aByte)
{
  return (aByte >= 'a' && aByte <= 'z') || (aByte >= 'A' && aByte <= 'Z') ||
         (aByte >= '0' && aByte <= '9');
}

char
LowerCase(char aByte)
{
  return aByte >= 'A' && aByte <= 'Z' ? static_cast<char>(aByte - 'A' + 'a')
                                      : aByte;
}

} // namespace

std::vector<std::string>
SplitTerms(std::string_view aText)
{
  std::vector<std::string> terms;
  std::string term;
  for (const char byte : aText) {
    if (IsTermByte(byte)) {
      term.push_back(LowerCase(byte));
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
  header.at("documents").get_to(m_map);
  while (std::getline(aFile, line)) {
    const auto document = nlohmann::json::parse(line);
    Add(document.at("id"),
        document.at("title"),
        document.at("description").get_ref<const std::string&>());
  }
  const auto own = m_map.find(m_shard);
  if (own == m_map.end() || own->second != m_documents.size()) {
    throw std::runtime_error("shard file does not hold the documents that its "
                             "header states for " +
                             m_shard);
  }
}

void
ShardIndex::Add(std::string aId,
                std::string aTitle,
                std::string_view aDescription)
{
  const auto number = static_cast<std::uint32_t>(m_documents.size());
  for (const auto text : { std::string_view(aTitle), aDescription }) {
    for (const auto& term : SplitTerms(text)) {
      auto& postings = m_postings[term];
      if (postings.empty() || postings.back().m_document != number) {
        postings.push_back({ number, 0 });
      }
      ++postings.back().m_count;
    }
  }
  m_documents.push_back({ std::move(aId), std::move(aTitle) });
}

std::vector<FoundDocument>
ShardIndex::Search(std::string_view aStatement,
                   std::size_t aLimit,
                   std::size_t aSearched) const
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
      if (posting.m_document < aSearched) {
        auto& match = matches[posting.m_document];
        ++match.m_terms;
        match.m_score += posting.m_count;
      }
    }
  }
  std::vector<FoundDocument> found;
  for (const auto& [number, match] : matches) {
    if (match.m_terms == terms.size()) {
      const auto& document = m_documents[number];
      found.push_back({ document.m_id, document.m_title, match.m_score });
    }
  }
  std::sort(found.begin(),
            found.end(),
            [](const FoundDocument& aLeft, const FoundDocument& aRight) {
              return std::tie(aRight.m_score, aLeft.m_id) <
                     std::tie(aLeft.m_score, aRight.m_id);
            });
  found.resize(std::min(found.size(), aLimit));
  return found;
}

} // namespace goldcrestkeel::standins
