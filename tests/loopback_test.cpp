// The real program on loopback: three processes, through evhttp, against small stand-ins of the
// state service, the cloud and one worker. A job is accepted, run and told done; one is cancelled;
// the leader is killed in between.
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
#include "loopback/stand_ins.hpp"
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
        state_server = std::make_unique<Served>(
            base.get(), [this](auto& m, auto& p, auto& b) { return state.serve(m, p, b); });
        cloud_server = std::make_unique<Served>(
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
            serve[i] = "127.0.0.1:" + std::to_string(free_port());
            peer[i] = "127.0.0.1:" + std::to_string(free_port());
        }
        for (int i = 0; i < 3; ++i) {
            binary[i] = first_binary();
            start(i);
            clients[i] = std::make_unique<HttpClient>(base.get(), serve[i], 4, 3000, true);
        }
    }
    void TearDown() override {
        for (pid_t& p : pids) {
            if (p > 0) {
                kill(p, SIGKILL);
                waitpid(p, nullptr, 0);
            }
        }
    }
    virtual const char* first_binary() const { return WALKFORD_BINARY; }
    void end(int i) {
        kill(pids[i], SIGKILL);
        waitpid(pids[i], nullptr, 0);
        pids[i] = 0;
    }
    int leader() const {
        auto row = state.rows.find("w/leader");
        return row == state.rows.end() ? -1 : row->second.first["node"].get<std::string>()[1] - '0';
    }
    void start(int i) {
        Json seeds = Json::array();
        for (int k = 0; k < 3; ++k) {
            if (k != i) {
                seeds.push_back(seed_document("n" + std::to_string(k), "a", peer[k]));
            }
        }
        Json settings = settings_document({"n" + std::to_string(i),
                                           "a",
                                           serve[i],
                                           peer[i],
                                           seeds,
                                           cloud_server->address,
                                           state_server->address,
                                           3,
                                           {"a"}});
        std::string path = testing::TempDir() + "walkford-loopback-" + std::to_string(getpid()) +
                           "-" + std::to_string(i) + ".json";
        std::ofstream(path) << settings.dump();
        pids[i] = fork();
        if (pids[i] == 0) {
            setenv("LOG_LEVEL", "error", 1);
            // The old version must start with the settings file of the new one, too.
            execl(binary[i], "walkford", "--properties", WALKFORD_PROPERTIES, "--config",
                  path.c_str(), nullptr);
            _exit(127);
        }
    }
    // Runs the loop until the condition holds; a generous limit, so that a busy machine can't fail
    // it.
    bool until(const std::function<bool()>& holds) {
        auto end = std::chrono::steady_clock::now() + std::chrono::seconds(60);
        while (!holds()) {
            if (std::chrono::steady_clock::now() > end) {
                return false;
            }
            event_base_loop(base.get(), EVLOOP_NONBLOCK);
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
        return true;
    }
    std::pair<int, Json> ask(int controller, Method m, const std::string& path,
                             const std::string& body = "") {
        int code = -1;
        Json answer;
        clients[controller]->send(HttpRequest{m, path, body}, [&](int c, std::string_view b) {
            code = c;
            answer = unpack(b).value_or(Json());
        });
        EXPECT_TRUE(until([&] { return code >= 0; }));
        return {code, answer};
    }
    // Asks again, as users do, until the answer has this code.
    std::pair<int, Json> insist(int controller, Method m, const std::string& path,
                                const std::string& body, int a, int b) {
        std::pair<int, Json> r;
        for (int i = 0; i < 300; ++i) {
            r = ask(controller, m, path, body);
            if (r.first == a || r.first == b) {
                return r;
            }
            pause(100);
        }
        return r;
    }
    void pause(int ms) {
        auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(ms);
        until([&] { return std::chrono::steady_clock::now() > end; });
    }
    // One report of the worker, and what comes of it.
    void heartbeat() {
        Json pieces = Json::array();
        for (auto& [piece, t] : tasks) {
            Json p{{"piece", piece}, {"try", t.first}, {"status", t.second}};
            if (t.second == "exited") {
                p["cause"] = finish ? "done" : "stopped";
            }
            pieces.push_back(p);
        }
        Json b{{"walker", "host-1"},  {"endpoint", "127.0.0.1:1"},
               {"build", "k"},        {"yard", "a"},
               {"loaners", false},    {"stint", 1},
               {"tick", ++tick},      {"baton", baton},
               {"warningS", nullptr}, {"pieces", pieces}};
        auto [code, r] = ask(at, Method::post, "/agent/beat", pack(b));
        if (code == 200 && r["baton"].get<std::uint64_t>() >= baton) {
            baton = r["baton"].get<std::uint64_t>();
            for (const Json& o : r["orders"]) {
                auto piece = o["piece"].get<std::string>();
                if (o["verb"] == "run") {
                    tasks[piece] = {o["try"].get<int>(), "running"};
                }
                if (o["verb"] == "halt" && tasks.count(piece)) {
                    tasks[piece].second = "exited";
                }
                if (o["verb"] == "clear") {
                    tasks.erase(piece);
                }
            }
        } else if (code == 421 && r.contains("foreman")) {
            at = r["foreman"].get<std::string>()[1] - '0';
        } else {
            at = (at + 1) % 3;
        }
        pause(100);
    }
    // Reports until so many tasks are on the worker.
    bool until_tasks(std::size_t count) {
        constexpr int kMostReports = 300;
        for (int i = 0; i < kMostReports && tasks.size() != count; ++i) {
            heartbeat();
        }
        return tasks.size() == count;
    }
    std::string job(const std::string& id, const std::string& shape = "batch") {
        double estimate_s = shape == "service" ? 0.0 : 5.0;
        return pack(submission_document({id, "l", shape, 2, 2.0, "img", estimate_s}));
    }

    EventBase base{event_base_new()};
    State state;
    std::unique_ptr<Served> state_server, cloud_server;
    std::string serve[3], peer[3];
    std::unique_ptr<HttpClient> clients[3];
    pid_t pids[3] = {0, 0, 0};
    const char* binary[3] = {};
    std::map<std::string, std::pair<int, std::string>> tasks;
    std::uint64_t tick = 0, baton = 0;
    int at = 0;
    bool finish = false;
};

