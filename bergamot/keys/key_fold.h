#pragma once

// Idempotency keys as a fold over one domain's stream of keys. The first claim of a key in the log is the only one
// under which its request may be dispatched; the outcome that follows is the answer to every repetition.
//
//     fold.apply(stored);
//     const KeyEntry *entry = fold.find(key);

#include <chrono>
#include <map>
#include <string>

#include "bergamot/journal/fold.h"
#include "bergamot/journal/record_dedup.h"
#include "bergamot/keys/log_time.h"
#include "bergamot/protocol/generated/inner_generated.h"

namespace bergamot
{

inline constexpr std::string_view KeyClaimKind = "claim";
inline constexpr std::string_view KeyOutcomeKind = "outcome";

enum class KeyState {
    Claimed, // may be running
    Finished, // ran; its answer is kept
    Lost, // may have run; its answer is lost
};

struct KeyEntry
{
    std::string digest; // of the request's body
    std::string claimId;
    RecordId claimRecord; // its writer granted the claim
    Offset offset = 0; // of that record
    std::chrono::milliseconds claimedAt{0}; // log time
    KeyState state = KeyState::Claimed;
    std::int32_t status = 0; // of the answer, as the next three
    std::string contentType;
    std::string body;
    bool bodyOmitted = false; // it was too large to keep
};

/// Answers above this size are not kept.
inline constexpr std::size_t MaxKeptBodyBytes = 32U << 10U;

/// Payloads of the two record kinds. `writerClock` is a clock of the writer that runs on and never jumps.
std::string keyClaimPayload(const inner::KeyClaimT &claim, std::chrono::milliseconds writerClock);
std::string keyOutcomePayload(const inner::KeyOutcomeT &outcome, std::chrono::milliseconds writerClock);

/// The same on every instance.
struct KeyFoldOptions
{
    std::chrono::milliseconds window{std::chrono::hours(1)}; // of log time that a key is remembered after its claim
    std::size_t maxKeys = 20'000; // further claims are not accepted until keys expire
};

class KeyFold final : public StreamFold
{
public:
    explicit KeyFold(KeyFoldOptions options = {});

    void apply(const StoredRecord &stored) override;
    Offset applied() const override;
    std::string checkpoint() const override;
    Result<void> restore(const std::string &checkpoint, Offset offset) override;

    /// Null if the key is free.
    const KeyEntry *find(const std::string &key) const;
    bool full() const;

private:
    void claim(const StoredRecord &stored, const web::json::value &json);
    void outcome(const web::json::value &json);
    void expire();
    void insert(const std::string &key, KeyEntry entry);

    KeyFoldOptions m_options;
    std::map<std::string, KeyEntry> m_keys;
    std::map<Offset, std::string> m_byOffset; // the order of their claims, and so of their expiry
    LogTime m_time;
    RecordDedup m_dedup;
    Offset m_applied = 0;
};

} // namespace bergamot
