// The stored placement record, which says on which machines a range of a job's tasks runs.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bookkeeping/json.hpp"

namespace walkford {

// One task, as it is stored.
struct TaskRecord {
    std::uint32_t attempt = 0;  // the highest one ever used; never decreases
    bool done = false;
    std::string machine;  // empty: not placed
    bool operator==(const TaskRecord&) const = default;
};

// Returns the value stored for a range of consecutive tasks of a job: ranges of tasks that are
// done, the machine and attempt of each placed task, and the attempt of any other task that was
// placed before.
Json encode_placement_record(const std::vector<TaskRecord>& tasks);
// Sets the elements of `tasks`, which must already have the record's size. Returns false if the
// value is not such a record or names a task beyond that size; the contents of `tasks` are then
// undefined, and the field is logged. `key`: of the record, for the log line.
bool decode_placement_record(const Json& value, std::vector<TaskRecord>& tasks,
                             const std::string& key = "");

// The numbers of done and of placed tasks, for display to users.
struct PlacementCounts {
    std::uint32_t done = 0;
    std::uint32_t running = 0;
};
// Counts the tasks of a stored value without decoding all of it. Both numbers are 0 if the value is
// not such a record. Never throws.
PlacementCounts count_tasks(const Json& value);

}  // namespace walkford
