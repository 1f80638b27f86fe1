// The leader's talk with workers: reports in, orders out.
#pragma once

#include "coordination/core.hpp"
#include "coordination/term_fwd.hpp"

namespace walkford {

class WorkerDialogue {
  public:
    WorkerDialogue(Term& term, Fates& fates) : term_(term), fates_(fates) {}

    void beat(Ms now, const BeatRequest& beat);
    void tick(Ms now);
    // The machine answers beats, under our token, and may be given work.
    bool usable(const Machine& m, Ms now) const;

  private:
    // Takes in what a report says; false if it is an old one.
    bool take(Ms now, Id machine, const WorkerReport& report, bool is_beat);
    // Do its reports show that our answers arrive?
    void listen(Ms now, Machine& m, const WorkerReport& report);
    static void unheard(Ms now, Machine& m);
    static void heard(Machine& m);
    void task_exited(Ms now, TaskRef ref, const ReportedTask& r);
    void blame(Ms now, TaskRef ref, Id machine);
    std::vector<Order> orders(Ms now, Id machine, const WorkerReport& report);
    void send_direct(Ms now, Id machine, std::vector<Order> orders);

    Term& term_;
    Fates& fates_;
    Ms check_at_ = 0;
};

}  // namespace walkford
