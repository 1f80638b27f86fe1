// The HTTP status codes that a controller answers with.
#pragma once

namespace walkford::http_status {

inline constexpr int kOk = 200;
inline constexpr int kCreated = 201;
inline constexpr int kNotFound = 404;
// The receiver is not the leader; the answer may name it.
inline constexpr int kMisdirectedRequest = 421;
// A job that can never run, whenever it is submitted again.
inline constexpr int kUnprocessableEntity = 422;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kServiceUnavailable = 503;

}  // namespace walkford::http_status
