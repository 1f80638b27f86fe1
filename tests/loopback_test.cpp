// Tests the real program on loopback: three controller processes with stubs of the store, the cloud
// and one worker. One job is accepted, run and reported as done, another is cancelled, and the
// leader is killed in between. Also tests the HTTP server's connection limit and the command line.
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <map>
#include <thread>

#include "loopback/platform_documents.hpp"
#include "loopback/stub_services.hpp"
#include "protocol/messagepack_codec.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

namespace walkford::transport {
namespace {

using protocol::HttpRequest;
using protocol::Method;
using protocol::pack;
using protocol::unpack;

class Loopback : public testing::Test {
  protected:
    void SetUp() override {
        store_server = std::make_unique<StubHttpServer>(
            base.get(), [this](auto& method, auto& path, auto& body) {
                return store.handle_request(method, path, body);
            });
        cloud_server = std::make_unique<StubHttpServer>(
            base.get(), [](const std::string&, const std::string& path, const Json&) {
                if (path == "/flavors") {
                    return std::pair{200, machine_types_document({"a"})};
                }
                if (path.rfind("/machines?", 0) == 0) {
                    Json machines = Json::array({machine_document("host-1", "a")});
                    return std::pair{200, Json{{"walkers", machines}, {"truncated", false}}};
                }
                return std::pair{503, Json{{"error", "no capacity"}}};
            });
        for (int i = 0; i < 3; ++i) {
            serve_addresses[i] = "127.0.0.1:" + std::to_string(free_port());
            peer_addresses[i] = "127.0.0.1:" + std::to_string(free_port());
        }
        for (int i = 0; i < 3; ++i) {
            binaries[i] = initial_binary();
            start_controller(i);
            clients[i] =
                std::make_unique<HttpClient>(base.get(), serve_addresses[i], 4, 3000, true);
        }
    }
    void TearDown() override {
        for (pid_t pid : pids) {
            if (pid > 0) {
                kill(pid, SIGKILL);
                waitpid(pid, nullptr, 0);
            }
        }
    }
    virtual const char* initial_binary() const { return WALKFORD_BINARY; }
    void kill_controller(int i) {
        kill(pids[i], SIGKILL);
        waitpid(pids[i], nullptr, 0);
        pids[i] = 0;
    }
    int leader() const {
        auto row = store.rows.find("w/leader");
        return row == store.rows.end() ? -1 : row->second.first["node"].get<std::string>()[1] - '0';
    }
    void start_controller(int i) {
        Json seeds = Json::array();
        for (int k = 0; k < 3; ++k) {
            if (k != i) {
                seeds.push_back(seed_document("n" + std::to_string(k), "a", peer_addresses[k]));
            }
        }
        Json settings = settings_document({"n" + std::to_string(i),
                                           "a",
                                           serve_addresses[i],
                                           peer_addresses[i],
                                           seeds,
                                           cloud_server->address,
                                           store_server->address,
                                           3,
                                           {"a"}});
        std::string path = testing::TempDir() + "walkford-loopback-" + std::to_string(getpid()) +
                           "-" + std::to_string(i) + ".json";
        std::ofstream(path) << settings.dump();
        pids[i] = fork();
        if (pids[i] == 0) {
            setenv("LOG_LEVEL", "error", 1);
            // The production version must also start with the properties file of the new version.
            execl(binaries[i], "walkford", "--properties", WALKFORD_PROPERTIES, "--config",
                  path.c_str(), nullptr);
            _exit(127);
        }
    }
    // Runs the event loop until the condition holds. The limit is generous so that the test does
    // not fail on a busy machine.
    bool run_until(const std::function<bool()>& condition) {
        auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(60);
        while (!condition()) {
            if (std::chrono::steady_clock::now() > deadline) {
                return false;
            }
            event_base_loop(base.get(), EVLOOP_NONBLOCK);
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
        return true;
    }
    std::pair<int, Json> send_request(int controller, Method method, const std::string& path,
                                      const std::string& body = "") {
        int code = -1;
        Json answer;
        clients[controller]->send(HttpRequest{method, path, body},
                                  [&](int status, std::string_view response_body) {
                                      code = status;
                                      answer = unpack(response_body).value_or(Json());
                                  });
        EXPECT_TRUE(run_until([&] { return code >= 0; }));
        return {code, answer};
    }
    // Repeats a request, as users do, until the response has one of the two expected codes.
    std::pair<int, Json> request_until(int controller, Method method, const std::string& path,
                                       const std::string& body, int expected_code,
                                       int other_expected_code) {
        std::pair<int, Json> response;
        for (int i = 0; i < 300; ++i) {
            response = send_request(controller, method, path, body);
            if (response.first == expected_code || response.first == other_expected_code) {
                return response;
            }
            pause(100);
        }
        return response;
    }
    // Submits a job, repeatedly as request_until does, and returns the last status code.
    int submit(int controller, const std::string& body, int expected_code,
               int other_expected_code) {
        return request_until(controller, Method::post, "/work", body, expected_code,
                             other_expected_code)
            .first;
    }
    void pause(int duration_ms) {
        auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(duration_ms);
        run_until([&] { return std::chrono::steady_clock::now() > deadline; });
    }
    // Sends one heartbeat of the worker and executes the orders in the response.
    void heartbeat() {
        Json task_reports = Json::array();
        for (auto& [task_id, task] : tasks) {
            Json task_report{{"piece", task_id}, {"try", task.first}, {"status", task.second}};
            if (task.second == "exited") {
                task_report["cause"] = tasks_succeed ? "done" : "stopped";
            }
            task_reports.push_back(task_report);
        }
        Json body{{"walker", "host-1"},
                  {"endpoint", "127.0.0.1:1"},
                  {"build", "k"},
                  {"yard", "a"},
                  {"loaners", false},
                  {"stint", 1},
                  {"tick", ++sequence_number},
                  {"baton", fencing_token},
                  {"warningS", nullptr},
                  {"pieces", task_reports}};
        auto [code, response] =
            send_request(worker_controller, Method::post, "/agent/beat", pack(body));
        if (code == 200 && response["baton"].get<std::uint64_t>() >= fencing_token) {
            fencing_token = response["baton"].get<std::uint64_t>();
            for (const Json& order : response["orders"]) {
                auto task_id = order["piece"].get<std::string>();
                if (order["verb"] == "run") {
                    tasks[task_id] = {order["try"].get<int>(), "running"};
                }
                if (order["verb"] == "halt" && tasks.count(task_id)) {
                    tasks[task_id].second = "exited";
                }
                if (order["verb"] == "clear") {
                    tasks.erase(task_id);
                }
            }
        } else if (code == 421 && response.contains("foreman")) {
            worker_controller = response["foreman"].get<std::string>()[1] - '0';
        } else {
            worker_controller = (worker_controller + 1) % 3;
        }
        pause(100);
    }
    // Sends heartbeats until the worker has `count` tasks.
    bool heartbeat_until_task_count(std::size_t count) {
        constexpr int kMaxHeartbeats = 300;
        for (int i = 0; i < kMaxHeartbeats && tasks.size() != count; ++i) {
            heartbeat();
        }
        return tasks.size() == count;
    }
    std::string submission(const std::string& id, const std::string& shape = "batch") {
        double estimate_s = shape == "service" ? 0.0 : 5.0;
        return pack(submission_document({id, "l", shape, 2, 2.0, "img", estimate_s}));
    }

    EventBase base{event_base_new()};
    StubStore store;
    std::unique_ptr<StubHttpServer> store_server, cloud_server;
    std::string serve_addresses[3], peer_addresses[3];
    std::unique_ptr<HttpClient> clients[3];
    pid_t pids[3] = {0, 0, 0};
    const char* binaries[3] = {};
    std::map<std::string, std::pair<int, std::string>> tasks;
    std::uint64_t sequence_number = 0, fencing_token = 0;
    int worker_controller = 0;
    bool tasks_succeed = false;
};

TEST_F(Loopback, JobsSurviveLeaderFailureAndCanBeCancelled) {
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(request_until(i, Method::get, "/ready", "", 200, 200).first, 200);
    }
    EXPECT_EQ(send_request(0, Method::post, "/work", "rubbish").first, 400);
    EXPECT_EQ(send_request(1, Method::get, "/work/j-999999").first, 404);
    EXPECT_EQ(submit(1, submission("j-000001"), 201, 200), 201);
    EXPECT_EQ(submit(2, submission("j-000001"), 200, 200), 200);
    for (int i = 0; i < 200 && tasks.size() < 2; ++i) {
        heartbeat();
    }
    ASSERT_EQ(tasks.size(), 2U);
    heartbeat();  // reports the tasks as running

