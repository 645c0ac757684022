#include <goldcrestkeel/Language.h>

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace goldcrestkeel;
using namespace std::chrono_literals;

namespace {

constexpr const char* kReplicaText =
  R"(r1 AT "127.0.0.1:9001" REGION north SHARD s0 CONNECTIONS 25 SLOTS 3
     DATA CENTRE dc1 CONNECT COST 6 ms)";

const ReplicaSpec kReplica{ "r1", "127.0.0.1:9001", "dc1", "north", "s0", 3, 25,
                            6ms };

template<typename Type>
Type
Parse(const std::string& aText)
{
  return std::get<Type>(ParseStatement(aText));
}

/** Returns the error of a text that is not a valid statement. */
SyntaxError
ErrorOf(const std::string& aText)
{
  try {
    ParseStatement(aText);
  } catch (const SyntaxError& error) {
    return error;
  }
  FAIL("parsed: " << aText);
  return { 0, 0, "" };
}

/** Returns the examples of a page: the text of its fenced code blocks marked
 *  "gk". */
std::string
ExamplesOf(const std::string& aPath)
{
  std::ifstream page(aPath);
  REQUIRE(page);
  std::string examples;
  bool inside = false;
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with("```")) {
      inside = line == "```gk";
    } else if (inside) {
      examples += line + "\n";
    }
  }
  return examples;
}

} // namespace

TEST_CASE("A search is parsed", "[language]")
{
  SECTION("with a service and a text only")
  {
    const auto search = Parse<SearchStatement>("SEARCH spares FOR \"valve\"");
    REQUIRE(search.m_service == "spares");
    REQUIRE(search.m_text == "valve");
    REQUIRE_FALSE(search.m_limit);
    REQUIRE_FALSE(search.m_class);
  }

  // Guards against clauses that are only accepted in the order of
  // docs/language.md.
  SECTION("with all clauses in any order and case")
  {
    const auto search = Parse<SearchStatement>(
      "search spares for \"a\" class BATCH snapshot 18446744073709551615 "
      "Coverage 0.95 DEADLINE 250 ms offset 0 LIMIT 20;");
    REQUIRE(search.m_limit == 20);
    REQUIRE(search.m_offset == 0);
    REQUIRE(search.m_deadline == 250ms);
    REQUIRE(search.m_coverage == 0.95);
    REQUIRE(search.m_snapshot == 18446744073709551615U);
    REQUIRE(search.m_class == CallerClass::Batch);
  }

  SECTION("with escapes, UTF-8 and comments")
  {
    const auto search = Parse<SearchStatement>(
      "/* a */ SEARCH -- b\n \"caf\xc3\xa9 1\" FOR \"\\\"\xc3\xb1\\\\\\n\"");
    REQUIRE(search.m_service == "caf\xc3\xa9 1");
    REQUIRE(search.m_text == "\"\xc3\xb1\\\n");
  }

  SECTION("with keywords as names")
  {
    REQUIRE(Parse<SearchStatement>("SEARCH for FOR \"x\"").m_service == "for");
  }

  SECTION("behind EXPLAIN")
  {
    const auto explain =
      Parse<ExplainStatement>("EXPLAIN SEARCH spares FOR \"x\" LIMIT 3");
    REQUIRE(explain.m_search.m_limit == 3);
  }
}

TEST_CASE("Durations have one of three units", "[language]")
{
  const auto deadline = [](const std::string& aText) {
    return Parse<SearchStatement>("SEARCH s FOR \"x\" DEADLINE " + aText)
      .m_deadline;
  };
  REQUIRE(deadline("7 us") == 7us);
  REQUIRE(deadline("7ms") == 7ms);
  REQUIRE(deadline("4294967295 s") == 4294967295s);
}

// Guards against a value that is not the double nearest to the text.
// statement-fuzz found one whose canonical form was a different fraction.
TEST_CASE("A fraction with many digits is parsed exactly", "[language]")
{
  const auto search =
    Parse<SearchStatement>("SEARCH s FOR \"x\" COVERAGE 0.913864353642578835");
  REQUIRE(search.m_coverage == 0.913864353642578835);
  REQUIRE(Parse<SearchStatement>(Format(search)) == search);
}

TEST_CASE("A command is parsed", "[language]")
{
  SECTION("HOLD")
  {
    const auto hold = Parse<HoldStatement>(
      "HOLD ledger KEY \"1-a\" MEMBER \"m\" QUANTITY 2 ITEM \"i\"");
    REQUIRE(hold == HoldStatement{ "ledger", "i", 2, "m", "1-a" });
  }

  // A caller may send the key in a header instead.
  SECTION("INVOICE without a key")
  {
    const auto invoice =
      Parse<InvoiceStatement>("INVOICE books NUMBER \"n\" ACTION approve");
    REQUIRE(invoice ==
            InvoiceStatement{ "books", "n", "approve", std::nullopt });
    REQUIRE(IsCommand(invoice));
    REQUIRE_FALSE(ChangesConfiguration(invoice));
  }
}

