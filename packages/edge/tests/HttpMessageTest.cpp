#include "RequestText.h"

#include <goldcrestkeel/Edge.h>

#include <catch2/catch.hpp>

using namespace goldcrestkeel;
using namespace goldcrestkeel::testing;

namespace {

constexpr std::uint64_t kBodyLimit = 1024 * 1024;

} // namespace

TEST_CASE("Requests are parsed incrementally", "[http]")
{
  RequestParser reader(1024, 1024);
  std::string bytes = "POST /p/x?b=2&a=1&a=3 HTTP/1.1\r\nHost: h\r\n"
                      "X-Twice: 1\r\nX-Twice: 2\r\nContent-Length: 4\r\n\r\nbo";
  REQUIRE(reader.Read(bytes) == ParseState::Partial);

  SECTION("byte for byte, and the next request is left in the input")
  {
    bytes += "dyGET / HTTP/1.1\r\n";
    REQUIRE(reader.Read(bytes) == ParseState::Complete);
    REQUIRE(bytes == "GET / HTTP/1.1\r\n");
    const RequestMessage request = reader.Take();
    REQUIRE(request.m_method == "POST");
    REQUIRE(request.m_target == "/p/x?b=2&a=1&a=3");
    REQUIRE(request.m_body == "body");
    REQUIRE(request.m_fields.size() == 4);
  }
}

// Guards against request smuggling: the next hop might use another length.
TEST_CASE("Requests with an ambiguous length are rejected", "[http]")
{
  RequestParser reader(1024, 1024);
  SECTION("with both Content-Length and Transfer-Encoding")
  {
    std::string bytes = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    REQUIRE(reader.Read(bytes) == ParseState::Malformed);
  }
  SECTION("with two different Content-Length fields")
  {
    std::string bytes = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                        "Content-Length: 4\r\n\r\nabcd";
    REQUIRE(reader.Read(bytes) == ParseState::Malformed);
  }
  // RFC 9112, sections 6.1 and 6.3: what follows would be read as a further
  // request here, and as the body at a server that ignores the coding.
  SECTION("with a transfer coding other than chunked")
  {
    const std::string coding =
      GENERATE("xchunked",
               "chunked, identity",
               "identity",
               "gzip, chunked",
               "chunked, chunked",
               "chunked\r\nTransfer-Encoding: identity",
               "");
    INFO(coding);
    std::string bytes =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: " + coding +
      "\r\n\r\n0\r\n\r\n";
    REQUIRE(reader.Read(bytes) == ParseState::Malformed);
  }
  SECTION("while chunked is read in any case of its letters")
  {
    std::string bytes = "POST / HTTP/1.1\r\nHost: h\r\n"
                        "Transfer-Encoding: Chunked\r\n\r\n"
                        "1\r\na\r\n0\r\n\r\n";
    REQUIRE(reader.Read(bytes) == ParseState::Complete);
    REQUIRE(reader.Take().m_body == "a");
  }
  // RFC 9112, section 3.2: the next hop might route by the other one.
  SECTION("or with two Host fields")
  {
    std::string bytes = "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n";
    REQUIRE(reader.Read(bytes) == ParseState::Malformed);
  }
  SECTION("and too large headers and bodies are distinguished")
  {
    std::string large = "GET / HTTP/1.1\r\nX: " + std::string(2000, 'x');
    REQUIRE(reader.Read(large) == ParseState::HeaderTooLarge);
    RequestParser other(1024, 8);
    std::string body = "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n";
    REQUIRE(other.Read(body) == ParseState::BodyTooLarge);
  }
}

// Guards against clients that let the process run out of memory with framing
// that the parser collects without a limit.
TEST_CASE("The chunk framing of a request is limited", "[http]")
{
  RequestParser reader(1024, 1024 * 1024);
  const std::string head =
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

  SECTION("at elements without an end")
  {
    const std::string begin = GENERATE("0\r\n", "0\r\na: ", "1;a=", "0;a=");
    const std::string more = GENERATE("a: b\r\n", "bbbbbb");
    INFO(begin << more);
    std::string bytes = head + begin;
    ParseState state = reader.Read(bytes);
    for (int i = 0; state == ParseState::Partial && i < 1024; ++i) {
      bytes += more;
      state = reader.Read(bytes);
    }
    REQUIRE(
      (state == ParseState::BodyTooLarge || state == ParseState::Malformed));
    REQUIRE(bytes.size() <= 1024 + more.size());
  }
  SECTION("at long extensions of many chunks")
  {
    ParseState state = ParseState::Partial;
    std::string bytes = head;
    int chunks = 0;
    while (state == ParseState::Partial && chunks < 1000) {
      bytes += "1;a=" + std::string(100, 'b') + "\r\nx\r\n";
      state = reader.Read(bytes);
      ++chunks;
    }
    REQUIRE(state == ParseState::BodyTooLarge);
    REQUIRE(chunks <= 12);
  }
  SECTION("while a body of chunks of one byte is read up to its limit")
  {
    std::string bytes = head;
    for (int i = 0; i < 1024 * 1024; ++i) {
      bytes += "1\r\nx\r\n";
    }
    bytes += "0\r\n\r\n";
    REQUIRE(reader.Read(bytes) == ParseState::Complete);
    REQUIRE(reader.Take().m_body.size() == 1024 * 1024);
  }
  SECTION("and trailer fields do not become header fields")
  {
    std::string bytes = head + "1\r\nx\r\n0\r\nX-Late: 1\r\nHost: i\r\n\r\n";
    REQUIRE(reader.Read(bytes) == ParseState::Complete);
    const RequestMessage request = reader.Take();
    REQUIRE(request.m_fields.size() == 2);
    REQUIRE(FieldValue(request.m_fields, "host") == "h");
    REQUIRE(request.m_method == "POST");
    REQUIRE(request.m_target == "/");
  }
}

