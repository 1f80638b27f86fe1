// The wire, the settings and the peers' frames, with what strangers and mistakes send.
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

namespace walkford::protocol {
namespace {

Json good_job() {
    return Json{
        {"uid", "j-000412"}, {"lane", "train"},    {"owner", "vision"}, {"shape", "ensemble"},
        {"rank", "high"},    {"pieces", 16},       {"vcpus", 8.0},      {"gpus", 1.0},
        {"ramGb", 64.0},     {"bundle", "img-07"}, {"imageGb", 6.2},    {"builds", {"g8"}},
        {"yard", nullptr},   {"samePlace", true},  {"spread", false},   {"loaners", true},
        {"guessS", 240.0},   {"bookmarkS", 30.0},  {"stashS", 4.0},     {"dueS", 900.0}};
}

int code_of(const std::string& body, std::string_view path = "/work", Method m = Method::post) {
    ParsedRequest a = parse_request(1, m, path, body);
    auto* reply = std::get_if<HttpResponse>(&a);
    return reply ? reply->code : 200;
}

TEST(Wire, ReadsAJob) {
    ParsedRequest a = parse_request(7, Method::post, "/work", pack(good_job()));
    ASSERT_TRUE(std::holds_alternative<Input>(a));
    const auto& q = std::get<SubmitRequest>(std::get<Input>(a));
    EXPECT_EQ(q.request, 7U);
    EXPECT_EQ(q.spec.id, "j-000412");
    EXPECT_TRUE(q.spec.gang());
    EXPECT_EQ(q.spec.tasks, 16U);
    EXPECT_EQ(q.spec.priority, Priority::high);
    EXPECT_DOUBLE_EQ(q.spec.task_resources.ram, 64.0);
    EXPECT_DOUBLE_EQ(q.spec.deadline_s, 900.0);
    EXPECT_EQ(q.machine_type_names, std::vector<std::string>{"g8"});
    EXPECT_FALSE(q.zone_named);
}

// A service has no end that could be estimated, whatever its user guessed.
TEST(Wire, ReadsAService) {
    Json body = good_job();
    body["shape"] = "service";
    body["guessS"] = 30.0;
    auto arrival = parse_request(7, Method::post, "/work", pack(body));
    auto* input = std::get_if<Input>(&arrival);
    ASSERT_TRUE(input);
    const auto& q = std::get<SubmitRequest>(*input);
    EXPECT_EQ(q.spec.shape, JobShape::service);
    EXPECT_DOUBLE_EQ(q.spec.estimate_s, 0);
    EXPECT_EQ(q.spec.needed_at_once(), q.spec.tasks);
}

TEST(Wire, EveryFieldIsLookedAt) {
    const Json whole = good_job();
    for (const auto& [field, value] : whole.items()) {
        bool nullable = field == "builds" || field == "yard" || field == "dueS";
        Json without = good_job();
        without.erase(field);
        EXPECT_EQ(code_of(pack(without)), nullable ? 200 : 400) << "without " << field;
        Json null = good_job();
        null[field] = nullptr;
        EXPECT_EQ(code_of(pack(null)), nullable ? 200 : 400) << "null " << field;
        Json odd = good_job();
        odd[field] = Json::array({Json::object()});
        EXPECT_EQ(code_of(pack(odd)), 400) << "odd " << field;
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
        Json job = good_job();
        job[field] = value;
        EXPECT_EQ(code_of(pack(job)), 400) << field;
    }
}

TEST(Wire, NumbersAreReadTolerantly) {
    Json job = good_job();
    job["pieces"] = 16.0;
    job["vcpus"] = 8;
    job["surprise"] = Json{{"deep", 1}};
    EXPECT_EQ(code_of(pack(job)), 200);
}

TEST(Wire, HostileBodiesAreRefusedCheaply) {
    EXPECT_EQ(code_of(""), 400);
    EXPECT_EQ(code_of("not msgpack at all"), 400);
    EXPECT_EQ(code_of(pack(good_job()) + "x"), 400);                  // trailing bytes
    EXPECT_EQ(code_of(pack(Json::array({1}))), 400);                  // not a map
    EXPECT_EQ(code_of(std::string(10000, '\x91')), 400);              // 10,000 deep
    EXPECT_EQ(code_of(std::string("\xdd\xff\xff\xff\xff", 5)), 400);  // 4 GiB of items
    EXPECT_EQ(code_of(std::string("\xdf\xff\xff\xff\xff", 5)), 400);
    EXPECT_EQ(code_of(std::string("\xdb\xff\xff\xff\xff", 5) + "abc"), 400);  // 4 GiB of text
    EXPECT_EQ(code_of(std::string("\xc4\x01\x00", 3)), 400);                  // binary
    EXPECT_EQ(code_of(std::string("\x81\x01\x02", 3)), 400);                  // key that is no text
    EXPECT_EQ(code_of(std::string(70000, '\x01')), 400);                      // over 64 KiB
}

TEST(Wire, MutatedBodiesNeverHarm) {
    std::mt19937 rng(3);
    Json heartbeat{{"walker", "host-000231"},
                   {"endpoint", "10.1.0.232:9000"},
                   {"build", "g8"},
                   {"yard", "a"},
                   {"loaners", true},
                   {"stint", 1},
                   {"tick", 88},
                   {"baton", 41},
                   {"warningS", nullptr},
                   {"pieces", {{{"piece", "j-000412/3"}, {"try", 2}, {"status", "running"}}}}};
    std::string whole[2] = {pack(good_job()), pack(heartbeat)};
    const char* paths[2] = {"/work", "/agent/beat"};
    int accepted = 0;
    for (int i = 0; i < 20000; ++i) {
        std::string body = whole[i % 2];
        for (unsigned k = 0; k <= rng() % 4; ++k) {
            body[rng() % body.size()] = static_cast<char>(rng());
        }
        if (rng() % 3 == 0) {
            body.resize(rng() % body.size());
        }
        int code = code_of(body, paths[i % 2]);
        EXPECT_TRUE(code == 200 || code == 400) << code;
        accepted += code == 200;
    }
    EXPECT_GT(accepted, 0);
    EXPECT_LT(accepted, 20000);
}

TEST(Wire, Paths) {
    EXPECT_EQ(code_of("", "/nowhere"), 404);
    EXPECT_EQ(code_of("", "/work/j-1/2", Method::get), 404);
    EXPECT_EQ(code_of("", "/work/../w/leader", Method::get), 404);
    EXPECT_EQ(code_of("", "/work/" + std::string(5000, 'j'), Method::get), 404);
    EXPECT_EQ(code_of("", "/work/j-000412", Method::del), 405);
    EXPECT_EQ(code_of("", "/work", Method::get), 405);
    EXPECT_EQ(code_of("", "/ready", Method::post), 405);
    EXPECT_EQ(code_of("", "/work/j-000412", Method::get), 200);
    EXPECT_EQ(code_of("", "/work/j-000412/cancel", Method::post), 200);
}

TEST(Wire, BeatsWithoutNeededFieldsAreRefused) {
    Json heartbeat{{"walker", "host-1"},
                   {"endpoint", "1.2.3.4:5"},
                   {"build", "k"},
                   {"yard", "a"},
                   {"loaners", false},
                   {"stint", 1},
                   {"tick", 1},
                   {"baton", 0},
                   {"pieces", Json::array()}};
    EXPECT_EQ(code_of(pack(heartbeat), "/agent/beat"), 200);
    for (const char* field : {"walker", "stint", "tick", "baton", "pieces"}) {
        Json without = heartbeat;
        without.erase(field);
        EXPECT_EQ(code_of(pack(without), "/agent/beat"), 400) << field;
    }
}

TEST(Wire, NoCapacityIsToldFromAnOutage) {
    Names names;
    CloudRequest call;
    call.operation = CloudOperation::scale_out;
    EXPECT_EQ(decode_cloud_response(call, 503, pack(Json{{"error", "no capacity"}}), names).status,
              CloudCallStatus::no_capacity);
    EXPECT_EQ(decode_cloud_response(call, 503, pack(Json{{"error", "trouble"}}), names).status,
              CloudCallStatus::unavailable);
    EXPECT_EQ(decode_cloud_response(call, 503, "", names).status, CloudCallStatus::unavailable);
}

TEST(Wire, AnAnswerOfTheStateServiceThatIsNotUnderstoodCountsAsNone) {
    StoreRequest call;
    call.operation = StoreOperation::transaction;
    EXPECT_EQ(decode_store_response(call, 200, "garbage").status, StoreStatus::no_response);
    call.operation = StoreOperation::list;
    EXPECT_EQ(decode_store_response(call, 200, pack(Json{{"rows", {{{"k", 5}}}}})).status,
              StoreStatus::no_response);
}

TEST(Peers, FramesComeBackAndDamagedOnesAreDropped) {
    PeerHeartbeat f;
    f.controller = "n1";
    f.incarnation = "abc";
    f.sequence = 9;
    f.fencing_token = 77;
    f.leader = "n2";
    f.ms_since_store_response = -1;
    f.revision = 77;
    std::string frame = encode_frame(f).substr(4);
    auto back = decode_frame(frame);
    ASSERT_TRUE(back);
    EXPECT_EQ(back->fencing_token, 77U);
    EXPECT_EQ(back->leader, "n2");
    EXPECT_EQ(back->ms_since_store_response, -1);
    EXPECT_EQ(back->revision, 77U);
    std::mt19937 rng(5);
    for (int i = 0; i < 5000; ++i) {
        std::string bad = frame;
        bad[rng() % bad.size()] = static_cast<char>(rng());
        if (rng() % 4 == 0) {
            bad.resize(rng() % bad.size());
        }
        decode_frame(bad);  // may be refused or read; never more memory than a frame is worth
    }
    EXPECT_FALSE(decode_frame(""));
    EXPECT_FALSE(decode_frame(std::string(5000, 'x')));
    // A text that claims 2^40 bytes.
    std::string huge = frame;
    for (int i = 0; i < 8; ++i) {
        huge[5 + i] = '\x7f';
    }
    EXPECT_FALSE(decode_frame(huge));
}

Json good_settings() {
    return Json::parse(R"({"node_name":"n0","location":"a","serve_on":"10.0.0.1:8080",
      "cluster_listen":"10.0.0.1:8081","seeds":[{"node_name":"n1","location":"a","endpoint":"10.0.0.2:8081"}],
      "external":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},
      "params":{"nodes":2,"zones":["a"],"teams":[{"name":"t","cpus":1.0,"cpus_max":2.0,"gpus":0.0,"gpus_max":0.0}],
      "objectives":[{"kind":"wait","class":"c","within_s":30.0,"share":0.9}],
      "workers":{"report_s":2.5,"lease_s":14.0,"gang_wait_s":30.0,"gang_peer_s":4.0,"cancel_s":34.0},
      "state":{"rps":200.0,"write_rps":25.0,"value_kb":4.0,"txn_ops":8},
      "cloud":{"rps":5.0,"list_lag_s":5.0},"machine_limits":{"cores":0.05,"ram_mb":40.0,"fd_limit":600},
      "skew_ms":100.0}})");
}

