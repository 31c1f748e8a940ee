#include "bergamot/entry/peer_control_link.h"

#include "bergamot/routing/routing_view.h"

namespace bergamot
{

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds ViewTimeout = 500ms;
constexpr std::uint64_t MaxAgeMs = std::chrono::milliseconds(24h).count(); // greater ages are reported as this age
constexpr std::chrono::milliseconds OutcomeTimeout = 2s;
constexpr int MaxOutcomeTries = 3;

tl::unexpected<Error> unexpectedBody()
{
    return failure(ErrorCode::Internal, "The control process answered with an unexpected kind of frame.");
}

std::optional<Duration> ageOf(const inner::ViewReplyT &reply)
{
    if (reply.age_ms == NeverWholeAge) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(std::min(reply.age_ms, MaxAgeMs));
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
    PeerClient client; // the last member, because callbacks use the others: its destructor returns when all have run
};

PeerControlLink::PeerControlLink(PeerIdentity identity, Address control)
    : m_impl(std::make_unique<Impl>(std::move(identity), std::move(control)))
{ }

PeerControlLink::~PeerControlLink() = default;

void PeerControlLink::fetchView(const ViewQuery &query, Callback<ViewUpdate> done)
{
    inner::ViewRequestT request;
    request.view_hash = query.knownHash;
    request.suspects = toFrames(query.suspects);
    inner::BodyUnion body;
    body.Set(std::move(request));
    const Address &from = query.source.value_or(m_impl->control);
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
        done(ViewUpdate{.hash = view->view_hash, .view = std::move(view->view), .age = ageOf(*view)});
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
        inner::KeyClaimReplyT *claimReply = reply->body.AsKeyClaimReply();
        if (claimReply == nullptr) {
            done(unexpectedBody());
            return;
        }
        done(std::move(*claimReply));
    });
}

void PeerControlLink::recordKey(const inner::KeyOutcomeT &outcome)
{
    m_impl->record(outcome, MaxOutcomeTries);
}

} // namespace bergamot
