#include "bookkeeping/records.hpp"

#include <algorithm>
#include <charconv>
#include <map>

namespace walkford {

namespace keys {
namespace {
std::optional<std::uint32_t> parse_index(std::string_view digits) {
    std::uint32_t index = 0;
    const char* end = digits.data() + digits.size();
    auto [rest, error] = std::from_chars(digits.data(), end, index);
    if (error != std::errc() || rest != end) {
        return std::nullopt;
    }
    return index;
}
}  // namespace

std::string placement_record(const std::string& job, std::uint32_t index) {
    return kTasks + job + "/" + std::to_string(index);
}
std::string registry_part(std::uint32_t index) {
    return index == 0 ? kRegistry : kRegistryParts + std::to_string(index);
}
std::optional<std::uint32_t> parse_registry_part(const std::string& key) {
    if (key == kRegistry) {
        return 0;
    }
    if (key.rfind(kRegistryParts, 0) != 0) {
        return std::nullopt;
    }
    return parse_index(std::string_view(key).substr(kRegistryParts.size()));
}
std::optional<std::pair<std::string, std::uint32_t>> parse_placement_record(
    const std::string& key) {
    if (key.rfind(kTasks, 0) != 0) {
        return std::nullopt;
    }
    auto slash = key.rfind('/');
    if (slash <= kTasks.size()) {
        return std::nullopt;
    }
    auto index = parse_index(std::string_view(key).substr(slash + 1));
    if (!index) {
        return std::nullopt;
    }
    return std::pair{key.substr(kTasks.size(), slash - kTasks.size()), *index};
}
}  // namespace keys

bool job_id_ok(const std::string& id) {
    if (id.size() < 3 || id.size() > 62 || id.rfind("j-", 0) != 0) {
        return false;
    }
    return std::all_of(id.begin() + 2, id.end(), [](unsigned char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
               c == '-' || c == '_';
    });
}

namespace {
// Bits of the field `f`.
constexpr int kFlagGang = 1;
constexpr int kFlagOneZone = 2;
constexpr int kFlagSpread = 4;
constexpr int kFlagSpot = 8;
constexpr int kFlagService = 16;
// Version 0.3.0 reads the number of tasks from `n` and takes any job that is no gang for a batch,
// which ends. A service names its number `N`: that version can't read the record, so that it never
// runs a service as a batch.
constexpr const char* kTasksField = "n";
constexpr const char* kReplicasField = "N";

const char* count_field(const JobSpec& spec) {
    return spec.service() ? kReplicasField : kTasksField;
}

int encode_flags(const JobSpec& spec) {
    int flags = 0;
    flags |= spec.gang() ? kFlagGang : 0;
    flags |= spec.one_zone ? kFlagOneZone : 0;
    flags |= spec.spread ? kFlagSpread : 0;
    flags |= spec.spot ? kFlagSpot : 0;
    flags |= spec.service() ? kFlagService : 0;
    return flags;
}

JobShape decode_shape(int flags) {
    if ((flags & kFlagService) != 0) {
        return JobShape::service;
    }
    return (flags & kFlagGang) != 0 ? JobShape::gang : JobShape::array;
}
}  // namespace

Json encode_cancelled_job(const JobSpec& spec, const Names& names) {
    JobSpec shortened = spec;
    shortened.job_class = kNone;
    shortened.any_machine_type = true;
    shortened.machine_types.clear();
    shortened.image = kNone;
    return encode_job({std::move(shortened), true}, names);
}

Json encode_job(const JobRecord& job, const Names& names) {
    const JobSpec& s = job.spec;
    Json v = Json::object();
    v["s"] = job.cancelled ? "c" : "a";
    v[count_field(s)] = s.tasks;
    v["c"] = s.tasks_per_record;
    v["o"] = names.teams.name(s.team);
    if (s.job_class != kNone) {
        v["l"] = names.job_classes.name(s.job_class);
    }
    v["p"] = static_cast<int>(s.priority);
    v["f"] = encode_flags(s);
    v["r"] = Json::array({s.each.cpus, s.each.gpus, s.each.ram});
    v["t"] =
        Json::array({s.estimate_s, s.checkpoint_interval_s, s.checkpoint_duration_s, s.deadline_s});
    if (!s.any_machine_type) {
        Json machine_types = Json::array();
        for (Id k : s.machine_types) {
            machine_types.push_back(names.machine_types.name(k));
        }
        v["k"] = std::move(machine_types);
    }
    if (s.zone != kNone) {
        v["z"] = names.zones.name(s.zone);
    }
    if (s.image != kNone) {
        v["i"] = Json::array({names.images.name(s.image), s.image_gb});
    }
    return v;
}

std::optional<JobRecord> decode_job(const std::string& id, const Json& v, Names& names) {
    try {
        JobRecord job;
        job.cancelled = v.at("s").get<std::string>() == "c";
        JobSpec& s = job.spec;
        s.id = id;
        int flags = v.at("f").get<int>();
        s.shape = decode_shape(flags);
        s.tasks = v.at(count_field(s)).get<std::uint32_t>();
        s.tasks_per_record = std::max<std::uint32_t>(1, v.at("c").get<std::uint32_t>());
        s.team = names.teams.intern(v.at("o").get<std::string>());
        if (v.contains("l")) {
            s.job_class = names.job_classes.intern(v["l"].get<std::string>());
        }
        s.priority = static_cast<Priority>(std::clamp(v.at("p").get<int>(), 0, 3));
        s.one_zone = (flags & kFlagOneZone) != 0;
        s.spread = (flags & kFlagSpread) != 0;
        s.spot = (flags & kFlagSpot) != 0;
        const Json& r = v.at("r");
        s.each = {r.at(0).get<double>(), r.at(1).get<double>(), r.at(2).get<double>()};
        const Json& t = v.at("t");
        s.estimate_s = t.at(0).get<double>();
        s.checkpoint_interval_s = t.at(1).get<double>();
        s.checkpoint_duration_s = t.at(2).get<double>();
        s.deadline_s = t.at(3).get<double>();
        if (v.contains("k")) {
            s.any_machine_type = false;
            for (const Json& k : v["k"]) {
                s.machine_types.push_back(names.machine_types.intern(k.get<std::string>()));
            }
        }
        if (v.contains("z")) {
            s.zone = names.zones.intern(v["z"].get<std::string>());
        }
        if (v.contains("i")) {
            s.image = names.images.intern(v["i"].at(0).get<std::string>());
            s.image_gb = v["i"].at(1).get<double>();
        }
        return job;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

Json encode_ended(const EndedRecord& e) {
    return Json{{"s", e.cancelled ? "c" : "d"}, {"n", e.tasks}};
}
std::optional<EndedRecord> decode_ended(const Json& v) {
    try {
        return EndedRecord{v.at("s").get<std::string>() == "c", v.at("n").get<std::uint32_t>()};
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

Json encode_placement_record(const std::vector<TaskRecord>& tasks) {
    Json done = Json::array();
    Json used = Json::array();
    std::map<std::string, Json> placed;
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        const TaskRecord& t = tasks[i];
        if (t.done) {
            if (!done.empty() && done.back().get<std::size_t>() + 1 == i) {
                done.back() = i;
            } else {
                done.push_back(i);
                done.push_back(i);
            }
        } else if (!t.machine.empty()) {
            Json& list = placed[t.machine];
            list.push_back(i);
            list.push_back(t.attempt);
        } else if (t.attempt > 0) {
            used.push_back(i);
            used.push_back(t.attempt);
        }
    }
    Json v = Json::object();
    if (!done.empty()) {
        v["d"] = std::move(done);
    }
    if (!used.empty()) {
        v["a"] = std::move(used);
    }
    if (!placed.empty()) {
        v["m"] = std::move(placed);
    }
    return v;
}

bool decode_placement_record(const Json& v, std::vector<TaskRecord>& tasks) {
    try {
        for (TaskRecord& t : tasks) {
            t = {};
        }
        if (v.contains("d")) {
            const Json& d = v["d"];
            for (std::size_t i = 0; i + 1 < d.size(); i += 2) {
                for (auto k = d[i].get<std::size_t>(); k <= d[i + 1].get<std::size_t>(); ++k) {
                    tasks.at(k).done = true;
                }
            }
        }
        if (v.contains("a")) {
            const Json& a = v["a"];
            for (std::size_t i = 0; i + 1 < a.size(); i += 2) {
                tasks.at(a[i].get<std::size_t>()).attempt = a[i + 1].get<std::uint32_t>();
            }
        }
        if (v.contains("m")) {
            for (const auto& [machine, list] : v["m"].items()) {
                for (std::size_t i = 0; i + 1 < list.size(); i += 2) {
                    TaskRecord& t = tasks.at(list[i].get<std::size_t>());
                    t.attempt = list[i + 1].get<std::uint32_t>();
                    t.machine = machine;
                }
            }
        }
        return true;
    } catch (const std::exception&) {
        return false;
    }
}

Json encode_machine_types(const std::vector<MachineType>& machine_types, const Names& names) {
    Json v = Json::array();
    for (const MachineType& k : machine_types) {
        Json zones = Json::array();
        for (Id z : k.zones) {
            zones.push_back(names.zones.name(z));
        }
        v.push_back(Json::array({names.machine_types.name(k.id), k.size.cpus, k.size.gpus,
                                 k.size.ram, k.cache_gb, k.fetch_gb_per_s, k.price, k.spot_price,
                                 k.boot_s, std::move(zones)}));
    }
    return v;
}

std::vector<MachineType> decode_machine_types(const Json& v, Names& names) {
    std::vector<MachineType> machine_types;
    try {
        for (const Json& row : v) {
            MachineType k;
            k.id = names.machine_types.intern(row.at(0).get<std::string>());
            k.size = {row.at(1).get<double>(), row.at(2).get<double>(), row.at(3).get<double>()};
            k.cache_gb = row.at(4).get<double>();
            k.fetch_gb_per_s = row.at(5).get<double>();
            k.price = row.at(6).get<double>();
            k.spot_price = row.at(7).get<double>();
            k.boot_s = row.at(8).get<double>();
            for (const Json& z : row.at(9)) {
                k.zones.push_back(names.zones.intern(z.get<std::string>()));
            }
            machine_types.push_back(std::move(k));
        }
    } catch (const Json::exception&) {
        machine_types.clear();
    }
    return machine_types;
}

Json encode_announcement(std::uint32_t level) { return Json{{"l", level}}; }
std::optional<std::uint32_t> decode_announcement(const Json& v) {
    try {
        return v.at("l").get<std::uint32_t>();
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

Json encode_relay(const RelayRecord& relay) {
    return Json{{"t", relay.fencing_token}, {"z", relay.zone}};
}
std::optional<RelayRecord> decode_relay(const Json& v) {
    try {
        return RelayRecord{v.at("t").get<std::uint64_t>(), v.at("z").get<std::string>()};
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

Json encode_leader(const LeaderRecord& l) {
    return Json{{"node", l.controller}, {"incarnation", l.incarnation}};
}
std::optional<LeaderRecord> decode_leader(const Json& v) {
    try {
        return LeaderRecord{v.at("node").get<std::string>(),
                            v.at("incarnation").get<std::string>()};
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

}  // namespace walkford
