// The stored placement record: on which machines a range of a job's tasks runs.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bookkeeping/json.hpp"

namespace walkford {

// One task, as it is stored.
struct TaskRecord {
    std::uint32_t attempt = 0;  // the highest ever used; only rises
    bool done = false;
    std::string machine;  // empty: placed nowhere
    bool operator==(const TaskRecord&) const = default;
};

// The value that is stored for tasks [first, first + n) of a job: done ones as ranges, placed ones
// with machine and attempt, the rest only where an attempt was used.
Json encode_placement_record(const std::vector<TaskRecord>& tasks);
// Sets `tasks`, which has the record's size already. False where the value is no such record or
// names a task beyond its size; `tasks` is then not to be used.
bool decode_placement_record(const Json& value, std::vector<TaskRecord>& tasks);

}  // namespace walkford
