#include "FuzzTarget.h"

#include <goldcrestkeel/Edge.h>

#include <string_view>

using namespace goldcrestkeel;

namespace {

constexpr std::size_t kMaxHeaderBytes = 1024;
constexpr std::size_t kMaxBodyBytes = 1024;

/** Parses aText in one call and in two halves. Returns whether both parsers
 *  agree on whether the message is complete. */
template<typename Reader>
bool
ParsesSameInParts(Reader& aWholeParser,
                  Reader& aPartsParser,
                  std::string_view aText)
{
  std::string whole(aText);
  const ParseState wholeState = aWholeParser.Read(whole);
  const std::size_t splitAt = aText.size() / 2;
  std::string received(aText.substr(0, splitAt));
  ParseState partsState = aPartsParser.Read(received);
  if (partsState == ParseState::Partial || partsState == ParseState::Complete) {
    received.append(aText.substr(splitAt));
    if (partsState == ParseState::Partial) {
      partsState = aPartsParser.Read(received);
    }
  }
  // Only completeness is compared: one parser may reject an invalid message
  // earlier than the other.
  return (wholeState == ParseState::Complete) ==
         (partsState == ParseState::Complete);
}

} // namespace

std::vector<std::string>
fuzz::SeedCorpus()
{
  return {
    "GET /a/b?x=1&x=2 HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nX-A: 2\r\n\r\n",
    "POST /p/ HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody",
    "POST /p/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "4;x=y\r\nbody\r\n0\r\nX-T: 1\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nok",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Full\r\nContent-Length: "
    "0\r\n\r\n",
    "HTTP/1.0 200 OK\r\n\r\nuntil the end",
  };
}

/** Property: the result of parsing a message does not depend on how its bytes
 *  are split between reads. */
int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view text(reinterpret_cast<const char*>(aData), aSize);
  RequestParser request(kMaxHeaderBytes, kMaxBodyBytes);
  RequestParser requestInParts(kMaxHeaderBytes, kMaxBodyBytes);
  fuzz::Require(ParsesSameInParts(request, requestInParts, text),
                "a request parses the same in one read and in two");
  ResponseParser response(false, kMaxBodyBytes);
  ResponseParser responseInParts(false, kMaxBodyBytes);
  fuzz::Require(ParsesSameInParts(response, responseInParts, text),
                "a response parses the same in one read and in two");
  return 0;
}
