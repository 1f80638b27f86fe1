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

Json encode_ended(const EndedRecord& ended) {
    return Json{{kStatus, ended.cancelled ? kStatusCancelled : kStatusDone}, {kTasks, ended.tasks}};
}

std::optional<EndedRecord> decode_ended(const Json& value) {
    try {
        return EndedRecord{value.at(kStatus).get<std::string>() == kStatusCancelled,
                           value.at(kTasks).get<std::uint32_t>()};
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

}  // namespace walkford
