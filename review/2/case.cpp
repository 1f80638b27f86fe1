// A user sends one malformed submission: the text of one field is not valid UTF-8.
#include "fleet.hpp"

using namespace review;

int main(int argc, char** argv) {
    Deployment d(argc, argv);
    World& world = d.world;
    Controllers& controllers = *d.controllers;
    d.cloud->boot_s = [](const MachineType&, const std::string&) { return 5.0; };
    controllers.start_all();
    if (!d.users->wait_ready(30000)) {
        d.finish(2, "the controllers did not get ready");
    }
    // Controllers that end are started again after 6 s, as the brief says.
    std::vector<bool> restarting(controllers.count(), false);
    auto restart_ended = [&] {
        controllers.check_ended();
        for (std::size_t i = 0; i < controllers.count(); ++i) {
            if (!controllers.running(i) && !restarting[i]) {
                restarting[i] = true;
                world.after(6000, [&, i] {
                    restarting[i] = false;
                    controllers.start(i);
                });
            }
        }
    };
    // Another user's job, which is polled every 5 s. The load balancer tries up to three nodes.
    Json good = d.job("j-000001", 2, 2, 4, 20);
    if (int code = d.users->submit(good); code != 201 && code != 200) {
        d.finish(2, "the first job was not accepted");
    }
    int polls = 0, failed_polls = 0;
    std::int64_t next_poll = world.now() + 1000;
    auto poll = [&] {
        next_poll = world.now() + 5000;
        ++polls;
        for (std::size_t node = 0; node < controllers.count(); ++node) {
            if (d.users->ask(node, Method::get, "/work/j-000001").first == 200) {
                return;
            }
        }
        ++failed_polls;
        world.log("no controller answers the poll of j-000001");
    };
    // The malformed submission, repeated as PROTOCOL says: after 1 s, for up to 60 s in total, as
    // long as there is no answer. Its class name is "Rückzahlung" in Latin-1 (valid: in UTF-8).
    Json odd = d.job("j-000002", 2, 2, 4, 20);
    odd["lane"] = d.trouble ? "R\xfc" "ckzahlung" : "R\xc3\xbc" "ckzahlung";
    std::int64_t end = world.now() + 60000, next_try = world.now() + 1000;
    std::size_t node = 0;
    int answer = 0, sent = 0;
    while (world.now() < end) {
        world.run_for(50);
        restart_ended();
        if (world.now() >= next_poll) {
            poll();
        }
        if (answer == 0 && world.now() >= next_try) {
            ++sent;
            answer = d.users->ask(node++ % controllers.count(), Method::post, "/work", pack(odd))
                         .first;
            if (answer == 429 || answer == 503 || answer == 504) {
                answer = 0;
            }
            next_try = world.now() + 1000;
        }
    }
    restart_ended();
    world.log("the submission was sent %d times, last status %d; %d of %d polls of the other job "
              "had no answer",
              sent, answer, failed_polls, polls);
    d.finish(controllers.ends > 0 ? 1 : 0,
             std::to_string(controllers.ends) + " ends of controllers by themselves, " +
                 std::to_string(failed_polls) + " of " + std::to_string(polls) +
                 " polls of another job without an answer from any controller");
}
