#pragma once

#include <goldcrestkeel/core/Time.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace goldcrestkeel {

/** Operations of the platform's key-value service. */
enum class StoreOperation
{
  Get,
  /** Get that waits until the key's index differs from m_index or m_wait has
   *  passed. */
  Watch,
  /** Writes m_value if the key's index equals m_index; 0 stands for an absent
   *  key. */
  CompareAndSwap,
  /** Writes m_value and locks the key with m_session if it is not locked by
   *  another session. */
  Acquire,
  /** Unlocks the key if m_session holds it. */
  Release,
  /** Creates a session that lapses m_ttl after its last renewal. */
  CreateSession,
  RenewSession,
  DestroySession,
  /** All keys that start with m_key; the result's value is a JSON array of
   *  {"key", "value", "index", "session"}. */
  List,
};

std::string_view
NameOf(StoreOperation aOperation);

/** One call to the store. */
struct StoreCall
{
  StoreOperation m_operation = StoreOperation::Get;
  std::string m_key;
  std::string m_value;
  /** Index for Watch and CompareAndSwap. */
  std::uint64_t m_index = 0;
  std::string m_session;
  Duration m_wait{ 0 };
  Duration m_ttl{ 0 };
};

enum class StoreStatus
{
  Ok,
  /** A compare-and-swap or an acquire lost against another writer. */
  Conflict,
  /** No such key or session. */
  NotFound,
  /** The call certainly did not take effect (no connection, refusal). */
  Failed,
  /** The reply is lost or late: a write may have taken effect. */
  Unknown,
};

std::string_view
NameOf(StoreStatus aStatus);

struct StoreResult
{
  StoreStatus m_status = StoreStatus::Unknown;
  std::string m_value;
  /** Modification index of the key; grows with each write to it. */
  std::uint64_t m_index = 0;
  /** Session that holds the key, or the one created. */
  std::string m_session;
};

/** The platform's key-value service. Calls are asynchronous; aDone is called
 *  exactly once, on the thread that owns the store object, and never from
 *  within Call(). */
class Store
{
public:
  virtual ~Store() = default;
  virtual void Call(const StoreCall& aCall,
                    std::function<void(const StoreResult&)> aDone) = 0;
};

} // namespace goldcrestkeel
