// What workers report and are told.
#include <charconv>

#include "protocol/wire_fields.hpp"
#include "protocol/wire_requests.hpp"

namespace walkford::protocol {

namespace {

// "j-000412/3"
bool split_task(const std::string& name, std::string& job, std::uint32_t& task) {
    auto slash = name.rfind('/');
    if (slash == std::string::npos || slash == 0) {
        return false;
    }
    job = name.substr(0, slash);
    const char* end = name.data() + name.size();
    auto [p, ec] = std::from_chars(name.data() + slash + 1, end, task);
    return ec == std::errc() && p == end && job_id_ok(job);
}

TaskState task_state(const std::string& s) {
    if (s == "pulling") {
        return TaskState::pulling;
    }
    if (s == "waiting") {
        return TaskState::waiting;
    }
    if (s == "running") {
        return TaskState::running;
    }
    if (s == "flushing") {
        return TaskState::saving;
    }
    if (s == "exited") {
        return TaskState::exited;
    }
    return TaskState::unknown;
}

Json encode_commands(const std::vector<WorkerCommand>& commands) {
    Json list = Json::array();
    for (const WorkerCommand& o : commands) {
        Json v{{"piece", o.job + "/" + std::to_string(o.task)}, {"try", o.attempt}};
        switch (o.type) {
            case WorkerCommandType::run:
                v["verb"] = "run";
                break;
            case WorkerCommandType::clear:
                v["verb"] = "clear";
                break;
            case WorkerCommandType::stop:
                v["verb"] = "halt";
                v["leewayS"] = o.grace_s;
                break;
        }
        list.push_back(std::move(v));
    }
    return list;
}

}  // namespace

WorkerStatus read_worker_status(const Json& b) {
    if (!b.is_object()) {
        throw BadField{"not a map"};
    }
    WorkerStatus r;
    r.machine = text(b, "walker");
    if (r.machine.empty()) {
        throw BadField{"bad walker"};
    }
    r.address = absent(b, "endpoint") ? "" : text(b, "endpoint");
    r.machine_type = text(b, "build");
    r.zone = text(b, "yard");
    r.spot = truth(b, "loaners");
    r.incarnation = whole(b, "stint", "");
    r.sequence = whole(b, "tick", "");
    r.fencing_token = whole(b, "baton", "");
    if (!absent(b, "warningS")) {
        r.notice_s = decimal(b, "warningS");
    }
    const Json& pieces = need(b, "pieces");
    if (!pieces.is_array()) {
        throw BadField{"bad pieces"};
    }
    for (const Json& p : pieces) {
        if (!p.is_object()) {
            throw BadField{"bad pieces"};
        }
        ReportedTask t;
        if (!split_task(text(p, "piece"), t.job, t.task)) {
            throw BadField{"bad piece"};
        }
        t.attempt = static_cast<std::uint32_t>(whole(p, "try", ""));
        t.state = task_state(text(p, "status"));
        if (!absent(p, "cause")) {
            t.cause = text(p, "cause");
        }
        t.progress_saved = !absent(p, "kept") && p["kept"].is_boolean() && p["kept"].get<bool>();
        r.tasks.push_back(std::move(t));
    }
    return r;
}

std::optional<WorkerStatus> parse_worker_status(const Json& body) {
    try {
        return read_worker_status(body);
    } catch (const BadField&) {
        return std::nullopt;
    }
}

HttpReply encode(const HeartbeatResponse& a) {
    HttpReply r;
    r.code = a.code;
    Json v = Json::object();
    if (a.code == 200) {
        v["baton"] = a.fencing_token;
        v["orders"] = encode_commands(a.commands);
    } else if (!a.leader.empty()) {
        v["foreman"] = a.leader;
    }
    r.body = pack(v);
    return r;
}

HttpCall encode(const WorkerRequest& c) {
    HttpCall h;
    h.method = Method::post;
    h.path = "/orders";
    h.body = pack(Json{{"baton", c.fencing_token},
                       {"stint", c.incarnation},
                       {"orders", encode_commands(c.commands)}});
    return h;
}

WorkerResponse decode_worker(CallId call, int code, std::string_view body) {
    WorkerResponse r;
    r.call = call;
    if (code == 0) {
        return r;
    }
    r.status = code == 200   ? WorkerCallStatus::ok
               : code == 409 ? WorkerCallStatus::conflict
                             : WorkerCallStatus::unexpected;
    if (r.status == WorkerCallStatus::unexpected) {
        return r;
    }
    if (auto doc = unpack(body)) {
        r.worker_status = parse_worker_status(*doc);
    }
    return r;
}

}  // namespace walkford::protocol
