// Tests of the controller's state machine: the first read of the store, the message and wake-up
// rates of an idle follower, an election, and many inputs in one step.
#include "coordination/controller/controller.hpp"

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "test_operator_settings.hpp"

namespace walkford {
namespace {

// Guards against a controller that never sees the first change of an empty store. After a snapshot
// at revision 0, a controller once watched for changes after revision 1. It missed the leader key,
// which is the store's first change, and campaigned forever.
TEST(ControllerTest, SeesTheFirstChangeOfAnEmptyStore) {
    spdlog::set_level(spdlog::level::off);
    PlatformSettings platform_settings;
    platform_settings.controller_name = "n0";
    platform_settings.zones = {"a"};
    Controller controller(platform_settings, {}, 1);
    Outputs outputs = controller.step(1000, TickInput{});
    bool watched = false;
    for (int step = 0; step < 40; ++step) {
        Outputs next_outputs;
        for (Output& output : outputs) {
            auto* request = std::get_if<StoreRequest>(&output);
            if (!request) {
                continue;
            }
            if (request->operation == StoreOperation::changes) {
                EXPECT_EQ(request->after, 0U);
                watched = true;
            }
            if (request->operation != StoreOperation::list) {
                continue;
            }
            StoreResponse response;
            response.call = request->call;
            response.status = StoreStatus::ok;
            for (Output& next : controller.step(1000 + step, response)) {
                next_outputs.push_back(std::move(next));
            }
        }
        outputs = std::move(next_outputs);
    }
    EXPECT_TRUE(watched);
}

// Guards against an idle follower that wakes up and sends messages too often: each message costs a
// small controller more CPU time than the computation behind it. Such a follower once woke up 20
// times per second, sent heartbeats to every peer twice per second, and its watch returned with
// every single change.
TEST(ControllerTest, LimitsWakeUpsAndMessagesOfAnIdleFollower) {
    spdlog::set_level(spdlog::level::off);
    PlatformSettings platform_settings;
    platform_settings.controller_name = "n0";
    platform_settings.zones = {"a"};
    for (const char* name : {"n1", "n2", "n3", "n4"}) {
        platform_settings.peers.push_back({name, ""});
    }
    Controller controller(platform_settings, {}, 1);
    int wake_ups = 0, heartbeats_to_leader = 0, heartbeats_to_followers = 0, watches = 0;
    int prompt_wake_ups_after_poll = 0;
    std::uint64_t revision = 10;
    Ms now = 1000, end = 21000, next_wake_up = 1000;
    while (now < end) {
        std::vector<Output> outputs = controller.step(now, TickInput{});
        ++wake_ups;
        for (std::size_t index = 0; index < outputs.size(); ++index) {
            Output output = outputs[index];
            if (auto* request = std::get_if<StoreRequest>(&output);
                request && request->operation == StoreOperation::list) {
                StoreResponse response;
                response.call = request->call;
                response.status = StoreStatus::ok;
                response.revision = revision;
                if (request->key == keys::kLeader) {
                    response.rows = {{keys::kLeader, encode_leader({"n2", "n2-1"}), 9}};
                }
                for (Output& next : controller.step(now, response)) {
                    outputs.push_back(std::move(next));
                }
            } else if (request && request->operation == StoreOperation::changes) {
                // The store changes continuously, so every watch returns at once.
                ++watches;
                StoreResponse response;
                response.call = request->call;
                response.status = StoreStatus::ok;
                response.revision = ++revision;
                for (Output& next : controller.step(now, response)) {
                    outputs.push_back(std::move(next));
                }
            } else if (auto* heartbeat = std::get_if<OutgoingPeerHeartbeat>(&output)) {
                (heartbeat->peer == 1 ? heartbeats_to_leader : heartbeats_to_followers) += 1;
            } else if (auto* wake_up = std::get_if<WakeAt>(&output)) {
                next_wake_up = wake_up->at;
            }
        }
        ASSERT_GT(next_wake_up, now);
        now = next_wake_up;
    }
    // In each of the 20 s: four wake-ups at 250 ms intervals, one for heartbeats to peers, and two
    // for the watch.
    EXPECT_LE(wake_ups, 20 * 7);
    EXPECT_LE(heartbeats_to_leader, 21);
    EXPECT_GE(heartbeats_to_leader, 19);
    EXPECT_LE(heartbeats_to_followers, 3 * 11);
    EXPECT_GE(heartbeats_to_followers, 3 * 9);
    EXPECT_LE(watches, 20 * 2 + 1);
    EXPECT_GE(watches, 20 * 2 - 2);
    // While a user request is open, the follower uses the short tick interval again, so that its
    // idle interval does not delay the response.
    for (const Output& output : controller.step(now, PollRequest{1, "j-1"})) {
        if (auto* wake_up = std::get_if<WakeAt>(&output)) {
            prompt_wake_ups_after_poll += wake_up->at <= now + 50;
        }
    }
    EXPECT_EQ(prompt_wake_ups_after_poll, 1);
}

// A controller with a simulated store whose responses suffice for the controller to be elected.
struct ElectableController {
    PlatformSettings platform_settings;
    std::unique_ptr<Controller> controller;
    Ms now = 1000;
    std::uint64_t revision = 10;
    Outputs recorded_outputs;

