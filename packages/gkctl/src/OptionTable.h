#pragma once

#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

namespace goldcrestkeel::gkctl {

/** Wrong arguments; the text says which. */
class UsageError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/** Options of one sub-command: reads them with getopt_long and lists them for
 *  --help. */
class OptionTable
{
public:
  /** Option without a value. */
  void Flag(std::string aName, std::string aHelp, bool& aValue);
  /** Option with a value; aRead may throw UsageError. */
  void Value(std::string aName,
             std::string aPlaceholder,
             std::string aHelp,
             std::function<void(const std::string&)> aHandler);
  void Text(std::string aName,
            std::string aPlaceholder,
            std::string aHelp,
            std::string& aValue);
  /** Number in [aLeast, aMost]. */
  void Number(std::string aName,
              std::string aPlaceholder,
              std::string aHelp,
              double aMin,
              double aMax,
              std::function<void(double)> aHandler);

  /** Reads the arguments, of which the first is the name of the sub-command,
   *  and returns those that are no options. Throws UsageError. */
  std::vector<std::string> Parse(std::vector<std::string> aArguments) const;

  /** One line for each option. */
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