TEST_F(Loopback, RunsCancelsAndSurvivesItsLeader) {
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(insist(i, Method::get, "/ready", "", 200, 200).first, 200);
    }
    EXPECT_EQ(ask(0, Method::post, "/work", "rubbish").first, 400);
    EXPECT_EQ(ask(1, Method::get, "/work/j-999999").first, 404);
    EXPECT_EQ(insist(1, Method::post, "/work", job("j-000001"), 201, 200).first, 201);
    EXPECT_EQ(insist(2, Method::post, "/work", job("j-000001"), 200, 200).first, 200);
    for (int i = 0; i < 200 && tasks.size() < 2; ++i) {
        heartbeat();
    }
    ASSERT_EQ(tasks.size(), 2U);
    heartbeat();  // reported as running

    // The leader goes; the tasks live on under the next.
    auto leader = state.rows.at("w/leader").first["node"].get<std::string>()[1] - '0';
    std::uint64_t old = baton;
    kill(pids[leader], SIGKILL);
    waitpid(pids[leader], nullptr, 0);
    pids[leader] = 0;
    for (int i = 0; i < 200 && baton == old; ++i) {
        heartbeat();
    }
    EXPECT_GT(baton, old);
    EXPECT_EQ(tasks.size(), 2U);

    finish = true;
    for (auto& [piece, t] : tasks) {
        t.second = "exited";
    }
    int other = (leader + 1) % 3;
    Json last;
    for (int i = 0; i < 200; ++i) {
        heartbeat();
        last = ask(other, Method::get, "/work/j-000001").second;
        if (last.is_object() && last.value("status", "") == "done") {
            break;
        }
    }
    EXPECT_EQ(last.value("status", ""), "done");
    for (int i = 0; i < 50 && !tasks.empty(); ++i) {
        heartbeat();
    }
    EXPECT_TRUE(tasks.empty()) << "cleared once done was durable";

    finish = false;
    EXPECT_EQ(insist(other, Method::post, "/work", job("j-000002"), 201, 200).first, 201);
    for (int i = 0; i < 200 && tasks.size() < 2; ++i) {
        heartbeat();
    }
    auto [code, said] = insist(other, Method::post, "/work/j-000002/cancel", "", 200, 200);
    EXPECT_EQ(said.value("status", ""), "cancelled");
    for (int i = 0; i < 200 && !tasks.empty(); ++i) {
        heartbeat();
    }
    EXPECT_TRUE(tasks.empty());
    EXPECT_EQ(insist(other, Method::post, "/work/j-000001/cancel", "", 200, 200)
                  .second.value("status", ""),
              "done");
}

