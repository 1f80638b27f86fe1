// Tests the HTTP messages, the settings files and the frames between controllers, with valid,
// malformed and hostile input.
#include <gtest/gtest.h>
#include <unistd.h>

#include <cmath>
#include <fstream>
#include <limits>
#include <random>

#include "protocol/messagepack_codec.hpp"
#include "protocol/peer_frame.hpp"
#include "protocol/properties_file.hpp"
#include "protocol/settings_file.hpp"
#include "protocol/wire.hpp"
#include "sample_messages.hpp"

namespace walkford::protocol {
namespace {

int status_code_for(const std::string& body, std::string_view path = "/work",
                    Method method = Method::post) {
    ParsedRequest parsed = parse_request(1, method, path, body);
    auto* reply = std::get_if<HttpResponse>(&parsed);
    return reply ? reply->code : 200;
}

TEST(Wire, ReadsAJob) {
    ParsedRequest parsed = parse_request(7, Method::post, "/work", pack(sample_submission()));
    ASSERT_TRUE(std::holds_alternative<Input>(parsed));
    const auto& submission = std::get<SubmitRequest>(std::get<Input>(parsed));
    EXPECT_EQ(submission.request, 7U);
    EXPECT_EQ(submission.spec.id, "j-000412");
    EXPECT_TRUE(submission.spec.gang());
    EXPECT_EQ(submission.spec.tasks, 16U);
    EXPECT_EQ(submission.spec.priority, Priority::high);
    EXPECT_DOUBLE_EQ(submission.spec.task_resources.ram, 64.0);
    EXPECT_DOUBLE_EQ(submission.spec.deadline_s, 900.0);
    EXPECT_EQ(submission.machine_type_names, std::vector<std::string>{"g8"});
    EXPECT_FALSE(submission.zone_named);
}

// A service has no end to estimate, so the estimate that the user sent is ignored.
TEST(Wire, ReadsAService) {
    Json body = sample_submission();
    body["shape"] = "service";
    body["guessS"] = 30.0;
    auto parsed = parse_request(7, Method::post, "/work", pack(body));
    auto* input = std::get_if<Input>(&parsed);
    ASSERT_TRUE(input);
    const auto& submission = std::get<SubmitRequest>(*input);
    EXPECT_EQ(submission.spec.shape, JobShape::service);
    EXPECT_DOUBLE_EQ(submission.spec.estimate_s, 0);
    EXPECT_EQ(submission.spec.needed_at_once(), submission.spec.tasks);
}

TEST(Wire, RejectsMissingNullAndInvalidFields) {
    const Json valid = sample_submission();
    for (const auto& [field, value] : valid.items()) {
        bool nullable = field == "builds" || field == "yard" || field == "dueS";
        Json without_field = sample_submission();
        without_field.erase(field);
        EXPECT_EQ(status_code_for(pack(without_field)), nullable ? 200 : 400)
            << "without " << field;
        Json null_field = sample_submission();
        null_field[field] = nullptr;
        EXPECT_EQ(status_code_for(pack(null_field)), nullable ? 200 : 400) << "null " << field;
        Json wrong_type = sample_submission();
        wrong_type[field] = Json::array({Json::object()});
        EXPECT_EQ(status_code_for(pack(wrong_type)), 400) << "wrong type of " << field;
    }
    for (auto [field, value] : std::vector<std::pair<std::string, Json>>{
             {"pieces", 0},
             {"pieces", 100001},
             {"pieces", -1},
             {"pieces", 1.5},
             {"vcpus", -1.0},
             {"vcpus", std::nan("")},
             {"ramGb", std::numeric_limits<double>::infinity()},
             {"shape", "heap"},
             {"rank", "low"},
             {"uid", "x-1"},
             {"uid", "j-1/2"},
             {"samePlace", 1}}) {
        Json job = sample_submission();
        job[field] = value;
        EXPECT_EQ(status_code_for(pack(job)), 400) << field;
    }
}

TEST(Wire, AcceptsWholeFloatsIntegersAndUnknownFields) {
    Json job = sample_submission();
    job["pieces"] = 16.0;
    job["vcpus"] = 8;
    job["surprise"] = Json{{"deep", 1}};
    EXPECT_EQ(status_code_for(pack(job)), 200);
}

// Bodies that claim more data than they contain are rejected without allocating memory for it.
TEST(Wire, RejectsHostileBodies) {
    EXPECT_EQ(status_code_for(""), 400);
    EXPECT_EQ(status_code_for("not msgpack at all"), 400);
    EXPECT_EQ(status_code_for(pack(sample_submission()) + "x"), 400);  // trailing bytes
    EXPECT_EQ(status_code_for(pack(Json::array({1}))), 400);           // not a map
    EXPECT_EQ(status_code_for(std::string(10000, '\x91')), 400);       // 10,000 nested lists
    // Claims 2^32 - 1 items of a list, then of a map.
    EXPECT_EQ(status_code_for(std::string("\xdd\xff\xff\xff\xff", 5)), 400);
    EXPECT_EQ(status_code_for(std::string("\xdf\xff\xff\xff\xff", 5)), 400);
    // Claims a string of 4 GiB.
    EXPECT_EQ(status_code_for(std::string("\xdb\xff\xff\xff\xff", 5) + "abc"), 400);
    EXPECT_EQ(status_code_for(std::string("\xc4\x01\x00", 3)), 400);  // binary data
    EXPECT_EQ(status_code_for(std::string("\x81\x01\x02", 3)), 400);  // key is not a string
    EXPECT_EQ(status_code_for(std::string(70000, '\x01')), 400);      // over 64 KiB
}

TEST(Wire, AcceptsOrRejectsRandomlyMutatedBodies) {
    std::mt19937 rng(3);
    std::string valid_bodies[2] = {pack(sample_submission()), pack(sample_heartbeat())};
    const char* paths[2] = {"/work", "/agent/beat"};
    int accepted = 0;
    for (int i = 0; i < 20000; ++i) {
        std::string body = valid_bodies[i % 2];
        for (unsigned mutation = 0; mutation <= rng() % 4; ++mutation) {
            body[rng() % body.size()] = static_cast<char>(rng());
        }
        if (rng() % 3 == 0) {
            body.resize(rng() % body.size());
        }
        int code = status_code_for(body, paths[i % 2]);
        EXPECT_TRUE(code == 200 || code == 400) << code;
        accepted += code == 200;
    }
    EXPECT_GT(accepted, 0);
    EXPECT_LT(accepted, 20000);
}

TEST(Wire, RoutesByPathAndMethod) {
    EXPECT_EQ(status_code_for("", "/nowhere"), 404);
    EXPECT_EQ(status_code_for("", "/work/j-1/2", Method::get), 404);
    EXPECT_EQ(status_code_for("", "/work/../w/leader", Method::get), 404);
    EXPECT_EQ(status_code_for("", "/work/" + std::string(5000, 'j'), Method::get), 404);
    EXPECT_EQ(status_code_for("", "/work/j-000412", Method::del), 405);
    EXPECT_EQ(status_code_for("", "/work", Method::get), 405);
    EXPECT_EQ(status_code_for("", "/ready", Method::post), 405);
    EXPECT_EQ(status_code_for("", "/work/j-000412", Method::get), 200);
    EXPECT_EQ(status_code_for("", "/work/j-000412/cancel", Method::post), 200);
}

TEST(Wire, RejectsHeartbeatsWithoutRequiredFields) {
    Json heartbeat{{"walker", "host-1"},
                   {"endpoint", "1.2.3.4:5"},
                   {"build", "k"},
                   {"yard", "a"},
                   {"loaners", false},
                   {"stint", 1},
                   {"tick", 1},
                   {"baton", 0},
                   {"pieces", Json::array()}};
    EXPECT_EQ(status_code_for(pack(heartbeat), "/agent/beat"), 200);
    for (const char* field : {"walker", "stint", "tick", "baton", "pieces"}) {
        Json without_field = heartbeat;
        without_field.erase(field);
        EXPECT_EQ(status_code_for(pack(without_field), "/agent/beat"), 400) << field;
    }
}

TEST(Wire, DistinguishesNoCapacityFromAnOutage) {
    Names names;
    CloudRequest request;
    request.operation = CloudOperation::scale_out;
    EXPECT_EQ(
        decode_cloud_response(request, 503, pack(Json{{"error", "no capacity"}}), names).status,
        CloudCallStatus::no_capacity);
    EXPECT_EQ(decode_cloud_response(request, 503, pack(Json{{"error", "trouble"}}), names).status,
              CloudCallStatus::unavailable);
    EXPECT_EQ(decode_cloud_response(request, 503, "", names).status, CloudCallStatus::unavailable);
}

TEST(Wire, TreatsAnUndecodableStoreResponseAsNoResponse) {
    StoreRequest request;
    request.operation = StoreOperation::transaction;
    EXPECT_EQ(decode_store_response(request, 200, "garbage").status, StoreStatus::no_response);
    request.operation = StoreOperation::list;
    EXPECT_EQ(decode_store_response(request, 200, pack(Json{{"rows", {{{"k", 5}}}}})).status,
              StoreStatus::no_response);
}

TEST(PeerFrame, RoundTripsAndRejectsDamagedFrames) {
    PeerHeartbeat heartbeat;
    heartbeat.controller = "n1";
    heartbeat.incarnation = "abc";
    heartbeat.sequence = 9;
    heartbeat.fencing_token = 77;
    heartbeat.leader = "n2";
    heartbeat.ms_since_store_response = -1;
    heartbeat.revision = 77;
    std::string frame = encode_frame(heartbeat).substr(4);
    auto decoded = decode_frame(frame);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->fencing_token, 77U);
    EXPECT_EQ(decoded->leader, "n2");
    EXPECT_EQ(decoded->ms_since_store_response, -1);
    EXPECT_EQ(decoded->revision, 77U);
    std::mt19937 rng(5);
    for (int i = 0; i < 5000; ++i) {
        std::string damaged = frame;
        damaged[rng() % damaged.size()] = static_cast<char>(rng());
        if (rng() % 4 == 0) {
            damaged.resize(rng() % damaged.size());
        }
        // May succeed or fail, but must not crash or allocate more memory than the frame justifies.
        decode_frame(damaged);
    }
    EXPECT_FALSE(decode_frame(""));
    EXPECT_FALSE(decode_frame(std::string(5000, 'x')));
    // A string that claims more than 2^40 bytes.
    std::string oversized = frame;
    for (int i = 0; i < 8; ++i) {
        oversized[5 + i] = '\x7f';
    }
    EXPECT_FALSE(decode_frame(oversized));
}

Json valid_settings() {
    return Json::parse(R"({"node_name":"n0","location":"a","serve_on":"10.0.0.1:8080",
      "cluster_listen":"10.0.0.1:8081",
      "seeds":[{"node_name":"n1","location":"a","endpoint":"10.0.0.2:8081"}],
      "external":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},
      "params":{"nodes":2,"zones":["a"],
      "teams":[{"name":"t","cpus":1.0,"cpus_max":2.0,"gpus":0.0,"gpus_max":0.0}],
      "objectives":[{"kind":"wait","class":"c","within_s":30.0,"share":0.9}],
      "workers":{"report_s":2.5,"lease_s":14.0,
        "gang_wait_s":30.0,"gang_peer_s":4.0,"cancel_s":34.0},
      "state":{"rps":200.0,"write_rps":25.0,"value_kb":4.0,"txn_ops":8},
      "cloud":{"rps":5.0,"list_lag_s":5.0},
      "machine_limits":{"cores":0.05,"ram_mb":40.0,"fd_limit":600},
      "skew_ms":100.0}})");
}

