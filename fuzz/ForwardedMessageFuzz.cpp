#include "FuzzTarget.h"

#include <goldcrestkeel/Edge.h>

#include <string_view>

using namespace goldcrestkeel;

namespace {

constexpr std::size_t kHeaderLimit = 1024;
constexpr std::size_t kBodyLimit = 1024;

/** Reads aText whole, and in two parts; both must end the same. */
template<typename Reader>
bool
ReadsAlike(Reader& aWhole, Reader& aParts, std::string_view aText)
{
  std::string whole(aText);
  const ParseState once = aWhole.Read(whole);
  const std::size_t middle = aText.size() / 2;
  std::string part(aText.substr(0, middle));
  ParseState twice = aParts.Read(part);
  if (twice == ParseState::Partial || twice == ParseState::Complete) {
    part.append(aText.substr(middle));
    if (twice == ParseState::Partial) {
      twice = aParts.Read(part);
    }
  }
  // Bytes that are no message may be refused sooner in one of the two.
  return (once == ParseState::Complete) == (twice == ParseState::Complete);
}

} // namespace

std::vector<std::string>
fuzz::Seeds()
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

/** What a message is does not depend on how its bytes arrive. */
int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view text(reinterpret_cast<const char*>(aData), aSize);
  RequestParser request(kHeaderLimit, kBodyLimit);
  RequestParser requestParts(kHeaderLimit, kBodyLimit);
  fuzz::Require(ReadsAlike(request, requestParts, text),
                "a request is the same whole and in parts");
  ResponseParser answer(false);
  ResponseParser answerParts(false);
  fuzz::Require(ReadsAlike(answer, answerParts, text),
                "an answer is the same whole and in parts");
  return 0;
}
