// A small deployment on loopback: state service, cloud, workers and users that behave as the users'
// pages describe, and the controllers as child processes started with the deploy file's command.
// Everything here runs on one event loop.
#pragma once

#include <event2/event.h>
#include <event2/http.h>
#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "protocol/messagepack_codec.hpp"
#include "transport/event_types.hpp"
#include "transport/http_client.hpp"

namespace site {

using walkford::Json;
using walkford::protocol::Method;
using walkford::transport::HttpClient;

// What the stand-ins and the controllers' settings have in common: the figures of the operators'
// page for Sahyog (change/LATER.md), with the times of workers unchanged.
struct Settings {
    int nodes = 3;
    std::vector<std::string> node_zones{"sabarmati", "tapi", "sabarmati"};
    std::vector<std::string> zones{"sabarmati", "tapi"};
    Json teams = Json::array();
    Json objectives = Json::array();
    double report_s = 2.5, lease_s = 14, gang_wait_s = 30, gang_peer_s = 4, cancel_s = 34;
    double state_rps = 200, state_write_rps = 25, state_value_kb = 4;
    int state_txn_ops = 8;
    double cloud_rps = 5, cloud_list_lag_s = 5;
    double cores = 0.048, ram_mb = 40;
    int fd_limit = 600;
    Json flavors = Json::array();
};

double now_s();  // seconds since the program started, steady clock

class Record {
  public:
    explicit Record(const std::string& path) : out_(path, std::ios::trunc) {}
    void line(const std::string& text);

  private:
    std::ofstream out_;
};

// Calls a function once, at a time of now_s().
class Timers {
  public:
    explicit Timers(event_base* base) : base_(base) {}
    void at(double when, std::function<void()> run);
    void after(double delay, std::function<void()> run) { at(now_s() + delay, std::move(run)); }

  private:
    struct Entry {
        std::function<void()> run;
        event* timer = nullptr;
    };
    static void fire(evutil_socket_t, short, void* arg);
    event_base* base_;
};

// An HTTP server on a free loopback port. The handler answers at once or later.
class Server {
  public:
    using Reply = std::function<void(int code, const Json& body)>;
    using Handler = std::function<void(const std::string& method, const std::string& path,
                                       const Json& body, Reply reply)>;
    Server(event_base* base, Handler handler);
    const std::string& address() const { return address_; }

  private:
    void handle(evhttp_request* request);
    Handler handler_;
    std::string address_;
    walkford::transport::HttpServerHandle http_;
};

// Allows `rate` units a second, in bursts of `burst_s` seconds' worth.
class Bucket {
  public:
    Bucket(double rate, double burst_s) : rate_(rate), size_(rate * burst_s), level_(size_) {}
    bool take(double amount);

  private:
    double rate_, size_, level_, at_ = 0;
};

class StateService {
  public:
    StateService(event_base* base, Timers& timers, const Settings& settings);
    const std::string& address() const { return server_.address(); }
    std::string leader() const;  // node that holds the leader's key, or ""
    // Returns what answer the request gets; the default executes it and answers.
    // "" (normal), "lost" (executed, never answered), "refuse" (503).
    std::function<std::string(const std::string& method, const std::string& path, const Json& body)>
        trouble;

  private:
    struct Row {
        Json value;
        std::uint64_t stamp = 0, permit = 0;
    };
    struct Watch {
        std::string prefix;
        std::uint64_t after = 0;
        double until = 0;
        Server::Reply reply;
    };
    void handle(const std::string& method, const std::string& path, const Json& body,
                Server::Reply reply);
    std::pair<int, Json> commit(const Json& body);
    void expire_leases();
    void drop_lease(std::uint64_t permit);
    void log_event(Json event, const std::string& key);
    void serve_watches();
    bool changed(const Watch& watch) const;
    Json events(const std::string& prefix, std::uint64_t after) const;

    Timers& timers_;
    const Settings& settings_;
    std::map<std::string, Row> rows_;
    struct Lease {
        double life = 0, until = 0;
    };
    std::map<std::uint64_t, Lease> leases_;
    struct Event {
        std::string key;
        std::uint64_t stamp;
        Json json;
    };
    std::deque<Event> log_;
    std::uint64_t revision_ = 0, dropped_until_ = 0, next_permit_ = 1;
    std::list<Watch> watches_;
    Bucket requests_, writes_;
    Server server_;
};

struct JobText {  // the description that users upload for the workers
    std::string image;
    double image_gb = 1;
    int pieces = 1;
    bool gang = false;
    double vcpus = 1, gpus = 0, ram_gb = 1;
    double run_s = 10, bookmark_s = 0, stash_s = 0;
    bool mistaken = false;  // fails on every machine
    bool service = false;
    std::string rank = "normal";
    std::set<int> done;  // tasks that have completed
};

struct Deployment;

// One task attempt on one machine.
struct PieceState {
    std::uint64_t attempt = 0;
    std::string status = "pulling", cause;
    bool kept = false;
    double next = 0;      // time of the next change without an order
    double image_at = 0;  // when the task came on the machine
    double running_at = -1;
};

class Worker {
  public:
    Worker(Deployment& site, std::string name, std::string build, std::string yard, bool loaner,
           bool sick);
    ~Worker();
    Worker(const Worker&) = delete;
    Worker& operator=(const Worker&) = delete;
    const std::string& address() const { return server_->address(); }
    void step();
    // Tasks that are on the machine: with image and not exited.
    bool holds(const std::string& piece) const;
    std::string name, build, yard;
    bool loaner = false, sick = false;
    std::map<std::string, PieceState> pieces;
    std::size_t node = 0;

