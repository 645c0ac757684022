#include <goldcrestkeel/control/ConfigurationChange.h>
#include <goldcrestkeel/net/DocumentCodec.h>

#include <catch2/catch.hpp>

using namespace goldcrestkeel;

TEST_CASE("A document survives its compression", "[configuration]")
{
  const std::string document(kMaxDocumentBytes, 'x');
  const std::string packed = CompressDocument(document);
  REQUIRE(packed.size() < document.size() / 10);
  REQUIRE(DecompressDocument(packed) == document);
  REQUIRE(DecompressDocument(CompressDocument("")).empty());

  SECTION("data that is not valid or expands too far is refused")
  {
    REQUIRE_THROWS(DecompressDocument("not compressed"));
    REQUIRE_THROWS(DecompressDocument(packed.substr(0, packed.size() / 2)));
    REQUIRE_THROWS(DecompressDocument(CompressDocument(document + "x")));
  }
}
