// bergamot-audit: exports the log's records for an auditor, checks an export, and explains what happened.

#include <fstream>
#include <iostream>
#include <iterator>

#include "bergamot/audit/explain.h"
#include "bergamot/audit/log_export.h"
#include "bergamot/audit/verify.h"
#include "bergamot/base/settings.h"
#include "bergamot/http/threads.h"
#include "bergamot/platform/http_log.h"

namespace
{

using namespace bergamot;

enum class ExitCode {
    Success = 0,
    Found = 1, // the export does not hold
    BadUsage = 2,
    Failed = 3, // the log or a file could not be read or written
};

ExitCode fail(const Error &error)
{
    std::cerr << "bergamot-audit: " << error.message << "\n";
    return error.code == ErrorCode::InvalidArgument ? ExitCode::BadUsage : ExitCode::Failed;
}

ExitCode exportLog(const SettingsParser &parser, const std::string &file)
{
    const Result<Address> address = parseAddress(parser.text("log-address"));
    if (!address) {
        return fail({ErrorCode::InvalidArgument, "export needs --log-address IP:PORT"});
    }
    HttpClient http;
    HttpLog log(http, *address);
    std::vector<ExportedStream> streams;
    for (const std::string &name : splitList(parser.text("streams"))) {
        Result<ExportedStream> stream = readStream(log, name);
        if (!stream) {
            return fail(stream.error());
        }
        std::cout << name << ": " << stream->records.size() << " records\n";
        streams.push_back(std::move(*stream));
    }
    std::ofstream out(file, std::ios::binary);
    out << writeExport(streams);
    out.flush();
    return out ? ExitCode::Success : fail({ErrorCode::Unavailable, "cannot write " + file});
}

Result<std::vector<ExportedStream>> readFile(const std::string &file)
{
    std::ifstream in(file, std::ios::binary);
    if (!in) {
        return failure(ErrorCode::NotFound, "cannot read " + file);
    }
    return readExport(std::string(std::istreambuf_iterator<char>(in), {}));
}

ExitCode verify(const SettingsParser &parser, const std::string &file)
{
    const Result<std::vector<ExportedStream>> streams = readFile(file);
    if (!streams) {
        std::cout << "changed: " << streams.error().message << "\n";
        return streams.error().code == ErrorCode::InvalidArgument ? ExitCode::Found : ExitCode::Failed;
    }
    const std::vector<Finding> findings = verifyExport(*streams);
    for (const Finding &finding : findings) {
        std::cout << findingName(finding.kind) << ": " << finding.text << "\n";
    }
    bool holds = findings.empty();
    if (const std::string receipt = parser.text("receipt"); !receipt.empty()) {
        const Result<void> borneOut = verifyReceipt(*streams, parser.text("sample"), receipt);
        std::cout << "receipt: " << (borneOut ? "the records bear it out" : borneOut.error().message) << "\n";
        holds = holds && borneOut.has_value();
    }
    std::cout << (holds ? "The export holds.\n" : "The export does not hold.\n");
    return holds ? ExitCode::Success : ExitCode::Found;
}

ExitCode explainFile(const std::vector<std::string> &words)
{
    const std::optional<Subject> subject = words.size() == 4 ? parseSubject(words[2]) : std::nullopt;
    if (!subject) {
        return fail({ErrorCode::InvalidArgument, "write: explain FILE sample|request|plan|order NAME"});
    }
    const Result<std::vector<ExportedStream>> streams = readFile(words[1]);
    if (!streams) {
        return fail(streams.error());
    }
    for (const std::string &sentence : explain(*streams, {*subject, words[3]})) {
        std::cout << sentence << "\n";
    }
    return ExitCode::Success;
}

ExitCode runCommand(const SettingsParser &parser)
{
    const std::vector<std::string> words = parser.words("command");
    if (words.size() == 2 && words[0] == "export") {
        return exportLog(parser, words[1]);
    }
    if (words.size() == 2 && words[0] == "verify") {
        return verify(parser, words[1]);
    }
    if (!words.empty() && words[0] == "explain") {
        return explainFile(words);
    }
    return fail({ErrorCode::InvalidArgument, "write export FILE, verify FILE or explain FILE SUBJECT NAME"});
}

} // namespace

int main(int argc, char **argv)
{
    initializeHttpThreads(2);
    SettingsParser parser("bergamot-audit", "Exports, checks and explains the evidence on the platform's log.");
    parser.optional("log-address", "", "IP:PORT of the platform's log, for export.");
    parser.optional("streams", "evidence,config,duties", "Streams to export, comma-separated.");
    parser.optional("receipt", "", "A trainer's receipt, for verify.");
    parser.optional("sample", "", "The sample of that receipt: trainer/step/group/index.");
    parser.positional("command", "export FILE, verify FILE, or explain FILE sample|request|plan|order NAME.");
    const SettingsOutcome outcome = parser.parse(argc, argv);
    if (outcome.exitCode) {
        return *outcome.exitCode;
    }
    return static_cast<int>(runCommand(parser));
}
