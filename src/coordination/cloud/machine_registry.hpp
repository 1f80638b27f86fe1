// The durable list of machines. It is stored as one value while it fits, and as several values
// otherwise.
//
// Each stored value is a part of the registry. Part 0 holds the scale-out requests and, as long as
// it is the only part, all machines. Once the machines no longer fit and every controller can read
// several parts, the registry is split: the machines move to the other parts. A machine is
// registered if any part names it. The other parts are written before part 0 stops naming their
// machines, so that a reader between two writes misses none.
#pragma once

#include <functional>
#include <set>

#include "bookkeeping/registry_record.hpp"
#include "coordination/context/controller_context.hpp"
#include "coordination/leader/task_lifecycle.hpp"

namespace walkford {

// Holds the registry of the current leader and writes its changes to the store. Changes are made in
// memory first. write(), called after changes and in each step of the leader, makes them durable,
// and after_write() reports when they are. A machine counts as durably registered in the cluster
// state once the store has confirmed a write that names it. Owned by CloudManager.
class MachineRegistry {
  public:
    // Empty and not initialized. The context must outlive it.
    explicit MachineRegistry(LeaderContext& context) : context_(context) { parts_[0]; }

    // Loads the registry from the replica of the store. Returns false if none is stored or a part
    // can't be read.
    bool load();
    // Initializes an empty registry when none is stored. Part 0 will be written even if it names no
    // machine.
    void create() {
        initialized_ = true;
        mark_changed(0);
    }
    // Whether the registry has been loaded or created.
    bool initialized() const { return initialized_; }

    // Scale-out requests whose outcome is not known yet.
    const std::vector<ScaleOutRequest>& scale_out_requests() const { return scale_out_requests_; }
    // Returns the open request with that name, or null.
    const ScaleOutRequest* scale_out_request(const std::string& name) const;
    // The number of the next scale-out request.
    std::uint64_t next_request_number() const { return next_request_number_; }
    // Whether machines have been granted or existed when the registry was created.
    bool first_scale_out_done() const { return first_scale_out_done_; }
    // The number of registered machines.
    std::size_t size() const { return part_of_machine_.size(); }
    // Returns copies of all registered machines.
    std::vector<RegisteredMachine> machines() const;
    // The number of parts, each of which is stored as one value.
    std::size_t part_count() const { return parts_.size(); }

    // Adds an open request. Returns false and adds nothing if part 0 has no space for the request
    // and for the machines that its answer may add.
    bool add_scale_out_request(const ScaleOutRequest& request);
    // Removes a request whose outcome is known.
    void remove_scale_out_request(const std::string& name);
    // Records that machines have been granted or found at the start: later scale-out requests are
    // for temporary machines.
    void set_first_scale_out_done();
    // Registers the machine. Does nothing if it is already registered.
    void add_machine(const RegisteredMachine& machine);
    // Removes the machine. Does nothing if it is not registered.
    void remove_machine(const std::string& name);
    // Records that the machine is being released. Does nothing if it is not registered.
    void mark_releasing(const std::string& name);

    // Calls `callback` once all changes made so far are durable.
    void after_write(std::function<void(Ms)> callback);
    // Sends the changed parts to the store, unless a call is open or a retry is not due yet. Parts
    // that do not fit into one transaction are left to the next call. Once the store confirms the
    // write, marks the new machines that it named as durably registered in the cluster state.
    void write(Ms now);

  private:
    using ChangeNumber = std::uint64_t;
    struct Part {
        std::map<std::string, RegisteredMachine> machines;
        std::uint64_t version = 0;
        std::size_t bytes = 0;         // last encoded size plus estimates of later additions
        bool bytes_estimated = false;  // `bytes` includes additions counted at their maximum size
        ChangeNumber first_unsent_change = 0;      // 0: none
        ChangeNumber first_unanswered_change = 0;  // sent but not answered; 0: none
        bool deleting = false;                     // the open write deletes the part's key
    };
    // What a write that was sent to the store contains.
    struct SentWrite {
        std::vector<std::uint32_t> parts;
        std::vector<std::string> unconfirmed_machines;
    };
    struct DurableCallback {
        ChangeNumber change = 0;
        std::function<void(Ms)> run;
    };

    // Implemented in machine_registry.cpp: the parts in memory.
    void load_part(std::uint32_t index, std::uint64_t version, std::size_t bytes,
                   RegistryRecord&& record);
    void mark_changed(std::uint32_t index);
    bool is_split() const { return parts_.size() > 1; }
    bool split_allowed() const;
    bool split_due() const;
    void split();
    std::size_t part_limit() const;
    static bool has_row_for(const Part& part, const RegisteredMachine& machine);
    static std::size_t bytes_to_add(const Part& part, const RegisteredMachine& machine);
    bool has_space_for(const Part& part, const RegisteredMachine& machine) const;
    std::uint32_t part_for(const RegisteredMachine& machine);
    void add_to_part(const RegisteredMachine& machine);
    Json encode(std::uint32_t index) const;
    std::size_t first_part_bytes() const;

    // Implemented in machine_registry_write.cpp: writing the parts to the store.
    std::vector<std::uint32_t> changed_parts() const;
    void send_write(const std::vector<std::uint32_t>& changed);
    std::vector<std::string> unconfirmed_machines_in(const std::vector<std::uint32_t>& parts) const;
    void on_write_response(Ms now, const SentWrite& sent, const StoreResponse& response);
    void confirm_registration(const std::vector<std::string>& machines);
    void refresh_versions(std::vector<std::string> stale_keys);
    void on_version_response(const std::string& key, const std::vector<std::string>& remaining_keys,
                             const StoreResponse& response);
    ChangeNumber last_durable_change() const;
    void run_durable_callbacks(Ms now);

    LeaderContext& context_;
    bool initialized_ = false;
    std::map<std::uint32_t, Part> parts_;  // part 0 always exists
    std::unordered_map<std::string, std::uint32_t> part_of_machine_;
    std::set<std::string> unconfirmed_machines_;  // registered, but in no confirmed write yet
    std::vector<ScaleOutRequest> scale_out_requests_;
    std::uint64_t next_request_number_ = 1;
    bool first_scale_out_done_ = false;
    ChangeNumber last_change_ = 0;
    bool call_open_ = false;  // a write, or a read of a version after a conflict
    Ms next_write_at_ = 0;
    std::vector<DurableCallback> durable_callbacks_;
};

}  // namespace walkford
