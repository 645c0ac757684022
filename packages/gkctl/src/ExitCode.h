#pragma once

namespace goldcrestkeel::gkctl {

/** Exit codes of gkctl; docs/gkctl.md lists them. */
enum class ExitCode
{
  Success = 0,
  /** An entry host refused the request; it did not run. */
  NotRun = 1,
  /** Invalid arguments, statement or service file; nothing was sent. */
  Usage = 2,
  /** No entry host could be reached; the request did not run. */
  Unreachable = 3,
  /** It is not known whether the request ran. */
  Unknown = 4,
  /** The change is written, but some hosts have not confirmed it yet. */
  Pending = 5,
  /** The request ran and failed, for example below the minimum coverage. */
  Failed = 6,
  /** `diff` found differences. */
  Different = 7,
};

} // namespace goldcrestkeel::gkctl
