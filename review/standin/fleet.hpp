// Stand-ins for the cloud and for the workers on its machines, for arrays and gangs of one task.
#pragma once

#include "standin.hpp"

namespace review {

struct MachineType {
    std::string name;
    double cpus = 0, gpus = 0, ram = 0, price = 0, low_price = 0, ready_s = 0, fetch_gb_per_s = 1;
    std::vector<std::string> zones{"sabarmati", "tapi"};
};

inline std::vector<MachineType> sahyog_machine_types() {
    return {{"chhota", 4, 0, 16, 0.27, 0.07, 35}, {"madhyam", 32, 0, 256, 2.4, 0.66, 50},
            {"gajraj", 64, 8, 256, 21.64, 5.63, 25}};
}

inline Json sahyog_teams() {
    auto team = [](const char* name, double cpus, double cpus_max, double gpus, double gpus_max) {
        return Json{{"name", name}, {"cpus", cpus}, {"cpus_max", cpus_max}, {"gpus", gpus},
                    {"gpus_max", gpus_max}};
    };
    return Json::array({team("collections", 64, 112, 4, 12), team("branch-ops", 64, 152, 2, 8),
                        team("credit-risk", 88, 360, 8, 16), team("audit-cell", 64, 208, 4, 12)});
}

struct Start {
    std::int64_t at;
    std::string task, machine;
    std::uint64_t attempt;
};

// A worker on one machine.
class Worker {
  public:
    struct Task {
        std::string job;
        std::uint64_t attempt = 0;
        std::string state, cause;
        bool kept = false;
        std::int64_t changes_at = -1;  // when the state changes by itself
    };
    struct Shared {
        World& world;
        const Settings& settings;
        std::vector<std::string> nodes;  // addresses of the controllers
        std::map<std::string, Json>& jobs;  // descriptions that users uploaded
        std::map<std::string, double>& run_s;
        std::function<void(Worker&, const std::string& task)> on_start, on_gone;
        // With thousands of tasks only sums are recorded.
        bool brief = false;
        // Called with the size of each report and the status of its answer.
        std::function<void(Worker&, std::size_t bytes, int code)> on_report =
            [](Worker&, std::size_t, int) {};
        std::function<void(Worker&, std::size_t tasks)> on_lease_lost = [](Worker&, std::size_t) {};
        // Whether the host can't reach the controllers at present (a cut of its network).
        std::function<bool(const std::string& machine)> cut = [](const std::string&) {
            return false;
        };
    };
    Worker(Shared& shared, std::string machine, MachineType type, std::string zone, bool spot)
        : shared_(shared),
          world_(shared.world),
          machine_(std::move(machine)),
          type_(std::move(type)),
          zone_(std::move(zone)),
          spot_(spot),
          server_(shared.world, [this](const auto& method, const auto& path, const auto& body,
                                       auto reply) { receive(method, path, body, reply); }) {
        for (const std::string& node : shared.nodes) {
            clients_.push_back(
                std::make_unique<HttpClient>(world_.base.get(), node, 1, 4000, true));
        }
        node_ = world_.rng() % clients_.size();
    }
    void boot() {
        up_ = true;
        lease_from_ = world_.now();
        world_.log("machine %s is up (%s, %s)", machine_.c_str(), type_.name.c_str(),
                   zone_.c_str());
        next_report_ = world_.now();
        step();
    }
    // The machine is gone with all that is on it.
    void destroy() {
        up_ = false;
        gone_ = true;
        drop_all("the machine is gone");
    }
    bool up() const { return up_; }
    bool gone() const { return gone_; }
    const std::string& machine() const { return machine_; }
    const std::string& address() const { return server_.address; }
    const MachineType& type() const { return type_; }
    const std::string& zone() const { return zone_; }
    bool spot() const { return spot_; }
    const std::map<std::string, Task>& tasks() const { return tasks_; }
    // Whether a task is on this machine: from when it has its image until it exits.
    static bool present(const Task& task) {
        return task.state == "running" || task.state == "flushing";
    }
    bool has_present(const std::string& piece) const {
        for (const auto& [key, task] : tasks_) {
            if (key.substr(0, key.find('#')) == piece && present(task)) {
                return true;
            }
        }
        return false;
    }