std::string settings_error(const std::string& json_text) {
    std::vector<std::string> notes;
    try {
        read_platform_settings(json_text, notes);
    } catch (const SettingsError& error) {
        return error.what();
    }
    return "";
}

TEST(Settings, ReadsValidSettings) {
    std::vector<std::string> notes;
    Json settings = valid_settings();
    settings["unheard_of"] = 1;
    settings["params"]["objectives"].push_back(Json{{"kind", "style"}});
    PlatformSettings platform_settings = read_platform_settings(settings.dump(), notes);
    EXPECT_EQ(platform_settings.peers.size(), 1U);
    EXPECT_EQ(platform_settings.start_latency_objectives.size(), 1U);
    EXPECT_DOUBLE_EQ(platform_settings.cancel_s, 34);
    EXPECT_EQ(notes.size(), 1U);  // for the objective of unknown kind
}

// Absent fields of the upcoming store limits default to the current limits. An error names the
// invalid field.
TEST(Settings, ReadsUpcomingStoreLimits) {
    std::vector<std::string> notes;
    Json settings = valid_settings();
    EXPECT_FALSE(read_platform_settings(settings.dump(), notes).next_store_limits);
    settings["params"]["state"]["next"] =
        Json{{"write_rps", 18.0}, {"value_kb", 2.0}, {"unheard_of", 1}};
    PlatformSettings platform_settings = read_platform_settings(settings.dump(), notes);
    ASSERT_TRUE(platform_settings.next_store_limits);
    EXPECT_DOUBLE_EQ(platform_settings.next_store_limits->writes_per_s, 18);
    EXPECT_DOUBLE_EQ(platform_settings.next_store_limits->value_kb, 2);
    EXPECT_EQ(platform_settings.next_store_limits->transaction_operations, 8U);
    EXPECT_DOUBLE_EQ(platform_settings.next_store_limits->requests_per_s, 200);
    EXPECT_DOUBLE_EQ(platform_settings.store_limits.value_kb, 4);
    const std::vector<std::pair<Json, std::string>> invalid{
        {Json{{"value_kb", 0}}, "params.state.next.value_kb"},
        {Json{{"value_kb", -2.0}}, "params.state.next.value_kb"},
        {Json{{"txn_ops", 2}}, "params.state.next.txn_ops"},
        {Json{{"write_rps", "18"}}, "params.state.next.write_rps"},
        {Json{{"rps", 0}}, "params.state.next.rps"},
        {Json::array(), "params.state.next"},
    };
    for (const auto& [next, field] : invalid) {
        settings["params"]["state"]["next"] = next;
        EXPECT_NE(settings_error(settings.dump()).find(field), std::string::npos)
            << next << settings_error(settings.dump());
    }
}