    // The leader is killed; the tasks keep running under the next leader.
    auto leader = store.rows.at("w/leader").first["node"].get<std::string>()[1] - '0';
    std::uint64_t old_fencing_token = fencing_token;
    kill_controller(leader);
    for (int i = 0; i < 200 && fencing_token == old_fencing_token; ++i) {
        heartbeat();
    }
    EXPECT_GT(fencing_token, old_fencing_token);
    EXPECT_EQ(tasks.size(), 2U);

    tasks_succeed = true;
    for (auto& [task_id, task] : tasks) {
        task.second = "exited";
    }
    int other = (leader + 1) % 3;
    Json last_response;
    for (int i = 0; i < 200; ++i) {
        heartbeat();
        last_response = send_request(other, Method::get, "/work/j-000001").second;
        if (last_response.is_object() && last_response.value("status", "") == "done") {
            break;
        }
    }
    EXPECT_EQ(last_response.value("status", ""), "done");
    for (int i = 0; i < 50 && !tasks.empty(); ++i) {
        heartbeat();
    }
    EXPECT_TRUE(tasks.empty()) << "tasks were not cleared after the job was recorded as done";

    tasks_succeed = false;
    EXPECT_EQ(submit(other, submission("j-000002"), 201, 200), 201);
    for (int i = 0; i < 200 && tasks.size() < 2; ++i) {
        heartbeat();
    }
    auto [code, cancel_response] =
        request_until(other, Method::post, "/work/j-000002/cancel", "", 200, 200);
    EXPECT_EQ(cancel_response.value("status", ""), "cancelled");
    for (int i = 0; i < 200 && !tasks.empty(); ++i) {
        heartbeat();
    }
    EXPECT_TRUE(tasks.empty());
    EXPECT_EQ(request_until(other, Method::post, "/work/j-000001/cancel", "", 200, 200)
                  .second.value("status", ""),
              "done");
}

// Guards against controllers that end by themselves: one submission whose text was not UTF-8 ended
// every controller that received it, and the user's retries ended them again.
TEST_F(Loopback, TextThatIsNotUtf8EndsNoController) {
    const std::string latin1 = "R\374ckzahlung";
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(request_until(i, Method::get, "/ready", "", 200, 200).first, 200);
    }
    EXPECT_EQ(submit(0, submission("j-000001"), 201, 200), 201);
    Json document = submission_document({"j-000002", "l", "batch", 2, 2.0, "img", 5.0});
    for (int i = 0; i < 3; ++i) {
        for (const char* field : {"lane", "bundle", "owner", "yard", "uid", "note"}) {
            Json malformed = document;
            malformed[field] = latin1;
            EXPECT_EQ(send_request(i, Method::post, "/work", pack(malformed)).first, 400) << field;
        }
        Json malformed_key = document;
        malformed_key[latin1] = 1;
        EXPECT_EQ(send_request(i, Method::post, "/work", pack(malformed_key)).first, 400);
        Json heartbeat_of_other_machine{{"walker", latin1},
                                        {"endpoint", "127.0.0.1:1"},
                                        {"build", "k"},
                                        {"yard", "a"},
                                        {"loaners", false},
                                        {"stint", 1},
                                        {"tick", 1},
                                        {"baton", 0},
                                        {"pieces", Json::array()}};
        EXPECT_EQ(
            send_request(i, Method::post, "/agent/beat", pack(heartbeat_of_other_machine)).first,
            400);
        EXPECT_EQ(send_request(i, Method::get, "/work/j-" + latin1).first, 404);
    }
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(waitpid(pids[i], nullptr, WNOHANG), 0) << "controller " << i << " has ended";
        EXPECT_EQ(request_until(i, Method::get, "/work/j-000001", "", 200, 200).first, 200);
    }
}

