// The leader's talk with the cloud, and the registry of machines held.
#pragma once

#include "coordination/core.hpp"
#include "coordination/registry_store.hpp"
#include "coordination/term_fwd.hpp"

namespace walkford {

class CloudManager {
  public:
    CloudManager(Term& term, TaskLifecycle& lifecycle)
        : term_(term), lifecycle_(lifecycle), registry_(term) {}

    void load(Ms now);
    void tick(Ms now);

    // Asks for machines; false when this can't be asked for now.
    bool rent(Ms now, Id kind, Id zone, bool spot, std::uint32_t count, bool permanent,
              const std::string& why);
    void give_back(Ms now, Id machine, const char* why);

    bool can_rent(Id kind, Id zone, bool spot, Ms now) const;
    // The cloud has refused a rental in the zone, and is not asked again yet.
    bool refused_lately(Id zone, Ms now) const;
    bool known() const { return loaded_; }
    const std::vector<RentalRequest>& rentals() const { return registry_.rentals(); }
    bool first_rented() const;

  private:
    void confirm_held();
    void ask(Ms now, const std::string& hire);
    void ask_return(Ms now);
    void list(Ms now, const std::string& after);
    void take_list(Ms now);
    void adopt(Ms now);
    void removed(Ms now, Id machine, const char* why);
    void watch_machines(Ms now);
    void read_kinds(Ms now);

    Term& term_;
    TaskLifecycle& lifecycle_;
    RegistryStore registry_;
    bool loaded_ = false;           // the registry is known (read, or made from the first list)
    std::set<std::string> asking_;  // rentals with a request open
    std::map<std::string, Ms> ask_again_;  // ... or to be repeated
    void ran_out(Ms now, Id kind, Id zone, bool spot);
    struct Refusal {
        Ms until = 0;
        int times = 0;
    };
    std::map<std::tuple<Id, Id, bool>, Refusal> refused_;
    std::set<std::string> to_return_;     // marked durably, the cloud is to be asked
    std::map<std::string, Ms> returned_;  // answered: the late list may still show them
    bool returning_ = false;
    Ms return_at_ = 0;
    bool listing_ = false;
    Ms list_at_ = 0;
    Ms list_began_ = 0;
    std::vector<CloudMachine> listed_;
    bool reading_kinds_ = false;
    Ms kinds_at_ = 0;
    Ms watch_at_ = 0;
    std::map<std::string, Ms> strays_;  // not in the registry -> since when
};

}  // namespace walkford