    ElectableController() {
        spdlog::set_level(spdlog::level::off);
        platform_settings.controller_name = "n0";
        platform_settings.zones = {"a"};
        platform_settings.peers = {{"n1", ""}, {"n2", ""}};
        controller = std::make_unique<Controller>(platform_settings, test_operator_settings(), 1);
    }
    // Runs one step. The store responds at once to every request but watches, each response in a
    // step of its own.
    void step_with_store(const std::vector<Input>& inputs) {
        Outputs outputs = controller->step(now, inputs);
        for (std::size_t index = 0; index < outputs.size(); ++index) {
            const auto* request = std::get_if<StoreRequest>(&outputs[index]);
            if (request && request->wait_ms == 0) {
                StoreResponse response;
                response.call = request->call;
                response.status = StoreStatus::ok;
                response.lease = 7;
                response.revision =
                    request->operation == StoreOperation::transaction ? ++revision : revision;
                for (Output& next : controller->step(now, Input{response})) {
                    outputs.push_back(std::move(next));
                }
            }
        }
        recorded_outputs.insert(recorded_outputs.end(), outputs.begin(), outputs.end());
    }
    // Runs steps until the controller leads; false if it does not within 40 steps. Afterwards
    // recorded_outputs holds the outputs since the last tick.
    bool run_until_elected() {
        for (int step = 0; step < 40 && !controller->leading(); ++step) {
            now += 50;
            recorded_outputs.clear();
            step_with_store({TickInput{}});
        }
        return controller->leading();
    }
    std::ptrdiff_t count_sent_heartbeats() const {
        return std::count_if(recorded_outputs.begin(), recorded_outputs.end(),
                             [](const Output& output) {
                                 return std::holds_alternative<OutgoingPeerHeartbeat>(output);
                             });
    }
};

// Guards against delayed news of an election. A new leader sends heartbeats to its peers at once,
// so that an earlier leader that only the peers reach learns of the higher fencing token without
// waiting for the next regular heartbeat.
TEST(ControllerTest, SendsHeartbeatsToPeersAtOnceWhenElected) {
    ElectableController electable;
    ASSERT_TRUE(electable.run_until_elected());
    EXPECT_EQ(electable.count_sent_heartbeats(), 2);
}

// Under load, one iteration of the event loop delivers many messages. They share one tick, and
// heartbeats, which renew leases, are answered before health checks and user requests.
TEST(ControllerTest, HandlesAllInputsOfAStepInOrderOfPriority) {
    ElectableController electable;
    ASSERT_TRUE(electable.run_until_elected());
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
    electable.recorded_outputs.clear();
    Outputs outputs = electable.controller->step(electable.now, inputs);
    int ticks = 0;
    int heartbeats_answered = 0;
    for (const Output& output : outputs) {
        ticks += std::holds_alternative<WakeAt>(output);
        heartbeats_answered += std::holds_alternative<HeartbeatResponse>(output);
        if (std::holds_alternative<UserResponse>(output)) {
            EXPECT_EQ(heartbeats_answered, 100)
                << "a health check was answered before all heartbeats";
        }
    }
    EXPECT_EQ(ticks, 1);
    EXPECT_EQ(heartbeats_answered, 100);
}

}  // namespace
}  // namespace walkford
