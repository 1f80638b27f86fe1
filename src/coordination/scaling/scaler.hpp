// The design's rule: rent above the high mark until the marks' midpoint, give back one empty
// temporary machine below the low mark. Exceptions are named in docs/design.md.
#pragma once

#include <optional>

#include "coordination/cloud/cloud_manager.hpp"
#include "coordination/leader/leader_context.hpp"
#include "coordination/workers/worker_manager.hpp"
#include "coordination/zone_failover/zone_failover_manager.hpp"

namespace walkford {

class Scaler {
  public:
    Scaler(LeaderContext& context, const ZoneFailoverManager& zone_failover)
        : context_(context), zone_failover_(zone_failover) {}
    void tick(Ms now, const WorkerManager& workers, CloudManager& cloud);

    struct Utilization {
        Resources allocated, pending, capacity;
        Resource driving = Resource::cpu;
        double value = 0;
    };
    const Utilization& last() const { return utilization_; }

  private:
    struct Bin {  // what a machine, or one on its way, has free
        Resources free;
        Id machine_type = kNone;
        Id zone = kNone;
        Id machine = kNone;
        bool spot = false;
        bool taken = false;  // the trial packing put something here
    };
    struct PendingDemand {  // waiting tasks of one job that the team's limit admits
        Id job = kNone;
        std::uint32_t count = 0;
        // Once tried: zone and how many more places there would do, the least first; kNone: any
        // zone.
        std::vector<std::pair<Id, std::uint32_t>> ways = {};
    };
    struct Option {
        Id machine_type = kNone;
        Id zone = kNone;
        bool spot = false;
        double price = 0;
        double cores = 0;
        double cost = 0;  // price for what is short
    };

    void tell(Ms now, const WorkerManager& workers);
    // Machines that are silent, but not for so long that they are given up.
    bool back_soon(const Machine& m, Ms now) const;
    bool many_silent(Ms now, const WorkerManager& workers) const;
    void measure_utilization(Ms now, const WorkerManager& workers, const CloudManager& cloud);
    // A trial packing of what waits; left_ becomes what fits nowhere. With `cloud`, machines are
    // rented for that on the way.
    void trial_pack(Ms now, CloudManager* cloud);
    // Puts the demand where there is room and says how many more places would do.
    void trial_pack_demand(PendingDemand& d, bool finally);
    // Puts up to n tasks into the rooms of a zone; n becomes what is left over.
    void fill_bins(const JobSpec& s, Id zone, std::uint32_t& n);
    std::uint32_t places(const JobSpec& s, Id zone, std::uint32_t most);
    bool surely_full(const JobSpec& s) const;
    bool scale_out_places(Ms now, const Job& j, Id zone, std::uint32_t count,
                          const std::vector<Option>& all, CloudManager& cloud);
    void add_bins(const Option& o, std::uint32_t n);
    std::vector<Option> options(const JobSpec* for_job, std::optional<Resource> resource, Ms now,
                                const CloudManager& cloud) const;
    void scale_out_by_utilization(Ms now, CloudManager& cloud);
    bool scale_out_for(Ms now, const PendingDemand& d, CloudManager& cloud);
    void scale_in(Ms now, CloudManager& cloud);
    std::uint32_t machine_count(Id machine_type, const CloudManager& cloud) const;
    // How many were asked for. `for_job`: a job that fits nowhere; kNone: by the measure.
    std::uint32_t request_machines(Ms now, const Option& o, std::uint32_t n, const std::string& why,
                                   CloudManager& cloud, Id for_job = kNone);

    LeaderContext& context_;
    const ZoneFailoverManager& zone_failover_;
    Ms next_ = 0;
    Ms out_at_ = -1;
    Ms in_at_ = 0;
    Ms told_at_ = 0;
    Utilization utilization_;
    std::vector<Bin> bins_;
    // The trial packing: the rooms as it fills them, those that still have room, the least that
    // any task needs, and jobs that found none.
    std::vector<Bin> trial_;
    std::vector<std::uint32_t> open_;
    std::size_t filled_ = 0;
    Resources least_;
    std::vector<Id> full_;
    std::size_t looked_ = 0;                                     // work done by it
    std::map<std::pair<Id, Id>, std::uint32_t> machine_counts_;  // machines by kind and zone
    // By zone: machines that report, and those that were rented and have not reported yet.
    struct ZoneMachines {
        std::uint32_t reporting = 0;
        std::uint32_t on_their_way = 0;
    };
    std::map<Id, ZoneMachines> machines_of_;
    std::vector<PendingDemand> waiting_;
    std::vector<PendingDemand> left_;
};

}  // namespace walkford
