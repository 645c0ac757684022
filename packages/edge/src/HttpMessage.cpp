#include <goldcrestkeel/edge/HttpMessage.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <cstdint>
#include <iterator>

namespace goldcrestkeel {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;

/** Size limit of the header of a response, in bytes. */
constexpr std::uint32_t kMaxResponseHeaderBytes = 64 * 1024;
/** Limit of the bytes that the parser leaves unread because they end in the
 *  middle of an element, such as the line before a chunk. */
constexpr std::size_t kMaxUnparsedBytes = 64 * 1024;
/** Range of the status of a response that is not an interim one. */
constexpr unsigned kMinFinalStatus = 200;
constexpr unsigned kMaxFinalStatus = 599;
/** Bytes of the chunk framing of a request that are accepted for each byte of
 *  its body, beside a constant. A chunk of one byte has five. */
constexpr std::size_t kFramingBytesPerBodyByte = 8;
/** Memory that the parser takes for a field beside its text, in bytes: the node
 *  of its list and set, and the share of the allocator. */
constexpr std::size_t kParsedFieldBytes = 96;

std::string_view
View(beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

template<typename Fields>
std::vector<HeaderField>
CopyFields(const Fields& aFields)
{
  std::vector<HeaderField> fields;
  fields.reserve(
    static_cast<std::size_t>(std::distance(aFields.begin(), aFields.end())));
  for (const auto& field : aFields) {
    fields.emplace_back(View(field.name_string()), View(field.value()));
  }
  return fields;
}

ParseState
ToParseState(const beast::error_code& aError)
{
  if (!aError || aError == http::error::need_more) {
    return ParseState::Partial;
  }
  if (aError == http::error::header_limit) {
    return ParseState::HeaderTooLarge;
  }
  if (aError == http::error::body_limit) {
    return ParseState::BodyTooLarge;
  }
  return ParseState::Malformed;
}

// Checks a header before the body is parsed; Partial if it is accepted. Framing
// and host must be unambiguous (RFC 9112, sections 3.2 and 6.1), and the length
// within the limit, because the parser reserves memory for it.
template<typename Parser>
ParseState
CheckHeader(const Parser& aParser, std::uint64_t aBodyLimit)
{
  const auto& message = aParser.get();
  const auto [first, last] =
    message.equal_range(http::field::transfer_encoding);
  const bool chunkedOrNone =
    first == last || (std::next(first) == last &&
                      EqualsIgnoreCase(View(first->value()), "chunked"));
  if (!chunkedOrNone || message.count(http::field::host) > 1) {
    return ParseState::Malformed;
  }
  return aParser.content_length().value_or(0) > aBodyLimit
           ? ParseState::BodyTooLarge
           : ParseState::Partial;
}

// Counts of what a parser has parsed.
struct Progress
{
  /** Bytes and lines of the header. */
  std::size_t m_headerBytes = 0;
  std::size_t m_headerLines = 0;
  /** Bytes after the header: the body and its framing. */
  std::uint64_t m_afterHeader = 0;

  void Add(bool aHeader, const char* aBytes, std::size_t aCount)
  {
    if (aHeader) {
      m_headerBytes += aCount;
      m_headerLines +=
        static_cast<std::size_t>(std::count(aBytes, aBytes + aCount, '\n'));
    } else {
      m_afterHeader += aCount;
    }
  }
};

// Parses aBytes and removes the parsed bytes from its front. aOnHeader is
// called once the header is accepted.
template<typename Parser, typename OnHeader>
ParseState
ParseInput(Parser& aParser,
           std::string& aBytes,
           std::uint64_t aBodyLimit,
           Progress& aProgress,
           const OnHeader& aOnHeader)
{
  std::size_t parsed = 0;
  ParseState state = ParseState::Partial;
  while (parsed < aBytes.size() && !aParser.is_done()) {
    const bool hadHeader = aParser.is_header_done();
    aParser.eager(hadHeader);
    beast::error_code error;
    const std::size_t count = aParser.put(
      boost::asio::buffer(aBytes.data() + parsed, aBytes.size() - parsed),
      error);
    aProgress.Add(!hadHeader, aBytes.data() + parsed, count);
    parsed += count;
    if (error) {
      state = ToParseState(error);
      break;
    }
    if (!hadHeader && aParser.is_header_done()) {
      const ParseState checked = CheckHeader(aParser, aBodyLimit);
      if (checked != ParseState::Partial) {
        aBytes.erase(0, parsed);
        return checked;
      }
      aOnHeader();
    }
    if (count == 0) {
      break;
    }
  }
  aBytes.erase(0, parsed);
  return aParser.is_done() ? ParseState::Complete : state;
}

} // namespace

class RequestParser::Impl
{
public:
  // Takes the fields from the parser, which would add those of the trailer
  // section to them. Trailer fields are discarded (RFC 9110, section 6.5.1).
  void TakeFields()
  {
    auto& message = m_parser.get();
    m_fields = CopyFields(message);
    message.clear();
  }

