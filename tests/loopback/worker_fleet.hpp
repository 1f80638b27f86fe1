// Simulated workers on real sockets: they send heartbeats, run tasks for a given time and stop all
// tasks when their lease expires.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "protocol/messagepack_codec.hpp"
#include "transport/http_client.hpp"

namespace walkford::transport {

using Clock = std::chrono::steady_clock;

// The properties of a job that the workers know from the description uploaded by the user.
struct JobDescription {
    std::string job_class;
    std::string image;
    std::chrono::milliseconds run_time{0};
};

struct TaskStart {
    Clock::time_point at;
    std::string job;
    std::string zone;
    std::uint64_t attempt = 0;
};

class WorkerFleet {
  public:
    static constexpr std::chrono::milliseconds kReportInterval{500};
    static constexpr std::chrono::milliseconds kLeaseDuration{8000};
    static constexpr std::chrono::milliseconds kFetchDuration{700};

    // By zone: the clients through which its workers reach each controller.
    using Clients = std::map<std::string, std::vector<std::unique_ptr<HttpClient>>>;
    WorkerFleet(Clients clients, std::map<std::string, JobDescription>& jobs)
        : clients_(std::move(clients)), jobs_(jobs) {}

    void add_worker(const std::string& name, const std::string& zone);
    // Advances all workers to the current time. Must be called frequently.
    void step();

    std::vector<TaskStart> task_starts;
    std::map<std::string, int> completions;  // by job ID
    // By zone: the most images fetched at the same time since the map was last cleared.
    std::map<std::string, std::size_t> max_concurrent_fetches;

  private:
    struct Task {
        std::string status;
        std::uint64_t attempt = 0;
        Clock::time_point next_transition;  // time of the next status change without an order
    };
    struct Worker {
        std::string name, zone;
        std::uint64_t incarnation = 1, sequence_number = 0, fencing_token = 0;
        std::size_t controller = 0;
        bool report_in_flight = false;
        Clock::time_point next_report, lease_renewed_at;
        std::map<std::string, Task> tasks;  // by task ID
        std::set<std::string> images;
    };
    static std::string job_id_of(const std::string& task_id) {
        return task_id.substr(0, task_id.find('/'));
    }
    void expire_lease(Worker& worker, Clock::time_point now);
    void run_tasks(Worker& worker, Clock::time_point now);
    void send_heartbeat(Worker& worker, Clock::time_point now);
    void handle_heartbeat_response(Worker& worker, Clock::time_point sent,
                                   std::uint64_t incarnation, int status_code,
                                   const Json& response);
    void execute_order(Worker& worker, const Json& order);
    void update_max_concurrent_fetches(const std::string& zone);

    Clients clients_;
    std::map<std::string, JobDescription>& jobs_;
    std::vector<std::unique_ptr<Worker>> workers_;
};

}  // namespace walkford::transport
