// HTTP messages to and from the domain's types: the requests of users and workers with their
// responses, and the requests to the store, the cloud and the workers with theirs. The words of
// the wire itself stand in field_names.hpp.
#pragma once

#include <string>
#include <string_view>

#include "coordination/messages/inputs.hpp"
#include "coordination/messages/outputs.hpp"
#include "protocol/messagepack_codec.hpp"

namespace walkford::protocol {

// HTTP methods, as far as the protocols use them.
enum class Method : std::uint8_t { get, post, del, other };

// An HTTP response of this controller.
struct HttpResponse {
    int code = 200;
    std::string body;
    int retry_after_s = 0;  // 0: no Retry-After header
};

// An HTTP request of this controller.
struct HttpRequest {
    Method method = Method::get;
    std::string path;
    std::string body;
};

// A request to this controller: an input for the core, or the error response for a request that
// the core never sees.
using ParsedRequest = std::variant<Input, HttpResponse>;

// Parses a request of a user or a worker; the server calls it for each request. Never throws.
ParsedRequest parse_request(RequestId request, Method method, std::string_view path,
                            std::string_view body);
HttpResponse encode(const UserResponse& response);
HttpResponse encode(const HeartbeatResponse& response);
// An error response; with 429 and 503 the client is asked to try again after a second.
HttpResponse error_response(int code, const std::string& message);

// In the decoders below, `code` is the HTTP status, or 0 where no response came. A body that can't
// be understood is logged and counts as no response: the request may have been executed.
HttpRequest encode(const StoreRequest& request);
StoreResponse decode_store_response(const StoreRequest& request, int code, std::string_view body);
HttpRequest encode(const CloudRequest& request);
// Machine types and zones are added to `names`.
CloudResponse decode_cloud_response(const CloudRequest& request, int code, std::string_view body,
                                    Names& names);
HttpRequest encode(const WorkerRequest& request);
WorkerResponse decode_worker_response(CallId call, int code, std::string_view body);

}  // namespace walkford::protocol
