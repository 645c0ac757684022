#include "UpperCase.h"

#include <algorithm>

namespace goldcrestkeel {

std::string
ToUpperCase(std::string_view aText)
{
  std::string text(aText);
  std::transform(text.begin(), text.end(), text.begin(), [](char aLetter) {
    return aLetter >= 'a' && aLetter <= 'z'
             ? static_cast<char>(aLetter - 'a' + 'A')
             : aLetter;
  });
  return text;
}

} // namespace goldcrestkeel
