#include "coordination/cloud/cloud_manager.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/leader/task_lifecycle.hpp"

namespace walkford {

namespace {
constexpr Ms kListEvery = 2500;
constexpr Ms kMachineTypesInterval = 30000;
}  // namespace

void CloudManager::load(Ms now) {
    ControllerContext& controller = context_.controller;
    ClusterState& cluster = context_.cluster;
    if (controller.replica.registry_parts.empty()) {
        return;
    }
    if (!registry_.load()) {
        spdlog::error("the machine registry can't be read; nothing is rented or given back");
        return;
    }
    loaded_ = true;
    for (const RegisteredMachine& h : registry_.machines()) {
        Id id = cluster.add_machine(h.name, h.machine_type, h.zone, h.spot, now);
        Machine& m = cluster.machines[id];
        m.registered = true;
        m.registration_durable = true;
        m.permanent = h.permanent;
        m.releasing = h.releasing;
        if (h.releasing) {
            to_release_.insert(h.name);
        }
    }
    // Rentals whose answer an earlier leader did not record are repeated under their name.
    for (const ScaleOutRequest& scale_out_request : registry_.scale_out_requests()) {
        retry_at_by_request_[scale_out_request.name] = now;
    }
}

bool CloudManager::first_scale_out_done() const {
    if (registry_.first_scale_out_done()) {
        return true;
    }
    return std::any_of(registry_.scale_out_requests().begin(), registry_.scale_out_requests().end(),
                       [](const ScaleOutRequest& h) { return h.permanent; });
}

// Nothing runs on a machine that the durable registry doesn't list yet: a new leader would take a
// placement there for one on a machine long gone, and start the task anew.
void CloudManager::confirm_registration() {
    registry_.after_write([this](Ms) {
        for (const RegisteredMachine& h : registry_.machines()) {
            Id id = context_.cluster.find_machine(h.name);
            if (id != kNone) {
                context_.cluster.machines[id].registration_durable = true;
            }
        }
    });
}

bool CloudManager::can_request(Id machine_type, Id zone, bool spot, Ms now) const {
    if (!loaded_) {
        return false;
    }
    auto it = refused_.find({machine_type, zone, spot});
    if (it != refused_.end() && now < it->second.until) {
        return false;
    }
    return std::none_of(registry_.scale_out_requests().begin(),
                        registry_.scale_out_requests().end(), [&](const ScaleOutRequest& h) {
                            return h.machine_type == machine_type && h.zone == zone &&
                                   h.spot == spot;
                        });
}

bool CloudManager::refused_lately(Id zone, Ms now) const {
    return std::any_of(refused_.begin(), refused_.end(), [&](const auto& entry) {
        return std::get<1>(entry.first) == zone && now < entry.second.until;
    });
}

bool CloudManager::request_machines(Ms now, Id machine_type, Id zone, bool spot,
                                    std::uint32_t count, bool permanent, const std::string& why) {
    if (!can_request(machine_type, zone, spot, now) || count == 0) {
        return false;
    }
    ScaleOutRequest h;
    // Unique for ever: the token is, and the counter within it.
    h.name = "w" + std::to_string(context_.fencing_token) + "-" +
             std::to_string(registry_.next_request_number());
    h.machine_type = machine_type;
    h.zone = zone;
    h.spot = spot;
    h.count = std::min<std::uint32_t>(count, 50);
    h.permanent = permanent;
    if (!registry_.add_scale_out_request(h)) {
        return false;
    }
    registry_.after_write([this, name = h.name](Ms at) { ask(at, name); });
    // Told once: what is refused time and again goes to the debug log.
    auto again = refused_.find({machine_type, zone, spot});
    bool repeated = again != refused_.end() && again->second.times > 1;
    spdlog::log(repeated ? spdlog::level::debug : spdlog::level::info,
                "rent {}: {} {}{} in {}{}: {}", h.name, h.count,
                context_.controller.names.machine_types.name(machine_type), spot ? " (spot)" : "",
                context_.controller.names.zones.name(zone), permanent ? ", permanent" : "", why);
    registry_.write(now);
    return true;
}

// Asked again later and later, and another kind at once: a cheap kind that is always refused must
// not keep the dearer one behind it from being asked for.
void CloudManager::ran_out(Ms now, Id machine_type, Id zone, bool spot) {
    Refusal& r = refused_[{machine_type, zone, spot}];
    r.times = std::min(r.times + 1, 3);
    r.until = now + to_ms(context_.controller.operator_settings.no_capacity_backoff_s) *
                        (Ms{1} << (r.times - 1));
    context_.scale_out_now = true;
}

void CloudManager::ask(Ms now, const std::string& name) {
    const ScaleOutRequest* it = registry_.scale_out_request(name);
    if (!it || open_requests_.count(name)) {
        return;
    }
    open_requests_.insert(name);
    retry_at_by_request_.erase(name);
    CloudRequest c;
    c.operation = CloudOperation::scale_out;
    c.request_name = name;
    c.machine_type = context_.controller.names.machine_types.name(it->machine_type);
    c.zone = context_.controller.names.zones.name(it->zone);
    c.spot = it->spot;
    c.count = it->count;
    (void)now;
    context_.controller.cloud.call(std::move(c), [this, alive = std::weak_ptr<bool>(context_.alive),
                                                  name](Ms at, const CloudResponse& r) {
        if (alive.expired()) {
            return;
        }
        open_requests_.erase(name);
        const ScaleOutRequest* known = registry_.scale_out_request(name);
        if (!known) {
            return;
        }
        const ScaleOutRequest scale_out = *known;
        ClusterState& cluster = context_.cluster;
        if (r.status == CloudCallStatus::ok) {
            spdlog::info("hire {}: {} of {} machines", name, r.names.size(), scale_out.count);
            if (!r.names.empty()) {
                refused_.erase({scale_out.machine_type, scale_out.zone, scale_out.spot});
            }
            if (r.names.size() < scale_out.count) {
                ran_out(at, scale_out.machine_type, scale_out.zone, scale_out.spot);
            }
            for (const std::string& machine : r.names) {
                if (released_.count(machine)) {
                    continue;
                }
                Id id = cluster.add_machine(machine, scale_out.machine_type, scale_out.zone,
                                            scale_out.spot, at);
                Machine& m = cluster.machines[id];
                if (m.registered) {
                    continue;
                }
                m.registered = true;
                m.requested_by_this_leader = true;
                m.permanent = scale_out.permanent;
                m.machine_type = scale_out.machine_type;
                m.zone = scale_out.zone;
                m.spot = scale_out.spot;
                unregistered_since_.erase(machine);
                registry_.add_machine({machine, scale_out.machine_type, scale_out.zone,
                                       scale_out.spot, scale_out.permanent, false});
            }
            if (!r.names.empty()) {
                registry_.set_first_scale_out_done();
            }
            registry_.remove_scale_out_request(name);
            context_.place_now = true;
            confirm_registration();
            registry_.write(at);
        } else if (r.status == CloudCallStatus::no_capacity) {
            // Surely not executed.
            auto again = refused_.find({scale_out.machine_type, scale_out.zone, scale_out.spot});
            spdlog::log(again != refused_.end() ? spdlog::level::debug : spdlog::level::info,
                        "hire {}: no capacity", name);
            ran_out(at, scale_out.machine_type, scale_out.zone, scale_out.spot);
            registry_.remove_scale_out_request(name);
            registry_.write(at);
        } else if (r.status == CloudCallStatus::malformed) {
            spdlog::error("hire {} was refused as malformed", name);
            refused_[{scale_out.machine_type, scale_out.zone, scale_out.spot}] = {at + 60000, 1};
            registry_.remove_scale_out_request(name);
            registry_.write(at);
        } else {
            // No answer, an outage or too many requests: the same name again until it is known.
            retry_at_by_request_[name] =
                at + (r.status == CloudCallStatus::rate_limited ? 1000 : 1500);
        }
    });
}

void CloudManager::release_machine(Ms now, Id machine, const char* why) {
    Machine& m = context_.cluster.machines[machine];
    if (m.releasing || m.terminated) {
        return;
    }
    m.releasing = true;
    spdlog::info("give back {} ({}{}): {}", m.name,
                 m.machine_type == kNone
                     ? "?"
                     : context_.controller.names.machine_types.name(m.machine_type),
                 m.spot ? ", spot" : "", why);
    std::string name = m.name;
    registry_.mark_releasing(name);
    if (!m.registered) {
        to_release_.insert(name);
        return;
    }
    registry_.after_write([this, name](Ms) { to_release_.insert(name); });
    registry_.write(now);
}

void CloudManager::release_due_machines(Ms now) {
    if (release_call_open_ || to_release_.empty() || now < release_retry_at_) {
        return;
    }
    release_call_open_ = true;
    CloudRequest c;
    c.operation = CloudOperation::scale_in;
    for (const std::string& name : to_release_) {
        if (c.names.size() < 100) {
            c.names.push_back(name);
        }
    }
    context_.controller.cloud.call(
        CloudRequest(c), [this, alive = std::weak_ptr<bool>(context_.alive), names = c.names](
                             Ms at, const CloudResponse& r) {
            if (alive.expired()) {
                return;
            }
            release_call_open_ = false;
            if (r.status != CloudCallStatus::ok) {
                release_retry_at_ = at + 1200;
                return;
            }
            for (const std::string& name : names) {
                to_release_.erase(name);
                released_[name] = at;
                Id id = context_.cluster.find_machine(name);
                if (id != kNone) {
                    removed(at, id, "given back");
                }
            }
        });
}

void CloudManager::removed(Ms now, Id machine, const char* why) {
    ClusterState& cluster = context_.cluster;
    std::string name = cluster.machines[machine].name;
    bool held = cluster.machines[machine].registered;
    // Its place is free again: the kind is asked for at once.
    std::erase_if(refused_,
                  [machine_type = cluster.machines[machine].machine_type](const auto& entry) {
                      return std::get<0>(entry.first) == machine_type;
                  });
    context_.scale_out_now = true;
    lifecycle_.machine_emptied(machine, now, why);
    cluster.forget_machine(machine);
    unregistered_since_.erase(name);
    to_release_.erase(name);
    if (!held) {
        return;
    }
    registry_.remove_machine(name);
    registry_.write(now);
}

void CloudManager::list(Ms now, const std::string& after) {
    if (after.empty()) {
        listing_ = true;
        list_began_ = now;
        listed_.clear();
    }
    CloudRequest c;
    c.operation = CloudOperation::list;
    c.after = after;
    context_.controller.cloud.call(
        std::move(c),
        [this, alive = std::weak_ptr<bool>(context_.alive)](Ms at, const CloudResponse& r) {
            if (alive.expired()) {
                return;
            }
            if (r.status != CloudCallStatus::ok) {
                listing_ = false;
                list_at_ = at + 1000;
                return;
            }
            listed_.insert(listed_.end(), r.machines.begin(), r.machines.end());
            if (r.more && !r.machines.empty()) {
                list(at, r.machines.back().name);
                return;
            }
            listing_ = false;
            list_at_ = at + kListEvery;
            take_list(at);
        });
}

void CloudManager::adopt(Ms now) {
    // The very first list: what is there at the start is ours, and permanent.
    registry_.create();
    ClusterState& cluster = context_.cluster;
    for (const CloudMachine& c : listed_) {
        if (c.status == CloudMachineState::failed) {
            continue;
        }
        Id id = cluster.add_machine(c.name, cluster.names.machine_types.intern(c.machine_type),
                                    cluster.names.zones.intern(c.zone), c.spot, now);
        Machine& m = cluster.machines[id];
        m.registered = true;
        m.permanent = true;
        registry_.add_machine({c.name, m.machine_type, m.zone, m.spot, true, false});
    }
    if (registry_.size() > 0) {
        registry_.set_first_scale_out_done();
    }
    loaded_ = true;
    spdlog::info("{} machines at the start, permanent", registry_.size());
    confirm_registration();
    registry_.write(now);
}

void CloudManager::take_list(Ms now) {
    ClusterState& cluster = context_.cluster;
    if (!loaded_ && !context_.controller.replica.registry_parts.empty()) {
        return;  // unreadable: touch nothing
    }
    if (!loaded_) {
        adopt(now);
    }
    Ms lag = to_ms(context_.controller.platform_settings.list_lag_s);
    std::set<std::string> names;
    for (const CloudMachine& c : listed_) {
        names.insert(c.name);
        Id id = cluster.find_machine(c.name);
        if (id == kNone) {
            if (released_.count(c.name)) {
                continue;
            }
            id = cluster.add_machine(c.name, cluster.names.machine_types.intern(c.machine_type),
                                     cluster.names.zones.intern(c.zone), c.spot, now);
        }
        Machine& m = cluster.machines[id];
        if (m.address.empty()) {
            m.address = c.address;
        }
        if (m.machine_type == kNone) {
            m.machine_type = cluster.names.machine_types.intern(c.machine_type);
        }
        m.listing.state = c.status;
        if (m.listing.listed_since < 0) {
            m.listing.listed_since = now;
            // A list tells a machine's age: a new leader learns when it was rented.
            m.requested_at = std::min(m.requested_at, now - to_ms(c.age_s));
        }
        m.listing.last_listed = now;
    }
    for (Id id = 0; id < cluster.machines.size(); ++id) {
        Machine& m = cluster.machines[id];
        if (m.terminated || names.count(m.name)) {
            continue;
        }
        // A list may be older than the one before, by up to twice the lag: only what was listed
        // longer ago than that is missing because it is gone.
        if (m.listing.listed_since >= 0 && list_began_ > m.listing.listed_since + 2 * with_drift(lag) + 1500) {
            spdlog::info("machine {} left the cloud's list: gone with {} tasks", m.name,
                         m.tasks.size());
            removed(now, id, "not listed any more");
        } else if (m.listing.listed_since < 0 && m.registered && !m.worker.reported &&
                   now > m.known_since + 4 * lag + 10000) {
            release_machine(now, id, "never listed");
        }
    }
    for (auto it = released_.begin(); it != released_.end();) {
        it = now > it->second + 6 * lag + 60000 ? released_.erase(it) : std::next(it);
    }
}

void CloudManager::watch_machines(Ms now) {
    ClusterState& cluster = context_.cluster;
    const OperatorSettings& operator_settings = context_.controller.operator_settings;
    // Machines that don't hear us are sick; when most don't, it is we who are cut off.
    std::size_t deaf = 0, heard = 0;
    for (const Machine& m : cluster.machines) {
        if (m.terminated || !m.worker.reported || m.worker.lease_expired) {
            continue;
        }
        ++heard;
        deaf += m.acknowledgement.missed_since >= 0 && m.acknowledgement.missed_answers > 1;
    }
    bool ours = deaf >= 3 && 2 * deaf > heard;
    if (ours && now > context_.elected_at + 10000) {
        context_.depose(now, "answers reach too few machines");
    }
    for (Id id = 0; id < cluster.machines.size(); ++id) {
        Machine& m = cluster.machines[id];
        if (m.terminated || m.releasing) {
            continue;
        }
        if (!m.registered) {
            // Unexpected: a hire executed late, or one whose answer is still to come.
            auto since = unregistered_since_.try_emplace(m.name, now).first->second;
            if (loaded_ && retry_at_by_request_.empty() && now > since + 7000) {
                release_machine(now, id, "not in the registry");
            }
            continue;
        }
        const MachineType* machine_type = cluster.machine_type(m.machine_type);
        double boot = machine_type ? machine_type->boot_s : 60;
        if (m.listing.state == CloudMachineState::failed) {
            release_machine(now, id, "failed");
        } else if (m.health.quarantined && m.tasks.empty()) {
            release_machine(now, id, "fails what it is given");
        } else if (!m.worker.reported && m.listing.state != CloudMachineState::running &&
                   now > std::max(
                             m.requested_at + to_ms(boot * operator_settings.boot_timeout_factor),
                             context_.elected_at + 5000)) {
            release_machine(now, id, "never came up");
        } else if (m.worker.lease_expired &&
                   now > m.worker.last_heartbeat + to_ms(context_.controller.platform_settings.lease_s +
                                                  operator_settings.silent_release_s)) {
            release_machine(now, id, "silent");
        } else if (!m.worker.reported && m.listing.state == CloudMachineState::running &&
                   now > std::max(
                             {m.listing.listed_since + to_ms(operator_settings.unreported_release_s),
                              context_.elected_at + to_ms(operator_settings.unreported_release_s),
                              m.requested_at +
                                  to_ms(boot * operator_settings.boot_timeout_factor)})) {
            release_machine(now, id, "does not report");
        } else if (!ours && m.acknowledgement.missed_answers > 1 && m.acknowledgement.missed_since >= 0 &&
                   now >
                       m.acknowledgement.missed_since + to_ms(operator_settings.unacknowledged_release_s)) {
            release_machine(now, id, "reports, but does not hear");
        } else if (m.worker.reported && !m.worker.fencing_token_seen &&
                   now > std::max(m.worker.last_heartbeat, context_.elected_at) +
                             to_ms(operator_settings.unreported_release_s +
                                   context_.controller.platform_settings.lease_s)) {
            // Heard under an older token only, perhaps by a late copy, or once only: a new machine
            // that ended after its first report and before the cloud listed it kept its tasks for
            // ever. What became of it can't be proven but by the cloud.
            release_machine(now, id, "silent before it showed our token");
        }
    }
}

void CloudManager::read_machine_types(Ms now) {
    reading_machine_types_ = true;
    CloudRequest c;
    c.operation = CloudOperation::list_machine_types;
    (void)now;
    context_.controller.cloud.call(
        std::move(c),
        [this, alive = std::weak_ptr<bool>(context_.alive)](Ms at, const CloudResponse& r) {
            if (alive.expired()) {
                return;
            }
            reading_machine_types_ = false;
            if (r.status != CloudCallStatus::ok || r.machine_types.empty()) {
                read_machine_types_at_ = at + 1500;
                return;
            }
            read_machine_types_at_ = at + kMachineTypesInterval;
            bool first = context_.controller.machine_types.empty();
            context_.controller.machine_types = r.machine_types;
            context_.cluster.set_machine_types(r.machine_types);
            if (first) {
                context_.place_now = true;
            }
            // Kept durably (at nominal prices, which move too often to be written): a controller
            // that starts while the cloud is out can still judge submissions.
            if (context_.controller.replica.machine_types) {
                return;
            }
            Transaction transaction;
            transaction.comparisons = {{keys::kLeader, context_.fencing_token}};
            transaction.writes = {{keys::kMachineTypes,
                                   encode_machine_types(r.machine_types, context_.controller.names),
                                   0}};
            context_.controller.store.transaction(RequestPriority::progress, std::move(transaction),
                                                  [](Ms, const StoreResponse&) {});
        });
}

void CloudManager::tick(Ms now) {
    if (!context_.holds_lease) {
        return;
    }
    registry_.write(now);
    if (!reading_machine_types_ && now >= read_machine_types_at_) {
        read_machine_types(now);
    }
    if (!listing_ && now >= list_at_) {
        list(now, "");
    }
    std::vector<std::string> due;
    for (const auto& [name, at] : retry_at_by_request_) {
        if (now >= at && !open_requests_.count(name)) {
            due.push_back(name);
        }
    }
    for (const std::string& name : due) {
        ask(now, name);
    }
    release_due_machines(now);
    if (now >= watch_at_) {
        watch_at_ = now + 500;
        watch_machines(now);
    }
}

}  // namespace walkford
