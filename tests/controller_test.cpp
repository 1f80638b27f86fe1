// The state machine of a controller: its first read, its pace, an election, many inputs in a step.
#include "coordination/controller/controller.hpp"

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "test_operator_settings.hpp"

namespace walkford {
namespace {

TEST(ControllerTest, SeesTheFirstChangeOfAnEmptyStore) {
    // A reading at revision 0 once made the node follow changes from 1 on: it never saw the
    // leader's key, the store's first change, and campaigned for ever.
    spdlog::set_level(spdlog::level::off);
    PlatformSettings p;
    p.controller_name = "n0";
    p.zones = {"a"};
    Controller controller(p, {}, 1);
    Outputs out = controller.step(1000, TickInput{});
    bool watched = false;
    for (int i = 0; i < 40; ++i) {
        Outputs next;
        for (Output& o : out) {
            auto* s = std::get_if<StoreRequest>(&o);
            if (!s) {
                continue;
            }
            if (s->operation == StoreOperation::changes) {
                EXPECT_EQ(s->after, 0U);
                watched = true;
            }
            if (s->operation != StoreOperation::list) {
                continue;
            }
            StoreResponse r;
            r.call = s->call;
            r.status = StoreStatus::ok;
            for (Output& n : controller.step(1000 + i, r)) {
                next.push_back(std::move(n));
            }
        }
        out = std::move(next);
    }
    EXPECT_TRUE(watched);
}

// What a follower at rest does is counted, since each message costs a small controller more than
// what is computed for it. (It woke 20 times a second, told everybody twice a second, and its watch
// returned with every single change.)
TEST(ControllerTest, WakesSeldomAsAnIdleFollower) {
    spdlog::set_level(spdlog::level::off);
    PlatformSettings p;
    p.controller_name = "n0";
    p.zones = {"a"};
    for (const char* name : {"n1", "n2", "n3", "n4"}) {
        p.peers.push_back({name, ""});
    }
    Controller controller(p, {}, 1);
    int wakes = 0, told_leader = 0, told_others = 0, polled_wakes = 0, watches = 0;
    std::uint64_t revision = 10;
    Ms now = 1000, end = 21000, wake = 1000;
    while (now < end) {
        std::vector<Output> out = controller.step(now, TickInput{});
        ++wakes;
        for (std::size_t i = 0; i < out.size(); ++i) {
            Output o = out[i];
            if (auto* s = std::get_if<StoreRequest>(&o);
                s && s->operation == StoreOperation::list) {
                StoreResponse r;
                r.call = s->call;
                r.status = StoreStatus::ok;
                r.revision = revision;
                if (s->key == keys::kLeader) {
                    r.rows = {{keys::kLeader, encode_leader({"n2", "n2-1"}), 9}};
                }
                for (Output& n : controller.step(now, r)) {
                    out.push_back(std::move(n));
                }
            } else if (s && s->operation == StoreOperation::changes) {
                // Something changes all the time: every watch is answered at once.
                ++watches;
                StoreResponse r;
                r.call = s->call;
                r.status = StoreStatus::ok;
                r.revision = ++revision;
                for (Output& n : controller.step(now, r)) {
                    out.push_back(std::move(n));
                }
            } else if (auto* t = std::get_if<PeerSend>(&o)) {
                (t->peer == 1 ? told_leader : told_others) += 1;
            } else if (auto* w = std::get_if<WakeAt>(&o)) {
                wake = w->at;
            }
        }
        ASSERT_GT(wake, now);
        now = wake;
    }
    EXPECT_LE(wakes, 20 * 7);  // 250 ms, when peers are told, and when the watch is due
    EXPECT_LE(told_leader, 21);
    EXPECT_GE(told_leader, 19);
    EXPECT_LE(told_others, 3 * 11);
    EXPECT_GE(told_others, 3 * 9);
    EXPECT_LE(watches, 20 * 2 + 1);
    EXPECT_GE(watches, 20 * 2 - 2);
    // With a question open it looks more often again: nobody waits for a follower's sleep.
    for (const Output& o : controller.step(now, PollRequest{1, "j-1"})) {
        if (auto* w = std::get_if<WakeAt>(&o)) {
            polled_wakes += w->at <= now + 50;
        }
    }
    EXPECT_EQ(polled_wakes, 1);
}

// The state service and its first leader, so far as one node needs them to be elected.
struct ElectedController {
    PlatformSettings platform_settings;
    std::unique_ptr<Controller> controller;
    Ms now = 1000;
    std::uint64_t revision = 10;
    Outputs seen;

