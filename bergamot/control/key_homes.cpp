#include "bergamot/control/key_homes.h"

namespace bergamot
{

struct KeyHomes::Home
{
    Home(const KeyHomesOptions &options, const KeysTailParts &parts, const std::string &stream)
        : tail({stream, options.logTail},
               fold,
               parts,
               [this] {
                   service.onApplied();
               })
        , service({.writer = options.writer, .incarnation = options.incarnation, .stream = stream},
                  parts.loop,
                  parts.clock,
                  parts.appender,
                  fold,
                  [this] {
                      return tail.isCaughtUp();
                  })
    { }

    KeyFold fold;
    KeysTail tail;
    KeyService service;
};

KeyHomes::KeyHomes(KeyHomesOptions options, KeysTailParts parts)
    : m_options(std::move(options))
    , m_parts(parts)
{ }

KeyHomes::~KeyHomes() = default;

KeyHomes::Home &KeyHomes::home(const FailureDomainId &domain)
{
    std::unique_ptr<Home> &found = m_homes[domain];
    if (!found) {
        found = std::make_unique<Home>(m_options, m_parts, keysStream(domain));
    }
    return *found;
}

void KeyHomes::setCommitting(const FailureDomainId &domain, bool isCommitter)
{
    if (isCommitter || m_homes.contains(domain)) {
        home(domain).tail.setActive(isCommitter);
    }
}

KeyService &KeyHomes::service(const FailureDomainId &domain)
{
    return home(domain).service;
}

void KeyHomes::tick()
{
    for (const auto &[domain, home] : m_homes) {
        home->tail.tick();
        home->service.tick();
    }
}

bool KeyHomes::landed(const std::string &stream)
{
    for (const auto &[domain, home] : m_homes) {
        if (keysStream(domain) == stream) {
            home->tail.readSoon();
            return true;
        }
    }
    return false;
}

} // namespace bergamot
