#pragma once

// Logs: short sentences, with a fixed prefix for each part, on standard error through log4cplus.
//
//     initializeLogging(LogLevel::Info);      // once, in main
//     const PartLogger log("routing");
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

/// A check for `SettingsParser`.
std::string isLogLevel(const std::string &value);

/// Sets up the log of this process; lines below `level` are dropped. Call it once, before other threads start.
void initializeLogging(LogLevel level);

/// Writes the lines of one part. Thread-safe. Lines written before `initializeLogging` are dropped.
class PartLogger
{
public:
    explicit PartLogger(std::string part);
    ~PartLogger();
    PartLogger(const PartLogger &) = delete;
    PartLogger &operator=(const PartLogger &) = delete;

    void debug(const std::string &sentence) const;
    void info(const std::string &sentence) const;
    void warning(const std::string &sentence) const;
    void error(const std::string &sentence) const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace bergamot
