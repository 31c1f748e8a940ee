#pragma once

// Computes the holder of each duty by folding the stream "duties". A claim names, for each duty, the offset of the
// record that it supersedes. It is accepted only if that is still the duty's latest record, so the first of two
// competing claims in the log wins. A claim by the current holder renews its lease and keeps the fencing number. A
// duplicate of a record names an offset that is no longer the latest one, so duplicates are rejected without a separate
// check.
//
//     fold.apply(stored);
//     const LeaseEntry *entry = fold.find(duty);

#include <map>
#include <string>
#include <vector>

#include "bergamot/journal/fold.h"

namespace bergamot
{

/// Name of the stream of claims and releases.
inline constexpr std::string_view DutiesStream = "duties";
inline constexpr std::string_view ClaimKind = "claim";
inline constexpr std::string_view ReleaseKind = "release";

/// One duty in a claim or a release.
struct DutyUpdate
{
    DutyId duty;
    Offset supersedes = 0; // offset of the duty's latest record; 0 if it has none

    bool operator==(const DutyUpdate &) const = default;
};

/// Builds the JSON payload of a "claim" or "release" record. The writer of the record is the holder.
std::string dutiesPayload(const std::vector<DutyUpdate> &updates);

/// The latest accepted record of one duty.
struct LeaseEntry
{
    RecordId latestRecord; // its writer and incarnation identify the holder
    Offset latest = 0; // offset of `latestRecord`
    FencingNumber fencing = 0; // offset of the claim by which the holder gained the duty
    bool released = false; // any process may claim the duty immediately

    bool operator==(const LeaseEntry &) const = default;
};

/// Not thread-safe. Records of other kinds and payloads that cannot be parsed have no effect.
class LeaseFold final : public StreamFold
{
public:
    /// Maximum number of duties; claims of additional duties are rejected.
    static constexpr std::size_t MaxDuties = 4096;

    void apply(const StoredRecord &stored) override;
    Offset applied() const override;
    std::string checkpoint() const override;
    Result<void> restore(const std::string &checkpoint, Offset offset) override;

    /// Null if the duty has never been claimed. The pointer is valid until the next `apply` or `restore`.
    const LeaseEntry *find(const DutyId &duty) const;
    const std::map<DutyId, LeaseEntry> &duties() const;

private:
    void claim(const DutyUpdate &update, const StoredRecord &stored);
    void release(const DutyUpdate &update, const StoredRecord &stored);

    std::map<DutyId, LeaseEntry> m_duties;
    Offset m_applied = 0;
};

} // namespace bergamot