// Runs the production version and the new version side by side, so that each reads records written
// by the other: jobs accepted by one are polled, run and cancelled by the other, with leaders of
// both versions. Services are accepted only once all controllers are upgraded.
class RollingUpgrade : public Loopback {
  protected:
    const char* initial_binary() const override { return WALKFORD_PRODUCTION_BINARY; }
    void upgrade(int i) {
        kill_controller(i);
        binaries[i] = WALKFORD_BINARY;
        start_controller(i);
        EXPECT_EQ(request_until(i, Method::get, "/ready", "", 200, 200).first, 200);
    }
    // Forces elections until the wanted controller leads, by killing and restarting the others.
    bool make_leader(int wanted) {
        constexpr int kMaxElections = 12;
        for (int i = 0; i < kMaxElections && leader() != wanted; ++i) {
            for (int other = 0; other < 3; ++other) {
                if (other != wanted) {
                    kill_controller(other);
                }
            }
            run_until([&] { return leader() == wanted; });
            for (int other = 0; other < 3; ++other) {
                if (other != wanted) {
                    start_controller(other);
                }
            }
        }
        return leader() == wanted;
    }
    std::string status(int controller, const std::string& id) {
        return request_until(controller, Method::get, "/work/" + id, "", 200, 200)
            .second.value("status", "");
    }
};

