#include "bergamot/keys/key_fold.h"

#include <cpprest/asyncrt_utils.h>

#include "bergamot/base/json.h"

namespace bergamot
{

namespace
{

using std::chrono::milliseconds;
using web::json::value;

std::string toBase64(const std::string &bytes)
{
    return utility::conversions::to_base64(std::vector<unsigned char>(bytes.begin(), bytes.end()));
}

Result<std::string> fromBase64(const std::string &text)
{
    try {
        const std::vector<unsigned char> bytes = utility::conversions::from_base64(text);
        return std::string(bytes.begin(), bytes.end());
    } catch (const std::exception &error) {
        return failure(ErrorCode::InvalidArgument, std::string("not base64: ") + error.what());
    }
}

constexpr std::uint64_t MostStatus = 65'535; // what the HTTP library can report
constexpr std::uint64_t MostMilliseconds = 1ULL << 52U; // sums of two stay far from an overflow

milliseconds readMilliseconds(FieldReader &reader, const std::string &name)
{
    const std::uint64_t count = reader.requiredUnsigned(name);
    if (count > MostMilliseconds) {
        reader.reject(name, "must be at most " + std::to_string(MostMilliseconds));
        return milliseconds(0);
    }
    return milliseconds(count);
}

value clockJson(milliseconds writerClock)
{
    value json = value::object();
    json["clock_ms"] = value::number(static_cast<std::int64_t>(writerClock.count()));
    return json;
}

/// Fields of an answer, in outcome records and in checkpoints alike.
void writeAnswer(value &json, std::int32_t status, const std::string &contentType, const std::string &body)
{
    json["status"] = value::number(status);
    json["content_type"] = value(contentType);
    json["body"] = value(toBase64(body));
}

void readAnswer(FieldReader &reader, KeyEntry &entry)
{
    const std::uint64_t status = reader.optionalUnsigned("status", 0);
    if (status > MostStatus) {
        reader.reject("status", "must be at most " + std::to_string(MostStatus));
    }
    entry.status = static_cast<std::int32_t>(std::min(status, MostStatus));
    entry.contentType = reader.optionalString("content_type", "");
    entry.bodyOmitted = reader.optionalBool("body_omitted", false);
    Result<std::string> body = fromBase64(reader.optionalString("body", ""));
    if (!body) {
        reader.reject("body", "must be base64");
        return;
    }
    entry.body = std::move(*body);
}

constexpr std::array StateNames{std::pair{KeyState::Claimed, "claimed"},
                                std::pair{KeyState::Finished, "finished"},
                                std::pair{KeyState::Lost, "lost"}};

std::string stateName(KeyState state)
{
    return std::find_if(StateNames.begin(),
                        StateNames.end(),
                        [state](const auto &known) {
                            return known.first == state;
                        })
        ->second;
}

void readState(FieldReader &reader, KeyEntry &entry)
{
    const std::string name = reader.requiredString("state");
    const auto known = std::find_if(StateNames.begin(), StateNames.end(), [&name](const auto &one) {
        return one.second == name;
    });
    if (known == StateNames.end()) {
        reader.reject("state", "must be claimed, finished or lost");
        return;
    }
    entry.state = known->first;
}

value toJson(const std::string &key, const KeyEntry &entry)
{
    value json = value::object();
    json["key"] = value(key);
    json["digest"] = value(entry.digest);
    json["claim"] = value(entry.claimId);
    json["writer"] = value(entry.claimRecord.writer);
    json["incarnation"] = value::number(entry.claimRecord.incarnation);
    json["sequence"] = value::number(entry.claimRecord.sequence);
    json["offset"] = value::number(entry.offset);
    json["claimed_at_ms"] = value::number(static_cast<std::int64_t>(entry.claimedAt.count()));
    json["state"] = value(stateName(entry.state));
    json["body_omitted"] = value::boolean(entry.bodyOmitted);
    writeAnswer(json, entry.status, entry.contentType, entry.body);
    return json;
}

Result<std::pair<std::string, KeyEntry>> parseEntry(const value &json)
{
    FieldReader reader(json, "checkpoint.keys");
    std::pair<std::string, KeyEntry> read;
    KeyEntry &entry = read.second;
    read.first = reader.requiredString("key");
    entry.digest = reader.optionalString("digest", "");
    entry.claimId = reader.requiredString("claim");
    entry.claimRecord.writer = reader.requiredString("writer");
    entry.claimRecord.incarnation = reader.requiredUnsigned("incarnation");
    entry.claimRecord.sequence = reader.requiredUnsigned("sequence");
    entry.offset = reader.requiredUnsigned("offset");
    entry.claimedAt = readMilliseconds(reader, "claimed_at_ms");
    readState(reader, entry);
    readAnswer(reader, entry);
    if (Result<void> finished = reader.finish(); !finished) {
        return tl::unexpected(finished.error());
    }
    return read;
}

} // namespace

std::string keyClaimPayload(const inner::KeyClaimT &claim, milliseconds writerClock)
{
    value json = clockJson(writerClock);
    json["key"] = value(claim.key);
    json["digest"] = value(claim.body_digest);
    json["claim"] = value(claim.claim_id);
    return json.serialize();
}

std::string keyOutcomePayload(const inner::KeyOutcomeT &outcome, milliseconds writerClock)
{
    value json = clockJson(writerClock);
    const bool omitted = outcome.body.size() > MaxKeptBodyBytes;
    json["key"] = value(outcome.key);
    json["claim"] = value(outcome.claim_id);
    json["ran"] = value::boolean(outcome.ran);
    json["known"] = value::boolean(outcome.known);
    json["body_omitted"] = value::boolean(omitted);
    writeAnswer(json, outcome.status, outcome.content_type, omitted ? "" : outcome.body);
    return json.serialize();
}

KeyFold::KeyFold(KeyFoldOptions options)
    : m_options(options)
{ }

void KeyFold::apply(const StoredRecord &stored)
{
    m_applied = stored.offset;
    if (!m_dedup.admit(stored)) {
        return;
    }
    const bool claims = stored.record.kind == KeyClaimKind;
    if (!claims && stored.record.kind != KeyOutcomeKind) {
        return;
    }
    const Result<value> json = parseJson(stored.record.payload);
    if (!json) {
        return;
    }
    FieldReader reader(*json, "record");
    const milliseconds writerClock = readMilliseconds(reader, "clock_ms");
    if (!reader.finish()) {
        return;
    }
    m_time.advance(stored.record.id, writerClock);
    expire();
    if (claims) {
        claim(stored, *json);
    } else {
        outcome(*json);
    }
}

void KeyFold::claim(const StoredRecord &stored, const value &json)
{
    FieldReader reader(json, "record");
    const std::string key = reader.requiredString("key");
    KeyEntry entry;
    entry.digest = reader.optionalString("digest", "");
    entry.claimId = reader.requiredString("claim");
    if (!reader.finish() || m_keys.contains(key) || full()) {
        return;
    }
    entry.claimRecord = stored.record.id;
    entry.offset = stored.offset;
    entry.claimedAt = m_time.now();
    insert(key, std::move(entry));
}

void KeyFold::outcome(const value &json)
{
    FieldReader reader(json, "record");
    const auto found = m_keys.find(reader.requiredString("key"));
    const std::string claimId = reader.requiredString("claim");
    const bool ran = reader.optionalBool("ran", true);
    const bool known = reader.optionalBool("known", false);
    KeyEntry answer;
    readAnswer(reader, answer);
    if (!reader.finish() || found == m_keys.end()) {
        return;
    }
    KeyEntry &entry = found->second;
    if (entry.claimId != claimId || entry.state != KeyState::Claimed) {
        return;
    }
    if (!ran) {
        m_byOffset.erase(entry.offset);
        m_keys.erase(found);
        return;
    }
    entry.state = known ? KeyState::Finished : KeyState::Lost;
    entry.status = answer.status;
    entry.contentType = std::move(answer.contentType);
    entry.body = std::move(answer.body);
    entry.bodyOmitted = answer.bodyOmitted;
}

void KeyFold::expire()
{
    while (!m_byOffset.empty()) {
        const auto oldest = m_keys.find(m_byOffset.begin()->second);
        if (oldest->second.claimedAt + m_options.window >= m_time.now()) {
            return;
        }
        m_keys.erase(oldest);
        m_byOffset.erase(m_byOffset.begin());
    }
}

void KeyFold::insert(const std::string &key, KeyEntry entry)
{
    m_byOffset[entry.offset] = key;
    m_keys.emplace(key, std::move(entry));
}

const KeyEntry *KeyFold::find(const std::string &key) const
{
    const auto found = m_keys.find(key);
    return found == m_keys.end() ? nullptr : &found->second;
}

bool KeyFold::full() const
{
    return m_keys.size() >= m_options.maxKeys;
}

Offset KeyFold::applied() const
{
    return m_applied;
}

std::string KeyFold::checkpoint() const
{
    value keys = value::array();
    for (const auto &[key, entry] : m_keys) {
        keys[keys.size()] = toJson(key, entry);
    }
    value json = value::object();
    json["keys"] = keys;
    json["time"] = m_time.toJson();
    json["writers"] = m_dedup.toJson();
    return json.serialize();
}

Result<void> KeyFold::restore(const std::string &checkpoint, Offset offset)
{
    if (offset < m_applied) {
        return failure(ErrorCode::Conflict, "the checkpoint is older than the state here; it is ignored");
    }
    const Result<value> json = parseJson(checkpoint);
    if (!json) {
        return tl::unexpected(json.error());
    }
    FieldReader reader(*json, "checkpoint");
    KeyFold restored(m_options);
    for (const value &element : reader.optionalArray("keys")) {
        Result<std::pair<std::string, KeyEntry>> entry = parseEntry(element);
        if (!entry) {
            return tl::unexpected(entry.error());
        }
        restored.insert(entry->first, std::move(entry->second));
    }
    if (Result<void> read = restored.m_time.restore(reader.optionalObject("time")); !read) {
        return read;
    }
    if (Result<void> read = restored.m_dedup.restore(value::array(reader.optionalArray("writers"))); !read) {
        return read;
    }
    if (Result<void> read = reader.finish(); !read) {
        return read;
    }
    restored.m_applied = offset;
    *this = std::move(restored);
    return {};
}

} // namespace bergamot
