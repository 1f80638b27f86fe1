// Calls of a controller that have no response yet, and the callbacks for their responses.
#pragma once

#include <functional>
#include <unordered_map>

#include "coordination/messages/shared_messages.hpp"

namespace walkford {

// Matches responses to pending calls by their CallId. A response to a call that is not pending is
// ignored. `Response` must have a member `call` of type CallId.
template <typename Response>
class PendingCalls {
  public:
    // Called with the time at which the response arrived, and the response.
    using ResponseCallback = std::function<void(Ms, const Response&)>;

    // Registers a pending call and returns the id to send with it.
    CallId open(ResponseCallback callback) {
        CallId call = next_call_++;
        pending_.emplace(call, std::move(callback));
        return call;
    }
    // Removes the pending call that the response belongs to, then runs its callback.
    void reply(Ms now, const Response& response) {
        auto entry = pending_.find(response.call);
        if (entry == pending_.end()) {
            return;
        }
        // The callback may register further calls, which invalidates the iterator. Therefore the
        // entry is removed before the callback runs.
        ResponseCallback callback = std::move(entry->second);
        pending_.erase(entry);
        callback(now, response);
    }

  private:
    CallId next_call_ = 1;
    std::unordered_map<CallId, ResponseCallback> pending_;
};

}  // namespace walkford
