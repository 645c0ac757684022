#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_set>

namespace goldcrestkeel {

/** Accounts for the memory that a group of connections holds. Beyond the limit,
 *  the largest holders that can release their memory are asked to. */
class MemoryBudget
{
public:
  /** Reservations up to this size, in bytes, are never released: with the limit
   *  of the number of connections, their sum is bounded. */
  static constexpr std::size_t kMinReleasedBytes = 8 * 1024;

  /** Holder of a reservation. */
  class Holder
  {
  public:
    virtual ~Holder() = default;
    /** The memory can be released now, without the loss of a request that may
     *  have run. */
    virtual bool CanRelease() const = 0;
    /** Releases the memory. Must set the reservation accordingly. */
    virtual void Release() = 0;
  };

  /** Memory of one holder; returned to the budget on destruction. */
  class Reservation
  {
  public:
    /** Both arguments must outlive the reservation. */
    Reservation(MemoryBudget& aBudget, Holder& aHolder);
    ~Reservation();
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;

    /** Sets the size in bytes; may exceed the limit of the budget. */
    void Set(std::size_t aBytes);
    std::size_t Bytes() const { return m_bytes; }

  private:
    friend class MemoryBudget;

    MemoryBudget& m_budget;
    Holder& m_holder;
    std::size_t m_bytes = 0;
  };

  /** aLimit: bytes of all reservations together. */
  explicit MemoryBudget(std::uint64_t aLimit)
    : m_limit(aLimit)
  {
  }

  std::uint64_t HeldBytes() const { return m_held; }
  std::uint64_t Limit() const { return m_limit; }
  /** More than half of the memory is held. */
  bool IsTight() const { return m_held > m_limit / 2; }
  /** Asks the largest holders to release their memory until the sum is within
   *  the limit; returns whether it is. */
  bool MakeRoom();

private:
  Reservation* FindLargest() const;

  std::uint64_t m_limit;
  std::uint64_t m_held = 0;
  bool m_makingRoom = false;
  std::unordered_set<Reservation*> m_reservations;
};

} // namespace goldcrestkeel