TEST_F(RollingUpgrade, OldAndNewVersionsServeSideBySide) {
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(request_until(i, Method::get, "/ready", "", 200, 200).first, 200);
    }
    // A job accepted by the old version keeps running under a leader of the new version, and
    // controllers of both versions report the same status.
    EXPECT_EQ(submit(0, submission("j-000001"), 201, 200), 201);
    ASSERT_TRUE(heartbeat_until_task_count(2));
    heartbeat();
    upgrade(0);
    ASSERT_TRUE(make_leader(0));
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(status(i, "j-000001"), "running");
    }
    for (int i = 0; i < 20; ++i) {
        heartbeat();
    }
    EXPECT_EQ(tasks.size(), 2U);
    // A controller of the new version does not accept services yet and answers 503, with a
    // Retry-After header.
    EXPECT_EQ(submit(0, submission("j-000009", "service"), 503, 503), 503);
    // A job accepted by the new version is run and cancelled under a leader of the old version.
    EXPECT_EQ(submit(0, submission("j-000002"), 201, 200), 201);
    ASSERT_TRUE(heartbeat_until_task_count(4));
    ASSERT_TRUE(make_leader(1));
    for (int i = 0; i < 20; ++i) {
        heartbeat();
    }
    EXPECT_EQ(tasks.size(), 4U);
    EXPECT_EQ(request_until(0, Method::post, "/work/j-000002/cancel", "", 200, 200)
                  .second.value("status", ""),
              "cancelled");
    ASSERT_TRUE(heartbeat_until_task_count(2))
        << "a leader of the old version did not stop a job cancelled at a new controller";
    EXPECT_EQ(status(2, "j-000002"), "cancelled");
    upgrade(1);
    EXPECT_EQ(submit(1, submission("j-000009", "service"), 503, 503), 503);
    upgrade(2);
    // All controllers are upgraded: a service runs, and is restarted when its replicas end.
    EXPECT_EQ(submit(1, submission("j-000009", "service"), 201, 200), 201);
    ASSERT_TRUE(heartbeat_until_task_count(4));
    heartbeat();
    tasks_succeed = true;
    for (const char* replica : {"j-000009/0", "j-000009/1"}) {
        tasks.at(replica).second = "exited";
    }
    bool restarted = false;
    for (int i = 0; i < 200 && !restarted; ++i) {
        heartbeat();
        auto replica = tasks.find("j-000009/0");
        restarted = replica != tasks.end() && replica->second.first == 2;
    }
    EXPECT_TRUE(restarted) << "the replica was not restarted as attempt 2";
    EXPECT_NE(status(2, "j-000009"), "done");
    EXPECT_EQ(request_until(2, Method::post, "/work/j-000009/cancel", "", 200, 200)
                  .second.value("status", ""),
              "cancelled");
    tasks_succeed = false;
    ASSERT_TRUE(heartbeat_until_task_count(2));
    // The first job, accepted by the old version, completes under the new version.
    tasks_succeed = true;
    for (auto& [task_id, task] : tasks) {
        task.second = "exited";
    }
    ASSERT_TRUE(heartbeat_until_task_count(0));
    EXPECT_EQ(status(0, "j-000001"), "done");
}

