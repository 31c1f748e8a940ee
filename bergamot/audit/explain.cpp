#include "bergamot/audit/explain.h"

#include <array>
#include <set>

#include "bergamot/base/json.h"
#include "bergamot/evidence/evidence_chain.h"
#include "bergamot/intents/configuration_fold.h"

namespace bergamot
{

namespace
{

using web::json::value;

/// How one kind of evidence reads. Words in braces are replaced by the record's fields.
struct Sentence
{
    std::string_view kind;
    std::string_view text;
};

constexpr std::array Sentences{
    Sentence{"step-handed-in", "Step {step} was handed in with {samples} samples."},
    Sentence{
        "sample-discarded",
        "A generation of sample {sample} by engine {engine} (request {request}) was discarded and replaced: {reason}."},
    Sentence{"sample-moved", "Sample {sample} was moved away from engine {from}: {reason}."},
    Sentence{"spare-started",
             "A spare copy of sample {sample} was started on engine {engine} beside request {for}; the first whole one "
             "wins."},
    Sentence{"sample-failed", "Sample {sample} was given up and its trainer told: {reason}."},
    Sentence{"sample-not-scored", "Sample {sample} was handed over without a score: {reason}."},
    Sentence{"engine-died", "Engine {engine} died while it made sample {sample}; every group it ran became a suspect."},
    Sentence{"sample-handed-over",
             "Sample {sample} was handed over to its trainer. Engine {engine} made it (request {request}) with "
             "version:tokens {spans}. It was {staleness} versions behind; the bound was {bound}."},
    Sentence{"order-sent",
             "Engine {engine} was ordered to version {version} of model {model}, role {role}, under duty {duty} with "
             "fencing number {fencing}: {reason}."},
    Sentence{"order-answered",
             "Engine {engine} answered the order to version {version} under fencing number {fencing}: {reason}."},
    Sentence{
        "order-after-lease",
        "The answer of engine {engine} to the order under fencing number {fencing} came after the lease: {reason}."},
    Sentence{"evidence-lost", "The instance could not keep {count} records."},
};

struct Event
{
    std::string chain; // instance and incarnation
    value record;
};

std::string fieldText(const value &record, const std::string &name)
{
    if (!record.is_object() || !record.has_field(name)) {
        return "?";
    }
    const value &field = record.at(name);
    return field.is_string() ? field.as_string() : field.serialize();
}

std::string fill(std::string_view text, const value &record)
{
    std::string result;
    while (!text.empty()) {
        const std::size_t open = text.find('{');
        result += text.substr(0, open);
        if (open == std::string_view::npos) {
            break;
        }
        const std::size_t close = text.find('}', open);
        result += fieldText(record, std::string(text.substr(open + 1, close - open - 1)));
        text = text.substr(close + 1);
    }
    return result;
}

std::string sentenceOf(const Event &event)
{
    const std::string kind = fieldText(event.record, "kind");
    const auto known = std::find_if(Sentences.begin(), Sentences.end(), [&](const Sentence &sentence) {
        return sentence.kind == kind;
    });
    const std::string said =
        known == Sentences.end() ? kind + ": " + event.record.serialize() : fill(known->text, event.record);
    return said + " [" + event.chain + ", record " + fieldText(event.record, "sequence") + ", at "
        + fieldText(event.record, "at_ms") + " ms]";
}

/// A hand-over tells of many samples; each becomes an event of its own, with what the record says of all.
void addHandedOver(const Event &event, std::vector<Event> &events)
{
    FieldReader reader(event.record, "record");
    for (value sample : reader.optionalArray("samples")) {
        if (!sample.is_object()) {
            continue;
        }
        for (const char *name : {"sequence", "at_ms", "bound", "newest", "step"}) {
            sample[name] = event.record.has_field(name) ? event.record.at(name) : value::null();
        }
        sample["kind"] = value::string("sample-handed-over");
        events.push_back({event.chain, std::move(sample)});
    }
}

void addBatch(const value &batch, std::vector<Event> &events)
{
    FieldReader reader(batch, "batch");
    const std::string chain = fieldText(batch, "instance") + "/" + fieldText(batch, "incarnation");
    for (const value &record : reader.optionalArray("records")) {
        if (fieldText(record, "kind") == "samples-handed-over") {
            addHandedOver({chain, record}, events);
        } else {
            events.push_back({chain, record});
        }
    }
}

std::vector<Event> readEvents(const std::vector<ExportedStream> &streams)
{
    std::vector<Event> events;
    std::set<std::string> seen; // a batch may stand in the log twice
    for (const ExportedStream &stream : streams) {
        for (const StoredRecord &stored : stream.records) {
            const bool batch = stream.stream == EvidenceStream && stored.record.kind == EvidenceBatchKind;
            const Result<value> json = batch ? parseJson(stored.record.payload) : Result<value>();
            if (batch && json && seen.insert(fieldText(*json, "hash")).second) {
                addBatch(*json, events);
            }
        }
    }
    return events;
}

std::string stepOf(const std::string &sample)
{
    const std::size_t index = sample.rfind('/');
    const std::size_t group = index == std::string::npos || index == 0 ? index : sample.rfind('/', index - 1);
    return sample.substr(0, group);
}

bool concerns(const value &record, const Question &question)
{
    const std::string kind = fieldText(record, "kind");
    switch (question.subject) {
    case Subject::Sample:
        return fieldText(record, "sample") == question.name
            || (kind == "step-handed-in" && fieldText(record, "step") == stepOf(question.name));
    case Subject::Request:
        return fieldText(record, "request") == question.name || fieldText(record, "for") == question.name;
    case Subject::Order:
        return kind.starts_with("order-") && fieldText(record, "engine") == question.name;
    case Subject::Plan:
        return false;
    }
    return false;
}

std::vector<std::string> explainPlanOf(const std::vector<ExportedStream> &streams, const std::string &plan)
{
    ConfigurationFold fold;
    for (const ExportedStream &stream : streams) {
        if (stream.stream != ConfigurationStream) {
            continue;
        }
        for (const StoredRecord &stored : stream.records) {
            fold.apply(stored);
        }
    }
    const PlanEntry *entry = fold.findPlan(PlanId(plan));
    return entry == nullptr ? std::vector<std::string>() : explainPlan(*entry);
}

} // namespace

std::optional<Subject> parseSubject(std::string_view word)
{
    constexpr std::array Words{std::pair{std::string_view("sample"), Subject::Sample},
                               std::pair{std::string_view("request"), Subject::Request},
                               std::pair{std::string_view("plan"), Subject::Plan},
                               std::pair{std::string_view("order"), Subject::Order}};
    for (const auto &[name, subject] : Words) {
        if (name == word) {
            return subject;
        }
    }
    return std::nullopt;
}

std::vector<std::string> explain(const std::vector<ExportedStream> &streams, const Question &question)
{
    std::vector<std::string> sentences;
    if (question.subject == Subject::Plan) {
        sentences = explainPlanOf(streams, question.name);
    } else {
        for (const Event &event : readEvents(streams)) {
            if (concerns(event.record, question)) {
                sentences.push_back(sentenceOf(event));
            }
        }
    }
    if (sentences.empty()) {
        sentences.push_back("The records of this export do not mention " + question.name + ".");
    }
    return sentences;
}

} // namespace bergamot
