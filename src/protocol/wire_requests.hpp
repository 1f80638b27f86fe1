// The bodies of requests that come from users and workers. A field that is missing or of the wrong
// sort is thrown as BadField.
#pragma once

#include "protocol/wire.hpp"

namespace walkford::protocol {

SubmitRequest parse_job(RequestId request, const Json& body);
WorkerStatus read_worker_status(const Json& body);

}  // namespace walkford::protocol
