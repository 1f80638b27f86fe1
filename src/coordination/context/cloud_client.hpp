// The client of the cloud's interface: a queue that is served below the cloud's rate limit.
#pragma once

#include <algorithm>
#include <deque>
#include <utility>

#include "coordination/context/pending_calls.hpp"
#include "coordination/messages/inputs.hpp"
#include "coordination/messages/outputs.hpp"

namespace walkford {

// Calls to the cloud, rate-limited by a token bucket. Calls that scale out and in go before reads:
// a list of two thousand machines takes several calls. Owned by the ControllerContext; used by the
// leader only, but responses to calls of an earlier term are still matched.
class CloudClient {
  public:
    using Then = PendingCalls<CloudResponse>::Then;

    // `requests_per_s`: the cloud's limit, of which a share is used.
    explicit CloudClient(double requests_per_s)
        : rate_(requests_per_s * kShareOfLimit), tokens_(rate_) {}

    // Queues a call; `then` runs when its response comes in.
    void call(CloudRequest request, Then then) {
        bool reads = request.operation == CloudOperation::list ||
                     request.operation == CloudOperation::list_machine_types;
        (reads ? reads_ : changes_).push_back({std::move(request), std::move(then)});
    }
    // Appends to `out` as many of the queued calls as the rate admits.
    void pump(Ms now, Outputs& out) {
        refill(now);
        while (tokens_ >= 1.0) {
            auto& queue = changes_.empty() ? reads_ : changes_;
            if (queue.empty()) {
                break;
            }
            tokens_ -= 1.0;
            QueuedCall queued = std::move(queue.front());
            queue.pop_front();
            queued.request.call = pending_.open(std::move(queued.then));
            out.emplace_back(std::move(queued.request));
        }
    }
    // Takes in a response; one to an unknown call is ignored.
    void reply(Ms now, const CloudResponse& response) { pending_.reply(now, response); }
    // Drops the calls that have not been sent, without running their callbacks.
    void clear() {
        changes_.clear();
        reads_.clear();
    }

  private:
    static constexpr double kShareOfLimit = 0.8;

    struct QueuedCall {
        CloudRequest request;
        Then then;
    };

    void refill(Ms now) {
        double burst = std::max(1.0, rate_);
        tokens_ =
            std::min(burst, tokens_ + rate_ * static_cast<double>(now - refilled_at_) / 1000.0);
        refilled_at_ = now;
    }

    double rate_;  // calls a second
    double tokens_;
    Ms refilled_at_ = 0;
    std::deque<QueuedCall> changes_;  // scale out and in
    std::deque<QueuedCall> reads_;
    PendingCalls<CloudResponse> pending_;
};

}  // namespace walkford