TEST_CASE("A service is created", "[language]")
{
  const auto create = Parse<CreateServiceStatement>(
    "CREATE SERVICE spares EXTRA LOAD 0.1, SHARDS (s0, s1) KIND COMMAND "
    "REPLICAS (" +
    std::string(kReplicaText) +
    ") DEADLINE 90 ms PREFERENCE wait_for_coverage HEDGE none");
  REQUIRE(ChangesConfiguration(create));

  const ServiceSpec spec = ToServiceSpec(create);
  REQUIRE(spec.m_name == "spares");
  REQUIRE(spec.m_kind == ServiceKind::Command);
  REQUIRE(spec.m_shards == std::vector<std::string>{ "s0", "s1" });
  REQUIRE(spec.m_replicas == std::vector<ReplicaSpec>{ kReplica });

  SECTION("with the defaults of the settings that it does not name")
  {
    ServicePolicy policy;
    policy.m_deadline = 90ms;
    policy.m_extraLoad = 0.1;
    policy.m_preference = CoveragePreference::WaitForCoverage;
    policy.m_hedge = "none";
    // Guards against a response target after the deadline.
    policy.m_responseTarget = 90ms;
    REQUIRE(spec.m_policy == policy);
  }
}

TEST_CASE("A service is altered", "[language]")
{
  ServiceSpec spec;
  spec.m_name = "spares";
  spec.m_shards = { "s0" };
  spec.m_replicas = { kReplica };
  const auto altered = [&](const std::string& aAlterations) {
    return ApplyAlterations(
      spec, Parse<AlterServiceStatement>("ALTER SERVICE x " + aAlterations));
  };

  SECTION("given settings change, and the others stay")
  {
    spec.m_policy.m_minCoverage = 0.5;
    const ServiceSpec after =
      altered("SET DEADLINE 2 s, SELECTOR round_robin EXTRA LOAD 0");
    REQUIRE(after.m_policy.m_deadline == 2s);
    REQUIRE(after.m_policy.m_selector == "round_robin");
    REQUIRE(after.m_policy.m_extraLoad == 0);
    REQUIRE(after.m_policy.m_minCoverage == 0.5);
  }

  SECTION("shards and replicas are added and dropped in order")
  {
    const ServiceSpec after =
      altered("SET COVERAGE 1, ADD SHARD s1, DROP REPLICA r1, ADD REPLICA " +
              std::string(kReplicaText) + ", DROP SHARD s0");
    REQUIRE(after.m_policy.m_minCoverage == 1);
    REQUIRE(after.m_shards == std::vector<std::string>{ "s1" });
    REQUIRE(after.m_replicas == std::vector<ReplicaSpec>{ kReplica });
  }

  SECTION("existing elements are not added again, and missing ones not dropped")
  {
    const auto kindOf = [&](const std::string& aAlterations) {
      try {
        altered(aAlterations);
      } catch (const Error& error) {
        return error.Kind();
      }
      return ErrorKind::Internal;
    };
    REQUIRE(kindOf("ADD SHARD s0") == ErrorKind::InvalidConfiguration);
    REQUIRE(kindOf("ADD REPLICA " + std::string(kReplicaText)) ==
            ErrorKind::InvalidConfiguration);
    REQUIRE(kindOf("DROP SHARD s9") == ErrorKind::NotFound);
    REQUIRE(kindOf("DROP REPLICA r9") == ErrorKind::NotFound);
  }
}

TEST_CASE("The configuration and the hosts are shown", "[language]")
{
  const auto show = [](const std::string& aText) {
    return Parse<ShowStatement>("SHOW " + aText);
  };
  REQUIRE(show("SERVICES").m_subject == ShowSubject::Services);
  REQUIRE(show("service a") == ShowStatement{ ShowSubject::Service, "a", {} });
  REQUIRE(show("REPLICAS") == ShowStatement{ ShowSubject::Replicas, "", {} });
  REQUIRE(show("REPLICAS OF a").m_service == "a");
  REQUIRE(show("MEMBERS").m_subject == ShowSubject::Members);
  REQUIRE(show("SUSPECTS").m_subject == ShowSubject::Suspects);
  REQUIRE(show("AUDIT LIMIT 5").m_limit == 5);
  REQUIRE(show("CONFIGURATION;").m_subject == ShowSubject::Configuration);
  REQUIRE(Parse<LiftQuarantineStatement>("LIFT QUARANTINE 12").m_fingerprint ==
          12);
}

