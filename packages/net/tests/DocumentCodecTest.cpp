#include <goldcrestkeel/control/ConfigurationChange.h>
#include <goldcrestkeel/net/DocumentCodec.h>

#include <catch2/catch.hpp>

using namespace goldcrestkeel;

TEST_CASE("A compressed document is restored unchanged", "[configuration]")
{
  const std::string document(kMaxDocumentBytes, 'x');
  const std::string compressed = CompressDocument(document);
  REQUIRE(compressed.size() < document.size() / 10);
  REQUIRE(DecompressDocument(compressed) == document);
  REQUIRE(DecompressDocument(CompressDocument("")).empty());

  SECTION("invalid data and documents above the size limit are refused")
  {
    REQUIRE_THROWS(DecompressDocument("not compressed"));
    REQUIRE_THROWS(
      DecompressDocument(compressed.substr(0, compressed.size() / 2)));
    REQUIRE_THROWS(DecompressDocument(CompressDocument(document + "x")));
  }
}
