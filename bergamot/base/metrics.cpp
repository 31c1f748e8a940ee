#include "bergamot/base/metrics.h"

#include <prometheus/text_serializer.h>

namespace bergamot
{

Metrics::Metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
{ }

prometheus::Family<prometheus::Counter> &Metrics::counters(const std::string &name, const std::string &help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(*m_registry);
}

prometheus::Family<prometheus::Gauge> &Metrics::gauges(const std::string &name, const std::string &help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(*m_registry);
}

prometheus::Family<prometheus::Histogram> &Metrics::histograms(const std::string &name, const std::string &help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(*m_registry);
}

std::string Metrics::exposition() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

void observeSeconds(prometheus::Family<prometheus::Histogram> &family,
                    const prometheus::Labels &labels,
                    Duration elapsed)
{
    static const prometheus::Histogram::BucketBoundaries boundaries = {
        0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20, 50, 100};
    family.Add(labels, boundaries).Observe(std::chrono::duration<double>(elapsed).count());
}

} // namespace bergamot