TEST_CASE("Responses with an unknown transfer coding are rejected", "[http]")
{
  ResponseParser reader(false, kBodyLimit);
  std::string bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n"
                      "\r\n0\r\n\r\n";
  REQUIRE(reader.Read(bytes) == ParseState::Malformed);
}

// Guards against a failing replica whose answers, with the status 000, were
// handed to callers, and which attracted most requests as the fastest.
TEST_CASE("A response without a valid status is malformed", "[http]")
{
  const std::string status = GENERATE("000", "099", "600", "999");
  const std::string end = GENERATE("Content-Length: 2\r\n\r\nok", "\r\nok");
  INFO(status << end);
  ResponseParser reader(false, kBodyLimit);

  SECTION("at once")
  {
    std::string bytes = "HTTP/1.1 " + status + " Status\r\n" + end;
    const ParseState state = reader.Read(bytes);
    REQUIRE((state == ParseState::Partial ? reader.End() : state) ==
            ParseState::Malformed);
  }
  SECTION("after an interim response")
  {
    std::string bytes =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 " + status + " Status\r\n" + end;
    const ParseState state = reader.Read(bytes);
    REQUIRE((state == ParseState::Partial ? reader.End() : state) ==
            ParseState::Malformed);
  }
}

TEST_CASE("Responses are parsed incrementally", "[http]")
{
  ResponseParser reader(false, kBodyLimit);

  SECTION("with a length, and bytes after them are left in the input")
  {
    std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP";
    REQUIRE(reader.Read(bytes) == ParseState::Complete);
    REQUIRE(bytes == "HTTP");
    REQUIRE(reader.Take().m_body == "ok");
  }
  SECTION("without a length, up to the end of the stream")
  {
    std::string bytes = "HTTP/1.1 200 OK\r\n\r\nall";
    REQUIRE(reader.Read(bytes) == ParseState::Partial);
    REQUIRE(reader.End() == ParseState::Complete);
    const ResponseMessage answer = reader.Take();
    REQUIRE(answer.m_body == "all");
    REQUIRE_FALSE(answer.m_keepAlive);
  }
  // Guards against a truncated response that is taken for a complete one.
  SECTION("and a truncated one is rejected")
  {
    std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut";
    REQUIRE(reader.Read(bytes) == ParseState::Partial);
    REQUIRE(reader.End() == ParseState::Malformed);
  }
  SECTION("after interim responses")
  {
    std::string bytes = "HTTP/1.1 100 Continue\r\n\r\n"
                        "HTTP/1.1 204 No Content\r\n\r\n";
    REQUIRE(reader.Read(bytes) == ParseState::Complete);
    REQUIRE(reader.Take().m_status == 204);
  }
  // Found by the fuzz target: the parser reserved memory for the claimed
  // length, which crashed the process.
  SECTION("and one that claims a huge length is rejected")
  {
    std::string bytes =
      "HTTP/1.1 200 OK\r\nContent-Length: 4294967296294967296\r\n\r\nok";
    REQUIRE(reader.Read(bytes) == ParseState::BodyTooLarge);
  }
  SECTION("and bytes of another protocol are rejected")
  {
    std::string bytes = "SSH-2.0-server\r\n\r\n";
    REQUIRE(reader.Read(bytes) == ParseState::Malformed);
  }
}

TEST_CASE("A copy keeps the end-to-end fields and the body of the request",
          "[http]")
{
  const EdgeFieldNames names{ "Id",    "Wait-Ms", "To", "Stamp",  "Load",
                              "Limit", "Leaving", "No", "Stamps", "Missing" };
  RequestMessage request;
  request.m_method = "POST";
  request.m_target = "/p/?q=1";
  request.m_body = "body";
  request.m_hasBody = true;
  request.m_fields = {
    { "Host", "h" },          { "id", "7" },
    { "Wait-Ms", "9000" },    { "Connection", "close, X-Hop" },
    { "X-Hop", "1" },         { "X-End", "2" },
    { "Content-Length", "4" }
  };
  const std::string bytes =
    CopyText(request, names, {}, "r-1", std::chrono::milliseconds(250));
  REQUIRE(bytes == "POST /p/?q=1 HTTP/1.1\r\nHost: h\r\nid: 7\r\nX-End: 2\r\n"
                   "Wait-Ms: 250\r\nTo: r-1\r\nContent-Length: 4\r\n\r\nbody");
}
