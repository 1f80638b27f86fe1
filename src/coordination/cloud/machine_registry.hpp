// Keeps the durable list of machines: one value while it fits, several beyond that.
//
// Part 0, the first value, holds the rental requests and, while there is no other part, all
// machines. Once they do not fit any more and every controller reads parts, the machines move to
// parts of their own. A machine stands where any part names it: parts are written before the first
// value that ceases to name their machines, so that a reader between two writes misses none.
#pragma once

#include <functional>

#include "bookkeeping/registry_record.hpp"
#include "coordination/context/controller_context.hpp"
#include "coordination/leader/task_lifecycle.hpp"

namespace walkford {

class MachineRegistry {
  public:
    explicit MachineRegistry(LeaderContext& context) : context_(context) { parts_[0]; }

    // Takes in what an earlier leader wrote; false if there is nothing, or it can't be read.
    bool load();
    // There is nothing yet: the first value is written, also where it names no machine.
    void create() {
        known_ = true;
        mark_changed(0);
    }
    // Loaded, or created.
    bool known() const { return known_; }

    const std::vector<ScaleOutRequest>& scale_out_requests() const { return scale_out_requests_; }
    const ScaleOutRequest* scale_out_request(const std::string& name) const;
    std::uint64_t next_request_number() const { return next_request_number_; }
    bool first_scale_out_done() const { return first_scale_out_done_; }
    std::size_t size() const { return part_of_.size(); }
    std::vector<RegisteredMachine> machines() const;
    std::size_t parts() const { return parts_.size(); }

    // False where what the state service holds in a value has no room for it.
    bool add_scale_out_request(const ScaleOutRequest& scale_out_request);
    void remove_scale_out_request(const std::string& name);
    void set_first_scale_out_done();
    void add_machine(const RegisteredMachine& machine);
    void remove_machine(const std::string& name);
    void mark_releasing(const std::string& name);

    // Calls once all that has changed so far is durable.
    void after_write(std::function<void(Ms)> then);
    // Marks the registered machines in the cluster state as durably registered, once that is so.
    void confirm_registration_after_write();
    void write(Ms now);

  private:
    using ChangeNumber = std::uint64_t;
    struct Part {
        std::map<std::string, RegisteredMachine> machines;
        std::uint64_t version = 0;
        std::size_t bytes = 0;       // as last encoded, and what was added since
        bool estimated = false;      // ... so that it may be less
        ChangeNumber changed = 0;    // the first change that is not sent yet; 0: none
        ChangeNumber in_flight = 0;  // ... that is sent, but not answered
        bool dropping = false;       // what is in flight takes its key away
    };
    struct Waiting {
        ChangeNumber change = 0;
        std::function<void(Ms)> then;
    };

    void mark_changed(std::uint32_t part);
    bool divided() const { return parts_.size() > 1; }
    bool may_divide() const;
    bool must_divide() const;
    void divide();
    std::size_t part_limit() const;
    static bool has_row_for(const Part& part, const RegisteredMachine& machine);
    bool has_room_for(const Part& part, const RegisteredMachine& machine) const;
    std::uint32_t part_for(const RegisteredMachine& machine);
    Json encode(std::uint32_t part) const;
    std::size_t first_value_bytes() const;
    ChangeNumber durable() const;
    void send(const std::vector<std::uint32_t>& parts);
    void written(Ms now, const std::vector<std::uint32_t>& parts, const StoreResponse& reply);
    void read_versions(std::vector<std::string> keys);
    void tell_waiting(Ms now);

    LeaderContext& context_;
    bool known_ = false;
    std::map<std::uint32_t, Part> parts_;                     // part 0 is always there
    std::unordered_map<std::string, std::uint32_t> part_of_;  // by machine
    std::vector<ScaleOutRequest> scale_out_requests_;
    std::uint64_t next_request_number_ = 1;
    bool first_scale_out_done_ = false;
    ChangeNumber last_change_ = 0;
    bool writing_ = false;
    Ms write_at_ = 0;
    std::vector<Waiting> waiting_;
};

}  // namespace walkford
