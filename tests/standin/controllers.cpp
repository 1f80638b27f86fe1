// Controllers of the simulation: their event loops and the delivery of their outputs.
#include <algorithm>

#include "standin/entities.hpp"
#include "standin/world.hpp"

namespace walkford::standin {

void World::start_controller(std::size_t i) {
    Host& host = *hosts_[i];
    ++host.process_number;
    PlatformSettings settings = platform_settings_;
    settings.controller_name = "n" + std::to_string(i);
    settings.feature_level = feature_level(i);
    settings.zone = zone_of_controller(i);
    if (options_.configured_quota_cpus > 0) {
        settings.teams.front().quota.cpus = options_.configured_quota_cpus;
    }
    settings.incarnation = settings.controller_name + "-" + std::to_string(host.process_number);
    for (std::size_t k = 0; k < options_.controllers; ++k) {
        if (k != i) {
            settings.peers.push_back({"n" + std::to_string(k), "", zone_of_controller(k)});
        }
    }
    host.rate = 1.0 + static_cast<double>(random_integer(-5, 5)) / 10000.0;
    host.offset = random_integer(1000, 100000000);
    host.wake = -1;
    host.was_leading = false;
    host.controller = std::make_unique<Controller>(settings, operator_settings_, rng_());
    enqueue_input(i, TickInput{});
}

void World::crash_controller(std::size_t i) {
    Host& host = *hosts_[i];
    host.controller.reset();
    ++host.process_number;
    host.users.clear();
    host.heartbeats.clear();
    host.received.clear();
}

// Like the real event loop, handles all inputs that arrive before an iteration starts as one batch.
void World::enqueue_input(std::size_t i, const Input& input) {
    Host& host = *hosts_[i];
    if (!host.controller) {
        return;
    }
    host.received.push_back(input);
    if (host.received.size() > 1) {
        return;  // an iteration is already scheduled
    }
    schedule(now_ + random_integer(0, kMaxIterationDelay),
             [this, i, process_number = host.process_number] {
                 if (hosts_[i]->process_number == process_number) {
                     run_iteration(i);
                 }
             });
}

void World::run_iteration(std::size_t i) {
    Host& host = *hosts_[i];
    if (now_ < host.frozen_until) {
        schedule(host.frozen_until, [this, i, process_number = host.process_number] {
            if (hosts_[i]->process_number == process_number) {
                run_iteration(i);
            }
        });
        return;
    }
    std::vector<Input> inputs = std::move(host.received);
    host.received.clear();
    largest_input_batch = std::max(largest_input_batch, inputs.size());
    Ms clock = host.offset + static_cast<Ms>(static_cast<double>(now_) * host.rate);
    Outputs out = host.controller->step(clock, inputs);
    if (options_.on_outputs) {
        options_.on_outputs(now_, i, out);
    }
    if (host.controller->leading() != host.was_leading) {
        host.was_leading = host.controller->leading();
        elections += host.was_leading;
        if (host.was_leading) {
            deliver_replayed_reports();
        }
    }
    for (Output& output : out) {
        deliver_output(i, output);
    }
}

void World::deliver_output(std::size_t i, Output& output) {
    std::visit([this, i](auto& message) { send(i, message); }, output);
}

std::function<void(const Input&)> World::reply_to(std::size_t i) {
    return [this, i, process_number = hosts_[i]->process_number](const Input& reply) {
        if (hosts_[i]->process_number == process_number) {
            enqueue_input(i, reply);
        }
    };
}

namespace {
// Passes a response to the pending request. Does nothing if the request is no longer pending.
template <typename Answer>
void answer_pending_request(std::map<RequestId, std::function<void(Answer)>>& waiting,
                            const Answer& answer) {
    auto it = waiting.find(answer.request);
    if (it == waiting.end()) {
        return;
    }
    auto respond = std::move(it->second);
    waiting.erase(it);
    respond(answer);
}
}  // namespace

void World::send(std::size_t i, const UserResponse& answer) {
    answer_pending_request(hosts_[i]->users, answer);
}

void World::send(std::size_t i, const HeartbeatResponse& answer) {
    relayed += answer.code == 200 && !hosts_[i]->controller->leading();
    record_runs(i, answer);
    answer_pending_request(hosts_[i]->heartbeats, answer);
}

void World::wait_for_store_changes(const std::string& controller, const StoreRequest& call,
                                   Ms until, const std::function<void(StoreResponse)>& respond) {
    constexpr Ms kPollInterval = 25;
    StoreResponse reply = state_->execute(now_, controller, call);
    bool nothing_yet = reply.status == StoreStatus::unavailable || reply.rows.empty();
    if (nothing_yet && now_ < until) {
        schedule(now_ + kPollInterval, [this, controller, call, until, respond] {
            wait_for_store_changes(controller, call, until, respond);
        });
        return;
    }
    respond(reply);
}

void World::send(std::size_t i, const StoreRequest& sent) {
    std::string sender = "n" + std::to_string(i);
    auto back = reply_to(i);
    if (options_.hide_relay_records) {
        back = [back](const Input& input) {
            auto reply = std::get<StoreResponse>(input);
            std::erase_if(reply.rows, [](const StoreEntry& row) {
                return row.key.rfind(keys::kRelays, 0) == 0;
            });
            back(reply);
        };
    }
    StoreRequest request = sent;
    if (options_.drop_transaction_conditions) {
        request.transaction.comparisons.clear();
    }
    StoreResponse none;
    none.call = request.call;
    bool writes =
        request.operation == StoreOperation::transaction && !request.transaction.writes.empty();
    if (writes && now_ < active_.late_writes && chance(0.4)) {
        schedule(now_ + random_integer(2000, 12000), [this, sender, request] {
            writes_applied_late += state_->execute(now_, sender, request).status == StoreStatus::ok;
        });
        schedule(now_ + kCallTimeout, [back, none] { back(none); });
        return;
    }
    if (writes && now_ < active_.lost_answers && chance(0.4)) {
        schedule(now_ + random_integer(1, 8), [this, sender, request] {
            write_replies_lost += state_->execute(now_, sender, request).status == StoreStatus::ok;
        });
        schedule(now_ + kCallTimeout, [back, none] { back(none); });
        return;
    }
    bool watch = request.operation == StoreOperation::changes && request.wait_ms > 0;
    call<StoreResponse>(
        sender, "state", watch ? request.wait_ms + 3000 : kCallTimeout, none,
        [this, sender, request, watch](const std::function<void(StoreResponse)>& respond) {
            if (watch) {
                wait_for_store_changes(sender, request, now_ + request.wait_ms, respond);
            } else {
                respond(state_->execute(now_, sender, request));
            }
        },
        back);
    if (writes && options_.faults && chance(0.03)) {
        // Executes the transaction a second time, late.
        schedule(now_ + random_integer(50, 20000),
                 [this, sender, request] { state_->execute(now_, sender, request); });
    }
}

void World::send(std::size_t i, const CloudRequest& request) {
    CloudResponse none;
    none.call = request.call;
    call<CloudResponse>(
        "n" + std::to_string(i), "cloud", 3000, none,
        [this, request, i](const std::function<void(CloudResponse)>& respond) {
            CloudResponse reply;
            reply.call = request.call;
            reply.status = CloudCallStatus::ok;
            if (now_ < cloud_->out_until) {
                reply.status = CloudCallStatus::unavailable;
                respond(reply);
                return;
            }
            switch (request.operation) {
                case CloudOperation::list_machine_types:
                    if (!hosts_[i]->controller) {
                        return;
                    }
                    list_machine_types(hosts_[i]->controller->names(), reply);
                    break;
                case CloudOperation::scale_out:
                    request_machines(request, reply);
                    break;
                case CloudOperation::scale_in:
                    for (const std::string& name : request.names) {
                        kill_machine(name);
                    }
                    break;
                case CloudOperation::list:
                    list_machines(request.after, reply);
                    break;
            }
            respond(reply);
        },
        reply_to(i));
}

void World::list_machine_types(Names& names, CloudResponse& reply) const {
    for (const MachineType& machine_type : machine_types_) {
        MachineType interned = machine_type;
        interned.id = names.machine_types.intern(machine_type_names_[machine_type.id]);
        interned.zones.clear();
        for (const std::string& zone : zones_) {
            interned.zones.push_back(names.zones.intern(zone));
        }
        reply.machine_types.push_back(interned);
    }
}

void World::request_machines(const CloudRequest& request, CloudResponse& reply) {
    if (auto known = cloud_->scale_outs.find(request.request_name);
        known != cloud_->scale_outs.end()) {
        reply.names = known->second;
        return;
    }
    Id machine_type = request.machine_type == "small" ? 0 : 1;
    auto held = std::count_if(
        cloud_->machines.begin(), cloud_->machines.end(), [&](const Cloud::ScaledOut& machine) {
            return machine.terminated < 0 && machine.machine_type == machine_type &&
                   machine.zone == request.zone && machine.spot == request.spot;
        });
    int room = cloud_->room_per_option - static_cast<int>(held);
    Ms unreachable_until = zone_unreachable_until(request.zone);
    bool refused = unreachable_until >= 0 && !lost_zones_.at(request.zone).scales_out;
    if (room <= 0 || refused) {
        reply.status = CloudCallStatus::no_capacity;
        return;
    }
    for (int n = 0; n < std::min<int>(room, static_cast<int>(request.count)); ++n) {
        std::string name = "host-" + std::to_string(100000 + next_machine_++);
        bool never = chance(0.05);
        Ms boot = never ? 10000000 : random_integer(1500, 9000);
        if (now_ < active_.fast_machines) {
            boot = random_integer(100, 2000);
            ++fast_boots;
        }
        if (unreachable_until >= 0) {
            boot += unreachable_until - now_;
        }
        scale_out_requests.emplace_back(now_, request.zone);
        cloud_->machines.push_back(
            {name, request.zone, machine_type, request.spot, now_, now_ + boot, -1});
        reply.names.push_back(name);
        schedule(now_ + boot, [this, name, machine_type, zone = request.zone, spot = request.spot] {
            for (const auto& machine : cloud_->machines) {
                if (machine.name == name && machine.terminated < 0) {
                    add_machine(name, machine_type, zone, spot, now_);
                }
            }
        });
    }
    cloud_->scale_outs[request.request_name] = reply.names;
}

// Returns a page of the machine list as it was 0.5 to 4 seconds ago.
void World::list_machines(const std::string& after, CloudResponse& reply) {
    constexpr std::size_t kPageSize = 5;
    Ms then = now_ - random_integer(500, 4000);
    for (const auto& machine : cloud_->machines) {
        bool gone = machine.terminated >= 0 && machine.terminated <= then;
        if (machine.created_version > then || gone || machine.name <= after) {
            continue;
        }
        if (reply.machines.size() == kPageSize) {
            reply.more = true;
            return;
        }
        CloudMachine listed;
        listed.name = machine.name;
        listed.address = machine.name;
        listed.machine_type = machine_type_names_[machine.machine_type];
        listed.zone = machine.zone;
        listed.spot = machine.spot;
        listed.status =
            machine.up <= then ? CloudMachineState::running : CloudMachineState::booting;
        listed.age_s = static_cast<double>(then - machine.created_version) / 1000.0;
        reply.machines.push_back(listed);
        reply.last_name = listed.name;
    }
}

void World::send(std::size_t i, const WorkerRequest& request) {
    std::string sender = "n" + std::to_string(i);
    auto back = reply_to(i);
    WorkerResponse none;
    none.call = request.call;
    if (!request.commands.empty() && now_ < active_.late_commands && chance(0.5)) {
        schedule(now_ + random_integer(2000, 16000), [this, request] {
            if (auto reply = execute_worker_request(request)) {
                commands_applied_late += reply->status == WorkerCallStatus::ok;
            }
        });
        schedule(now_ + 3000, [back, none] { back(none); });
        return;
    }
    call<WorkerResponse>(
        sender, request.address, 3000, none,
        [this, request](const std::function<void(WorkerResponse)>& respond) {
            if (auto reply = execute_worker_request(request)) {
                respond(*reply);
            }
        },
        back);
}

// Executes a direct command on the worker. Returns nothing if the machine does not exist.
std::optional<WorkerResponse> World::execute_worker_request(const WorkerRequest& request) {
    auto it = workers_.find(request.address);
    if (it == workers_.end()) {
        return std::nullopt;
    }
    Worker& worker = *it->second;
    WorkerResponse reply;
    reply.call = request.call;
    bool stale =
        request.fencing_token < worker.fencing_token || request.incarnation != worker.incarnation;
    if (request.fencing_token > worker.fencing_token) {
        worker.fencing_token = request.fencing_token;
        hasten_heartbeat(worker);
    }
    reply.status = stale ? WorkerCallStatus::conflict : WorkerCallStatus::ok;
    if (!stale) {
        for (const WorkerCommand& command : request.commands) {
            execute(worker, command);
        }
        maybe_copy_command(request);
    }
    reply.worker_status = worker_status(worker);
    return reply;
}

void World::send(std::size_t i, const OutgoingPeerHeartbeat& message) {
    // A controller's peer list holds all other controllers in order.
    std::size_t to = message.peer < i ? message.peer : message.peer + 1;
    std::size_t index = i < to ? i : i - 1;
    Ms arrives = arrival_time("n" + std::to_string(i), "n" + std::to_string(to));
    if (arrives < 0) {
        return;
    }
    schedule(arrives, [this, to, index, peer_heartbeat = message.peer_heartbeat] {
        enqueue_input(to, IncomingPeerHeartbeat{index, peer_heartbeat});
    });
}

void World::send(std::size_t i, const WakeAt& wake) {
    Host& host = *hosts_[i];
    Ms clock = host.offset + static_cast<Ms>(static_cast<double>(now_) * host.rate);
    Ms when = now_ + std::max<Ms>(1, wake.at - clock);
    if (host.wake > now_ && host.wake <= when) {
        return;
    }
    host.wake = when;
    schedule(when, [this, i, process_number = host.process_number] {
        if (hosts_[i]->process_number != process_number) {
            return;
        }
        hosts_[i]->wake = -1;
        enqueue_input(i, TickInput{});
    });
}

}  // namespace walkford::standin
