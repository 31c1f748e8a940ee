#include "bergamot/http/internal/open_listeners.h"

#include <map>
#include <mutex>

namespace bergamot::http_internal
{

namespace
{

using web::http::experimental::listener::http_listener;

struct Listeners
{
    std::mutex mutex;
    std::size_t serving = 0;
    std::map<Address, std::unique_ptr<http_listener>> refusing;
};

/// Never destroyed: servers may be stopped while the process ends.
Listeners &listeners()
{
    static auto *const instance = new Listeners();
    return *instance;
}

void close(http_listener &listener)
{
    try {
        listener.close().wait();
    } catch (const std::exception &) {
        // The library no longer knows it: it is closed.
        return;
    }
}

void closeRefusing(Listeners &all, const Address &address)
{
    const auto found = all.refusing.find(address);
    if (found == all.refusing.end()) {
        return;
    }
    close(*found->second);
    all.refusing.erase(found);
}

} // namespace

web::http::http_response toNative(const HttpResponse &response)
{
    web::http::http_response native(static_cast<web::http::status_code>(response.status));
    for (const auto &[name, value] : response.headers) {
        native.headers().add(name, value);
    }
    return native;
}

void replyAndForget(const web::http::http_request &request, HttpResponse response)
{
    web::http::http_response native = toNative(response);
    native.set_body(std::move(response.body), response.contentType);
    request.reply(native).then([](const pplx::task<void> &sent) {
        try {
            sent.get();
        } catch (const std::exception &) {
            // The caller has gone; there is nobody left to tell.
            return;
        }
    });
}

Result<void> openListener(const Address &address, http_listener &listener)
{
    Listeners &all = listeners();
    const std::lock_guard lock(all.mutex);
    closeRefusing(all, address);
    try {
        listener.open().wait();
    } catch (const std::exception &error) {
        return failure(ErrorCode::Unavailable, "cannot listen on " + toString(address) + ": " + error.what());
    }
    ++all.serving;
    return {};
}

void closeListener(const Address &address, std::unique_ptr<http_listener> listener)
{
    Listeners &all = listeners();
    const std::lock_guard lock(all.mutex);
    --all.serving;
    if (all.serving > 0) {
        all.refusing[address] = std::move(listener);
        return;
    }
    close(*listener);
    for (const auto &[unused, each] : all.refusing) {
        close(*each);
    }
    all.refusing.clear();
}

} // namespace bergamot::http_internal
