// Callbacks of a leader's calls: a response that arrives after the leader stepped down is dropped.
#pragma once

#include <memory>
#include <utility>

#include "coordination/leader/leader_context.hpp"

namespace walkford {

// Wraps the handler of a response. The objects of a leader are destroyed with its LeaderContext
// while the clients that hold the callback live on; the handler runs only while they still exist.
template <typename Handler>
auto while_leading(const LeaderContext& context, Handler handler) {
    return [alive = std::weak_ptr<bool>(context.alive), handler = std::move(handler)](
               Ms now, const auto& response) {
        if (!alive.expired()) {
            handler(now, response);
        }
    };
}

}  // namespace walkford
