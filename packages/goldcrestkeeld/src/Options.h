#pragma once

#include <string>

namespace goldcrestkeel {

/** Command-line options of the daemon. */
struct Options
{
  std::string m_settingsPath;
  /** Forward requests on the users' platform instead of searching. */
  bool m_platform = false;
  /** Check the settings and exit. */
  bool m_check = false;
  bool m_help = false;
};

/** Throws Error (BadRequest) for an unknown or incomplete argument, or if
 *  --settings is missing. */
Options
ParseOptions(int aCount, char** aArguments);

std::string
UsageText();

} // namespace goldcrestkeel
