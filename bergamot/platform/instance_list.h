#pragma once

// The platform's list of live and leaving instances and endpoints. It lags: an entry may be seconds old.

#include <chrono>
#include <string>
#include <vector>

#include "bergamot/base/address.h"
#include "bergamot/base/error.h"
#include "bergamot/base/ids.h"

namespace bergamot
{

enum class ListedKind {
    Instance, // one of ours; `address` is where its control process takes frames
    Engine, // a model engine; `serves` is its model
    Endpoint, // a plain service's endpoint; `serves` is its service
};

enum class ListedState {
    Live,
    Leaving,
};

struct ListedMember
{
    ListedKind kind = ListedKind::Instance;
    std::string id;
    FailureDomainId domain;
    Address address;
    ListedState state = ListedState::Live;
    std::string serves;

    bool operator==(const ListedMember &) const = default;
};

/// Thread-safe.
class InstanceList
{
public:
    virtual ~InstanceList() = default;
    virtual void fetch(std::chrono::milliseconds timeout, Callback<std::vector<ListedMember>> done) = 0;
};

} // namespace bergamot
