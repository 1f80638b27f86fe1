// Controllers of the simulated world: their event loops, and what becomes of what they send.
#include <algorithm>

#include "standin/entities.hpp"
#include "standin/world.hpp"

namespace walkford::standin {

void World::start_controller(std::size_t i) {
    Host& h = *hosts_[i];
    ++h.life;
    PlatformSettings p = platform_settings_;
    p.controller_name = "n" + std::to_string(i);
    p.feature_level = feature_level(i);
    p.zone = zone_of_controller(i);
    if (o_.told_quota_cpus > 0) {
        p.teams.front().quota.cpus = o_.told_quota_cpus;
    }
    p.incarnation = p.controller_name + "-" + std::to_string(h.life);
    for (std::size_t k = 0; k < o_.controllers; ++k) {
        if (k != i) {
            p.peers.push_back({"n" + std::to_string(k), "", zone_of_controller(k)});
        }
    }
    h.rate = 1.0 + static_cast<double>(pick(-5, 5)) / 10000.0;
    h.offset = pick(1000, 100000000);
    h.wake = -1;
    h.led = false;
    h.controller = std::make_unique<Controller>(p, operator_settings_, rng_());
    feed(i, TickInput{});
}

void World::crash_controller(std::size_t i) {
    Host& h = *hosts_[i];
    h.controller.reset();
    ++h.life;
    h.users.clear();
    h.heartbeats.clear();
    h.received.clear();
}

// Like the real event loop: what arrives while a turn waits for the processor is taken in together.
void World::feed(std::size_t i, const Input& input) {
    Host& h = *hosts_[i];
    if (!h.controller) {
        return;
    }
    h.received.push_back(input);
    if (h.received.size() > 1) {
        return;  // its turn is planned
    }
    at(now_ + pick(0, kLongestTurn), [this, i, life = h.life] {
        if (hosts_[i]->life == life) {
            take_turn(i);
        }
    });
}

void World::take_turn(std::size_t i) {
    Host& h = *hosts_[i];
    if (now_ < h.frozen_until) {
        at(h.frozen_until, [this, i, life = h.life] {
            if (hosts_[i]->life == life) {
                take_turn(i);
            }
        });
        return;
    }
    std::vector<Input> inputs = std::move(h.received);
    h.received.clear();
    largest_turn = std::max(largest_turn, inputs.size());
    Ms clock = h.offset + static_cast<Ms>(static_cast<double>(now_) * h.rate);
    Outputs out = h.controller->step(clock, inputs);
    if (o_.on_outputs) {
        o_.on_outputs(now_, i, out);
    }
    if (h.controller->leading() != h.led) {
        h.led = h.controller->leading();
        elections += h.led;
        if (h.led) {
            deliver_replayed_reports();
        }
    }
    for (Output& o : out) {
        carry_out(i, o);
    }
}

void World::carry_out(std::size_t i, Output& output) {
    std::visit([this, i](auto& message) { send(i, message); }, output);
}

std::function<void(const Input&)> World::reply_to(std::size_t i) {
    return [this, i, life = hosts_[i]->life](const Input& reply) {
        if (hosts_[i]->life == life) {
            feed(i, reply);
        }
    };
}

namespace {
// Hands an answer to whoever asked; one who has gone is not there any more.
template <typename Answer>
void answer_waiting(std::map<RequestId, std::function<void(Answer)>>& waiting,
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
    answer_waiting(hosts_[i]->users, answer);
}

void World::send(std::size_t i, const HeartbeatResponse& answer) {
    relayed += answer.code == 200 && !hosts_[i]->controller->leading();
    answer_waiting(hosts_[i]->heartbeats, answer);
}

void World::watch_state(const std::string& controller, const StoreRequest& call, Ms until,
                        const std::function<void(StoreResponse)>& respond) {
    constexpr Ms kLookAgain = 25;
    StoreResponse reply = state_->execute(now_, controller, call);
    bool nothing_yet = reply.status == StoreStatus::unavailable || reply.rows.empty();
    if (nothing_yet && now_ < until) {
        at(now_ + kLookAgain, [this, controller, call, until, respond] {
            watch_state(controller, call, until, respond);
        });
        return;
    }
    respond(reply);
}

void World::send(std::size_t i, const StoreRequest& sent) {
    std::string me = "n" + std::to_string(i);
    auto back = reply_to(i);
    if (o_.hide_relays) {
        back = [back](const Input& input) {
            auto reply = std::get<StoreResponse>(input);
            std::erase_if(reply.rows, [](const StoreEntry& row) {
                return row.key.rfind(keys::kRelays, 0) == 0;
            });
            back(reply);
        };
    }
    StoreRequest c = sent;
    if (o_.strip_fence) {
        c.transaction.comparisons.clear();
    }
    StoreResponse none;
    none.call = c.call;
    bool writes = c.operation == StoreOperation::transaction && !c.transaction.writes.empty();
    if (writes && now_ < active_.late_writes && chance(0.4)) {
        at(now_ + pick(2000, 12000), [this, me, c] {
            written_late += state_->execute(now_, me, c).status == StoreStatus::ok;
        });
        at(now_ + kCallTimeout, [back, none] { back(none); });
        return;
    }
    if (writes && now_ < active_.lost_answers && chance(0.4)) {
        at(now_ + pick(1, 8), [this, me, c] {
            answers_lost += state_->execute(now_, me, c).status == StoreStatus::ok;
        });
        at(now_ + kCallTimeout, [back, none] { back(none); });
        return;
    }
    bool watch = c.operation == StoreOperation::changes && c.wait_ms > 0;
    call<StoreResponse>(
        me, "state", watch ? c.wait_ms + 3000 : kCallTimeout, none,
        [this, me, c, watch](const std::function<void(StoreResponse)>& respond) {
            if (watch) {
                watch_state(me, c, now_ + c.wait_ms, respond);
            } else {
                respond(state_->execute(now_, me, c));
            }
        },
        back);
    if (writes && o_.faults && chance(0.03)) {
        // A late copy of the transaction.
        at(now_ + pick(50, 20000), [this, me, c] { state_->execute(now_, me, c); });
    }
}

void World::send(std::size_t i, const CloudRequest& c) {
    CloudResponse none;
    none.call = c.call;
    call<CloudResponse>(
        "n" + std::to_string(i), "cloud", 3000, none,
        [this, c, i](const std::function<void(CloudResponse)>& respond) {
            CloudResponse reply;
            reply.call = c.call;
            reply.status = CloudCallStatus::ok;
            if (now_ < cloud_->out_until) {
                reply.status = CloudCallStatus::unavailable;
                respond(reply);
                return;
            }
            switch (c.operation) {
                case CloudOperation::list_machine_types:
                    if (!hosts_[i]->controller) {
                        return;
                    }
                    list_machine_types(hosts_[i]->controller->names(), reply);
                    break;
                case CloudOperation::scale_out:
                    request_machines(c, reply);
                    break;
                case CloudOperation::scale_in:
                    for (const std::string& name : c.names) {
                        kill_machine(name);
                    }
                    break;
                case CloudOperation::list:
                    list_machines(c.after, reply);
                    break;
            }
            respond(reply);
        },
        reply_to(i));
}

void World::list_machine_types(Names& names, CloudResponse& reply) const {
    for (const MachineType& machine_type : machine_types_) {
        MachineType mine = machine_type;
        mine.id = names.machine_types.intern(machine_type_names_[machine_type.id]);
        mine.zones.clear();
        for (const std::string& zone : zones_) {
            mine.zones.push_back(names.zones.intern(zone));
        }
        reply.machine_types.push_back(mine);
    }
}

void World::request_machines(const CloudRequest& c, CloudResponse& reply) {
    if (auto known = cloud_->scale_outs.find(c.request_name); known != cloud_->scale_outs.end()) {
        reply.names = known->second;
        return;
    }
    Id machine_type = c.machine_type == "small" ? 0 : 1;
    auto held = std::count_if(
        cloud_->machines.begin(), cloud_->machines.end(), [&](const Cloud::ScaledOut& machine) {
            return machine.terminated < 0 && machine.machine_type == machine_type &&
                   machine.zone == c.zone && machine.spot == c.spot;
        });
    int room = cloud_->room_per_option - static_cast<int>(held);
    Ms dark_until = zone_dark_until(c.zone);
    bool refused = dark_until >= 0 && !lost_zones_.at(c.zone).scales_out;
    if (room <= 0 || refused) {
        reply.status = CloudCallStatus::no_capacity;
        return;
    }
    for (int n = 0; n < std::min<int>(room, static_cast<int>(c.count)); ++n) {
        std::string name = "host-" + std::to_string(100000 + next_machine_++);
        bool never = chance(0.05);
        Ms boot = never ? 10000000 : pick(1500, 9000);
        if (now_ < active_.fast_machines) {
            boot = pick(100, 2000);
            ++started_fast;
        }
        if (dark_until >= 0) {
            boot += dark_until - now_;
        }
        scale_out_requests.emplace_back(now_, c.zone);
        cloud_->machines.push_back({name, c.zone, machine_type, c.spot, now_, now_ + boot, -1});
        reply.names.push_back(name);
        at(now_ + boot, [this, name, machine_type, zone = c.zone, spot = c.spot] {
            for (const auto& machine : cloud_->machines) {
                if (machine.name == name && machine.terminated < 0) {
                    add_machine(name, machine_type, zone, spot, now_);
                }
            }
        });
    }
    cloud_->scale_outs[c.request_name] = reply.names;
}

// The list as it was some seconds ago, in pages.
void World::list_machines(const std::string& after, CloudResponse& reply) {
    constexpr std::size_t kPageSize = 5;
    Ms then = now_ - pick(500, 4000);
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
    }
}

void World::send(std::size_t i, const WorkerRequest& c) {
    std::string me = "n" + std::to_string(i);
    auto back = reply_to(i);
    WorkerResponse none;
    none.call = c.call;
    if (!c.commands.empty() && now_ < active_.late_commands && chance(0.5)) {
        at(now_ + pick(2000, 16000), [this, c] {
            if (auto reply = obey(c)) {
                commands_late += reply->status == WorkerCallStatus::ok;
            }
        });
        at(now_ + 3000, [back, none] { back(none); });
        return;
    }
    call<WorkerResponse>(
        me, c.address, 3000, none,
        [this, c](const std::function<void(WorkerResponse)>& respond) {
            if (auto reply = obey(c)) {
                respond(*reply);
            }
        },
        back);
}

// What a worker does with a direct command; nothing if there is no such machine.
std::optional<WorkerResponse> World::obey(const WorkerRequest& c) {
    auto it = workers_.find(c.address);
    if (it == workers_.end()) {
        return std::nullopt;
    }
    Worker& worker = *it->second;
    WorkerResponse reply;
    reply.call = c.call;
    bool stale = c.fencing_token < worker.fencing_token || c.incarnation != worker.incarnation;
    if (c.fencing_token > worker.fencing_token) {
        worker.fencing_token = c.fencing_token;
        changed(worker);
    }
    reply.status = stale ? WorkerCallStatus::conflict : WorkerCallStatus::ok;
    if (!stale) {
        for (const WorkerCommand& o : c.commands) {
            execute(worker, o);
        }
    }
    reply.worker_status = worker_status(worker);
    return reply;
}

void World::send(std::size_t i, const OutgoingPeerHeartbeat& message) {
    // Peers are all but oneself, in order.
    std::size_t to = message.peer < i ? message.peer : message.peer + 1;
    std::size_t index = i < to ? i : i - 1;
    Ms arrives = path("n" + std::to_string(i), "n" + std::to_string(to));
    if (arrives < 0) {
        return;
    }
    at(arrives, [this, to, index, peer_heartbeat = message.peer_heartbeat] {
        feed(to, IncomingPeerHeartbeat{index, peer_heartbeat});
    });
}

void World::send(std::size_t i, const WakeAt& wake) {
    Host& h = *hosts_[i];
    Ms clock = h.offset + static_cast<Ms>(static_cast<double>(now_) * h.rate);
    Ms when = now_ + std::max<Ms>(1, wake.at - clock);
    if (h.wake > now_ && h.wake <= when) {
        return;
    }
    h.wake = when;
    at(when, [this, i, life = h.life] {
        if (hosts_[i]->life != life) {
            return;
        }
        hosts_[i]->wake = -1;
        feed(i, TickInput{});
    });
}

}  // namespace walkford::standin
