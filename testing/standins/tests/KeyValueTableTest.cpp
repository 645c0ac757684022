#include <goldcrestkeel/standins/KeyValueTable.h>

#include <catch2/catch.hpp>

using namespace goldcrestkeel::standins;
using namespace std::chrono_literals;

TEST_CASE("Compare-and-swap")
{
  KeyValueTable table;
  REQUIRE(table.CompareAndSwap("k", "1", 0));

  SECTION("creates only an absent key")
  {
    CHECK_FALSE(table.CompareAndSwap("k", "2", 0));
  }
  SECTION("writes at the current index only")
  {
    const auto index = table.KeyIndex("k");
    CHECK(table.CompareAndSwap("k", "2", index));
    CHECK(table.KeyIndex("k") > index);
    CHECK_FALSE(table.CompareAndSwap("k", "3", index));
    CHECK(table.Get("k")->m_value == "2");
  }
  SECTION("a key that is deleted and created again gets a new index")
  {
    const auto index = table.KeyIndex("k");
    CHECK(table.Delete("k", std::nullopt));
    CHECK(table.KeyIndex("k") > index);
    CHECK(table.CompareAndSwap("k", "2", 0));
    CHECK_FALSE(table.CompareAndSwap("k", "3", index));
  }
}

TEST_CASE("Indexes of watched keys and prefixes")
{
  KeyValueTable table;
  CHECK(table.KeyIndex("a/x") == 1);
  table.Put("a/x", "1");
  const auto index = table.PrefixIndex("a/");

  SECTION("a write to another key does not change the index")
  {
    table.Put("b", "1");
    CHECK(table.KeyIndex("a/x") == index);
    CHECK(table.PrefixIndex("a/") == index);
  }
  SECTION("a deletion changes the index of the prefix")
  {
    table.Delete("a/x", std::nullopt);
    CHECK(table.PrefixIndex("a/") > index);
  }
}

TEST_CASE("A lock is held by one session")
{
  KeyValueTable table;
  const KeyValueTable::Time start{};
  KeyValueTable::Session session;
  session.m_ttl = 1s;
  table.CreateSession("s1", session, start);
  table.CreateSession("s2", session, start);
  REQUIRE(table.Acquire("range", "one", "s1", start));

  SECTION("other sessions can neither acquire nor release it")
  {
    CHECK_FALSE(table.Acquire("range", "two", "s2", start));
    CHECK_FALSE(table.Release("range", "two", "s2"));
    CHECK(table.Get("range")->m_value == "one");
  }
  SECTION("the holder may acquire it again")
  {
    CHECK(table.Acquire("range", "more", "s1", start));
    CHECK(table.Get("range")->m_lockIndex == 1);
  }
  SECTION("another session acquires it after a release")
  {
    CHECK(table.Release("range", "free", "s1"));
    CHECK(table.Acquire("range", "two", "s2", start));
    CHECK(table.Get("range")->m_lockIndex == 2);
  }
  SECTION("expiry of the holder unlocks the key and changes its index")
  {
    const auto index = table.KeyIndex("range");
    table.ExpireSessions(start + 999ms);
    CHECK_FALSE(table.Acquire("range", "two", "s2", start + 999ms));
    CHECK(table.RenewSession("s2", start + 999ms));
    table.ExpireSessions(start + 1s);
    CHECK(table.KeyIndex("range") > index);
    CHECK_FALSE(table.RenewSession("s1", start + 1s));
    CHECK(table.Acquire("range", "two", "s2", start + 1s));
  }
  SECTION("an expired session cannot acquire it")
  {
    table.ExpireSessions(start + 1s);
    CHECK_FALSE(table.Acquire("range", "late", "s1", start + 1s));
  }
}

TEST_CASE("A lock delay prevents locking the keys of an expired session")
{
  KeyValueTable table;
  const KeyValueTable::Time start{};
  KeyValueTable::Session session;
  session.m_ttl = 1s;
  session.m_lockDelay = 500ms;
  table.CreateSession("s1", session, start);
  REQUIRE(table.Acquire("range", "", "s1", start));
  table.ExpireSessions(start + 1s);
  table.CreateSession("s2", session, start + 1s);
  CHECK_FALSE(table.Acquire("range", "", "s2", start + 1400ms));
  CHECK(table.Acquire("range", "", "s2", start + 1500ms));
}
