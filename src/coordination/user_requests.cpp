#include "coordination/user_requests.hpp"

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
constexpr std::size_t kLeastChunk = 4;
constexpr std::size_t kMostChunk = 64;
}  // namespace

void UserRequests::answer(RequestId request, UserAnswer a) {
    auto it = open_.find(request);
    if (it == open_.end()) {
        return;  // answered already, or given up
    }
    open_.erase(it);
    a.request = request;
    core_.out.emplace_back(std::move(a));
}

void UserRequests::refuse(RequestId request, int code, const std::string& error, int retry_after) {
    UserAnswer a;
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
    UserAnswer a;
    a.code = 200;
    a.id = id;
    a.with_counts = polled;
    if (auto ended = core_.view.ended(id)) {
        a.status = ended->cancelled ? JobStatus::cancelled : JobStatus::done;
        a.done = ended->cancelled ? 0 : ended->tasks;
    } else if (const JobView* job = core_.view.job(id)) {
        View::Counts counts = core_.view.counts(id);
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
    keeper_.barrier(now, [this, request, id, known = std::move(known),
                          unknown = std::move(unknown)](Ms at, bool ok) {
        if (!is_open(request)) {
            return;
        }
        if (!ok) {
            refuse(request, 503, "the state service does not answer");
            return;
        }
        if (core_.view.ended(id) || core_.view.job(id)) {
            known(at);
            return;
        }
        // Not live by a proven view: it ended long ago or was never accepted. A job moves from the
        // live to the ended ones in one transaction, so this later look can't miss it.
        core_.state.get(
            keys::ended(id),
            [this, request, id, known, unknown](Ms then, const StateReply& r) {
                if (!is_open(request)) {
                    return;
                }
                if (r.status == 200 && r.rows.size() == 1 && r.rows[0].value) {
                    if (auto ended = decode_ended(*r.rows[0].value)) {
                        core_.view.remember_ended(id, *ended);
                        known(then);
                        return;
                    }
                }
                if (r.status == 404) {
                    unknown(then);
                } else {
                    refuse(request, 503, "the state service does not answer");
                }
            },
            core_.out);
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
    if (open_.size() <= std::max<std::size_t>(kLeastOpen, core_.platform.fd_limit / 3)) {
        return true;
    }
    refuse(request, 503, "too many requests wait", 2);
    return false;
}

void UserRequests::poll(Ms now, const PollRequest& q) {
    if (!admit(now, q.request, q.id, kPollBudget)) {
        return;
    }
    auto ended = core_.view.ended(q.id);
    const JobView* job = core_.view.job(q.id);
    if (ended || (job && job->record.cancelled)) {
        tell_state(q.request, q.id, true);  // terminal: never changes, so it is never too old
        return;
    }
    tell_fresh(now, q.request, q.id, true,
               [this, request = q.request](Ms) { refuse(request, 404, "no such job"); });
}

std::string UserRequests::judge(SubmitRequest& q) {
    JobSpec& s = q.spec;
    s.team = core_.names.teams.find(q.team_name);
    if (s.team == kNone || s.team >= core_.platform.teams.size()) {
        return "unknown team";
    }
    if (q.zone_named) {
        s.zone = core_.names.zones.find(q.zone_name);
        if (s.zone == kNone) {
            return "unknown zone";
        }
    }
    if (q.kinds_named) {
        s.any_kind = false;
        for (const std::string& name : q.kind_names) {
            Id k = core_.names.kinds.find(name);
            if (k != kNone) {
                s.kinds.push_back(k);
            }
        }
    }
    std::set<Id> zones;  // where a task may be
    for (const Kind& k : core_.kinds) {
        if (!s.allows_kind(k.id) || !s.each.fits_in(k.size)) {
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
    const Team& team = core_.platform.teams[s.team];
    double n = s.needed_at_once();
    auto over = [&](double each, double limit) { return limit > 0 && each * n > limit + 1e-6; };
    if (over(s.each.cpus, team.limit.cpus) || over(s.each.gpus, team.limit.gpus)) {
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
    if (!keeper_.ready()) {
        refuse(request, 503, "recovering");
        return;
    }
    // A known job is told of before its body is judged: types and bodies may have changed since.
    if (core_.view.ended(id)) {
        tell_state(request, id, false);
        return;
    }
    if (core_.view.job(id)) {
        tell_fresh(now, request, id, false,
                   [this, request](Ms) { refuse(request, 503, "try again"); });
        return;
    }
    if (core_.kinds.empty()) {
        refuse(request, 503, "machine types not known yet");
        return;
    }
    // An older controller would take it for a batch, and call it done.
    if (q.spec.service() && !core_.may_write(kFeatureServices)) {
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
    if (core_.names.lanes.size() < 256 || core_.names.lanes.find(q.lane_name) != kNone) {
        spec.lane = core_.names.lanes.intern(q.lane_name);
    }
    if (!q.image_name.empty()) {
        spec.image = core_.names.images.intern(q.image_name);
    }
    std::size_t value_bytes = core_.state.limits().value_bytes();
    // Sized so that a record with every task on another machine stays within a value.
    spec.chunk = static_cast<std::uint32_t>(
        std::clamp(value_bytes / kTaskRecordBytes, kLeastChunk, kMostChunk));
    Json record = encode_job({std::move(spec), false}, core_.names);
    if (record.dump().size() > value_bytes) {
        refuse_for_good(now, request, id, "its description is too large to be stored");
        return;
    }
    create(request, id, std::move(record), 0);
}

void UserRequests::create(RequestId request, const std::string& id, Json record, int tries) {
    Txn txn;
    txn.conditions = {{keys::job(id), 0}, {keys::ended(id), 0}};
    txn.writes = {{keys::job(id), record, 0}};
    core_.state.txn(
        Urgency::accept, std::move(txn),
        [this, request, id, record = std::move(record), tries](Ms at, const StateReply& r) {
            if (!is_open(request)) {
                return;
            }
            if (r.status == 200) {
                UserAnswer a;
                a.code = 201;
                a.id = id;
                a.status = JobStatus::pending;
                answer(request, std::move(a));
            } else if (r.status == 409) {
                // Accepted already: by another node, or by an earlier copy of this very
                // write.
                tell_fresh(at, request, id, false,
                           [this, request](Ms) { refuse(request, 503, "try again"); });
            } else if (r.status == 0 && tries < 2) {
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
    const JobView* job = core_.view.job(id);
    if (core_.view.ended(id) || (job && job->record.cancelled)) {
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
    Txn txn;
    txn.conditions = {{keys::job(id), job->stamp}};
    Json value = encode_job(record, core_.names);
    if (value.dump().size() > core_.state.limits().value_bytes()) {
        value = encode_cancelled_job(record.spec, core_.names);
    }
    txn.writes = {{keys::job(id), std::move(value), 0}};
    core_.state.txn(Urgency::cancel, std::move(txn),
                    [this, request, id, tries](Ms at, const StateReply& r) {
                        if (!is_open(request)) {
                            return;
                        }
                        if (r.status == 200) {
                            UserAnswer a;
                            a.code = 200;
                            a.id = id;
                            a.status = JobStatus::cancelled;
                            answer(request, std::move(a));
                        } else if (r.status == 409 || r.status == 0) {
                            // It changed meanwhile, or it is unknown whether it did: look again.
                            keeper_.barrier(at, [this, request, id, tries](Ms then, bool ok) {
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
