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
constexpr std::size_t kWatch = 7;

void append(std::string& line, std::string_view name, std::uint64_t count) {
    if (count > 0) {
        line += fmt::format(" {}={}", name, count);
    }
}

template <std::size_t N>
void append_all(std::string& line, const std::array<std::string_view, N>& names,
                std::array<std::uint64_t, N>& counts) {
    for (std::size_t i = 0; i < N; ++i) {
        append(line, names.at(i), counts.at(i));
    }
    counts.fill(0);
}
}  // namespace

void WorkCounters::count_output(const Output& output) {
    ++outputs_[output.index()];
    if (const auto* call = std::get_if<StoreRequest>(&output)) {
        bool is_watch = call->operation == StoreOperation::changes && call->wait_ms > 0;
        ++store_requests_[is_watch ? kWatch : static_cast<std::size_t>(call->operation)];
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
    append(line, "loop_turns", loop_turns_);
    append(line, "core_rounds", core_rounds_);
    append(line, "connections", connections - connections_before_);
    append_all(line, kInputNames, inputs_);
    append_all(line, kOutputNames, outputs_);
    append_all(line, kStoreRequestNames, store_requests_);
    loop_turns_ = 0;
    core_rounds_ = 0;
    connections_before_ = connections;
    period_start_ = now;
    return line;
}

}  // namespace walkford::transport
