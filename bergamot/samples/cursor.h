#pragma once

// The trainer's proof of what it has: one bit for each sample of a step, with the step's name and digest, as an
// opaque checked text. The trainer returns it with its next draw; whoever owns the trainer then resumes from it, so
// nothing has to be stored on our side.
//
//     Result<Cursor> cursor = decodeCursor(text);
//     cursor->mark(17);
//     const std::string next = encodeCursor(*cursor);

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "bergamot/base/error.h"
#include "bergamot/samples/sample_id.h"

namespace bergamot
{

class Cursor
{
public:
    Cursor() = default;
    /// Nothing received yet of a step with `sampleCount` samples and digest `stepDigest`.
    Cursor(StepKey step, std::uint64_t stepDigest, std::uint32_t sampleCount);

    const StepKey &step() const
    {
        return m_step;
    }

    std::uint64_t stepDigest() const
    {
        return m_stepDigest;
    }

    std::uint32_t sampleCount() const
    {
        return m_sampleCount;
    }

    bool has(std::uint32_t offset) const;
    void mark(std::uint32_t offset);
    /// How many samples are marked.
    std::uint32_t count() const;

    bool isWhole() const
    {
        return count() == m_sampleCount;
    }

    bool operator==(const Cursor &) const = default;

private:
    friend std::string encodeCursor(const Cursor &cursor);
    friend Result<Cursor> decodeCursor(std::string_view text);

    StepKey m_step;
    std::uint64_t m_stepDigest = 0;
    std::uint32_t m_sampleCount = 0;
    std::vector<std::uint8_t> m_bits;
};

std::string encodeCursor(const Cursor &cursor);

/// `InvalidArgument` if `text` is not a cursor that `encodeCursor` made.
Result<Cursor> decodeCursor(std::string_view text);

} // namespace bergamot
