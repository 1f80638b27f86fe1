// Basic domain types: times, indices, resources, job specifications, machine types and teams. They
// are independent of sockets, clocks and wire formats.
#pragma once

#include <array>
#include <cstdint>
#include <limits>
#include <string>
#include <unordered_map>
#include <vector>

namespace walkford {

// A time of a steady clock or a duration, in milliseconds; never the time of day.
using Ms = std::int64_t;
// A time that never comes.
inline constexpr Ms kNever = std::numeric_limits<Ms>::max();
// A dense index: of a name (Interner), of a job or of a machine (ClusterState).
using Id = std::uint32_t;
// No index. Whether this means unknown, absent or any is stated where it is used.
inline constexpr Id kNone = 0xffffffffU;

// The longest duration that is kept, about 31,700 years. A time plus several such durations stays
// in the range of Ms.
inline constexpr Ms kMaxDuration = 1'000'000'000'000'000;

// Converts seconds, the unit of settings and requests, to milliseconds. A duration longer than
// kMaxDuration, in either direction, is converted to that one.
inline Ms to_ms(double seconds) {
    constexpr auto kMax = static_cast<double>(kMaxDuration);
    double milliseconds = seconds * 1000.0;
    if (milliseconds >= kMax) {
        return kMaxDuration;
    }
    return milliseconds > -kMax ? static_cast<Ms>(milliseconds) : -kMaxDuration;
}
// Returns a duration that is certain to cover `span` as measured by another machine's clock. Steady
// clocks of two machines drift apart by up to 0.05%; the result allows for twice that.
inline constexpr Ms with_drift(Ms span) { return span + span / 1000 + 1; }

// A kind of resource that machines provide and tasks use.
enum class Resource : std::uint8_t { cpu, memory, gpu };
// All resources, in the order in which they are examined.
inline constexpr std::array kResources = {Resource::cpu, Resource::memory, Resource::gpu};

// The name of the resource in log lines.
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
    // Multiplies the amount of each resource by the factor.
    friend Resources operator*(Resources amount, double factor) {
        return {amount.cpus * factor, amount.gpus * factor, amount.ram * factor};
    }
    // Whether this amount fits into the free capacity `room`. Sums of decimal amounts accumulate
    // rounding errors, so differences up to a millionth of a unit are ignored.
    bool fits_in(const Resources& room) const {
        constexpr double kSlack = 1e-6;
        return cpus <= room.cpus + kSlack && gpus <= room.gpus + kSlack && ram <= room.ram + kSlack;
    }
    // The amount of one resource: a number of cores or GPUs, or GB of memory.
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

// Maps names to dense indices, so that other code can compare and store integers instead of
// strings. An index is never reused.
class Interner {
  public:
    // Returns the index of a name. Adds the name if it is new.
    Id intern(const std::string& name) {
        auto [entry, inserted] = ids_.try_emplace(name, static_cast<Id>(names_.size()));
        if (inserted) {
            names_.push_back(name);
        }
        return entry->second;
    }
    // Returns the index of a name, or kNone if the name is unknown.
    Id find(const std::string& name) const {
        auto found = ids_.find(name);
        return found == ids_.end() ? kNone : found->second;
    }
    // Returns the name for an index that intern() returned.
    const std::string& name(Id id) const { return names_.at(id); }
    // The number of names.
    std::size_t size() const { return names_.size(); }

  private:
    std::unordered_map<std::string, Id> ids_;
    std::vector<std::string> names_;
};

// The interned names of one controller process.
struct Names {
    Interner machine_types;
    Interner zones;
    Interner teams;
    Interner images;
    Interner job_classes;
};

// The priority of a job; a higher one is placed first and may preempt lower ones.
enum class Priority : std::uint8_t { best_effort = 0, normal = 1, high = 2, production = 3 };

// How the tasks of a job depend on one another.
enum class JobShape : std::uint8_t {
    array,    // independent tasks, each of which runs to completion
    gang,     // all tasks run at the same time, or none does
    service,  // independent replicas that run until the job is cancelled
};

// The largest number of tasks that a job may have.
inline constexpr std::uint32_t kMaxJobTasks = 100000;

// A job as it was submitted, with names replaced by indices.
struct JobSpec {
    std::string id;
    Id team = kNone;
    Id job_class = kNone;
    JobShape shape = JobShape::array;
    Priority priority = Priority::normal;
    std::uint32_t tasks = 1;
    Resources task_resources;  // of one task
    bool any_machine_type = true;
    std::vector<Id> machine_types;  // allowed ones, unless any_machine_type
    Id zone = kNone;                // the only allowed one, or kNone
    bool one_zone = false;          // all tasks in the same zone
    bool spread = false;            // at most half of the tasks in one zone
    bool spot = false;              // spot instances are allowed
    Id image = kNone;
    double image_gb = 0;
    double estimate_s = 0;  // the user's estimate of a task's duration
    double checkpoint_interval_s = 0;
    double checkpoint_duration_s = 0;
    double deadline_s = -1;               // after the submission; -1: none
    std::uint32_t tasks_per_record = 64;  // number of tasks in one placement record

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
    // Whether all tasks run at the same time, or none does.
    bool gang() const { return shape == JobShape::gang; }
    // Whether the tasks are replicas that run until the job is cancelled.
    bool service() const { return shape == JobShape::service; }
    // Whether tasks must start together. A gang of one task behaves like an array.
    bool starts_together() const { return gang() && tasks > 1; }
    // The number of tasks that the team's quota must admit at the same time.
    std::uint32_t needed_at_once() const { return shape == JobShape::array ? 1 : tasks; }
    // The largest number of tasks that may run in one zone.
    std::uint32_t max_tasks_per_zone() const { return spread ? (tasks + 1) / 2 : tasks; }
};

// A type of machine that the cloud offers. The prices are the cloud's list prices.
struct MachineType {
    Id id = kNone;
    Resources size;
    double cache_gb = 0;  // size of the image cache
    double fetch_gb_per_s = 0;
    double price = 0;
    double spot_price = 0;  // 0: no spot instances
    double boot_s = 0;      // from the request until it is ready
    std::vector<Id> zones;  // zones in which it is offered
};

// A team with its guaranteed share and quota. A limit of 0 means no limit; memory is not limited.
struct Team {
    std::string name;
    Resources guaranteed_share;
    Resources quota;
};

// Feature levels, which say which records a version can read (docs/design.md, "Two versions side by
// side").
inline constexpr std::uint32_t kFeatureNone = 0;          // version 0.3.0 and before
inline constexpr std::uint32_t kFeatureServices = 1;      // services; a registry in several parts
inline constexpr std::uint32_t kFeatureZoneFailover = 2;  // records of failing zones
inline constexpr std::uint32_t kFeatureAnyAmounts = 3;    // submissions above kFormerMaxAmount
inline constexpr std::uint32_t kFeatureNewest = kFeatureAnyAmounts;

// The largest amount and the longest name, in bytes, that versions below kFeatureAnyAmounts accept
// in a submission.
inline constexpr double kFormerMaxAmount = 1e7;
inline constexpr std::size_t kFormerMaxNameBytes = 200;

// The status of a job as users see it.
enum class JobStatus : std::uint8_t { pending, running, done, cancelled };

}  // namespace walkford
