#pragma once

// CONFIG: the operator moves a rollout route from one service to another by the weights of its traffic split. Items of
// a batch job that is accepted later than the bound must not run at the service whose weight is zero.

#include "platform/standins/endpoint_standin.h"
#include "review/standins/review_case.h"

namespace bergamot::review
{

/// Not thread-safe.
class WeightsCase final : public ReviewCase
{
public:
    WeightsCase(boost::asio::io_context &loop, platform::StoreStandin &store, CaseOptions options);

    void start() override;

private:
    void submit(const std::string &lot, Step accepted);
    void readAll(const std::string &lot, Step done);
    void changeWeights();
    void judge();

    platform::EndpointObservations m_observations;
    std::vector<std::unique_ptr<platform::EndpointStandin>> m_engines;
    bool m_listening = true;
};

} // namespace bergamot::review
