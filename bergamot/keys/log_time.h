#pragma once

// Time that a fold reads out of its records, equal on every instance. Each record carries its writer's own running
// clock; a writer's clock is tied to the log time at its first record and then moves it on. So an error in a writer's
// clock never matters, only its rate does, and while nobody writes the log time stands still.
//
//     const std::chrono::milliseconds now = m_time.advance(stored.record.id, writerClock);

#include <chrono>
#include <map>
#include <string>
#include <utility>

#include <cpprest/json.h>

#include "bergamot/base/error.h"
#include "bergamot/platform/log.h"

namespace bergamot
{

/// Deterministic; not thread-safe.
class LogTime
{
public:
    /// When more incarnations of writers than this are known, all are tied to the log time anew.
    static constexpr std::size_t MaxIncarnations = 1024;

    /// The log time after a record whose writer's clock stood at `writerClock`. Never falls.
    std::chrono::milliseconds advance(const RecordId &id, std::chrono::milliseconds writerClock);
    std::chrono::milliseconds now() const;

    web::json::value toJson() const;
    Result<void> restore(const web::json::value &json);

private:
    std::chrono::milliseconds m_now{0};
    std::map<std::pair<std::string, std::uint64_t>, std::chrono::milliseconds> m_offsets; // log time - writer's clock
};

} // namespace bergamot
