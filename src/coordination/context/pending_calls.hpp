// Open calls of a controller, and the callbacks that wait for their responses.
#pragma once

#include <functional>
#include <unordered_map>

#include "coordination/messages/shared_messages.hpp"

namespace walkford {

// Matches responses to calls by their CallId; a response to a call that is not open is ignored.
// `Response` needs a member `call`.
template <typename Response>
class PendingCalls {
  public:
    // Called with the time of the response, and the response.
    using Then = std::function<void(Ms, const Response&)>;

    // Opens a call, and returns the id to send with it.
    CallId open(Then then) {
        CallId call = next_call_++;
        pending_.emplace(call, std::move(then));
        return call;
    }
    // Closes the call that the response belongs to, then runs its callback.
    void reply(Ms now, const Response& response) {
        auto entry = pending_.find(response.call);
        if (entry == pending_.end()) {
            return;
        }
        // The callback may open further calls: the entry must be gone before.
        Then then = std::move(entry->second);
        pending_.erase(entry);
        then(now, response);
    }

  private:
    CallId next_call_ = 1;
    std::unordered_map<CallId, Then> pending_;
};

}  // namespace walkford
