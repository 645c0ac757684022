#pragma once

#include <string>

namespace goldcrestkeel {

/** Command line of the daemon. */
struct Options
{
  std::string m_settingsPath;
  /** Forward requests on the users' platform instead of searching. */
  bool m_platform = false;
  /** Only check the settings. */
  bool m_check = false;
  bool m_help = false;
};

/** Throws Error (BadRequest) for an argument that is not known. */
Options
ParseOptions(int aCount, char** aArguments);

std::string
UsageText();

} // namespace goldcrestkeel
