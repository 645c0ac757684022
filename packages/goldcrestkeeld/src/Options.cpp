#include "Options.h"

#include <goldcrestkeel/Core.h>

#include <getopt.h>

#include <array>

namespace goldcrestkeel {

Options
ParseOptions(int aCount, char** aArguments)
{
  const std::array<option, 5> longOptions{
    option{ "settings", required_argument, nullptr, 's' },
    option{ "platform", no_argument, nullptr, 'p' },
    option{ "check", no_argument, nullptr, 'c' },
    option{ "help", no_argument, nullptr, 'h' },
    option{ nullptr, 0, nullptr, 0 },
  };
  Options options;
  opterr = 0;
  int found = 0;
  while ((found = getopt_long(
            aCount, aArguments, "s:pch", longOptions.data(), nullptr)) != -1) {
    if (found == 's') {
      options.m_settingsPath = optarg;
    } else if (found == 'p') {
      options.m_platform = true;
    } else if (found == 'c') {
      options.m_check = true;
    } else if (found == 'h') {
      options.m_help = true;
    } else {
      throw Error(ErrorKind::BadRequest,
                  std::string("unknown or incomplete argument ") +
                    aArguments[optind - 1]);
    }
  }
  if (optind < aCount) {
    throw Error(ErrorKind::BadRequest,
                std::string("unexpected argument ") + aArguments[optind]);
  }
  if (options.m_settingsPath.empty() && !options.m_help) {
    throw Error(ErrorKind::BadRequest, "--settings is missing");
  }
  return options;
}

std::string
UsageText()
{
  return "usage: goldcrestkeeld --settings FILE [--platform] [--check]\n"
         "\n"
         "  -s, --settings FILE  settings file, JSON with comments\n"
         "  -p, --platform       forward requests on the users' platform\n"
         "  -c, --check          check the settings, list all errors and exit\n"
         "  -h, --help           print this text\n"
         "\n"
         "SIGTERM and SIGINT drain the host and stop it; SIGHUP reloads the "
         "settings.\n";
}

} // namespace goldcrestkeel
