// The attempts that workers were commanded to run a short time ago.
#pragma once

#include <compare>
#include <deque>
#include <map>
#include <string>

#include "coordination/leader/leader_context.hpp"

namespace walkford {

// A worker accepts the response to a heartbeat for a few seconds, so for that long a copy of a
// response with a `run` command may reach it. The copy has no effect while the worker knows the
// attempt. Once the attempt has been cleared it would start the task again, which may be on another
// machine by then. Owned by WorkerManager.
class RecentRuns {
  public:
    // Records a `run` command that is sent now. `after_clear`: the same response clears an earlier
    // run of the attempt.
    void record(Ms now, Id machine, const WorkerCommand& run, bool after_clear);

    // Whether a copy of a `run` of the attempt may still reach the worker, so that the attempt must
    // not be cleared.
    bool copy_may_arrive(Ms now, Id machine, const ReportedTask& reported) const;

    // Whether a copy may reach the worker that clears the attempt as well as running it. Until then
    // the attempt is not gone, even if the worker reports that it has exited.
    bool clearing_copy_may_arrive(Ms now, Id machine, const ReportedTask& reported) const;

  private:
    // Identifies an attempt on a machine.
    struct Attempt {
        Id machine = kNone;
        std::string job;
        std::uint32_t task = 0;
        std::uint64_t attempt = 0;
        auto operator<=>(const Attempt&) const = default;
    };
    struct Run {
        Ms valid_until = 0;
        bool after_clear = false;
    };
    void forget_old(Ms now);
    const Run* find(Ms now, Id machine, const ReportedTask& reported) const;

    std::map<Attempt, Run> runs_;
    std::deque<Attempt> order_;  // in which they were recorded
};

}  // namespace walkford
