#include "bergamot/load/report.h"

#include <iomanip>
#include <sstream>

namespace bergamot
{

namespace
{

constexpr int NameWidth = 54;
constexpr int NumberWidth = 12;

Promise promiseAt(std::size_t index)
{
    return static_cast<Promise>(index);
}

double idlePercent(const TrainerMeasures &trainer)
{
    if (trainer.total == Duration::zero()) {
        return 0;
    }
    return 100.0 * static_cast<double>(trainer.idle.count()) / static_cast<double>(trainer.total.count());
}

void writePromises(std::ostream &out, const PromiseLedger &ledger)
{
    out << std::left << std::setw(NameWidth) << "promise" << std::right << std::setw(NumberWidth) << "checks"
        << std::setw(NumberWidth) << "violations"
        << "\n";
    for (std::size_t i = 0; i < PromiseCount; ++i) {
        const PromiseCounts counts = ledger.counts(promiseAt(i));
        out << std::left << std::setw(NameWidth) << promiseName(promiseAt(i)) << std::right << std::setw(NumberWidth)
            << counts.checks << std::setw(NumberWidth) << counts.violations << "\n";
        for (const std::string &example : counts.examples) {
            out << "    " << example << "\n";
        }
    }
}

void writeLatencies(std::ostream &out, const Measures &measures)
{
    const auto outcomes = measures.outcomes();
    const auto latencies = measures.latencies();
    out << "\n"
        << std::left << std::setw(NameWidth) << "tenant and class" << std::right << std::setw(NumberWidth) << "answered"
        << std::setw(NumberWidth) << "p50 ms" << std::setw(NumberWidth) << "p99 ms"
        << "   outcomes\n";
    for (const auto &[key, counts] : outcomes) {
        const auto found = latencies.find(key);
        const Distribution latency = distributionOf(found == latencies.end() ? std::vector<double>() : found->second);
        out << std::left << std::setw(NameWidth) << key.tenant + " " + key.requestClass << std::right
            << std::setw(NumberWidth) << latency.count << std::setw(NumberWidth) << latency.p50
            << std::setw(NumberWidth) << latency.p99 << "  ";
        for (const auto &[outcome, count] : counts) {
            out << " " << outcome << "=" << count;
        }
        out << "\n";
    }
    for (const auto &[key, reasons] : measures.unansweredReasons()) {
        for (const std::string &reason : reasons) {
            out << "    " << key.tenant << " " << key.requestClass << " " << reason << "\n";
        }
    }
}

void writeTrainers(std::ostream &out, const Measures &measures)
{
    out << "\n"
        << std::left << std::setw(NameWidth) << "trainer" << std::right << std::setw(NumberWidth) << "samples"
        << std::setw(NumberWidth) << "idle %" << std::setw(NumberWidth) << "stale mean" << std::setw(NumberWidth)
        << "stale max" << std::setw(NumberWidth) << "given up"
        << "\n";
    for (const auto &[name, trainer] : measures.trainers()) {
        const Distribution staleness = distributionOf(trainer.staleness);
        out << std::left << std::setw(NameWidth) << name + (trainer.finished ? "" : " (steps not whole)") << std::right
            << std::setw(NumberWidth) << trainer.samples << std::setw(NumberWidth) << idlePercent(trainer)
            << std::setw(NumberWidth) << staleness.mean << std::setw(NumberWidth) << staleness.max
            << std::setw(NumberWidth) << trainer.failed << "\n";
    }
    const Distribution spread = distributionOf(measures.configurationSpreads());
    out << "\nconfiguration in force everywhere after, ms: changes " << spread.count << ", p50 " << spread.p50
        << ", max " << spread.max << "\n";
}

web::json::value toJson(const Distribution &distribution)
{
    web::json::value json = web::json::value::object();
    json["count"] = web::json::value(static_cast<std::uint64_t>(distribution.count));
    json["mean"] = web::json::value(distribution.mean);
    json["p50"] = web::json::value(distribution.p50);
    json["p99"] = web::json::value(distribution.p99);
    json["max"] = web::json::value(distribution.max);
    return json;
}

web::json::value toJson(const std::vector<std::string> &texts)
{
    web::json::value json = web::json::value::array(texts.size());
    for (std::size_t i = 0; i < texts.size(); ++i) {
        json[i] = web::json::value(texts[i]);
    }
    return json;
}

web::json::value toJson(const PromiseCounts &counts)
{
    web::json::value json = web::json::value::object();
    json["checks"] = web::json::value(counts.checks);
    json["violations"] = web::json::value(counts.violations);
    json["examples"] = toJson(counts.examples);
    return json;
}

web::json::value toJson(const TrainerMeasures &trainer)
{
    web::json::value json = web::json::value::object();
    json["finished"] = web::json::value(trainer.finished);
    json["samples"] = web::json::value(trainer.samples);
    json["lost_draws"] = web::json::value(trainer.lostDraws);
    json["given_up"] = web::json::value(trainer.failed);
    json["idle_percent"] = web::json::value(idlePercent(trainer));
    json["staleness"] = toJson(distributionOf(trainer.staleness));
    return json;
}

web::json::value callersJson(const Measures &measures)
{
    const auto latencies = measures.latencies();
    const auto reasons = measures.unansweredReasons();
    web::json::value callers = web::json::value::object();
    for (const auto &[key, counts] : measures.outcomes()) {
        web::json::value caller = web::json::value::object();
        const auto found = latencies.find(key);
        caller["latency_ms"] = toJson(distributionOf(found == latencies.end() ? std::vector<double>() : found->second));
        for (const auto &[outcome, count] : counts) {
            caller[outcome] = web::json::value(count);
        }
        if (const auto reason = reasons.find(key); reason != reasons.end()) {
            caller["reasons"] = toJson(reason->second);
        }
        callers[key.tenant + " " + key.requestClass] = caller;
    }
    return callers;
}

} // namespace

std::string reportTable(const PromiseLedger &ledger, const Measures &measures)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(1);
    writePromises(out, ledger);
    writeLatencies(out, measures);
    writeTrainers(out, measures);
    return out.str();
}

std::string progressLine(const PromiseLedger &ledger, const Measures &measures, Duration elapsed)
{
    std::map<std::string, std::uint64_t> totals;
    for (const auto &[key, counts] : measures.outcomes()) {
        for (const auto &[outcome, count] : counts) {
            totals[outcome] += count;
        }
    }
    std::ostringstream out;
    out << "   " << std::chrono::duration_cast<std::chrono::seconds>(elapsed).count() << " s:";
    for (const auto &[outcome, count] : totals) {
        out << " " << outcome << "=" << count;
    }
    out << " violations=" << ledger.violations();
    return out.str();
}

web::json::value reportJson(const PromiseLedger &ledger, const Measures &measures)
{
    web::json::value report = web::json::value::object();
    web::json::value promises = web::json::value::object();
    for (std::size_t i = 0; i < PromiseCount; ++i) {
        promises[std::string(promiseName(promiseAt(i)))] = toJson(ledger.counts(promiseAt(i)));
    }
    report["promises"] = promises;
    report["callers"] = callersJson(measures);
    web::json::value trainers = web::json::value::object();
    for (const auto &[name, trainer] : measures.trainers()) {
        trainers[name] = toJson(trainer);
    }
    report["trainers"] = trainers;
    report["configuration_spread_ms"] = toJson(distributionOf(measures.configurationSpreads()));
    return report;
}

} // namespace bergamot
