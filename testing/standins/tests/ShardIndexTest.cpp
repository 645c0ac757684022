#include <goldcrestkeel/standins/ShardIndex.h>

#include <catch2/catch.hpp>

#include <sstream>

using namespace goldcrestkeel::standins;

namespace {

constexpr const char* kShard =
  R"({"version":3,"shard":"s-0","documents":{"s-0":3,"s-1":9}}
{"id":"b","title":"Oak wheel","description":"wheel, oak; WHEEL"}
{"id":"a","title":"oak","description":"wheel wheel wheel"}
{"id":"c","title":"oak-tree","description":"no round part"}
)";

std::vector<std::string>
Ids(const std::vector<SearchHit>& aFound)
{
  std::vector<std::string> ids;
  for (const auto& document : aFound) {
    ids.push_back(document.m_id);
  }
  return ids;
}

} // namespace

TEST_CASE("Search in a shard file")
{
  std::istringstream file(kShard);
  const ShardIndex index(file);
  using Expected = std::vector<std::string>;

  // The tests compare search results with a brute-force scan, so the index must
  // follow the matching rules of section 5.1.
  SECTION("the header is read")
  {
    CHECK(index.Version() == 3);
    CHECK(index.Shard() == "s-0");
    CHECK(index.DocumentCounts().at("s-1") == 9);
    CHECK(index.DocumentCount() == 3);
  }
  SECTION("every term must occur; the score counts occurrences")
  {
    const auto found = index.Search("wheel OAK", 10, 3);
    REQUIRE(Ids(found) == Expected{ "b", "a" });
    CHECK(found[0].m_score == 5);
    CHECK(found[1].m_score == 4);
  }
  SECTION("equal scores are ordered by id")
  {
    CHECK(Ids(index.Search("wheel", 10, 3)) == Expected{ "a", "b" });
    CHECK(Ids(index.Search("wheel", 1, 3)) == Expected{ "a" });
  }
  SECTION("punctuation separates terms")
  {
    CHECK(Ids(index.Search("tree", 10, 3)) == Expected{ "c" });
    CHECK(Ids(index.Search("oak-tree", 10, 3)) == Expected{ "c" });
  }
  SECTION("a repeated term counts once")
  {
    CHECK(index.Search("wheel wheel", 10, 3)[0].m_score == 3);
  }
  SECTION("a search that stops early covers only the first documents")
  {
    CHECK(Ids(index.Search("oak", 10, 1)) == Expected{ "b" });
  }
  SECTION("a statement without terms or with an unknown term matches nothing")
  {
    CHECK(index.Search("--", 10, 3).empty());
    CHECK(index.Search("oak birch", 10, 3).empty());
  }
}

TEST_CASE("A shard file with a wrong document count is rejected")
{
  // With a truncated file, every comparison with the brute-force scan would
  // fail.
  std::istringstream file(R"({"version":1,"shard":"s","documents":{"s":2}}
{"id":"a","title":"t","description":"d"}
)");
  CHECK_THROWS_AS(ShardIndex(file), std::runtime_error);
}
