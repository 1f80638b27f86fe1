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

Json encode_orders(const std::vector<Order>& orders) {
    Json list = Json::array();
    for (const Order& o : orders) {
        Json v{{"piece", o.job + "/" + std::to_string(o.task)}, {"try", o.attempt}};
        switch (o.verb) {
            case OrderVerb::run:
                v["verb"] = "run";
                break;
            case OrderVerb::clear:
                v["verb"] = "clear";
                break;
            case OrderVerb::halt:
                v["verb"] = "halt";
                v["leewayS"] = o.grace_s;
                break;
        }
        list.push_back(std::move(v));
    }
    return list;
}

}  // namespace

WorkerReport read_report(const Json& b) {
    if (!b.is_object()) {
        throw BadField{"not a map"};
    }
    WorkerReport r;
    r.machine = text(b, "walker");
    if (r.machine.empty()) {
        throw BadField{"bad walker"};
    }
    r.address = absent(b, "endpoint") ? "" : text(b, "endpoint");
    r.kind = text(b, "build");
    r.zone = text(b, "yard");
    r.spot = truth(b, "loaners");
    r.session = whole(b, "stint", "");
    r.tick = whole(b, "tick", "");
    r.token = whole(b, "baton", "");
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
        t.kept = !absent(p, "kept") && p["kept"].is_boolean() && p["kept"].get<bool>();
        r.tasks.push_back(std::move(t));
    }
    return r;
}

std::optional<WorkerReport> parse_report(const Json& body) {
    try {
        return read_report(body);
    } catch (const BadField&) {
        return std::nullopt;
    }
}

HttpReply encode(const HeartbeatAnswer& a) {
    HttpReply r;
    r.code = a.code;
    Json v = Json::object();
    if (a.code == 200) {
        v["baton"] = a.token;
        v["orders"] = encode_orders(a.orders);
    } else if (!a.leader.empty()) {
        v["foreman"] = a.leader;
    }
    r.body = pack(v);
    return r;
}

HttpCall encode(const WorkerCall& c) {
    HttpCall h;
    h.method = Method::post;
    h.path = "/orders";
    h.body =
        pack(Json{{"baton", c.token}, {"stint", c.session}, {"orders", encode_orders(c.orders)}});
    return h;
}

WorkerReply decode_worker(CallId call, int code, std::string_view body) {
    WorkerReply r{call, code, std::nullopt};
    if (code != 200 && code != 409) {
        return r;
    }
    if (auto doc = unpack(body)) {
        r.report = parse_report(*doc);
    }
    return r;
}

}  // namespace walkford::protocol