int connect_to(std::uint16_t port) {
    int socket_fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    EXPECT_EQ(connect(socket_fd, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    return socket_fd;
}

// Sends a request over a socket that stays open. Returns what was received until the end of the
// response headers or for at most `max_iterations` event loop iterations.
std::string exchange(event_base* base, int socket_fd, const std::string& request,
                     int max_iterations) {
    EXPECT_EQ(write(socket_fd, request.data(), request.size()),
              static_cast<ssize_t>(request.size()));
    std::string response;
    for (int iteration = 0;
         iteration < max_iterations && response.find("\r\n\r\n") == std::string::npos;
         ++iteration) {
        event_base_loop(base, EVLOOP_NONBLOCK);
        char buffer[4096];
        ssize_t received_bytes = recv(socket_fd, buffer, sizeof buffer, MSG_DONTWAIT);
        if (received_bytes > 0) {
            response.append(buffer, static_cast<std::size_t>(received_bytes));
        }
        if (received_bytes <= 0) {
            usleep(500);
        }
    }
    return response;
}

// Sends a worker's heartbeat over the socket and returns the response.
std::string exchange_heartbeat(event_base* base, int socket_fd, int max_iterations = 2000) {
    std::string body = pack(Json{{"walker", "host-1"},
                                 {"build", "b"},
                                 {"yard", "a"},
                                 {"loaners", false},
                                 {"stint", 1},
                                 {"tick", 1},
                                 {"baton", 0},
                                 {"pieces", Json::array()}});
    std::string request =
        "POST /agent/beat HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body;
    return exchange(base, socket_fd, request, max_iterations);
}

// More workers than sockets: when the server is nearly full, it closes connections with the
// response, and beyond the limit it closes the connection that has been idle longest. No worker is
// refused.
TEST(HttpServerConnections, MoreWorkersThanConnectionsAreAllServed) {
    EventBase base(event_base_new());
    std::unique_ptr<HttpServer> server;
    server = std::make_unique<HttpServer>(base.get(), "127.0.0.1:0", 8, [&](const Input& input) {
        HeartbeatResponse response;
        response.request = std::get<HeartbeatRequest>(input).request;
        response.code = 200;
        response.fencing_token = 1;
        server->send_response(response.request, protocol::encode(response));
    });
    std::vector<int> sockets;
    int kept_open = 0, closed = 0;
    for (int i = 0; i < 40; ++i) {
        int socket_fd = connect_to(server->port());
        sockets.push_back(socket_fd);
        std::string response = exchange_heartbeat(base.get(), socket_fd);
        EXPECT_EQ(response.substr(0, 15), "HTTP/1.1 200 OK") << i;
        (response.find("Connection: close") == std::string::npos ? kept_open : closed) += 1;
        EXPECT_LE(server->connections(), 8U);
    }
    EXPECT_GE(kept_open, 4);
    EXPECT_GE(closed, 20);
    for (int socket_fd : sockets) {
        close(socket_fd);
    }
    for (int iteration = 0; iteration < 20; ++iteration) {
        event_base_loop(base.get(), EVLOOP_NONBLOCK);
    }
    server.reset();
}

// All connections have pending requests. None of them is closed, nor is the additional connection
// of a user while its request is being received.
TEST(HttpServerConnections, ConnectionsWithPendingRequestsStayOpen) {
    EventBase base(event_base_new());
    HttpServer server(base.get(), "127.0.0.1:0", 4, [](const Input&) {});
    std::vector<int> sockets;
    for (int i = 0; i < 4; ++i) {
        sockets.push_back(connect_to(server.port()));
        EXPECT_EQ(exchange_heartbeat(base.get(), sockets.back(), 40), "");
    }
    sockets.push_back(connect_to(server.port()));
    std::string response =
        exchange(base.get(), sockets.back(), "GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n", 2000);
    EXPECT_EQ(response.substr(0, 12), "HTTP/1.1 404");
    for (int socket_fd : sockets) {
        close(socket_fd);
    }
    for (int iteration = 0; iteration < 20; ++iteration) {
        event_base_loop(base.get(), EVLOOP_NONBLOCK);
    }
}

TEST(CommandLine, ReportsErrorsAndExitsWithTwo) {
    auto run = [](const std::string& args) {
        FILE* pipe = popen((std::string(WALKFORD_BINARY) + " " + args + " 2>&1").c_str(), "r");
        std::string output;
        char buffer[512];
        while (std::size_t size = fread(buffer, 1, sizeof buffer, pipe)) {
            output.append(buffer, size);
        }
        return std::pair{WEXITSTATUS(pclose(pipe)), output};
    };
    EXPECT_EQ(run("--version").first, 0);
    EXPECT_EQ(run("--help").first, 0);
    EXPECT_EQ(run("").first, 2);
    auto [code, output] = run("--config /nowhere/settings.json");
    EXPECT_EQ(code, 2);
    EXPECT_NE(output.find("/nowhere/settings.json"), std::string::npos);
    EXPECT_EQ(run("--config /dev/null --check").first, 2);
}

}  // namespace
}  // namespace walkford::transport
