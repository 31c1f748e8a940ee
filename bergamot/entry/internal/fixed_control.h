#pragma once

// A control link for benchmarks: the same view for every question, with one endpoint and no idempotency keys.
//
//     auto control = std::make_shared<FixedControl>(inner::EndpointKind::Engine, "agent", address);

#include <memory>
#include <string>

#include "bergamot/config/configuration.h"
#include "bergamot/entry/control_link.h"

namespace bergamot
{

/// Thread-safe.
class FixedControl final : public ControlLink
{
public:
    /// `serves` is the service or model that `endpoint` serves.
    FixedControl(inner::EndpointKind kind, const std::string &serves, const Address &endpoint)
        : m_view(std::make_shared<inner::ViewT>())
    {
        Configuration configuration;
        configuration.version = 1;
        configuration.services[ServiceId(serves)].service = ServiceId(serves);
        configuration.models[ModelId(serves)].model = ModelId(serves);
        m_view->config_version = 1;
        m_view->configuration = toJson(configuration).serialize();
        m_view->confirmed = true;
        auto listed = std::make_unique<inner::EndpointT>();
        listed->id = "endpoint-1";
        listed->kind = kind;
        listed->serves = serves;
        listed->domain = "a";
        listed->address = toString(endpoint);
        listed->reachable = true;
        listed->slots = Slots;
        m_view->endpoints.push_back(std::move(listed));
    }

    void fetchView(const ViewQuestion & /*question*/, Callback<ViewNews> done) override
    {
        done(ViewNews{.hash = 1, .view = m_view});
    }

    void claimKey(const inner::KeyClaimT & /*claim*/,
                  std::chrono::milliseconds /*timeout*/,
                  Callback<inner::KeyClaimReplyT> done) override
    {
        done(failure(ErrorCode::Unavailable, "no keys here"));
    }

    void recordKey(const inner::KeyOutcomeT & /*outcome*/) override
    { }

private:
    static constexpr std::uint32_t Slots = 64;

    std::shared_ptr<inner::ViewT> m_view;
};

} // namespace bergamot
