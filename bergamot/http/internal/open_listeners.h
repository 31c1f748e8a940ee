#pragma once

// The listeners of this process. cpprestsdk opens its ports when the first listener opens and closes them all when the
// last one closes; until then a closed listener's port answers 404. Here a listener that its server has given up stays
// registered and refuses, until the last server has stopped or the address is used again. For bergamot/http only.

#include <memory>

#include <cpprest/http_listener.h>

#include "bergamot/base/address.h"
#include "bergamot/http/message.h"

namespace bergamot::http_internal
{

web::http::http_response toNative(const HttpResponse &response);

/// Answers without waiting for the caller to take the answer.
void replyAndForget(const web::http::http_request &request, HttpResponse response);

/// Opens `listener` on `address`; a listener that still refuses there is closed first.
Result<void> openListener(const Address &address, web::http::experimental::listener::http_listener &listener);

/// Closes an open listener, whose handler refuses by now, or keeps it while other servers are open.
void closeListener(const Address &address, std::unique_ptr<web::http::experimental::listener::http_listener> listener);

} // namespace bergamot::http_internal
