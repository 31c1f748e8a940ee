#include "bergamot/base/prompt_fingerprint.h"
#include "bergamot/control/control_fleet_fixture.h"
#include "bergamot/control/trainer_router.h"
#include "bergamot/keys/key_placement.h"
#include "bergamot/leases/lease_fold.h"

// Whole control processes under faults of one of them. Keys are counted at the entry processes' end, duties on the
// platform's log.

namespace bergamot
{
namespace
{

const std::string Configured = R"({"domains":["a"],"services":{"stock":{}},"models":{"agent":{}}})";

class ControlProcessKeys : public ControlFleet
{
protected:
    /// Claims through `instance`, and counts the grants of each key.
    std::optional<inner::KeyVerdict> claim(const std::string &instance, const std::string &key)
    {
        inner::KeyClaimT claim;
        claim.key = key;
        claim.body_digest = "digest";
        claim.claim_id = instance + "-" + std::to_string(++m_claims);
        const Result<inner::FrameT> reply = ask(instance, claim);
        const inner::KeyClaimReplyT *answer = reply ? reply->body.AsKeyClaimReply() : nullptr;
        if (answer == nullptr) {
            return std::nullopt;
        }
        if (answer->verdict == inner::KeyVerdict::Granted) {
            ++m_grants[key];
            m_lastClaim = claim.claim_id;
        }
        return answer->verdict;
    }

    /// Fresh keys until one is granted through `instance`.
    bool isServed(const std::string &instance)
    {
        return eventually([&] {
            return claim(instance, "fresh-" + std::to_string(++m_claims)) == inner::KeyVerdict::Granted;
        });
    }

    void expectNoKeyGrantedTwice()
    {
        for (const auto &[key, grants] : m_grants) {
            EXPECT_EQ(grants, 1U) << key;
        }
    }

    std::uint64_t m_claims = 0;
    std::string m_lastClaim;
    std::map<std::string, std::uint64_t> m_grants;
};

/// What happens to the instance that claims the domain's keys; the two others go on.
struct KeyFaultCase
{
    std::string name;
    bool isKilled;
    bool isPaused;
    bool isShutDown;
};

class ControlProcessKeyFaults : public ControlProcessKeys, public testing::WithParamInterface<KeyFaultCase>
{ };

TEST_P(ControlProcessKeyFaults, aKeyIsGrantedOnceAndTheOthersServeOn)
{
    startThree();
    configure("i1", "intent-1", Configured, 1);
    const FailureDomainId domain{std::string(FleetDomain)};
    const std::string owner = keyCommitter(domain, {InstanceId("i1"), InstanceId("i2"), InstanceId("i3")})->value();
    for (const auto &[name, member] : m_members) {
        ASSERT_TRUE(isServed(name)) << name;
    }
    std::vector<std::string> others;
    for (const auto &[name, member] : m_members) {
        if (name != owner) {
            others.push_back(name);
        }
    }
    ASSERT_EQ(claim(others[0], "lot-1"), inner::KeyVerdict::Granted);
    inner::KeyOutcomeT outcome;
    outcome.key = "lot-1";
    outcome.claim_id = m_lastClaim;
    outcome.ran = true;
    outcome.known = true;
    outcome.status = 201;
    ASSERT_TRUE(ask(others[1], outcome));
    ASSERT_EQ(claim(others[1], "lot-2"), inner::KeyVerdict::Granted);

    if (GetParam().isKilled) {
        kill(owner);
    } else if (GetParam().isPaused) {
        pause(owner);
    } else if (GetParam().isShutDown) {
        m_members.at(owner).process->shutDown(TestLimit);
        kill(owner);
    }
    for (const std::string &other : others) {
        EXPECT_TRUE(isServed(other)) << other;
        EXPECT_EQ(claim(other, "lot-1"), inner::KeyVerdict::Finished) << other;
        EXPECT_EQ(claim(other, "lot-2"), inner::KeyVerdict::InProgress) << other;
    }
    wake();
    for (const auto &[name, member] : m_members) {
        if (member.process) {
            EXPECT_TRUE(isServed(name)) << name;
            EXPECT_EQ(claim(name, "lot-1"), inner::KeyVerdict::Finished) << name;
            EXPECT_EQ(claim(name, "lot-2"), inner::KeyVerdict::InProgress) << name;
        }
    }
    expectNoKeyGrantedTwice();
}

INSTANTIATE_TEST_SUITE_P(Table,
                         ControlProcessKeyFaults,
                         testing::Values(KeyFaultCase{"none", false, false, false},
                                         KeyFaultCase{"killed", true, false, false},
                                         KeyFaultCase{"pausedAndWoken", false, true, false},
                                         KeyFaultCase{"shutDown", false, false, true}),
                         [](const auto &testCase) {
                             return testCase.param.name;
                         });

TEST_F(ControlProcessKeys, withTheLogOutNothingIsGrantedAndAfterItAllIs)
{
    startThree();
    configure("i1", "intent-1", Configured, 1);
    ASSERT_TRUE(isServed("i1"));
    ASSERT_EQ(post(m_standin.logAddress(), "/faults", R"({"fault":"out"})").status, 200);
    for (const std::string name : {"i1", "i2", "i3"}) {
        EXPECT_NE(claim(name, "lot-1"), inner::KeyVerdict::Granted) << name;
    }
    ASSERT_EQ(post(m_standin.logAddress(), "/faults", R"({"fault":"clear"})").status, 200);
    for (const std::string name : {"i1", "i2", "i3"}) {
        EXPECT_TRUE(isServed(name)) << name;
    }
    expectNoKeyGrantedTwice();
}

class ControlProcessTrainers : public ControlFleet
{
protected:
    HttpResponse draw(const std::string &instance)
    {
        return call(m_members.at(instance).http, {.path = "/v1/trainers/nobody/draw"});
    }

