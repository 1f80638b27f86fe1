#include "bookkeeping/placement_record.hpp"

#include <map>

#include "bookkeeping/unreadable_log.hpp"

namespace walkford {

namespace {
// Fields of a stored placement record. Tasks are given by their index within the record.
constexpr const char* kDone = "d";      // ranges: first, last, first, last, ...
constexpr const char* kAttempts = "a";  // of tasks on no machine: task, attempt, task, attempt, ...
constexpr const char* kMachines = "m";  // by machine name: task, attempt, task, attempt, ...

// Appends a task to a list of ranges in ascending order, extending the last range if possible.
void append_to_ranges(Json& ranges, std::size_t task) {
    bool extends_last = !ranges.empty() && ranges.back().get<std::size_t>() + 1 == task;
    if (extends_last) {
        ranges.back() = task;
    } else {
        ranges.push_back(task);
        ranges.push_back(task);
    }
}

void append_attempt(Json& list, std::size_t task, std::uint32_t attempt) {
    list.push_back(task);
    list.push_back(attempt);
}

void decode_done(const Json& ranges, std::vector<TaskRecord>& tasks) {
    for (std::size_t i = 0; i + 1 < ranges.size(); i += 2) {
        auto last = ranges[i + 1].get<std::size_t>();
        for (auto task = ranges[i].get<std::size_t>(); task <= last; ++task) {
            tasks.at(task).done = true;
        }
    }
}

void decode_attempts(const Json& list, const std::string& machine, std::vector<TaskRecord>& tasks) {
    for (std::size_t i = 0; i + 1 < list.size(); i += 2) {
        TaskRecord& task = tasks.at(list[i].get<std::size_t>());
        task.attempt = list[i + 1].get<std::uint32_t>();
        task.machine = machine;
    }
}

std::uint32_t count_in_ranges(const Json& ranges) {
    std::uint32_t count = 0;
    for (std::size_t i = 0; i + 1 < ranges.size(); i += 2) {
        auto first = ranges.at(i).get<std::uint32_t>();
        auto last = ranges.at(i + 1).get<std::uint32_t>();
        count += last - first + 1;
    }
    return count;
}
}  // namespace

Json encode_placement_record(const std::vector<TaskRecord>& tasks) {
    Json done = Json::array();
    Json attempts = Json::array();
    std::map<std::string, Json> machines;
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        const TaskRecord& task = tasks[i];
        if (task.done) {
            append_to_ranges(done, i);
        } else if (!task.machine.empty()) {
            append_attempt(machines[task.machine], i, task.attempt);
        } else if (task.attempt > 0) {
            append_attempt(attempts, i, task.attempt);
        }
    }
    Json value = Json::object();
    if (!done.empty()) {
        value[kDone] = std::move(done);
    }
    if (!attempts.empty()) {
        value[kAttempts] = std::move(attempts);
    }
    if (!machines.empty()) {
        value[kMachines] = std::move(machines);
    }
    return value;
}

bool decode_placement_record(const Json& value, std::vector<TaskRecord>& tasks,
                             const std::string& key) {
    const char* field = "record";  // the one that is being decoded
    try {
        for (TaskRecord& task : tasks) {
            task = {};
        }
        if (value.contains(kDone)) {
            field = kDone;
            decode_done(value[kDone], tasks);
        }
        if (value.contains(kAttempts)) {
            field = kAttempts;
            decode_attempts(value[kAttempts], "", tasks);
        }
        if (value.contains(kMachines)) {
            field = kMachines;
            for (const auto& [machine, list] : value[kMachines].items()) {
                decode_attempts(list, machine, tasks);
            }
        }
        return true;
    } catch (const std::exception&) {
        log_unreadable("placement records in the store", key, std::string("bad ") + field);
        return false;
    }
}

PlacementCounts count_tasks(const Json& value) {
    try {
        PlacementCounts counts;
        if (auto done = value.find(kDone); done != value.end()) {
            counts.done = count_in_ranges(*done);
        }
        if (auto machines = value.find(kMachines); machines != value.end()) {
            for (const Json& tasks : *machines) {
                counts.running += static_cast<std::uint32_t>(tasks.size() / 2);
            }
        }
        return counts;
    } catch (const Json::exception&) {
        return {};
    }
}

}  // namespace walkford
