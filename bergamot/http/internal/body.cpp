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
    auto buffer = std::make_shared<std::string>(ChunkBytes, '\0');
    auto *first = reinterpret_cast<std::uint8_t *>(buffer->data());
    return stream.streambuf().getn(first, 1).then([stream, buffer, first](std::size_t count) {
        if (count == 0) {
            return pplx::task_from_result(std::string());
        }
        const std::size_t ready = std::min(stream.streambuf().in_avail(), ChunkBytes - 1);
        if (ready == 0) {
            return pplx::task_from_result(buffer->substr(0, 1));
        }
        return stream.streambuf().getn(first + 1, ready).then([buffer](std::size_t more) {
            return buffer->substr(0, 1 + more);
        });
    });
}

} // namespace bergamot::http_internal
