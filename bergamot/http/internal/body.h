#pragma once

// Reads a body of cpprestsdk up to a limit, without blocking a thread. For bergamot/http only.

#include <optional>
#include <string>

#include <cpprest/streams.h>
#include <pplx/pplxtasks.h>

namespace bergamot::http_internal
{

/// The whole body, or nothing if it is longer than `limit` bytes. The task fails if the stream breaks.
pplx::task<std::optional<std::string>> readBody(const concurrency::streams::istream &stream, std::size_t limit);

/// Waits for at least one byte and returns what is there, at most `ChunkBytes`; empty at the end.
pplx::task<std::string> readChunk(const concurrency::streams::istream &stream);

/// Reads and drops the rest of a body that nobody wants, so that the library does not keep it.
void dropBody(const concurrency::streams::istream &stream);

inline constexpr std::size_t ChunkBytes = 64U << 10U;

} // namespace bergamot::http_internal
