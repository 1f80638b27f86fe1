// The leader's talk with the cloud, and the registry of machines held.
#pragma once

#include "coordination/cloud/machine_registry.hpp"
#include "coordination/context/controller_context.hpp"
#include "coordination/leader/task_lifecycle.hpp"

namespace walkford {

class CloudManager {
  public:
    CloudManager(LeaderContext& context, TaskLifecycle& lifecycle)
        : context_(context), lifecycle_(lifecycle), registry_(context) {}

    void load(Ms now);
    void tick(Ms now);

    // Asks for machines; false when this can't be asked for now.
    bool request_machines(Ms now, Id machine_type, Id zone, bool spot, std::uint32_t count,
                          bool permanent, const std::string& why);
    void release_machine(Ms now, Id machine, const char* why);

    bool can_request(Id machine_type, Id zone, bool spot, Ms now) const;
    // The cloud has refused a rental in the zone, and is not asked again yet.
    bool refused_lately(Id zone, Ms now) const;
    bool known() const { return loaded_; }
    const std::vector<ScaleOutRequest>& scale_out_requests() const {
        return registry_.scale_out_requests();
    }
    bool first_scale_out_done() const;

  private:
    void confirm_registration();
    void ask(Ms now, const std::string& scale_out);
    void release_due_machines(Ms now);
    void list(Ms now, const std::string& after);
    void take_list(Ms now);
    void adopt(Ms now);
    void removed(Ms now, Id machine, const char* why);
    void watch_machines(Ms now);
    void read_machine_types(Ms now);

    LeaderContext& context_;
    TaskLifecycle& lifecycle_;
    MachineRegistry registry_;
    bool loaded_ = false;  // the registry is known (read, or made from the first list)
    std::set<std::string> open_requests_;            // rentals with a request open
    std::map<std::string, Ms> retry_at_by_request_;  // ... or to be repeated
    void ran_out(Ms now, Id machine_type, Id zone, bool spot);
    struct Refusal {
        Ms until = 0;
        int times = 0;
    };
    std::map<std::tuple<Id, Id, bool>, Refusal> refused_;
    std::set<std::string> to_release_;    // marked durably, the cloud is to be asked
    std::map<std::string, Ms> released_;  // answered: the late list may still show them
    bool release_call_open_ = false;
    Ms release_retry_at_ = 0;
    bool listing_ = false;
    Ms list_at_ = 0;
    Ms list_began_ = 0;
    std::vector<CloudMachine> listed_;
    bool reading_machine_types_ = false;
    Ms read_machine_types_at_ = 0;
    Ms watch_at_ = 0;
    std::map<std::string, Ms> unregistered_since_;  // not in the registry -> since when
};

}  // namespace walkford
