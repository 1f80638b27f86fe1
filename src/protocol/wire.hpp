// Converts between HTTP messages and the domain types: requests of users and workers with their
// responses, and requests to the store, the cloud and the workers with theirs. The paths and field
// names of these protocols are defined in field_names.hpp.
#pragma once

#include <string>
#include <string_view>

#include "coordination/messages/inputs.hpp"
#include "coordination/messages/outputs.hpp"
#include "protocol/messagepack_codec.hpp"

namespace walkford::protocol {

// HTTP methods. `other` stands for all methods that the protocols do not use.
enum class Method : std::uint8_t { get, post, del, other };

// An HTTP response that this controller sends.
struct HttpResponse {
    int code = 200;
    std::string body;
    int retry_after_s = 0;  // 0: no Retry-After header
};

// An HTTP request that this controller sends.
struct HttpRequest {
    Method method = Method::get;
    std::string path;
    std::string body;
};

// The result of parsing a request to this controller: an input for the core, or an error response
// to a request that is rejected without reaching the core.
using ParsedRequest = std::variant<Input, HttpResponse>;

// Parses a request of a user or a worker. Called by the HTTP server for each request. Never throws.
ParsedRequest parse_request(RequestId request, Method method, std::string_view path,
                            std::string_view body);
HttpResponse encode(const UserResponse& response);
HttpResponse encode(const HeartbeatResponse& response);
// Builds an error response. With codes 429 and 503, it asks the client to retry after 1 second.
HttpResponse error_response(int code, const std::string& message);

// In the decoders below, `code` is the HTTP status, or 0 if no response was received. A response
// of the store or the cloud that lacks required fields or has invalid ones is logged and treated as
// no response, because the request may have been executed.
HttpRequest encode(const StoreRequest& request);
StoreResponse decode_store_response(const StoreRequest& request, int code, std::string_view body);
HttpRequest encode(const CloudRequest& request);
// Adds the names of machine types and zones in the response to `names`.
CloudResponse decode_cloud_response(const CloudRequest& request, int code, std::string_view body,
                                    Names& names);
HttpRequest encode(const WorkerRequest& request);
WorkerResponse decode_worker_response(CallId call, int code, std::string_view body);

}  // namespace walkford::protocol
