#include "bergamot/base/logging.h"

#include <log4cplus/config.hxx>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace bergamot
{

namespace
{

std::atomic<bool> s_initialized{false};

log4cplus::LogLevel nativeLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

} // namespace

Result<LogLevel> parseLogLevel(std::string_view name)
{
    static const std::map<std::string_view, LogLevel> levels = {
        {"debug", LogLevel::Debug},
        {"info", LogLevel::Info},
        {"warning", LogLevel::Warning},
        {"error", LogLevel::Error},
    };
    const auto found = levels.find(name);
    if (found == levels.end()) {
        return failure(ErrorCode::InvalidArgument,
                       "'" + std::string(name) + "' is not a log level; expected debug, info, warning or error");
    }
    return found->second;
}

std::string checkLogLevel(const std::string &value)
{
    const Result<LogLevel> level = parseLogLevel(value);
    return level ? std::string() : level.error().message;
}

void initializeLogging(LogLevel level)
{
    static const log4cplus::Initializer initializer;
    const log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%D{%H:%M:%S.%q} %-5p [%c] %m%n")));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.addAppender(appender);
    root.setLogLevel(nativeLevel(level));
    s_initialized = true;
}

struct ComponentLogger::Impl
{
    std::string component;

    void write(LogLevel level, const std::string &line) const
    {
        if (!s_initialized) {
            return;
        }
        log4cplus::Logger::getInstance(component).log(nativeLevel(level), line);
    }
};

ComponentLogger::ComponentLogger(std::string component)
    : m_impl(std::make_unique<Impl>(Impl{std::move(component)}))
{ }

ComponentLogger::~ComponentLogger() = default;

void ComponentLogger::debug(const std::string &line) const
{
    m_impl->write(LogLevel::Debug, line);
}

void ComponentLogger::info(const std::string &line) const
{
    m_impl->write(LogLevel::Info, line);
}

void ComponentLogger::warning(const std::string &line) const
{
    m_impl->write(LogLevel::Warning, line);
}

void ComponentLogger::error(const std::string &line) const
{
    m_impl->write(LogLevel::Error, line);
}

} // namespace bergamot
