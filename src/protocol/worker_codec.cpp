// Decodes the status that workers report and encodes the commands to them.
#include <charconv>
#include <optional>

#include "bookkeeping/unreadable_log.hpp"
#include "protocol/field_names.hpp"
#include "protocol/json_fields.hpp"
#include "protocol/wire_requests.hpp"

namespace walkford::protocol {

namespace fields = worker_fields;

namespace {

// The parts of a task name as workers use it.
struct TaskName {
    std::string job_id;
    std::uint32_t task = 0;
};

// Parses "<job id>/<index of the task>", such as "j-000412/3". Returns nothing for an invalid name.
std::optional<TaskName> parse_task_name(const std::string& name) {
    auto slash = name.rfind('/');
    if (slash == std::string::npos || slash == 0) {
        return std::nullopt;
    }
    TaskName parsed;
    parsed.job_id = name.substr(0, slash);
    const char* end = name.data() + name.size();
    auto [rest, error] = std::from_chars(name.data() + slash + 1, end, parsed.task);
    if (error != std::errc() || rest != end || !is_valid_job_id(parsed.job_id)) {
        return std::nullopt;
    }
    return parsed;
}

TaskState decode_task_state(const std::string& state) {
    if (state == fields::kTaskPulling) {
        return TaskState::pulling;
    }
    if (state == fields::kTaskWaiting) {
        return TaskState::waiting;
    }
    if (state == fields::kTaskRunning) {
        return TaskState::running;
    }
    if (state == fields::kTaskSaving) {
        return TaskState::saving;
    }
    if (state == fields::kTaskExited) {
        return TaskState::exited;
    }
    return TaskState::unknown;
}

constexpr const char* kTaskList = "task list of a worker";
constexpr const char* kReports = "reports of workers";

// Reads a field without which the task is known all the same.
std::string text_or_empty(const Json& entry, const char* field, const std::string& described) {
    try {
        return string_field(entry, field);
    } catch (const DecodeError& error) {
        log_unreadable(kTaskList, described, error.what());
        return "";
    }
}

ReportedTask decode_reported_task(const Json& entry, const std::string& machine) {
    if (!entry.is_object()) {
        throw DecodeError::invalid(fields::kTasks);
    }
    std::string text = string_field(entry, fields::kTask);
    auto name = parse_task_name(text);
    if (!name) {
        throw DecodeError::invalid(fields::kTask);
    }
    std::string described = machine + " " + text;
    ReportedTask task;
    task.job = std::move(name->job_id);
    task.task = name->task;
    task.attempt = unsigned_field(entry, fields::kAttempt);
    task.state = decode_task_state(text_or_empty(entry, fields::kTaskState, described));
    if (!absent_or_null(entry, fields::kExitCause)) {
        task.cause = text_or_empty(entry, fields::kExitCause, described);
    }
    task.progress_saved = optional_flag(entry, fields::kProgressSaved);
    return task;
}

// A task that can't be read costs only itself. Which task it is remains unknown, so nothing may be
// concluded from the absence of a task.
void decode_tasks(const Json& tasks, WorkerStatus& status) {
    for (std::size_t position = 0; position < tasks.size(); ++position) {
        try {
            status.tasks.push_back(decode_reported_task(tasks[position], status.machine));
        } catch (const DecodeError& error) {
            log_unreadable(kTaskList, status.machine + " #" + std::to_string(position),
                           error.what());
            status.all_tasks_known = false;
        }
    }
}

std::string name_of_worker(const Json& body) {
    bool named =
        body.is_object() && body.contains(fields::kMachine) && body[fields::kMachine].is_string();
    return named ? body[fields::kMachine].get<std::string>() : "a worker without a name";
}

// Returns nothing if the body cannot be decoded.
std::optional<WorkerStatus> try_decode_worker_status(std::string_view body) {
    auto document = unpack(body);
    if (!document) {
        log_unreadable(kReports, "a response", "not a MessagePack value of UTF-8 text");
        return std::nullopt;
    }
    try {
        return decode_logged_status(*document);
    } catch (const DecodeError&) {
        return std::nullopt;
    }
}

Json encode_command(const WorkerCommand& command) {
    Json entry{{fields::kTask, command.job + "/" + std::to_string(command.task)},
               {fields::kAttempt, command.attempt}};
    switch (command.type) {
        case WorkerCommandType::run:
            entry[fields::kCommand] = fields::kCommandRun;
            break;
        case WorkerCommandType::clear:
            entry[fields::kCommand] = fields::kCommandClear;
            break;
        case WorkerCommandType::stop:
            entry[fields::kCommand] = fields::kCommandStop;
            entry[fields::kGraceS] = command.grace_s;
            break;
    }
    return entry;
}

Json encode_commands(const std::vector<WorkerCommand>& commands) {
    Json list = Json::array();
    for (const WorkerCommand& command : commands) {
        list.push_back(encode_command(command));
    }
    return list;
}

WorkerCallStatus status_of(int code) {
    switch (code) {
        case 200:
            return WorkerCallStatus::ok;
        case 409:
            return WorkerCallStatus::conflict;
        default:
            return WorkerCallStatus::unexpected;
    }
}

}  // namespace

WorkerStatus decode_worker_status(const Json& body) {
    if (!body.is_object()) {
        throw DecodeError::not_a_map();
    }
    WorkerStatus status;
    status.machine = string_field(body, fields::kMachine);
    if (status.machine.empty()) {
        throw DecodeError::invalid(fields::kMachine);
    }
    status.address =
        absent_or_null(body, fields::kAddress) ? "" : string_field(body, fields::kAddress);
    status.machine_type = string_field(body, fields::kMachineType);
    status.zone = string_field(body, fields::kZone);
    status.spot = bool_field(body, fields::kSpot);
    status.incarnation = unsigned_field(body, fields::kIncarnation);
    status.sequence = unsigned_field(body, fields::kSequence);
    status.fencing_token = unsigned_field(body, fields::kFencingToken);
    if (!absent_or_null(body, fields::kReclaimNoticeS)) {
        status.notice_s = number_field(body, fields::kReclaimNoticeS);
    }
    decode_tasks(list_field(body, fields::kTasks), status);
    return status;
}

WorkerStatus decode_logged_status(const Json& body) {
    try {
        return decode_worker_status(body);
    } catch (const DecodeError& error) {
        log_unreadable(kReports, name_of_worker(body), error.what());
        throw;
    }
}

HttpResponse encode(const HeartbeatResponse& response) {
    HttpResponse reply;
    reply.code = response.code;
    Json body = Json::object();
    if (response.code == 200) {
        body[fields::kFencingToken] = response.fencing_token;
        body[fields::kCommands] = encode_commands(response.commands);
    } else if (!response.leader.empty()) {
        body[fields::kLeader] = response.leader;
    }
    reply.body = pack(body);
    return reply;
}

HttpRequest encode(const WorkerRequest& request) {
    HttpRequest http;
    http.method = Method::post;
    http.path = fields::kCommandsPath;
    http.body = pack(Json{{fields::kFencingToken, request.fencing_token},
                          {fields::kIncarnation, request.incarnation},
                          {fields::kCommands, encode_commands(request.commands)}});
    return http;
}

WorkerResponse decode_worker_response(CallId call, int code, std::string_view body) {
    WorkerResponse response;
    response.call = call;
    if (code == 0) {
        return response;
    }
    response.status = status_of(code);
    if (response.status == WorkerCallStatus::unexpected) {
        return response;
    }
    response.worker_status = try_decode_worker_status(body);
    return response;
}

}  // namespace walkford::protocol
