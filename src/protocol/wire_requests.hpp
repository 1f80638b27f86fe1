// Decoders for the bodies of requests from users and workers. Both functions throw DecodeError if a
// field is missing or invalid.
#pragma once

#include "protocol/wire.hpp"

namespace walkford::protocol {

// Decodes a job submission of a user.
SubmitRequest decode_submission(RequestId request, const Json& body);
// Decodes the status that a worker reports in a heartbeat or in the response to commands.
WorkerStatus decode_worker_status(const Json& body);
// The same; logs the worker and the field of a status that can't be decoded.
WorkerStatus decode_logged_status(const Json& body);

}  // namespace walkford::protocol