  private:
    static std::string key(const std::string& piece, std::uint64_t attempt) {
        return piece + "#" + std::to_string(attempt);
    }
    static std::string piece_of(const std::string& key) { return key.substr(0, key.find('#')); }

    void step() {
        if (gone_) {
            return;
        }
        std::int64_t now = world_.now();
        if (static_cast<double>(now - lease_from_) > shared_.settings.lease_s * 1000) {
            world_.log("worker %s: lease expired, session %llu ends, %zu tasks are killed",
                       machine_.c_str(), static_cast<unsigned long long>(stint_), tasks_.size());
            shared_.on_lease_lost(*this, tasks_.size());
            drop_all("lease expired");
            ++stint_;
            lease_from_ = now;
            change();
        }
        for (auto& [id, task] : tasks_) {
            if (task.changes_at >= 0 && now >= task.changes_at) {
                advance(id, task);
            }
        }
        if (!in_flight_ && now >= next_report_ && now >= last_report_ + 500) {
            report();
        }
        world_.after(10, [this] { step(); });
    }
    void advance(const std::string& id, Task& task) {
        task.changes_at = -1;
        if (task.state == "pulling") {
            images_.insert(shared_.jobs.at(task.job)["bundle"].get<std::string>());
            task.state = "running";
            task.changes_at =
                world_.now() + static_cast<std::int64_t>(shared_.run_s.at(task.job) * 1000);
            shared_.on_start(*this, piece_of(id));
            if (!shared_.brief) world_.log("worker %s: task %s attempt %llu STARTS", machine_.c_str(),
                       piece_of(id).c_str(), static_cast<unsigned long long>(task.attempt));
        } else if (task.state == "running") {
            exit(id, task, "done");
        } else if (task.state == "flushing") {
            task.kept = true;
            exit(id, task, "stopped");
        }
        change();
    }
    void exit(const std::string& id, Task& task, const std::string& cause) {
        bool was_present = present(task);
        task.state = "exited";
        task.cause = cause;
        task.changes_at = -1;
        if (!shared_.brief) world_.log("worker %s: task %s attempt %llu exits: %s", machine_.c_str(),
                   piece_of(id).c_str(), static_cast<unsigned long long>(task.attempt),
                   cause.c_str());
        if (was_present) {
            shared_.on_gone(*this, piece_of(id));
        }
        change();
    }
    void drop_all(const char* reason) {
        auto dropped = std::move(tasks_);
        tasks_.clear();
        for (const auto& [id, task] : dropped) {
            if (!shared_.brief) world_.log("worker %s: task %s attempt %llu is killed: %s", machine_.c_str(),
                       piece_of(id).c_str(), static_cast<unsigned long long>(task.attempt),
                       reason);
            if (present(task)) {
                shared_.on_gone(*this, piece_of(id));
            }
        }
        images_.clear();
    }
    // Something changed, so a report is sent at the next moment that the spacing allows.
    void change() { next_report_ = world_.now(); }
    void see_token(std::uint64_t token) {
        if (token <= baton_) {
            return;
        }
        baton_ = token;
        std::int64_t now = world_.now();
        if (static_cast<double>(now - token_change_) >= shared_.settings.lease_s * 500) {
            token_change_ = now;
            change();
        }
    }
    Json status() {
        Json pieces = Json::array();
        for (const auto& [id, task] : tasks_) {
            Json piece{{"piece", piece_of(id)}, {"try", task.attempt}, {"status", task.state}};
            if (task.state == "exited") {
                piece["cause"] = task.cause;
                if (task.kept) {
                    piece["kept"] = true;
                }
            }
            pieces.push_back(std::move(piece));
        }
        return Json{{"walker", machine_}, {"endpoint", server_.address}, {"build", type_.name},
                    {"yard", zone_},      {"loaners", spot_},            {"stint", stint_},
                    {"tick", ++tick_},    {"baton", baton_},             {"warningS", nullptr},
                    {"pieces", pieces}};
    }
    void report() {
        std::int64_t now = world_.now();
        last_report_ = now;
        next_report_ = now + static_cast<std::int64_t>(shared_.settings.report_s * 1000 *
                                                       world_.uniform(0.75, 1.25));
        in_flight_ = true;
        Json body = status();
        std::string packed = pack(body);
        auto respond = [this, now, stint = stint_, node = node_, bytes = packed.size()](
                           int code, std::string_view body) {
            in_flight_ = false;
            shared_.on_report(*this, bytes, code);
            if (!gone_) {
                on_answer(now, stint, node, code,
                          walkford::protocol::unpack(body).value_or(Json::object()));
            }
        };
        if (shared_.cut(machine_)) {
            world_.after(4000, [respond] { respond(0, ""); });
            return;
        }
        clients_[node_]->send(HttpRequest{Method::post, "/agent/beat", packed}, respond);
    }
    void next_node(std::int64_t delay) {
        node_ = (node_ + 1) % clients_.size();
        next_report_ = world_.now() + delay;
    }
    void on_answer(std::int64_t sent, std::uint64_t stint, std::size_t node, int code,
                   const Json& body) {
        if (code == 421) {
            std::string foreman = body.contains("foreman") && body["foreman"].is_string()
                                      ? body["foreman"].get<std::string>()
                                      : "";
            for (std::size_t i = 0; i < clients_.size(); ++i) {
                if (Controllers::name(i) == foreman && i != node) {
                    node_ = i;
                    next_report_ =
                        world_.now() + static_cast<std::int64_t>(world_.uniform(0, 500));
                    last_report_ = -1000;
                    return;
                }
            }
            next_node(1000);
            return;
        }
        if (code != 200) {
            next_node(1000);
            return;
        }
        std::uint64_t token = body.value("baton", std::uint64_t{0});
        if (token < baton_ || stint != stint_) {
            return;
        }
        lease_from_ = std::max(lease_from_, sent);
        see_token(token);
        execute(body.value("orders", Json::array()));
    }
    void execute(const Json& orders) {
        if (shared_.brief && !orders.empty()) {
            world_.log("worker %s: %zu orders, the first is %s", machine_.c_str(), orders.size(),
                       orders[0].dump().c_str());
        }
        for (const Json& order : orders) {
            std::string verb = order.at("verb").get<std::string>();
            std::string piece = order.at("piece").get<std::string>();
            auto attempt = order.at("try").get<std::uint64_t>();
            if (!shared_.brief) world_.log("worker %s: order %s %s attempt %llu", machine_.c_str(), verb.c_str(),
                       piece.c_str(), static_cast<unsigned long long>(attempt));
            std::string id = key(piece, attempt);
            if (verb == "run") {
                run(id, piece, attempt);
            } else if (verb == "halt") {
                halt(id, order.value("leewayS", 0.0));
            } else if (verb == "clear") {
                auto found = tasks_.find(id);
                if (found != tasks_.end() && found->second.state == "exited") {
                    tasks_.erase(found);
                    change();
                }
            }
        }
    }
    void run(const std::string& id, const std::string& piece, std::uint64_t attempt) {
        if (tasks_.count(id)) {
            return;
        }
        std::string job = piece.substr(0, piece.rfind('/'));
        Task& task = tasks_[id];
        task.job = job;
        task.attempt = attempt;
        change();
        auto refuse = [&](const char* cause) {
            task.state = "exited";
            task.cause = cause;
            world_.log("worker %s: refuses %s: %s", machine_.c_str(), id.c_str(), cause);
        };
        if (!shared_.jobs.count(job)) {
            refuse("unknown");
            return;
        }
        double cpus = 0, gpus = 0, ram = 0;
        for (const auto& [other_id, other] : tasks_) {
            if (other_id != id && other.state != "exited" && piece_of(other_id) == piece) {
                refuse("busy");
                return;
            }
            if (other.state != "exited" && shared_.jobs.count(other.job)) {
                const Json& spec = shared_.jobs.at(other.job);
                cpus += spec["vcpus"].get<double>();
                gpus += spec["gpus"].get<double>();
                ram += spec["ramGb"].get<double>();
            }
        }
        constexpr double kSlack = 1e-6;
        if (cpus > type_.cpus + kSlack || gpus > type_.gpus + kSlack || ram > type_.ram + kSlack) {
            refuse("no_room");
            return;
        }
        const Json& spec = shared_.jobs.at(job);
        task.state = "pulling";
        bool cached = images_.count(spec["bundle"].get<std::string>()) > 0;
        double fetch_s = cached ? 0 : spec["imageGb"].get<double>() / type_.fetch_gb_per_s;
        task.changes_at = world_.now() + static_cast<std::int64_t>(fetch_s * 1000);
    }
    void halt(const std::string& id, double leeway_s) {
        auto found = tasks_.find(id);
        if (found == tasks_.end() || found->second.state == "exited") {
            return;
        }
        Task& task = found->second;
        const Json& spec = shared_.jobs.at(task.job);
        double stash_s = spec["stashS"].get<double>();
        bool saves = spec["bookmarkS"].get<double>() > 0 && leeway_s >= stash_s;
        if (task.state == "running" && saves) {
            task.state = "flushing";
            task.changes_at = world_.now() + static_cast<std::int64_t>(stash_s * 1000);
            change();
        } else if (task.state != "flushing" || leeway_s == 0) {
            exit(id, task, "stopped");
        }
    }
    void receive(const std::string&, const std::string& path, const Json& body,
                 Server::Reply reply) {
        if (!up_ || gone_ || shared_.cut(machine_)) {
            return;  // silent, as a machine without power
        }
        if (path == "/status") {
            reply(200, status());
            return;
        }
        if (!body.contains("baton") || !body.contains("stint")) {
            reply(400, Json::object());
            return;
        }
        auto token = body["baton"].get<std::uint64_t>();
        if (token < baton_ || body["stint"].get<std::uint64_t>() != stint_) {
            reply(409, status());
            return;
        }
        see_token(token);
        execute(body.value("orders", Json::array()));
        reply(200, status());
    }

