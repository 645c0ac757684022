#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

/** libFuzzer entry point: runs the code under test on one input. Returns 0, and
 *  throws if the code violates one of the tested properties. */
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize);

namespace goldcrestkeel::fuzz {

/** Returns the valid inputs from which the mutations start. */
std::vector<std::string>
SeedCorpus();

/** Throws std::logic_error with the text aProperty if aCondition is false. */
inline void
Require(bool aCondition, const char* aProperty)
{
  if (!aCondition) {
    throw std::logic_error(aProperty);
  }
}

} // namespace goldcrestkeel::fuzz
