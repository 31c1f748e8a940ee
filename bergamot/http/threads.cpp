#include "bergamot/http/threads.h"

#include <pplx/threadpool.h>

namespace bergamot
{

void initializeHttpThreads(std::size_t threads)
{
    crossplat::threadpool::initialize_with_threads(threads);
}

} // namespace bergamot
