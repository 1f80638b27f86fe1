// Two scale-out requests are granted one right after the other. The write of the registry that
// names the machines of the first is confirmed, the one that names those of the second gets no
// answer ("late_writes"). The new machines are up within two seconds and get work. Then the leader
// stands still, and another controller leads.
#include "fleet.hpp"

using namespace review;

namespace {
constexpr std::int64_t kSpellMs = 3000;

// The machines that a transaction adds to the stored registry are granted ones: their scale-out
// request is removed in the same transaction. Used only to choose the transaction that is late.
std::size_t open_requests(const Json& transaction) {
    for (const Json& write : transaction["writes"]) {
        if (write.value("write", "") == "w/machines") {
            return write["value"]["h"].size();
        }
    }
    return 99;
}
}  // namespace

int main(int argc, char** argv) {
    Deployment d(argc, argv);
    World& world = d.world;
    Controllers& controllers = *d.controllers;
    // "at times machines are up within a second or two"
    d.cloud->boot_s = [](const MachineType&, const std::string&) { return 1.5; };
    // The cloud answers after a second, in a fixed order.
    d.cloud->rent_ms = [](const Json& request) -> std::int64_t {
        return request["yard"] == "tapi" ? 1020 : 1000;
    };

    bool armed = false;  // from the submission of the array on
    bool slow_done = false, late_done = false;
    std::int64_t armed_at = 0;
    std::int64_t late_at = 0;
    int late = 0;  // transactions
    std::set<std::string> late_machines;  // of the second grant
    int transactions = 0;
    d.store->treat = [&](const Json& transaction) {
        Store::Treatment treatment;
        std::size_t open = open_requests(transaction);
        if (!armed || d.cloud->machines.size() < 19) {
            return treatment;
        }
        ++transactions;
        if (open == 1 && !slow_done) {
            // "occasionally a few hundred" milliseconds; also without the disruption
            slow_done = true;
            treatment.answer_after_ms = 200;
            world.log("state: registry write 1 is answered after 200 ms: %s",
                      transaction.dump().c_str());
        } else if (open == 0 && (!late_done || world.now() < late_at + kSpellMs)) {
            bool first = !late_done;
            late_done = true;
            ++late;
            if (first) {
                late_at = world.now();
            }
            for (const auto& [name, machine] : d.cloud->machines) {
                if (machine.worker->zone() == "tapi" && machine.rented > armed_at) {
                    late_machines.insert(name);
                }
            }
            if (d.trouble) {
                treatment.execute_after_ms = 11000;
                treatment.answer_after_ms = -1;
                world.log("state: registry write 2 gets no answer and is executed in 11 s: %s",
                          transaction.dump().c_str());
            } else {
                world.log("state: registry write 2 is executed: %s", transaction.dump().c_str());
            }
        }
        return treatment;
    };

    controllers.start_all();
    if (!d.users->wait_ready(30000)) {
        d.finish(2, "the controllers did not get ready");
    }
    auto started = [&](const std::string& job) {
        return std::count_if(d.starts.begin(), d.starts.end(), [&](const Start& start) {
            return start.task.rfind(job + "/", 0) == 0;
        });
    };
    // A large machine with little on it keeps the utilization low.
    Json w = d.job("j-000001", 1, 1, 4, 110);
    w["builds"] = Json::array({"gajraj"});
    d.jobs["j-000001"] = w;
    d.users->submit(w);
    if (!world.run_until([&] { return started("j-000001") == 1; }, 20000)) {
        d.finish(2, "the first job did not start");
    }
    // Six small machines in the zone tapi, which are free again once their job is cancelled.
    Json r = d.job("j-000002", 6, 4, 16, 100);
    r["builds"] = Json::array({"chhota"});
    r["yard"] = "tapi";
    d.jobs["j-000002"] = r;
    d.users->submit(r);
    if (!world.run_until([&] { return started("j-000002") == 6; }, 30000)) {
        d.finish(2, "the second job did not start");
    }
    world.run_for(5000);
    // A job that needs further machines, half of them in each zone.
    Json q = d.job("j-000003", 12, 4, 16, 60);
    q["builds"] = Json::array({"chhota"});
    q["spread"] = true;
    d.jobs["j-000003"] = q;
    armed = true;
    armed_at = world.now();
    d.users->submit(q);
    if (!world.run_until([&] { return late_done; }, 20000)) {
        d.finish(2, "the two requests were not granted together");
    }
    auto started_on_new = [&] {
        return std::count_if(d.starts.begin(), d.starts.end(), [&](const Start& start) {
            return late_machines.count(start.machine) > 0;
        });
    };
    world.run_until([&] { return world.now() >= late_at + 1100; }, 2000);
    d.users->send(0, Method::post, "/work/j-000002/cancel", "", [](int, const Json&) {});
    world.run_until([&] { return world.now() >= late_at + 2300; }, 2000);
    world.log("%d tasks have started on machines of the second grant; %d transactions since the "
              "grants, %d of them late",
              static_cast<int>(started_on_new()), transactions, d.trouble ? late : 0);
    std::size_t leader = d.leader();
    if (leader >= controllers.count()) {
        d.finish(2, "no leader");
    }
    if (d.trouble) {
        controllers.stop(leader);
        world.after(20000, [&, leader] { controllers.proceed(leader); });
    }
    world.run_for(30000);
    if (controllers.check_ended() > 0) {
        d.finish(2, "a controller ended by itself");
    }
    if (started("j-000003") < 12) {
        d.finish(2, "a job did not run");
    }
    d.finish(d.ran_twice.empty() ? 0 : 1, std::to_string(d.ran_twice.size()) +
                                              " tasks started on a machine while on another");
}
