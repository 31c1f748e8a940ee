#pragma once

// Chooses how much one read of consecutive records asks for, from the sizes of the records read before.
//
//     SpanReadSize size;
//     const std::uint32_t kilobytes = size.kilobytes(lastOffset - firstOffset + 1);
//     size.observe(recordCount, recordBytes);
//
// Load pattern: trainers read a few new results twice a second at instances with slow links. A read of fixed size
// transfers dozens of records behind the wanted ones.

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace bergamot::logstore
{

struct SpanReadSizeOptions
{
    std::uint32_t minKilobytes = 32;
    std::uint32_t maxKilobytes = 256;
    double margin = 1.5; // factor on the average size of a record
    double weight = 0.2; // of the newest read in the average
};

/// Not thread-safe.
class SpanReadSize
{
public:
    explicit SpanReadSize(SpanReadSizeOptions options = {})
        : m_options(options)
    { }

    /// Kilobytes to ask for to get `records` consecutive records; the maximum before the first observation.
    std::uint32_t kilobytes(std::uint64_t records) const
    {
        constexpr double BytesPerKilobyte = 1024;
        const double wanted = static_cast<double>(records) * m_averageBytes * m_options.margin / BytesPerKilobyte;
        if (m_averageBytes == 0 || wanted >= static_cast<double>(m_options.maxKilobytes)) {
            return m_options.maxKilobytes;
        }
        return std::max(m_options.minKilobytes, static_cast<std::uint32_t>(wanted) + 1);
    }
    void observe(std::size_t records, std::size_t bytes)
    {
        if (records == 0) {
            return;
        }
        const double average = static_cast<double>(bytes) / static_cast<double>(records);
        m_averageBytes = m_averageBytes == 0 ? average : m_averageBytes + m_options.weight * (average - m_averageBytes);
    }

private:
    SpanReadSizeOptions m_options;
    double m_averageBytes = 0; // of a record; 0: nothing observed
};

} // namespace bergamot::logstore
