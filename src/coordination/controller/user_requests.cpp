#include "coordination/controller/user_requests.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/controller/submission_validation.hpp"
#include "coordination/messages/http_status.hpp"

namespace walkford {

namespace {
// Clients wait 5 s for the response to a submission or cancellation and 2 s for the response to a
// poll. The budgets are shorter, so that a request that can't be decided in time still gets a
// response, which says when to retry.
constexpr Ms kWriteBudget = 4000;
constexpr Ms kPollBudget = 1500;
// Limit on open requests: the process's file descriptors divided by kOpenRequestsDivisor, but at
// least kMinOpenRequests.
constexpr std::size_t kMinOpenRequests = 400;
constexpr std::size_t kOpenRequestsDivisor = 3;
constexpr int kRetryAfterOverloadS = 2;
// Retry delay for requests that must wait for an upgrade. Controllers restart within seconds.
constexpr int kRetryAfterUpgradeS = 5;
constexpr int kMaxCreateRetries = 2;
constexpr int kMaxCancelRetries = 4;
constexpr std::size_t kMaxJobClasses = 256;
constexpr std::size_t kTaskRecordBytes = 48;  // size of one task in a placement record
constexpr std::size_t kMinTasksPerRecord = 4;
constexpr std::size_t kMaxTasksPerRecord = 64;

constexpr const char* kStoreUnavailable = "the state service does not answer";
constexpr const char* kTryAgain = "try again";
constexpr const char* kNoSuchJob = "no such job";
}  // namespace

UserRequests::UserRequests(ControllerContext& context, StoreWatcher& watcher)
    : context_(context), watcher_(watcher) {}

void UserRequests::tick(Ms now) {
    std::vector<RequestId> expired;
    for (const auto& [request, deadline] : deadlines_) {
        if (now >= deadline) {
            expired.push_back(request);
        }
    }
    for (RequestId request : expired) {
        respond_with_failure(request, {http_status::kServiceUnavailable, "not decided in time"});
    }
}

bool UserRequests::admit(Ms now, RequestId request, Ms budget) {
    deadlines_[request] = now + budget;
    std::size_t max_open = std::max<std::size_t>(
        kMinOpenRequests, context_.platform_settings.fd_limit / kOpenRequestsDivisor);
    if (deadlines_.size() <= max_open) {
        return true;
    }
    respond_with_failure(request, {http_status::kServiceUnavailable, "too many requests wait",
                                   kRetryAfterOverloadS});
    return false;
}

void UserRequests::respond(RequestId request, UserResponse response) {
    if (deadlines_.erase(request) == 0) {
        return;  // it has been answered already, perhaps by a timeout
    }
    response.request = request;
    context_.out.emplace_back(std::move(response));
}

void UserRequests::respond_with_failure(RequestId request, const Failure& failure) {
    bool may_retry = failure.code == http_status::kServiceUnavailable ||
                     failure.code == http_status::kTooManyRequests;
    UserResponse response;
    response.code = failure.code;
    response.error = failure.error;
    response.retry_after_s = may_retry ? failure.retry_after_s : 0;
    respond(request, std::move(response));
}

void UserRequests::respond_with_status(const JobRequest& job, int code, JobStatus status) {
    UserResponse response;
    response.code = code;
    response.id = job.job_id;
    response.status = status;
    respond(job.request, std::move(response));
}

void UserRequests::respond_with_state(const JobRequest& job, ResponseDetail detail) {
    UserResponse response;
    response.code = http_status::kOk;
    response.id = job.job_id;
    response.with_counts = detail == ResponseDetail::with_counts;
    if (auto ended = context_.replica.ended(job.job_id)) {
        response.status = ended->cancelled ? JobStatus::cancelled : JobStatus::done;
        response.done = ended->cancelled ? 0 : ended->tasks;
    } else if (const StoredJob* stored_job = context_.replica.job(job.job_id)) {
        PlacementCounts counts = context_.replica.counts(job.job_id);
        response.done = counts.done;
        response.running = counts.running;
        response.status = stored_job->record.cancelled ? JobStatus::cancelled
                          : counts.running > 0         ? JobStatus::running
                                                       : JobStatus::pending;
    }
    respond(job.request, std::move(response));
}

void UserRequests::respond_after_lookup(Ms now, const JobRequest& job, ResponseDetail detail,
                                        Failure if_unknown) {
    lookup(now, job,
           [this, job, detail, if_unknown = std::move(if_unknown)](Ms, LookupResult result) {
               if (result == LookupResult::found) {
                   respond_with_state(job, detail);
               } else {
                   respond_with_failure(job.request, if_unknown);
               }
           });
}

void UserRequests::lookup(Ms now, const JobRequest& job, LookupCallback callback) {
    watcher_.barrier(now, [this, job, callback = std::move(callback)](Ms at, bool confirmed) {
        on_lookup_confirmed(at, job, confirmed, callback);
    });
}

void UserRequests::on_lookup_confirmed(Ms now, const JobRequest& job, bool confirmed,
                                       const LookupCallback& callback) {
    if (!is_open(job.request)) {
        return;
    }
    if (!confirmed) {
        respond_with_failure(job.request, {http_status::kServiceUnavailable, kStoreUnavailable});
        return;
    }
    if (context_.replica.ended(job.job_id) || context_.replica.job(job.job_id)) {
        callback(now, LookupResult::found);
        return;
    }
    if (context_.replica.has_unreadable_job(job.job_id)) {
        respond_with_failure(job.request,
                             {http_status::kServiceUnavailable, "the job can't be read"});
        return;
    }
    // The confirmed replica has no live job of this id, so the job ended long ago or was never
    // accepted. One transaction moves a job from the live to the ended jobs, so this later read
    // can't miss it.
    context_.store.get(
        keys::finished_job(job.job_id),
        [this, job, callback](Ms at, const StoreResponse& response) {
            on_ended_read(at, job, response, callback);
        },
        context_.out);
}

void UserRequests::on_ended_read(Ms now, const JobRequest& job, const StoreResponse& response,
                                 const LookupCallback& callback) {
    if (!is_open(job.request)) {
        return;
    }
    if (response.status == StoreStatus::not_found) {
        callback(now, LookupResult::not_found);
        return;
    }
    bool has_value = response.status == StoreStatus::ok && response.rows.size() == 1 &&
                     response.rows.front().value.has_value();
    auto ended =
        has_value ? decode_finished_job(*response.rows.front().value, job.job_id) : std::nullopt;
    if (!ended) {
        respond_with_failure(job.request, {http_status::kServiceUnavailable, kStoreUnavailable});
        return;
    }
    context_.replica.cache_finished_job(job.job_id, *ended);
    callback(now, LookupResult::found);
}

void UserRequests::poll(Ms now, const PollRequest& poll) {
    if (!admit(now, poll.request, kPollBudget)) {
        return;
    }
    JobRequest job{poll.request, poll.id};
    const StoredJob* stored_job = context_.replica.job(poll.id);
    if (context_.replica.ended(poll.id) || (stored_job && stored_job->record.cancelled)) {
        // This state is final, so even an outdated replica gives the correct response.
        respond_with_state(job, ResponseDetail::with_counts);
        return;
    }
    respond_after_lookup(now, job, ResponseDetail::with_counts,
                         {http_status::kNotFound, kNoSuchJob});
}

void UserRequests::submit(Ms now, SubmitRequest submission) {
    const JobRequest job{submission.request, submission.spec.id};
    if (!admit(now, job.request, kWriteBudget) || respond_before_validation(now, submission, job)) {
        return;
    }
    if (auto problem = validate_submission(context_, submission)) {
        if (problem->permanent) {
            reject_permanently(now, job, problem->reason);
        } else {
            respond_with_failure(job.request, {http_status::kServiceUnavailable,
                                               "not all machine types can be read"});
        }
        return;
    }
    // Names are interned for good, so those of a job that can't be stored must not be.
    std::size_t max_bytes = context_.store.limits().max_value_bytes();
    bool names_fit = submission.image_name.size() + submission.job_class_name.size() <= max_bytes;
    Json record = names_fit ? encode_job({build_spec(submission), false}, context_.names) : Json();
    if (!names_fit || record.dump().size() > max_bytes) {
        reject_permanently(now, job, "its description is too large to be stored");
        return;
    }
    create(job, std::move(record), 0);
}

bool UserRequests::respond_before_validation(Ms now, const SubmitRequest& submission,
                                             const JobRequest& job) {
    constexpr int kUnavailable = http_status::kServiceUnavailable;
    if (!watcher_.ready()) {
        respond_with_failure(job.request, {kUnavailable, "recovering"});
        return true;
    }
    // A job that exists already is answered before its spec is validated, because the machine types
    // and the submitted spec may have changed since the job was accepted.
    if (context_.replica.ended(job.job_id)) {
        respond_with_state(job, ResponseDetail::status_only);
        return true;
    }
    if (context_.replica.job(job.job_id)) {
        respond_after_lookup(now, job, ResponseDetail::status_only, {kUnavailable, kTryAgain});
        return true;
    }
    if (context_.machine_types.empty()) {
        respond_with_failure(job.request, {kUnavailable, "machine types not known yet"});
        return true;
    }
    // A controller of an older version would treat a service as an array and record it as done.
    if (submission.spec.service() && !context_.may_write(kFeatureServices)) {
        respond_with_failure(job.request,
                             {kUnavailable, "services are taken once all controllers are upgraded",
                              kRetryAfterUpgradeS});
        return true;
    }
    // A controller of an older version would answer 400 when the submission is repeated.
    if (refused_by_former_versions(submission) && !context_.may_write(kFeatureAnyAmounts)) {
        respond_with_failure(job.request, {kUnavailable,
                                           "such amounts and names are taken once all controllers "
                                           "are upgraded",
                                           kRetryAfterUpgradeS});
        return true;
    }
    return false;
}

// Before it responds with 422, looks up the job with a linearizable read, because an earlier
// submission of the same job may have been accepted.
void UserRequests::reject_permanently(Ms now, const JobRequest& job, const std::string& reason) {
    lookup(now, job, [this, job, reason](Ms, LookupResult result) {
        if (result == LookupResult::found) {
            respond_with_state(job, ResponseDetail::status_only);
            return;
        }
        spdlog::info("job {} rejected: {}", job.job_id, reason);
        respond_with_failure(job.request, {http_status::kUnprocessableEntity, reason});
    });
}

JobSpec UserRequests::build_spec(SubmitRequest& submission) {
    JobSpec spec = std::move(submission.spec);
    // Users choose the class names freely, so the number of distinct classes is limited. Jobs of
    // further classes get no class.
    if (context_.names.job_classes.size() < kMaxJobClasses ||
        context_.names.job_classes.find(submission.job_class_name) != kNone) {
        spec.job_class = context_.names.job_classes.intern(submission.job_class_name);
    }
    if (!submission.image_name.empty()) {
        spec.image = context_.names.images.intern(submission.image_name);
    }
    // A placement record must fit into one value of the store even if each of its tasks runs on a
    // different machine.
    std::size_t tasks_per_record = context_.store.limits().max_value_bytes() / kTaskRecordBytes;
    spec.tasks_per_record = static_cast<std::uint32_t>(
        std::clamp(tasks_per_record, kMinTasksPerRecord, kMaxTasksPerRecord));
    return spec;
}

void UserRequests::create(const JobRequest& job, Json record, int retries) {
    Transaction transaction;
    transaction.comparisons = {{keys::job(job.job_id), 0}, {keys::finished_job(job.job_id), 0}};
    transaction.writes = {{keys::job(job.job_id), record, 0}};
    context_.store.transaction(
        RequestPriority::accept, std::move(transaction),
        [this, job, record = std::move(record), retries](Ms at, const StoreResponse& response) {
            on_created(at, job, record, retries, response);
        });
}

void UserRequests::on_created(Ms now, const JobRequest& job, const Json& record, int retries,
                              const StoreResponse& response) {
    if (!is_open(job.request)) {
        return;
    }
    if (response.status == StoreStatus::ok) {
        respond_with_status(job, http_status::kCreated, JobStatus::pending);
    } else if (response.status == StoreStatus::conflict) {
        // The job was accepted already, by another controller or by an earlier attempt of this
        // write.
        respond_after_lookup(now, job, ResponseDetail::status_only,
                             {http_status::kServiceUnavailable, kTryAgain});
    } else if (response.status == StoreStatus::no_response && retries < kMaxCreateRetries) {
        // The write may have been executed. Repeating it is safe: it either creates the job or
        // fails with a conflict because the job exists.
        create(job, record, retries + 1);
    } else {
        respond_with_failure(job.request, {http_status::kServiceUnavailable, kStoreUnavailable});
    }
}

void UserRequests::cancel(Ms now, const CancelRequest& cancellation) {
    if (!admit(now, cancellation.request, kWriteBudget)) {
        return;
    }
    try_cancel(now, {cancellation.request, cancellation.id}, 0);
}

void UserRequests::try_cancel(Ms now, const JobRequest& job, int retries) {
    if (!is_open(job.request)) {
        return;
    }
    const StoredJob* stored_job = context_.replica.job(job.job_id);
    if (context_.replica.ended(job.job_id) || (stored_job && stored_job->record.cancelled)) {
        respond_with_state(job, ResponseDetail::status_only);
        return;
    }
    if (retries > kMaxCancelRetries) {
        respond_with_failure(job.request, {http_status::kServiceUnavailable, kTryAgain});
        return;
    }
    if (stored_job) {
        write_cancellation(job, *stored_job, retries);
        return;
    }
    lookup(now, job, [this, job, retries](Ms at, LookupResult result) {
        if (result == LookupResult::found) {
            try_cancel(at, job, retries + 1);
        } else {
            respond_with_failure(job.request, {http_status::kNotFound, kNoSuchJob});
        }
    });
}

void UserRequests::write_cancellation(const JobRequest& job, const StoredJob& stored_job,
                                      int retries) {
    JobRecord record = stored_job.record;
    record.cancelled = true;
    Json value = encode_job(record, context_.names);
    if (value.dump().size() > context_.store.limits().max_value_bytes()) {
        value = encode_cancelled_job(record.spec, context_.names);
    }
    Transaction transaction;
    transaction.comparisons = {{keys::job(job.job_id), stored_job.version}};
    transaction.writes = {{keys::job(job.job_id), std::move(value), 0}};
    context_.store.transaction(RequestPriority::cancel, std::move(transaction),
                               [this, job, retries](Ms at, const StoreResponse& response) {
                                   on_cancellation_written(at, job, retries, response);
                               });
}

void UserRequests::on_cancellation_written(Ms now, const JobRequest& job, int retries,
                                           const StoreResponse& response) {
    if (!is_open(job.request)) {
        return;
    }
    if (response.status == StoreStatus::ok) {
        respond_with_status(job, http_status::kOk, JobStatus::cancelled);
        return;
    }
    if (response.status != StoreStatus::conflict && response.status != StoreStatus::no_response) {
        respond_with_failure(job.request, {http_status::kServiceUnavailable, kStoreUnavailable});
        return;
    }
    // The job has changed meanwhile, or it is unknown whether the write was executed. Read the job
    // again and retry.
    watcher_.barrier(now, [this, job, retries](Ms at, bool confirmed) {
        if (confirmed) {
            try_cancel(at, job, retries + 1);
        } else {
            respond_with_failure(job.request,
                                 {http_status::kServiceUnavailable, kStoreUnavailable});
        }
    });
}

}  // namespace walkford
