// Client of the cloud's API: queues calls and sends them below the cloud's rate limit.
#pragma once

#include <algorithm>
#include <deque>
#include <utility>

#include "coordination/context/pending_calls.hpp"
#include "coordination/messages/inputs.hpp"
#include "coordination/messages/outputs.hpp"

namespace walkford {

// Calls to the cloud, rate-limited by a token bucket. Scale-out and scale-in calls are sent before
// reads, because listing two thousand machines takes several calls and would delay them. Owned by
// the ControllerContext. Only the leader makes calls, but responses to calls of an earlier leader
// term are still matched with their callbacks.
class CloudClient {
  public:
    using ResponseCallback = PendingCalls<CloudResponse>::ResponseCallback;

    // `requests_per_s`: the cloud's rate limit. The client uses the share kRateLimitShare of it.
    explicit CloudClient(double requests_per_s)
        : rate_(requests_per_s * kRateLimitShare), tokens_(rate_) {}

    // Queues a call. `callback` runs when the response arrives.
    void call(CloudRequest request, ResponseCallback callback) {
        bool is_read = request.operation == CloudOperation::list ||
                       request.operation == CloudOperation::list_machine_types;
        (is_read ? queued_reads_ : queued_scale_calls_)
            .push_back({std::move(request), std::move(callback)});
    }
    // Appends to `out` as many queued calls as the rate limit admits.
    void send_queued(Ms now, Outputs& out) {
        refill(now);
        while (tokens_ >= 1.0) {
            auto& queue = queued_scale_calls_.empty() ? queued_reads_ : queued_scale_calls_;
            if (queue.empty()) {
                break;
            }
            tokens_ -= 1.0;
            QueuedCall queued = std::move(queue.front());
            queue.pop_front();
            queued.request.call = pending_.open(std::move(queued.callback));
            out.emplace_back(std::move(queued.request));
        }
    }
    // Runs the callback of the call that the response belongs to. Ignores responses to unknown
    // calls.
    void reply(Ms now, const CloudResponse& response) { pending_.reply(now, response); }
    // Drops the calls that have not been sent yet, without running their callbacks.
    void clear() {
        queued_scale_calls_.clear();
        queued_reads_.clear();
    }

  private:
    static constexpr double kRateLimitShare = 0.8;

    struct QueuedCall {
        CloudRequest request;
        ResponseCallback callback;
    };

    void refill(Ms now) {
        double bucket_size = std::max(1.0, rate_);
        tokens_ = std::min(bucket_size,
                           tokens_ + rate_ * static_cast<double>(now - refilled_at_) / 1000.0);
        refilled_at_ = now;
    }

    double rate_;  // calls per second
    double tokens_;
    Ms refilled_at_ = 0;
    std::deque<QueuedCall> queued_scale_calls_;  // scale_out and scale_in
    std::deque<QueuedCall> queued_reads_;        // list and list_machine_types
    PendingCalls<CloudResponse> pending_;
};

}  // namespace walkford
