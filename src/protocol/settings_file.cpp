#include "protocol/settings_file.hpp"

#include <cmath>
#include <fstream>
#include <sstream>

#include "bookkeeping/records.hpp"

namespace walkford::protocol {

namespace {

class Reader {
  public:
    Reader(const Json& value, std::string path) : value_(value), path_(std::move(path)) {
        if (!value_.is_object()) {
            throw SettingsError(path_ + ": must be an object");
        }
    }
    Reader child(const char* name) const { return {at(name), where(name)}; }
    std::string text(const char* name) const {
        const Json& v = at(name);
        if (!v.is_string() || v.get_ref<const std::string&>().empty()) {
            throw SettingsError(where(name) + ": must be a text that isn't empty");
        }
        return v.get<std::string>();
    }
    std::string address(const char* name) const {
        std::string a = text(name);
        auto colon = a.rfind(':');
        bool digits = colon != std::string::npos && colon > 0 && colon + 1 < a.size() &&
                      a.size() - colon <= 6 &&
                      a.find_first_not_of("0123456789", colon + 1) == std::string::npos;
        if (!digits || std::stoi(a.substr(colon + 1)) > 65535) {
            throw SettingsError(where(name) + ": must be address:port");
        }
        return a;
    }
    double number(const char* name, double least, double most) const {
        const Json& v = at(name);
        if (!v.is_number()) {
            throw SettingsError(where(name) + ": must be a number");
        }
        double d = v.get<double>();
        if (!std::isfinite(d) || d < least || d > most) {
            std::ostringstream s;
            s << where(name) << ": must be from " << least << " to " << most;
            throw SettingsError(s.str());
        }
        return d;
    }
    double number_or(const char* name, double fallback, double least, double most) const {
        return value_.contains(name) && !value_[name].is_null() ? number(name, least, most)
                                                                : fallback;
    }
    const Json& list(const char* name) const {
        const Json& v = at(name);
        if (!v.is_array()) {
            throw SettingsError(where(name) + ": must be a list");
        }
        return v;
    }
    std::string where(const std::string& name) const {
        return path_.empty() ? name : path_ + "." + name;
    }
    bool has(const char* name) const { return value_.contains(name) && !value_[name].is_null(); }

