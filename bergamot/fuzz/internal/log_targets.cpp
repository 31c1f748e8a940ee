#include "bergamot/base/json.h"
#include "bergamot/fuzz/internal/target_groups.h"
#include "bergamot/intents/configuration_fold.h"
#include "bergamot/journal/stream_follower.h"
#include "bergamot/keys/key_fold.h"
#include "bergamot/leases/lease_fold.h"

namespace bergamot::fuzz_internal
{

namespace
{

using web::json::value;

/// An input is the kind of a record, a space and its payload.
Record recordOf(std::string_view input, std::uint64_t sequence)
{
    const std::size_t space = std::min(input.find(' '), input.size());
    return {{"w", 1, sequence},
            std::string(input.substr(0, space)),
            std::string(input.substr(std::min(space + 1, input.size())))};
}

constexpr std::string_view UnreadableRecord = "no-kind {}";

/// Whatever a record holds: a fold goes on past it, writes a checkpoint that restores to the same, and still takes the
/// valid record that follows.
template<typename Fold>
FuzzVerdict judgeRecord(std::string_view input, std::string_view before, std::string_view after)
{
    Fold unmoved;
    unmoved.apply({1, recordOf(before, 1)});
    unmoved.apply({2, recordOf(UnreadableRecord, 2)});
    Fold fold;
    fold.apply({1, recordOf(before, 1)});
    fold.apply({2, recordOf(input, 2)});
    const std::string touched = fold.checkpoint();
    Fold restored;
    if (!restored.restore(touched, fold.applied()) || restored.checkpoint() != touched) {
        return FuzzVerdict::Broken;
    }
    fold.apply({3, recordOf(after, 3)});
    restored.apply({3, recordOf(after, 3)});
    if (fold.applied() != 3 || fold.checkpoint() != restored.checkpoint()) {
        return FuzzVerdict::Broken;
    }
    return touched == unmoved.checkpoint() ? FuzzVerdict::Refused : FuzzVerdict::Accepted;
}

std::string intentRecord(const std::string &id)
{
    const Result<Intent> intent =
        parseIntent(*parseJson(R"({"id":")" + id + R"(","operator":"op","set":{"models":{"m":{"version":3}}}})"));
    return "intent " + intentPayload(*intent, 0, value::object(), {"a warning"});
}

std::string confirmRecord(const std::string &id)
{
    return "confirm " + confirmPayload(planIdOf(IntentId(id)), "op");
}

std::string claimRecord(const std::string &key)
{
    inner::KeyClaimT claim;
    claim.key = key;
    claim.claim_id = "c-" + key;
    claim.body_digest = "d";
    return std::string(KeyClaimKind) + " " + keyClaimPayload(claim, std::chrono::milliseconds(1000));
}

std::string outcomeRecord(const std::string &key)
{
    inner::KeyOutcomeT outcome;
    outcome.key = key;
    outcome.claim_id = "c-" + key;
    outcome.ran = true;
    outcome.known = true;
    outcome.status = 200;
    outcome.content_type = "application/json";
    outcome.body = "{}";
    return std::string(KeyOutcomeKind) + " " + keyOutcomePayload(outcome, std::chrono::milliseconds(2000));
}

std::string dutyRecord(std::string_view kind, const std::string &duty, Offset supersedes)
{
    return std::string(kind) + " " + dutiesPayload({{DutyId(duty), supersedes}});
}

FuzzVerdict judgeConfiguration(std::string_view input)
{
    static const std::string before = intentRecord("a");
    static const std::string after = confirmRecord("a");
    return judgeRecord<ConfigurationFold>(input, before, after);
}

FuzzVerdict judgeKeys(std::string_view input)
{
    static const std::string before = claimRecord("k");
    static const std::string after = claimRecord("z");
    return judgeRecord<KeyFold>(input, before, after);
}

FuzzVerdict judgeDuties(std::string_view input)
{
    static const std::string before = dutyRecord(ClaimKind, "d", 0);
    static const std::string after = dutyRecord(ClaimKind, "z", 0);
    return judgeRecord<LeaseFold>(input, before, after);
}

FuzzVerdict judgeCheckpoint(std::string_view input)
{
    const Result<CheckpointPart> part = parseCheckpointPart(std::string(input));
    if (!part) {
        return refused(part.error());
    }
    CheckpointAssembler assembler;
    const std::optional<StreamCheckpoint> checkpoint = assembler.add(*part);
    if (!checkpoint) {
        return acceptedIf(part->parts > 1);
    }
    if (!isIntact(*checkpoint, part->hash)) {
        return refused({ErrorCode::InvalidArgument, "checkpoint.hash does not fit", std::nullopt});
    }
    const Result<CheckpointPart> again = parseCheckpointPart(checkpointPayloads(*checkpoint, input.size()).front());
    return acceptedIf(again && again->hash == part->hash && again->state == part->state);
}

/// A state is refused as a whole, or one that is written again restores to the same.
template<typename Fold>
FuzzVerdict judgeState(std::string_view input)
{
    Fold fold;
    const std::string empty = fold.checkpoint();
    const Result<void> restored = fold.restore(std::string(input), 9);
    if (!restored) {
        return fold.checkpoint() == empty ? refused(restored.error()) : FuzzVerdict::Broken;
    }
    Fold again;
    return acceptedIf(again.restore(fold.checkpoint(), 9) && again.checkpoint() == fold.checkpoint());
}

template<typename Fold>
std::string stateAfter(const std::vector<std::string> &records)
{
    Fold fold;
    for (std::size_t index = 0; index < records.size(); ++index) {
        fold.apply({index + 1, recordOf(records[index], index + 1)});
    }
    return fold.checkpoint();
}

} // namespace

std::vector<FuzzTarget> logTargets()
{
    const std::string configuration = stateAfter<ConfigurationFold>({intentRecord("a"), confirmRecord("a")});
    const std::string keys = stateAfter<KeyFold>({claimRecord("k"), outcomeRecord("k"), claimRecord("l")});
    const std::string duties = stateAfter<LeaseFold>({dutyRecord(ClaimKind, "d", 0), dutyRecord(ReleaseKind, "d", 1)});
    return {{"configurationRecords", {intentRecord("b"), confirmRecord("a")}, judgeConfiguration},
            {"keyRecords", {claimRecord("l"), outcomeRecord("k")}, judgeKeys},
            {"dutyRecords", {dutyRecord(ClaimKind, "e", 0), dutyRecord(ReleaseKind, "d", 1)}, judgeDuties},
            {"checkpoints", checkpointPayloads({7, keys}), judgeCheckpoint},
            {"checkpointParts", checkpointPayloads({7, keys}, 100), judgeCheckpoint},
            {"configurationState", {configuration}, judgeState<ConfigurationFold>},
            {"keyState", {keys}, judgeState<KeyFold>},
            {"dutyState", {duties}, judgeState<LeaseFold>}};
}

} // namespace bergamot::fuzz_internal
