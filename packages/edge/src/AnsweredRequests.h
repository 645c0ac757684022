#pragma once

#include <goldcrestkeel/core/Time.h>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <string_view>
#include <vector>

namespace goldcrestkeel {

/** The requests of which a connection has answered a copy, until they end. A
 *  second copy of such an answer may still come, and only the request id would
 *  tell it from the answer to another copy. */
class AnsweredRequests
{
public:
  /** aEndsAt: no copy of the request is sent after this time. */
  void Add(TimePoint aNow, std::string_view aRequestId, TimePoint aEndsAt)
  {
    std::erase_if(m_requests, [&](const Request& aRequest) {
      return aRequest.m_endsAt <= aNow;
    });
    if (!aRequestId.empty() && aEndsAt > aNow) {
      m_requests.push_back({ HashOf(aRequestId), aEndsAt });
    }
  }

  bool Contains(TimePoint aNow, std::string_view aRequestId) const
  {
    return std::any_of(m_requests.begin(),
                       m_requests.end(),
                       [&, hash = HashOf(aRequestId)](const Request& aRequest) {
                         return aRequest.m_hash == hash &&
                                aRequest.m_endsAt > aNow;
                       });
  }

private:
  /** Hashes suffice: if two ids share one, a copy goes over another connection
   *  without need. */
  struct Request
  {
    std::size_t m_hash = 0;
    TimePoint m_endsAt;
  };

  static std::size_t HashOf(std::string_view aRequestId)
  {
    return std::hash<std::string_view>()(aRequestId);
  }

  std::vector<Request> m_requests;
};

} // namespace goldcrestkeel
