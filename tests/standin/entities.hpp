// Simulation state of the cloud, workers, jobs and controllers. Internal to this library.
#pragma once

#include "standin/key_value_store.hpp"
#include "standin/world.hpp"

namespace walkford::standin {

inline constexpr double kRealLeaseSeconds = 10;
inline constexpr double kReportSeconds = 1.5;
inline constexpr double kGangWaitSeconds = 15;
inline constexpr double kGangPeerSeconds = 3;
inline constexpr double kCancelSeconds = 26;
inline constexpr Ms kCallTimeout = 1500;
inline constexpr Ms kMaxIterationDelay = 5;  // longest delay before an event loop iteration starts

struct World::Cloud {
    struct ScaledOut {
        std::string name, zone;
        Id machine_type = kNone;
        bool spot = false;
        Ms created_version = 0, up = 0, terminated = -1;
    };
    std::vector<ScaledOut> machines;
    std::map<std::string, std::vector<std::string>> scale_outs;
    Ms out_until = -1;
    int room_per_option = 4;  // enough for any gang that users submit
};

struct World::Running {
    std::string job;
    std::uint32_t task = 0, attempt = 0;
    TaskState state = TaskState::pulling;
    std::string cause;
    bool progress_saved = false;
    bool active = false;  // the image is present and the attempt has not ended
    Ms began = -1;
    std::uint64_t version = 0;
};

struct World::Worker {
    std::string name, zone;
    Id machine_type = kNone;
    bool spot = false;
    std::uint64_t incarnation = 1, sequence = 0, fencing_token = 0;
    std::uint64_t session =
        1;  // counts the incarnations, also those of a process with new counters
    std::uint64_t process = 1;  // a new one does not receive what was sent to the one before
    Ms lease_from = 0;
    std::size_t controller = 0;
    bool in_flight = false;
    Ms next_heartbeat = 0;
    Ms last_sent = -10000;
    Ms reclaim_at = -1;
    Ms mute_until = -1;  // until then heartbeats are dropped; direct commands still arrive
    std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, Running> tasks;
    std::set<std::string> images;    // present on the machine
    std::set<std::string> fetching;  // being fetched
};

struct World::Job {
    JobSpec spec;
    std::string team, zone;
    std::string job_class;  // if empty, derived from the number of tasks
    std::vector<std::string> machine_types;
    bool any_machine_type = true;
    Ms run_ms = 0;
    bool submitted = false;
    bool cancel_requested = false;
    // Time of the first response that reported each state. Responses to requests sent before that
    // time may still report an older state.
    Ms accepted_reported_at = -1, done_reported_at = -1, cancel_reported_at = -1;
    Ms give_up = 0;
    bool small = false;             // part of a flood of small jobs
    Ms waits_with_room_since = -1;  // start of a wait despite free room and team quota; -1 if none
    Ms last_poll_response_at = 0;   // time of the last successful poll
    std::vector<bool> done;
    std::vector<Ms> progress;  // checkpointed run time per task
    std::string image() const { return "img-" + std::to_string(spec.tasks % 4); }
    bool all_done() const {
        return std::all_of(done.begin(), done.end(), [](bool d) { return d; });
    }
};

struct World::Host {
    std::unique_ptr<Controller> controller;
    std::uint64_t process_number = 0;
    double rate = 1;
    Ms offset = 0;
    Ms wake = -1;
    bool was_leading = false;
    bool upgraded = false;  // the next process runs the new version
    Ms frozen_until = -1;   // until then inputs are queued while the clock advances
    // Inputs queued for the next iteration of the controller's event loop.
    std::vector<Input> received;
    std::map<RequestId, std::function<void(UserResponse)>> users;
    std::map<RequestId, std::function<void(HeartbeatResponse)>> heartbeats;
    std::map<RequestId, Ms> heartbeats_received_at;
};

template <typename R>
void World::call(const std::string& from, const std::string& to, Ms timeout, R none,
                 std::function<void(std::function<void(R)>)> execute, std::function<void(R)> done) {
    auto over = std::make_shared<bool>(false);
    schedule(now_ + timeout, [over, done, none] {
        if (!*over) {
            *over = true;
            done(none);
        }
    });
    Ms arrives = arrival_time(from, to);
    if (arrives < 0) {
        return;
    }
    schedule(arrives, [this, from, to, over, done, execute] {
        execute([this, from, to, over, done](R r) {
            Ms back = arrival_time(to, from);
            if (back < 0) {
                return;
            }
            schedule(back, [over, done, r] {
                if (!*over) {
                    *over = true;
                    done(r);
                }
            });
        });
    });
}

}  // namespace walkford::standin