TEST_CASE("A syntax error has its position and the expected input",
          "[language]")
{
  SECTION("and is an error of kind statement_syntax")
  {
    const SyntaxError error = ErrorOf("SEARCH spares\n  FOR valve");
    REQUIRE(error.Kind() == ErrorKind::StatementSyntax);
    REQUIRE(error.Line() == 2);
    REQUIRE(error.Column() == 7);
    REQUIRE(error.Expected() == "a text in quotation marks");
    REQUIRE(std::string(error.what()) ==
            "line 2, column 7: expected a text in quotation marks");
  }

  SECTION("in each kind of position")
  {
    struct Case
    {
      const char* m_text;
      std::size_t m_column;
      const char* m_expected;
    };
    const auto testCase = GENERATE(
      Case{ "",
            1,
            "SEARCH, HOLD, INVOICE, CREATE, ALTER, DROP, SHOW, LIFT or "
            "EXPLAIN" },
      Case{ "SEARCH s FOR \"x",
            16,
            "a closing quotation mark; a backslash "
            "stands only before \", \\, n or t" },
      Case{ "SEARCH s FOR \"x\" LIMIT -1",
            24,
            "a whole number from 0 to "
            "4294967295" },
      Case{ "SEARCH s FOR \"x\" LIMIT 4294967296",
            24,
            "a whole number from 0 "
            "to 4294967295" },
      Case{ "SEARCH s FOR \"x\" LIMIT 1 LIMIT 2", 32, "LIMIT only once" },
      Case{ "SEARCH s FOR \"x\" COVERAGE 1.5", 27, "a number from 0 to 1" },
      Case{ "SEARCH s FOR \"x\" COVERAGE nan", 27, "a number from 0 to 1" },
      Case{ "SEARCH s FOR \"x\" DEADLINE 5",
            27,
            "a duration such as 250 ms, "
            "in us, ms or s" },
      Case{ "SEARCH s FOR \"x\" CLASS c", 24, "INTERACTIVE or BATCH" },
      Case{ "SEARCH s FOR \"x\" LIMT 1",
            18,
            "LIMIT, OFFSET, DEADLINE, "
            "COVERAGE, SNAPSHOT, CLASS or the "
            "end of the statement" },
      Case{ "SEARCH \"\" FOR \"x\"", 8, "a name" },
      Case{ "HOLD s ITEM \"i\" QUANTITY 0",
            26,
            "a whole number from 1 to "
            "4294967295" },
      Case{ "HOLD s ITEM \"i\" QUANTITY 1", 27, "MEMBER" },
      Case{ "ALTER SERVICE s", 16, "SET, ADD or DROP" },
      Case{ "ALTER SERVICE s ADD x", 21, "REPLICA or SHARD" },
      Case{ "CREATE SERVICE s SHARDS ('a')", 26, "a name" },
      Case{ "CREATE SERVICE s SHARDS ()", 26, "a name" },
      Case{ "DROP s", 6, "SERVICE" },
      Case{ "SHOW x",
            6,
            "SERVICES, SERVICE, REPLICAS, MEMBERS, SUSPECTS, "
            "AUDIT or CONFIGURATION" },
      Case{ "SHOW SERVICES x", 15, "a semicolon or the end of the statement" },
      Case{ "SHOW SERVICES; SHOW MEMBERS", 16, "the end of the statement" });

    SECTION(testCase.m_text)
    {
      const SyntaxError error = ErrorOf(testCase.m_text);
      REQUIRE(error.Expected() == testCase.m_expected);
      REQUIRE(error.Column() == testCase.m_column);
    }
  }
}

TEST_CASE("A script holds several statements", "[language]")
{
  const auto script = ParseScript("-- first\nSHOW SERVICES;\n\nSHOW MEMBERS\n");
  REQUIRE(script.size() == 2);
  REQUIRE(script[0].m_line == 2);
  REQUIRE(script[1].m_line == 4);

  SECTION("or none")
  {
    REQUIRE(ParseScript(" /* nothing */ -- here").empty());
  }

  SECTION("but no two without a semicolon")
  {
    REQUIRE_THROWS_AS(ParseScript("SHOW SERVICES SHOW MEMBERS"), SyntaxError);
  }
}

// Guards against statements in docs/language.md that the grammar rejects, and
// against a canonical form that parses to a different statement.
TEST_CASE("The examples of the grammar page are statements", "[language]")
{
  const auto script = ParseScript(ExamplesOf(GK_DOCS_DIR "/language.md"));
  REQUIRE(script.size() >= 20);
  for (const ScriptStatement& entry : script) {
    const std::string text = Format(entry.m_statement);
    CAPTURE(text);
    REQUIRE(ParseStatement(text) == entry.m_statement);
  }
}

TEST_CASE("The canonical form quotes texts and unusual names", "[language]")
{
  SearchStatement search;
  search.m_service = "-odd name;";
  search.m_text = "\"\\\n\t\xc3\xa9";
  search.m_deadline = 1500us;
  search.m_coverage = 1e-7;
  REQUIRE(Format(search) == "SEARCH \"-odd name;\" FOR "
                            "\"\\\"\\\\\\n\\t\xc3\xa9\" DEADLINE 1500 us "
                            "COVERAGE 0.0000001");
  REQUIRE(Parse<SearchStatement>(Format(search)) == search);
}
