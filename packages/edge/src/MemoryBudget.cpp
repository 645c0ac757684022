#include "MemoryBudget.h"

namespace goldcrestkeel {

MemoryBudget::Reservation::Reservation(MemoryBudget& aBudget, Holder& aHolder)
  : m_budget(aBudget)
  , m_holder(aHolder)
{
  m_budget.m_reservations.insert(this);
}

MemoryBudget::Reservation::~Reservation()
{
  Set(0);
  m_budget.m_reservations.erase(this);
}

void
MemoryBudget::Reservation::Set(std::size_t aBytes)
{
  m_budget.m_held += aBytes;
  m_budget.m_held -= m_bytes;
  m_bytes = aBytes;
}

bool
MemoryBudget::MakeRoom()
{
  // A holder that releases its memory may call this function.
  if (m_makingRoom) {
    return m_held <= m_limit;
  }
  m_makingRoom = true;
  while (m_held > m_limit) {
    Reservation* const largest = FindLargest();
    const std::uint64_t before = m_held;
    if (largest) {
      largest->m_holder.Release();
    }
    if (m_held >= before) {
      break;
    }
  }
  m_makingRoom = false;
  return m_held <= m_limit;
}

MemoryBudget::Reservation*
MemoryBudget::FindLargest() const
{
  Reservation* largest = nullptr;
  for (Reservation* reservation : m_reservations) {
    if (reservation->m_bytes > kMinReleasedBytes &&
        (!largest || reservation->m_bytes > largest->m_bytes) &&
        reservation->m_holder.CanRelease()) {
      largest = reservation;
    }
  }
  return largest;
}

} // namespace goldcrestkeel
