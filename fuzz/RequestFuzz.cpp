#include "FuzzTarget.h"
#include "RequestParsing.h"

using namespace goldcrestkeel;

namespace {

/** Runs aParse, which may throw only an Error with a 4xx status that names the
 *  rejected field. */
template<typename Parse>
void
CheckRejection(Parse aParse)
{
  constexpr int kFirstClientError = 400;
  constexpr int kFirstServerError = 500;
  try {
    aParse();
  } catch (const Error& error) {
    const int status = InfoOf(error.Kind()).m_httpStatus;
    // An unknown field with an empty name has only this message.
    const bool named =
      !error.Field().empty() || std::string(error.what()) == ": unknown field";
    fuzz::Require(status >= kFirstClientError && status < kFirstServerError &&
                    named,
                  "a rejection has a 4xx status and names the field");
  }
}

} // namespace

std::vector<std::string>
fuzz::SeedCorpus()
{
  return {
    R"({"query":"boiler valve","deadline_ms":250,"min_coverage":0.95,
        "limit":20,"offset":20,"snapshot":7,"class":"batch"})",
    R"({"command":"HOLD","deadline_ms":250,"class":"interactive"})",
    R"({"statement":"SHOW SERVICES","operation_id":"1-a","deadline_ms":9})",
  };
}

/** Property: any body is either parsed or rejected with an Error; the parser
 *  throws nothing else. */
int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  CallerRequest request;
  request.m_body.assign(reinterpret_cast<const char*>(aData), aSize);
  request.m_idempotencyKey = "1-a";
  const RequestLimits limits;
  CheckRejection([&] { ParseSearch(request, "spares", limits); });
  CheckRejection([&] { ParseCommand(request, "ledger", limits); });
  CheckRejection([&] { ParseStatementRequest(request, limits); });
  return 0;
}
