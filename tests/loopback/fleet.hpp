// Stand-in workers on real sockets: they report, run tasks for a given time and keep their leases.
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

// What the workers know of a job: users upload its description.
struct LoopbackJob {
    std::string job_class;
    std::string image;
    std::chrono::milliseconds runs{0};
};

struct LoopbackStart {
    Clock::time_point at;
    std::string job;
    std::string zone;
    std::uint64_t attempt = 0;
};

class LoopbackFleet {
  public:
    static constexpr std::chrono::milliseconds kReport{500};
    static constexpr std::chrono::milliseconds kLease{8000};
    static constexpr std::chrono::milliseconds kFetch{700};

    // How the workers of a zone reach each controller.
    using Clients = std::map<std::string, std::vector<std::unique_ptr<HttpClient>>>;
    LoopbackFleet(Clients clients, std::map<std::string, LoopbackJob>& jobs)
        : clients_(std::move(clients)), jobs_(jobs) {}

    void add(const std::string& name, const std::string& zone);
    // Moves all workers on; to be called often.
    void step();

    std::vector<LoopbackStart> starts;
    std::map<std::string, int> completed;             // by job
    std::map<std::string, std::size_t> most_fetched;  // by zone: images at once, since last cleared

  private:
    struct Task {
        std::string status;
        std::uint64_t attempt = 0;
        Clock::time_point next;  // when its status changes by itself
    };
    struct Worker {
        std::string name, zone;
        std::uint64_t incarnation = 1, sequence = 0, fencing_token = 0;
        std::size_t controller = 0;
        bool in_flight = false;
        Clock::time_point next_report, lease_from;
        std::map<std::string, Task> tasks;  // by piece
        std::set<std::string> images;
    };
    static std::string job_of(const std::string& piece) { return piece.substr(0, piece.find('/')); }
    void keep_lease(Worker& worker, Clock::time_point now);
    void run_tasks(Worker& worker, Clock::time_point now);
    void worker_status(Worker& worker, Clock::time_point now);
    void answered(Worker& worker, Clock::time_point sent, std::uint64_t incarnation, int code,
                  const Json& answer);
    void obey(Worker& worker, const Json& order);
    void count_fetches(const std::string& zone);

    Clients clients_;
    std::map<std::string, LoopbackJob>& jobs_;
    std::vector<std::unique_ptr<Worker>> workers_;
};

}  // namespace walkford::transport
