#include <goldcrestkeel/Feed.h>

#include <catch2/catch.hpp>

using namespace goldcrestkeel;

namespace {

FeedItem
Item(const std::string& aKey, FeedRevision aRevision, bool aDeleted = false)
{
  return { aKey,
           aDeleted ? "" : "v" + std::to_string(aRevision.m_number),
           aRevision,
           aDeleted };
}

} // namespace

TEST_CASE("A change log", "[feed]")
{
  ChangeLog log(3);
  const FeedChanges first =
    log.Apply({ { Item("a", 2), Item("b", 4) }, 5, true });
  REQUIRE(first.m_items.size() == 2);
  REQUIRE(log.Revision() == 5);

  SECTION("tells a new host all keys")
  {
    const FeedChanges all = log.Since(0);
    REQUIRE(all.m_complete);
    REQUIRE(all.m_items.size() == 2);
    REQUIRE(all.m_revision == 5);
  }

  SECTION("tells another host what it lacks")
  {
    log.Apply({ { Item("a", 6), Item("b", 7, true) }, 7, false });
    const FeedChanges changes = log.Since(6);
    REQUIRE_FALSE(changes.m_complete);
    REQUIRE(changes.m_items == std::vector<FeedItem>{ Item("b", 7, true) });
    REQUIRE(log.Since(7).m_items.empty());

    SECTION("or all keys if it lacks too many changes")
    {
      log.Apply({ { Item("c", 8), Item("d", 9) }, 9, false });
      const FeedChanges all = log.Since(5);
      REQUIRE(all.m_complete);
      REQUIRE(all.m_items.size() == 3);
      REQUIRE_FALSE(log.Since(7).m_complete);
    }
  }

  // Guards against a server that had left and is used again because a host
  // that was paused or cut off still names it.
  SECTION("takes no older word")
  {
    log.Apply({ { Item("b", 7, true) }, 7, false });
    SECTION("of a change")
    {
      const FeedChanges news = log.Apply({ { Item("b", 4) }, 6, false });
      REQUIRE(news.m_items.empty());
    }
    SECTION("of a complete list")
    {
      const FeedChanges news =
        log.Apply({ { Item("a", 2), Item("b", 4) }, 5, true });
      REQUIRE(news.m_items.empty());
      REQUIRE_FALSE(news.m_complete);
    }
    REQUIRE(log.Revision() == 7);
    REQUIRE(log.Since(0).m_items == std::vector<FeedItem>{ Item("a", 2) });
  }

  SECTION("takes the changes of one answer one after the other")
  {
    const FeedChanges news = log.Apply(
      { { Item("c", 6), Item("c", 7, true), Item("b", 9), Item("b", 8) },
        9,
        false });
    REQUIRE(news.m_items == std::vector<FeedItem>{
                              Item("c", 6), Item("c", 7, true), Item("b", 9) });
    REQUIRE(log.Since(5).m_items ==
            std::vector<FeedItem>{ Item("b", 9), Item("c", 7, true) });
  }

  // The pages of a list are read one after the other, and its revision is that
  // of the first.
  SECTION("tells of a change that is newer than the list it came with")
  {
    log.Apply({ { Item("a", 2), Item("b", 8) }, 7, true });
    REQUIRE(log.Revision() == 7);
    REQUIRE(log.Since(7).m_items == std::vector<FeedItem>{ Item("b", 8) });
  }

  SECTION("finds the deletions in a complete list")
  {
    const FeedChanges news = log.Apply({ { Item("b", 4) }, 9, true });
    REQUIRE(news.m_items == std::vector<FeedItem>{ Item("a", 9, true) });
    REQUIRE(log.Since(5).m_items == news.m_items);
  }

  SECTION("keeps a key that is newer than a complete list")
  {
    log.Apply({ { Item("c", 9) }, 9, false });
    const FeedChanges news =
      log.Apply({ { Item("a", 2), Item("b", 4) }, 9, true });
    REQUIRE(news.m_items == std::vector<FeedItem>{ Item("c", 9, true) });
    const FeedChanges later = log.Apply({ { Item("d", 12) }, 12, false });
    REQUIRE(
      log.Apply({ { Item("a", 2), Item("b", 4) }, 11, true }).m_items.empty());
    REQUIRE(later.m_items.size() == 1);
  }
}

TEST_CASE("A change log goes on after a restore of the store", "[feed]")
{
  ChangeLog log(8);
  log.Apply({ { Item("a", 60), Item("b", 90), Item("c", 70) }, 90, true });
  const auto item = [](const std::string& aKey,
                       std::uint64_t aNumber,
                       const std::string& aValue) {
    return FeedItem{ aKey, aValue, { aNumber, 1 }, false };
  };
  const FeedChanges list{ { item("a", 60, "v60"), item("b", 65, "other") },
                          { 68, 1 },
                          true };
  const FeedChanges news = log.Apply(list);

  SECTION("with the keys that differ")
  {
    REQUIRE(news.m_items ==
            std::vector<FeedItem>{ item("b", 65, "other"),
                                   { "c", "", { 68, 1 }, true } });
    REQUIRE(log.Revision() == FeedRevision(68, 1));
  }
  SECTION("and tells hosts that do not know of it")
  {
    ChangeLog follower(8);
    follower.Apply(
      { { Item("a", 60), Item("b", 90), Item("c", 70) }, 90, true });
    const FeedChanges told = follower.Apply(log.Since(follower.Revision()));
    REQUIRE(told.m_items.size() == 2);
    REQUIRE(follower.Revision() == log.Revision());
  }
  SECTION("and takes changes with revisions that were given out before")
  {
    const FeedChanges change{ { item("b", 80, "new") }, { 80, 1 }, false };
    REQUIRE(log.Apply(change).m_items.size() == 1);
  }
  SECTION("and takes nothing from before it")
  {
    const FeedChanges late{ { Item("b", 95) }, 95, false };
    REQUIRE(log.Apply(late).m_items.empty());
    REQUIRE(log.Revision() == FeedRevision(68, 1));
  }
}