  private:
    friend struct Deployment;
    Json report();
    void send_report();
    void answered(double sent, std::uint64_t stint, int code, const Json& body);
    void execute(const Json& orders);
    void run_order(const std::string& piece, std::uint64_t attempt);
    void halt_order(const std::string& piece, std::uint64_t attempt, double leeway);
    void exit_piece(const std::string& piece, PieceState& state, const std::string& cause,
                    bool kept = false);
    void step_piece(const std::string& piece, PieceState& state);
    void step_gang(const std::string& piece, PieceState& state);
    void change();
    void expire_lease();

    Deployment& site_;
    std::uint64_t stint_ = 1, tick_ = 0, baton_ = 0;
    double lease_from_ = 0, next_report_ = 0, last_report_ = -10;
    bool in_flight_ = false;
    std::set<std::string> images_;
    std::unique_ptr<Server> server_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

class Cloud {
  public:
    Cloud(event_base* base, Deployment& site);
    const std::string& address() const { return server_.address(); }
    // A machine that is there from the start.
    void add_running(const std::string& build, const std::string& yard, double held_s);
    // Machines that may still be rented.
    int capacity = 0;
    double boot_s = 2;
    bool refuse = false;  // no capacity
    void step();
    std::map<std::string, std::unique_ptr<Worker>> workers;  // up machines by name

  private:
    struct Machine {
        std::string uid, build, yard, endpoint;
        bool loaner = false;
        double created = 0, up_at = 0, gone = -1;
        double held_before = 0;
    };
    void handle(const std::string& method, const std::string& path, const Json& body,
                Server::Reply reply);
    Json list(const std::string& after, std::size_t most);
    std::string new_machine(const std::string& build, const std::string& yard, bool loaner);

    Deployment& site_;
    std::map<std::string, Machine> machines_;
    std::map<std::string, Json> hires_;
    Json last_list_;           // what was listed last
    std::string last_listed_;  // its machines, as in the record
    int next_machine_ = 1;
    Bucket requests_;
    Server server_;
};

struct Deployment {
    Deployment(Settings settings, const std::string& directory, const std::string& root,
               const std::string& record);
    ~Deployment();

    // Processes.
    void start_node(int node);
    void signal_node(int node, int signal);
    void kill_node(int node);
    bool node_ended(int node);  // ended by itself
    int node_by_name(const std::string& name) const;

    // Users. A request is repeated every second until it gets one of the codes, for up to 60 s.
    void request(int node, Method method, const std::string& path, const Json& body,
                 const std::function<void(int, const Json&)>& answer);
    void submit(const std::string& uid, const Json& body, const JobText& text,
                std::function<void(int)> accepted = {});
    void poll(const std::string& uid, std::function<void(const std::string& status)> answer);
    void cancel(const std::string& uid, std::function<void(int, const std::string&)> answer);
    Json submission(const std::string& uid, const std::string& team, const std::string& lane,
                    const JobText& text) const;

    void run(double until, const std::function<bool()>& done);
    void log(const std::string& text) { record.line(text); }

    Settings settings;
    std::string directory, root;
    Record record;
    walkford::transport::EventBase base;
    Timers timers;
    std::mt19937 random{std::random_device{}()};
    std::map<std::string, JobText> jobs;
    std::unique_ptr<StateService> state;
    std::unique_ptr<Cloud> cloud;
    std::vector<std::string> serve, cluster;
    std::vector<pid_t> pids;
    std::vector<std::unique_ptr<HttpClient>> user_clients;
    // Worker connections: by worker name and node.
    HttpClient& worker_client(const std::string& worker, std::size_t node);
    std::map<std::pair<std::string, std::size_t>, std::unique_ptr<HttpClient>> worker_clients;

    // What workers did: called when a task comes on a machine, and when it leaves it.
    std::function<void(const std::string& piece, const Worker&, std::uint64_t attempt)> on_start;
    std::function<void(const std::string& piece, const Worker&, const std::string& cause)> on_exit;
    std::function<void(const std::string& piece, const Worker&, double leeway)> on_halt;
    int next_user_node = 0;
};

}  // namespace site
