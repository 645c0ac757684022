#include "FuzzTarget.h"

#include <goldcrestkeel/Platform.h>

#include <exception>
#include <optional>
#include <string_view>

using namespace goldcrestkeel;

namespace {

/** Returns the result of aDecode, or nothing if it throws. */
template<typename Decode>
auto
TryDecode(const Decode& aDecode) -> std::optional<decltype(aDecode())>
{
  try {
    return aDecode();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

} // namespace

std::vector<std::string>
fuzz::SeedCorpus()
{
  return {
    R"({"items":[{"key":"a/b","value":"bm9kZS0x","revision":4}],)"
    R"("has_more":true,"current_rev":9})",
    R"({"events":[{"key":"a","revision":5,"deleted":true}],"current_rev":5})",
    R"({"service":"s","address":"10.0.0.9:80","zone":"a","version":"v1",)"
    R"("max_concurrency":3,"state":"ready","warmup_left_ms":0,"sequence":4})",
    R"({"version":7,"routes":[{"name":"g","host":"h","path_prefix":"/g/",)"
    R"("type":"idempotent","timeout_ms":600,"gather":["x"],"top_k":5}],)"
    R"("services":[{"name":"x","max_connections":31}],)"
    R"("limits":{"idle_timeout_ms":15000}})",
  };
}

/** Property: any item is either rejected with an exception or decoded to a
 *  value that the routing code can use. */
int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view text(reinterpret_cast<const char*>(aData), aSize);
  TryDecode([&] { return platform::DecodeList(text, 1); });
  TryDecode([&] { return platform::DecodeEvents(text, 1); });
  const auto replica =
    TryDecode([&] { return platform::DecodeReplica("i", text); });
  fuzz::Require(!replica || replica->m_slots > 0,
                "a decoded replica has at least one slot");
  const auto table =
    TryDecode([&] { return platform::DecodeRoutingTable(text); });
  if (table) {
    for (const Route& route : (*table)->m_routes) {
      fuzz::Require(route.m_gather ? !route.m_gather->m_shards.empty()
                                   : !route.m_services.empty(),
                    "a decoded route has at least one service or shard");
    }
  }
  return 0;
}
