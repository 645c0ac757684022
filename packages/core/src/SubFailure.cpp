#include <goldcrestkeel/core/QueryEngine.h>

namespace goldcrestkeel {

std::string_view
NameOf(SubFailureKind aKind)
{
  switch (aKind) {
    case SubFailureKind::ConnectFailed:
      return "connect_failed";
    case SubFailureKind::Reset:
      return "reset";
    case SubFailureKind::Shed:
      return "shed";
    case SubFailureKind::Draining:
      return "draining";
    case SubFailureKind::VersionGone:
      return "version_gone";
    case SubFailureKind::DeadlinePassed:
      return "deadline_passed";
    case SubFailureKind::Malformed:
      return "malformed";
    case SubFailureKind::TimedOut:
      return "timed_out";
  }
  return "unknown";
}

bool
ProvesNotRun(SubFailureKind aKind)
{
  switch (aKind) {
    case SubFailureKind::ConnectFailed:
    case SubFailureKind::Shed:
    case SubFailureKind::Draining:
    case SubFailureKind::VersionGone:
    case SubFailureKind::DeadlinePassed:
      return true;
    case SubFailureKind::Reset:
    case SubFailureKind::Malformed:
    case SubFailureKind::TimedOut:
      return false;
  }
  return false;
}

} // namespace goldcrestkeel