  // aUnparsed: bytes received that end in the middle of an element of the
  // framing, which the parser leaves unread however long the element becomes.
  bool ExceedsFramingLimit(std::size_t aUnparsed) const
  {
    if (!m_parser.is_header_done() || !m_parser.chunked()) {
      return false;
    }
    const std::uint64_t body = m_parser.get().body().size();
    return aUnparsed > m_headerLimit ||
           m_progress.m_afterHeader - body >
             m_headerLimit + kFramingBytesPerBodyByte * body;
  }

  http::request_parser<http::string_body> m_parser;
  std::vector<HeaderField> m_fields;
  std::uint64_t m_headerLimit = 0;
  std::uint64_t m_bodyLimit = 0;
  Progress m_progress;
  bool m_started = false;
  bool m_continueConsumed = false;
};

RequestParser::RequestParser(std::size_t aHeaderLimit, std::size_t aBodyLimit)
  : m_impl(std::make_unique<Impl>())
{
  m_impl->m_parser.header_limit(static_cast<std::uint32_t>(aHeaderLimit));
  m_impl->m_parser.body_limit(aBodyLimit);
  m_impl->m_headerLimit = aHeaderLimit;
  m_impl->m_bodyLimit = aBodyLimit;
}

RequestParser::~RequestParser() = default;

ParseState
RequestParser::Read(std::string& aBytes)
{
  if (!aBytes.empty()) {
    m_impl->m_started = true;
  }
  const bool wasDone = m_impl->m_parser.is_done();
  const ParseState state = ParseInput(
    m_impl->m_parser, aBytes, m_impl->m_bodyLimit, m_impl->m_progress, [this] {
      m_impl->TakeFields();
    });
  const bool accepted =
    state == ParseState::Partial || state == ParseState::Complete;
  // Bytes behind a complete request belong to the next one.
  const std::size_t unparsed = m_impl->m_parser.is_done() ? 0 : aBytes.size();
  return accepted && !wasDone && m_impl->ExceedsFramingLimit(unparsed)
           ? ParseState::BodyTooLarge
           : state;
}

bool
RequestParser::ConsumeExpectContinue()
{
  if (m_impl->m_continueConsumed || !m_impl->m_parser.is_header_done()) {
    return false;
  }
  m_impl->m_continueConsumed = true;
  return EqualsIgnoreCase(FieldValue(m_impl->m_fields, "expect"),
                          "100-continue");
}

bool
RequestParser::HasHeader() const
{
  return m_impl->m_parser.is_header_done();
}

bool
RequestParser::HasStarted() const
{
  return m_impl->m_started;
}

std::size_t
RequestParser::HeldBytes() const
{
  // The memory reserved for a body of known length is not in use before its
  // bytes arrive.
  const auto& parser = m_impl->m_parser;
  if (!parser.is_header_done()) {
    const Progress& progress = m_impl->m_progress;
    return progress.m_headerBytes + progress.m_headerLines * kParsedFieldBytes;
  }
  const std::string& body = parser.get().body();
  return MemoryOf(m_impl->m_fields) +
         (parser.chunked() ? body.capacity() : body.size());
}

std::optional<std::uint64_t>
RequestParser::MissingBodyBytes() const
{
  const auto& parser = m_impl->m_parser;
  const auto missing = parser.is_header_done() && !parser.chunked()
                         ? parser.content_length_remaining()
                         : boost::none;
  return missing ? std::optional<std::uint64_t>(*missing) : std::nullopt;
}

RequestMessage
RequestParser::Take()
{
  auto& parser = m_impl->m_parser;
  RequestMessage request;
  request.m_keepAlive = parser.keep_alive();
  request.m_hasBody = parser.chunked() || parser.content_length().has_value();
  auto message = parser.release();
  request.m_method = std::string(View(message.method_string()));
  request.m_target = std::string(View(message.target()));
  request.m_fields = std::move(m_impl->m_fields);
  request.m_body = std::move(message.body());
  return request;
}

class ResponseParser::Impl
{
public:
  using Parser = http::response_parser<http::string_body>;

