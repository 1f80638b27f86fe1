#include "coordination/cloud/machine_type_reader.hpp"

#include <utility>

namespace walkford {

namespace {
constexpr Ms kReadInterval = 30000;
constexpr Ms kReadRetryDelay = 1500;
}  // namespace

void MachineTypeReader::tick(Ms now) {
    if (call_open_ || now < next_read_at_) {
        return;
    }
    call_open_ = true;
    CloudRequest request;
    request.operation = CloudOperation::list_machine_types;
    auto handler = [this](Ms at, const CloudResponse& response) { on_response(at, response); };
    context_.controller.cloud.call(std::move(request), context_.while_leading(std::move(handler)));
}

void MachineTypeReader::on_response(Ms now, const CloudResponse& response) {
    call_open_ = false;
    if (response.status != CloudCallStatus::ok || response.machine_types.empty()) {
        next_read_at_ = now + kReadRetryDelay;
        return;
    }
    next_read_at_ = now + kReadInterval;
    bool first_read = context_.controller.machine_types.empty();
    adopt(response);
    if (first_read) {
        context_.placement_requested = true;
    }
    if (!context_.controller.replica.machine_types && context_.controller.machine_types_complete) {
        store(context_.controller.machine_types);
    }
}

// A type whose entry can't be read any more keeps the properties that were read before.
void MachineTypeReader::adopt(const CloudResponse& response) {
    ControllerContext& controller = context_.controller;
    std::vector<MachineType> machine_types = response.machine_types;
    bool complete = response.all_names_known;
    for (const std::string& name : response.unreadable_names) {
        Id id = controller.names.machine_types.find(name);
        const MachineType* known = id == kNone ? nullptr : context_.cluster.machine_type(id);
        if (known) {
            machine_types.push_back(*known);
        }
        complete = complete && known;
    }
    context_.cluster.set_machine_types(machine_types);
    controller.machine_types = std::move(machine_types);
    controller.machine_types_complete = complete;
}

// The types are stored so that a controller that starts during an outage of the cloud can still
// validate submissions. They are written only once, at list prices, because prices change too often
// to write each change.
void MachineTypeReader::store(const std::vector<MachineType>& machine_types) {
    Transaction transaction;
    transaction.comparisons = {{keys::kLeader, context_.fencing_token}};
    transaction.writes = {
        {keys::kMachineTypes, encode_machine_types(machine_types, context_.controller.names), 0}};
    context_.controller.store.transaction(RequestPriority::progress, std::move(transaction),
                                          [](Ms, const StoreResponse&) {});
}

}  // namespace walkford
