#pragma once

#include <goldcrestkeel/core/Time.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace goldcrestkeel {

/** Operations of the platform's key-value store. */
enum class StoreOperation
{
  Get,
  /** Blocking read: returns when the key's modification index differs from
   *  m_index or after m_wait. */
  Watch,
  /** Writes m_value if the key's modification index equals m_index; 0 means
   *  that the key must not exist. */
  CompareAndSwap,
  /** Writes m_value and locks the key for m_session, unless another session has
   *  locked it. */
  Acquire,
  /** Unlocks the key if m_session has locked it. */
  Release,
  /** Creates a session that expires m_ttl after its last renewal. */
  CreateSession,
  RenewSession,
  DestroySession,
  /** Reads all keys with the prefix m_key. The value of the result is a JSON
   *  array of objects with "key", "value", "index" and "session". */
  List,
};

/** Name of the operation in snake_case, such as "compare_and_swap". */
std::string_view
NameOf(StoreOperation aOperation);

/** Arguments of one store call. The operation determines which of them
 *  apply. */
struct StoreCall
{
  StoreOperation m_operation = StoreOperation::Get;
  std::string m_key;
  std::string m_value;
  /** Expected modification index, for Watch and CompareAndSwap. */
  std::uint64_t m_index = 0;
  std::string m_session;
  /** Longest wait of a Watch, in microseconds. */
  Duration m_wait{ 0 };
  /** Time to live of the session to create, in microseconds. */
  Duration m_ttl{ 0 };
};

/** Outcome of a store call. */
enum class StoreStatus
{
  Ok,
  /** CompareAndSwap: the index differs. Acquire: another session has locked the
   *  key. */
  Conflict,
  /** The key or session does not exist. */
  NotFound,
  /** The call did not take effect: no connection, or the store refused it. */
  Failed,
  /** The reply was lost or late; a write may have taken effect. */
  Unknown,
};

/** Name of the status in snake_case, such as "not_found". */
std::string_view
NameOf(StoreStatus aStatus);

/** Result of a store call. */
struct StoreResult
{
  StoreStatus m_status = StoreStatus::Unknown;
  std::string m_value;
  /** Modification index of the key, which each write to it increases. */
  std::uint64_t m_index = 0;
  /** Session that has locked the key, or the session created. */
  std::string m_session;
};

/** Asynchronous client of the platform's key-value store. aDone is called
 *  exactly once, on the thread that owns this object, and never from within
 *  Call(). */
class Store
{
public:
  virtual ~Store() = default;
  virtual void Call(const StoreCall& aCall,
                    std::function<void(const StoreResult&)> aDone) = 0;
};

} // namespace goldcrestkeel
