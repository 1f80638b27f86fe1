// Tests zone failover with the real program. The controllers and workers of two zones are in two
// simulated IPv4 networks on loopback, connected to each other and to the services through a proxy
// that can cut traffic by network and direction. Scaled down to eight machines and leases of 8 s;
// takes about a minute.
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>

#include <algorithm>
#include <fstream>
#include <thread>

#include "loopback/platform_documents.hpp"
#include "loopback/stub_services.hpp"
#include "loopback/worker_fleet.hpp"
#include "loopback/zone_proxy.hpp"

namespace walkford::transport {
namespace {

using protocol::HttpRequest;
using protocol::Method;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kControllerCount = 3;
constexpr const char* kZoneANetwork = "127.1.0.0/16";
constexpr const char* kAllNetworks = "0.0.0.0/0";
constexpr const char* kStoreIp = "127.3.0.1";
constexpr const char* kCloudIp = "127.3.0.2";
const std::string kControllerIp[kControllerCount] = {"127.1.0.10", "127.2.0.10", "127.2.0.11"};
const std::string kControllerZone[kControllerCount] = {"a", "b", "b"};
const std::map<std::string, std::string> kWorkerIp{{"a", "127.1.1.1"}, {"b", "127.2.1.1"}};

constexpr const char* kFailoverProperties =
    "zone_failover.enabled = 1\n"
    "zone_failover.order = closing, scoring\n"
    "zone_failover.least_machines = 2\n"
    "zone_failover.confirm_s = 2\n"
    "zone_failover.return_s = 3\n"
    "zone_failover.ramp.span_s = 5\n"
    "zone_failover.ramp.fetches_per_machine = 1\n"
    "zone_failover.ramp.fetches_per_zone = 2\n"
    "zone_failover.wait_most_s = 20\n"
    "machines.lost_return_s = 300\n";

class ZoneLoopback : public testing::Test {
  protected:
    void SetUp() override {
        store_server = std::make_unique<StubHttpServer>(
            base.get(),
            [this](auto& method, auto& path, auto& body) {
                return store.handle_request(method, path, body);
            },
            kStoreIp);
        cloud_server = std::make_unique<StubHttpServer>(
            base.get(), [](auto&, auto& path, auto&) { return respond_as_cloud(path); }, kCloudIp);
        for (int i = 0; i < kControllerCount; ++i) {
            serve_addresses[i] =
                kControllerIp[i] + ":" + std::to_string(free_port(kControllerIp[i].c_str()));
            peer_addresses[i] =
                kControllerIp[i] + ":" + std::to_string(free_port(kControllerIp[i].c_str()));
        }
        WorkerFleet::Clients clients;
        for (const auto& [zone, ip] : kWorkerIp) {
            for (const std::string& controller : serve_addresses) {
                clients[zone].push_back(std::make_unique<HttpClient>(
                    base.get(), proxy.link(ip, controller), 8, 3000, true));
            }
        }
        fleet = std::make_unique<WorkerFleet>(std::move(clients), jobs);
        for (int i = 0; i < 8; ++i) {
            fleet->add_worker("host-" + std::to_string(i), i < 4 ? "a" : "b");
        }
        for (const std::string& controller : serve_addresses) {
            users.push_back(std::make_unique<HttpClient>(base.get(), controller, 4, 3000, true));
        }
        // A controller in zone b leads. The loss of a zone that contains the leader is covered by
        // the simulation tests: only the cloud can confirm that tasks placed by an earlier leader
        // are gone, which takes most of a minute.
        start_controller(1);
        start_controller(2);
        ASSERT_TRUE(run_until([this] { return store.rows.count("w/leader") > 0; }));
        start_controller(0);
    }
    void TearDown() override {
        for (pid_t pid : pids) {
            kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
        }
    }
    static std::pair<int, Json> respond_as_cloud(const std::string& path) {
        if (path == "/flavors") {
            return {200, machine_types_document({"a", "b"})};
        }
        if (path.rfind("/machines?", 0) != 0) {
            return {503, Json{{"error", "no capacity"}}};
        }
        Json machines = Json::array();
        for (int i = 0; i < 8; ++i) {
            machines.push_back(machine_document("host-" + std::to_string(i), i < 4 ? "a" : "b"));
        }
        return {200, Json{{"walkers", machines}, {"truncated", false}}};
    }
    Json controller_settings(int i) {
        Json seeds = Json::array();
        for (int k = 0; k < kControllerCount; ++k) {
            if (k != i) {
                seeds.push_back(seed_document("n" + std::to_string(k), kControllerZone[k],
                                              proxy.link(kControllerIp[i], peer_addresses[k])));
            }
        }
        return settings_document({"n" + std::to_string(i),
                                  kControllerZone[i],
                                  serve_addresses[i],
                                  peer_addresses[i],
                                  seeds,
                                  proxy.link(kControllerIp[i], cloud_server->address),
                                  proxy.link(kControllerIp[i], store_server->address),
                                  kControllerCount,
                                  {"a", "b"}});
    }
    void start_controller(int i) {
        std::string stem = testing::TempDir() + "walkford-zones-" + std::to_string(getpid()) + "-" +
                           std::to_string(i);
        std::ofstream(stem + ".json") << controller_settings(i).dump();
        std::ofstream(stem + ".properties") << kFailoverProperties;
        pid_t pid = fork();
        if (pid == 0) {
            setenv("LOG_LEVEL", "error", 0);
            execl(WALKFORD_BINARY, "walkford", "--properties", WALKFORD_PROPERTIES, "--properties",
                  (stem + ".properties").c_str(), "--config", (stem + ".json").c_str(), nullptr);
            _exit(127);
        }
        pids.push_back(pid);
    }
    // Runs the event loop until the condition holds. The limit is generous so that the test does
    // not fail on a busy machine.
    bool run_until(const std::function<bool()>& condition, seconds limit = seconds(90)) {
        auto end = Clock::now() + limit;
        while (!condition()) {
            if (Clock::now() > end) {
                return false;
            }
            fleet->step();
            event_base_loop(base.get(), EVLOOP_NONBLOCK);
            std::this_thread::sleep_for(milliseconds(2));
        }
        return true;
    }
    void pause(milliseconds duration) {
        run_until([end = Clock::now() + duration] { return Clock::now() > end; });
    }
    std::pair<int, Json> send_request(int controller, Method method, const std::string& path,
                                      const std::string& body = "") {
        int code = -1;
        Json answer;
        users[controller]->send(HttpRequest{method, path, body},
                                [&](int status, std::string_view response_body) {
                                    code = status;
                                    answer = unpack(response_body).value_or(Json());
                                });
        EXPECT_TRUE(run_until([&] { return code >= 0; }));
        return {code, answer};
    }
    void submit(int controller, const std::string& job_class, milliseconds run_time) {
        std::string id = "j-" + std::to_string(100000 + jobs.size());
        jobs[id] = {job_class, "img-" + job_class, run_time};
        std::string body =
            pack(submission_document({id, job_class, "batch", 1, 4.0, "img-" + job_class, 20.0}));
        for (int i = 0; i < 100; ++i) {
            int code = send_request(controller, Method::post, "/work", body).first;
            if (code == 200 || code == 201) {
                return;
            }
            pause(milliseconds(100));
        }
        ADD_FAILURE() << "job " << id << " was not accepted after 100 attempts";
    }
    std::string status(int controller, const std::string& id) {
        return send_request(controller, Method::get, "/work/" + id).second.value("status", "");
    }
    std::string zone_state(const char* field = "s") {
        auto row = store.rows.find("w/z/a");
        return row == store.rows.end() ? "" : row->second.first.at(field).dump();
    }
    bool wait_for_zone_state(const char* wanted) {
        return run_until([&] { return zone_state() == "\"" + std::string(wanted) + "\""; });
    }
    void lose_zone_a() {
        proxy.cut(kZoneANetwork, kAllNetworks);
        proxy.cut(kAllNetworks, kZoneANetwork);
    }
    std::size_t started_tasks() const { return fleet->task_starts.size(); }
    // For each job of the class that was started in zone a before `lost_at`: the time of its first
    // start since then, if any.
    std::vector<Clock::time_point> restart_times(const std::string& job_class,
                                                 Clock::time_point lost_at) const {
        std::vector<Clock::time_point> times;
        for (const auto& [id, job] : jobs) {
            auto ran_in_zone_a = [&, job_id = id](const TaskStart& start) {
                return start.job == job_id && start.zone == "a" && start.at < lost_at;
            };
            auto is_restart = [&, job_id = id](const TaskStart& start) {
                return start.job == job_id && start.at >= lost_at;
            };
            const auto& all_starts = fleet->task_starts;
            auto next = std::find_if(all_starts.begin(), all_starts.end(), is_restart);
            if (job.job_class == job_class && next != all_starts.end() &&
                std::any_of(all_starts.begin(), all_starts.end(), ran_in_zone_a)) {
                times.push_back(next->at);
            }
        }
        return times;
    }

