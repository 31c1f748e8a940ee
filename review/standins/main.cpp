// review-platform: plays the platform, its consumers and trainers for the scripts of the review, and writes the record.
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.

#include <cstdio>
#include <iostream>

#include "bergamot/base/settings.h"
#include "review/standins/drain_case.h"
#include "review/standins/large_item_case.h"
#include "review/standins/lost_engine_case.h"
#include "review/standins/trap_case.h"
#include "review/standins/weights_case.h"

namespace bergamot::review
{

namespace
{

std::unique_ptr<ReviewCase> makeCase(const std::string &name,
                                     boost::asio::io_context &loop,
                                     platform::StoreStandin &store,
                                     const CaseOptions &options)
{
    if (name == "weights") {
        return std::make_unique<WeightsCase>(loop, store, options);
    }
    if (name == "drain") {
        return std::make_unique<DrainCase>(loop, store, options);
    }
    if (name == "large-item") {
        return std::make_unique<LargeItemCase>(loop, store, options);
    }
    if (name == "lost-engine") {
        return std::make_unique<LostEngineCase>(loop, store, options);
    }
    if (name == "trap") {
        return std::make_unique<TrapCase>(loop, store, options);
    }
    return nullptr;
}

int run(int argc, char **argv)
{
    SettingsParser parser("review-platform", "Plays the platform and its callers for a case of the review.");
    parser.require("case", "Name of the case.");
    parser.require("store", "IP:PORT of the store.", checkAddress);
    parser.require("nodes", "Caller-facing IP:PORT of each node, separated by commas.", checkAddressList);
    parser.require("ready", "IP:PORT for readiness of each node, separated by commas.", checkAddressList);
    parser.flag("trouble", "Cause the disruption.");
    const int notRun = static_cast<int>(Verdict::NotRun);
    if (parser.parse(argc, argv).exitCode) {
        return notRun;
    }
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    boost::asio::io_context loop(1);
    platform::StoreStandin store(loop, 1);
    if (!store.listen(*parseAddress(parser.text("store")))) {
        return notRun;
    }
    CaseOptions options{.trouble = parser.isSet("trouble")};
    const std::vector<std::string> ready = splitList(parser.text("ready"));
    for (const std::string &node : splitList(parser.text("nodes"))) {
        options.nodes.push_back(
            {.callers = *parseAddress(node), .ready = *parseAddress(ready.at(options.nodes.size()))});
    }
    std::printf("store ready\n");
    for (NodeProcess &node : options.nodes) { // the script starts the nodes and tells their process ids
        if (!(std::cin >> node.pid)) {
            return notRun;
        }
    }
    const std::unique_ptr<ReviewCase> reviewCase = makeCase(parser.text("case"), loop, store, options);
    if (reviewCase == nullptr) {
        return notRun;
    }
    reviewCase->start();
    loop.run();
    return static_cast<int>(reviewCase->result());
}

} // namespace

} // namespace bergamot::review

int main(int argc, char **argv)
{
    return bergamot::review::run(argc, argv);
}
