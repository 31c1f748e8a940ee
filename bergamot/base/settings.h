#pragma once

// Settings of a program, from flags and environment variables of the same names. `--listen-address` is also
// BERGAMOT_LISTEN_ADDRESS; a flag takes precedence over the variable. Every program also has --help, --version and
// --check-settings.
//
//     SettingsParser parser("bergamot-entry", "Serves callers on one instance.");
//     parser.require("instance", "Name of this instance.");
//     SettingsOutcome outcome = parser.parse(argc, argv);
//     if (outcome.exitCode) {
//         return *outcome.exitCode;
//     }
//     parser.text("instance");

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/program_options.hpp>

#include "bergamot/base/error.h"

namespace bergamot
{

/// The result of `SettingsParser::parse`: without `exitCode` the program continues, otherwise it exits with it (0 after
/// --help, --version or a successful --check-settings; 2 after printing all invalid values or the first parse error).
struct SettingsOutcome
{
    std::optional<int> exitCode;
};

/// Not thread-safe; reads are safe from any thread once `parse` has returned.
class SettingsParser
{
public:
    /// Validates one value: returns an empty string, or what is wrong with the value and the remedy.
    using Check = std::function<std::string(const std::string &value)>;

    SettingsParser(std::string program, std::string purpose);

    /// Adds a setting that must have a value.
    void require(const std::string &name, const std::string &help, Check check = nullptr);
    /// Adds a setting with the default value `fallback`.
    void optional(const std::string &name, const std::string &fallback, const std::string &help, Check check = nullptr);
    /// Adds a setting without a value on the command line; `isSet` returns whether it is on; `false` and `0` mean off.
    void flag(const std::string &name, const std::string &help);
    /// Adds a flag `name` for the path of a file with more settings, one `name = value` per line. Flags and environment
    /// variables take precedence over the file. Unknown names in it are ignored, so that a platform may add its own.
    void settingsFile(const std::string &name, const std::string &help);
    /// Accepts positional arguments (for command-line tools); `words` returns them in order.
    void positional(const std::string &name, const std::string &help);

    /// Reads the flags, the environment and the settings file, and validates all values.
    SettingsOutcome parse(int argc, const char *const *argv);

    /// The value of a setting; empty if it has none.
    std::string text(const std::string &name) const;
    std::vector<std::string> words(const std::string &name) const;
    bool isSet(const std::string &flag) const;
    /// For settings checked by `checkUnsigned`.
    std::uint64_t number(const std::string &name) const;
    /// For settings checked by `checkUnsigned`, in milliseconds.
    std::chrono::milliseconds milliseconds(const std::string &name) const;

private:
    struct Setting
    {
        std::string name;
        Check check;
        bool required = false;
    };

    std::vector<std::string> problems() const;
    void readFile();
    void printHelp() const;

    std::string m_program;
    std::string m_purpose;
    std::string m_fileSetting; // name of the flag for the settings file; empty if there is none
    boost::program_options::options_description m_description;
    boost::program_options::positional_options_description m_positional;
    boost::program_options::variables_map m_values;
    std::vector<Setting> m_settings;
};

/// Checks for `SettingsParser`: each returns an empty string if `value` is valid, otherwise what is wrong with it.
std::string checkAddress(const std::string &value);
std::string checkAddressList(const std::string &value); // comma-separated; may be empty
std::string checkUnsigned(const std::string &value);

/// The non-empty elements of a comma-separated list.
std::vector<std::string> splitList(const std::string &value);

} // namespace bergamot
