#include "bergamot/control/watched_appender.h"

namespace bergamot
{

WatchedAppender::WatchedAppender(Appender &appender, Landed landed)
    : m_appender(appender)
    , m_landed(std::move(landed))
{ }

RecordId
WatchedAppender::append(const std::string &stream, std::string kind, std::string payload, Callback<Offset> done)
{
    return m_appender.append(stream,
                             std::move(kind),
                             std::move(payload),
                             [landed = m_landed, stream, done = std::move(done)](Result<Offset> offset) {
                                 if (offset) {
                                     landed(stream, *offset);
                                 }
                                 if (done) {
                                     done(std::move(offset));
                                 }
                             });
}

} // namespace bergamot
