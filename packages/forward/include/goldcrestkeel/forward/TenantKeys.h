#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace goldcrestkeel {

/** Index of the keys of tenants. It stores and compares only digests, so that
 *  the time of a lookup does not depend on how much of a key is correct. */
class TenantKeys
{
public:
  /** Adds a key of the tenant with the index aTenant. A key that two tenants
   *  hold belongs to neither; an empty key is ignored. */
  void Add(std::string_view aKey, std::size_t aTenant);
  void Clear() { m_byDigest.clear(); }

  /** Index of the tenant that holds aKey; std::nullopt if there is none. */
  std::optional<std::size_t> Find(std::string_view aKey) const;

private:
  using Digest = std::array<unsigned char, 32>;
  struct Entry
  {
    Digest m_digest{};
    /** Not set if several tenants hold the key. */
    std::optional<std::size_t> m_tenant;
  };

  static Digest DigestOf(std::string_view aKey);
  static std::uint64_t BucketOf(const Digest& aDigest);

  /** By the first bytes of the digest. */
  std::unordered_multimap<std::uint64_t, Entry> m_byDigest;
};

} // namespace goldcrestkeel
