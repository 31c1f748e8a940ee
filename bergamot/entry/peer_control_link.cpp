#include "bergamot/entry/peer_control_link.h"

#include "bergamot/routing/routing_view.h"

namespace bergamot
{

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds ViewTimeout = 500ms;
constexpr std::uint64_t OldestAge = std::chrono::milliseconds(24h).count(); // an older view counts as of this age
constexpr std::chrono::milliseconds OutcomeTimeout = 2s;
constexpr int OutcomeTries = 3;

tl::unexpected<Error> unexpectedBody()
{
    return failure(ErrorCode::Internal, "The control process answered with another kind of frame.");
}

std::optional<Duration> ageOf(const inner::ViewReplyT &reply)
{
    if (reply.age_ms == NeverWholeAge) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(std::min(reply.age_ms, OldestAge));
}

} // namespace

struct PeerControlLink::Impl
{
    Impl(PeerIdentity identity, Address to)
        : control(std::move(to))
        , client(std::move(identity))
    { }

    void record(const inner::KeyOutcomeT &outcome, int triesLeft)
    {
        inner::BodyUnion body;
        body.Set(inner::KeyOutcomeT(outcome));
        client.request(
            control, std::move(body), OutcomeTimeout, [this, outcome, triesLeft](const Result<inner::FrameT> &reply) {
                if (!reply && triesLeft > 1) {
                    record(outcome, triesLeft - 1);
                }
            });
    }

    Address control;
    PeerClient client; // the last member: every callback has run once it is destroyed
};

PeerControlLink::PeerControlLink(PeerIdentity identity, Address control)
    : m_impl(std::make_unique<Impl>(std::move(identity), std::move(control)))
{ }

PeerControlLink::~PeerControlLink() = default;

void PeerControlLink::fetchView(const ViewQuestion &question, Callback<ViewNews> done)
{
    inner::ViewRequestT request;
    request.view_hash = question.knownHash;
    request.suspects = toFrames(question.suspects);
    inner::BodyUnion body;
    body.Set(std::move(request));
    const Address &from = question.source.value_or(m_impl->control);
    m_impl->client.request(from, std::move(body), ViewTimeout, [done](Result<inner::FrameT> reply) {
        if (!reply) {
            done(tl::unexpected(reply.error()));
            return;
        }
        inner::ViewReplyT *view = reply->body.AsViewReply();
        if (view == nullptr) {
            done(unexpectedBody());
            return;
        }
        done(ViewNews{.hash = view->view_hash, .view = std::move(view->view), .age = ageOf(*view)});
    });
}

void PeerControlLink::claimKey(const inner::KeyClaimT &claim,
                               std::chrono::milliseconds timeout,
                               Callback<inner::KeyClaimReplyT> done)
{
    inner::BodyUnion body;
    body.Set(inner::KeyClaimT(claim));
    m_impl->client.request(m_impl->control, std::move(body), timeout, [done](Result<inner::FrameT> reply) {
        if (!reply) {
            done(tl::unexpected(reply.error()));
            return;
        }
        inner::KeyClaimReplyT *verdict = reply->body.AsKeyClaimReply();
        if (verdict == nullptr) {
            done(unexpectedBody());
            return;
        }
        done(std::move(*verdict));
    });
}

void PeerControlLink::recordKey(const inner::KeyOutcomeT &outcome)
{
    m_impl->record(outcome, OutcomeTries);
}

} // namespace bergamot
