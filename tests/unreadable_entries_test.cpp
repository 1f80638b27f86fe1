// Tests that an entry of a list that can't be read costs only itself, that nothing unsafe is
// concluded from its absence, and that a log line names the entry and the field.
#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>

#include <sstream>

#include "bookkeeping/registry_record.hpp"
#include "bookkeeping/unreadable_log.hpp"
#include "coordination/controller/submission_validation.hpp"
#include "coordination/zone_failover/zone_record.hpp"
#include "leader_harness.hpp"
#include "sample_cloud_messages.hpp"
#include "sample_messages.hpp"

namespace walkford {
namespace {

// Values of a wrong type or outside every range, for any field but a boolean.
const std::vector<Json> kUnreadableValues{-1, Json::array(), Json::object(), nullptr};

constexpr auto kReplace = Json::error_handler_t::replace;

// Collects the log lines that are written while it exists.
class LogCapture {
  public:
    LogCapture() : previous_(spdlog::default_logger()) {
        reset_unreadable_log();
        auto sink = std::make_shared<spdlog::sinks::ostream_sink_st>(text_);
        spdlog::set_default_logger(std::make_shared<spdlog::logger>("capture", sink));
    }
    ~LogCapture() { spdlog::set_default_logger(previous_); }
    LogCapture(const LogCapture&) = delete;
    LogCapture& operator=(const LogCapture&) = delete;
    std::string text() const { return text_.str(); }

