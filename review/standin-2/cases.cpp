// The cases of the review. Usage: site CASE TROUBLE DIRECTORY ROOT RECORD
// Exits with 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
#include <signal.h>

#include <cstdio>
#include <iostream>

#include "site.hpp"

namespace site {
namespace {

constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2;

Json team(const std::string& name, double cpus, double cpus_max) {
    return Json{
        {"name", name}, {"cpus", cpus}, {"cpus_max", cpus_max}, {"gpus", 0}, {"gpus_max", 0}};
}

// The machine type `madhyam` of the operators' page; it is fetched from faster here, so that a case
// takes two minutes.
Json madhyam() {
    return Json{{"name", "madhyam"}, {"vcpus", 32.0},         {"gpus", 0.0},  {"ramGb", 256.0},
                {"cacheGb", 70.0},   {"fetchGbPerS", 2.0},    {"price", 2.4}, {"lowPrice", nullptr},
                {"readyS", 5.0},     {"yards", {"sabarmati"}}};
}

// The operators' page for Ajokoe (change/LATER.md), with one machine type.
Settings small_ajokoe() {
    Settings settings;
    settings.node_zones = {"kajaani", "kajaani", "kajaani"};
    settings.zones = {"kajaani", "tampere"};
    settings.teams = Json::array({team("kysymykset", 1200, 3000), team("arviointi", 1800, 6000),
                                  team("keskukset", 1200, 2500)});
    settings.report_s = 1.5;
    settings.gang_wait_s = 40;
    settings.gang_peer_s = 6;
    settings.cancel_s = 39;
    settings.state_rps = 250;
    settings.state_write_rps = 100;
    settings.state_value_kb = 8;
    settings.state_txn_ops = 48;
    settings.cloud_rps = 4;
    settings.cloud_list_lag_s = 8;
    settings.cores = 0.08;
    settings.ram_mb = 56;
    settings.fd_limit = 800;
    settings.flavors = Json::array({Json{{"name", "honka"},
                                         {"vcpus", 64.0},
                                         {"gpus", 0.0},
                                         {"ramGb", 128.0},
                                         {"cacheGb", 60.0},
                                         {"fetchGbPerS", 1.0},
                                         {"price", 3.43},
                                         {"lowPrice", 1.15},
                                         {"readyS", 30.0},
                                         {"yards", {"tampere"}}}});

    return settings;
}

// The same with two machine types, and with the aim for pool-build of the page of the first size.
Settings ajokoe_with_kuusi() {
    Settings settings = small_ajokoe();
    settings.flavors.push_back(Json{{"name", "kuusi"},
                                    {"vcpus", 8.0},
                                    {"gpus", 0.0},
                                    {"ramGb", 32.0},
                                    {"cacheGb", 40.0},
                                    {"fetchGbPerS", 0.6},
                                    {"price", 0.47},
                                    {"lowPrice", 0.15},
                                    {"readyS", 25.0},
                                    {"yards", {"tampere"}}});
    settings.objectives = Json::array(
        {Json{{"kind", "wait"}, {"class", "pool-build"}, {"within_s", 15.0}, {"share", 0.82}}});
    return settings;
}

Settings small_sahyog() {
    Settings settings;
    settings.teams = Json::array({team("collections", 64, 112), team("branch-ops", 64, 152),
                                  team("credit-risk", 88, 360), team("audit-cell", 64, 208)});
    settings.flavors = Json::array({madhyam()});
    return settings;
}

void start_all(Deployment& site) {
    for (int i = 0; i < site.settings.nodes; ++i) {
        site.start_node(i);
    }
}

// Polls the job every `every` seconds until `stop` says so.
void poll_regularly(Deployment& site, const std::string& uid, double every,
                    std::map<std::string, std::string>& states) {
    auto again = std::make_shared<std::function<void()>>();
    *again = [&site, uid, every, &states, again] {
        site.poll(uid, [&states, uid](const std::string& status) {
            if (!status.empty()) {
                states[uid] = status;
            }
        });
        if (states[uid] != "done" && states[uid] != "cancelled") {
            site.timers.after(every, *again);
        }
    };
    (*again)();
}

int finish(Deployment& site, int result, const std::string& text) {
    site.log((result == kHeld     ? "RULE HELD: "
              : result == kBroken ? "RULE BROKEN: "
                                  : "COULD NOT RUN: ") +
             text);
    std::cout << (result == kHeld     ? "held: "
                  : result == kBroken ? "broken: "
                                      : "could not run: ")
              << text << "\n";
    return result;
}

bool any_ended(Deployment& site) {
    bool ended = false;
    for (int i = 0; i < site.settings.nodes; ++i) {
        ended |= site.node_ended(i);
    }
    return ended;
}

// ---- A gang of normal priority takes the places of services of priority `prod`.
int preemption(Deployment& site, bool trouble) {
    // Four machines are there from the start. The cloud has seven in all; with the trouble, it has
    // fewer: 0.6 of them.
    site.cloud->capacity = trouble ? 0 : 3;
    for (int i = 0; i < 4; ++i) {
        site.cloud->add_running("honka", "tampere", 100);
    }
    start_all(site);
    JobText service;
    service.image = "img-exam";
    service.image_gb = 1;
    service.pieces = 6;
    service.service = true;
    service.vcpus = 2;
    service.ram_gb = 3.2;
    service.rank = "prod";
    JobText gang;
    gang.image = "img-pool";
    gang.image_gb = 1.2;
    gang.pieces = 8;
    gang.gang = true;
    gang.vcpus = 30;
    gang.ram_gb = 51;
    gang.run_s = 150;
    gang.bookmark_s = 15;
    gang.stash_s = 2;

    const std::vector<std::string> services{"j-000001", "j-000002"};
    const std::string gang_job = "j-000003";
    std::set<std::string> on;                      // replicas on a machine
    std::map<std::string, double> off_since;       // replica -> since when it is on no machine
    std::map<std::string, std::string> halted_on;  // replica -> machine on which it was halted
    std::set<std::string> gang_machines;
    int gang_on = 0;
    double gang_began = -1;
    auto is_gang = [&](const std::string& piece) { return piece.rfind(gang_job, 0) == 0; };
    site.on_start = [&](const std::string& piece, const Worker& worker, std::uint64_t) {
        if (is_gang(piece)) {
            gang_machines.insert(worker.name);
            if (++gang_on == gang.pieces) {
                gang_began = now_s();
            }
            return;
        }
        on.insert(piece);
        off_since.erase(piece);
        halted_on.erase(piece);
    };
    site.on_halt = [&](const std::string& piece, const Worker& worker, double) {
        if (!is_gang(piece)) {
            halted_on[piece] = worker.name;
        }
    };
    site.on_exit = [&](const std::string& piece, const Worker&, const std::string&) {
        if (is_gang(piece)) {
            --gang_on;
            return;
        }
        on.erase(piece);
        off_since[piece] = now_s();
    };
    for (const std::string& uid : services) {
        site.submit(uid, site.submission(uid, "arviointi", "exam-serve", service), service);
    }
    site.run(30, [&] { return on.size() == 12; });
    if (on.size() != 12) {
        return finish(site, kCouldNotRun, "the services did not start");
    }
    site.log("all 12 replicas of rank prod run; the gang of rank normal is submitted");
    int accepted = 0;
    Json body = site.submission(gang_job, "kysymykset", "pool-build", gang);
    body["samePlace"] = true;
    site.submit(gang_job, body, gang, [&](int code) { accepted = code; });
    // A replica that is halted may be moved, which takes some seconds. It counts as preempted once
    // it has been on no machine for 20 s while the gang is on the machine that it had.
    constexpr double kMovedWithin = 20;
    int preempted = 0;
    site.run(112, [&] {
        preempted = 0;
        for (const auto& [piece, machine] : halted_on) {
            preempted += off_since.count(piece) && gang_machines.count(machine) && gang_on > 0 &&
                         now_s() - off_since[piece] > kMovedWithin;
        }
        return preempted > 0 || (gang_began >= 0 && now_s() > gang_began + kMovedWithin + 10);
    });
    if (accepted != 201 && accepted != 200) {
        return finish(site, kCouldNotRun, "the gang was not accepted");
    }
    if (preempted > 0) {
        return finish(site, kBroken,
                      std::to_string(preempted) +
                          " replicas of rank prod were halted, have been on no machine for 20 s, "
                          "and a gang of rank normal is on the machine that they had");
    }
    return finish(
        site, kHeld,
        gang_began < 0 ? "the gang waits, the replicas run" : "the gang and all replicas run");
}

// ---- Two jobs that were submitted with a mistake stop the work of all others.
int mistaken(Deployment& site, bool trouble) {
    site.cloud->capacity = 20;
    site.cloud->boot_s = 4;
    start_all(site);
    JobText sound;
    sound.image = "img-ledger";
    sound.pieces = 3;
    sound.vcpus = 15;
    sound.ram_gb = 100;
    sound.run_s = 45;
    JobText wrong;
    wrong.image = "img-wrong";
    wrong.pieces = 3;
    wrong.vcpus = 2;
    wrong.ram_gb = 4;
    wrong.run_s = 3;
    wrong.mistaken = trouble;
    wrong.rank = "best_effort";
    std::map<std::string, int> starts, halts;
    site.on_start = [&](const std::string& piece, const Worker&, std::uint64_t) {
        ++starts[piece];
    };
    site.on_halt = [&](const std::string& piece, const Worker&, double) { ++halts[piece]; };
    std::map<std::string, std::string> states;
    const std::string victim = "j-000010";
    site.submit(victim, site.submission(victim, "audit-cell", "ledger-close", sound), sound);
    auto running = [&] {
        return starts[victim + "/0"] && starts[victim + "/1"] && starts[victim + "/2"];
    };
    site.run(40, running);
    if (!running()) {
        return finish(site, kCouldNotRun, "the first job did not start");
    }
    site.log("the first job runs; two jobs of another team are submitted" +
             std::string(trouble ? " with a mistake" : ""));
    for (const std::string uid : {"j-000011", "j-000012"}) {
        site.submit(uid, site.submission(uid, "credit-risk", "risk-score", wrong), wrong);
    }
    poll_regularly(site, victim, 5, states);
    site.run(112, [&] { return states[victim] == "done"; });
    int stopped = 0;
    for (const auto& [piece, count] : halts) {
        stopped += piece.rfind(victim, 0) == 0 ? count : 0;
    }
    if (states[victim] == "done") {
        return finish(site, kHeld, "the accepted job is done");
    }
    return finish(site, kBroken,
                  "the accepted job of 45 s is not done at " +
                      std::to_string(static_cast<int>(now_s())) + " s; its 3 tasks were halted " +
                      std::to_string(stopped) + " times");
}

// ---- A machine that has been held for four months is in the cloud's list.
int long_held(Deployment& site, bool trouble) {
    constexpr double kDay = 86400;
    // All machines are there from the start. They were rented at different times.
    site.cloud->capacity = 4;
    site.cloud->boot_s = 4;
    site.cloud->add_running("honka", "tampere", trouble ? 120 * kDay : 100 * kDay);
    site.cloud->add_running("honka", "tampere", 30 * kDay);
    site.cloud->add_running("honka", "tampere", 10 * kDay);
    start_all(site);
    JobText build;
    build.image = "img-pool";
    build.image_gb = 1.2;
    build.vcpus = 30;
    build.ram_gb = 51;
    build.run_s = 10;
    int starts = 0, accepted = 0;
    site.on_start = [&](const std::string&, const Worker&, std::uint64_t) { ++starts; };
    std::map<std::string, std::string> states;
    const std::vector<std::string> uids{"j-000020", "j-000021"};
    for (const std::string& uid : uids) {
        site.submit(uid, site.submission(uid, "kysymykset", "pool-build", build), build,
                    [&](int code) { accepted += code == 200 || code == 201; });
    }
    site.run(40, [&] { return accepted == 2; });
    if (accepted != 2) {
        return finish(site, kCouldNotRun, "the jobs were not accepted");
    }
    for (const std::string& uid : uids) {
        poll_regularly(site, uid, 5, states);
    }
    auto all_done = [&] { return states[uids[0]] == "done" && states[uids[1]] == "done"; };
    site.run(110, all_done);
    if (all_done()) {
        return finish(site, kHeld, "the accepted jobs are done");
    }
    return finish(site, starts == 0 ? kBroken : kCouldNotRun,
                  "two accepted jobs are " + states[uids[0]] + " and " + states[uids[1]] +
                      " at 110 s; tasks started: " + std::to_string(starts));
}

// ---- A gang that waits for its team's limit keeps the team's other jobs from running.
int blocked(Deployment& site, bool trouble) {
    site.cloud->capacity = 8;
    site.cloud->boot_s = 4;
    start_all(site);
    const std::string team_name = "collections";
    constexpr double kLimit = 112;
    JobText service;
    service.image = "img-emi";
    service.pieces = 6;
    service.service = true;
    service.vcpus = 2;
    service.ram_gb = 6.4;
    service.rank = "prod";
    JobText gang;
    gang.image = "img-ledger";
    gang.pieces = 6;
    gang.gang = true;
    gang.vcpus = 15;
    gang.ram_gb = 100;
    gang.run_s = 70;
    JobText single;
    single.image = "img-ledger";
    single.vcpus = 4;
    single.ram_gb = 16;
    single.run_s = 10;

    double used = 0;  // CPUs that the team's tasks use
    std::set<std::string> on;
    site.on_start = [&](const std::string& piece, const Worker&, std::uint64_t) {
        on.insert(piece);
        used += site.jobs.at(piece.substr(0, piece.find('/'))).vcpus;
    };
    site.on_exit = [&](const std::string& piece, const Worker&, const std::string&) {
        on.erase(piece);
        used -= site.jobs.at(piece.substr(0, piece.find('/'))).vcpus;
    };
    for (const std::string uid : {"j-000031", "j-000032"}) {
        site.submit(uid, site.submission(uid, team_name, "emi-gateway", service), service);
    }
    site.run(30, [&] { return on.size() == 12; });
    if (on.size() != 12) {
        return finish(site, kCouldNotRun, "the services did not start");
    }
    site.log("both services run: the team uses " + std::to_string(used) + " of 112 CPUs");
    int gang_code = 0;
    if (trouble) {
        site.submit("j-000033", site.submission("j-000033", team_name, "ledger-close", gang), gang,
                    [&](int code) { gang_code = code; });
        site.run(now_s() + 10, [&] { return gang_code != 0; });
        if (gang_code != 200 && gang_code != 201) {
            return finish(site, kCouldNotRun, "the gang was not accepted");
        }
    }
    std::map<std::string, std::string> states;
    const std::vector<std::string> singles{"j-000034", "j-000035", "j-000036"};
    int accepted = 0;
    for (const std::string& uid : singles) {
        site.submit(uid, site.submission(uid, team_name, "receipts", single), single,
                    [&](int code) { accepted += code == 200 || code == 201; });
    }
    site.run(now_s() + 10, [&] { return accepted == 3; });
    if (accepted != 3) {
        return finish(site, kCouldNotRun, "the small jobs were not accepted");
    }
    double began = now_s();
    for (const std::string& uid : singles) {
        poll_regularly(site, uid, 5, states);
    }
    double most_used = 0;
    int done = 0;
    site.run(112, [&] {
        most_used = std::max(most_used, used);
        done = 0;
        for (const std::string& uid : singles) {
            done += states[uid] == "done";
        }
        return done == 3;
    });
    if (done == 3) {
        return finish(site, kHeld, "the accepted jobs are done");
    }
    bool room = most_used + single.vcpus <= kLimit;
    return finish(site, room ? kBroken : kCouldNotRun,
                  std::to_string(3 - done) + " accepted jobs of 4 CPUs are not done " +
                      std::to_string(static_cast<int>(now_s() - began)) +
                      " s after they were accepted; their team never used more than " +
                      std::to_string(static_cast<int>(most_used)) + " of 112 CPUs");
}

// ---- Slots that are kept free for a class keep a job of another team from ever running.
int kept(Deployment& site, bool trouble) {
    site.cloud->capacity = 6;
    site.cloud->boot_s = 4;
    site.cloud->add_running("honka", "tampere", 100);
    site.cloud->add_running("kuusi", "tampere", 100);
    start_all(site);
    JobText service;  // fills the machine of type kuusi
    service.image = "img-exam";
    service.image_gb = 1;
    service.pieces = 4;
    service.service = true;
    service.vcpus = 2;
    service.ram_gb = 3.2;
    service.rank = "prod";
    JobText pool;
    pool.image = "img-pool";
    pool.image_gb = 1.2;
    pool.gang = true;
    pool.vcpus = 30;
    pool.ram_gb = 51;
    pool.run_s = 30;
    JobText small;
    small.image = "img-mark";
    small.image_gb = 1;
    small.vcpus = 6;
    small.ram_gb = 8;
    small.run_s = 10;
    const std::string small_job = "j-000042";

    std::map<std::string, std::pair<double, double>> used;  // CPUs and GB by machine
    int replicas = 0, small_starts = 0;
    auto count = [&](const std::string& piece, const Worker& worker, double sign) {
        const JobText& text = site.jobs.at(piece.substr(0, piece.find('/')));
        used[worker.name].first += sign * text.vcpus;
        used[worker.name].second += sign * text.ram_gb;
        replicas += text.service ? static_cast<int>(sign) : 0;
    };
    site.on_start = [&](const std::string& piece, const Worker& worker, std::uint64_t) {
        count(piece, worker, 1);
        small_starts += piece.rfind(small_job, 0) == 0;
    };
    site.on_exit = [&](const std::string& piece, const Worker& worker, const std::string&) {
        count(piece, worker, -1);
    };
    Json service_body = site.submission("j-000041", "arviointi", "exam-serve", service);
    service_body["builds"] = Json::array({"kuusi"});
    site.submit("j-000041", service_body, service);
    site.run(30, [&] { return replicas == 4; });
    if (replicas != 4) {
        return finish(site, kCouldNotRun, "the service did not start");
    }
    std::map<std::string, std::string> states;
    int next_pool = 50;
    std::function<void()> next_build = [&] {
        std::string uid = "j-0000" + std::to_string(next_pool++);
        Json body = site.submission(uid, "kysymykset", "pool-build", pool);
        body["samePlace"] = true;
        site.submit(uid, body, pool);
        poll_regularly(site, uid, 5, states);
        site.timers.after(40, next_build);
    };
    if (trouble) {
        next_build();
    }
    site.run(now_s() + 4, [] { return false; });
    int code = 0;
    site.submit(small_job, site.submission(small_job, "keskukset", "marking", small), small,
                [&](int answer) { code = answer; });
    site.run(now_s() + 10, [&] { return code != 0; });
    if (code != 200 && code != 201) {
        return finish(site, kCouldNotRun, "the small job was not accepted");
    }
    double began = now_s(), without_room = now_s();
    poll_regularly(site, small_job, 5, states);
    // The time for which the machine honka has had room for the job without a break.
    site.run(112, [&] {
        const auto& [cpus, gb] = used["host-000001"];
        if (cpus + small.vcpus > 64 || gb + small.ram_gb > 128) {
            without_room = now_s();
        }
        return states[small_job] == "done";
    });
    if (states[small_job] == "done" || small_starts > 0) {
        return finish(site, kHeld, "the accepted job was started");
    }
    return finish(site, now_s() - without_room > 90 ? kBroken : kCouldNotRun,
                  "the accepted job of 6 CPUs was not started within " +
                      std::to_string(static_cast<int>(now_s() - began)) +
                      " s; a machine that is up and fits has had room for it for " +
                      std::to_string(static_cast<int>(now_s() - without_room)) + " s");
}

}  // namespace
}  // namespace site

