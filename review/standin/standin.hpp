// Stand-ins for the cases of the review: state service, cloud, workers and users on loopback, in
// one process with one event loop, and the controllers as child processes. They follow the pages
// PROTOCOL and DEPLOY.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "protocol/messagepack_codec.hpp"
#include "transport/event_types.hpp"
#include "transport/http_client.hpp"

namespace review {

using walkford::Json;
using walkford::protocol::HttpRequest;
using walkford::protocol::Method;
using walkford::protocol::pack;
using walkford::transport::EventBase;
using walkford::transport::HttpClient;

inline std::int64_t steady_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

// ---- The event loop, the time since the start, timers and the record of the run.
struct World {
    EventBase base{event_base_new()};
    std::int64_t started = steady_ms();
    std::mt19937 rng{std::random_device{}()};
    FILE* record = nullptr;

    std::int64_t now() const { return steady_ms() - started; }
    double uniform(double low, double high) {
        return std::uniform_real_distribution<double>(low, high)(rng);
    }
    void log(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        std::fprintf(record, "%8.3f ", static_cast<double>(now()) / 1000.0);
        va_list args;
        va_start(args, format);
        std::vfprintf(record, format, args);
        va_end(args);
        std::fputc('\n', record);
        std::fflush(record);
    }
    void after(std::int64_t ms, std::function<void()> action) {
        auto* held = new std::function<void()>(std::move(action));
        timeval wait = walkford::transport::to_timeval(std::max<long>(0, ms));
        event_base_once(
            base.get(), -1, EV_TIMEOUT,
            [](evutil_socket_t, short, void* arg) {
                std::unique_ptr<std::function<void()>> run(static_cast<std::function<void()>*>(arg));
                (*run)();
            },
            held, &wait);
    }
    // Runs the event loop until the condition holds or the time is over. Returns the condition.
    bool run_until(const std::function<bool()>& condition, std::int64_t limit_ms) {
        std::int64_t end = now() + limit_ms;
        while (!condition()) {
            if (now() >= end) {
                return false;
            }
            event_base_loop(base.get(), EVLOOP_NONBLOCK);
            usleep(1000);
        }
        return true;
    }
    void run_for(std::int64_t ms) {
        run_until([] { return false; }, ms);
    }
};

inline std::uint16_t free_port() {
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    bind(fd, reinterpret_cast<sockaddr*>(&address), size);
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    close(fd);
    return ntohs(address.sin_port);
}

// ---- An HTTP server whose handler may answer later.
class Server {
  public:
    using Reply = std::function<void(int code, const Json& body)>;
    using Handler = std::function<void(const std::string& method, const std::string& path,
                                       const Json& body, Reply reply)>;
    Server(World& world, Handler handler)
        : world_(world), handler_(std::move(handler)), http_(evhttp_new(world.base.get())) {
        evhttp_set_allowed_methods(http_, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_DELETE);
        evhttp_set_timeout(http_, 120);
        evhttp_set_gencb(
            http_,
            [](evhttp_request* request, void* self) {
                static_cast<Server*>(self)->receive(request);
            },
            this);
        auto* bound = evhttp_bind_socket_with_handle(http_, "127.0.0.1", 0);
        sockaddr_in name{};
        socklen_t size = sizeof name;
        getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&name), &size);
        address = "127.0.0.1:" + std::to_string(ntohs(name.sin_port));
    }
    std::string address;

  private:
    void receive(evhttp_request* request) {
        evbuffer* input = evhttp_request_get_input_buffer(request);
        std::string body(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, body.data(), body.size());
        auto command = evhttp_request_get_command(request);
        const char* method = command == EVHTTP_REQ_GET    ? "GET"
                             : command == EVHTTP_REQ_POST ? "POST"
                                                          : "DELETE";
        evhttp_connection* connection = evhttp_request_get_connection(request);
        std::uint64_t id = next_id_++;
        open_[id] = request;
        evhttp_connection_set_closecb(
            connection,
            [](evhttp_connection* closed, void* self) {
                auto& open = static_cast<Server*>(self)->open_;
                std::erase_if(open, [closed](const auto& entry) {
                    return evhttp_request_get_connection(entry.second) == closed;
                });
            },
            this);
        walkford::protocol::UnpackLimits limits{8 << 20, 1 << 20, 32};
        Json document = walkford::protocol::unpack(body, limits).value_or(Json::object());
        handler_(method, evhttp_request_get_uri(request), document,
                 [this, id](int code, const Json& answer) { send(id, code, answer); });
    }
    void send(std::uint64_t id, int code, const Json& answer) {
        auto found = open_.find(id);
        if (found == open_.end()) {
            return;
        }
        evhttp_request* request = found->second;
        open_.erase(found);
        std::string packed = pack(answer);
        evbuffer_add(evhttp_request_get_output_buffer(request), packed.data(), packed.size());
        evhttp_send_reply(request, code, "-", nullptr);
    }
    World& world_;
    Handler handler_;
    evhttp* http_;
    std::map<std::uint64_t, evhttp_request*> open_;
    std::uint64_t next_id_ = 1;
};

