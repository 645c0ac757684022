#include "FuzzTarget.h"
#include "RequestParsing.h"

using namespace goldcrestkeel;

namespace {

template<typename Parse>
void
CheckRefusal(Parse aParse)
{
  constexpr int kFirstClientError = 400;
  constexpr int kFirstServerError = 500;
  try {
    aParse();
  } catch (const Error& error) {
    const int status = InfoOf(error.Kind()).m_httpStatus;
    // A field whose name is empty cannot be named otherwise.
    const bool named =
      !error.Field().empty() || std::string(error.what()) == ": unknown field";
    fuzz::Require(status >= kFirstClientError && status < kFirstServerError &&
                    named,
                  "a refusal is a 4xx that names the field");
  }
}

} // namespace

std::vector<std::string>
fuzz::Seeds()
{
  return {
    R"({"query":"boiler valve","deadline_ms":250,"min_coverage":0.95,
        "limit":20,"offset":20,"snapshot":7,"class":"batch"})",
    R"({"command":"HOLD","deadline_ms":250,"class":"interactive"})",
    R"({"statement":"SHOW SERVICES","operation_id":"1-a","deadline_ms":9})",
  };
}

/** Any body is a request or a refusal; the parser throws nothing else. */
int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  CallerRequest request;
  request.m_body.assign(reinterpret_cast<const char*>(aData), aSize);
  request.m_idempotencyKey = "1-a";
  const RequestLimits limits;
  CheckRefusal([&] { ParseSearch(request, "spares", limits); });
  CheckRefusal([&] { ParseCommand(request, "ledger", limits); });
  CheckRefusal([&] { ParseStatementRequest(request, limits); });
  return 0;
}