    /// Whether the entry process beside `instance` is told of the prompt.
    bool isSuspectAt(const std::string &instance, std::uint64_t fingerprint)
    {
        const Result<inner::FrameT> reply = ask(instance, inner::ViewRequestT{});
        const inner::ViewReplyT *view = reply ? reply->body.AsViewReply() : nullptr;
        return view != nullptr && view->view
            && std::any_of(view->view->suspects.begin(), view->view->suspects.end(), [=](const auto &suspect) {
                   return suspect->fingerprint == fingerprint && !suspect->endpoints.empty();
               });
    }
};

TEST_F(ControlProcessTrainers, requestsAreHandedToTheOwnerAndToAnotherOneOnceItIsGone)
{
    startThree();
    configure("i1", "intent-1", Configured, 1);
    const std::vector<InstanceId> all{InstanceId("i1"), InstanceId("i2"), InstanceId("i3")};
    const std::string owner = trainerOwner(TrainerId("nobody"), all)->value();
    const HttpResponse expected = draw(owner);
    ASSERT_GE(expected.status, 400); // nobody is configured: a definite answer
    ASSERT_LT(expected.status, 500);
    for (const InstanceId &instance : all) {
        EXPECT_TRUE(eventually([&] {
            const HttpResponse answer = draw(instance.value());
            return answer.status == expected.status && answer.body == expected.body;
        })) << instance.value();
    }
    kill(owner);
    for (const InstanceId &instance : all) {
        if (instance.value() != owner) {
            EXPECT_TRUE(eventually([&] {
                return draw(instance.value()).status == expected.status;
            })) << instance.value();
        }
    }
}

TEST_F(ControlProcessTrainers, aPromptThatCrashesAnEngineIsKnownToEveryInstance)
{
    startThree();
    configure(
        "i1", "intent-1", R"({"domains":["a"],"models":{"agent":{}},"trainers":{"quotes":{"model":"agent"}}})", 1);
    ASSERT_EQ(post(m_standin.engineAddress(0), "/faults", R"({"fault":"poison","text":"bad"})").status, 200);
    const HttpRequest step{.method = "PUT",
                           .path = "/v1/trainers/quotes/steps/1",
                           .body = R"({"groups":[{"prompt":"bad","samples":1,"max_tokens":4}]})"};
    ASSERT_TRUE(eventually([&] {
        return call(m_members.at("i1").http, step).status == 200;
    }));
    const std::uint64_t fingerprint = promptFingerprint("agent", "bad");
    for (const auto &[name, member] : m_members) {
        EXPECT_TRUE(eventually([&, instance = name] {
            return isSuspectAt(instance, fingerprint);
        })) << name;
    }
}

class ControlProcessDuties : public ControlFleet
{
protected:
    /// How the one duty, the rollout of the model, stands by the log.
    LeaseEntry duty()
    {
        LeaseFold fold;
        for (const StoredRecord &stored : records(std::string(DutiesStream))) {
            fold.apply(stored);
        }
        EXPECT_LE(fold.duties().size(), 1U);
        return fold.duties().empty() ? LeaseEntry{} : fold.duties().begin()->second;
    }

    std::string holder()
    {
        return duty().latestRecord.writer;
    }

    /// Starts three instances and waits until one of them has the duty.
    std::string startAndWaitForAHolder()
    {
        startThree();
        configure("i1", "intent-1", Configured, 1);
        EXPECT_TRUE(eventually([&] {
            return !holder().empty();
        }));
        return holder();
    }

    bool isTakenFrom(const std::string &before, FencingNumber fencing)
    {
        return eventually([&] {
            const LeaseEntry now = duty();
            return now.latestRecord.writer != before && now.fencing > fencing;
        });
    }
};

TEST_F(ControlProcessDuties, aShutdownHandsThemBackAndAnotherTakesThem)
{
    const std::string before = startAndWaitForAHolder();
    const FencingNumber fencing = duty().fencing;
    m_members.at(before).process->shutDown(TestLimit);
    const LeaseEntry after = duty();
    EXPECT_TRUE(after.released || after.latestRecord.writer != before)
        << "the shutdown ended before the duty was handed back";
    kill(before);
    EXPECT_TRUE(isTakenFrom(before, fencing));
}

TEST_F(ControlProcessDuties, aHolderThatDiesIsFollowedByAnother)
{
    const std::string before = startAndWaitForAHolder();
    const FencingNumber fencing = duty().fencing;
    kill(before);
    EXPECT_TRUE(isTakenFrom(before, fencing));
}

TEST_F(ControlProcessDuties, aHolderPausedBeyondItsLeaseDoesNotTakeThemBack)
{
    const std::string before = startAndWaitForAHolder();
    pause(before);
    ASSERT_TRUE(isTakenFrom(before, duty().fencing));
    const LeaseEntry after = duty();
    wake();
    configure(before, "intent-2", R"({"services":{"stock":{"timeout_ms":3000}}})", 2);
    EXPECT_EQ(duty().latestRecord.writer, after.latestRecord.writer);
    EXPECT_EQ(duty().fencing, after.fencing);
}

} // namespace
} // namespace bergamot
