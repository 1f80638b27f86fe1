// Picks machines for the tasks of one job, the best first.
#pragma once

#include <optional>
#include <vector>

#include "coordination/placement/machine_scorer.hpp"
#include "coordination/placement/placement_round.hpp"

namespace walkford {

// A priority queue of the machines that the tasks of one job may be assigned to. Machines start
// with the best score they can have, and are scored in full only when they reach the top. A
// machine's score can only get worse while other machines are filled, so this lazy evaluation picks
// the same machine as scoring all of them each time.
class MachinePicker {
  public:
    // Picks from the machines in `zone`, or from all with kNone. The round must outlive the picker.
    MachinePicker(PlacementRound& round, Id job, Id zone);
    // Returns the best machine for the next task; kNone if none fits.
    Id next();
    // Must be called after a task is assigned to the machine that next() returned last.
    void on_task_assigned();

  private:
    struct Entry {
        MachineScore score;
        std::uint32_t group = 0;
        std::uint32_t index = 0;  // of the machine in its group
        // Reversed: the standard heap keeps its greatest entry on top, and the lowest score is
        // best.
        bool operator<(const Entry& other) const { return other.score < score; }
    };
    // Scores the machine on top and restores the heap order. Removes the machine and returns
    // nullopt if it can take no further task of the job.
    std::optional<MachineScore> rescore_top();

    PlacementRound& round_;
    Id job_;
    std::vector<Entry> heap_;
};

}  // namespace walkford