    ElectedController() {
        spdlog::set_level(spdlog::level::off);
        platform_settings.controller_name = "n0";
        platform_settings.zones = {"a"};
        platform_settings.peers = {{"n1", ""}, {"n2", ""}};
        controller = std::make_unique<Controller>(platform_settings, test_operator_settings(), 1);
    }
    // One turn; what the state service is asked it answers at once, in turns of their own.
    void turn(const std::vector<Input>& inputs) {
        Outputs out = controller->step(now, inputs);
        for (std::size_t i = 0; i < out.size(); ++i) {
            if (const auto* call = std::get_if<StoreRequest>(&out[i]); call && call->wait_ms == 0) {
                StoreResponse reply;
                reply.call = call->call;
                reply.status = StoreStatus::ok;
                reply.lease = 7;
                reply.revision =
                    call->operation == StoreOperation::transaction ? ++revision : revision;
                for (Output& next : controller->step(now, Input{reply})) {
                    out.push_back(std::move(next));
                }
            }
        }
        seen.insert(seen.end(), out.begin(), out.end());
    }
    bool elect() {
        for (int i = 0; i < 40 && !controller->leading(); ++i) {
            now += 50;
            seen.clear();
            turn({TickInput{}});
        }
        return controller->leading();
    }
    std::ptrdiff_t told_peers() const {
        return std::count_if(seen.begin(), seen.end(),
                             [](const Output& o) { return std::holds_alternative<PeerSend>(o); });
    }
};

// With an election peers are told at once: a leader that only they reach hears of the higher token
// without waiting for the next regular message.
TEST(ControllerTest, AnnouncesItsElectionAtOnce) {
    ElectedController elected;
    ASSERT_TRUE(elected.elect());
    EXPECT_EQ(elected.told_peers(), 2);
}

// Under load one turn of the event loop brings many messages: one round of decisions serves them
// all, and what leases hang on is answered before health checks and users.
TEST(ControllerTest, ServesAllInputsOfAStepInOrderOfPriority) {
    ElectedController elected;
    ASSERT_TRUE(elected.elect());
    std::vector<Input> inputs{CancelRequest{1, "j-1"}, ReadyRequest{2}};
    for (RequestId request = 3; request < 103; ++request) {
        HeartbeatRequest heartbeat;
        heartbeat.request = request;
        heartbeat.worker_status.machine = "host-" + std::to_string(request);
        heartbeat.worker_status.machine_type = "small";
        heartbeat.worker_status.zone = "a";
        heartbeat.worker_status.incarnation = 1;
        heartbeat.worker_status.sequence = 1;
        inputs.push_back(heartbeat);
    }
    elected.seen.clear();
    Outputs out = elected.controller->step(elected.now, inputs);
    int rounds = 0;
    int heartbeats_answered = 0;
    for (const Output& o : out) {
        rounds += std::holds_alternative<WakeAt>(o);
        heartbeats_answered += std::holds_alternative<HeartbeatResponse>(o);
        if (std::holds_alternative<UserResponse>(o)) {
            EXPECT_EQ(heartbeats_answered, 100) << "a health check was answered before reports";
        }
    }
    EXPECT_EQ(rounds, 1);
    EXPECT_EQ(heartbeats_answered, 100);
}

}  // namespace
}  // namespace walkford
