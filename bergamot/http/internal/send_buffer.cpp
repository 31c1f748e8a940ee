#include "bergamot/http/internal/send_buffer.h"

#include <cstring>

namespace bergamot::http_internal
{

namespace
{

std::exception_ptr abortedError()
{
    return std::make_exception_ptr(std::runtime_error("the stream was aborted"));
}

} // namespace

SendBuffer::SendBuffer(std::shared_ptr<StreamBacklog> backlog)
    : streambuf_state_manager(std::ios_base::in)
    , m_backlog(std::move(backlog))
{ }

SendBuffer::~SendBuffer()
{
    m_backlog->remove(m_bytes.size() - m_taken);
}

concurrency::streams::istream SendBuffer::istream()
{
    const concurrency::streams::streambuf<std::uint8_t> buffer(shared_from_this());
    return buffer.create_istream();
}

void SendBuffer::write(std::string_view bytes)
{
    std::unique_lock lock(m_mutex);
    if (m_end != End::Open || bytes.empty()) {
        return;
    }
    m_bytes.append(bytes);
    m_backlog->add(bytes.size());
    if (!m_reader) {
        return;
    }
    const Reader reader = *std::exchange(m_reader, std::nullopt);
    const std::size_t taken = take(reader.first, reader.count);
    lock.unlock();
    reader.done.set(taken);
}

void SendBuffer::finish()
{
    end(End::Finished);
}

void SendBuffer::abort()
{
    end(End::Aborted);
}

std::size_t SendBuffer::waitingBytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_bytes.size() - m_taken;
}

void SendBuffer::end(End how)
{
    std::unique_lock lock(m_mutex);
    if (m_end != End::Open) {
        return;
    }
    m_end = how;
    if (how == End::Aborted) {
        m_backlog->remove(m_bytes.size() - m_taken);
        std::string().swap(m_bytes);
        m_taken = 0;
    }
    const std::optional<Reader> reader = std::exchange(m_reader, std::nullopt);
    lock.unlock();
    if (!reader) {
        return;
    }
    if (how == End::Aborted) {
        reader->done.set_exception(abortedError());
    } else {
        reader->done.set(0);
    }
}

std::size_t SendBuffer::take(std::uint8_t *first, std::size_t count)
{
    const std::size_t taken = std::min(count, m_bytes.size() - m_taken);
    std::memcpy(first, m_bytes.data() + m_taken, taken);
    m_taken += taken;
    m_backlog->remove(taken);
    // What was taken is dropped only once it is half of the whole, so that each byte is moved at most once.
    if (m_taken * 2 >= m_bytes.size()) {
        m_bytes.erase(0, m_taken);
        m_taken = 0;
    }
    return taken;
}

pplx::task<std::size_t> SendBuffer::_getn(std::uint8_t *first, std::size_t count)
{
    const std::lock_guard lock(m_mutex);
    if (m_end == End::Aborted) {
        return pplx::task_from_exception<std::size_t>(abortedError());
    }
    if (m_bytes.size() > m_taken) {
        return pplx::task_from_result(take(first, count));
    }
    if (m_end == End::Finished) {
        return pplx::task_from_result<std::size_t>(0);
    }
    m_reader = Reader{first, count, {}};
    return pplx::create_task(m_reader->done);
}

std::size_t SendBuffer::_scopy(std::uint8_t *first, std::size_t count)
{
    const std::lock_guard lock(m_mutex);
    const std::size_t copied = std::min(count, m_bytes.size() - m_taken);
    std::memcpy(first, m_bytes.data() + m_taken, copied);
    return copied;
}

std::exception_ptr SendBuffer::exception() const
{
    const std::lock_guard lock(m_mutex);
    return m_end == End::Aborted ? abortedError() : nullptr;
}

bool SendBuffer::can_seek() const
{
    return false;
}

bool SendBuffer::has_size() const
{
    return false;
}

std::size_t SendBuffer::buffer_size(std::ios_base::openmode /*direction*/) const
{
    return 0;
}

void SendBuffer::set_buffer_size(std::size_t /*size*/, std::ios_base::openmode /*direction*/)
{ }

std::size_t SendBuffer::in_avail() const
{
    return waitingBytes();
}

SendBuffer::pos_type SendBuffer::getpos(std::ios_base::openmode /*direction*/) const
{
    return static_cast<pos_type>(traits::eof());
}

SendBuffer::pos_type SendBuffer::seekpos(pos_type /*position*/, std::ios_base::openmode /*direction*/)
{
    return static_cast<pos_type>(traits::eof());
}

SendBuffer::pos_type
SendBuffer::seekoff(off_type /*offset*/, std::ios_base::seekdir /*way*/, std::ios_base::openmode /*mode*/)
{
    return static_cast<pos_type>(traits::eof());
}

bool SendBuffer::acquire(std::uint8_t *&first, std::size_t &count)
{
    first = nullptr;
    count = 0;
    return false;
}

void SendBuffer::release(std::uint8_t * /*first*/, std::size_t /*count*/)
{ }

pplx::task<SendBuffer::int_type> SendBuffer::_putc(std::uint8_t /*character*/)
{
    return pplx::task_from_result<int_type>(traits::eof());
}

pplx::task<std::size_t> SendBuffer::_putn(const std::uint8_t * /*first*/, std::size_t /*count*/)
{
    return pplx::task_from_result<std::size_t>(0);
}

pplx::task<SendBuffer::int_type> SendBuffer::_bumpc()
{
    return pplx::task_from_result<int_type>(traits::eof());
}

SendBuffer::int_type SendBuffer::_sbumpc()
{
    return traits::eof();
}

pplx::task<SendBuffer::int_type> SendBuffer::_getc()
{
    return pplx::task_from_result<int_type>(traits::eof());
}

SendBuffer::int_type SendBuffer::_sgetc()
{
    return traits::eof();
}

pplx::task<SendBuffer::int_type> SendBuffer::_nextc()
{
    return pplx::task_from_result<int_type>(traits::eof());
}

pplx::task<SendBuffer::int_type> SendBuffer::_ungetc()
{
    return pplx::task_from_result<int_type>(traits::eof());
}

pplx::task<bool> SendBuffer::_sync()
{
    return pplx::task_from_result(true);
}

std::uint8_t *SendBuffer::_alloc(std::size_t /*count*/)
{
    return nullptr;
}

void SendBuffer::_commit(std::size_t /*count*/)
{ }

} // namespace bergamot::http_internal
