#pragma once

#include <cstdint>
#include <string_view>

namespace goldcrestkeel {

/** 64-bit FNV-1a. Hosts exchange and compare its values, so the result must be
 *  the same on every host and in every build, which std::hash does not
 *  guarantee. */
class StableHash
{
public:
  StableHash& Add(char aCharacter)
  {
    m_value = (m_value ^ static_cast<unsigned char>(aCharacter)) * kPrime;
    return *this;
  }

  StableHash& Add(std::string_view aText)
  {
    for (const char character : aText) {
      Add(character);
    }
    return *this;
  }

  std::uint64_t Value() const { return m_value; }

  /** Value after the MurmurHash3 finalizer. FNV-1a alone distributes the last
   *  bytes of the input poorly over the high bits. */
  std::uint64_t Mixed() const
  {
    std::uint64_t mixed = m_value;
    mixed = (mixed ^ (mixed >> 33)) * 0xff51afd7ed558ccdULL;
    mixed = (mixed ^ (mixed >> 33)) * 0xc4ceb9fe1a85ec53ULL;
    return mixed ^ (mixed >> 33);
  }

private:
  static constexpr std::uint64_t kPrime = 0x100000001b3ULL;

  std::uint64_t m_value = 0xcbf29ce484222325ULL;
};

/** Score of aHost for aKey in rendezvous hashing. It does not depend on the
 *  other hosts, so that one that joins or leaves moves few keys. */
inline std::uint64_t
RendezvousScore(std::string_view aKey, std::string_view aHost)
{
  return StableHash().Add(aKey).Add('/').Add(aHost).Mixed();
}

} // namespace goldcrestkeel
