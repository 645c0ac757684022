#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

/** Runs the code under test on one input; the interface of libFuzzer. Throws
 *  if the code breaks one of its promises. */
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize);

namespace goldcrestkeel::fuzz {

/** Valid inputs from which the mutations start. */
std::vector<std::string>
Seeds();

inline void
Require(bool aCondition, const char* aPromise)
{
  if (!aCondition) {
    throw std::logic_error(aPromise);
  }
}

} // namespace goldcrestkeel::fuzz
