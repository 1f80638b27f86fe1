// Routes requests to this controller by method and path.
#include "protocol/wire.hpp"

#include "protocol/field_names.hpp"
#include "protocol/json_fields.hpp"
#include "protocol/wire_requests.hpp"

namespace walkford::protocol {

namespace {
constexpr std::size_t kMaxPathBytes = 300;

HttpResponse no_such_path() { return error_response(404, "no such path"); }
HttpResponse method_not_allowed() { return error_response(405, "method not allowed"); }
HttpResponse not_messagepack() {
    return error_response(400, "not a MessagePack value of UTF-8 text");
}

ParsedRequest parse_ready(RequestId request, Method method) {
    if (method != Method::get) {
        return method_not_allowed();
    }
    return Input{ReadyRequest{request}};
}

ParsedRequest parse_heartbeat(RequestId request, Method method, std::string_view body) {
    if (method != Method::post) {
        return method_not_allowed();
    }
    auto document = unpack(body);
    if (!document) {
        return not_messagepack();
    }
    return Input{HeartbeatRequest{request, decode_logged_status(*document)}};
}

ParsedRequest parse_submission(RequestId request, Method method, std::string_view body) {
    if (method != Method::post) {
        return method_not_allowed();
    }
    auto document = unpack(body);
    if (!document) {
        return not_messagepack();
    }
    return Input{decode_submission(request, *document)};
}

// `path` is the part after "/work/": the id of a job, followed by "/cancel" for a cancellation.
ParsedRequest parse_job_request(RequestId request, Method method, std::string_view path) {
    constexpr std::string_view kCancelSuffix = user_fields::kCancelPathSuffix;
    bool cancel = path.size() > kCancelSuffix.size() && path.ends_with(kCancelSuffix);
    if (cancel) {
        path.remove_suffix(kCancelSuffix.size());
    }
    std::string job_id(path);
    // No job with an invalid id can have been submitted, and an invalid id must never become part
    // of a store key.
    if (!is_valid_job_id(job_id)) {
        return error_response(404, "no such job");
    }
    if (method != (cancel ? Method::post : Method::get)) {
        return method_not_allowed();
    }
    if (cancel) {
        return Input{CancelRequest{request, job_id}};
    }
    return Input{PollRequest{request, job_id}};
}

ParsedRequest parse_by_path(RequestId request, Method method, std::string_view path,
                            std::string_view body) {
    if (path == user_fields::kReadyPath) {
        return parse_ready(request, method);
    }
    if (path == worker_fields::kHeartbeatPath) {
        return parse_heartbeat(request, method, body);
    }
    if (path == user_fields::kJobsPath) {
        return parse_submission(request, method, body);
    }
    constexpr std::string_view kJobPathPrefix = user_fields::kJobPathPrefix;
    if (path.starts_with(kJobPathPrefix)) {
        return parse_job_request(request, method, path.substr(kJobPathPrefix.size()));
    }
    return no_such_path();
}
}  // namespace

HttpResponse error_response(int code, const std::string& message) {
    bool retry = code == 503 || code == 429;
    return {code, pack(Json{{user_fields::kError, message}}), retry ? 1 : 0};
}

ParsedRequest parse_request(RequestId request, Method method, std::string_view path,
                            std::string_view body) {
    if (auto query = path.find('?'); query != std::string_view::npos) {
        path = path.substr(0, query);
    }
    if (path.size() > kMaxPathBytes) {
        return no_such_path();
    }
    try {
        return parse_by_path(request, method, path, body);
    } catch (const DecodeError& error) {
        return error_response(400, error.what());
    } catch (const Json::exception&) {
        return error_response(400, "malformed");
    }
}

}  // namespace walkford::protocol
