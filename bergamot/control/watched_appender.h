#pragma once

// An appender that tells when a record of this process has reached the log, so that the process reads it back at once
// instead of waiting for the next round of dissemination.
//
//     WatchedAppender appender(batching, [&](const std::string &stream, Offset offset) { node.expect(stream, offset);
//     });

#include <functional>

#include "bergamot/journal/appender.h"

namespace bergamot
{

/// Thread-safe if the appender is; `landed` runs on the thread of its callbacks, before the caller's.
class WatchedAppender final : public Appender
{
public:
    using Landed = std::function<void(const std::string &stream, Offset offset)>;

    /// `appender` outlives this.
    WatchedAppender(Appender &appender, Landed landed);

    RecordId append(const std::string &stream, std::string kind, std::string payload, Callback<Offset> done) override;

private:
    Appender &m_appender;
    Landed m_landed;
};

} // namespace bergamot
