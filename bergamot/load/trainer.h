#pragma once

// One trainer, as its own program would behave: hands in steps, draws samples through any instance, checks each one,
// trains, publishes new weights. It keeps the cursor and repeats a draw whose answer it did not get.
//
//     TrainerDriver trainer(context, scenario.trainers[0], 0);
//     trainer.start();
//     trainer.join();

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <tuple>

#include "bergamot/load/caller.h"

namespace bergamot
{

/// Owns one thread; `start`, `stop` and `join` are called from one other thread.
class TrainerDriver
{
public:
    TrainerDriver(const RunContext &context, const TrainerScenario &trainer, std::size_t index);
    ~TrainerDriver();
    TrainerDriver(const TrainerDriver &) = delete;
    TrainerDriver &operator=(const TrainerDriver &) = delete;

    void start();
    /// Ends after the call in flight, with its steps unfinished.
    void stop();
    void join();

private:
    using SampleName = std::tuple<std::uint64_t, std::uint64_t, std::uint64_t>; // step, group, index

    void run();
    bool runStep(std::uint64_t step);
    bool handIn(std::uint64_t step);
    bool drawAll(std::uint64_t step);
    /// The answer of the next instance that gives one; nothing if that one refused or was silent.
    std::optional<HttpResponse> ask(HttpRequest request);
    std::string stepBody(std::uint64_t step) const;
    std::string promptOf(std::uint64_t step, std::uint64_t group) const;
    /// Takes in one draw; false if the step is not complete after it.
    bool receive(std::uint64_t step, const web::json::value &draw);
    void receiveSample(std::uint64_t step, const web::json::value &sample);
    void checkLabels(const SampleName &name, const std::string &prompt, const web::json::value &sample);
    /// Whether the answer of a draw is to be treated as lost on its way.
    bool losesAnswer();
    void publish();
    void pause(Duration length);
    bool stopped();

    RunContext m_context;
    TrainerScenario m_trainer;
    std::size_t m_control;
    WeightVersion m_weights = 1; // the newest when the draw in flight began
    std::mt19937_64 m_random;
    std::string m_cursor;
    std::set<SampleName> m_received;
    TrainerMeasures m_measures;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopped = false;
    std::thread m_thread;
};

} // namespace bergamot
