#pragma once

// Implements ControlLink over the protocol between the instances' processes.
//
//     PeerControlLink link({"entry-1", "a"}, controlAddress);

#include "bergamot/base/address.h"
#include "bergamot/entry/control_link.h"
#include "bergamot/protocol/peer_client.h"

namespace bergamot
{

/// Thread-safe.
class PeerControlLink final : public ControlLink
{
public:
    PeerControlLink(PeerIdentity identity, Address control);
    ~PeerControlLink() override;

    void fetchView(const ViewQuery &query, Callback<ViewUpdate> done) override;
    void claimKey(const inner::KeyClaimT &claim,
                  std::chrono::milliseconds timeout,
                  Callback<inner::KeyClaimReplyT> done) override;
    void recordKey(const inner::KeyOutcomeT &outcome) override;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace bergamot
