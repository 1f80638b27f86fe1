// The users' dialogue: submissions, polls and cancellations, on every node.
#pragma once

#include "coordination/context/controller_context.hpp"
#include "coordination/store/store_watcher.hpp"

namespace walkford {

class UserRequests {
  public:
    UserRequests(ControllerContext& context, StoreWatcher& watcher)
        : context_(context), watcher_(watcher) {}

    void submit(Ms now, SubmitRequest request);
    void poll(Ms now, const PollRequest& request);
    void cancel(Ms now, const CancelRequest& request);
    void tick(Ms now);
    bool idle() const { return open_.empty(); }

  private:
    struct Open {
        std::string id;
        Ms until = 0;
    };
    void answer(RequestId request, UserResponse a);
    void refuse(RequestId request, int code, const std::string& error, int retry_after = 1);
    void tell_state(RequestId request, const std::string& id, bool polled);
    // After a proven reading, and a look at the ended ones: is the job known or not?
    using Found = std::function<void(Ms)>;
    void find_fresh(Ms now, RequestId request, const std::string& id, Found known, Found unknown);
    void tell_fresh(Ms now, RequestId request, const std::string& id, bool polled, Found unknown);
    bool admit(Ms now, RequestId request, const std::string& id, Ms budget);
    // Empty: it can run. Otherwise why it never can.
    std::string judge(SubmitRequest& request);
    void refuse_for_good(Ms now, RequestId request, const std::string& id, const std::string& why);
    void create(RequestId request, const std::string& id, Json record, int tries);
    void try_cancel(Ms now, RequestId request, const std::string& id, int tries);
    bool is_open(RequestId request) const { return open_.count(request) != 0; }

    ControllerContext& context_;
    StoreWatcher& watcher_;
    std::unordered_map<RequestId, Open> open_;
};

}  // namespace walkford
