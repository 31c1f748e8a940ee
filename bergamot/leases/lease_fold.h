#pragma once

// Who holds which duty, as a fold over the stream "duties". A claim names, for each duty, the offset of the record that
// it supersedes; it is accepted only if that is still the duty's latest record, so of two claims the first in the log
// wins. A holder's own claim renews its lease and keeps the fencing number. A second copy of a record names an offset
// that is the latest one no more, so it needs no further check.
//
//     fold.apply(stored);
//     const LeaseEntry *entry = fold.find(duty);

#include <map>
#include <string>
#include <vector>

#include "bergamot/journal/fold.h"

namespace bergamot
{

/// The stream of claims and releases.
inline constexpr std::string_view DutiesStream = "duties";
inline constexpr std::string_view ClaimKind = "claim";
inline constexpr std::string_view ReleaseKind = "release";

/// One duty in a claim or a release.
struct DutyStep
{
    DutyId duty;
    Offset supersedes = 0; // the duty's latest record, 0 if it has none

    bool operator==(const DutyStep &) const = default;
};

/// Payload of a "claim" or "release" record; the writer of the record is the holder.
std::string dutiesPayload(const std::vector<DutyStep> &steps);

struct LeaseEntry
{
    RecordId latestRecord; // its writer and incarnation hold the duty
    Offset latest = 0; // offset of that record
    FencingNumber fencing = 0; // offset of the claim that made it the holder
    bool released = false; // handed back; free at once

    bool operator==(const LeaseEntry &) const = default;
};

class LeaseFold final : public StreamFold
{
public:
    /// Claims for further duties are not accepted.
    static constexpr std::size_t MaxDuties = 4096;

    void apply(const StoredRecord &stored) override;
    Offset applied() const override;
    std::string checkpoint() const override;
    Result<void> restore(const std::string &checkpoint, Offset offset) override;

    /// Null if the duty was never claimed.
    const LeaseEntry *find(const DutyId &duty) const;
    const std::map<DutyId, LeaseEntry> &duties() const;

private:
    void claim(const DutyStep &step, const StoredRecord &stored);
    void release(const DutyStep &step, const StoredRecord &stored);

    std::map<DutyId, LeaseEntry> m_duties;
    Offset m_applied = 0;
};

} // namespace bergamot