    Shared& shared_;
    World& world_;
    std::string machine_;
    MachineType type_;
    std::string zone_;
    bool spot_;
    Server server_;
    std::vector<std::unique_ptr<HttpClient>> clients_;
    std::size_t node_ = 0;
    bool up_ = false, gone_ = false, in_flight_ = false;
    std::uint64_t stint_ = 1, tick_ = 0, baton_ = 0;
    std::int64_t lease_from_ = 0, next_report_ = 0, last_report_ = -1000, token_change_ = -100000;
    std::map<std::string, Task> tasks_;
    std::set<std::string> images_;
};

// The cloud.
class Cloud {
  public:
    explicit Cloud(World& world, std::vector<MachineType> types)
        : world_(world),
          types_(std::move(types)),
          server_(world, [this](const auto& method, const auto& path, const auto& body,
                                auto reply) { receive(method, path, body, reply); }) {}
    // Must be set before the controllers start.
    Worker::Shared* shared = nullptr;
    std::function<double(const MachineType&, const std::string& zone)> boot_s;
    // How long the cloud takes to answer a rental request.
    std::function<std::int64_t(const Json& request)> rent_ms = [](const Json&) { return 50; };
    std::function<bool(const Json& request)> has_capacity = [](const Json&) { return true; };
    const std::string& address() const { return server_.address; }
    struct Machine {
        std::unique_ptr<Worker> worker;
        std::int64_t rented = 0, up = 0, gone = -1;
    };
    std::map<std::string, Machine> machines;
    Worker* find(const std::string& name) {
        auto found = machines.find(name);
        return found == machines.end() ? nullptr : found->second.worker.get();
    }
    // Adds a machine that is up from the start.
    Worker* add(const std::string& type, const std::string& zone) {
        return rent(type_of(type), zone, false, 0);
    }

