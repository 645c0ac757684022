#include "CallerSession.h"

#include <algorithm>
#include <array>

namespace goldcrestkeel {

namespace {

/** Bytes that are read at once of a header or a chunked body while more than
 *  half of the memory of all sessions is in use. */
constexpr std::size_t kTightReadBytes = 4096;
constexpr std::array<std::string_view, 7> kReasonNames{
  "header_too_large", "body_too_large", "malformed",       "timeout",
  "memory_full",      "answer_unread",  "connections_full"
};

} // namespace

std::string_view
NameOf(RefusalReason aReason)
{
  return kReasonNames.at(static_cast<std::size_t>(aReason));
}

std::size_t
CallerSession::ReadAheadLimit() const
{
  const std::size_t limit = std::max<std::size_t>(m_limits.m_readAheadBytes, 1);
  return m_budget.IsTight() ? std::min(limit, kTightReadBytes) : limit;
}

std::size_t
CallerSession::ReadLimit() const
{
  if (m_state == State::Reading && m_parser) {
    if (const auto missing = m_parser->MissingBodyBytes()) {
      return static_cast<std::size_t>(
        std::clamp<std::uint64_t>(*missing, 1, kReadBufferBytes));
    }
  }
  return ReadAheadLimit();
}

void
CallerSession::AccountMemory()
{
  if (m_state == State::Ended) {
    return;
  }
  m_reservation.Set(HeapBytes(m_input) + HeapBytes(m_output) + m_requestBytes +
                    (m_parser ? m_parser->HeldBytes() : 0));
  m_budget.MakeRoom();
}

bool
CallerSession::CanRelease() const
{
  return m_state == State::Reading && !m_parsing;
}

void
CallerSession::Release()
{
  if (HasUnreadAnswer()) {
    CloseFor(RefusalReason::MemoryFull);
  } else {
    RejectRequest(RefusalReason::MemoryFull, 503);
  }
}

} // namespace goldcrestkeel
