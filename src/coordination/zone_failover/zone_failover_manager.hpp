// The leader's part in zone failover: gathers evidence, keeps each zone's record durable, and tells
// placing, renting and writing what follows from it. docs/zone-failover.md has the reasons.
#pragma once

#include "bookkeeping/free_capacity.hpp"
#include "coordination/cloud/cloud_manager.hpp"
#include "coordination/context/controller_context.hpp"
#include "coordination/leader/task_lifecycle.hpp"
#include "coordination/workers/worker_manager.hpp"
#include "coordination/zone_failover/displaced_work.hpp"
#include "coordination/zone_failover/evacuation_reserve.hpp"
#include "coordination/zone_failover/zone_health.hpp"

namespace walkford {

class ZoneFailoverManager {
  public:
    explicit ZoneFailoverManager(LeaderContext& context);

    void tick(Ms now, const WorkerManager& workers, const CloudManager& cloud);

    // Switched on, and all controllers read its records.
    bool active() const;

    // ---- for placing
    // Looks at the zones anew, at the beginning of a round of placing.
    void begin_round(Ms now, const FreeCapacity& free_capacity);
    // Some zone is not well, so that the questions below have to be asked.
    bool restricts() const { return restricts_ || evacuating_; }
    // May a task of the job (of a gang: all of them) begin in the zone now?
    bool admits(Id job, Id zone) const;
    // May a machine there begin to fetch an image, with so many fetches under way on it?
    bool admits_fetch(Id zone, int fetches) const;
    // Is the place kept for displaced work that goes before the job?
    bool reserved(Id job, int priority, const EvacuationReserve::Place& place) const;
    // A task was placed; `place` as it was before.
    void placed(Id job, const EvacuationReserve::Place& place, bool fetches);
    // Work may be gathered for or stopped there as in any zone.
    bool open(Id zone) const;
    // The job can run in a lost zone only: it waits, and nobody waits for it.
    bool waits_for_zone(Id job) const;

    // ---- the order of displaced work
    bool evacuating() const { return evacuating_; }
    int evacuation_position(Id job) const;
    // Since when the job's waiting counts: an older wait gives displaced work no advantage.
    Ms waits_since(Id job) const;

    // ---- for renting
    // Silent machines there are no capacity any more.
    bool lost(Id zone) const;
    // How many more machines may be rented there, with so many reporting and so many on their way,
    // for a job that fits nowhere (kNone: for work that could be elsewhere).
    std::uint32_t scale_out_allowance(Id zone, std::uint32_t reporting, std::uint32_t on_their_way,
                                      Id for_job) const;
    // The job has waited so long that a zone that is not well is tried for it.
    bool waited_long(Id job) const;
    // Over how many zones rentals for displaced work are divided.
    std::uint32_t open_zones() const;

  private:
    struct Zone {
        explicit Zone(const ZoneFailoverSettings& settings) : health(settings) {}
        std::string name;
        ZoneHealth health;
        ZoneEvidence evidence;
        // What stands in the durable record, and is acted on.
        ZoneRecord durable;
        Ms durable_since = 0;  // when the state acted on began
        Ms failing_since = 0;  // when it last ceased to be well
        std::uint64_t version = 0;
        bool writing = false;
        bool rewrite = false;  // the stored value can't be read
        Ms write_at = 0;
        Ms written_at = 0;
    };
    // What may begin in a zone within this round.
    struct Gate {
        ZoneState state = ZoneState::up;
        bool first = false;  // nothing is booked there: one job may begin, whatever its size
        Resources capacity;  // returning: what the ramp still admits
        std::uint32_t fetches = 0;
        std::uint32_t replicas_starting = 0;
        std::set<Id> jobs_starting;  // services with a replica that starts there
    };
    // What is remembered of a machine from one observation to the next.
    enum class Hearing : std::uint8_t { not_expected, heard, silent };
    struct MachineWatch {
        Hearing last = Hearing::not_expected;
        bool noticed = false;  // the cloud has said that it takes it
        bool left = false;     // it is gone, or being given back
        Ms taken_at = -1;  // the cloud took it unannounced, or it was given back for its silence
    };

    void load(Ms now);
    void load_zone(Ms now, Zone& zone);
    void observe(Ms now, const WorkerManager& workers, const CloudManager& cloud);
    void observe_machines(Ms now, const WorkerManager& workers);
    bool expects_report(const Machine& machine, Ms now) const;
    Hearing hear(Ms now, const Machine& machine, MachineWatch& watch,
                 const WorkerManager& workers) const;
    void observe_controllers(Ms now);
    void judge(Ms now, Id zone);
    void mark_displaced(Ms now, Id zone, const WorkerManager* workers);
    void mark_interrupted(Ms now, Id zone);
    void write(Ms now, Id zone);
    void written(Ms now, Id zone, const ZoneRecord& record, const StoreResponse& reply);
    bool write_due(Ms now, Zone& zone);
    void act_on(Ms now, Id zone, const ZoneRecord& record);
    void tell_loss(Id zone) const;
    void end_observation(Ms now);
    void build_reserve(Ms now, const FreeCapacity& free_capacity);
    void build_gate(Ms now, Id zone, const FreeCapacity& free_capacity);
    void count_starting(Gate& gate, const Machine& machine);
    Ms judging_since() const;
    bool failing(Id zone) const;  // under suspicion, or lost
    ZoneState acted_on(Id zone) const;
    bool any_open() const;
    bool bound_to(const Job& job, Id zone) const;

    LeaderContext& context_;
    const ZoneFailoverSettings& settings_;
    std::vector<Zone> zones_;  // by id, those that the settings name
    std::vector<Gate> gates_;
    std::vector<MachineWatch> watches_;
    DisplacedWork displaced_;
    EvacuationReserve reserve_;
    bool loaded_ = false;
    bool restricts_ = false;
    bool evacuating_ = false;
    Ms now_ = 0;
    Ms observe_at_ = 0;
};

}  // namespace walkford
