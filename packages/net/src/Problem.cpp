#include "Problem.h"

namespace goldcrestkeel {

namespace {

// Whether the error lies in the request itself and not in the state of this
// host, so that every host refuses the request.
bool
IsRefusedByEveryHost(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::BadRequest:
    case ErrorKind::MissingIdempotencyKey:
    case ErrorKind::BadIdempotencyKey:
    case ErrorKind::BodyTooLarge:
    case ErrorKind::StatementSyntax:
    case ErrorKind::MethodNotAllowed:
    case ErrorKind::NotFound:
      return true;
    default:
      return false;
  }
}

} // namespace

CallerResponse
ProblemResponse(ErrorKind aKind,
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

CallerResponse
ProblemResponse(const Error& aError,
                const std::string& aRequestId,
                bool aHasIdempotencyKey)
{
  const Ran ran = aHasIdempotencyKey && !IsRefusedByEveryHost(aError.Kind())
                    ? Ran::Unknown
                    : InfoOf(aError.Kind()).m_ran;
  return ProblemResponse(
    aError.Kind(), ran, aError.what(), aError.Field(), aRequestId);
}

std::string
Dump(const nlohmann::json& aValue)
{
  return aValue.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace goldcrestkeel