int main(int argc, char** argv) {
    signal(SIGPIPE, SIG_IGN);
    if (argc != 6) {
        std::cerr << "usage: site CASE TROUBLE DIRECTORY ROOT RECORD\n";
        return 2;
    }
    std::string name = argv[1];
    bool trouble = std::string(argv[2]) != "0";
    try {
        site::Settings settings = name == "mistaken" || name == "blocked" ? site::small_sahyog()
                                  : name == "kept" ? site::ajokoe_with_kuusi()
                                                   : site::small_ajokoe();
        site::Deployment deployment(settings, argv[3], argv[4], argv[5]);
        deployment.log("case " + name + (trouble ? ", with the trouble" : ", without the trouble"));
        int result = 2;
        if (name == "preemption") {
            result = site::preemption(deployment, trouble);
        } else if (name == "mistaken") {
            result = site::mistaken(deployment, trouble);
        } else if (name == "long_held") {
            result = site::long_held(deployment, trouble);
        } else if (name == "blocked") {
            result = site::blocked(deployment, trouble);
        } else if (name == "kept") {
            result = site::kept(deployment, trouble);
        }
        if (site::any_ended(deployment)) {
            std::cout << "a controller ended by itself\n";
        }
        std::cout << std::flush;
        deployment.on_exit = {};
        return result;
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