std::string refusal(const std::string& text) {
    std::vector<std::string> notes;
    try {
        read_platform_settings(text, notes);
    } catch (const SettingsError& e) {
        return e.what();
    }
    return "";
}

TEST(Settings, GoodOnesAreRead) {
    std::vector<std::string> notes;
    Json s = good_settings();
    s["unheard_of"] = 1;
    s["params"]["objectives"].push_back(Json{{"kind", "style"}});
    PlatformSettings p = read_platform_settings(s.dump(), notes);
    EXPECT_EQ(p.peers.size(), 1U);
    EXPECT_EQ(p.start_latency_objectives.size(), 1U);
    EXPECT_DOUBLE_EQ(p.cancel_s, 34);
    EXPECT_EQ(notes.size(), 1U);  // the objective of unknown kind
}

// The limits to come: what is absent stays as it is; what can't be is named by its field.
TEST(Settings, LimitsToComeAreRead) {
    std::vector<std::string> notes;
    Json s = good_settings();
    EXPECT_FALSE(read_platform_settings(s.dump(), notes).next_store_limits);
    s["params"]["state"]["next"] = Json{{"write_rps", 18.0}, {"value_kb", 2.0}, {"unheard_of", 1}};
    PlatformSettings p = read_platform_settings(s.dump(), notes);
    ASSERT_TRUE(p.next_store_limits);
    EXPECT_DOUBLE_EQ(p.next_store_limits->writes_per_s, 18);
    EXPECT_DOUBLE_EQ(p.next_store_limits->value_kb, 2);
    EXPECT_EQ(p.next_store_limits->transaction_operations, 8U);
    EXPECT_DOUBLE_EQ(p.next_store_limits->requests_per_s, 200);
    EXPECT_DOUBLE_EQ(p.store_limits.value_kb, 4);
    const std::vector<std::pair<Json, std::string>> bad{
        {Json{{"value_kb", 0}}, "params.state.next.value_kb"},
        {Json{{"value_kb", -2.0}}, "params.state.next.value_kb"},
        {Json{{"txn_ops", 2}}, "params.state.next.txn_ops"},
        {Json{{"write_rps", "18"}}, "params.state.next.write_rps"},
        {Json{{"rps", 0}}, "params.state.next.rps"},
        {Json::array(), "params.state.next"},
    };
    for (const auto& [next, field] : bad) {
        s["params"]["state"]["next"] = next;
        EXPECT_NE(refusal(s.dump()).find(field), std::string::npos) << next << refusal(s.dump());
    }
}