// Machine limits below the recommended minimum are accepted, with one note for each.
TEST(Settings, NotesMachineLimitsBelowTheRecommendedMinimum) {
    std::vector<std::string> notes;
    Json settings = valid_settings();
    settings["params"]["machine_limits"]["fd_limit"] = 64;
    settings["params"]["machine_limits"]["ram_mb"] = 4.0;
    EXPECT_EQ(read_platform_settings(settings.dump(), notes).fd_limit, 64U);
    ASSERT_EQ(notes.size(), 2U);
    EXPECT_NE(notes[0].find("fd_limit"), std::string::npos);
    EXPECT_NE(notes[1].find("ram_mb"), std::string::npos);
}

TEST(Settings, RejectsTextThatIsNotUtf8) {
    std::string text = valid_settings().dump();
    std::string zone = R"("zones":["a"])";
    text.replace(text.find(zone), zone.size(), "\"zones\":[\"R\xfc\"]");
    EXPECT_EQ(settings_error(text), "settings: not valid JSON");
}

TEST(Settings, ErrorNamesTheInvalidField) {
    EXPECT_NE(settings_error("{"), "");
    EXPECT_NE(settings_error("[]"), "");
    struct Case {
        const char* pointer;
        Json value;
        const char* field;
    };
    for (const Case& test_case :
         std::vector<Case>{{"/node_name", "", "node_name"},
                           {"/serve_on", "nowhere", "serve_on"},
                           {"/serve_on", "1.2.3.4:99999", "serve_on"},
                           {"/seeds/0/endpoint", 5, "seeds[0].endpoint"},
                           {"/external/state", nullptr, "external.state"},
                           {"/params/zones", Json::array(), "params.zones"},
                           {"/params/teams/0/cpus", -1, "params.teams[0].cpus"},
                           {"/params/workers/lease_s", 0, "params.workers.lease_s"},
                           {"/params/workers/lease_s", 1, "params.workers.lease_s"},
                           {"/params/state/txn_ops", "8", "params.state.txn_ops"},
                           {"/params/cloud/rps", 0, "params.cloud.rps"}}) {
        Json settings = valid_settings();
        settings[Json::json_pointer(test_case.pointer)] = test_case.value;
        EXPECT_NE(settings_error(settings.dump()).find(test_case.field), std::string::npos)
            << test_case.pointer << " resulted in: " << settings_error(settings.dump());
    }
}

