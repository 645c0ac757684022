#include "SubCommand.h"

namespace goldcrestkeel::gkctl {

namespace {

class AuditCommand : public SubCommand
{
public:
  void Declare(OptionTable& aTable) override
  {
    aTable.Number("limit",
                  "N",
                  "maximum number of entries [20]",
                  1,
                  kMaxAuditEntries,
                  [this](double aNumber) {
                    m_limit = static_cast<std::uint32_t>(aNumber);
                  });
  }

  ExitCode Run(Session& aSession,
               const std::vector<std::string>& aArguments) override
  {
    if (!aArguments.empty()) {
      throw UsageError("takes no argument");
    }
    return aSession.Print(
      aSession.Execute(ShowStatement{ ShowSubject::Audit, "", m_limit }));
  }

private:
  std::uint32_t m_limit = 20;
};

} // namespace

std::unique_ptr<SubCommand>
MakeAuditCommand()
{
  return std::make_unique<AuditCommand>();
}

} // namespace goldcrestkeel::gkctl