    EventBase base{event_base_new()};
    ZoneProxy proxy{base.get()};
    StubStore store;
    std::unique_ptr<StubHttpServer> store_server, cloud_server;
    std::string serve_addresses[kControllerCount], peer_addresses[kControllerCount];
    std::vector<pid_t> pids;
    std::map<std::string, JobDescription> jobs;
    std::unique_ptr<WorkerFleet> fleet;
    std::vector<std::unique_ptr<HttpClient>> users;
};

TEST_F(ZoneLoopback, DisplacedJobsRestartInOrderAndCompleteOnce) {
    for (int i = 0; i < kControllerCount; ++i) {
        EXPECT_TRUE(run_until([&] { return send_request(i, Method::get, "/ready").first == 200; }));
    }
    ASSERT_TRUE(run_until([&] { return store.rows.count("w/v/n2") > 0; }));
    pause(seconds(2));
    // Eight jobs of three classes fill zone a. The class that is first in zone_failover.order is
    // submitted last.
    for (const auto& [job_class, count] :
         std::vector<std::pair<std::string, int>>{{"other", 3}, {"scoring", 3}, {"closing", 2}}) {
        for (int i = 0; i < count; ++i) {
            submit(1, job_class, seconds(24));
        }
    }
    ASSERT_TRUE(run_until([&] { return started_tasks() == 8; }));
    // Jobs that finish one after another fill zone b.
    for (int i = 0; i < 8; ++i) {
        submit(1, "filling", milliseconds(13000 + 1500 * i));
    }
    ASSERT_TRUE(run_until([&] { return started_tasks() == 16; }));
    auto started_in_zone_a =
        std::count_if(fleet->task_starts.begin(), fleet->task_starts.end(),
                      [](const TaskStart& start) { return start.zone == "a"; });
    EXPECT_EQ(started_in_zone_a, 8);

    lose_zone_a();
    auto lost_at = Clock::now();
    ASSERT_TRUE(wait_for_zone_state("lost"));
    ASSERT_TRUE(run_until([&] { return started_tasks() >= 24; }))
        << "not all displaced jobs were restarted in zone b";
    auto closing = restart_times("closing", lost_at);
    auto scoring = restart_times("scoring", lost_at);
    auto other = restart_times("other", lost_at);
    ASSERT_GT(closing.size(), 0U);
    ASSERT_GT(scoring.size(), 0U);
    ASSERT_GT(other.size(), 0U);
    // Orders are sent in the responses to heartbeats, which are half a second apart, so that starts
    // may be out of order by a few heartbeats.
    constexpr milliseconds kOrderDelayTolerance{1500};
    auto latest = [](const auto& times) { return *std::max_element(times.begin(), times.end()); };
    auto first = [](const auto& times) { return *std::min_element(times.begin(), times.end()); };
    EXPECT_LE(latest(closing), first(scoring) + kOrderDelayTolerance);
    EXPECT_LE(latest(scoring), first(other) + kOrderDelayTolerance);

    // Zone a returns with cold caches: its machines have lost their images, and the ramp limits how
    // many they fetch at the same time.
    proxy.heal();
    fleet->max_concurrent_fetches.clear();
    ASSERT_TRUE(wait_for_zone_state("returning"));
    for (int i = 0; i < 6; ++i) {
        submit(0, "late" + std::to_string(i), seconds(3));
    }
    pause(seconds(2));
    EXPECT_LE(fleet->max_concurrent_fetches["a"], 2U);
    // A second loss during the recovery ramp is a flap, so that the zone is suppressed.
    lose_zone_a();
    ASSERT_TRUE(wait_for_zone_state("lost"));
    proxy.heal();
    EXPECT_EQ(zone_state("d"), "true") << "the second loss did not suppress the zone";
    EXPECT_EQ(zone_state("f"), "1");
    pause(seconds(6));
    EXPECT_EQ(zone_state(), "\"lost\"")
        << "a suppressed zone returned although only return_s had passed";

    for (const auto& [id, job] : jobs) {
        for (int controller = 0; controller < kControllerCount; ++controller) {
            EXPECT_TRUE(run_until([&, job_id = id] {
                return status(controller, job_id) == "done";
            })) << "job "
                << id << " of class " << job.job_class;
        }
        EXPECT_EQ(fleet->completions[id], 1) << "job " << id << " of class " << job.job_class;
    }
}

}  // namespace
}  // namespace walkford::transport
