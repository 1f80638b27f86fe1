#include "bookkeeping/job_record.hpp"

#include <algorithm>

#include "bookkeeping/record_field.hpp"
#include "bookkeeping/unreadable_log.hpp"

namespace walkford {

namespace {
// Fields of a stored job.
constexpr const char* kStatus = "s";
// Version 0.3.0 reads the number of tasks from `n` and treats every job that is not a gang as an
// array, whose tasks run to completion only once. A service stores its number of replicas in `N`
// instead, so that version 0.3.0 can't read the record and never runs a service as an array.
constexpr const char* kTasks = "n";
constexpr const char* kReplicas = "N";
constexpr const char* kTasksPerRecord = "c";
constexpr const char* kTeam = "o";
constexpr const char* kJobClass = "l";
constexpr const char* kPriority = "p";
constexpr const char* kFlags = "f";
constexpr const char* kResourcesEach = "r";  // cores, GPUs, memory in GB
constexpr const char* kTimes = "t";          // estimate, checkpoint interval and duration, deadline
constexpr const char* kMachineTypes = "k";
constexpr const char* kZone = "z";
constexpr const char* kImage = "i";  // name, size in GB

// Values of kStatus.
constexpr const char* kStatusActive = "a";
constexpr const char* kStatusCancelled = "c";

// Bits of kFlags.
constexpr int kFlagGang = 1;
constexpr int kFlagOneZone = 2;
constexpr int kFlagSpread = 4;
constexpr int kFlagSpot = 8;
constexpr int kFlagService = 16;

const char* count_field(const JobSpec& spec) { return spec.service() ? kReplicas : kTasks; }

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

Priority decode_priority(int priority) {
    constexpr int kLowest = static_cast<int>(Priority::best_effort);
    constexpr int kHighest = static_cast<int>(Priority::production);
    return static_cast<Priority>(std::clamp(priority, kLowest, kHighest));
}

void encode_constraints(const JobSpec& spec, const Names& names, Json& value) {
    if (!spec.any_machine_type) {
        Json machine_types = Json::array();
        for (Id machine_type : spec.machine_types) {
            machine_types.push_back(names.machine_types.name(machine_type));
        }
        value[kMachineTypes] = std::move(machine_types);
    }
    if (spec.zone != kNone) {
        value[kZone] = names.zones.name(spec.zone);
    }
    if (spec.image != kNone) {
        value[kImage] = Json::array({names.images.name(spec.image), spec.image_gb});
    }
}

void decode_constraints(const Json& value, Names& names, JobSpec& spec) {
    if (value.contains(kMachineTypes)) {
        spec.any_machine_type = false;
        for (const Json& machine_type : value[kMachineTypes]) {
            spec.machine_types.push_back(
                names.machine_types.intern(convert_item<std::string>(machine_type, kMachineTypes)));
        }
    }
    if (value.contains(kZone)) {
        spec.zone = names.zones.intern(record_field<std::string>(value, kZone));
    }
    if (value.contains(kImage)) {
        spec.image = names.images.intern(record_element<std::string>(value, kImage, 0));
        spec.image_gb = record_element<double>(value, kImage, 1);
    }
}

// The cluster state allocates memory for all placement records of a job.
bool counts_are_valid(const JobSpec& spec) {
    return spec.tasks > 0 && spec.tasks <= kMaxJobTasks && spec.tasks_per_record <= kMaxJobTasks;
}

void decode_amounts(const Json& value, JobSpec& spec) {
    spec.task_resources = {record_element<double>(value, kResourcesEach, 0),
                           record_element<double>(value, kResourcesEach, 1),
                           record_element<double>(value, kResourcesEach, 2)};
    spec.estimate_s = record_element<double>(value, kTimes, 0);
    spec.checkpoint_interval_s = record_element<double>(value, kTimes, 1);
    spec.checkpoint_duration_s = record_element<double>(value, kTimes, 2);
    spec.deadline_s = record_element<double>(value, kTimes, 3);
}

// Throws RecordError if a field can't be read.
JobRecord decode_fields(const std::string& id, const Json& value, Names& names) {
    JobRecord job;
    job.cancelled = record_field<std::string>(value, kStatus) == kStatusCancelled;
    JobSpec& spec = job.spec;
    spec.id = id;
    int flags = record_field<int>(value, kFlags);
    spec.shape = decode_shape(flags);
    spec.tasks = record_field<std::uint32_t>(value, count_field(spec));
    spec.tasks_per_record =
        std::max<std::uint32_t>(1, record_field<std::uint32_t>(value, kTasksPerRecord));
    spec.team = names.teams.intern(record_field<std::string>(value, kTeam));
    if (value.contains(kJobClass)) {
        spec.job_class = names.job_classes.intern(record_field<std::string>(value, kJobClass));
    }
    spec.priority = decode_priority(record_field<int>(value, kPriority));
    spec.one_zone = (flags & kFlagOneZone) != 0;
    spec.spread = (flags & kFlagSpread) != 0;
    spec.spot = (flags & kFlagSpot) != 0;
    decode_amounts(value, spec);
    decode_constraints(value, names, spec);
    if (!counts_are_valid(spec)) {
        throw RecordError::invalid(count_field(spec));
    }
    return job;
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
    const JobSpec& spec = job.spec;
    Json value = Json::object();
    value[kStatus] = job.cancelled ? kStatusCancelled : kStatusActive;
    value[count_field(spec)] = spec.tasks;
    value[kTasksPerRecord] = spec.tasks_per_record;
    value[kTeam] = names.teams.name(spec.team);
    if (spec.job_class != kNone) {
        value[kJobClass] = names.job_classes.name(spec.job_class);
    }
    value[kPriority] = static_cast<int>(spec.priority);
    value[kFlags] = encode_flags(spec);
    value[kResourcesEach] =
        Json::array({spec.task_resources.cpus, spec.task_resources.gpus, spec.task_resources.ram});
    value[kTimes] = Json::array(
        {spec.estimate_s, spec.checkpoint_interval_s, spec.checkpoint_duration_s, spec.deadline_s});
    encode_constraints(spec, names, value);
    return value;
}

std::optional<JobRecord> decode_job(const std::string& id, const Json& value, Names& names) {
    try {
        return decode_fields(id, value, names);
    } catch (const RecordError& error) {
        log_unreadable("jobs in the store", id, error.what());
        return std::nullopt;
    }
}

}  // namespace walkford
