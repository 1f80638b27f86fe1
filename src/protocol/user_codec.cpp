// Decodes requests of users and encodes the responses to them.
#include "protocol/field_names.hpp"
#include "protocol/json_fields.hpp"
#include "protocol/wire_requests.hpp"

namespace walkford::protocol {

namespace fields = user_fields;

namespace {

JobShape decode_shape(const std::string& shape) {
    if (shape == fields::kShapeArray) {
        return JobShape::array;
    }
    if (shape == fields::kShapeGang) {
        return JobShape::gang;
    }
    if (shape == fields::kShapeService) {
        return JobShape::service;
    }
    throw DecodeError::invalid(fields::kShape);
}

Priority decode_priority(const std::string& priority) {
    if (priority == fields::kPriorityProduction) {
        return Priority::production;
    }
    if (priority == fields::kPriorityHigh) {
        return Priority::high;
    }
    if (priority == fields::kPriorityNormal) {
        return Priority::normal;
    }
    if (priority == fields::kPriorityBestEffort) {
        return Priority::best_effort;
    }
    throw DecodeError::invalid(fields::kPriority);
}

std::uint32_t decode_task_count(const Json& body) {
    std::uint64_t tasks = unsigned_field(body, fields::kTaskCount);
    if (tasks == 0 || tasks > kMaxJobTasks) {
        throw DecodeError::invalid(fields::kTaskCount);
    }
    return static_cast<std::uint32_t>(tasks);
}

// Decodes where the tasks may run: allowed machine types, zone, spreading and spot machines.
void decode_constraints(const Json& body, SubmitRequest& submission) {
    if (!absent_or_null(body, fields::kMachineTypes)) {
        const Json& machine_types = body[fields::kMachineTypes];
        if (!machine_types.is_array()) {
            throw DecodeError::invalid(fields::kMachineTypes);
        }
        submission.machine_types_named = true;
        for (const Json& machine_type : machine_types) {
            if (!machine_type.is_string()) {
                throw DecodeError::invalid(fields::kMachineTypes);
            }
            submission.machine_type_names.push_back(machine_type.get<std::string>());
        }
    }
    if (!absent_or_null(body, fields::kZone)) {
        submission.zone_named = true;
        submission.zone_name = string_field(body, fields::kZone);
    }
    submission.spec.one_zone = bool_field(body, fields::kOneZone);
    submission.spec.spread = bool_field(body, fields::kSpread);
    submission.spec.spot = bool_field(body, fields::kSpot);
}

void decode_times(const Json& body, JobSpec& spec) {
    spec.estimate_s = number_field(body, fields::kEstimateS);
    if (spec.service()) {
        spec.estimate_s = 0;  // a service has no end to estimate
    }
    spec.checkpoint_interval_s = number_field(body, fields::kCheckpointIntervalS);
    spec.checkpoint_duration_s = number_field(body, fields::kCheckpointDurationS);
    spec.deadline_s =
        absent_or_null(body, fields::kDeadlineS) ? -1 : number_field(body, fields::kDeadlineS);
}

const char* status_name(JobStatus status) {
    switch (status) {
        case JobStatus::pending:
            return fields::kStatusPending;
        case JobStatus::running:
            return fields::kStatusRunning;
        case JobStatus::done:
            return fields::kStatusDone;
        case JobStatus::cancelled:
            return fields::kStatusCancelled;
    }
    return fields::kStatusPending;
}

}  // namespace

SubmitRequest decode_submission(RequestId request, const Json& body) {
    if (!body.is_object()) {
        throw DecodeError::not_a_map();
    }
    SubmitRequest submission;
    submission.request = request;
    JobSpec& spec = submission.spec;
    spec.id = string_field(body, fields::kJobId);
    if (!is_valid_job_id(spec.id)) {
        throw DecodeError::invalid(fields::kJobId);
    }
    submission.job_class_name = string_field(body, fields::kJobClass);
    submission.team_name = string_field(body, fields::kTeam);
    spec.shape = decode_shape(string_field(body, fields::kShape));
    spec.priority = decode_priority(string_field(body, fields::kPriority));
    spec.tasks = decode_task_count(body);
    spec.task_resources = {number_field(body, fields::kCpus), number_field(body, fields::kGpus),
                           number_field(body, fields::kMemoryGb)};
    decode_constraints(body, submission);
    submission.image_name = string_field(body, fields::kImage);
    spec.image_gb = number_field(body, fields::kImageGb);
    decode_times(body, spec);
    return submission;
}

HttpResponse encode(const UserResponse& response) {
    HttpResponse reply;
    reply.code = response.code;
    reply.retry_after_s = response.retry_after_s;
    bool accepted = response.code == 200 || response.code == 201;
    if (!accepted) {
        reply.body = pack(Json{{fields::kError, response.error}});
        return reply;
    }
    Json body = Json::object();
    if (!response.id.empty()) {
        body[fields::kJobId] = response.id;
        body[fields::kStatus] = status_name(response.status);
        if (response.with_counts) {
            body[fields::kDoneCount] = response.done;
            body[fields::kRunningCount] = response.running;
        }
    }
    reply.body = pack(body);
    return reply;
}

}  // namespace walkford::protocol
