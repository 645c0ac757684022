#include "FuzzTarget.h"

#include <goldcrestkeel/Language.h>

using namespace goldcrestkeel;

std::vector<std::string>
fuzz::SeedCorpus()
{
  return {
    "SEARCH spares FOR \"boiler \\\"valve\\\"\" LIMIT 20 OFFSET 20 SNAPSHOT 7 "
    "DEADLINE 250 ms COVERAGE 0.95 CLASS BATCH; -- end",
    "EXPLAIN SEARCH \"odd name\" FOR \"caf\xc3\xa9\" /* comment */",
    "HOLD reservations ITEM \"valve\" QUANTITY 2 MEMBER \"m-117\" KEY \"1-a\"",
    "INVOICE books NUMBER \"2026-1\" ACTION approve KEY \"1-b\"",
    "CREATE SERVICE spares KIND SEARCH SHARDS (s0, s1) REPLICAS (r0 AT "
    "\"127.0.0.1:9101\" SHARD s0 DATA CENTRE d REGION r SLOTS 2 CONNECTIONS 25 "
    "CONNECT COST 6 ms, r1 AT \"127.0.0.1:9102\" SHARD s1 DATA CENTRE d REGION "
    "r SLOTS 2 CONNECTIONS 25) DEADLINE 800 ms RESPONSE TARGET 90 us "
    "PREFERENCE WAIT_FOR_COVERAGE EXTRA LOAD 0.05 SELECTOR round_robin HEDGE "
    "none",
    "ALTER SERVICE spares SET DEADLINE 1 s, COVERAGE 0.5, ADD SHARD s2, ADD "
    "REPLICA r2 AT \"[::1]:1\" SHARD s2 DATA CENTRE d REGION r SLOTS 1 "
    "CONNECTIONS 1, DROP REPLICA r0, DROP SHARD s0",
    "DROP SERVICE spares; SHOW SERVICES; SHOW SERVICE a; SHOW REPLICAS OF a; "
    "SHOW MEMBERS; SHOW SUSPECTS; SHOW AUDIT LIMIT 20; SHOW CONFIGURATION",
    "LIFT QUARANTINE 9241386435364257883",
  };
}

/** Property: any text is either parsed or rejected with a SyntaxError whose
 *  position is valid, and the canonical form of each statement parses to an
 *  equal statement. */
int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string text(reinterpret_cast<const char*>(aData), aSize);
  std::vector<ScriptStatement> script;
  try {
    script = ParseScript(text);
  } catch (const SyntaxError& error) {
    fuzz::Require(error.Line() >= 1 && error.Column() >= 1 &&
                    error.Column() <= aSize + 1 && !error.Expected().empty(),
                  "a syntax error has a valid position and an expected token");
    return 0;
  }
  for (const ScriptStatement& entry : script) {
    fuzz::Require(ParseStatement(Format(entry.m_statement)) ==
                    entry.m_statement,
                  "the canonical form parses to an equal statement");
  }
  return 0;
}
