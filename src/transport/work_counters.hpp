// Counts the messages and wake-ups of one controller, to attribute its CPU time.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>

#include "coordination/messages/inputs.hpp"
#include "coordination/messages/outputs.hpp"

namespace walkford::transport {

// Counters over a fixed period. They are always enabled, as each event costs only an increment.
class WorkCounters {
  public:
    // Length of a period in milliseconds.
    static constexpr Ms kPeriod = 10000;

    // Counts an event loop iteration.
    void count_loop_iteration() { ++loop_iterations_; }
    // Counts a controller step.
    void count_controller_step() { ++controller_steps_; }
    // Counts a message or a tick passed to the controller.
    void count_input(const Input& input) { ++inputs_[input.index()]; }
    // Counts a message or a timer requested by the controller.
    void count_output(const Output& output);

    // If the period has ended, returns a line with all non-zero counts and starts the next period.
    // `connections` is the number of connections accepted since the process started.
    std::optional<std::string> finish_period(Ms now, std::uint64_t connections);

  private:
    // One for each value of StoreOperation, plus one that counts watches separately from other
    // reads of changes.
    static constexpr std::size_t kStoreOperations = 8;

    std::uint64_t loop_iterations_ = 0;
    std::uint64_t controller_steps_ = 0;
    std::uint64_t connections_at_period_start_ = 0;
    std::array<std::uint64_t, std::variant_size_v<Input>> inputs_{};
    std::array<std::uint64_t, std::variant_size_v<Output>> outputs_{};
    std::array<std::uint64_t, kStoreOperations> store_requests_{};
    Ms period_start_ = -1;
};

}  // namespace walkford::transport
