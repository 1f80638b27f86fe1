// Counts the messages and wake-ups of one controller, so that its processor time can be attributed.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>

#include "coordination/messages/inputs.hpp"
#include "coordination/messages/outputs.hpp"

namespace walkford::transport {

// Counters over a fixed period. Cheap enough to run always: an increment for each event.
class WorkCounters {
  public:
    // How long one period lasts.
    static constexpr Ms kPeriod = 10000;

    // One turn of the event loop.
    void count_loop_turn() { ++loop_turns_; }
    // One step of the controller.
    void count_core_round() { ++core_rounds_; }
    // A message or a tick that the controller is given.
    void count_input(const Input& input) { ++inputs_[input.index()]; }
    // A message or a timer that the controller asks for.
    void count_output(const Output& output);

    // Once a period is over: one line with all counts that are not zero. Starts the next period.
    // `connections` is the number of connections accepted since the process started.
    std::optional<std::string> finish_period(Ms now, std::uint64_t connections);

  private:
    // The values of StoreOperation, and watches apart from other reads of changes.
    static constexpr std::size_t kStoreOperations = 8;

    std::uint64_t loop_turns_ = 0;
    std::uint64_t core_rounds_ = 0;
    std::uint64_t connections_before_ = 0;
    std::array<std::uint64_t, std::variant_size_v<Input>> inputs_{};
    std::array<std::uint64_t, std::variant_size_v<Output>> outputs_{};
    std::array<std::uint64_t, kStoreOperations> store_requests_{};
    Ms period_start_ = -1;
};

}  // namespace walkford::transport
