#pragma once

// The HTTP status codes that this project sends or distinguishes.
//
//     response.status = net::status::Unavailable;

namespace bergamot::net::status
{

inline constexpr int Ok = 200;
inline constexpr int Accepted = 202;
inline constexpr int BadRequest = 400;
inline constexpr int Forbidden = 403;
inline constexpr int Unauthorized = 401;
inline constexpr int NotFound = 404;
inline constexpr int MethodNotAllowed = 405;
inline constexpr int Conflict = 409;
inline constexpr int Gone = 410;
inline constexpr int PreconditionFailed = 412;
inline constexpr int PayloadTooLarge = 413;
inline constexpr int MisdirectedRequest = 421;
inline constexpr int Unprocessable = 422;
inline constexpr int TooManyRequests = 429;
inline constexpr int HeaderFieldsTooLarge = 431;
inline constexpr int InternalServerError = 500;
inline constexpr int BadGateway = 502;
inline constexpr int Unavailable = 503;
inline constexpr int GatewayTimeout = 504;
inline constexpr int InsufficientStorage = 507;

} // namespace bergamot::net::status
