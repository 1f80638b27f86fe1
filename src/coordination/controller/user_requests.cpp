#include "coordination/controller/user_requests.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace walkford {

namespace {
// Users wait 5 s for a submission or cancellation and 2 s for a poll; what can't be decided in good
// time is given back at once, with when to come again.
constexpr Ms kWriteBudget = 4000;
constexpr Ms kPollBudget = 1500;
constexpr std::size_t kLeastOpen = 400;  // ... by as many as a third of the node's sockets
// When to come back with what waits for an upgrade: controllers restart within seconds.
constexpr int kRetryAfterUpgradeS = 5;
constexpr std::size_t kTaskRecordBytes = 48;  // of a placement record, one task
constexpr std::size_t kMinTasksPerRecord = 4;
constexpr std::size_t kMaxTasksPerRecord = 64;
}  // namespace

void UserRequests::answer(RequestId request, UserResponse a) {
    auto it = open_.find(request);
    if (it == open_.end()) {
        return;  // answered already, or given up
    }
    open_.erase(it);
    a.request = request;
    context_.out.emplace_back(std::move(a));
}

void UserRequests::refuse(RequestId request, int code, const std::string& error, int retry_after) {
    UserResponse a;
    a.code = code;
    a.error = error;
    a.retry_after_s = code == 503 || code == 429 ? retry_after : 0;
    answer(request, std::move(a));
}

void UserRequests::tick(Ms now) {
    std::vector<RequestId> late;
    for (const auto& [request, open] : open_) {
        if (now >= open.until) {
            late.push_back(request);
        }
    }
    for (RequestId r : late) {
        refuse(r, 503, "not decided in time");
    }
}

void UserRequests::tell_state(RequestId request, const std::string& id, bool polled) {
    UserResponse a;
    a.code = 200;
    a.id = id;
    a.with_counts = polled;
    if (auto ended = context_.replica.ended(id)) {
        a.status = ended->cancelled ? JobStatus::cancelled : JobStatus::done;
        a.done = ended->cancelled ? 0 : ended->tasks;
    } else if (const StoredJob* job = context_.replica.job(id)) {
        StoreReplica::Counts counts = context_.replica.counts(id);
        a.done = counts.done;
        a.running = counts.running;
        a.status = job->record.cancelled ? JobStatus::cancelled
                   : counts.running > 0  ? JobStatus::running
                                         : JobStatus::pending;
    }
    answer(request, std::move(a));
}

void UserRequests::find_fresh(Ms now, RequestId request, const std::string& id, Found known,
                              Found unknown) {
    watcher_.barrier(now, [this, request, id, known = std::move(known),
                           unknown = std::move(unknown)](Ms at, bool ok) {
        if (!is_open(request)) {
            return;
        }
        if (!ok) {
            refuse(request, 503, "the state service does not answer");
            return;
        }
        if (context_.replica.ended(id) || context_.replica.job(id)) {
            known(at);
            return;
        }
        // Not live by a proven view: it ended long ago or was never accepted. A job moves from the
        // live to the ended ones in one transaction, so this later look can't miss it.
        context_.store.get(
            keys::ended(id),
            [this, request, id, known, unknown](Ms then, const StoreResponse& r) {
                if (!is_open(request)) {
                    return;
                }
                if (r.status == StoreStatus::ok && r.rows.size() == 1 && r.rows[0].value) {
                    if (auto ended = decode_ended(*r.rows[0].value)) {
                        context_.replica.remember_ended(id, *ended);
                        known(then);
                        return;
                    }
                }
                if (r.status == StoreStatus::not_found) {
                    unknown(then);
                } else {
                    refuse(request, 503, "the state service does not answer");
                }
            },
            context_.out);
    });
}

void UserRequests::tell_fresh(Ms now, RequestId request, const std::string& id, bool polled,
                              Found unknown) {
    find_fresh(
        now, request, id, [this, request, id, polled](Ms) { tell_state(request, id, polled); },
        std::move(unknown));
}

