#pragma once

#include <cstddef>
#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace goldcrestkeel::standins {

/** Lower-case runs of ASCII letters and digits. */
std::vector<std::string>
SplitTerms(std::string_view aText);

struct FoundDocument
{
  std::string m_id;
  std::string m_title;
  std::uint64_t m_score = 0;
};

/** One shard of one index version. */
class ShardIndex
{
public:
  /** Reads JSON lines: first {"version", "shard", "documents": {shard: count}},
   *  then one {"id", "title", "description"} for each document. Throws
   *  std::runtime_error for a malformed file or a wrong count. */
  explicit ShardIndex(std::istream& aFile);

  std::uint64_t Version() const { return m_version; }
  const std::string& Shard() const { return m_shard; }
  const std::map<std::string, std::uint64_t>& Map() const { return m_map; }
  std::size_t Size() const { return m_documents.size(); }

  /** Best aLimit documents among the first aSearched documents, by score
   *  (highest first), then id. A statement without terms matches nothing. */
  std::vector<FoundDocument> Search(std::string_view aStatement,
                                    std::size_t aLimit,
                                    std::size_t aSearched) const;

private:
  struct Document
  {
    std::string m_id;
    std::string m_title;
  };
  struct Posting
  {
    std::uint32_t m_document = 0;
    std::uint32_t m_count = 0;
  };

  void Add(std::string aId, std::string aTitle, std::string_view aDescription);

  std::uint64_t m_version = 0;
  std::string m_shard;
  std::map<std::string, std::uint64_t> m_map;
  std::vector<Document> m_documents;
  std::unordered_map<std::string, std::vector<Posting>> m_postings;
};

} // namespace goldcrestkeel::standins