// Guards against a controller that doesn't start because a setting is large, although the
// platform's pages set no limit.
TEST(Settings, AcceptsLargeNumbersWhereThePagesSetNoLimit) {
    for (const char* pointer :
         {"/params/teams/0/cpus", "/params/teams/0/cpus_max", "/params/teams/0/gpus",
          "/params/teams/0/gpus_max", "/params/objectives/0/within_s", "/params/workers/lease_s",
          "/params/workers/gang_wait_s", "/params/workers/gang_peer_s", "/params/workers/cancel_s",
          "/params/state/rps", "/params/state/write_rps", "/params/state/value_kb",
          "/params/state/txn_ops", "/params/cloud/rps", "/params/cloud/list_lag_s",
          "/params/machine_limits/ram_mb", "/params/machine_limits/fd_limit"}) {
        for (double number : {86401.0, 1e10, 1e300}) {
            Json settings = valid_settings();
            settings[Json::json_pointer(pointer)] = number;
            EXPECT_EQ(settings_error(settings.dump()), "") << pointer << " " << number;
        }
    }
    Json settings = valid_settings();
    settings["params"]["workers"]["report_s"] = 7200;
    settings["params"]["workers"]["lease_s"] = 30000;
    EXPECT_EQ(settings_error(settings.dump()), "");
    settings["params"]["state"]["txn_ops"] = 1e300;
    settings["params"]["machine_limits"]["fd_limit"] = 1e300;
    std::vector<std::string> notes;
    PlatformSettings read = read_platform_settings(settings.dump(), notes);
    constexpr std::uint32_t kLargestCount = std::numeric_limits<std::uint32_t>::max();
    EXPECT_EQ(read.store_limits.transaction_operations, kLargestCount);
    EXPECT_EQ(read.fd_limit, kLargestCount);
}

