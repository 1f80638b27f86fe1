// What users send and are answered.
#include "protocol/wire_fields.hpp"
#include "protocol/wire_requests.hpp"

namespace walkford::protocol {

namespace {

constexpr std::uint32_t kMostTasks = 100000;

JobShape job_shape(const std::string& shape) {
    if (shape == "batch") {
        return JobShape::array;
    }
    if (shape == "ensemble") {
        return JobShape::gang;
    }
    if (shape == "service") {
        return JobShape::service;
    }
    throw BadField{"bad shape"};
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

}  // namespace

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
    q.job_class_name = text(b, "lane");
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
        q.machine_types_named = true;
        for (const Json& k : builds) {
            if (!k.is_string()) {
                throw BadField{"bad builds"};
            }
            q.machine_type_names.push_back(k.get<std::string>());
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
    s.checkpoint_interval_s = decimal(b, "bookmarkS");
    s.checkpoint_duration_s = decimal(b, "stashS");
    s.deadline_s = absent(b, "dueS") ? -1 : decimal(b, "dueS");
    return q;
}

HttpReply encode(const UserResponse& a) {
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

}  // namespace walkford::protocol