inline std::string parameter(const std::string& path, const std::string& name) {
    for (char mark : {'?', '&'}) {
        auto at = path.find(mark + name + "=");
        if (at != std::string::npos) {
            at += name.size() + 2;
            return path.substr(at, path.find('&', at) - at);
        }
    }
    return "";
}

// ---- The state service.
class Store {
  public:
    explicit Store(World& world)
        : world_(world),
          server_(world, [this](const auto& method, const auto& path, const auto& body,
                                auto reply) { receive(method, path, body, reply); }) {
        expire();
    }
    struct Row {
        Json value;
        std::uint64_t stamp = 0, permit = 0;
    };
    // What happens to a transaction: by default it is executed and answered after a few ms.
    struct Treatment {
        std::int64_t execute_after_ms = 2;  // when it is executed
        std::int64_t answer_after_ms = 2;   // when it is answered after that; -1: never
    };
    std::function<Treatment(const Json& transaction)> treat;
    std::map<std::string, Row> rows;
    const std::string& address() const { return server_.address; }
    std::string leader() const {
        auto row = rows.find("w/leader");
        return row == rows.end() ? "" : row->second.value.value("node", "");
    }
    std::uint64_t revision = 0;

  private:
    struct Lease {
        std::int64_t life = 0, ends = 0;
    };
    struct Watch {
        std::string prefix;
        std::uint64_t after = 0;
        Server::Reply reply;
    };
    void expire() {
        for (auto lease = leases_.begin(); lease != leases_.end();) {
            if (world_.now() >= lease->second.ends) {
                std::uint64_t permit = lease->first;
                lease = leases_.erase(lease);
                drop_keys_of(permit);
            } else {
                ++lease;
            }
        }
        world_.after(20, [this] { expire(); });
    }
    void drop_keys_of(std::uint64_t permit) {
        std::vector<std::string> keys;
        for (const auto& [key, row] : rows) {
            if (row.permit == permit) {
                keys.push_back(key);
            }
        }
        if (keys.empty()) {
            return;
        }
        ++revision;
        for (const std::string& key : keys) {
            rows.erase(key);
            changes_.emplace_back(key, Json{{"drop", key}, {"stamp", revision}});
        }
        wake();
    }
    Json events(const std::string& prefix, std::uint64_t after) const {
        Json found = Json::array();
        for (const auto& [key, event] : changes_) {
            if (event["stamp"].get<std::uint64_t>() > after && key.rfind(prefix, 0) == 0) {
                found.push_back(event);
            }
        }
        return found;
    }
    void wake() {
        for (auto watch = watches_.begin(); watch != watches_.end();) {
            Json found = events(watch->second.prefix, watch->second.after);
            if (found.empty()) {
                ++watch;
                continue;
            }
            watch->second.reply(200, Json{{"ledgerRev", revision}, {"events", found}});
            watch = watches_.erase(watch);
        }
    }
    void receive(const std::string& method, const std::string& path, const Json& body,
                 Server::Reply reply) {
        if (path == "/txn") {
            Treatment treatment = treat ? treat(body) : Treatment{};
            world_.after(treatment.execute_after_ms, [this, body, reply, treatment] {
                auto [code, answer] = execute(body);
                if (treatment.execute_after_ms > 100 || treatment.answer_after_ms < 0) {
                    world_.log("state: delayed transaction executed now: status %d", code);
                }
                if (treatment.answer_after_ms >= 0) {
                    world_.after(treatment.answer_after_ms,
                                 [reply, code = code, answer = answer] { reply(code, answer); });
                }
            });
            return;
        }
        if (path.rfind("/changes?", 0) == 0) {
            std::string prefix = parameter(path, "prefix");
            std::uint64_t after = std::stoull(parameter(path, "after"));
            std::string block = parameter(path, "blockMs");
            Json found = events(prefix, after);
            std::int64_t block_ms = block.empty() ? 0 : std::stoll(block);
            if (!found.empty() || block_ms == 0) {
                world_.after(2, [this, reply, prefix, after] {
                    reply(200, Json{{"ledgerRev", revision}, {"events", events(prefix, after)}});
                });
                return;
            }
            std::uint64_t id = next_watch_++;
            watches_[id] = {prefix, after, reply};
            world_.after(block_ms, [this, id] {
                if (auto watch = watches_.find(id); watch != watches_.end()) {
                    watch->second.reply(
                        200, Json{{"ledgerRev", revision}, {"events", Json::array()}});
                    watches_.erase(watch);
                }
            });
            return;
        }
        auto [code, answer] = read(method, path, body);
        world_.after(2, [reply, code = code, answer = answer] { reply(code, answer); });
    }
    std::pair<int, Json> read(const std::string& method, const std::string& path,
                              const Json& body) {
        if (path.rfind("/keys?", 0) == 0) {
            std::string prefix = parameter(path, "prefix"), after = parameter(path, "after");
            std::string most = parameter(path, "most");
            std::size_t limit = most.empty() ? 1000 : std::stoul(most);
            Json list = Json::array();
            bool truncated = false;
            for (const auto& [key, row] : rows) {
                if (key.rfind(prefix, 0) != 0 || key <= after) {
                    continue;
                }
                if (list.size() == limit) {
                    truncated = true;
                    break;
                }
                list.push_back(Json{{"k", key}, {"value", row.value}, {"stamp", row.stamp}});
            }
            return {200, Json{{"rows", list}, {"truncated", truncated}, {"ledgerRev", revision}}};
        }
        if (path.rfind("/keys/", 0) == 0) {
            auto row = rows.find(path.substr(6));
            if (row == rows.end()) {
                return {404, Json{{"ledgerRev", revision}}};
            }
            return {200, Json{{"k", row->first},
                              {"value", row->second.value},
                              {"stamp", row->second.stamp}}};
        }
        if (path == "/leases") {
            auto life = body.at("lifeMs").get<std::int64_t>();
            leases_[next_permit_] = {life, world_.now() + life};
            return {200, Json{{"permit", next_permit_++}}};
        }
        if (path.rfind("/leases/", 0) == 0) {
            std::uint64_t permit = std::stoull(path.substr(8));
            auto lease = leases_.find(permit);
            if (lease == leases_.end()) {
                return {404, Json::object()};
            }
            if (method == "DELETE") {
                leases_.erase(lease);
                drop_keys_of(permit);
            } else {
                lease->second.ends = world_.now() + lease->second.life;
            }
            return {200, Json{{"permit", permit}}};
        }
        return {400, Json::object()};
    }
    std::pair<int, Json> execute(const Json& body) {
        for (const Json& write : body.at("writes")) {
            if (write.contains("permit") &&
                !leases_.count(write["permit"].get<std::uint64_t>())) {
                return {400, Json{{"error", "no such lease"}}};
            }
        }
        Json failed = Json::array();
        for (const Json& condition : body.at("if")) {
            auto row = rows.find(condition["k"].get<std::string>());
            if ((row == rows.end() ? 0 : row->second.stamp) !=
                condition["stamp"].get<std::uint64_t>()) {
                failed.push_back(condition["k"]);
            }
        }
        if (!failed.empty()) {
            return {409, Json{{"failed", failed}, {"ledgerRev", revision}}};
        }
        if (!body.at("writes").empty()) {
            ++revision;
        }
        for (const Json& write : body.at("writes")) {
            if (write.contains("drop")) {
                std::string key = write["drop"].get<std::string>();
                if (rows.erase(key)) {
                    changes_.emplace_back(key, Json{{"drop", key}, {"stamp", revision}});
                }
                continue;
            }
            std::string key = write["write"].get<std::string>();
            rows[key] = {write["value"], revision,
                         write.contains("permit") ? write["permit"].get<std::uint64_t>() : 0};
            changes_.emplace_back(
                key, Json{{"write", key}, {"value", write["value"]}, {"stamp", revision}});
        }
        wake();
        return {200, Json{{"ledgerRev", revision}}};
    }
    World& world_;
    Server server_;
    std::map<std::uint64_t, Lease> leases_;
    std::map<std::uint64_t, Watch> watches_;
    std::vector<std::pair<std::string, Json>> changes_;
    std::uint64_t next_permit_ = 1, next_watch_ = 1;
};

