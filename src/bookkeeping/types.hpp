// The domain's own words. Nothing in here knows a socket, a clock or a wire name.
#pragma once

#include <array>
#include <cstdint>
#include <limits>
#include <string>
#include <unordered_map>
#include <vector>

namespace walkford {

using Ms = std::int64_t;  // steady milliseconds; never the time of day
inline constexpr Ms kNever = std::numeric_limits<Ms>::max();
using Id = std::uint32_t;
inline constexpr Id kNone = 0xffffffffU;

inline Ms to_ms(double seconds) { return static_cast<Ms>(seconds * 1000.0); }
// Steady clocks of two machines drift apart by up to 0.05%; twice that is allowed for.
inline Ms with_drift(Ms span) { return span + span / 1000 + 1; }

// A kind of resource that machines offer and tasks take.
enum class Resource : std::uint8_t { cpu, memory, gpu };
// All of them, in the order in which they are looked at.
inline constexpr std::array kResources = {Resource::cpu, Resource::memory, Resource::gpu};

// The name in log lines.
inline const char* resource_name(Resource resource) {
    switch (resource) {
        case Resource::cpu:
            return "cores";
        case Resource::memory:
            return "memory";
        case Resource::gpu:
            return "gpus";
    }
    return "";
}

struct Resources {
    double cpus = 0;
    double gpus = 0;
    double ram = 0;

    Resources& operator+=(const Resources& o) {
        cpus += o.cpus;
        gpus += o.gpus;
        ram += o.ram;
        return *this;
    }
    Resources& operator-=(const Resources& o) {
        cpus -= o.cpus;
        gpus -= o.gpus;
        ram -= o.ram;
        return *this;
    }
    friend Resources operator+(Resources a, const Resources& b) { return a += b; }
    friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
    friend Resources operator*(Resources a, double f) {
        return {a.cpus * f, a.gpus * f, a.ram * f};
    }
    // Sums of decimals wander in the last bits; a millionth is not a resource.
    bool fits_in(const Resources& room) const {
        constexpr double kSlack = 1e-6;
        return cpus <= room.cpus + kSlack && gpus <= room.gpus + kSlack && ram <= room.ram + kSlack;
    }
    double get(Resource resource) const {
        switch (resource) {
            case Resource::cpu:
                return cpus;
            case Resource::memory:
                return ram;
            case Resource::gpu:
                return gpus;
        }
        return 0;
    }
};

// Names to dense indices; an index is never reused.
class Interner {
  public:
    Id intern(const std::string& name) {
        auto [it, fresh] = ids_.try_emplace(name, static_cast<Id>(names_.size()));
        if (fresh) {
            names_.push_back(name);
        }
        return it->second;
    }
    Id find(const std::string& name) const {
        auto it = ids_.find(name);
        return it == ids_.end() ? kNone : it->second;
    }
    const std::string& name(Id id) const { return names_.at(id); }
    std::size_t size() const { return names_.size(); }

  private:
    std::unordered_map<std::string, Id> ids_;
    std::vector<std::string> names_;
};

struct Names {
    Interner machine_types;
    Interner zones;
    Interner teams;
    Interner images;
    Interner job_classes;
};

enum class Priority : std::uint8_t { best_effort = 0, normal = 1, high = 2, production = 3 };

// How the tasks of a job belong together.
enum class JobShape : std::uint8_t {
    array,    // independent tasks, each of which runs to completion
    gang,     // all tasks run at the same time, or none does
    service,  // independent replicas that run until the job is cancelled
};

struct JobSpec {
    std::string id;
    Id team = kNone;
    Id job_class = kNone;  // the class of jobs it belongs to
    JobShape shape = JobShape::array;
    Priority priority = Priority::normal;
    std::uint32_t tasks = 1;
    Resources each;
    bool any_machine_type = true;
    std::vector<Id> machine_types;  // allowed ones, unless any_machine_type
    Id zone = kNone;                // the only allowed one, or kNone
    bool one_zone = false;
    bool spread = false;
    bool spot = false;
    Id image = kNone;
    double image_gb = 0;
    double estimate_s = 0;
    double checkpoint_interval_s = 0;
    double checkpoint_duration_s = 0;
    double deadline_s = -1;
    std::uint32_t tasks_per_record = 64;  // tasks to a placement record

    bool allows_machine_type(Id machine_type) const {
        if (any_machine_type) {
            return true;
        }
        for (Id k : machine_types) {
            if (k == machine_type) {
                return true;
            }
        }
        return false;
    }
    bool gang() const { return shape == JobShape::gang; }
    bool service() const { return shape == JobShape::service; }
    // Tasks that depend on one another: a gang of one behaves like a batch.
    bool starts_together() const { return gang() && tasks > 1; }
    // Tasks of which the team's limit must admit all at once.
    std::uint32_t needed_at_once() const { return shape == JobShape::array ? 1 : tasks; }
    std::uint32_t zone_most() const { return spread ? (tasks + 1) / 2 : tasks; }
};

struct MachineType {
    Id id = kNone;
    Resources size;
    double cache_gb = 0;
    double fetch_gb_per_s = 0;
    double price = 0;
    double spot_price = 0;
    double boot_s = 0;
    std::vector<Id> zones;
};

struct Team {
    std::string name;
    Resources guaranteed_share;  // 0: none
    Resources quota;             // 0: none
};

// Levels of what a version can read (docs/design.md, "Two versions side by side").
inline constexpr std::uint32_t kFeatureNone = 0;          // version 0.3.0 and before
inline constexpr std::uint32_t kFeatureServices = 1;      // services, the registry in parts
inline constexpr std::uint32_t kFeatureZoneFailover = 2;  // records of failing zones
inline constexpr std::uint32_t kFeatureNewest = kFeatureZoneFailover;

enum class JobStatus : std::uint8_t { pending, running, done, cancelled };

}  // namespace walkford
