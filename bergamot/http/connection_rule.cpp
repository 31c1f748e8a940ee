#include "bergamot/http/connection_rule.h"

#include <algorithm>
#include <numeric>

namespace bergamot
{

namespace
{

ConnectionVerdict judge(const ConnectionState &connection, const ConnectionLimits &limits)
{
    const bool stalled = connection.unsentBytes > 0 && connection.sinceSent >= limits.stalled;
    if (stalled || connection.unansweredBytes > limits.unansweredBytes) {
        return ConnectionVerdict::Cut;
    }
    return connection.sinceReceived >= limits.idle ? ConnectionVerdict::StopReading : ConnectionVerdict::Keep;
}

} // namespace

std::vector<ConnectionVerdict> judgeConnections(const std::vector<ConnectionState> &connections,
                                                const ConnectionLimits &limits)
{
    std::vector<ConnectionVerdict> verdicts;
    verdicts.reserve(connections.size());
    for (const ConnectionState &connection : connections) {
        verdicts.push_back(judge(connection, limits));
    }
    if (connections.size() <= limits.most) {
        return verdicts;
    }
    std::vector<std::size_t> longestSilentFirst(connections.size());
    std::iota(longestSilentFirst.begin(), longestSilentFirst.end(), std::size_t{0});
    std::stable_sort(longestSilentFirst.begin(), longestSilentFirst.end(), [&](std::size_t left, std::size_t right) {
        return connections[left].sinceReceived > connections[right].sinceReceived;
    });
    longestSilentFirst.resize(connections.size() - limits.most);
    for (const std::size_t index : longestSilentFirst) {
        verdicts[index] = std::max(verdicts[index], ConnectionVerdict::StopReading);
    }
    return verdicts;
}

} // namespace bergamot