  private:
    const Json& at(const char* name) const {
        auto it = value_.find(name);
        if (it == value_.end() || it->is_null()) {
            throw SettingsError(where(name) + ": missing");
        }
        return *it;
    }
    const Json& value_;
    std::string path_;
};

// Fields that are absent are taken from `otherwise`, or missed where there is nothing to take.
StoreLimits read_state_limits(const Reader& state, const StoreLimits* otherwise) {
    auto limit = [&](const char* name, double StoreLimits::*field, double least, double most) {
        return otherwise ? state.number_or(name, otherwise->*field, least, most)
                         : state.number(name, least, most);
    };
    StoreLimits limits;
    limits.requests_per_s = limit("rps", &StoreLimits::requests_per_s, 1, 1e9);
    limits.writes_per_s = limit("write_rps", &StoreLimits::writes_per_s, 0.5, 1e9);
    limits.value_kb = limit("value_kb", &StoreLimits::value_kb, 0.5, 1e6);
    constexpr double kLeastOps = 3;  // the largest of the writes that can't be split
    constexpr double kMostOps = 1e6;
    double ops = otherwise ? state.number_or("txn_ops", otherwise->transaction_operations,
                                             kLeastOps, kMostOps)
                           : state.number("txn_ops", kLeastOps, kMostOps);
    limits.transaction_operations = static_cast<std::uint32_t>(ops);
    return limits;
}

}  // namespace

PlatformSettings read_platform_settings(const std::string& json_text,
                                        std::vector<std::string>& notes) {
    Json doc = Json::parse(json_text, nullptr, false);
    if (doc.is_discarded()) {
        throw SettingsError("settings: not JSON");
    }
    Reader top(doc, "");
    PlatformSettings p;
    p.controller_name = top.text("node_name");
    if (top.has("location")) {
        p.zone = top.text("location");
    }
    p.serve_on = top.address("serve_on");
    p.cluster_listen = top.address("cluster_listen");
    const Json& seeds = top.list("seeds");
    for (std::size_t i = 0; i < seeds.size(); ++i) {
        Reader seed(seeds[i], "seeds[" + std::to_string(i) + "]");
        p.peers.push_back({seed.text("node_name"), seed.address("endpoint"),
                           seed.has("location") ? seed.text("location") : ""});
    }
    Reader external = top.child("external");
    p.cloud = external.address("cloud");
    p.state = external.address("state");
    Reader params = top.child("params");
    const Json& zones = params.list("zones");
    if (zones.empty()) {
        throw SettingsError("params.zones: must name a zone");
    }
    for (std::size_t i = 0; i < zones.size(); ++i) {
        if (!zones[i].is_string()) {
            throw SettingsError("params.zones[" + std::to_string(i) + "]: must be a text");
        }
        p.zones.push_back(zones[i].get<std::string>());
    }
    const Json& teams = params.list("teams");
    for (std::size_t i = 0; i < teams.size(); ++i) {
        Reader team(teams[i], "params.teams[" + std::to_string(i) + "]");
        Team t;
        t.name = team.text("name");
        t.guaranteed_share = {team.number_or("cpus", 0, 0, 1e9), team.number_or("gpus", 0, 0, 1e9),
                              0};
        t.quota = {team.number_or("cpus_max", 0, 0, 1e9), team.number_or("gpus_max", 0, 0, 1e9), 0};
        for (const Team& other : p.teams) {
            if (other.name == t.name) {
                throw SettingsError(team.where("name") + ": named twice");
            }
        }
        p.teams.push_back(std::move(t));
    }
    if (params.has("objectives")) {
        const Json& objectives = params.list("objectives");
        for (std::size_t i = 0; i < objectives.size(); ++i) {
            Reader o(objectives[i], "params.objectives[" + std::to_string(i) + "]");
            std::string machine_type = o.text("kind");
            if (o.has("class")) {
                p.classes.push_back(o.text("class"));
            }
            if (machine_type != "wait" && machine_type != "finished" &&
                machine_type != "deadline" && machine_type != "guarantee") {
                notes.push_back(o.where("kind") + ": '" + machine_type +
                                "' is not known and ignored");
            } else if (machine_type == "wait") {
                p.start_latency_objectives.push_back(
                    {o.text("class"), o.number("within_s", 0, 1e9)});
            }
        }
    }
    Reader workers = params.child("workers");
    p.report_s = workers.number("report_s", 0.05, 3600);
    p.lease_s = workers.number("lease_s", 0.1, 86400);
    p.gang_wait_s = workers.number("gang_wait_s", 0, 86400);
    p.gang_peer_s = workers.number("gang_peer_s", 0, 86400);
    p.cancel_s = workers.number("cancel_s", 0.1, 86400);
    if (p.lease_s <= p.report_s) {
        throw SettingsError("params.workers.lease_s: must be longer than report_s");
    }
    Reader state = params.child("state");
    p.store_limits = read_state_limits(state, nullptr);
    if (state.has("next")) {
        p.next_store_limits = read_state_limits(state.child("next"), &p.store_limits);
    }
    Reader cloud = params.child("cloud");
    p.cloud_rps = cloud.number("rps", 0.1, 1e9);
    p.list_lag_s = cloud.number("list_lag_s", 0, 86400);
    if (params.has("machine_limits")) {
        Reader limits = params.child("machine_limits");
        p.fd_limit = static_cast<std::uint32_t>(limits.number_or("fd_limit", 512, 32, 1e7));
        // Served all the same; but whoever wonders later should find a line.
        auto few = [&](const char* name, double has, double least) {
            if (has >= least) {
                return;
            }
            std::ostringstream note;
            note << limits.where(name) << ": " << has << " is little, " << least
                 << " or more is needed to serve well";
            notes.push_back(note.str());
        };
        few("fd_limit", p.fd_limit, 160.0 + 8.0 * static_cast<double>(p.peers.size()));
        few("ram_mb", limits.number_or("ram_mb", 1e6, 0, 1e9), 16);
    }
    return p;
}

PlatformSettings load_platform_settings(const std::string& path, std::vector<std::string>& notes) {
    std::ifstream in(path, std::ios::binary);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in || in.bad()) {
        throw SettingsError("settings: can't read " + path);
    }
    return read_platform_settings(text.str(), notes);
}

}  // namespace walkford::protocol
