#include "coordination/cloud/scale_out_requester.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace walkford {

namespace {
constexpr std::uint32_t kMaxMachinesPerRequest = 50;
constexpr Ms kMalformedBackoff = 60000;
constexpr Ms kRateLimitedRetryDelay = 1000;
constexpr Ms kUnknownOutcomeRetryDelay = 1500;

MachineGroupKey group_of(const ScaleOutRequest& request) {
    return {request.machine_type, request.zone, request.spot};
}
}  // namespace

ScaleOutRequester::ScaleOutRequester(LeaderContext& context, MachineRegistry& registry,
                                     const MachineReleaser& releaser, CapacityBackoff& backoff,
                                     UnregisteredMachines& unregistered)
    : context_(context),
      registry_(registry),
      releaser_(releaser),
      backoff_(backoff),
      unregistered_(unregistered) {}

void ScaleOutRequester::resume(Ms now) {
    for (const ScaleOutRequest& request : registry_.scale_out_requests()) {
        retry_at_by_request_[request.name] = now;
    }
}

bool ScaleOutRequester::can_request(const MachineGroupKey& group, Ms now) const {
    if (!registry_.initialized() || backoff_.blocks(group, now)) {
        return false;
    }
    return std::none_of(registry_.scale_out_requests().begin(),
                        registry_.scale_out_requests().end(),
                        [&](const ScaleOutRequest& request) { return group_of(request) == group; });
}

bool ScaleOutRequester::request(Ms now, const MachineGroupKey& group, std::uint32_t count,
                                bool permanent, const std::string& reason) {
    if (!can_request(group, now) || count == 0) {
        return false;
    }
    ScaleOutRequest request;
    // The name is never reused: the fencing token identifies the leader term, and the number is
    // unique within it.
    request.name = "w" + std::to_string(context_.fencing_token) + "-" +
                   std::to_string(registry_.next_request_number());
    request.machine_type = group.machine_type;
    request.zone = group.zone;
    request.spot = group.spot;
    request.count = std::min(count, kMaxMachinesPerRequest);
    request.permanent = permanent;
    if (!registry_.add_scale_out_request(request)) {
        return false;
    }
    registry_.after_write([this, name = request.name](Ms) { send(name); });
    // Groups that are refused repeatedly are logged at debug level only.
    spdlog::log(backoff_.refused_repeatedly(group) ? spdlog::level::debug : spdlog::level::info,
                "scale-out request {}: requesting {} machines of type {}{} in zone {}{}: {}",
                request.name, request.count,
                context_.controller.names.machine_types.name(group.machine_type),
                group.spot ? " (spot)" : "", context_.controller.names.zones.name(group.zone),
                permanent ? ", permanent" : "", reason);
    registry_.write(now);
    return true;
}

void ScaleOutRequester::retry_due(Ms now) {
    std::vector<std::string> due;
    for (const auto& [name, retry_at] : retry_at_by_request_) {
        if (now >= retry_at && !open_calls_.contains(name)) {
            due.push_back(name);
        }
    }
    for (const std::string& name : due) {
        send(name);
    }
}

void ScaleOutRequester::send(const std::string& request_name) {
    const ScaleOutRequest* request = registry_.scale_out_request(request_name);
    if (!request || open_calls_.contains(request_name)) {
        return;
    }
    open_calls_.insert(request_name);
    retry_at_by_request_.erase(request_name);
    CloudRequest call;
    call.operation = CloudOperation::scale_out;
    call.request_name = request_name;
    call.machine_type = context_.controller.names.machine_types.name(request->machine_type);
    call.zone = context_.controller.names.zones.name(request->zone);
    call.spot = request->spot;
    call.count = request->count;
    auto handler = [this, request_name](Ms now, const CloudResponse& response) {
        on_response(now, request_name, response);
    };
    context_.controller.cloud.call(std::move(call), context_.while_leading(std::move(handler)));
}

void ScaleOutRequester::on_response(Ms now, const std::string& request_name,
                                    const CloudResponse& response) {
    open_calls_.erase(request_name);
    const ScaleOutRequest* open_request = registry_.scale_out_request(request_name);
    if (!open_request) {
        return;
    }
    const ScaleOutRequest request = *open_request;  // the handlers remove it from the registry
    switch (response.status) {
        case CloudCallStatus::ok:
            on_granted(now, request, response);
            break;
        case CloudCallStatus::no_capacity:
            on_no_capacity(now, request);
            break;
        case CloudCallStatus::malformed:
            on_malformed(now, request);
            break;
        case CloudCallStatus::rate_limited:
            retry_at_by_request_[request_name] = now + kRateLimitedRetryDelay;
            break;
        case CloudCallStatus::no_response:
        case CloudCallStatus::unavailable:
        case CloudCallStatus::unexpected:
            // The cloud may have executed the request, so it is repeated under the same name until
            // its outcome is known.
            retry_at_by_request_[request_name] = now + kUnknownOutcomeRetryDelay;
            break;
    }
}

void ScaleOutRequester::on_granted(Ms now, const ScaleOutRequest& request,
                                   const CloudResponse& response) {
    spdlog::info("scale-out request {}: {} of {} machines granted", request.name,
                 response.names.size(), request.count);
    if (!response.names.empty()) {
        backoff_.clear(group_of(request));
    }
    if (response.names.size() < request.count) {
        back_off(now, group_of(request));
    }
    for (const std::string& machine : response.names) {
        register_machine(now, request, machine);
    }
    if (!response.names.empty()) {
        registry_.set_first_scale_out_done();
    }
    registry_.remove_scale_out_request(request.name);
    context_.placement_requested = true;
    registry_.write(now);
}

void ScaleOutRequester::register_machine(Ms now, const ScaleOutRequest& request,
                                         const std::string& name) {
    if (releaser_.released(name)) {
        return;
    }
    ClusterState& cluster = context_.cluster;
    Id machine_id =
        cluster.add_machine(name, request.machine_type, request.zone, request.spot, now);
    Machine& machine = cluster.machines[machine_id];
    if (machine.registered) {
        return;
    }
    machine.registered = true;
    machine.requested_by_this_leader = true;
    machine.permanent = request.permanent;
    machine.machine_type = request.machine_type;
    machine.zone = request.zone;
    machine.spot = request.spot;
    unregistered_.forget(name);
    registry_.add_machine(
        {name, request.machine_type, request.zone, request.spot, request.permanent, false});
}

// The cloud has certainly not executed the request, so it is not repeated.
void ScaleOutRequester::on_no_capacity(Ms now, const ScaleOutRequest& request) {
    spdlog::log(backoff_.refused(group_of(request)) ? spdlog::level::debug : spdlog::level::info,
                "scale-out request {}: the cloud has no capacity for {} machines", request.name,
                request.count);
    back_off(now, group_of(request));
    registry_.remove_scale_out_request(request.name);
    registry_.write(now);
}

void ScaleOutRequester::on_malformed(Ms now, const ScaleOutRequest& request) {
    spdlog::error("scale-out request {}: the cloud rejected it as malformed", request.name);
    backoff_.block_until(group_of(request), now + kMalformedBackoff);
    registry_.remove_scale_out_request(request.name);
    registry_.write(now);
}

void ScaleOutRequester::back_off(Ms now, const MachineGroupKey& group) {
    backoff_.add_refusal(now, group,
                         to_ms(context_.controller.operator_settings.no_capacity_backoff_s));
    // Another group is requested at the next tick.
    context_.scale_out_requested = true;
}

}  // namespace walkford
