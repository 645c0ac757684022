#include <goldcrestkeel/control/ConfigurationChange.h>
#include <goldcrestkeel/net/DocumentCodec.h>

#include <catch2/catch.hpp>

using namespace goldcrestkeel;

TEST_CASE("A document survives its compression", "[configuration]")
{
  const std::string document(kMaxDocumentBytes, 'x');
  const std::string packed = CompressDocument(document);
  REQUIRE(packed.size() < document.size() / 10);
  REQUIRE(ExpandDocument(packed) == document);
  REQUIRE(ExpandDocument(CompressDocument("")).empty());

  SECTION("data that is not valid or expands too far is refused")
  {
    REQUIRE_THROWS(ExpandDocument("not compressed"));
    REQUIRE_THROWS(ExpandDocument(packed.substr(0, packed.size() / 2)));
    REQUIRE_THROWS(ExpandDocument(CompressDocument(document + "x")));
  }
}
