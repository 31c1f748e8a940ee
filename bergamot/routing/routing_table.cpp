#include "bergamot/routing/routing_table.h"

#include <array>

#include "bergamot/routing/load_estimate.h"

namespace bergamot
{

namespace
{

constexpr std::array<std::string_view, 6> IdempotentMethods{"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"};

} // namespace

bool RoutedEndpoint::reportsLoad() const
{
    return slots > 0 && loadAge <= MaxReportAge;
}

bool isRepeatable(const RoutedTarget &target, std::string_view method, std::string_view path)
{
    if (std::find(IdempotentMethods.begin(), IdempotentMethods.end(), method) != IdempotentMethods.end()) {
        return true;
    }
    return std::any_of(target.repeatablePaths.begin(), target.repeatablePaths.end(), [path](const std::string &prefix) {
        return path.starts_with(prefix);
    });
}

} // namespace bergamot
