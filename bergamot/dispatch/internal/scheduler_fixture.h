#pragma once

// Test fixture: a scheduler with two engines, and all actions that it returned.

#include <gtest/gtest.h>

#include "bergamot/dispatch/sample_scheduler.h"

namespace bergamot::dispatch
{

using namespace std::chrono_literals;

class SampleSchedulerTest : public testing::Test
{
protected:
    SampleSchedulerTest()
    {
        setEngines({engine("e1", 5), engine("e2", 5)});
    }

    static EngineDescription engine(const std::string &id, std::uint64_t version, std::uint32_t slots = 2)
    {
        return {.id = id,
                .service = "llm",
                .address = {"10.0.0.1", static_cast<std::uint16_t>(id.back())},
                .slots = slots,
                .versions = {{"m", version}},
                .softwareVersion = "v1"};
    }

    void setEngines(const std::vector<EngineDescription> &engines)
    {
        m_scheduler.setEngines(engines, m_now);
        collectActions();
    }

    void addBatch(const std::string &id, std::size_t items, std::uint64_t minVersion = 4, bool scored = false)
    {
        batch::Batch batch{.id = id, .host = "h", .model = "m", .minVersion = minVersion};
        for (std::size_t index = 0; index < items; ++index) {
            batch.items.push_back({.id = id + std::to_string(index), .path = "/p", .maxTotalTokens = 10});
            if (scored) {
                batch.items.back().scoring = batch::ScoringCall{.id = "s", .host = "sh", .path = "/s"};
            }
        }
        m_scheduler.addBatch(batch, {}, policyOfEveryItem(), m_now);
        collectActions();
    }

    ItemPolicyLookup policyOfEveryItem() const
    {
        return [policy = m_itemPolicy](const batch::Item &) {
            return policy;
        };
    }

    void advance(Duration duration)
    {
        m_now += duration;
        m_scheduler.tick(m_now);
        collectActions();
    }

    void receiveEvent(RunId run, std::uint64_t id, std::uint64_t version = 5)
    {
        m_lastEventAccepted = m_scheduler.runEvent(run, id, "d" + std::to_string(id), version, m_now);
        collectActions();
    }

    void endRun(RunId run, RunOutcome outcome)
    {
        m_scheduler.runEnded(run, outcome, m_now);
        collectActions();
    }

    void collectActions()
    {
        for (const SchedulerAction &action : m_scheduler.takeActions()) {
            if (const auto *start = std::get_if<StartRun>(&action)) {
                m_starts.push_back(*start);
            } else if (const auto *cancel = std::get_if<CancelRun>(&action)) {
                m_cancelled.insert(cancel->run);
            } else if (const auto *scoring = std::get_if<StartScoring>(&action)) {
                m_startedScorings.push_back(scoring->key);
            } else if (const auto *stop = std::get_if<CancelScoring>(&action)) {
                m_cancelledScorings.push_back(stop->key);
            } else if (const auto *commit = std::get_if<CommitResult>(&action)) {
                m_results.push_back(commit->result);
            } else if (const auto *save = std::get_if<SaveProgress>(&action)) {
                m_savedProgress.push_back(save->progress);
            }
        }
    }

    SampleScheduler m_scheduler{{}};
    ItemPolicy m_itemPolicy{.services = {"llm"}, .maxAttempts = 2, .maxScoringFailures = 2};
    TimePoint m_now{1h};
    std::vector<StartRun> m_starts;
    std::set<RunId> m_cancelled;
    std::vector<ItemKey> m_startedScorings;
    std::vector<ItemKey> m_cancelledScorings;
    std::vector<batch::ItemResult> m_results;
    std::vector<batch::ItemProgress> m_savedProgress;
    bool m_lastEventAccepted = true;
};

} // namespace bergamot::dispatch