  private:
    const MachineType& type_of(const std::string& name) const {
        return *std::find_if(types_.begin(), types_.end(),
                             [&](const MachineType& type) { return type.name == name; });
    }
    Worker* rent(const MachineType& type, const std::string& zone, bool spot, double boot) {
        char name[32];
        std::snprintf(name, sizeof name, "host-%06d", ++count_);
        Machine& machine = machines[name];
        machine.worker = std::make_unique<Worker>(*shared, name, type, zone, spot);
        machine.rented = world_.now();
        machine.up = world_.now() + static_cast<std::int64_t>(boot * 1000);
        Worker* worker = machine.worker.get();
        world_.after(static_cast<std::int64_t>(boot * 1000), [worker] {
            if (!worker->gone()) {
                worker->boot();
            }
        });
        return worker;
    }
    void receive(const std::string& method, const std::string& path, const Json& body,
                 Server::Reply reply) {
        if (path == "/flavors") {
            Json list = Json::array();
            for (const MachineType& type : types_) {
                list.push_back({{"name", type.name},   {"vcpus", type.cpus},
                                {"gpus", type.gpus},   {"ramGb", type.ram},
                                {"cacheGb", 100.0},    {"fetchGbPerS", type.fetch_gb_per_s},
                                {"price", type.price}, {"lowPrice", type.low_price},
                                {"readyS", type.ready_s}, {"yards", type.zones}});
            }
            reply(200, Json{{"builds", list}});
        } else if (path == "/machines" && method == "POST") {
            std::string hire = body.at("hire").get<std::string>();
            world_.log("cloud: request %s", body.dump().c_str());
            auto known = hires_.find(hire);
            if (known == hires_.end()) {
                if (!has_capacity(body)) {
                    reply(503, Json{{"error", "no capacity"}});
                    return;
                }
                Json names = Json::array();
                const MachineType& type = type_of(body.at("build").get<std::string>());
                std::string zone = body.at("yard").get<std::string>();
                for (int i = 0; i < std::min(50, body.at("howMany").get<int>()); ++i) {
                    names.push_back(
                        rent(type, zone, body.at("loaners").get<bool>(), boot_s(type, zone))
                            ->machine());
                }
                known = hires_.emplace(hire, names).first;
            }
            world_.after(rent_ms(body), [this, reply, hire, names = known->second] {
                world_.log("cloud: answers %s: %s", hire.c_str(), names.dump().c_str());
                reply(200, Json{{"walkers", names}});
            });
        } else if (path == "/machines/return") {
            for (const Json& name : body.at("walkers")) {
                auto found = machines.find(name.get<std::string>());
                if (found != machines.end() && found->second.gone < 0) {
                    world_.log("cloud: machine %s is returned", found->first.c_str());
                    found->second.gone = world_.now();
                    found->second.worker->destroy();
                }
            }
            world_.after(50, [reply] { reply(200, Json::object()); });
        } else if (path.rfind("/machines", 0) == 0) {
            std::int64_t lag = static_cast<std::int64_t>(shared->settings.list_lag_s * 1000);
            std::int64_t at = world_.now() - lag;
            std::string after = parameter(path, "after");
            Json list = Json::array();
            for (const auto& [name, machine] : machines) {
                bool gone = machine.gone >= 0 && machine.gone <= at;
                bool booted_before = machine.up == machine.rented;
                if (name <= after || gone || (machine.rented > at && !booted_before)) {
                    continue;
                }
                list.push_back({{"uid", name},
                                {"endpoint", machine.worker->address()},
                                {"build", machine.worker->type().name},
                                {"yard", machine.worker->zone()},
                                {"loaners", machine.worker->spot()},
                                {"status", machine.up <= at || booted_before ? "running"
                                                                             : "booting"},
                                {"heldS", std::max<double>(
                                              0, static_cast<double>(at - machine.rented) / 1000)}});
            }
            world_.after(20, [reply, list] {
                reply(200, Json{{"walkers", list}, {"truncated", false}});
            });
        } else {
            reply(400, Json::object());
        }
    }
    World& world_;
    std::vector<MachineType> types_;
    Server server_;
    std::map<std::string, Json> hires_;
    int count_ = 0;
};

// A whole small deployment.
struct Deployment {
    World world;
    Settings settings;
    std::unique_ptr<Store> store;
    std::unique_ptr<Cloud> cloud;
    std::unique_ptr<Controllers> controllers;
    std::unique_ptr<Users> users;
    std::unique_ptr<Worker::Shared> shared;
    std::map<std::string, Json> jobs;
    std::map<std::string, double> run_s;
    std::vector<Start> starts;
    std::vector<std::string> ran_twice;
    bool trouble = true;

