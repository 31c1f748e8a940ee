#pragma once

// Decides when a route that is missing from the configuration counts as removed, so that the items of its batches may
// be given up.
//
//     RouteAbsence absence;
//     if (absence.removed(configuration.findRoute(host, path) != nullptr, now, view.configurationConfirmedAt())) { ...
//     }
//
// Load pattern: an operator removes a route and adds it again in the next version, while the store's responses are
// late. Time counts only as far as the configuration is known: an old view neither proves that the route is missing nor
// that it is back.

#include "bergamot/base/clock.h"

namespace bergamot::fleet
{

struct RouteAbsenceOptions
{
    Duration removedAfter =
        std::chrono::seconds(5); // the configuration with the route of a batch may arrive after the batch
};

/// The absence of one route. Not thread-safe.
class RouteAbsence
{
public:
    RouteAbsence() = default;
    explicit RouteAbsence(RouteAbsenceOptions options)
        : m_options(options)
    { }

    /// `present`: whether the configuration has the route; it contains whatever was in the store at `confirmedAt`.
    bool removed(bool present, TimePoint now, TimePoint confirmedAt)
    {
        if (present) {
            m_absentSince = {};
            return false;
        }
        if (m_absentSince == TimePoint()) {
            m_absentSince = now;
        }
        return confirmedAt >= m_absentSince + m_options.removedAfter;
    }

private:
    RouteAbsenceOptions m_options;
    TimePoint m_absentSince{}; // zero: present
};

} // namespace bergamot::fleet
