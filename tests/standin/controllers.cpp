// Controllers of the simulated world: their event loops, and what becomes of what they send.
#include <algorithm>

#include "standin/entities.hpp"
#include "standin/world.hpp"

namespace walkford::standin {

void World::start_node(std::size_t i) {
    Host& h = *hosts_[i];
    ++h.life;
    Platform p = platform_;
    p.node_name = "n" + std::to_string(i);
    p.feature_level = feature_level(i);
    p.zone = zone_of_controller(i);
    if (o_.told_limit_cpus > 0) {
        p.teams.front().limit.cpus = o_.told_limit_cpus;
    }
    p.incarnation = p.node_name + "-" + std::to_string(h.life);
    for (std::size_t k = 0; k < o_.nodes; ++k) {
        if (k != i) {
            p.peers.push_back({"n" + std::to_string(k), "", zone_of_controller(k)});
        }
    }
    h.rate = 1.0 + static_cast<double>(pick(-5, 5)) / 10000.0;
    h.offset = pick(1000, 100000000);
    h.wake = -1;
    h.led = false;
    h.node = std::make_unique<Node>(p, policy_, rng_());
    feed(i, TickInput{});
}

void World::crash_node(std::size_t i) {
    Host& h = *hosts_[i];
    h.node.reset();
    ++h.life;
    h.users.clear();
    h.heartbeats.clear();
    h.received.clear();
}

// Like the real event loop: what arrives while a turn waits for the processor is taken in together.
void World::feed(std::size_t i, const Input& input) {
    Host& h = *hosts_[i];
    if (!h.node) {
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
    Outputs out = h.node->step(clock, inputs);
    if (o_.on_outputs) {
        o_.on_outputs(now_, i, out);
    }
    if (h.node->leading() != h.led) {
        h.led = h.node->leading();
        elections += h.led;
        if (h.led) {
            deliver_kept_reports();
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

void World::send(std::size_t i, const UserAnswer& answer) {
    answer_waiting(hosts_[i]->users, answer);
}

void World::send(std::size_t i, const HeartbeatAnswer& answer) {
    relayed += answer.code == 200 && !hosts_[i]->node->leading();
    answer_waiting(hosts_[i]->heartbeats, answer);
}

void World::watch_state(const std::string& node, const StateCall& call, Ms until,
                        const std::function<void(StateReply)>& respond) {
    constexpr Ms kLookAgain = 25;
    StateReply reply = state_->execute(now_, node, call);
    bool nothing_yet = reply.status == 503 || reply.rows.empty();
    if (nothing_yet && now_ < until) {
        at(now_ + kLookAgain,
           [this, node, call, until, respond] { watch_state(node, call, until, respond); });
        return;
    }
    respond(reply);
}

void World::send(std::size_t i, const StateCall& sent) {
    std::string me = "n" + std::to_string(i);
    auto back = reply_to(i);
    if (o_.hide_relays) {
        back = [back](const Input& input) {
            auto reply = std::get<StateReply>(input);
            std::erase_if(reply.rows,
                          [](const StateRow& row) { return row.key.rfind(keys::kRelays, 0) == 0; });
            back(reply);
        };
    }
    StateCall c = sent;
    if (o_.strip_fence) {
        c.txn.conditions.clear();
    }
    StateReply none;
    none.call = c.call;
    bool writes = c.verb == StateVerb::txn && !c.txn.writes.empty();
    if (writes && now_ < active_.late_writes && chance(0.4)) {
        at(now_ + pick(2000, 12000),
           [this, me, c] { written_late += state_->execute(now_, me, c).status == 200; });
        at(now_ + kCallTimeout, [back, none] { back(none); });
        return;
    }
    if (writes && now_ < active_.lost_answers && chance(0.4)) {
        at(now_ + pick(1, 8),
           [this, me, c] { answers_lost += state_->execute(now_, me, c).status == 200; });
        at(now_ + kCallTimeout, [back, none] { back(none); });
        return;
    }
    bool watch = c.verb == StateVerb::changes && c.wait_ms > 0;
    call<StateReply>(
        me, "state", watch ? c.wait_ms + 3000 : kCallTimeout, none,
        [this, me, c, watch](const std::function<void(StateReply)>& respond) {
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

void World::send(std::size_t i, const CloudCall& c) {
    CloudReply none;
    none.call = c.call;
    call<CloudReply>(
        "n" + std::to_string(i), "cloud", 3000, none,
        [this, c, i](const std::function<void(CloudReply)>& respond) {
            CloudReply reply;
            reply.call = c.call;
            reply.status = 200;
            if (now_ < cloud_->out_until) {
                reply.status = 503;
                respond(reply);
                return;
            }
            switch (c.verb) {
                case CloudVerb::kinds:
                    if (!hosts_[i]->node) {
                        return;
                    }
                    list_kinds(hosts_[i]->node->names(), reply);
                    break;
                case CloudVerb::hire:
                    rent(c, reply);
                    break;
                case CloudVerb::give_back:
                    for (const std::string& name : c.names) {
                        kill_machine(name);
                    }
                    break;
                case CloudVerb::list:
                    list_machines(c.after, reply);
                    break;
            }
            respond(reply);
        },
        reply_to(i));
}

void World::list_kinds(Names& names, CloudReply& reply) const {
    for (const Kind& kind : kinds_) {
        Kind mine = kind;
        mine.id = names.kinds.intern(kind_names_[kind.id]);
        mine.zones.clear();
        for (const std::string& zone : zones_) {
            mine.zones.push_back(names.zones.intern(zone));
        }
        reply.kinds.push_back(mine);
    }
}

void World::rent(const CloudCall& c, CloudReply& reply) {
    if (auto known = cloud_->hires.find(c.hire); known != cloud_->hires.end()) {
        reply.names = known->second;
        return;
    }
    Id kind = c.kind == "small" ? 0 : 1;
    auto held = std::count_if(cloud_->machines.begin(), cloud_->machines.end(),
                              [&](const Cloud::Rented& machine) {
                                  return machine.gone < 0 && machine.kind == kind &&
                                         machine.zone == c.zone && machine.spot == c.spot;
                              });
    int room = cloud_->room_per_option - static_cast<int>(held);
    Ms dark_until = zone_dark_until(c.zone);
    bool refused = dark_until >= 0 && !lost_zones_.at(c.zone).rents;
    if (room <= 0 || refused) {
        reply.status = 503;
        reply.more = true;
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
        rentals.emplace_back(now_, c.zone);
        cloud_->machines.push_back({name, c.zone, kind, c.spot, now_, now_ + boot, -1});
        reply.names.push_back(name);
        at(now_ + boot, [this, name, kind, zone = c.zone, spot = c.spot] {
            for (const auto& machine : cloud_->machines) {
                if (machine.name == name && machine.gone < 0) {
                    add_machine(name, kind, zone, spot, now_);
                }
            }
        });
    }
    cloud_->hires[c.hire] = reply.names;
}

// The list as it was some seconds ago, in pages.
void World::list_machines(const std::string& after, CloudReply& reply) {
    constexpr std::size_t kPageSize = 5;
    Ms then = now_ - pick(500, 4000);
    for (const auto& machine : cloud_->machines) {
        bool gone = machine.gone >= 0 && machine.gone <= then;
        if (machine.born > then || gone || machine.name <= after) {
            continue;
        }
        if (reply.machines.size() == kPageSize) {
            reply.more = true;
            return;
        }
        CloudMachine listed;
        listed.name = machine.name;
        listed.address = machine.name;
        listed.kind = kind_names_[machine.kind];
        listed.zone = machine.zone;
        listed.spot = machine.spot;
        listed.status = machine.up <= then ? CloudStatus::running : CloudStatus::booting;
        listed.age_s = static_cast<double>(then - machine.born) / 1000.0;
        reply.machines.push_back(listed);
    }
}

void World::send(std::size_t i, const WorkerCall& c) {
    std::string me = "n" + std::to_string(i);
    auto back = reply_to(i);
    WorkerReply none;
    none.call = c.call;
    if (!c.orders.empty() && now_ < active_.late_commands && chance(0.5)) {
        at(now_ + pick(2000, 16000), [this, c] {
            if (auto reply = obey(c)) {
                commands_late += reply->status == 200;
            }
        });
        at(now_ + 3000, [back, none] { back(none); });
        return;
    }
    call<WorkerReply>(
        me, c.address, 3000, none,
        [this, c](const std::function<void(WorkerReply)>& respond) {
            if (auto reply = obey(c)) {
                respond(*reply);
            }
        },
        back);
}

// What a worker does with a direct command; nothing if there is no such machine.
std::optional<WorkerReply> World::obey(const WorkerCall& c) {
    auto it = workers_.find(c.address);
    if (it == workers_.end()) {
        return std::nullopt;
    }
    Worker& worker = *it->second;
    WorkerReply reply;
    reply.call = c.call;
    bool stale = c.token < worker.token || c.session != worker.session;
    if (c.token > worker.token) {
        worker.token = c.token;
        changed(worker);
    }
    reply.status = stale ? 409 : 200;
    if (!stale) {
        for (const Order& o : c.orders) {
            execute(worker, o);
        }
    }
    reply.report = report(worker);
    return reply;
}

void World::send(std::size_t i, const PeerSend& message) {
    // Peers are all but oneself, in order.
    std::size_t to = message.peer < i ? message.peer : message.peer + 1;
    std::size_t index = i < to ? i : i - 1;
    Ms arrives = path("n" + std::to_string(i), "n" + std::to_string(to));
    if (arrives < 0) {
        return;
    }
    at(arrives, [this, to, index, fact = message.fact] { feed(to, PeerInput{index, fact}); });
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
