// What the simulated world keeps of each party. Only the files of the stand-in include this.
#pragma once

#include "standin/key_value_store.hpp"
#include "standin/world.hpp"

namespace walkford::standin {

inline constexpr double kRealLease = 10;
inline constexpr double kReport = 1.5;
inline constexpr double kGangWait = 15;
inline constexpr double kGangPeer = 3;
inline constexpr double kCancel = 26;
inline constexpr Ms kCallTimeout = 1500;
inline constexpr Ms kLongestTurn = 5;  // how long a controller's event loop takes to come round

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
    int room_per_option = 4;  // enough for any gang the users submit
};

struct World::Running {
    std::string job;
    std::uint32_t task = 0, attempt = 0;
    TaskState state = TaskState::pulling;
    std::string cause;
    bool progress_saved = false;
    bool on = false;  // has its image and has not ended
    Ms began = -1;
    std::uint64_t version = 0;
};

struct World::Worker {
    std::string name, zone;
    Id machine_type = kNone;
    bool spot = false;
    std::uint64_t incarnation = 1, sequence = 0, fencing_token = 0;
    Ms lease_from = 0;
    std::size_t controller = 0;
    bool in_flight = false;
    Ms next_heartbeat = 0;
    Ms last_sent = -10000;
    Ms reclaim_at = -1;
    Ms mute_until = -1;  // its reports reach no controller; direct commands reach it
    std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, Running> tasks;
    std::set<std::string> images;    // held ...
    std::set<std::string> fetching;  // ... and on their way
};

struct World::Job {
    JobSpec spec;
    std::string team, zone;
    std::string job_class;  // empty: one of a few, by the number of tasks
    std::vector<std::string> machine_types;
    bool any_machine_type = true;
    Ms run_ms = 0;
    bool submitted = false;
    bool cancel_asked = false;
    // When a user was first told; an answer asked for earlier may still be older.
    Ms accepted_told = -1, done_told = -1, cancel_told = -1;
    Ms give_up = 0;
    bool small = false;  // one of a flood
    Ms fits_since = -1;  // a task waits although a machine has room and the team is under its limit
    Ms last_answer = 0;  // any answer to a poll
    std::vector<bool> done;
    std::vector<Ms> progress;  // saved
    std::string image() const { return "img-" + std::to_string(spec.tasks % 4); }
    bool all_done() const {
        return std::all_of(done.begin(), done.end(), [](bool d) { return d; });
    }
};

struct World::Host {
    std::unique_ptr<Controller> controller;
    std::uint64_t life = 0;
    double rate = 1;
    Ms offset = 0;
    Ms wake = -1;
    bool led = false;
    bool upgraded = false;  // its next process is of the new version
    Ms frozen_until = -1;   // it stands still while its clock runs on; what arrives waits
    // What has arrived and waits for the next turn of the controller's event loop.
    std::vector<Input> received;
    std::map<RequestId, std::function<void(UserResponse)>> users;
    std::map<RequestId, std::function<void(HeartbeatResponse)>> heartbeats;
};

template <typename R>
void World::call(const std::string& from, const std::string& to, Ms timeout, R none,
                 std::function<void(std::function<void(R)>)> execute, std::function<void(R)> done) {
    auto over = std::make_shared<bool>(false);
    at(now_ + timeout, [over, done, none] {
        if (!*over) {
            *over = true;
            done(none);
        }
    });
    Ms arrives = path(from, to);
    if (arrives < 0) {
        return;
    }
    at(arrives, [this, from, to, over, done, execute] {
        execute([this, from, to, over, done](R r) {
            Ms back = path(to, from);
            if (back < 0) {
                return;
            }
            at(back, [over, done, r] {
                if (!*over) {
                    *over = true;
                    done(r);
                }
            });
        });
    });
}

}  // namespace walkford::standin
