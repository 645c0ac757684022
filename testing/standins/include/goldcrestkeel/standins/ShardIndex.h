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

/** Splits aText into terms: runs of ASCII letters and digits, in lower case. */
std::vector<std::string>
SplitTerms(std::string_view aText);

struct SearchHit
{
  std::string m_id;
  std::string m_title;
  /** Number of occurrences of the query terms in title and description. */
  std::uint64_t m_score = 0;
};

/** In-memory inverted index of one shard of one index version. */
class ShardIndex
{
public:
  /** Reads JSON lines: a header {"version", "shard", "documents": {shard:
   *  count}}, then one {"id", "title", "description"} for each document.
   *  Throws std::runtime_error if the file is empty or does not hold as many
   *  documents as its header states, and nlohmann::json::exception if a line
   *  is malformed. */
  explicit ShardIndex(std::istream& aFile);

  std::uint64_t Version() const { return m_version; }
  const std::string& Shard() const { return m_shard; }
  /** Number of documents of each shard of the index version, by shard. */
  const std::map<std::string, std::uint64_t>& DocumentCounts() const
  {
    return m_documentCounts;
  }
  /** Number of documents in this shard. */
  std::size_t DocumentCount() const { return m_documents.size(); }

  /** Searches the first aDocumentsSearched documents of the shard for those
   *  that contain every term of aStatement. Returns the best aMaxHits of them,
   *  ordered by descending score, then by id. A statement without terms matches
   *  nothing. */
  std::vector<SearchHit> Search(std::string_view aStatement,
                                std::size_t aMaxHits,
                                std::size_t aDocumentsSearched) const;

private:
  struct Document
  {
    std::string m_id;
    std::string m_title;
  };
  struct Posting
  {
    /** Position of the document in m_documents. */
    std::uint32_t m_document = 0;
    /** Occurrences of the term in the document. */
    std::uint32_t m_count = 0;
  };

  void AddDocument(std::string aId,
                   std::string aTitle,
                   std::string_view aDescription);

  std::uint64_t m_version = 0;
  std::string m_shard;
  std::map<std::string, std::uint64_t> m_documentCounts;
  std::vector<Document> m_documents;
  std::unordered_map<std::string, std::vector<Posting>> m_postings;
};

} // namespace goldcrestkeel::standins