// The version in production and the new one side by side, each on the other's records: jobs of one
// are polled, run, led and cancelled by the other, until services may be submitted.
class Upgrade : public Loopback {
  protected:
    const char* first_binary() const override { return WALKFORD_PRODUCTION_BINARY; }
    void upgrade(int i) {
        end(i);
        binary[i] = WALKFORD_BINARY;
        start(i);
        EXPECT_EQ(insist(i, Method::get, "/ready", "", 200, 200).first, 200);
    }
    // The leader ends and comes back, until the wanted one leads.
    bool lead(int wanted) {
        constexpr int kMostElections = 12;
        for (int i = 0; i < kMostElections && leader() != wanted; ++i) {
            for (int other = 0; other < 3; ++other) {
                if (other != wanted) {
                    end(other);
                }
            }
            until([&] { return leader() == wanted; });
            for (int other = 0; other < 3; ++other) {
                if (other != wanted) {
                    start(other);
                }
            }
        }
        return leader() == wanted;
    }
    std::string status(int controller, const std::string& id) {
        return insist(controller, Method::get, "/work/" + id, "", 200, 200)
            .second.value("status", "");
    }
};

TEST_F(Upgrade, OldAndNewServeSideBySide) {
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(insist(i, Method::get, "/ready", "", 200, 200).first, 200);
    }
    // A job of the old version runs on under a new leader; new and old nodes tell the same of it.
    EXPECT_EQ(insist(0, Method::post, "/work", job("j-000001"), 201, 200).first, 201);
    ASSERT_TRUE(until_tasks(2));
    heartbeat();
    upgrade(0);
    ASSERT_TRUE(lead(0));
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(status(i, "j-000001"), "running");
    }
    for (int i = 0; i < 20; ++i) {
        heartbeat();
    }
    EXPECT_EQ(tasks.size(), 2U);
    // A new controller takes no service yet, and says when to come back.
    EXPECT_EQ(insist(0, Method::post, "/work", job("j-000009", "service"), 503, 503).first, 503);
    // A job of the new version, run and cancelled under an old leader.
    EXPECT_EQ(insist(0, Method::post, "/work", job("j-000002"), 201, 200).first, 201);
    ASSERT_TRUE(until_tasks(4));
    ASSERT_TRUE(lead(1));
    for (int i = 0; i < 20; ++i) {
        heartbeat();
    }
    EXPECT_EQ(tasks.size(), 4U);
    EXPECT_EQ(
        insist(0, Method::post, "/work/j-000002/cancel", "", 200, 200).second.value("status", ""),
        "cancelled");
    ASSERT_TRUE(until_tasks(2)) << "an old leader stops what a new controller cancelled";
    EXPECT_EQ(status(2, "j-000002"), "cancelled");
    upgrade(1);
    EXPECT_EQ(insist(1, Method::post, "/work", job("j-000009", "service"), 503, 503).first, 503);
    upgrade(2);
    // All are new: a service runs, and runs again when its replicas end.
    EXPECT_EQ(insist(1, Method::post, "/work", job("j-000009", "service"), 201, 200).first, 201);
    ASSERT_TRUE(until_tasks(4));
    heartbeat();
    finish = true;
    for (const char* replica : {"j-000009/0", "j-000009/1"}) {
        tasks.at(replica).second = "exited";
    }
    bool again = false;
    for (int i = 0; i < 200 && !again; ++i) {
        heartbeat();
        auto replica = tasks.find("j-000009/0");
        again = replica != tasks.end() && replica->second.first == 2;
    }
    EXPECT_TRUE(again) << "with the next attempt";
    EXPECT_NE(status(2, "j-000009"), "done");
    EXPECT_EQ(
        insist(2, Method::post, "/work/j-000009/cancel", "", 200, 200).second.value("status", ""),
        "cancelled");
    finish = false;
    ASSERT_TRUE(until_tasks(2));
    // The first job, accepted by the old version, is done under the new one.
    finish = true;
    for (auto& [piece, task] : tasks) {
        task.second = "exited";
    }
    ASSERT_TRUE(until_tasks(0));
    EXPECT_EQ(status(0, "j-000001"), "done");
}

