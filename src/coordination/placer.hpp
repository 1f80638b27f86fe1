// Gives waiting tasks a machine: by priority, then age, first fit, within team limits; a gang only
// when all of it fits at once.
#pragma once

#include "coordination/core.hpp"
#include "coordination/term_fwd.hpp"

namespace walkford {

class WorkerDialogue;

class Placer {
  public:
    explicit Placer(Term& term) : term_(term) {}

    // One round, within the time budget; the next goes on where this one stopped.
    void round(Ms now, const WorkerDialogue& workers);

    // The waiting jobs in the order in which they are served.
    static std::vector<Id> waiting_order(const Books& books, Ms now);

  private:
    std::uint32_t place_batch(Ms now, Id job, const std::vector<Id>& usable);
    bool place_gang(Ms now, Id job, const std::vector<Id>& usable);
    // The first machine, in this task's order, that fits; kNone if none does.
    Id choose(const Job& job, const std::vector<Id>& usable, Id zone_only) const;
    bool preempt(Ms now, const std::vector<Id>& order);

    Term& term_;
    Ms next_ = 0;
    Ms preempt_at_ = 0;
    std::vector<Id> order_;
    std::size_t cursor_ = 0;
};

}  // namespace walkford
