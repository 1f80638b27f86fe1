#include "transport/work_counters.hpp"

#include <spdlog/fmt/fmt.h>

#include <string_view>

namespace walkford::transport {

namespace {
constexpr std::array<std::string_view, std::variant_size_v<Input>> kInputNames{
    "tick",      "submit",      "poll",        "cancel",       "ready",
    "heartbeat", "state_reply", "cloud_reply", "worker_reply", "peer_in"};
constexpr std::array<std::string_view, std::variant_size_v<Output>> kOutputNames{
    "user_answer", "heartbeat_answer", "state_call", "cloud_call",
    "worker_call", "peer_out",         "wake_at"};
constexpr std::array<std::string_view, 8> kStoreRequestNames{
    "get", "list", "transaction", "lease_grant", "lease_renewal", "lease_drop", "proof", "watch"};
constexpr std::size_t kWatchIndex = 7;

void append_count(std::string& line, std::string_view name, std::uint64_t count) {
    if (count > 0) {
        line += fmt::format(" {}={}", name, count);
    }
}

template <std::size_t N>
void append_counts(std::string& line, const std::array<std::string_view, N>& names,
                   std::array<std::uint64_t, N>& counts) {
    for (std::size_t i = 0; i < N; ++i) {
        append_count(line, names.at(i), counts.at(i));
    }
    counts.fill(0);
}
}  // namespace

void WorkCounters::count_output(const Output& output) {
    ++outputs_[output.index()];
    if (const auto* call = std::get_if<StoreRequest>(&output)) {
        bool is_watch = call->operation == StoreOperation::changes && call->wait_ms > 0;
        ++store_requests_[is_watch ? kWatchIndex : static_cast<std::size_t>(call->operation)];
    }
}

std::optional<std::string> WorkCounters::finish_period(Ms now, std::uint64_t connections) {
    if (period_start_ < 0) {
        period_start_ = now;
    }
    if (now < period_start_ + kPeriod) {
        return std::nullopt;
    }
    std::string line = fmt::format("work in {} ms:", now - period_start_);
    append_count(line, "loop_turns", loop_iterations_);
    append_count(line, "core_rounds", controller_steps_);
    append_count(line, "connections", connections - connections_at_period_start_);
    append_counts(line, kInputNames, inputs_);
    append_counts(line, kOutputNames, outputs_);
    append_counts(line, kStoreRequestNames, store_requests_);
    loop_iterations_ = 0;
    controller_steps_ = 0;
    connections_at_period_start_ = connections;
    period_start_ = now;
    return line;
}

}  // namespace walkford::transport
