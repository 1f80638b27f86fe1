// Requests of users on any controller: submission, status and cancellation of jobs.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include "coordination/context/controller_context.hpp"
#include "coordination/store/store_watcher.hpp"

namespace walkford {

// Owned by the Controller; serves whether or not it leads, from the replica and the state service
// alone. Every request is answered exactly once, at the latest when its time budget is over; the
// answers are appended to the context's outputs.
class UserRequests {
  public:
    // References must outlive it.
    UserRequests(ControllerContext& context, StoreWatcher& watcher);

    // Creates the job durably: 201. A job that is known already is answered with its state: 200, so
    // that a submission may be repeated. 422 for one that can never run.
    void submit(Ms now, SubmitRequest submission);
    // Answers with the state of a job: 200; 404 if it was never accepted.
    void poll(Ms now, const PollRequest& poll);
    // Marks a job as cancelled durably: 200, also if it had ended; 404 if it was never accepted.
    void cancel(Ms now, const CancelRequest& cancellation);
    // Answers requests whose budget is over with 503.
    void tick(Ms now);
    // Is no request open?
    bool idle() const { return deadlines_.empty(); }

  private:
    // An open request and the job that it names.
    struct JobRequest {
        RequestId request = 0;
        std::string job_id;
    };
    // Status and error text of an answer that is not a success.
    struct Failure {
        int code = 0;
        std::string error;
        int retry_after_s = 1;  // sent where the code asks to come back
    };
    enum class ResponseDetail : std::uint8_t { status_only, with_counts };
    enum class LookupResult : std::uint8_t { found, not_found };
    using LookupCallback = std::function<void(Ms, LookupResult)>;

    bool is_open(RequestId request) const { return deadlines_.count(request) != 0; }
    // Opens the request; false, and it is answered, if too many are open.
    bool admit(Ms now, RequestId request, Ms budget);
    void respond(RequestId request, UserResponse response);
    void respond_with_failure(RequestId request, const Failure& failure);
    void respond_with_status(const JobRequest& job, int code, JobStatus status);
    // Answers with the state of the job in the replica.
    void respond_with_state(const JobRequest& job, ResponseDetail detail);
    // Looks the job up by a linearizable read, and answers with its state or, if it was never
    // accepted, with `if_unknown`.
    void respond_after_lookup(Ms now, const JobRequest& job, ResponseDetail detail,
                              Failure if_unknown);

    // Linearizable lookup among live and ended jobs. Answers the request and does not call back if
    // the state service can't tell.
    void lookup(Ms now, const JobRequest& job, LookupCallback then);
    void on_lookup_confirmed(Ms now, const JobRequest& job, bool confirmed,
                             const LookupCallback& then);
    void on_ended_read(Ms now, const JobRequest& job, const StoreResponse& response,
                       const LookupCallback& then);

    // True if the submission was answered without looking at what it asks for.
    bool answered_early(Ms now, const SubmitRequest& submission, const JobRequest& job);
    void reject_permanently(Ms now, const JobRequest& job, const std::string& reason);
    JobSpec build_spec(SubmitRequest& submission);
    void create(const JobRequest& job, Json record, int retries);
    void on_created(Ms now, const JobRequest& job, const Json& record, int retries,
                    const StoreResponse& response);

    void try_cancel(Ms now, const JobRequest& job, int retries);
    void write_cancellation(const JobRequest& job, const StoredJob& stored_job, int retries);
    void on_cancellation_written(Ms now, const JobRequest& job, int retries,
                                 const StoreResponse& response);

    ControllerContext& context_;
    StoreWatcher& watcher_;
    std::unordered_map<RequestId, Ms> deadlines_;  // of the open requests
};

}  // namespace walkford
