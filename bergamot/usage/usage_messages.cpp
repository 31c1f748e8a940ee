#include "bergamot/usage/usage_messages.h"

#include "bergamot/usage/generated/usage_generated.h"

namespace bergamot::usage
{

std::string totalsMessage(const ToldTotals &totals)
{
    wire::TotalsT message;
    message.instance = totals.instance;
    for (const auto &[window, counts] : totals.windows) {
        auto entry = std::make_unique<wire::WindowTotalsT>();
        entry->window = window;
        for (const auto &[tenant, count] : counts) {
            auto tenantCount = std::make_unique<wire::TenantCountT>();
            tenantCount->tenant = tenant;
            tenantCount->count = count;
            entry->counts.push_back(std::move(tenantCount));
        }
        message.windows.push_back(std::move(entry));
    }
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::Totals::Pack(builder, &message));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

Result<ToldTotals> parseTotals(const std::string &bytes)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
    if (!wire::VerifyTotalsBuffer(verifier)) {
        return failure(ErrorCode::InvalidArgument, "not a message with totals of usage");
    }
    const std::unique_ptr<wire::TotalsT> message(wire::GetTotals(bytes.data())->UnPack());
    if (message->instance.empty()) {
        return failure(ErrorCode::InvalidArgument, "the totals of usage name no instance");
    }
    ToldTotals totals{.instance = std::move(message->instance)};
    for (const std::unique_ptr<wire::WindowTotalsT> &window : message->windows) {
        for (const std::unique_ptr<wire::TenantCountT> &count : window->counts) {
            totals.windows[window->window][count->tenant] += count->count;
        }
    }
    return totals;
}

} // namespace bergamot::usage