// ---- Controllers: the project's program as child processes.
struct Settings {
    std::vector<std::string> zones{"sabarmati", "tapi"};
    std::vector<std::string> controller_zones{"sabarmati", "tapi", "sabarmati"};
    Json teams;
    double report_s = 2.5, lease_s = 14, cancel_s = 34;
    double list_lag_s = 5;
};

class Controllers {
  public:
    // `command`: the `run` of the deploy file, without the path of the settings file.
    Controllers(World& world, const std::string& command, const Settings& settings,
                const std::string& store, const std::string& cloud)
        : world_(world), settings_(settings) {
        std::istringstream words(command);
        for (std::string word; words >> word;) {
            command_.push_back(word);
        }
        std::string pattern = std::filesystem::temp_directory_path() / "walkford-review-XXXXXX";
        folder_ = mkdtemp(pattern.data());
        std::size_t count = settings.controller_zones.size();
        std::vector<std::string> peers;
        for (std::size_t i = 0; i < count; ++i) {
            serve_.push_back("127.0.0.1:" + std::to_string(free_port()));
            peers.push_back("127.0.0.1:" + std::to_string(free_port()));
        }
        for (std::size_t i = 0; i < count; ++i) {
            Json seeds = Json::array();
            for (std::size_t k = 0; k < count; ++k) {
                if (k != i) {
                    seeds.push_back({{"node_name", name(k)},
                                     {"location", settings.controller_zones[k]},
                                     {"endpoint", peers[k]}});
                }
            }
            Json document{
                {"node_name", name(i)},
                {"location", settings.controller_zones[i]},
                {"serve_on", serve_[i]},
                {"cluster_listen", peers[i]},
                {"seeds", seeds},
                {"external", {{"cloud", cloud}, {"state", store}}},
                {"params",
                 {{"nodes", count},
                  {"zones", settings.zones},
                  {"teams", settings.teams},
                  {"objectives", Json::array()},
                  {"workers",
                   {{"report_s", settings.report_s},
                    {"lease_s", settings.lease_s},
                    {"gang_wait_s", 30.0},
                    {"gang_peer_s", 4.0},
                    {"cancel_s", settings.cancel_s}}},
                  {"state",
                   {{"rps", 200.0}, {"write_rps", 25.0}, {"value_kb", 4.0}, {"txn_ops", 8}}},
                  {"cloud", {{"rps", 5.0}, {"list_lag_s", settings.list_lag_s}}},
                  {"machine_limits", {{"cores", 0.048}, {"ram_mb", 40.0}, {"fd_limit", 600}}},
                  {"skew_ms", 100.0}}}};
            std::ofstream(file(i)) << document.dump(1);
        }
        pids_.resize(count, 0);
        ended_.resize(count, 0);
    }
    ~Controllers() {
        for (std::size_t i = 0; i < pids_.size(); ++i) {
            if (pids_[i] > 0) {
                ::kill(pids_[i], SIGKILL);
                waitpid(pids_[i], nullptr, 0);
            }
        }
        std::filesystem::remove_all(folder_);
    }
    static std::string name(std::size_t i) { return "walker-" + std::to_string(i); }
    std::size_t count() const { return pids_.size(); }
    const std::string& address(std::size_t i) const { return serve_[i]; }
    bool running(std::size_t i) const { return pids_[i] > 0; }
    void start(std::size_t i) {
        pid_t parent = getpid();
        pid_t pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (getppid() != parent) {
                _exit(1);
            }
            const char* level = std::getenv("LOG_LEVEL");
            setenv("LOG_LEVEL", level ? level : "info", 1);
            std::string log = log_folder + "/" + name(i) + ".log";
            int out = log_folder.empty() ? open("/dev/null", O_WRONLY)
                                         : open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 2);
            std::vector<char*> words;
            for (std::string& word : command_) {
                words.push_back(word.data());
            }
            std::string path = file(i);
            words.push_back(path.data());
            words.push_back(nullptr);
            execv(words[0], words.data());
            _exit(127);
        }
        pids_[i] = pid;
        world_.log("controller %s started, process %d", name(i).c_str(), pid);
    }
    void start_all() {
        for (std::size_t i = 0; i < count(); ++i) {
            start(i);
        }
    }
    void kill(std::size_t i) {
        world_.log("controller %s killed", name(i).c_str());
        ::kill(pids_[i], SIGKILL);
        waitpid(pids_[i], nullptr, 0);
        pids_[i] = 0;
    }
    // The controller stands still (SIGSTOP) and goes on (SIGCONT).
    void stop(std::size_t i) {
        world_.log("controller %s stands still", name(i).c_str());
        ::kill(pids_[i], SIGSTOP);
    }
    void proceed(std::size_t i) {
        world_.log("controller %s goes on", name(i).c_str());
        ::kill(pids_[i], SIGCONT);
    }
    // Notices processes that ended by themselves. Returns how often any did so far.
    int check_ended() {
        for (std::size_t i = 0; i < count(); ++i) {
            int status = 0;
            if (pids_[i] > 0 && waitpid(pids_[i], &status, WNOHANG) == pids_[i]) {
                pids_[i] = 0;
                ++ended_[i];
                ++ends;
                if (WIFEXITED(status)) {
                    world_.log("controller %s ENDED BY ITSELF, exit status %d", name(i).c_str(),
                               WEXITSTATUS(status));
                } else {
                    world_.log("controller %s ENDED BY ITSELF, signal %d", name(i).c_str(),
                               WTERMSIG(status));
                }
            }
        }
        return ends;
    }
    int ends = 0;
    std::string log_folder;

  private:
    std::string file(std::size_t i) const { return folder_ + "/" + name(i) + ".json"; }
    World& world_;
    Settings settings_;
    std::vector<std::string> command_;
    std::string folder_;
    std::vector<std::string> serve_;
    std::vector<pid_t> pids_;
    std::vector<int> ended_;
};

