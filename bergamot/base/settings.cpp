#include "bergamot/base/settings.h"

#include <charconv>
#include <fstream>
#include <iostream>
#include <sstream>

#include "bergamot/base/address.h"
#include "bergamot/base/version.h"

namespace bergamot
{

namespace po = boost::program_options;

namespace
{

constexpr std::string_view EnvironmentPrefix = "BERGAMOT_";
constexpr int InvalidSettingsExitCode = 2;

std::string environmentName(const std::string &setting)
{
    std::string name(EnvironmentPrefix);
    for (const char character : setting) {
        name += character == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(character)));
    }
    return name;
}

} // namespace

SettingsParser::SettingsParser(std::string program, std::string purpose)
    : m_program(std::move(program))
    , m_purpose(std::move(purpose))
    , m_description("Settings")
{
    m_description.add_options()("help", "Print this help and exit.")("version", "Print the version and exit.")(
        "check-settings", "Check the settings, report all errors and exit.");
}

void SettingsParser::require(const std::string &name, const std::string &help, Check check)
{
    const std::string text = help + " Required.";
    m_description.add_options()(name.c_str(), po::value<std::string>(), text.c_str());
    m_settings.push_back({name, std::move(check), true});
}

void SettingsParser::optional(const std::string &name,
                              const std::string &fallback,
                              const std::string &help,
                              Check check)
{
    m_description.add_options()(name.c_str(), po::value<std::string>()->default_value(fallback), help.c_str());
    m_settings.push_back({name, std::move(check), false});
}

void SettingsParser::flag(const std::string &name, const std::string &help)
{
    po::typed_value<std::string> *value = po::value<std::string>();
    value->zero_tokens()->implicit_value("true")->default_value("");
    m_description.add_options()(name.c_str(), value, help.c_str());
    m_settings.push_back({name, nullptr, false});
}

void SettingsParser::settingsFile(const std::string &name, const std::string &help)
{
    optional(name, "", help);
    m_fileSetting = name;
}

void SettingsParser::readFile()
{
    const std::string path = m_fileSetting.empty() ? std::string() : text(m_fileSetting);
    if (path.empty()) {
        return;
    }
    std::ifstream file(path);
    if (!file) {
        throw po::error("cannot read the settings file " + path);
    }
    constexpr bool AllowUnknown = true;
    po::store(po::parse_config_file(file, m_description, AllowUnknown), m_values);
}

void SettingsParser::positional(const std::string &name, const std::string &help)
{
    m_description.add_options()(name.c_str(), po::value<std::vector<std::string>>(), help.c_str());
    m_positional.add(name.c_str(), -1);
}

SettingsOutcome SettingsParser::parse(int argc, const char *const *argv)
{
    try {
        po::store(po::command_line_parser(argc, argv).options(m_description).positional(m_positional).run(), m_values);
        po::store(po::parse_environment(m_description,
                                        [this](const std::string &variable) {
                                            for (const Setting &setting : m_settings) {
                                                if (environmentName(setting.name) == variable) {
                                                    return setting.name;
                                                }
                                            }
                                            return std::string();
                                        }),
                  m_values);
        readFile();
        po::notify(m_values);
    } catch (const po::error &error) {
        std::cerr << m_program << ": " << error.what() << "; see --help\n";
        return {InvalidSettingsExitCode};
    }
    if (m_values.count("help") != 0) {
        printHelp();
        return {0};
    }
    if (m_values.count("version") != 0) {
        std::cout << m_program << " " << Version << "\n";
        return {0};
    }
    const std::vector<std::string> found = problems();
    for (const std::string &problem : found) {
        std::cerr << m_program << ": " << problem << "\n";
    }
    if (!found.empty()) {
        return {InvalidSettingsExitCode};
    }
    if (m_values.count("check-settings") != 0) {
        std::cout << m_program << ": the settings are valid\n";
        return {0};
    }
    return {};
}

std::vector<std::string> SettingsParser::problems() const
{
    std::vector<std::string> problems;
    for (const Setting &setting : m_settings) {
        if (setting.required && text(setting.name).empty()) {
            problems.push_back("--" + setting.name + " (" + environmentName(setting.name) + ") is required");
            continue;
        }
        if (!setting.check) {
            continue;
        }
        const std::string problem = setting.check(text(setting.name));
        if (!problem.empty()) {
            problems.push_back("--" + setting.name + " (" + environmentName(setting.name) + "): " + problem);
        }
    }
    return problems;
}

void SettingsParser::printHelp() const
{
    std::cout << m_program << ": " << m_purpose << "\n\n"
              << m_description << "\nEach setting can also be set by an environment variable: --"
              << m_settings.front().name << " as " << environmentName(m_settings.front().name) << ".\n";
}

std::string SettingsParser::text(const std::string &name) const
{
    const auto found = m_values.find(name);
    return found == m_values.end() ? std::string() : found->second.as<std::string>();
}

std::vector<std::string> SettingsParser::words(const std::string &name) const
{
    const auto found = m_values.find(name);
    return found == m_values.end() ? std::vector<std::string>() : found->second.as<std::vector<std::string>>();
}

bool SettingsParser::isSet(const std::string &flag) const
{
    const std::string value = text(flag);
    return !value.empty() && value != "false" && value != "0";
}

std::uint64_t SettingsParser::number(const std::string &name) const
{
    const std::string value = text(name);
    std::uint64_t number = 0;
    std::from_chars(value.data(), value.data() + value.size(), number);
    return number;
}

std::chrono::milliseconds SettingsParser::milliseconds(const std::string &name) const
{
    return std::chrono::milliseconds(number(name));
}

std::string checkAddress(const std::string &value)
{
    const Result<Address> address = parseAddress(value);
    return address ? std::string() : address.error().message;
}

std::string checkAddressList(const std::string &value)
{
    std::string problems;
    for (const std::string &part : splitList(value)) {
        const std::string problem = checkAddress(part);
        problems += problems.empty() || problem.empty() ? problem : ", " + problem;
    }
    return problems;
}

std::string checkUnsigned(const std::string &value)
{
    std::uint64_t number = 0;
    const auto [end, status] = std::from_chars(value.data(), value.data() + value.size(), number);
    if (value.empty() || status != std::errc() || end != value.data() + value.size()) {
        return "'" + value + "' is not a whole number, 0 or more";
    }
    return {};
}

std::vector<std::string> splitList(const std::string &value)
{
    std::vector<std::string> parts;
    std::stringstream stream(value);
    for (std::string part; std::getline(stream, part, ',');) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

} // namespace bergamot
