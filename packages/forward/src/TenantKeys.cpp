#include <goldcrestkeel/forward/TenantKeys.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>

namespace goldcrestkeel {

TenantKeys::Digest
TenantKeys::DigestOf(std::string_view aKey)
{
  Digest digest{};
  unsigned int size = 0;
  if (EVP_Digest(aKey.data(),
                 aKey.size(),
                 digest.data(),
                 &size,
                 EVP_sha256(),
                 nullptr) != 1 ||
      size != digest.size()) {
    throw std::runtime_error("SHA-256 is not available");
  }
  return digest;
}

std::uint64_t
TenantKeys::BucketOf(const Digest& aDigest)
{
  std::uint64_t bucket = 0;
  std::memcpy(&bucket, aDigest.data(), sizeof bucket);
  return bucket;
}

void
TenantKeys::Add(std::string_view aKey, std::size_t aTenant)
{
  if (aKey.empty()) {
    return;
  }
  const Digest digest = DigestOf(aKey);
  const auto [first, last] = m_byDigest.equal_range(BucketOf(digest));
  const auto held = std::find_if(first, last, [&](const auto& aItem) {
    return aItem.second.m_digest == digest;
  });
  if (held == last) {
    m_byDigest.emplace(BucketOf(digest), Entry{ digest, aTenant });
  } else if (held->second.m_tenant != aTenant) {
    held->second.m_tenant.reset();
  }
}

std::optional<std::size_t>
TenantKeys::Find(std::string_view aKey) const
{
  if (aKey.empty()) {
    return std::nullopt;
  }
  const Digest digest = DigestOf(aKey);
  const auto [first, last] = m_byDigest.equal_range(BucketOf(digest));
  for (auto entry = first; entry != last; ++entry) {
    if (CRYPTO_memcmp(
          entry->second.m_digest.data(), digest.data(), digest.size()) == 0) {
      return entry->second.m_tenant;
    }
  }
  return std::nullopt;
}

} // namespace goldcrestkeel
