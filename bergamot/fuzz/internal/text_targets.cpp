#include <iostream>
#include <sstream>

#include "bergamot/audit/export_file.h"
#include "bergamot/base/settings.h"
#include "bergamot/evidence/sample_receipt.h"
#include "bergamot/fuzz/internal/target_groups.h"
#include "bergamot/load/scenario.h"
#include "bergamot/protocol/frame.h"

namespace bergamot::fuzz_internal
{

namespace
{

constexpr std::size_t MostFrameBytes = 64U << 10U;

std::string claimFrame()
{
    inner::KeyClaimT claim;
    claim.key = "lot-7";
    claim.body_digest = "abc";
    inner::BodyUnion body;
    body.Set(std::move(claim));
    return encodeFrame(makeFrame({"i1", "east"}, 9, std::move(body)));
}

std::string viewFrame()
{
    auto endpoint = std::make_unique<inner::EndpointT>();
    endpoint->id = "e1";
    endpoint->serves = "agent";
    endpoint->domain = "east";
    endpoint->address = "127.0.0.1:80";
    inner::ViewT view;
    view.configuration = "{}";
    view.endpoints.push_back(std::move(endpoint));
    inner::BodyUnion body;
    body.Set(std::move(view));
    return encodeFrame(makeFrame({"i2", "west"}, 10, std::move(body)));
}

/// A byte stream, as a connection reads it: frames are cut out until one is refused.
FuzzVerdict judgeFrames(std::string_view input)
{
    FrameSplitter splitter(MostFrameBytes);
    splitter.feed(input);
    FuzzVerdict verdict = FuzzVerdict::Refused; // nothing whole has come
    while (true) {
        const Result<std::optional<std::string>> payload = splitter.next();
        if (!payload) {
            return refused(payload.error());
        }
        if (!payload->has_value()) {
            return verdict;
        }
        const Result<inner::FrameT> frame = decodeFrame(**payload);
        if (!frame) {
            return refused(frame.error());
        }
        const Result<inner::FrameT> again = decodeFrame(std::string_view(encodeFrame(*frame)).substr(FrameLengthBytes));
        verdict = acceptedIf(again && encodeFrame(*again) == encodeFrame(*frame));
        if (verdict == FuzzVerdict::Broken) {
            return verdict;
        }
    }
}

/// Keeps what a parser prints to itself.
class Silenced
{
public:
    Silenced()
        : m_out(std::cout.rdbuf(m_text.rdbuf()))
        , m_error(std::cerr.rdbuf(m_text.rdbuf()))
    { }

    ~Silenced()
    {
        std::cout.rdbuf(m_out);
        std::cerr.rdbuf(m_error);
    }

    Silenced(const Silenced &) = delete;
    Silenced &operator=(const Silenced &) = delete;

private:
    std::ostringstream m_text;
    std::streambuf *m_out;
    std::streambuf *m_error;
};

/// One argument on each line.
FuzzVerdict judgeSettings(std::string_view input)
{
    const Silenced silenced;
    SettingsParser parser("bergamot-fuzzed", "A program with a setting of each kind.");
    parser.require("listen-address", "Where callers connect.", checkAddress);
    parser.optional("peers", "", "Addresses, comma-separated.", checkAddressList);
    parser.optional("max-requests", "4096", "A number.", checkUnsigned);
    parser.flag("verbose", "A flag.");
    parser.positional("command", "Words.");
    std::vector<std::string> lines{"bergamot-fuzzed"};
    std::istringstream stream{std::string(input)};
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(line);
    }
    std::vector<const char *> arguments;
    arguments.reserve(lines.size());
    for (const std::string &line : lines) {
        arguments.push_back(line.c_str());
    }
    const SettingsOutcome outcome = parser.parse(static_cast<int>(arguments.size()), arguments.data());
    if (outcome.exitCode) {
        const bool known = *outcome.exitCode == 0 || *outcome.exitCode == 2;
        return known ? FuzzVerdict::Refused : FuzzVerdict::Broken;
    }
    return acceptedIf(checkAddress(parser.text("listen-address")).empty()
                      && checkAddressList(parser.text("peers")).empty()
                      && checkUnsigned(parser.text("max-requests")).empty());
}

bool isWithinBounds(const Scenario &scenario)
{
    const bool callersFit = std::all_of(scenario.callers.begin(), scenario.callers.end(), [](const auto &caller) {
        return caller.ratePerSecond > 0 && caller.deadline.count() > 0 && !caller.target.empty();
    });
    return callersFit && std::all_of(scenario.trainers.begin(), scenario.trainers.end(), [](const auto &trainer) {
               return trainer.groups > 0 && trainer.samplesPerGroup > 0 && !trainer.model.value().empty();
           });
}

FuzzVerdict judgeScenario(std::string_view input)
{
    const Result<Scenario> scenario = parseScenario(input);
    return scenario ? acceptedIf(isWithinBounds(*scenario)) : refused(scenario.error());
}

FuzzVerdict judgeExport(std::string_view input)
{
    const Result<std::vector<ExportedStream>> streams = readExport(input);
    if (!streams) {
        return refused(streams.error());
    }
    const Result<std::vector<ExportedStream>> again = readExport(writeExport(*streams));
    return acceptedIf(again && *again == *streams);
}

FuzzVerdict judgeReceipt(std::string_view input)
{
    const Result<SampleReceipt> receipt = parseReceipt(input);
    if (!receipt) {
        return refused(receipt.error());
    }
    const Result<SampleReceipt> again = parseReceipt(toText(*receipt));
    return acceptedIf(again && *again == *receipt);
}

std::string validExport()
{
    const Record record{{"i1", 7, 1}, "intent", R"({"a":1})"};
    return writeExport({{.stream = "config", .first = 3, .end = 5, .records = {{3, record}, {4, record}}}});
}

constexpr std::string_view ValidScenario = R"({"seed":3,"duration_ms":500,"entries":["127.0.0.1:1"],
    "controls":["127.0.0.1:2"],"callers":[{"tenant":"t","class":"interactive","kind":"stock","target":"s",
    "rate_per_second":5}],"trainers":[{"trainer":"t","model":"m","steps":2,"groups":2,"samples_per_group":4}]})";

} // namespace

std::vector<FuzzTarget> textTargets()
{
    const std::string receipt = toText(makeReceipt("quotes/1/0/0", "digest", "4:10", {"i1", 7, 2}));
    return {{"frames", {claimFrame(), viewFrame(), claimFrame() + viewFrame()}, judgeFrames},
            {"settings",
             {"--listen-address=127.0.0.1:80\n--max-requests=5\nexport\nfile",
              "--listen-address\n127.0.0.1:80\n--verbose\n--peers=127.0.0.1:1,127.0.0.1:2"},
             judgeSettings},
            {"scenario", {std::string(ValidScenario)}, judgeScenario},
            {"auditExport", {validExport()}, judgeExport},
            {"receipt", {receipt}, judgeReceipt}};
}

} // namespace bergamot::fuzz_internal