int connect_to(std::uint16_t port) {
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    a.sin_port = htons(port);
    EXPECT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a), 0);
    return fd;
}

// One request over a socket that stays open; what came back.
std::string exchange(event_base* base, int fd, const std::string& request, int turns) {
    EXPECT_EQ(write(fd, request.data(), request.size()), static_cast<ssize_t>(request.size()));
    std::string got;
    for (int turn = 0; turn < turns && got.find("\r\n\r\n") == std::string::npos; ++turn) {
        event_base_loop(base, EVLOOP_NONBLOCK);
        char buffer[4096];
        ssize_t n = recv(fd, buffer, sizeof buffer, MSG_DONTWAIT);
        if (n > 0) {
            got.append(buffer, static_cast<std::size_t>(n));
        }
        if (n <= 0) {
            usleep(500);
        }
    }
    return got;
}

// A worker's report.
std::string report_over(event_base* base, int fd, int turns = 2000) {
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
    return exchange(base, fd, request, turns);
}

// More workers than sockets: once it is crowded, an answer takes its connection along, and beyond
// the limit the connection idle longest goes. No one is refused.
TEST(Sockets, WorkersShareTheConnectionsThereAre) {
    EventBase base(event_base_new());
    std::unique_ptr<HttpServer> server;
    server = std::make_unique<HttpServer>(base.get(), "127.0.0.1:0", 8, [&](const Input& in) {
        HeartbeatResponse a;
        a.request = std::get<HeartbeatRequest>(in).request;
        a.code = 200;
        a.fencing_token = 1;
        server->answer(a.request, protocol::encode(a));
    });
    std::vector<int> fds;
    int kept_open = 0, closed = 0;
    for (int i = 0; i < 40; ++i) {
        int fd = connect_to(server->port());
        fds.push_back(fd);
        std::string got = report_over(base.get(), fd);
        EXPECT_EQ(got.substr(0, 15), "HTTP/1.1 200 OK") << i;
        (got.find("Connection: close") == std::string::npos ? kept_open : closed) += 1;
        EXPECT_LE(server->connections(), 8U);
    }
    EXPECT_GE(kept_open, 4);
    EXPECT_GE(closed, 20);
    for (int fd : fds) {
        close(fd);
    }
    for (int turn = 0; turn < 20; ++turn) {
        event_base_loop(base.get(), EVLOOP_NONBLOCK);
    }
    server.reset();
}

// All sockets are taken by reports whose answers are held: none of them goes, and neither does the
// user who comes on top of them while his request is being taken.
TEST(Sockets, WhoIsBeingServedKeepsHisConnection) {
    EventBase base(event_base_new());
    HttpServer server(base.get(), "127.0.0.1:0", 4, [](const Input&) {});
    std::vector<int> fds;
    for (int i = 0; i < 4; ++i) {
        fds.push_back(connect_to(server.port()));
        EXPECT_EQ(report_over(base.get(), fds.back(), 40), "");
    }
    fds.push_back(connect_to(server.port()));
    std::string got =
        exchange(base.get(), fds.back(), "GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n", 2000);
    EXPECT_EQ(got.substr(0, 12), "HTTP/1.1 404");
    for (int fd : fds) {
        close(fd);
    }
    for (int turn = 0; turn < 20; ++turn) {
        event_base_loop(base.get(), EVLOOP_NONBLOCK);
    }
}

TEST(CommandLine, SaysWhatIsWrongAndExitsWithTwo) {
    auto run = [](const std::string& args) {
        FILE* p = popen((std::string(WALKFORD_BINARY) + " " + args + " 2>&1").c_str(), "r");
        std::string out;
        char buffer[512];
        while (std::size_t n = fread(buffer, 1, sizeof buffer, p)) {
            out.append(buffer, n);
        }
        return std::pair{WEXITSTATUS(pclose(p)), out};
    };
    EXPECT_EQ(run("--version").first, 0);
    EXPECT_EQ(run("--help").first, 0);
    EXPECT_EQ(run("").first, 2);
    auto [code, out] = run("--config /nowhere/settings.json");
    EXPECT_EQ(code, 2);
    EXPECT_NE(out.find("/nowhere/settings.json"), std::string::npos);
    EXPECT_EQ(run("--config /dev/null --check").first, 2);
}

}  // namespace
}  // namespace walkford::transport
