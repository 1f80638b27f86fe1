// Picks machines for the tasks of one job, the best first.
#pragma once

#include <optional>
#include <vector>

#include "coordination/placement/machine_scorer.hpp"
#include "coordination/placement/placement_round.hpp"

namespace walkford {

// The machines in the order in which tasks of one job try them. A machine is scored only as it
// comes to the top: its score can but get worse while others are filled, so one whose first, too
// good score is corrected when its turn comes gives the same choice as scoring them all each time.
class MachinePicker {
  public:
    // `zone`: the only one to pick from, or kNone. The round must outlive the picker.
    MachinePicker(PlacementRound& round, Id job, Id zone);
    // The best machine for the next task; kNone if none fits.
    Id next();
    // A task was assigned to the machine that next() returned last.
    void task_assigned();

  private:
    struct Entry {
        MachineScore score;
        std::uint32_t group = 0;
        std::uint32_t index = 0;  // of the machine in its group
        // The standard heap has the greatest on top; the least score is wanted there.
        bool operator<(const Entry& other) const { return other.score < score; }
    };
    // Scores the machine on top, and moves it to its place; drops it, and returns nothing, where no
    // task can go there any more.
    std::optional<MachineScore> rescore_top();

    PlacementRound& round_;
    Id job_;
    std::vector<Entry> heap_;
};

}  // namespace walkford
