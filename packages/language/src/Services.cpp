#include "Elements.h"

namespace goldcrestkeel::grammar {

namespace {

constexpr const char* kPolicyKeywords =
  "DEADLINE, RESPONSE TARGET, COVERAGE, PREFERENCE, EXTRA LOAD, SELECTOR, "
  "HEDGE";

bool
ParsePreference(GrammarIterator& aFirst,
                GrammarIterator aLast,
                CoveragePreference& aValue)
{
  static const auto kDefinition =
    Keyword("ANSWER_ON_TIME") >> x3::attr(CoveragePreference::AnswerOnTime) |
    Keyword("WAIT_FOR_COVERAGE") >>
      x3::attr(CoveragePreference::WaitForCoverage);
  return ParseDefinition(kDefinition, aFirst, aLast, aValue);
}

const Rule<CoveragePreference> kPreference{
  "ANSWER_ON_TIME or WAIT_FOR_COVERAGE",
  ParsePreference
};

/** Parser of one policy clause, which sets a member of the enclosing rule's
 *  value. */
auto
PolicySetting()
{
  return Clause<&PolicyChange::m_deadline>("DEADLINE", kDuration) |
         Clause<&PolicyChange::m_responseTarget>("RESPONSE TARGET", kDuration) |
         Clause<&PolicyChange::m_minCoverage>("COVERAGE", kFraction) |
         Clause<&PolicyChange::m_preference>("PREFERENCE", kPreference) |
         Clause<&PolicyChange::m_extraLoad>("EXTRA LOAD", kFraction) |
         Clause<&PolicyChange::m_selector>("SELECTOR", kName) |
         Clause<&PolicyChange::m_hedge>("HEDGE", kName);
}

bool
ParsePolicyChange(GrammarIterator& aFirst,
                  GrammarIterator aLast,
                  PolicyChange& aValue)
{
  static const auto kDefinition = PolicySetting() % -x3::lit(',');
  return ParseDefinition(kDefinition, aFirst, aLast, aValue);
}

const Rule<PolicyChange> kPolicyChange{ kPolicyKeywords, ParsePolicyChange };

/** Parsed clauses of a replica, before the check for mandatory ones. */
struct ReplicaClauses
{
  std::optional<std::string> m_shard;
  std::optional<std::string> m_dataCentre;
  std::optional<std::string> m_region;
  std::optional<std::uint32_t> m_slots;
  std::optional<std::uint32_t> m_connections;
  std::optional<Duration> m_connectCost;
};

bool
ParseReplicaClauses(GrammarIterator& aFirst,
                    GrammarIterator aLast,
                    ReplicaClauses& aValue)
{
  using Value = ReplicaClauses;
  static const auto kDefinition =
    *(Clause<&Value::m_shard>("SHARD", kName) |
      Clause<&Value::m_dataCentre>("DATA CENTRE", kName) |
      Clause<&Value::m_region>("REGION", kName) |
      Clause<&Value::m_slots>("SLOTS", kPositiveUint32) |
      Clause<&Value::m_connections>("CONNECTIONS", kPositiveUint32) |
      Clause<&Value::m_connectCost>("CONNECT COST", kDuration)) >
    Named("SHARD, DATA CENTRE, REGION, SLOTS, CONNECTIONS, CONNECT COST, a "
          "comma or the end of the replica",
          &(x3::lit(',') | ')' | ';' | x3::eoi));
  return ParseDefinition(kDefinition, aFirst, aLast, aValue);
}

const Rule<ReplicaClauses> kReplicaClauses{ "the clauses of a replica",
                                            ParseReplicaClauses };

bool
ParseReplica(GrammarIterator& aFirst,
             GrammarIterator aLast,
             ReplicaSpec& aValue)
{
  const auto assignClauses = [](auto& aContext) {
    const ReplicaClauses& clauses = x3::_attr(aContext);
    ReplicaSpec& replica = x3::_val(aContext);
    replica.m_shard = Required(aContext, clauses.m_shard, "SHARD");
    replica.m_dataCentre =
      Required(aContext, clauses.m_dataCentre, "DATA CENTRE");
    replica.m_region = Required(aContext, clauses.m_region, "REGION");
    replica.m_slots = Required(aContext, clauses.m_slots, "SLOTS");
    replica.m_connections =
      Required(aContext, clauses.m_connections, "CONNECTIONS");
    replica.m_connectCost = clauses.m_connectCost.value_or(Duration{ 0 });
  };
  static const auto kDefinition =
    kName[Assign<&ReplicaSpec::m_id>{}] > Keyword("AT") >
    kString[Assign<&ReplicaSpec::m_address>{}] > kReplicaClauses[assignClauses];
  return ParseDefinition(kDefinition, aFirst, aLast, aValue);
}

const Rule<ReplicaSpec> kReplica{ "the id of a replica", ParseReplica };

bool
ParseServiceKind(GrammarIterator& aFirst,
                 GrammarIterator aLast,
                 ServiceKind& aValue)
{
  static const auto kDefinition =
    Keyword("SEARCH") >> x3::attr(ServiceKind::Search) |
    Keyword("COMMAND") >> x3::attr(ServiceKind::Command);
  return ParseDefinition(kDefinition, aFirst, aLast, aValue);
}

const Rule<ServiceKind> kServiceKind{ "SEARCH or COMMAND", ParseServiceKind };

bool
ParseShardList(GrammarIterator& aFirst,
               GrammarIterator aLast,
               std::vector<std::string>& aValue)
{
  static const auto kDefinition = x3::lit('(') > kName[Append{}] >
                                  *(x3::lit(',') > kName[Append{}]) >
                                  Named("a comma or )", ')');
  return ParseDefinition(kDefinition, aFirst, aLast, aValue);
}

const Rule<std::vector<std::string>> kShardList{ "( before the shards",
                                                 ParseShardList };

bool
ParseReplicaList(GrammarIterator& aFirst,
                 GrammarIterator aLast,
                 std::vector<ReplicaSpec>& aValue)
{
  static const auto kDefinition = x3::lit('(') > kReplica[Append{}] >
                                  *(x3::lit(',') > kReplica[Append{}]) >
                                  Named("a comma or )", ')');
  return ParseDefinition(kDefinition, aFirst, aLast, aValue);
}

const Rule<std::vector<ReplicaSpec>> kReplicaList{ "( before the replicas",
                                                   ParseReplicaList };

/** Parsed clauses of CREATE SERVICE, before the check for mandatory ones. */
struct CreateClauses : PolicyChange
{
  std::optional<ServiceKind> m_kind;
  std::optional<std::vector<std::string>> m_shards;
  std::optional<std::vector<ReplicaSpec>> m_replicas;
};

bool
ParseCreateClauses(GrammarIterator& aFirst,
                   GrammarIterator aLast,
                   CreateClauses& aValue)
{
  using Value = CreateClauses;
  static const auto kDefinition =
    *((Clause<&Value::m_kind>("KIND", kServiceKind) |
       Clause<&Value::m_shards>("SHARDS", kShardList) |
       Clause<&Value::m_replicas>("REPLICAS", kReplicaList) |
       PolicySetting()) >>
      -x3::lit(',')) >
    StatementEnd(std::string("KIND, SHARDS, REPLICAS, ") + kPolicyKeywords);
  return ParseDefinition(kDefinition, aFirst, aLast, aValue);
}

const Rule<CreateClauses> kCreateClauses{ "the clauses of CREATE SERVICE",
                                          ParseCreateClauses };

bool
ParseAddition(GrammarIterator& aFirst,
              GrammarIterator aLast,
              Alteration& aValue)
{
  static const auto kReplicaDefinition =
    Keyword("REPLICA") > kReplica[AssignAs<AddReplica>{}];
  static const auto kShardDefinition =
    Keyword("SHARD") > kName[AssignAs<AddShard>{}];
  return ParseDefinition(
    kReplicaDefinition | kShardDefinition, aFirst, aLast, aValue);
}

bool
ParseRemoval(GrammarIterator& aFirst, GrammarIterator aLast, Alteration& aValue)
{
  static const auto kReplicaDefinition =
    Keyword("REPLICA") > kName[AssignAs<DropReplica>{}];
  static const auto kShardDefinition =
    Keyword("SHARD") > kName[AssignAs<DropShard>{}];
  return ParseDefinition(
    kReplicaDefinition | kShardDefinition, aFirst, aLast, aValue);
}

const Rule<Alteration> kAddition{ "REPLICA or SHARD", ParseAddition };
const Rule<Alteration> kRemoval{ "REPLICA or SHARD", ParseRemoval };

bool
ParseAlteration(GrammarIterator& aFirst,
                GrammarIterator aLast,
                Alteration& aValue)
{
  static const auto kSet = Keyword("SET") > kPolicyChange[Assign<>{}];
  static const auto kAdd = Keyword("ADD") > kAddition[Assign<>{}];
  static const auto kDrop = Keyword("DROP") > kRemoval[Assign<>{}];
  return ParseDefinition(kSet | kAdd | kDrop, aFirst, aLast, aValue);
}

const Rule<Alteration> kAlteration{ "SET, ADD or DROP", ParseAlteration };

bool
ParseAlterations(GrammarIterator& aFirst,
                 GrammarIterator aLast,
                 std::vector<Alteration>& aValue)
{
  static const auto kDefinition =
    kAlteration[Append{}] > *(x3::lit(',') > kAlteration[Append{}]);
  return ParseDefinition(kDefinition, aFirst, aLast, aValue);
}

const Rule<std::vector<Alteration>> kAlterations{ "SET, ADD or DROP",
                                                  ParseAlterations };

} // namespace

bool
ParseCreate(GrammarIterator& aFirst,
            GrammarIterator aLast,
            CreateServiceStatement& aValue)
{
  const auto assignClauses = [](auto& aContext) {
    const CreateClauses& clauses = x3::_attr(aContext);
    CreateServiceStatement& create = x3::_val(aContext);
    create.m_kind = Required(aContext, clauses.m_kind, "KIND");
    create.m_shards = Required(aContext, clauses.m_shards, "SHARDS");
    create.m_replicas = Required(aContext, clauses.m_replicas, "REPLICAS");
    create.m_policy = clauses;
  };
  static const auto kDefinition =
    Keyword("CREATE") > Keyword("SERVICE") >
    kName[Assign<&CreateServiceStatement::m_service>{}] >
    kCreateClauses[assignClauses];
  return ParseDefinition(kDefinition, aFirst, aLast, aValue);
}

bool
ParseAlter(GrammarIterator& aFirst,
           GrammarIterator aLast,
           AlterServiceStatement& aValue)
{
  static const auto kDefinition =
    Keyword("ALTER") > Keyword("SERVICE") >
    kName[Assign<&AlterServiceStatement::m_service>{}] >
    kAlterations[Assign<&AlterServiceStatement::m_alterations>{}] >
    StatementEnd("a comma");
  return ParseDefinition(kDefinition, aFirst, aLast, aValue);
}

} // namespace goldcrestkeel::grammar
