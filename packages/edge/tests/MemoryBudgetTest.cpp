#include "MemoryBudget.h"

#include "ConnectionLimits.h"

#include <catch2/catch.hpp>

using namespace goldcrestkeel;

namespace {

constexpr std::size_t kUnit = 2 * MemoryBudget::kMinReleasedBytes;

class TestHolder : public MemoryBudget::Holder
{
public:
  explicit TestHolder(MemoryBudget& aBudget)
    : m_reservation(aBudget, *this)
  {
  }
  bool CanRelease() const override { return m_canRelease; }
  void Release() override { m_reservation.Set(0); }

  bool m_canRelease = true;
  MemoryBudget::Reservation m_reservation;
};

} // namespace

// Guards against a process that grows with the number of its connections.
TEST_CASE("Connections share a limited amount of memory", "[budget]")
{
  MemoryBudget budget(4 * kUnit);
  TestHolder small(budget);
  TestHolder large(budget);
  small.m_reservation.Set(kUnit);
  large.m_reservation.Set(3 * kUnit);

  SECTION("all keep theirs within the limit")
  {
    REQUIRE(budget.MakeRoom());
    REQUIRE(budget.HeldBytes() == 4 * kUnit);
  }
  SECTION("the largest gives way beyond it")
  {
    small.m_reservation.Set(2 * kUnit);
    REQUIRE(budget.MakeRoom());
    REQUIRE(small.m_reservation.Bytes() == 2 * kUnit);
    REQUIRE(large.m_reservation.Bytes() == 0);

    SECTION("unless it cannot, and then the next one")
    {
      large.m_canRelease = false;
      large.m_reservation.Set(3 * kUnit);
      REQUIRE(budget.MakeRoom());
      REQUIRE(small.m_reservation.Bytes() == 0);
      REQUIRE(large.m_reservation.Bytes() == 3 * kUnit);
    }
  }
  SECTION("very small ones are kept even then")
  {
    large.m_canRelease = false;
    large.m_reservation.Set(4 * kUnit);
    small.m_reservation.Set(MemoryBudget::kMinReleasedBytes);
    REQUIRE_FALSE(budget.MakeRoom());
    REQUIRE(small.m_reservation.Bytes() == MemoryBudget::kMinReleasedBytes);
  }
  SECTION("and an ended one returns what it had")
  {
    {
      TestHolder other(budget);
      other.m_reservation.Set(kUnit);
    }
    REQUIRE(budget.HeldBytes() == 4 * kUnit);
  }
}

// Guards against accepted connections that leave no descriptors for replicas.
TEST_CASE("Connections are limited by the descriptors", "[budget]")
{
  const std::uint64_t descriptors = GENERATE(64, 256, 4100, 20000);
  const ConnectionLimits limits = ConnectionLimitsFor(descriptors);
  REQUIRE(limits.m_callers > 0);
  REQUIRE(limits.m_hosts > 0);
  REQUIRE(limits.m_status > 0);
  const std::size_t accepted =
    limits.m_callers + limits.m_hosts + 2 * limits.m_status;
  REQUIRE(accepted <= descriptors * 7 / 8);
  REQUIRE(limits.m_minReplicas > 0);
  REQUIRE(limits.m_crashMessages > 0);
  REQUIRE(accepted + limits.m_minReplicas + limits.m_crashMessages <=
          descriptors);
}
