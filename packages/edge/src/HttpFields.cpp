#include <goldcrestkeel/edge/HttpMessage.h>

#include <algorithm>
#include <array>
#include <set>

namespace goldcrestkeel {

namespace {

constexpr std::array<std::string_view, 10> kHopByHopFields{
  "connection",     "keep-alive",        "proxy-connection", "te",
  "trailer",        "transfer-encoding", "upgrade",          "expect",
  "content-length", "proxy-authenticate"
};

char
ToLower(char aLetter)
{
  return aLetter >= 'A' && aLetter <= 'Z' ? static_cast<char>(aLetter + 32)
                                          : aLetter;
}

struct LessIgnoreCase
{
  bool operator()(std::string_view aLeft, std::string_view aRight) const
  {
    return std::lexicographical_compare(
      aLeft.begin(),
      aLeft.end(),
      aRight.begin(),
      aRight.end(),
      [](char aOne, char aTwo) { return ToLower(aOne) < ToLower(aTwo); });
  }
};

} // namespace

bool
EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         std::equal(
           aLeft.begin(),
           aLeft.end(),
           aRight.begin(),
           [](char aOne, char aTwo) { return ToLower(aOne) == ToLower(aTwo); });
}

std::string_view
FieldValue(const std::vector<HeaderField>& aFields, std::string_view aName)
{
  for (const auto& [name, value] : aFields) {
    if (EqualsIgnoreCase(name, aName)) {
      return value;
    }
  }
  return {};
}

bool
IsHopByHop(std::string_view aName)
{
  return std::any_of(
    kHopByHopFields.begin(),
    kHopByHopFields.end(),
    [&](std::string_view aOther) { return EqualsIgnoreCase(aName, aOther); });
}

std::vector<HeaderField>
EndToEndFields(std::vector<HeaderField> aFields)
{
  // Looked up for each field: a request may have thousands of both.
  std::set<std::string, LessIgnoreCase> named;
  for (const auto& [name, value] : aFields) {
    if (!EqualsIgnoreCase(name, "connection")) {
      continue;
    }
    std::string_view rest = value;
    while (!rest.empty()) {
      const std::size_t comma = rest.find(',');
      std::string_view token = rest.substr(0, comma);
      rest = comma == std::string_view::npos ? std::string_view()
                                             : rest.substr(comma + 1);
      while (!token.empty() && token.front() == ' ') {
        token.remove_prefix(1);
      }
      while (!token.empty() && token.back() == ' ') {
        token.remove_suffix(1);
      }
      named.emplace(token);
    }
  }
  std::vector<HeaderField> fields = std::move(aFields);
  std::erase_if(fields, [&](const HeaderField& aField) {
    return IsHopByHop(aField.first) || named.contains(aField.first);
  });
  return fields;
}

std::size_t
HeapBytes(const std::string& aText)
{
  return aText.capacity() > std::string().capacity() ? aText.capacity() : 0;
}

std::size_t
MemoryOf(const std::vector<HeaderField>& aFields)
{
  std::size_t bytes = aFields.capacity() * sizeof(HeaderField);
  for (const auto& [name, value] : aFields) {
    bytes += HeapBytes(name) + HeapBytes(value);
  }
  return bytes;
}

void
AppendField(std::string& aOut, std::string_view aName, std::string_view aValue)
{
  aOut.append(aName).append(": ").append(aValue).append("\r\n");
}

} // namespace goldcrestkeel