  Impl(bool aHead, std::uint64_t aBodyLimit)
    : m_head(aHead)
    , m_bodyLimit(aBodyLimit)
  {
    Reset();
  }

  // aState of the parser, or Malformed if the status of a complete response is
  // none.
  ParseState CheckStatus(ParseState aState) const
  {
    const unsigned status = m_parser->get().result_int();
    const bool valid = status >= kMinFinalStatus && status <= kMaxFinalStatus;
    return aState == ParseState::Complete && !valid ? ParseState::Malformed
                                                    : aState;
  }

  void Reset()
  {
    m_parser = std::make_unique<Parser>();
    m_parser->header_limit(kMaxResponseHeaderBytes);
    m_parser->body_limit(m_bodyLimit);
    m_parser->skip(m_head);
  }

  bool m_head;
  std::uint64_t m_bodyLimit;
  Progress m_progress;
  bool m_started = false;
  std::unique_ptr<Parser> m_parser;
};

ResponseParser::ResponseParser(bool aHead, std::uint64_t aBodyLimit)
  : m_impl(std::make_unique<Impl>(aHead, aBodyLimit))
{
}

ResponseParser::~ResponseParser() = default;

ParseState
ResponseParser::Read(std::string& aBytes)
{
  while (true) {
    if (!aBytes.empty()) {
      m_impl->m_started = true;
    }
    const ParseState state = ParseInput(
      *m_impl->m_parser, aBytes, m_impl->m_bodyLimit, m_impl->m_progress, [] {
      });
    if (state == ParseState::Partial && aBytes.size() > kMaxUnparsedBytes) {
      return ParseState::Malformed;
    }
    const bool interim = state == ParseState::Complete &&
                         m_impl->m_parser->get().result_int() / 100 == 1;
    if (!interim) {
      return m_impl->CheckStatus(state);
    }
    m_impl->Reset();
  }
}

ParseState
ResponseParser::End()
{
  if (!m_impl->m_parser->is_header_done() || !m_impl->m_parser->need_eof()) {
    return ParseState::Malformed;
  }
  beast::error_code error;
  m_impl->m_parser->put_eof(error);
  return !error && m_impl->m_parser->is_done()
           ? m_impl->CheckStatus(ParseState::Complete)
           : ParseState::Malformed;
}

bool
ResponseParser::HasStarted() const
{
  return m_impl->m_started;
}

ResponseMessage
ResponseParser::Take()
{
  auto& parser = *m_impl->m_parser;
  ResponseMessage answer;
  answer.m_keepAlive = parser.keep_alive();
  auto message = parser.release();
  answer.m_status = static_cast<int>(message.result_int());
  answer.m_reason = std::string(View(message.reason()));
  answer.m_fields = CopyFields(message);
  answer.m_body = std::move(message.body());
  return answer;
}

std::string_view
ReasonPhrase(int aStatus)
{
  return View(http::obsolete_reason(http::int_to_status(aStatus)));
}

} // namespace goldcrestkeel
