#pragma once

// The body of a streamed answer, between the thread that writes it and cpprestsdk's listener, which takes the next part
// once the last one is with the operating system. Unlike the library's own buffer it knows how much is waiting, hands
// over each write at once, and is free of races. For bergamot/http only.
//
//     auto buffer = std::make_shared<SendBuffer>(backlog);
//     response.set_body(buffer->istream());
//     buffer->write("one\n");
//     buffer->finish();

#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include <cpprest/astreambuf.h>
#include <cpprest/streams.h>

#include "bergamot/http/internal/stream_backlog.h"

namespace bergamot::http_internal
{

/// Thread-safe. Its end for reading is the library's.
class SendBuffer final : public concurrency::streams::details::streambuf_state_manager<std::uint8_t>
{
public:
    /// `backlog` counts what waits here too.
    explicit SendBuffer(std::shared_ptr<StreamBacklog> backlog);
    ~SendBuffer() override;

    concurrency::streams::istream istream();

    void write(std::string_view bytes);
    /// No more will be written; the reader gets what is left and then the end.
    void finish();
    /// The reader gets an error at once; what is left is dropped.
    void abort();
    /// Written and not yet taken by the reader.
    std::size_t waitingBytes() const;

    std::exception_ptr exception() const override;
    bool can_seek() const override;
    bool has_size() const override;
    std::size_t buffer_size(std::ios_base::openmode direction) const override;
    void set_buffer_size(std::size_t size, std::ios_base::openmode direction) override;
    std::size_t in_avail() const override;
    pos_type getpos(std::ios_base::openmode direction) const override;
    pos_type seekpos(pos_type position, std::ios_base::openmode direction) override;
    pos_type seekoff(off_type offset, std::ios_base::seekdir way, std::ios_base::openmode mode) override;
    bool acquire(std::uint8_t *&first, std::size_t &count) override;
    void release(std::uint8_t *first, std::size_t count) override;

protected:
    pplx::task<std::size_t> _getn(std::uint8_t *first, std::size_t count) override;
    std::size_t _scopy(std::uint8_t *first, std::size_t count) override;

    // The listener reads blocks only, and nothing but `write` writes.
    pplx::task<int_type> _putc(std::uint8_t character) override;
    pplx::task<std::size_t> _putn(const std::uint8_t *first, std::size_t count) override;
    pplx::task<int_type> _bumpc() override;
    int_type _sbumpc() override;
    pplx::task<int_type> _getc() override;
    int_type _sgetc() override;
    pplx::task<int_type> _nextc() override;
    pplx::task<int_type> _ungetc() override;
    pplx::task<bool> _sync() override;
    std::uint8_t *_alloc(std::size_t count) override;
    void _commit(std::size_t count) override;

private:
    enum class End {
        Open,
        Finished,
        Aborted,
    };

    /// A read that found nothing.
    struct Reader
    {
        std::uint8_t *first;
        std::size_t count;
        pplx::task_completion_event<std::size_t> done;
    };

    std::size_t take(std::uint8_t *first, std::size_t count);
    void end(End how);

    std::shared_ptr<StreamBacklog> m_backlog;
    mutable std::mutex m_mutex;
    std::string m_bytes;
    std::size_t m_taken = 0; // of `m_bytes`
    std::optional<Reader> m_reader;
    End m_end = End::Open;
};

} // namespace bergamot::http_internal
