#pragma once

// Settings of a program: flags, and environment variables of the same names. `--listen-address` is also
// BERGAMOT_LISTEN_ADDRESS; a flag goes before the variable. Every program also has --help, --version and
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

/// What the program does next: go on, or end with `exitCode` (0 after --help, --version and a passed
/// --check-settings; 2 for bad settings, all of which have been printed).
struct SettingsOutcome
{
    std::optional<int> exitCode;
};

/// Not thread-safe; reads are safe from any thread once `parse` has returned.
class SettingsParser
{
public:
    /// A check of one value: an empty text, or what is wrong with it and the remedy.
    using Check = std::function<std::string(const std::string &value)>;

    SettingsParser(std::string program, std::string purpose);

    /// A setting that must be given.
    void require(const std::string &name, const std::string &help, Check check = nullptr);
    /// A setting with a default.
    void optional(const std::string &name, const std::string &fallback, const std::string &help, Check check = nullptr);
    /// A setting without a value on the command line; `isSet` tells whether it was given.
    void flag(const std::string &name, const std::string &help);
    /// Adds a flag `name` that names a file with further settings, one `name = value` a line. A flag or variable goes
    /// before it; names that are not known are passed over, so that a platform may add some.
    void settingsFile(const std::string &name, const std::string &help);
    /// A positional word or words (for command-line tools), kept in order.
    void positional(const std::string &name, const std::string &help);

    SettingsOutcome parse(int argc, const char *const *argv);

    /// The value; empty if it has none.
    std::string text(const std::string &name) const;
    std::vector<std::string> words(const std::string &name) const;
    bool isSet(const std::string &flag) const;
    /// For settings checked by `isWholeNumber`.
    std::uint64_t number(const std::string &name) const;
    /// For settings checked by `isWholeNumber`, in milliseconds.
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
    std::string m_fileSetting; // empty: no settings file
    boost::program_options::options_description m_description;
    boost::program_options::positional_options_description m_positional;
    boost::program_options::variables_map m_values;
    std::vector<Setting> m_settings;
};

/// Checks for `SettingsParser`.
std::string isAddress(const std::string &value);
std::string isAddressList(const std::string &value); // comma-separated; may be empty
std::string isWholeNumber(const std::string &value);

/// The parts of a comma-separated list; none for an empty text.
std::vector<std::string> splitList(const std::string &value);

} // namespace bergamot