std::string properties_error(const std::string& text) {
    std::string path =
        testing::TempDir() + "walkford-test-" + std::to_string(::getpid()) + ".properties";
    FILE* file = std::fopen(path.c_str(), "w");
    std::fputs(text.c_str(), file);
    std::fclose(file);
    std::string message;
    try {
        std::vector<std::string> notes;
        load_operator_settings({path}, notes);
    } catch (const SettingsError& error) {
        message = error.what();
    }
    std::remove(path.c_str());
    return message;
}

TEST(Properties, ErrorNamesTheInvalidProperty) {
    EXPECT_EQ(properties_error("scale.mark.low = 0.2\nscale.mark.high = 0.9\n"), "");
    EXPECT_NE(
        properties_error("scale.mark.low = 0.9\nscale.mark.high = 0.5\n").find("scale.mark.low"),
        std::string::npos);
    EXPECT_NE(properties_error("scale.mark.high = 1\n").find("scale.mark.high"), std::string::npos);
    EXPECT_NE(properties_error("scale.mark.hihg = 0.9\n").find("scale.mark.hihg"),
              std::string::npos);
    EXPECT_NE(properties_error("scale.order = random\n").find("scale.order"), std::string::npos);
    EXPECT_NE(properties_error("leader.lease_s = soon\n").find("leader.lease_s"),
              std::string::npos);
}

// Names in the settings become part of stored records, which must be UTF-8.
TEST(Properties, RejectsTextThatIsNotUtf8) {
    EXPECT_EQ(properties_error("zone_failover.order = R\xc3\xbc\n"), "");
    EXPECT_NE(properties_error("zone_failover.order = R\xfc\n").find("not UTF-8"),
              std::string::npos);
    EXPECT_EQ(properties_error(""), "");
}