// ---- Users: requests to a controller.
class Users {
  public:
    Users(World& world, Controllers& controllers) : world_(world), controllers_(controllers) {
        for (std::size_t i = 0; i < controllers.count(); ++i) {
            clients_.push_back(std::make_unique<HttpClient>(
                world.base.get(), controllers.address(i), 8, 5000, false));
        }
    }
    using Answer = std::function<void(int code, const Json& body)>;
    void send(std::size_t node, Method method, const std::string& path, const std::string& body,
              Answer answer, bool quiet = false) {
        if (!quiet) {
            world_.log("user -> %s: %s %s", Controllers::name(node).c_str(),
                       method == Method::get ? "GET" : "POST", path.c_str());
        }
        clients_[node]->send(
            HttpRequest{method, path, body},
            [this, node, path, answer, quiet](int code, std::string_view text) {
                Json body = walkford::protocol::unpack(text).value_or(Json());
                if (!quiet) {
                    world_.log("user <- %s: %s: status %d %s", Controllers::name(node).c_str(),
                               path.c_str(), code,
                               body.dump(-1, ' ', false, Json::error_handler_t::replace).c_str());
                }
                answer(code, body);
            });
    }
    // Sends a request and waits for its answer; 0: none.
    std::pair<int, Json> ask(std::size_t node, Method method, const std::string& path,
                             const std::string& body = "", bool quiet = false) {
        int code = -1;
        Json answer;
        send(node, method, path, body,
             [&](int status, const Json& text) {
                 code = status;
                 answer = text;
             },
             quiet);
        world_.run_until([&] { return code >= 0; }, 6000);
        return {std::max(0, code), answer};
    }
    // Submits as users do: repeats after 1 s, at the next node, for up to 60 s.
    int submit(const Json& job) {
        std::string body = pack(job);
        for (int i = 0; i < 50; ++i) {
            int code = ask(next_++ % clients_.size(), Method::post, "/work", body).first;
            if (code == 200 || code == 201 || code == 400 || code == 422) {
                return code;
            }
            world_.run_for(1000);
        }
        return 0;
    }
    // Waits until all controllers answer that they are ready.
    bool wait_ready(std::int64_t limit_ms) {
        std::int64_t end = world_.now() + limit_ms;
        for (std::size_t i = 0; i < clients_.size(); ++i) {
            while (ask(i, Method::get, "/ready", "", true).first != 200) {
                if (world_.now() > end) {
                    return false;
                }
                world_.run_for(300);
            }
        }
        world_.log("all controllers are ready");
        return true;
    }

  private:
    World& world_;
    Controllers& controllers_;
    std::vector<std::unique_ptr<HttpClient>> clients_;
    std::size_t next_ = 0;
};

}  // namespace review
