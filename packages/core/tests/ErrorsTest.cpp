#include <goldcrestkeel/Core.h>

#include <catch2/catch.hpp>

using namespace goldcrestkeel;

// Guards against an error table whose rows are not in the order of the enum.
TEST_CASE("Every error kind has its own row", "[errors]")
{
  for (int i = 0; i <= static_cast<int>(ErrorKind::Internal); ++i) {
    const auto kind = static_cast<ErrorKind>(i);
    const ErrorInfo& info = InfoOf(kind);

    SECTION("the row of " + std::string(info.m_name))
    {
      REQUIRE(info.m_kind == kind);
      REQUIRE(ErrorKindFromName(info.m_name) == kind);
      REQUIRE(info.m_httpStatus >= 200);
      REQUIRE(info.m_httpStatus < 600);
    }
  }
}

TEST_CASE("A violated invariant throws unless a handler is installed",
          "[invariant]")
{
  REQUIRE_THROWS_AS(ReportViolation(InvariantId::AccurateCoverage,
                                    "0.9 reported, 0.8 searched"),
                    InvariantViolation);

  SECTION("and an installed handler receives it instead")
  {
    struct Counter : InvariantHandler
    {
      void Violated(InvariantId, const std::string&) override { ++m_count; }
      int m_count = 0;
    } counter;
    InvariantHandler* previous = SetInvariantHandler(&counter);
    GK_INVARIANT(
      1 == 2, InvariantId::ReplyMatchesRequest, std::string("crossed"));
    SetInvariantHandler(previous);
    REQUIRE(counter.m_count == 1);
  }
}
