// Open calls of a controller and what waits for their responses.
#pragma once

#include <functional>
#include <unordered_map>

#include "coordination/messages/shared_messages.hpp"

namespace walkford {

// Pairs replies with what waits for them; a reply to a call that nobody remembers is dropped.
template <typename Reply>
class PendingCalls {
  public:
    using Then = std::function<void(Ms, const Reply&)>;
    CallId open(Then then) {
        CallId id = next_++;
        pending_.emplace(id, std::move(then));
        return id;
    }
    void reply(Ms now, const Reply& reply) {
        auto it = pending_.find(reply.call);
        if (it == pending_.end()) {
            return;
        }
        Then then = std::move(it->second);
        pending_.erase(it);
        then(now, reply);
    }

  private:
    CallId next_ = 1;
    std::unordered_map<CallId, Then> pending_;
};

}  // namespace walkford