    // `arguments`: the folder of the case and the `run` of the deploy file.
    Deployment(int argc, char** argv, Settings wanted = {}) : settings(std::move(wanted)) {
        if (argc < 3) {
            std::fprintf(stderr, "use run.sh\n");
            std::exit(2);
        }
        std::string folder = argv[1];
        world.record = std::fopen((folder + "/record.txt").c_str(), "w");
        const char* wish = std::getenv("TROUBLE");
        trouble = !wish || std::string(wish) != "0";
        world.log("case %s, %s", folder.c_str(),
                  trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
        if (settings.teams.is_null()) {
            settings.teams = sahyog_teams();
        }
        store = std::make_unique<Store>(world);
        cloud = std::make_unique<Cloud>(world, sahyog_machine_types());
        cloud->boot_s = [](const MachineType& type, const std::string&) { return type.ready_s; };
        controllers = std::make_unique<Controllers>(world, argv[2], settings, store->address(),
                                                    cloud->address());
        if (const char* logs = std::getenv("CASE_LOGS")) {
            controllers->log_folder = logs;
        }
        std::vector<std::string> nodes;
        for (std::size_t i = 0; i < controllers->count(); ++i) {
            nodes.push_back(controllers->address(i));
        }
        shared = std::make_unique<Worker::Shared>(Worker::Shared{
            world, settings, nodes, jobs, run_s,
            [this](Worker& worker, const std::string& task) { started(worker, task); },
            [](Worker&, const std::string&) {}});
        cloud->shared = shared.get();
        users = std::make_unique<Users>(world, *controllers);
    }
    void started(Worker& worker, const std::string& task) {
        for (const auto& [name, machine] : cloud->machines) {
            if (machine.worker.get() != &worker && machine.worker->has_present(task)) {
                std::string text = "task " + task + " starts on " + worker.machine() +
                                   " while it is on " + name;
                world.log("RULE BROKEN: ran_twice: %s", text.c_str());
                ran_twice.push_back(text);
            }
        }
        starts.push_back({world.now(), task, worker.machine(), 0});
    }
    // Makes a job's description; workers know it from now on.
    Json job(const std::string& id, int pieces, double cpus, double ram, double run) {
        Json description{{"uid", id},
                         {"lane", "risk-score"},
                         {"owner", "credit-risk"},
                         {"shape", "batch"},
                         {"rank", "normal"},
                         {"pieces", pieces},
                         {"vcpus", cpus},
                         {"gpus", 0.0},
                         {"ramGb", ram},
                         {"bundle", "img-01"},
                         {"imageGb", 0.3},
                         {"builds", nullptr},
                         {"yard", nullptr},
                         {"samePlace", false},
                         {"spread", false},
                         {"loaners", false},
                         {"guessS", run},
                         {"bookmarkS", 0.0},
                         {"stashS", 0.0},
                         {"dueS", nullptr}};
        jobs[id] = description;
        run_s[id] = run;
        return description;
    }
    std::size_t leader() const {
        for (std::size_t i = 0; i < controllers->count(); ++i) {
            if (Controllers::name(i) == store->leader()) {
                return i;
            }
        }
        return controllers->count();
    }
    // Ends the run with the given exit code. Ends all processes that the case started.
    [[noreturn]] void finish(int code, const std::string& text) {
        world.log("result: %s: %s",
                  code == 0 ? "the rule held" : code == 1 ? "the rule was broken"
                                                          : "the case couldn't run",
                  text.c_str());
        std::printf("%s: %s\n",
                    code == 0 ? "held" : code == 1 ? "BROKEN" : "could not run", text.c_str());
        std::fflush(stdout);
        controllers.reset();
        std::_Exit(code);
    }
};

}  // namespace review
