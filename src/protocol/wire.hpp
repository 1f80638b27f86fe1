// The wire's words, and nowhere else: requests and answers of users, workers, cloud and state
// service to and from the domain's types.
#pragma once

#include <string>
#include <string_view>

#include "coordination/messages/inputs.hpp"
#include "coordination/messages/outputs.hpp"
#include "protocol/messagepack_codec.hpp"

namespace walkford::protocol {

enum class Method : std::uint8_t { get, post, del, other };

struct HttpReply {
    int code = 200;
    std::string body;
    int retry_after_s = 0;
};

struct HttpCall {
    Method method = Method::get;
    std::string path;
    std::string body;
};

// A request to this controller: an input for the core, or the answer at the door.
using Arrival = std::variant<Input, HttpReply>;
Arrival parse_request(RequestId request, Method method, std::string_view path,
                      std::string_view body);
HttpReply encode(const UserResponse& answer);
HttpReply encode(const HeartbeatResponse& answer);
HttpReply error_reply(int code, const std::string& why);

HttpCall encode(const StoreRequest& call);
StoreResponse decode_state(const StoreRequest& call, int code, std::string_view body);
HttpCall encode(const CloudRequest& call);
// Kinds and zones become indices here.
CloudResponse decode_cloud(const CloudRequest& call, int code, std::string_view body, Names& names);
HttpCall encode(const WorkerRequest& call);
WorkerResponse decode_worker(CallId call, int code, std::string_view body);

std::optional<WorkerStatus> parse_worker_status(const Json& body);

}  // namespace walkford::protocol
