#include "bookkeeping/finished_job_record.hpp"

#include <string>

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

std::optional<FinishedJobRecord> decode_finished_job(const Json& value) {
    try {
        return FinishedJobRecord{value.at(kStatus).get<std::string>() == kStatusCancelled,
                                 value.at(kTasks).get<std::uint32_t>()};
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

}  // namespace walkford
