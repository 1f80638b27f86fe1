// The client of the cloud's interface: a queue below its rate limit.
#pragma once

#include <algorithm>
#include <deque>
#include <utility>

#include "coordination/context/pending_calls.hpp"
#include "coordination/messages/inputs.hpp"
#include "coordination/messages/outputs.hpp"

namespace walkford {

// Calls to the cloud, paced below its limit; a list of two thousand machines takes several, and
// waits behind what rents and gives back.
class CloudClient {
  public:
    explicit CloudClient(double rps) : rate_(rps * 0.8), tokens_(rate_) {}
    using Then = PendingCalls<CloudResponse>::Then;
    void call(CloudRequest call, Then then) {
        bool reads = call.operation == CloudOperation::list ||
                     call.operation == CloudOperation::list_machine_types;
        (reads ? readings_ : queue_).push_back({std::move(call), std::move(then)});
    }
    void pump(Ms now, Outputs& out) {
        tokens_ = std::min(std::max(1.0, rate_),
                           tokens_ + rate_ * static_cast<double>(now - refilled_) / 1000.0);
        refilled_ = now;
        while (tokens_ >= 1.0) {
            auto& queue = queue_.empty() ? readings_ : queue_;
            if (queue.empty()) {
                break;
            }
            tokens_ -= 1.0;
            auto [call, then] = std::move(queue.front());
            queue.pop_front();
            call.call = pending_.open(std::move(then));
            out.emplace_back(std::move(call));
        }
    }
    void reply(Ms now, const CloudResponse& r) { pending_.reply(now, r); }
    void clear() {
        queue_.clear();
        readings_.clear();
    }

  private:
    double rate_;
    double tokens_;
    Ms refilled_ = 0;
    std::deque<std::pair<CloudRequest, Then>> queue_;
    std::deque<std::pair<CloudRequest, Then>> readings_;
    PendingCalls<CloudResponse> pending_;
};

}  // namespace walkford
