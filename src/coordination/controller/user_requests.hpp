// User requests, which any controller serves: submission, status and cancellation of jobs.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include "coordination/context/controller_context.hpp"
#include "coordination/store/store_watcher.hpp"

namespace walkford {

// Owned by the Controller. Serves requests whether or not this controller leads, using only the
// store and its replica. Every request is answered exactly once, at the latest when its time budget
// is exhausted. Responses are appended to the outputs of the context.
class UserRequests {
  public:
    // All references must outlive it.
    UserRequests(ControllerContext& context, StoreWatcher& watcher);

    // Creates the job durably and responds with 201. If the job exists already, responds with 200
    // and its state, so that a submission may be repeated. Responds with 422 if the job can never
    // run.
    void submit(Ms now, SubmitRequest submission);
    // Responds with 200 and the state of the job, or with 404 if the job was never accepted.
    void poll(Ms now, const PollRequest& poll);
    // Durably marks the job as cancelled and responds with 200, also if the job has ended already.
    // Responds with 404 if the job was never accepted.
    void cancel(Ms now, const CancelRequest& cancellation);
    // Responds with 503 to the requests whose time budget is exhausted.
    void tick(Ms now);
    // Whether no request is open.
    bool idle() const { return deadlines_.empty(); }

  private:
    // An open request and the job that it refers to.
    struct JobRequest {
        RequestId request = 0;
        std::string job_id;
    };
    // Status code and error text of a response that reports a failure.
    struct Failure {
        int code = 0;
        std::string error;
        int retry_after_s = 1;  // sent only with codes that allow a retry
    };
    enum class ResponseDetail : std::uint8_t { status_only, with_counts };
    enum class LookupResult : std::uint8_t { found, not_found };
    using LookupCallback = std::function<void(Ms, LookupResult)>;

    bool is_open(RequestId request) const { return deadlines_.count(request) != 0; }
    // Registers the request as open. If too many requests are open, responds with 503 instead and
    // returns false.
    bool admit(Ms now, RequestId request, Ms budget);
    void respond(RequestId request, UserResponse response);
    void respond_with_failure(RequestId request, const Failure& failure);
    void respond_with_status(const JobRequest& job, int code, JobStatus status);
    // Responds with the state of the job in the replica.
    void respond_with_state(const JobRequest& job, ResponseDetail detail);
    // Looks up the job with a linearizable read. Responds with its state or, if it was never
    // accepted, with `if_unknown`.
    void respond_after_lookup(Ms now, const JobRequest& job, ResponseDetail detail,
                              Failure if_unknown);

    // Looks up the job among live and ended jobs with a linearizable read. If the store gives no
    // usable response, responds to the request with 503 and does not run `callback`.
    void lookup(Ms now, const JobRequest& job, LookupCallback callback);
    void on_lookup_confirmed(Ms now, const JobRequest& job, bool confirmed,
                             const LookupCallback& callback);
    void on_ended_read(Ms now, const JobRequest& job, const StoreResponse& response,
                       const LookupCallback& callback);

    // Responds to submissions whose response does not depend on their spec. Returns whether it
    // did.
    bool respond_before_validation(Ms now, const SubmitRequest& submission, const JobRequest& job);
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
    std::unordered_map<RequestId, Ms> deadlines_;  // when the time budgets of the open requests end
};

}  // namespace walkford
