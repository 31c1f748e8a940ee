#pragma once

// Size of cpprestsdk's thread pool, which runs every server and client of the process. Its default is 40 threads.
//
//     initializeHttpThreads(4); // first thing in main

#include <cstddef>

namespace bergamot
{

/// Call it at most once, before the first server or client exists.
void initializeHttpThreads(std::size_t threads);

} // namespace bergamot
