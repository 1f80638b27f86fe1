// The durable list of machines: one stored value while it fits, several beyond that.
//
// Part 0, the first value, holds the scale-out requests and, while there is no other part, all
// machines. Once they do not fit any more and every controller reads parts, the machines move to
// parts of their own. A machine is registered where any part names it: parts are written before the
// first value that ceases to name their machines, so that a reader between two writes misses none.
#pragma once

#include <functional>

#include "bookkeeping/registry_record.hpp"
#include "coordination/context/controller_context.hpp"
#include "coordination/leader/task_lifecycle.hpp"

namespace walkford {

// Holds the registry of the leader in office and writes its changes. Changes are made in memory and
// become durable by write(), which is called after them and in each step of the leader; after_write
// says when. Owned by CloudManager.
class MachineRegistry {
  public:
    // Empty, and not known yet. The context must outlive it.
    explicit MachineRegistry(LeaderContext& context) : context_(context) { parts_[0]; }

    // Reads what an earlier leader wrote. False if there is nothing, or it can't be read.
    bool load();
    // Nothing is stored yet: the first value will be written, even if it names no machine.
    void create() {
        known_ = true;
        mark_changed(0);
    }
    // Loaded, or created.
    bool known() const { return known_; }

    // Requests whose outcome is not known yet.
    const std::vector<ScaleOutRequest>& scale_out_requests() const { return scale_out_requests_; }
    // The open request of that name, or null.
    const ScaleOutRequest* scale_out_request(const std::string& name) const;
    // The number that the next scale-out request gets.
    std::uint64_t next_request_number() const { return next_request_number_; }
    // Permanent machines have been granted, or existed at the start.
    bool first_scale_out_done() const { return first_scale_out_done_; }
    // How many machines are registered.
    std::size_t size() const { return part_of_machine_.size(); }
    // Copies of all registered machines.
    std::vector<RegisteredMachine> machines() const;
    // How many values the registry is stored in.
    std::size_t parts() const { return parts_.size(); }

    // False, with nothing changed, if the first value has no space for the request and for what
    // its answer would add.
    bool add_scale_out_request(const ScaleOutRequest& request);
    // The outcome of the request is known.
    void remove_scale_out_request(const std::string& name);
    // Scale-out requests from now on are for temporary machines.
    void set_first_scale_out_done();
    // Registers the machine; does nothing if it is registered.
    void add_machine(const RegisteredMachine& machine);
    // Removes the machine; does nothing if it is not registered.
    void remove_machine(const std::string& name);
    // Records that the machine is being released; does nothing if it is not registered.
    void mark_releasing(const std::string& name);

    // Calls `callback` once all that has changed so far is durable.
    void after_write(std::function<void(Ms)> callback);
    // Marks the registered machines in the cluster state as durably registered, once that is so.
    void confirm_registration_after_write();
    // Sends what has changed, unless a call is open or a retry is not due yet. What does not fit
    // one transaction is left to the next call.
    void write(Ms now);

  private:
    using ChangeNumber = std::uint64_t;
    struct Part {
        std::map<std::string, RegisteredMachine> machines;
        std::uint64_t version = 0;
        std::size_t bytes = 0;                     // as last encoded, plus what was added since ...
        bool bytes_estimated = false;              // ... counted at its maximum
        ChangeNumber first_unsent_change = 0;      // 0: none
        ChangeNumber first_unanswered_change = 0;  // sent, not answered; 0: none
        bool deleting = false;                     // the open call deletes the part's key
    };
    struct DurableCallback {
        ChangeNumber change = 0;
        std::function<void(Ms)> run;
    };

    // ---- machine_registry.cpp: the parts in memory
    void load_part(std::uint32_t index, std::uint64_t version, std::size_t bytes,
                   RegistryRecord&& record);
    void mark_changed(std::uint32_t part);
    bool divided() const { return parts_.size() > 1; }
    bool division_allowed() const;
    bool division_due() const;
    void divide();
    std::size_t part_limit() const;
    static bool has_row_for(const Part& part, const RegisteredMachine& machine);
    static std::size_t bytes_to_add(const Part& part, const RegisteredMachine& machine);
    bool has_space_for(const Part& part, const RegisteredMachine& machine) const;
    std::uint32_t part_for(const RegisteredMachine& machine);
    Json encode(std::uint32_t part) const;
    std::size_t first_value_bytes() const;

    // ---- machine_registry_write.cpp: writing them
    std::vector<std::uint32_t> changed_parts() const;
    void send_write(const std::vector<std::uint32_t>& parts);
    void on_write_response(Ms now, const std::vector<std::uint32_t>& parts,
                           const StoreResponse& response);
    void refresh_versions(std::vector<std::string> keys);
    void on_version_response(const std::string& key, const std::vector<std::string>& remaining_keys,
                             const StoreResponse& response);
    ChangeNumber last_durable_change() const;
    void run_durable_callbacks(Ms now);

    LeaderContext& context_;
    bool known_ = false;
    std::map<std::uint32_t, Part> parts_;  // part 0 always exists
    std::unordered_map<std::string, std::uint32_t> part_of_machine_;
    std::vector<ScaleOutRequest> scale_out_requests_;
    std::uint64_t next_request_number_ = 1;
    bool first_scale_out_done_ = false;
    ChangeNumber last_change_ = 0;
    bool call_open_ = false;  // a write, or a read of versions after a conflict
    Ms next_write_at_ = 0;
    std::vector<DurableCallback> durable_callbacks_;
};

}  // namespace walkford