bool UserRequests::admit(Ms now, RequestId request, const std::string& id, Ms budget) {
    open_[request] = Open{id, now + budget};
    if (open_.size() <=
        std::max<std::size_t>(kLeastOpen, context_.platform_settings.fd_limit / 3)) {
        return true;
    }
    refuse(request, 503, "too many requests wait", 2);
    return false;
}

void UserRequests::poll(Ms now, const PollRequest& q) {
    if (!admit(now, q.request, q.id, kPollBudget)) {
        return;
    }
    auto ended = context_.replica.ended(q.id);
    const StoredJob* job = context_.replica.job(q.id);
    if (ended || (job && job->record.cancelled)) {
        tell_state(q.request, q.id, true);  // terminal: never changes, so it is never too old
        return;
    }
    tell_fresh(now, q.request, q.id, true,
               [this, request = q.request](Ms) { refuse(request, 404, "no such job"); });
}

std::string UserRequests::judge(SubmitRequest& q) {
    JobSpec& s = q.spec;
    s.team = context_.names.teams.find(q.team_name);
    if (s.team == kNone || s.team >= context_.platform_settings.teams.size()) {
        return "unknown team";
    }
    if (q.zone_named) {
        s.zone = context_.names.zones.find(q.zone_name);
        if (s.zone == kNone) {
            return "unknown zone";
        }
    }
    if (q.machine_types_named) {
        s.any_machine_type = false;
        for (const std::string& name : q.machine_type_names) {
            Id k = context_.names.machine_types.find(name);
            if (k != kNone) {
                s.machine_types.push_back(k);
            }
        }
    }
    std::set<Id> zones;  // where a task may be
    for (const MachineType& k : context_.machine_types) {
        if (!s.allows_machine_type(k.id) || !s.each.fits_in(k.size)) {
            continue;
        }
        for (Id zone : k.zones) {
            if (s.zone == kNone || s.zone == zone) {
                zones.insert(zone);
            }
        }
    }
    if (zones.empty()) {
        return "a task fits no allowed machine type";
    }
    // (Of an array, half of the tasks may run after the other half.)
    if (s.starts_together() && s.spread && (s.one_zone || zones.size() < 2)) {
        return "all tasks at once and spread over zones, with one zone to be in";
    }
    const Team& team = context_.platform_settings.teams[s.team];
    double n = s.needed_at_once();
    auto over = [&](double each, double limit) { return limit > 0 && each * n > limit + 1e-6; };
    if (over(s.each.cpus, team.quota.cpus) || over(s.each.gpus, team.quota.gpus)) {
        return "needs more than the team's limit";
    }
    return {};
}

// Never accepted? Only a proven look may say so.
void UserRequests::refuse_for_good(Ms now, RequestId request, const std::string& id,
                                   const std::string& why) {
    tell_fresh(now, request, id, false, [this, request, why, id](Ms) {
        spdlog::info("refused {}: {}", id, why);
        refuse(request, 422, why);
    });
}

void UserRequests::submit(Ms now, SubmitRequest q) {
    const std::string id = q.spec.id;
    RequestId request = q.request;
    if (!admit(now, request, id, kWriteBudget)) {
        return;
    }
    if (!watcher_.ready()) {
        refuse(request, 503, "recovering");
        return;
    }
    // A known job is told of before its body is judged: types and bodies may have changed since.
    if (context_.replica.ended(id)) {
        tell_state(request, id, false);
        return;
    }
    if (context_.replica.job(id)) {
        tell_fresh(now, request, id, false,
                   [this, request](Ms) { refuse(request, 503, "try again"); });
        return;
    }
    if (context_.machine_types.empty()) {
        refuse(request, 503, "machine types not known yet");
        return;
    }
    // An older controller would take it for a batch, and call it done.
    if (q.spec.service() && !context_.may_write(kFeatureServices)) {
        refuse(request, 503, "services are taken once all controllers are upgraded",
               kRetryAfterUpgradeS);
        return;
    }
    std::string why = judge(q);
    if (!why.empty()) {
        refuse_for_good(now, request, id, why);
        return;
    }
    JobSpec spec = std::move(q.spec);
    // Users choose these names; beyond a few hundred classes they are not told apart.
    if (context_.names.job_classes.size() < 256 ||
        context_.names.job_classes.find(q.job_class_name) != kNone) {
        spec.job_class = context_.names.job_classes.intern(q.job_class_name);
    }
    if (!q.image_name.empty()) {
        spec.image = context_.names.images.intern(q.image_name);
    }
    std::size_t value_bytes = context_.store.limits().value_bytes();
    // Sized so that a record with every task on another machine stays within a value.
    spec.tasks_per_record = static_cast<std::uint32_t>(
        std::clamp(value_bytes / kTaskRecordBytes, kMinTasksPerRecord, kMaxTasksPerRecord));
    Json record = encode_job({std::move(spec), false}, context_.names);
    if (record.dump().size() > value_bytes) {
        refuse_for_good(now, request, id, "its description is too large to be stored");
        return;
    }
    create(request, id, std::move(record), 0);
}

