#include "bergamot/http/internal/body.h"

namespace bergamot::http_internal
{

namespace
{

pplx::task<std::optional<std::string>>
readMore(const concurrency::streams::istream &stream, std::shared_ptr<std::string> body, std::size_t limit)
{
    return readChunk(stream).then([stream, body, limit](const std::string &chunk) {
        if (chunk.empty()) {
            return pplx::task_from_result(std::optional<std::string>(std::move(*body)));
        }
        if (body->size() + chunk.size() > limit) {
            return pplx::task_from_result(std::optional<std::string>());
        }
        body->append(chunk);
        return readMore(stream, body, limit);
    });
}

} // namespace

pplx::task<std::optional<std::string>> readBody(const concurrency::streams::istream &stream, std::size_t limit)
{
    return readMore(stream, std::make_shared<std::string>(), limit);
}

pplx::task<std::string> readChunk(const concurrency::streams::istream &stream)
{
    auto buffer = std::make_shared<std::string>(1, '\0');
    auto *first = reinterpret_cast<std::uint8_t *>(buffer->data());
    return stream.streambuf().getn(first, 1).then([stream, buffer](std::size_t count) {
        if (count == 0) {
            return std::string();
        }
        // What has arrived besides is asked for as a block: `in_avail` would read the library's counter without its
        // lock.
        std::uint8_t *block = nullptr;
        std::size_t ready = 0;
        while (buffer->size() < ChunkBytes && stream.streambuf().acquire(block, ready) && block != nullptr) {
            const std::size_t taken = std::min(ready, ChunkBytes - buffer->size());
            buffer->append(reinterpret_cast<const char *>(block), taken);
            stream.streambuf().release(block, taken);
        }
        return std::move(*buffer);
    });
}

void dropBody(const concurrency::streams::istream &stream)
{
    readChunk(stream).then([stream](const pplx::task<std::string> &read) {
        try {
            if (!read.get().empty()) {
                dropBody(stream);
            }
        } catch (const std::exception &) {
            // The caller has gone, or was cut off.
            return;
        }
    });
}

} // namespace bergamot::http_internal