  private:
    std::ostringstream text_;
    std::shared_ptr<spdlog::logger> previous_;
};

std::size_t count_lines(const std::string& text) {
    return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

TEST(UnreadableLog, NamesSourceEntryAndFieldAndIsRateLimited) {
    LogCapture log;
    for (int entry = 0; entry < 1000; ++entry) {
        log_unreadable("list of this test", "host-" + std::to_string(entry), "bad heldS");
    }
    EXPECT_EQ(count_lines(log.text()), 1U);
    for (const char* part : {"list of this test", "host-0", "bad heldS"}) {
        EXPECT_NE(log.text().find(part), std::string::npos) << log.text();
    }
    log_unreadable("list of this test", "host-1", "missing build");
    EXPECT_EQ(count_lines(log.text()), 2U) << "another problem has a line of its own";
}

// Guards against a machine list that is lost as a whole because of one entry.
TEST(UnreadableEntries, AMachineThatCannotBeReadCostsOnlyItself) {
    for (const char* field : {"build", "yard", "loaners"}) {
        for (const Json& value : kUnreadableValues) {
            Json unreadable = sample_machine("host-2");
            unreadable[field] = value;
            CloudResponse response = decode_machine_list(
                {sample_machine("host-1"), unreadable, sample_machine("host-3")});
            EXPECT_EQ(response.status, CloudCallStatus::ok) << unreadable;
            ASSERT_EQ(response.machines.size(), 2U) << unreadable;
            EXPECT_EQ(response.machines[1].name, "host-3");
            EXPECT_EQ(response.unreadable_names, std::vector<std::string>{"host-2"});
            EXPECT_TRUE(response.all_names_known);
        }
    }
}

TEST(UnreadableEntries, AMachineIsUsedWithoutItsAgeAddressOrStatus) {
    for (const char* field : {"heldS", "endpoint", "status"}) {
        Json incomplete = sample_machine("host-1");
        incomplete[field] = Json::array();
        CloudResponse response = decode_machine_list({incomplete});
        ASSERT_EQ(response.machines.size(), 1U) << field;
        EXPECT_EQ(response.machines[0].status, CloudMachineState::running);
    }
}

TEST(UnreadableEntries, ANameThatCannotBeReadMakesTheListIncomplete) {
    for (const Json& entry : {Json(7), Json::object(), Json{{"uid", 5}}, Json{{"uid", ""}},
                              Json{{"uid", "R\374ck"}, {"build", "g8"}}}) {
        CloudResponse response = decode_machine_list({sample_machine("host-1"), entry});
        EXPECT_EQ(response.machines.size(), 1U);
        EXPECT_FALSE(response.all_names_known);
        EXPECT_EQ(response.last_name, "host-1") << "the next page starts after the last known name";
    }
}

TEST(UnreadableEntries, ALogLineNamesTheMachineAndTheField) {
    LogCapture log;
    Json unreadable = sample_machine("host-000077");
    unreadable["yard"] = 12;
    decode_machine_list({unreadable});
    EXPECT_NE(log.text().find("host-000077: bad yard"), std::string::npos) << log.text();
}

TEST(UnreadableEntries, AGrantedNameThatCannotBeReadCostsOnlyItself) {
    Names names;
    CloudResponse response = decode_cloud(
        CloudOperation::scale_out, Json{{"walkers", {"host-1", 5, "R\374ck", "host-2"}}}, names);
    EXPECT_EQ(response.status, CloudCallStatus::ok);
    EXPECT_EQ(response.names, (std::vector<std::string>{"host-1", "host-2"}));
}

TEST(UnreadableEntries, AMachineTypeThatCannotBeReadCostsOnlyItself) {
    const Json valid = sample_machine_type("g8");
    for (const auto& [field, value] : valid.items()) {
        if (field == "name" || field == "lowPrice") {
            continue;
        }
        Json unreadable = valid;
        unreadable[field] = "many";
        Names names;
        CloudResponse response =
            decode_cloud(CloudOperation::list_machine_types,
                         Json{{"builds", {unreadable, sample_machine_type("c4")}}}, names);
        EXPECT_EQ(response.status, CloudCallStatus::ok) << field;
        ASSERT_EQ(response.machine_types.size(), 1U) << field;
        EXPECT_EQ(response.unreadable_names, std::vector<std::string>{"g8"});
    }
}

StoreResponse decode_store(StoreOperation operation, const Json& body) {
    StoreRequest request;
    request.operation = operation;
    return protocol::decode_store_response(request, 200, protocol::pack(body));
}

// Guards against a controller that can't follow the store because of one key that is not its own.
TEST(UnreadableEntries, AStoreEntryWithAnUnreadableKeyCostsOnlyItself) {
    const Json value = Json::object();
    for (const Json& key : {Json(5), Json("w/j/R\374ck"), Json(Json::array())}) {
        Json row{{"k", key}, {"value", value}, {"stamp", 3}};
        Json good{{"k", "w/j/j-1"}, {"value", value}, {"stamp", 4}};
        StoreResponse response =
            decode_store(StoreOperation::list, Json{{"ledgerRev", 9}, {"rows", {row, good}}});
        EXPECT_EQ(response.status, StoreStatus::ok) << key.dump(-1, ' ', true, kReplace);
        ASSERT_EQ(response.rows.size(), 1U);
        EXPECT_EQ(response.rows[0].key, "w/j/j-1");
        Json dropped{{"drop", key}, {"stamp", 3}};
        Json written{{"write", "w/j/j-1"}, {"value", value}, {"stamp", 4}};
        response = decode_store(StoreOperation::changes,
                                Json{{"ledgerRev", 9}, {"events", {dropped, written}}});
        EXPECT_EQ(response.status, StoreStatus::ok);
        EXPECT_EQ(response.rows.size(), 1U);
    }
}

// A change that can't be ordered must not be skipped: it may be the cancellation of a job.
TEST(UnreadableEntries, AStoreEntryWithoutAReadableVersionMakesTheResponseUndecodable) {
    Json unordered{{"write", "w/j/j-1"}, {"value", Json::object()}, {"stamp", "x"}};
    Json good{{"write", "w/j/j-2"}, {"value", Json::object()}, {"stamp", 4}};
    EXPECT_EQ(
        decode_store(StoreOperation::changes, Json{{"ledgerRev", 9}, {"events", {good, unordered}}})
            .status,
        StoreStatus::no_response);
}

// Guards against a silent loss: each kind of stored record that can't be read is logged with its
// key and the field.
TEST(UnreadableEntries, ALogLineNamesTheStoredRecordAndTheField) {
    Names names;
    LogCapture log;
    EXPECT_FALSE(decode_job("j-77", Json{{"s", "a"}, {"f", "x"}}, names));
    EXPECT_FALSE(decode_finished_job(Json{{"s", "d"}, {"n", -1}}, "j-78"));
    EXPECT_FALSE(decode_announcement(Json::object(), "n7"));
    EXPECT_FALSE(decode_relay(Json{{"t", 1}, {"z", 5}}, "n8"));
    EXPECT_FALSE(decode_leader(Json{{"node", "n1"}}));
    EXPECT_FALSE(
        decode_registry(Json{{"n", 1}, {"f", 1}, {"m", {{"host-"}}}}, names, "w/machines"));
    std::vector<TaskRecord> tasks(2);
    EXPECT_FALSE(decode_placement_record(Json{{"m", {{"host-1", {9, 1}}}}}, tasks, "w/t/j-79/0"));
    EXPECT_FALSE(
        decode_zone(Json{{"s", "asleep"}, {"e", 1}, {"p", 0}, {"d", false}, {"f", 0}}, "a"));
    for (const char* line :
         {"j-77: bad f", "j-78: bad n", "n7: missing l", "n8: bad z", "leader: missing incarnation",
          "w/machines: bad m, row 0", "w/t/j-79/0: bad m", "zone records in the store: a: bad s"}) {
        EXPECT_NE(log.text().find(line), std::string::npos) << line << "\n" << log.text();
    }
}

// Guards against numbers that change their value when they are read.
TEST(UnreadableEntries, AStoredCountOutOfRangeIsNotTruncated) {
    constexpr std::uint64_t kTooLarge = (std::uint64_t{1} << 32) + 3;
    EXPECT_FALSE(decode_finished_job(Json{{"s", "d"}, {"n", kTooLarge}}, "j-1"));
    EXPECT_FALSE(decode_announcement(Json{{"l", kTooLarge}}, "n1"));
    EXPECT_EQ(decode_finished_job(Json{{"s", "d"}, {"n", 4294967295U}}, "j-1")->tasks, 4294967295U);
}

// Guards against a controller that knows no machine type because of one stored one.
TEST(UnreadableEntries, AStoredMachineTypeThatCannotBeReadCostsOnlyItself) {
    LeaderHarness harness;
    Json stored = encode_machine_types(harness.context->machine_types, harness.context->names);
    constexpr std::size_t kPriceElement = 6;
    stored[0][kPriceElement] = "cheap";
    LogCapture log;
    StoredMachineTypes read = decode_machine_types(stored, harness.context->names);
    ASSERT_EQ(read.machine_types.size(), 1U);
    EXPECT_EQ(read.machine_types[0].id, 1U);
    EXPECT_FALSE(read.complete);
    EXPECT_NE(log.text().find("small: bad price"), std::string::npos) << log.text();
}

// Guards against 404 for an accepted job whose record can't be read.
TEST(UnreadableEntries, AnUnreadableJobIsKnownToExist) {
    Names names;
    StoreReplica replica(names);
    LogCapture log;
    replica.apply({keys::job("j-1"), Json{{"s", "a"}}, 5});
    EXPECT_FALSE(replica.job("j-1"));
    EXPECT_TRUE(replica.has_unreadable_job("j-1"));
    EXPECT_FALSE(replica.has_unreadable_job("j-2"));
    replica.apply({keys::job("j-1"), std::nullopt, 6});
    EXPECT_FALSE(replica.has_unreadable_job("j-1"));
}

WorkerStatus decode_heartbeat(const Json& body) {
    auto parsed =
        protocol::parse_request(1, protocol::Method::post, "/agent/beat", protocol::pack(body));
    auto* input = std::get_if<Input>(&parsed);
    return input ? std::get<HeartbeatRequest>(*input).worker_status : WorkerStatus{};
}

// A heartbeat with three running tasks of one job.
Json heartbeat_with_three_tasks() {
    Json heartbeat = sample_heartbeat();
    heartbeat["pieces"] = Json::array();
    for (const char* name : {"j-1/0", "j-1/1", "j-1/2"}) {
        heartbeat["pieces"].push_back(Json{{"piece", name}, {"try", 1}, {"status", "running"}});
    }
    return heartbeat;
}

// Guards against heartbeats that are answered with 400 because of one task, until the worker's
// lease expires and it loses all of them.
TEST(UnreadableEntries, ATaskThatCannotBeReadCostsOnlyItself) {
    const std::vector<Json> unreadable_tasks{
        Json(7), Json{{"piece", "j-1"}, {"try", 1}, {"status", "running"}},
        Json{{"piece", "j-1/99999999999"}, {"try", 1}, {"status", "running"}},
        Json{{"piece", "j-1/1"}, {"status", "running"}},
        Json{{"piece", "j-1/1"}, {"try", -1}, {"status", "running"}}};
    EXPECT_TRUE(decode_heartbeat(heartbeat_with_three_tasks()).all_tasks_known);
    for (const Json& task : unreadable_tasks) {
        Json heartbeat = heartbeat_with_three_tasks();
        heartbeat["pieces"][1] = task;
        WorkerStatus status = decode_heartbeat(heartbeat);
        EXPECT_EQ(status.machine, "host-000231") << task;
        EXPECT_EQ(status.tasks.size(), 2U) << task;
        EXPECT_FALSE(status.all_tasks_known) << task;
    }
}

TEST(UnreadableEntries, ATaskIsPresentWithoutItsStateOrCause) {
    LogCapture log;
    for (const char* field : {"status", "cause"}) {
        Json heartbeat = heartbeat_with_three_tasks();
        heartbeat["pieces"][1][field] = Json::array();
        WorkerStatus status = decode_heartbeat(heartbeat);
        EXPECT_EQ(status.tasks.size(), 3U) << field;
        EXPECT_TRUE(status.all_tasks_known);
    }
    EXPECT_NE(log.text().find("host-000231 j-1/1: bad status"), std::string::npos) << log.text();
}

// Guards against a message that is dropped or refused without a trace.
TEST(UnreadableEntries, ALogLineNamesTheMessageThatCannotBeRead) {
    LogCapture log;
    Json heartbeat = sample_heartbeat();
    heartbeat["tick"] = "x";
    decode_heartbeat(heartbeat);
    decode_store(StoreOperation::list, Json{{"rows", 5}});
    Names names;
    decode_cloud(CloudOperation::list, Json{{"walkers", 5}}, names);
    for (const char* line : {"reports of workers: host-000231: bad tick",
                             "responses of the store: /keys?prefix=", ": bad rows",
                             "responses of the cloud: /machines?", ": bad walkers"}) {
        EXPECT_NE(log.text().find(line), std::string::npos) << line << "\n" << log.text();
    }
}

// Guards against an attempt that is taken for another one: attempts are integers below 2^64.
TEST(UnreadableEntries, AttemptsAreNotTruncated) {
    Json heartbeat = heartbeat_with_three_tasks();
    std::uint64_t attempt = (std::uint64_t{1} << 32) + 1;
    heartbeat["pieces"][0]["try"] = attempt;
    ASSERT_EQ(decode_heartbeat(heartbeat).tasks.size(), 3U);
    EXPECT_EQ(decode_heartbeat(heartbeat).tasks[0].attempt, attempt);
}

// Guards against a second start: a task that counts as lost is run elsewhere, while it is the one
// that the report names and the leader can't read.
TEST(UnreadableEntries, NoTaskIsLostWhileATaskInTheReportIsUnknown) {
    LeaderHarness harness;
    harness.elect_with_machines({{"host-1", 0}});
    harness.submit_job(harness.make_job_spec("j-1", 4));
    harness.advance_time(600);
    ASSERT_EQ(harness.heartbeat("host-1").size(), 1U);
    harness.heartbeat("host-1", {{"j-1", 0, 1, TaskState::running, "", false}});
    HeartbeatRequest request;
    request.worker_status.machine = "host-1";
    request.worker_status.incarnation = 1;
    request.worker_status.sequence = ++harness.sequence;
    request.worker_status.fencing_token = 50;
    request.worker_status.all_tasks_known = false;
    harness.leader->heartbeat(harness.now, request);
    EXPECT_EQ(harness.machine_of("j-1"), "host-1");
    harness.heartbeat("host-1");
    EXPECT_EQ(harness.machine_of("j-1"), "") << "a report that can be read shows that it is gone";
}

// Answers the leader's requests to the cloud: those of one kind with that response, others with
// none.
void answer_cloud(LeaderHarness& harness, CloudOperation operation, const CloudResponse& response) {
    for (const CloudRequest& request : std::exchange(harness.cloud_requests, {})) {
        CloudResponse answer;
        if (request.operation == operation) {
            answer = response;
            answer.status = CloudCallStatus::ok;
        }
        answer.call = request.call;
        harness.context->cloud.reply(harness.now, answer);
    }
    harness.process_outputs();
}

CloudResponse listed(const std::vector<std::string>& names) {
    CloudResponse response;
    for (const std::string& name : names) {
        CloudMachine machine;
        machine.name = name;
        machine.machine_type = "small";
        machine.zone = "a";
        machine.status = CloudMachineState::running;
        response.machines.push_back(machine);
    }
    return response;
}

// Lets the leader read the list for a minute, while the workers report.
void read_list_for_a_minute(LeaderHarness& harness, const CloudResponse& response) {
    for (int second = 0; second < 60; ++second) {
        harness.advance_time(1000);
        answer_cloud(harness, CloudOperation::list, response);
        harness.heartbeat("host-1");
        harness.heartbeat("host-2");
    }
}

// Whether the leader once took the machine for gone.
bool terminated(LeaderHarness& harness, const std::string& name) {
    const auto& machines = harness.cluster().machines;
    return std::any_of(machines.begin(), machines.end(), [&](const Machine& machine) {
        return machine.name == name && machine.terminated;
    });
}

// Guards against a second start: the tasks of a machine that counts as gone are run elsewhere,
// while it still runs them.
TEST(UnreadableEntries, AMachineOfWhichOnlyTheNameIsKnownIsNotGone) {
    LeaderHarness harness;
    harness.elect_with_machines({{"host-1", 0}, {"host-2", 0}});
    read_list_for_a_minute(harness, listed({"host-1", "host-2"}));
    CloudResponse response = listed({"host-1"});
    response.unreadable_names = {"host-2"};
    read_list_for_a_minute(harness, response);
    EXPECT_FALSE(terminated(harness, "host-2"));
    // The same list without that entry shows that the machine is gone.
    read_list_for_a_minute(harness, listed({"host-1"}));
    EXPECT_TRUE(terminated(harness, "host-2"));
}

TEST(UnreadableEntries, NoMachineIsGoneWhileANameInTheListIsUnknown) {
    LeaderHarness harness;
    harness.elect_with_machines({{"host-1", 0}, {"host-2", 0}});
    read_list_for_a_minute(harness, listed({"host-1", "host-2"}));
    CloudResponse response = listed({"host-1"});
    response.all_names_known = false;
    read_list_for_a_minute(harness, response);
    EXPECT_FALSE(terminated(harness, "host-2"));
}

SubmitRequest submission_for(double cpus) {
    SubmitRequest submission;
    submission.team_name = "red";
    submission.spec.task_resources = {cpus, 0, 1};
    return submission;
}

// Guards against 422 for a job that fits only the machine type that can't be read.
TEST(UnreadableEntries, AJobIsNotRefusedForGoodWhileAMachineTypeIsUnknown) {
    LeaderHarness harness;
    harness.elect_with_machines({{"host-1", 0}});
    std::vector<MachineType> known = harness.context->machine_types;
    auto problem_of = [&](double cpus) {
        SubmitRequest submission = submission_for(cpus);
        return validate_submission(*harness.context, submission);
    };
    ASSERT_TRUE(problem_of(64));
    EXPECT_TRUE(problem_of(64)->permanent);
    CloudResponse response;
    response.machine_types = {known[0]};
    response.unreadable_names = {"large"};
    harness.advance_time(1000);
    answer_cloud(harness, CloudOperation::list_machine_types, response);
    ASSERT_TRUE(problem_of(64));
    EXPECT_FALSE(problem_of(64)->permanent);
    ASSERT_TRUE(problem_of(1000)) << "more than the team's quota, whatever machines there are";
    EXPECT_TRUE(problem_of(1000)->permanent);
    EXPECT_FALSE(problem_of(4));
}

TEST(UnreadableEntries, AKnownMachineTypeKeepsItsPropertiesWhenItsEntryCannotBeRead) {
    LeaderHarness harness;
    harness.elect_with_machines({{"host-1", 0}});
    CloudResponse response;
    response.machine_types = {harness.context->machine_types[0]};
    response.unreadable_names = {"gpu"};
    harness.advance_time(1000);
    answer_cloud(harness, CloudOperation::list_machine_types, response);
    EXPECT_EQ(harness.context->machine_types.size(), 2U);
    EXPECT_TRUE(harness.context->machine_types_complete);
}

}  // namespace
}  // namespace walkford
