#pragma once

// Says in plain words, from the records of an export alone, what happened to a sample, a request, a plan or an engine.
//
//     for (const std::string &sentence : explain(streams, {Subject::Sample, "quotes/12/3/0"})) { ... }

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bergamot/audit/export_file.h"

namespace bergamot
{

enum class Subject {
    Sample, // "trainer/step/group/index"
    Request, // the id of one attempt at an engine
    Plan,
    Order, // every order to one engine
};

/// Reads "sample", "request", "plan" or "order".
std::optional<Subject> parseSubject(std::string_view word);

struct Question
{
    Subject subject = Subject::Sample;
    std::string name;
};

/// Sentences in the order of the log; one that says so if the records do not mention the subject.
std::vector<std::string> explain(const std::vector<ExportedStream> &streams, const Question &question);

} // namespace bergamot
