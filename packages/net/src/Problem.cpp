#include "Problem.h"

namespace goldcrestkeel {

CallerAnswer
ProblemAnswer(ErrorKind aKind,
              Ran aRan,
              std::string_view aDetail,
              std::string_view aField,
              const std::string& aRequestId,
              const nlohmann::json& aExtra)
{
  const ErrorInfo& info = InfoOf(aKind);
  nlohmann::json body = aExtra;
  body["type"] = "urn:goldcrestkeel:error:" + std::string(info.m_name);
  body["title"] = info.m_title;
  body["status"] = info.m_httpStatus;
  body["detail"] = aDetail;
  body["error"] = info.m_name;
  body["ran"] = NameOf(aRan);
  body["request_id"] = aRequestId;
  if (!aField.empty()) {
    body["field"] = aField;
  }
  return { info.m_httpStatus, Dump(body), "application/problem+json" };
}

CallerAnswer
ProblemAnswer(const Error& aError, const std::string& aRequestId)
{
  return ProblemAnswer(aError.Kind(),
                       InfoOf(aError.Kind()).m_ran,
                       aError.what(),
                       aError.Field(),
                       aRequestId);
}

std::string
Dump(const nlohmann::json& aValue)
{
  return aValue.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace goldcrestkeel
