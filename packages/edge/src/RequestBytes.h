#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace goldcrestkeel {

/** A text that its copies share. */
class SharedText
{
public:
  SharedText() = default;
  SharedText(std::string aText)
    : m_text(aText.empty()
               ? nullptr
               : std::make_shared<const std::string>(std::move(aText)))
  {
  }
  SharedText(const char* aText)
    : SharedText(std::string(aText))
  {
  }

  std::string_view View() const
  {
    return m_text ? std::string_view(*m_text) : std::string_view();
  }
  bool empty() const { return View().empty(); }

private:
  std::shared_ptr<const std::string> m_text;
};

/** What all copies of a request have in common. */
struct EncodedRequest
{
  std::string m_bytes;
  /** Place of the fields of a copy within m_bytes. */
  std::size_t m_fieldsAt = 0;
};

/** A serialized request to be sent. The copies of one request share its bytes,
 *  as each would otherwise hold the whole body until it is sent. */
class RequestBytes
{
public:
  RequestBytes() = default;
  /** A request that shares nothing. */
  RequestBytes(std::string aBytes)
    : m_fields(std::move(aBytes))
  {
  }
  /** aFields: the header fields of this copy, each with its line end. */
  RequestBytes(std::shared_ptr<const EncodedRequest> aShared,
               std::string aFields)
    : m_shared(std::move(aShared))
    , m_fields(std::move(aFields))
  {
  }

  /** The bytes in the order in which they are sent. */
  std::array<std::string_view, 3> Parts() const
  {
    const std::string_view shared =
      m_shared ? std::string_view(m_shared->m_bytes) : std::string_view();
    const std::size_t at = m_shared ? m_shared->m_fieldsAt : 0;
    return { shared.substr(0, at), m_fields, shared.substr(at) };
  }
  std::size_t size() const
  {
    return m_fields.size() + (m_shared ? m_shared->m_bytes.size() : 0);
  }
  bool empty() const { return size() == 0; }

private:
  std::shared_ptr<const EncodedRequest> m_shared;
  std::string m_fields;
};

} // namespace goldcrestkeel
