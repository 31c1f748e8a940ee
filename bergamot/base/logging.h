#pragma once

// Log output on standard error through log4cplus. The name of the component prefixes each line.
//
//     initializeLogging(LogLevel::Info);      // once, in main
//     const ComponentLogger log("routing");
//     log.warning("Ejected endpoint " + endpoint.value() + ".");

#include <memory>
#include <string>
#include <string_view>

#include "bergamot/base/error.h"

namespace bergamot
{

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// Reads "debug", "info", "warning" or "error".
Result<LogLevel> parseLogLevel(std::string_view name);

/// A `SettingsParser::Check`: empty if `value` is the name of a log level, otherwise what is wrong with it.
std::string checkLogLevel(const std::string &value);

/// Initializes logging for this process; lines below `level` are dropped. Call it once, before other threads start.
void initializeLogging(LogLevel level);

/// Logger of one component. Thread-safe. Lines written before `initializeLogging` are dropped.
class ComponentLogger
{
public:
    explicit ComponentLogger(std::string component);
    ~ComponentLogger();
    ComponentLogger(const ComponentLogger &) = delete;
    ComponentLogger &operator=(const ComponentLogger &) = delete;

    void debug(const std::string &line) const;
    void info(const std::string &line) const;
    void warning(const std::string &line) const;
    void error(const std::string &line) const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace bergamot
