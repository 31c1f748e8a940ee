#pragma once

// The keys of every home domain for which this instance may claim: its own, and any other domain of which no instance
// is left. Each home has its stream, fold, reader and service; they are made when they are first needed.
//
//     KeyHomes homes({writer, incarnation}, {loop, clock, log, appender});
//     homes.setCommitting(home, isCommitter); // about every 100 ms
//     homes.service(home).claim(claim, done);
//     homes.tick();

#include <map>
#include <memory>
#include <string>

#include "bergamot/control/keys_tail.h"
#include "bergamot/keys/key_placement.h"
#include "bergamot/keys/key_service.h"

namespace bergamot
{

struct KeyHomesOptions
{
    std::string writer; // the appender's
    std::uint64_t incarnation = 0; // the appender's
    LogTailOptions logTail;
};

/// Confined to the thread of the loop.
class KeyHomes
{
public:
    KeyHomes(KeyHomesOptions options, KeysTailParts parts);
    ~KeyHomes();
    KeyHomes(const KeyHomes &) = delete;
    KeyHomes &operator=(const KeyHomes &) = delete;

    /// Starts or stops reading the home's stream; claims are refused as not run until it was read to its end.
    void setCommitting(const FailureDomainId &home, bool isCommitter);
    KeyService &service(const FailureDomainId &home);
    void tick();
    /// A record of this process is on the log. False if the stream is not one of keys that is read here.
    bool landed(const std::string &stream);

private:
    struct Home;

    Home &home(const FailureDomainId &home);

    KeyHomesOptions m_options;
    KeysTailParts m_parts;
    std::map<FailureDomainId, std::unique_ptr<Home>> m_homes;
};

} // namespace bergamot