// The error names the file and the property.
TEST(Properties, ErrorNamesTheInvalidZoneFailoverProperty) {
    EXPECT_EQ(properties_error("zone_failover.order = a, b\n"), "");
    EXPECT_EQ(properties_error("zone_failover.order =\n"), "");
    const std::vector<std::pair<std::string, std::string>> invalid{
        {"zone_failover.order = a, b, a\n", "zone_failover.order"},
        {"zone_failover.order = a,, b\n", "zone_failover.order"},
        {"zone_failover.ramp.first_share = 1.5\n", "zone_failover.ramp.first_share"},
        {"zone_failover.confirm_s = -1\n", "zone_failover.confirm_s"},
        {"zone_failover.hold_s = long\n", "zone_failover.hold_s"},
        {"zone_failover.recover_share = 0.6\n", "zone_failover.recover_share"},
        {"zone_failover.lost_share = 0.4\n", "zone_failover.suspect_share"},
        {"zone_failover.flap.reuse = 2\n", "zone_failover.flap.reuse"},
        {"zone_failover.unheard_of = 1\n", "zone_failover.unheard_of"},
    };
    for (const auto& [text, field] : invalid) {
        std::string message = properties_error(text);
        EXPECT_NE(message.find(field), std::string::npos) << text << " -> " << message;
        EXPECT_NE(message.find("properties "), std::string::npos)
            << "does not name the file: " << message;
    }
}

TEST(Properties, LaterFileTakesPrecedenceWithANote) {
    auto write_file = [](const std::string& path, const char* text) {
        std::ofstream(path) << text;
    };
    std::string first = testing::TempDir() + "walkford-first-" + std::to_string(getpid());
    std::string second = testing::TempDir() + "walkford-second-" + std::to_string(getpid());
    write_file(first, "place.rise_s = 50\nplace.gather = 1\n");
    write_file(second, "place.rise_s = 70\n");
    std::vector<std::string> notes;
    OperatorSettings operator_settings = load_operator_settings({first, second}, notes);
    EXPECT_EQ(operator_settings.priority_aging_s, 70);
    EXPECT_EQ(operator_settings.max_reserving_gangs, 1U);
    ASSERT_EQ(notes.size(), 1U);
    EXPECT_NE(notes[0].find("place.rise_s"), std::string::npos);
    std::remove(first.c_str());
    std::remove(second.c_str());
}

TEST(Properties, NotesAClassThatNoObjectiveNames) {
    OperatorSettings operator_settings;
    operator_settings.zone_failover.evacuation_order = {"known", "unknown"};
    PlatformSettings platform_settings;
    platform_settings.objective_classes = {"known"};
    std::vector<std::string> notes;
    note_unknown_classes(operator_settings, platform_settings, notes);
    ASSERT_EQ(notes.size(), 1U);
    EXPECT_NE(notes[0].find("'unknown'"), std::string::npos);
}

std::string read_file(const std::string& path) {
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

// The deployed files list every property, each with its default, except that the failover file
// enables zone failover for two classes.
TEST(Properties, DeployedFilesListAllPropertiesWithTheirDefaults) {
    std::vector<std::string> notes;
    std::string general = std::string(WALKFORD_DEPLOY) + "/walkford.properties";
    EXPECT_EQ(load_operator_settings({general}, notes), OperatorSettings{});
    std::string failover = std::string(WALKFORD_DEPLOY) + "/zone_failover.properties";
    OperatorSettings expected;
    expected.zone_failover.enabled = true;
    expected.zone_failover.evacuation_order = {"ledger-close", "risk-score"};
    EXPECT_EQ(load_operator_settings({general, failover}, notes), expected);
    EXPECT_TRUE(notes.empty());
    std::string deployed = read_file(general) + read_file(failover);
    for (const std::string& name : property_names()) {
        EXPECT_NE(deployed.find("\n" + name + " = "), std::string::npos)
            << name << " is not in the deployed files";
    }
}

}  // namespace
}  // namespace walkford::protocol
