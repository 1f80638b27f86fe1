// Gives waiting tasks a machine: by priority, then age, first fit, within team limits; a gang only
// when all of it fits at once.
#pragma once

#include "coordination/core.hpp"
#include "coordination/gatherer.hpp"
#include "coordination/term_fwd.hpp"

namespace walkford {

class WorkerDialogue;

class Placer {
  public:
    Placer(Term& term, Fates& fates) : term_(term), fates_(fates), gatherer_(term, fates) {}

    // One round, within the time budget; the next goes on where this one stopped.
    void round(Ms now, const WorkerDialogue& workers);

    // The waiting jobs in the order in which they are served.
    static int risen(const Job& j, Ms now, double rise_s);
    static std::vector<Id> waiting_order(const Books& books, Ms now, double rise_s);

  private:
    std::uint32_t place_batch(Ms now, Id job, const std::vector<Id>& usable);
    void replace_members(Ms now, Id job, const std::vector<Id>& usable);
    bool place_gang(Ms now, Id job, const std::vector<Id>& usable);
    // The first machine, in this task's order, that fits; kNone if none does.
    Id choose(Id job, const std::vector<Id>& usable, Id zone_only) const;
    // What placing a task there takes away from classes that could use the room: slots lost, as a
    // share of all the slots such a class has left.
    double regret(const Job& job, const Machine& m, const Kind& kind) const;
    int fetching(const Machine& m) const;  // images on their way to it
    void count_slots(Ms now, const std::vector<Id>& usable);
    void take_slots(const Machine& m, const Amounts& each);
    // Can this class run on a kind of machine held that the other can't use?
    bool elsewhere(const JobSpec& one, const JobSpec& other) const;
    // Must the machine be left to classes with a tighter aim on starting?
    bool kept(const Job& job, const Machine& m, const Kind& kind) const;
    void preempt(Ms now, const std::vector<Id>& usable);
    // Would the task be over before the room that is gathered there is complete?
    bool over_in_time(const JobSpec& s, const Machine& m, double fetch_s) const;
    // May this work be stopped to make room for that job's gang?
    bool may_stop(const Job& victim, const Job& job) const;
    double aim_of(const JobSpec& s) const;  // its class's tightest aim on starting, in seconds

    Term& term_;
    Fates& fates_;
    Gatherer gatherer_;
    Ms now_ = 0;
    Ms next_ = 0;
    Ms preempt_at_ = 0;
    std::vector<Id> order_;
    std::size_t cursor_ = 0;
    // Teams at their limit, this time round: the priority of who waits for it, by resource.
    struct Blocked {
        int cpus = -1;
        int gpus = -1;
    };
    std::map<Id, Blocked> blocked_;
    std::uint32_t gathering_ = 0;
    std::set<std::tuple<Id, Id, bool>> sorts_;  // kind, zone, spot of the machines held
    // By books.shapes: free slots in the fleet, and the tightest aim on starting.
    std::vector<double> lane_slots_;
    std::vector<double> lane_aim_;
};

}  // namespace walkford
