#include "protocol/wire.hpp"

#include <spdlog/spdlog.h>

#include <charconv>
#include <cmath>

namespace walkford::protocol {

namespace {

constexpr std::uint32_t kMostTasks = 100000;
constexpr double kMostAmount = 1e7;

// Thrown and caught in this file only: a field that is missing or of the wrong sort.
struct BadField {
    std::string what;
};

const Json& need(const Json& map, const char* field) {
    auto it = map.find(field);
    if (it == map.end() || it->is_null()) {
        throw BadField{std::string("missing ") + field};
    }
    return *it;
}
bool absent(const Json& map, const char* field) {
    auto it = map.find(field);
    return it == map.end() || it->is_null();
}
std::string text(const Json& map, const char* field, std::size_t most = 200) {
    const Json& v = need(map, field);
    if (!v.is_string() || v.get_ref<const std::string&>().size() > most) {
        throw BadField{std::string("bad ") + field};
    }
    return v.get<std::string>();
}
// Decimals are also read from whole numbers.
double decimal(const Json& map, const char* field) {
    const Json& v = need(map, field);
    if (!v.is_number()) {
        throw BadField{std::string("bad ") + field};
    }
    double d = v.get<double>();
    if (!std::isfinite(d) || d < 0 || d > kMostAmount) {
        throw BadField{std::string("bad ") + field};
    }
    return d;
}
// Whole numbers are also read from decimals without a fraction.
std::uint64_t whole(const Json& v, const char* field) {
    if (v.is_number_unsigned()) {
        return v.get<std::uint64_t>();
    }
    if (v.is_number_integer() && v.get<std::int64_t>() >= 0) {
        return v.get<std::uint64_t>();
    }
    if (v.is_number_float()) {
        double d = v.get<double>();
        if (std::isfinite(d) && d >= 0 && d < 9e15 && d == std::floor(d)) {
            return static_cast<std::uint64_t>(d);
        }
    }
    throw BadField{std::string("bad ") + field};
}
std::uint64_t whole(const Json& map, const char* field, const char* /*in*/) {
    return whole(need(map, field), field);
}
bool truth(const Json& map, const char* field) {
    const Json& v = need(map, field);
    if (!v.is_boolean()) {
        throw BadField{std::string("bad ") + field};
    }
    return v.get<bool>();
}

JobShape job_shape(const std::string& shape) {
    if (shape == "batch") {
        return JobShape::batch;
    }
    if (shape == "ensemble") {
        return JobShape::gang;
    }
    if (shape == "service") {
        return JobShape::service;
    }
    throw BadField{"bad shape"};
}

SubmitRequest parse_job(RequestId request, const Json& b) {
    if (!b.is_object()) {
        throw BadField{"not a map"};
    }
    SubmitRequest q;
    q.request = request;
    JobSpec& s = q.spec;
    s.id = text(b, "uid");
    if (!job_id_ok(s.id)) {
        throw BadField{"bad uid"};
    }
    q.lane_name = text(b, "lane");
    q.team_name = text(b, "owner");
    std::string shape = text(b, "shape");
    s.shape = job_shape(shape);
    std::string rank = text(b, "rank");
    if (rank == "prod") {
        s.priority = Priority::production;
    } else if (rank == "high") {
        s.priority = Priority::high;
    } else if (rank == "normal") {
        s.priority = Priority::normal;
    } else if (rank == "best_effort") {
        s.priority = Priority::best_effort;
    } else {
        throw BadField{"bad rank"};
    }
    std::uint64_t n = whole(b, "pieces", "");
    if (n == 0 || n > kMostTasks) {
        throw BadField{"bad pieces"};
    }
    s.tasks = static_cast<std::uint32_t>(n);
    s.each = {decimal(b, "vcpus"), decimal(b, "gpus"), decimal(b, "ramGb")};
    if (!absent(b, "builds")) {
        const Json& builds = b["builds"];
        if (!builds.is_array()) {
            throw BadField{"bad builds"};
        }
        q.kinds_named = true;
        for (const Json& k : builds) {
            if (!k.is_string()) {
                throw BadField{"bad builds"};
            }
            q.kind_names.push_back(k.get<std::string>());
        }
    }
    if (!absent(b, "yard")) {
        q.zone_named = true;
        q.zone_name = text(b, "yard");
    }
    s.one_zone = truth(b, "samePlace");
    s.spread = truth(b, "spread");
    s.spot = truth(b, "loaners");
    q.image_name = text(b, "bundle");
    s.image_gb = decimal(b, "imageGb");
    s.estimate_s = decimal(b, "guessS");
    if (s.service()) {
        s.estimate_s = 0;  // it has no end that could be estimated
    }
    s.checkpoint_s = decimal(b, "bookmarkS");
    s.save_s = decimal(b, "stashS");
    s.deadline_s = absent(b, "dueS") ? -1 : decimal(b, "dueS");
    return q;
}

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

const char* status_word(JobStatus s) {
    switch (s) {
        case JobStatus::pending:
            return "pending";
        case JobStatus::running:
            return "running";
        case JobStatus::done:
            return "done";
        case JobStatus::cancelled:
            return "cancelled";
    }
    return "pending";
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

constexpr PackLimits kStateLimits{std::size_t{8} * 1024 * 1024, std::size_t{1024} * 1024, 32};
constexpr PackLimits kCloudLimits{std::size_t{1024} * 1024, std::size_t{64} * 1024, 16};

}  // namespace

HttpReply error_reply(int code, const std::string& why) {
    return {code, pack(Json{{"error", why}}), code == 503 || code == 429 ? 1 : 0};
}

std::optional<WorkerReport> parse_report(const Json& body) {
    try {
        return read_report(body);
    } catch (const BadField&) {
        return std::nullopt;
    }
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
            return Input{HeartbeatRequest{request, read_report(*doc)}};
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

HttpReply encode(const UserAnswer& a) {
    HttpReply r;
    r.code = a.code;
    r.retry_after_s = a.retry_after_s;
    if (a.code == 200 || a.code == 201) {
        Json v = Json::object();
        if (!a.id.empty()) {
            v["uid"] = a.id;
            v["status"] = status_word(a.status);
            if (a.with_counts) {
                v["done"] = a.done;
                v["running"] = a.running;
            }
        }
        r.body = pack(v);
    } else {
        r.body = pack(Json{{"error", a.error}});
    }
    return r;
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

HttpCall encode(const StateCall& c) {
    HttpCall h;
    switch (c.verb) {
        case StateVerb::get:
            h.path = "/keys/" + c.key;
            break;
        case StateVerb::list:
            h.path = "/keys?prefix=" + c.key;
            if (!c.after_key.empty()) {
                h.path += "&after=" + c.after_key;
            }
            h.path += "&most=400";
            break;
        case StateVerb::changes:
            h.path = "/changes?prefix=" + c.key + "&after=" + std::to_string(c.after) +
                     "&blockMs=" + std::to_string(c.wait_ms);
            break;
        case StateVerb::lease_grant:
            h.method = Method::post;
            h.path = "/leases";
            h.body = pack(Json{{"lifeMs", c.ttl_ms}});
            break;
        case StateVerb::lease_touch:
            h.method = Method::post;
            h.path = "/leases/" + std::to_string(c.lease) + "/touch";
            h.body = pack(Json::object());
            break;
        case StateVerb::lease_drop:
            h.method = Method::del;
            h.path = "/leases/" + std::to_string(c.lease);
            break;
        case StateVerb::txn: {
            h.method = Method::post;
            h.path = "/txn";
            Json conditions = Json::array();
            for (const Condition& k : c.txn.conditions) {
                conditions.push_back(Json{{"k", k.key}, {"stamp", k.stamp}});
            }
            Json writes = Json::array();
            for (const Write& w : c.txn.writes) {
                if (!w.value) {
                    writes.push_back(Json{{"drop", w.key}});
                    continue;
                }
                Json v{{"write", w.key}, {"value", *w.value}};
                if (w.lease != 0) {
                    v["permit"] = w.lease;
                }
                writes.push_back(std::move(v));
            }
            h.body = pack(Json{{"if", std::move(conditions)}, {"writes", std::move(writes)}});
            break;
        }
    }
    return h;
}

StateReply decode_state(const StateCall& c, int code, std::string_view body) {
    StateReply r;
    r.call = c.call;
    r.status = code;
    if (code == 0 || code == 429 || code == 503) {
        return r;
    }
    if (body.empty() && (code == 204 || c.verb == StateVerb::lease_drop)) {
        return r;
    }
    auto doc = unpack(body, kStateLimits);
    if (!doc || !doc->is_object()) {
        // Whatever it meant, it may have been executed.
        if (code == 200) {
            r.status = 0;
        }
        return r;
    }
    const Json& b = *doc;
    try {
        if (!absent(b, "ledgerRev")) {
            r.revision = whole(b, "ledgerRev", "");
        }
        if (!absent(b, "failed")) {
            for (const Json& f : b["failed"]) {
                r.failed.push_back(f.get<std::string>());
            }
        }
        if (code != 200) {
            return r;
        }
        switch (c.verb) {
            case StateVerb::get:
                r.rows.push_back({text(b, "k"), need(b, "value"), whole(b, "stamp", "")});
                break;
            case StateVerb::list:
                for (const Json& row : need(b, "rows")) {
                    r.rows.push_back({text(row, "k"), need(row, "value"), whole(row, "stamp", "")});
                }
                r.more = !absent(b, "truncated") && b["truncated"].is_boolean() &&
                         b["truncated"].get<bool>();
                break;
            case StateVerb::changes:
                for (const Json& e : need(b, "events")) {
                    if (!absent(e, "write")) {
                        r.rows.push_back(
                            {text(e, "write"), need(e, "value"), whole(e, "stamp", "")});
                    } else if (!absent(e, "drop")) {
                        r.rows.push_back({text(e, "drop"), std::nullopt, whole(e, "stamp", "")});
                    } else {
                        spdlog::warn("unknown event from the state service ignored");
                    }
                }
                break;
            case StateVerb::lease_grant:
                r.lease = whole(b, "permit", "");
                break;
            default:
                break;
        }
    } catch (const BadField& e) {
        spdlog::warn("answer of the state service not understood: {}", e.what);
        r.status = 0;
        r.rows.clear();
    } catch (const Json::exception&) {
        spdlog::warn("answer of the state service not understood");
        r.status = 0;
        r.rows.clear();
    }
    return r;
}

HttpCall encode(const CloudCall& c) {
    HttpCall h;
    switch (c.verb) {
        case CloudVerb::kinds:
            h.path = "/flavors";
            break;
        case CloudVerb::hire:
            h.method = Method::post;
            h.path = "/machines";
            h.body = pack(Json{{"hire", c.hire},
                               {"build", c.kind},
                               {"yard", c.zone},
                               {"loaners", c.spot},
                               {"howMany", c.count}});
            break;
        case CloudVerb::give_back:
            h.method = Method::post;
            h.path = "/machines/return";
            h.body = pack(Json{{"walkers", c.names}});
            break;
        case CloudVerb::list:
            h.path = "/machines?most=500";
            if (!c.after.empty()) {
                h.path += "&after=" + c.after;
            }
            break;
    }
    return h;
}

CloudReply decode_cloud(const CloudCall& c, int code, std::string_view body, Names& names) {
    CloudReply r;
    r.call = c.call;
    r.status = code;
    if (code == 0) {
        return r;
    }
    auto doc = unpack(body, kCloudLimits);
    if (code == 503 && doc && doc->is_object() && !absent(*doc, "error")) {
        // Only this answer says surely that nothing was rented; an outage says nothing.
        const Json& e = (*doc)["error"];
        r.more = e.is_string() && e.get<std::string>() == "no capacity";
    }
    if (code != 200) {
        return r;
    }
    if (c.verb == CloudVerb::give_back) {
        return r;
    }
    try {
        if (!doc || !doc->is_object()) {
            throw BadField{"not a map"};
        }
        const Json& b = *doc;
        if (c.verb == CloudVerb::kinds) {
            for (const Json& k : need(b, "builds")) {
                Kind kind;
                kind.id = names.kinds.intern(text(k, "name"));
                kind.size = {decimal(k, "vcpus"), decimal(k, "gpus"), decimal(k, "ramGb")};
                kind.cache_gb = decimal(k, "cacheGb");
                kind.fetch_gb_per_s = decimal(k, "fetchGbPerS");
                kind.price = decimal(k, "price");
                kind.spot_price = absent(k, "lowPrice") ? 0 : decimal(k, "lowPrice");
                kind.boot_s = decimal(k, "readyS");
                for (const Json& z : need(k, "yards")) {
                    kind.zones.push_back(names.zones.intern(z.get<std::string>()));
                }
                r.kinds.push_back(std::move(kind));
            }
        } else if (c.verb == CloudVerb::hire) {
            for (const Json& n : need(b, "walkers")) {
                r.names.push_back(n.get<std::string>());
            }
        } else {
            for (const Json& w : need(b, "walkers")) {
                CloudMachine m;
                m.name = text(w, "uid");
                m.address = absent(w, "endpoint") ? "" : text(w, "endpoint");
                m.kind = text(w, "build");
                m.zone = text(w, "yard");
                m.spot = truth(w, "loaners");
                m.age_s = absent(w, "heldS") ? 0 : decimal(w, "heldS");
                std::string status = text(w, "status");
                if (status == "booting") {
                    m.status = CloudStatus::booting;
                } else if (status == "failed") {
                    m.status = CloudStatus::failed;
                } else {
                    if (status != "running") {
                        spdlog::warn("machine status '{}' not known", status);
                    }
                    m.status = CloudStatus::running;
                }
                r.machines.push_back(std::move(m));
            }
            r.more = !absent(b, "truncated") && b["truncated"].is_boolean() &&
                     b["truncated"].get<bool>();
        }
    } catch (const BadField& e) {
        spdlog::warn("answer of the cloud not understood: {}", e.what);
        r = CloudReply{c.call, 0, {}, {}, {}, false};
    } catch (const Json::exception&) {
        spdlog::warn("answer of the cloud not understood");
        r = CloudReply{c.call, 0, {}, {}, {}, false};
    }
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
