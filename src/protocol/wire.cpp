// Requests to this controller, by method and path.
#include "protocol/wire_fields.hpp"
#include "protocol/wire_requests.hpp"

namespace walkford::protocol {

HttpReply error_reply(int code, const std::string& why) {
    return {code, pack(Json{{"error", why}}), code == 503 || code == 429 ? 1 : 0};
}

Arrival parse_request(RequestId request, Method method, std::string_view path,
                      std::string_view body) {
    if (auto cut = path.find('?'); cut != std::string_view::npos) {
        path = path.substr(0, cut);
    }
    if (path.size() > 300) {
        return error_reply(404, "no such path");
    }
    auto wrong = [] { return error_reply(405, "method not allowed"); };
    try {
        if (path == "/ready") {
            if (method != Method::get) {
                return wrong();
            }
            return Input{ReadyRequest{request}};
        }
        if (path == "/agent/beat") {
            if (method != Method::post) {
                return wrong();
            }
            auto doc = unpack(body);
            if (!doc) {
                return error_reply(400, "not a MessagePack value");
            }
            return Input{HeartbeatRequest{request, read_worker_status(*doc)}};
        }
        if (path == "/work") {
            if (method != Method::post) {
                return wrong();
            }
            auto doc = unpack(body);
            if (!doc) {
                return error_reply(400, "not a MessagePack value");
            }
            return Input{parse_job(request, *doc)};
        }
        constexpr std::string_view kWork = "/work/";
        if (path.substr(0, kWork.size()) == kWork) {
            std::string_view rest = path.substr(kWork.size());
            constexpr std::string_view kCancel = "/cancel";
            bool cancel = rest.size() > kCancel.size() &&
                          rest.substr(rest.size() - kCancel.size()) == kCancel;
            if (cancel) {
                rest = rest.substr(0, rest.size() - kCancel.size());
            }
            std::string id(rest);
            // What can't be an id was never submitted; it never comes near a key.
            if (!job_id_ok(id)) {
                return error_reply(404, "no such job");
            }
            if (cancel) {
                if (method != Method::post) {
                    return wrong();
                }
                return Input{CancelRequest{request, id}};
            }
            if (method != Method::get) {
                return wrong();
            }
            return Input{PollRequest{request, id}};
        }
    } catch (const BadField& e) {
        return error_reply(400, e.what);
    } catch (const Json::exception&) {
        return error_reply(400, "malformed");
    }
    return error_reply(404, "no such path");
}

}  // namespace walkford::protocol
