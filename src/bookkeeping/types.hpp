// Basic types of the domain: times, indices, resources, specifications of jobs, machine types and
// teams. Nothing in here knows a socket, a clock or a name of the wire.
#pragma once

#include <array>
#include <cstdint>
#include <limits>
#include <string>
#include <unordered_map>
#include <vector>

namespace walkford {

// Milliseconds of a steady clock, or a span of them; never the time of day.
using Ms = std::int64_t;
// A time that never comes.
inline constexpr Ms kNever = std::numeric_limits<Ms>::max();
// A dense index: of a name (Interner), of a job or of a machine (ClusterState).
using Id = std::uint32_t;
// No index: unknown, absent or any, as the place says.
inline constexpr Id kNone = 0xffffffffU;

// Seconds, as settings and requests have them, to milliseconds.
inline Ms to_ms(double seconds) { return static_cast<Ms>(seconds * 1000.0); }
// The span that surely covers `span` by another machine's clock. Steady clocks of two machines
// drift apart by up to 0.05%; twice that is allowed for.
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

// An amount of each resource: of a machine, of a task or of a team's quota.
struct Resources {
    double cpus = 0;  // cores
    double gpus = 0;
    double ram = 0;  // GB

    Resources& operator+=(const Resources& other) {
        cpus += other.cpus;
        gpus += other.gpus;
        ram += other.ram;
        return *this;
    }
    Resources& operator-=(const Resources& other) {
        cpus -= other.cpus;
        gpus -= other.gpus;
        ram -= other.ram;
        return *this;
    }
    friend Resources operator+(Resources left, const Resources& right) { return left += right; }
    friend Resources operator-(Resources left, const Resources& right) { return left -= right; }
    // Each resource times the factor.
    friend Resources operator*(Resources amount, double factor) {
        return {amount.cpus * factor, amount.gpus * factor, amount.ram * factor};
    }
    // Whether this fits into the free capacity `room`. Sums of decimals drift in the last bits; a
    // millionth is not a resource.
    bool fits_in(const Resources& room) const {
        constexpr double kSlack = 1e-6;
        return cpus <= room.cpus + kSlack && gpus <= room.gpus + kSlack && ram <= room.ram + kSlack;
    }
    // The amount of one resource, in its own unit.
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

// Maps names to dense indices, so that the rest of the code compares and stores numbers. An index
// is never reused.
class Interner {
  public:
    // The index of a name, which is added where it is new.
    Id intern(const std::string& name) {
        auto [entry, inserted] = ids_.try_emplace(name, static_cast<Id>(names_.size()));
        if (inserted) {
            names_.push_back(name);
        }
        return entry->second;
    }
    // The index of a name; kNone where it is unknown.
    Id find(const std::string& name) const {
        auto found = ids_.find(name);
        return found == ids_.end() ? kNone : found->second;
    }
    // The name behind an index that intern() gave.
    const std::string& name(Id id) const { return names_.at(id); }
    // How many names there are.
    std::size_t size() const { return names_.size(); }

  private:
    std::unordered_map<std::string, Id> ids_;
    std::vector<std::string> names_;
};

// The interned names of one controller.
struct Names {
    Interner machine_types;
    Interner zones;
    Interner teams;
    Interner images;
    Interner job_classes;
};

// The priority of a job; a higher one is placed first and may preempt lower ones.
enum class Priority : std::uint8_t { best_effort = 0, normal = 1, high = 2, production = 3 };

// How the tasks of a job belong together.
enum class JobShape : std::uint8_t {
    array,    // independent tasks, each of which runs to completion
    gang,     // all tasks run at the same time, or none does
    service,  // independent replicas that run until the job is cancelled
};

// A job as it was submitted, with names as indices.
struct JobSpec {
    std::string id;
    Id team = kNone;
    Id job_class = kNone;
    JobShape shape = JobShape::array;
    Priority priority = Priority::normal;
    std::uint32_t tasks = 1;
    Resources each;  // of one task
    bool any_machine_type = true;
    std::vector<Id> machine_types;  // allowed ones, unless any_machine_type
    Id zone = kNone;                // the only allowed one, or kNone
    bool one_zone = false;          // all tasks in the same zone
    bool spread = false;            // at most half of the tasks in one zone
    bool spot = false;              // spot instances are allowed
    Id image = kNone;
    double image_gb = 0;
    double estimate_s = 0;  // the user's guess of a task's duration
    double checkpoint_interval_s = 0;
    double checkpoint_duration_s = 0;
    double deadline_s = -1;               // after the submission; -1: none
    std::uint32_t tasks_per_record = 64;  // in a placement record

    // Whether tasks may run on machines of that type.
    bool allows_machine_type(Id machine_type) const {
        if (any_machine_type) {
            return true;
        }
        for (Id allowed : machine_types) {
            if (allowed == machine_type) {
                return true;
            }
        }
        return false;
    }
    // All tasks run at the same time, or none does.
    bool gang() const { return shape == JobShape::gang; }
    // The tasks are replicas that run until the job is cancelled.
    bool service() const { return shape == JobShape::service; }
    // Tasks that depend on one another: a gang of one behaves like an array.
    bool starts_together() const { return gang() && tasks > 1; }
    // Tasks that the team's quota must admit at once.
    std::uint32_t needed_at_once() const { return shape == JobShape::array ? 1 : tasks; }
    // The largest number of tasks that one zone may have.
    std::uint32_t zone_most() const { return spread ? (tasks + 1) / 2 : tasks; }
};

// A type of machine that the cloud offers. Prices are those of the cloud's list.
struct MachineType {
    Id id = kNone;
    Resources size;
    double cache_gb = 0;  // for images
    double fetch_gb_per_s = 0;
    double price = 0;
    double spot_price = 0;  // 0: no spot instances
    double boot_s = 0;      // from the request until it is ready
    std::vector<Id> zones;  // in which it is offered
};

// A team, with its share of the cluster. Limits of 0 are none; memory is not limited.
struct Team {
    std::string name;
    Resources guaranteed_share;
    Resources quota;
};

// Levels of what a version can read (docs/design.md, "Two versions side by side").
inline constexpr std::uint32_t kFeatureNone = 0;          // version 0.3.0 and before
inline constexpr std::uint32_t kFeatureServices = 1;      // services, the registry in parts
inline constexpr std::uint32_t kFeatureZoneFailover = 2;  // records of failing zones
inline constexpr std::uint32_t kFeatureNewest = kFeatureZoneFailover;

// What a user is answered about a job.
enum class JobStatus : std::uint8_t { pending, running, done, cancelled };

}  // namespace walkford
