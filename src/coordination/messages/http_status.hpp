// The HTTP status codes that a controller responds with.
#pragma once

namespace walkford::http_status {

inline constexpr int kOk = 200;
inline constexpr int kCreated = 201;
inline constexpr int kNotFound = 404;
// This controller is not the leader; the response may name the leader.
inline constexpr int kMisdirectedRequest = 421;
// The submitted job can never run, so submitting it again is useless.
inline constexpr int kUnprocessableEntity = 422;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kServiceUnavailable = 503;

}  // namespace walkford::http_status
