// The bodies of requests that come from users and workers. Both functions throw DecodeError for a
// field that is missing or invalid.
#pragma once

#include "protocol/wire.hpp"

namespace walkford::protocol {

// A job that a user submits.
SubmitRequest decode_submission(RequestId request, const Json& body);
// What a worker reports of itself, in a heartbeat or in the response to a command.
WorkerStatus decode_worker_status(const Json& body);

}  // namespace walkford::protocol
