#include "bookkeeping/finished_job_record.hpp"

#include <string>

#include "bookkeeping/record_field.hpp"
#include "bookkeeping/unreadable_log.hpp"

namespace walkford {

namespace {
// Fields of a stored finished job.
constexpr const char* kStatus = "s";
constexpr const char* kTasks = "n";

// Values of kStatus.
constexpr const char* kStatusCancelled = "c";
constexpr const char* kStatusDone = "d";
}  // namespace

Json encode_finished_job(const FinishedJobRecord& ended) {
    return Json{{kStatus, ended.cancelled ? kStatusCancelled : kStatusDone}, {kTasks, ended.tasks}};
}

std::optional<FinishedJobRecord> decode_finished_job(const Json& value, const std::string& id) {
    try {
        return FinishedJobRecord{record_field<std::string>(value, kStatus) == kStatusCancelled,
                                 record_field<std::uint32_t>(value, kTasks)};
    } catch (const RecordError& error) {
        log_unreadable("finished jobs in the store", id, error.what());
        return std::nullopt;
    }
}

}  // namespace walkford