// Less than the deployment needs is served with what there is, and said in one line each.
TEST(Settings, FewSocketsAndLittleMemoryAreSaid) {
    std::vector<std::string> notes;
    Json s = good_settings();
    s["params"]["machine_limits"]["fd_limit"] = 64;
    s["params"]["machine_limits"]["ram_mb"] = 4.0;
    EXPECT_EQ(read_platform_settings(s.dump(), notes).fd_limit, 64U);
    ASSERT_EQ(notes.size(), 2U);
    EXPECT_NE(notes[0].find("fd_limit"), std::string::npos);
    EXPECT_NE(notes[1].find("ram_mb"), std::string::npos);
}

TEST(Settings, BadOnesNameTheField) {
    EXPECT_NE(refusal("{"), "");
    EXPECT_NE(refusal("[]"), "");
    struct Case {
        const char* pointer;
        Json value;
        const char* field;
    };
    for (const Case& c : std::vector<Case>{{"/node_name", "", "node_name"},
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
        Json s = good_settings();
        s[Json::json_pointer(c.pointer)] = c.value;
        EXPECT_NE(refusal(s.dump()).find(c.field), std::string::npos)
            << c.pointer << " gave: " << refusal(s.dump());
    }
}

std::string operator_settings_refusal(const std::string& text) {
    std::string path =
        testing::TempDir() + "walkford-test-" + std::to_string(::getpid()) + ".properties";
    FILE* f = std::fopen(path.c_str(), "w");
    std::fputs(text.c_str(), f);
    std::fclose(f);
    std::string said;
    try {
        std::vector<std::string> notes;
        load_operator_settings({path}, notes);
    } catch (const SettingsError& e) {
        said = e.what();
    }
    std::remove(path.c_str());
    return said;
}

TEST(Properties, AreChecked) {
    EXPECT_EQ(operator_settings_refusal("scale.mark.low = 0.2\nscale.mark.high = 0.9\n"), "");
    EXPECT_NE(operator_settings_refusal("scale.mark.low = 0.9\nscale.mark.high = 0.5\n")
                  .find("scale.mark.low"),
              std::string::npos);
    EXPECT_NE(operator_settings_refusal("scale.mark.high = 1\n").find("scale.mark.high"),
              std::string::npos);
    EXPECT_NE(operator_settings_refusal("scale.mark.hihg = 0.9\n").find("scale.mark.hihg"),
              std::string::npos);
    EXPECT_NE(operator_settings_refusal("scale.order = random\n").find("scale.order"),
              std::string::npos);
    EXPECT_NE(operator_settings_refusal("leader.lease_s = soon\n").find("leader.lease_s"),
              std::string::npos);
}

// What is wrong is said with the file and the field.
TEST(Properties, OfZoneFailoverAreChecked) {
    EXPECT_EQ(operator_settings_refusal("zone_failover.order = a, b\n"), "");
    EXPECT_EQ(operator_settings_refusal("zone_failover.order =\n"), "");
    const std::vector<std::pair<std::string, std::string>> wrong{
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
    for (const auto& [text, field] : wrong) {
        std::string said = operator_settings_refusal(text);
        EXPECT_NE(said.find(field), std::string::npos) << text << " -> " << said;
        EXPECT_NE(said.find("properties "), std::string::npos) << "names the file: " << said;
    }
}

TEST(Properties, OfTheLaterFileCountAndThatIsSaid) {
    auto write = [](const std::string& path, const char* text) { std::ofstream(path) << text; };
    std::string first = testing::TempDir() + "walkford-first-" + std::to_string(getpid());
    std::string second = testing::TempDir() + "walkford-second-" + std::to_string(getpid());
    write(first, "place.rise_s = 50\nplace.gather = 1\n");
    write(second, "place.rise_s = 70\n");
    std::vector<std::string> notes;
    OperatorSettings operator_settings = load_operator_settings({first, second}, notes);
    EXPECT_EQ(operator_settings.priority_aging_s, 70);
    EXPECT_EQ(operator_settings.max_reserving_gangs, 1U);
    ASSERT_EQ(notes.size(), 1U);
    EXPECT_NE(notes[0].find("place.rise_s"), std::string::npos);
    std::remove(first.c_str());
    std::remove(second.c_str());
}

TEST(Properties, AClassThatNoObjectiveNamesIsNoted) {
    OperatorSettings operator_settings;
    operator_settings.zone_failover.order = {"known", "unknown"};
    PlatformSettings platform_settings;
    platform_settings.classes = {"known"};
    std::vector<std::string> notes;
    note_unknown_classes(operator_settings, platform_settings, notes);
    ASSERT_EQ(notes.size(), 1U);
    EXPECT_NE(notes[0].find("'unknown'"), std::string::npos);
}

std::string text_of(const std::string& path) {
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

TEST(Properties, OfTheDeploymentStateTheDefaults) {
    std::vector<std::string> notes;
    std::string general = std::string(WALKFORD_DEPLOY) + "/walkford.properties";
    EXPECT_EQ(load_operator_settings({general}, notes), OperatorSettings{});
    std::string failover = std::string(WALKFORD_DEPLOY) + "/zone_failover.properties";
    OperatorSettings switched_on;
    switched_on.zone_failover.enabled = true;
    switched_on.zone_failover.order = {"ledger-close", "risk-score"};
    EXPECT_EQ(load_operator_settings({general, failover}, notes), switched_on);
    EXPECT_TRUE(notes.empty());
    std::string stated = text_of(general) + text_of(failover);
    for (const std::string& name : property_names()) {
        EXPECT_NE(stated.find("\n" + name + " = "), std::string::npos) << name << " is not stated";
    }
}

}  // namespace
}  // namespace walkford::protocol