void UserRequests::create(RequestId request, const std::string& id, Json record, int tries) {
    Transaction transaction;
    transaction.comparisons = {{keys::job(id), 0}, {keys::ended(id), 0}};
    transaction.writes = {{keys::job(id), record, 0}};
    context_.store.transaction(
        RequestPriority::accept, std::move(transaction),
        [this, request, id, record = std::move(record), tries](Ms at, const StoreResponse& r) {
            if (!is_open(request)) {
                return;
            }
            if (r.status == StoreStatus::ok) {
                UserResponse a;
                a.code = 201;
                a.id = id;
                a.status = JobStatus::pending;
                answer(request, std::move(a));
            } else if (r.status == StoreStatus::conflict) {
                // Accepted already: by another node, or by an earlier copy of this very
                // write.
                tell_fresh(at, request, id, false,
                           [this, request](Ms) { refuse(request, 503, "try again"); });
            } else if (r.status == StoreStatus::no_response && tries < 2) {
                // May have happened. The same write again is harmless: it creates or
                // finds the job.
                create(request, id, record, tries + 1);
            } else {
                refuse(request, 503, "the state service does not answer");
            }
        });
}

void UserRequests::cancel(Ms now, const CancelRequest& q) {
    if (!admit(now, q.request, q.id, kWriteBudget)) {
        return;
    }
    try_cancel(now, q.request, q.id, 0);
}

void UserRequests::try_cancel(Ms now, RequestId request, const std::string& id, int tries) {
    if (!is_open(request)) {
        return;
    }
    const StoredJob* job = context_.replica.job(id);
    if (context_.replica.ended(id) || (job && job->record.cancelled)) {
        tell_state(request, id, false);
        return;
    }
    if (tries > 4) {
        refuse(request, 503, "try again");
        return;
    }
    if (!job) {
        find_fresh(
            now, request, id,
            [this, request, id, tries](Ms at) { try_cancel(at, request, id, tries + 1); },
            [this, request](Ms) { refuse(request, 404, "no such job"); });
        return;
    }
    JobRecord record = job->record;
    record.cancelled = true;
    Transaction transaction;
    transaction.comparisons = {{keys::job(id), job->version}};
    Json value = encode_job(record, context_.names);
    if (value.dump().size() > context_.store.limits().value_bytes()) {
        value = encode_cancelled_job(record.spec, context_.names);
    }
    transaction.writes = {{keys::job(id), std::move(value), 0}};
    context_.store.transaction(
        RequestPriority::cancel, std::move(transaction),
        [this, request, id, tries](Ms at, const StoreResponse& r) {
            if (!is_open(request)) {
                return;
            }
            if (r.status == StoreStatus::ok) {
                UserResponse a;
                a.code = 200;
                a.id = id;
                a.status = JobStatus::cancelled;
                answer(request, std::move(a));
            } else if (r.status == StoreStatus::conflict || r.status == StoreStatus::no_response) {
                // It changed meanwhile, or it is unknown whether it did: look again.
                watcher_.barrier(at, [this, request, id, tries](Ms then, bool ok) {
                    if (ok) {
                        try_cancel(then, request, id, tries + 1);
                    } else {
                        refuse(request, 503, "the state service does not answer");
                    }
                });
            } else {
                refuse(request, 503, "the state service does not answer");
            }
        });
}

}  // namespace walkford
