#pragma once

#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

namespace goldcrestkeel::gkctl {

/** Invalid command-line arguments; what() describes the error. */
class UsageError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/** Options of one sub-command: parses them with getopt_long and lists them for
 *  --help. */
class OptionTable
{
public:
  /** Option without a value. */
  void Flag(std::string aName, std::string aHelp, bool& aValue);
  /** Option with a value, which Parse() passes to aHandler. aHandler may throw
   *  UsageError. */
  void Value(std::string aName,
             std::string aPlaceholder,
             std::string aHelp,
             std::function<void(const std::string&)> aHandler);
  void Text(std::string aName,
            std::string aPlaceholder,
            std::string aHelp,
            std::string& aValue);
  /** Option with a number in [aMin, aMax]. */
  void Number(std::string aName,
              std::string aPlaceholder,
              std::string aHelp,
              double aMin,
              double aMax,
              std::function<void(double)> aHandler);

  /** Parses the arguments, the first of which is the name of the sub-command,
   *  and returns the positional ones. Throws UsageError. */
  std::vector<std::string> Parse(std::vector<std::string> aArguments) const;

  /** Returns the help text, with one line for each option. */
  std::string Help() const;

private:
  struct Row
  {
    std::string m_name;
    /** Empty for a flag. */
    std::string m_placeholder;
    std::string m_help;
    std::function<void(const std::string&)> m_handler;
  };

  std::vector<Row> m_rows;
};

} // namespace goldcrestkeel::gkctl
