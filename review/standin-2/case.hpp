// What the cases have in common: settings of small deployments, and the program's entry.
// Usage: caseN TROUBLE DIRECTORY ROOT RECORD
// Exits with 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
#pragma once

#include <signal.h>

#include <cstdio>
#include <iostream>

#include "site.hpp"

namespace site {

constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2;

inline Json team(const std::string& name, double cpus, double cpus_max) {
    return Json{
        {"name", name}, {"cpus", cpus}, {"cpus_max", cpus_max}, {"gpus", 0}, {"gpus_max", 0}};
}

// The machine type `madhyam` of the operators' page; it is fetched from faster here, so that a case
// takes two minutes.
inline Json madhyam() {
    return Json{{"name", "madhyam"}, {"vcpus", 32.0},         {"gpus", 0.0},  {"ramGb", 256.0},
                {"cacheGb", 70.0},   {"fetchGbPerS", 2.0},    {"price", 2.4}, {"lowPrice", nullptr},
                {"readyS", 5.0},     {"yards", {"sabarmati"}}};
}

// The operators' page for Ajokoe (change/LATER.md), with one machine type.
inline Settings small_ajokoe() {
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
inline Settings ajokoe_with_kuusi() {
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

inline Settings small_sahyog() {
    Settings settings;
    settings.teams = Json::array({team("collections", 64, 112), team("branch-ops", 64, 152),
                                  team("credit-risk", 88, 360), team("audit-cell", 64, 208)});
    settings.flavors = Json::array({madhyam()});
    return settings;
}

inline void start_all(Deployment& site) {
    for (int i = 0; i < site.settings.nodes; ++i) {
        site.start_node(i);
    }
}

// Polls the job every `every` seconds until `stop` says so.
inline void poll_regularly(Deployment& site, const std::string& uid, double every,
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

inline int finish(Deployment& site, int result, const std::string& text) {
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

inline bool any_ended(Deployment& site) {
    bool ended = false;
    for (int i = 0; i < site.settings.nodes; ++i) {
        ended |= site.node_ended(i);
    }
    return ended;
}

// Runs a case with the given settings.
inline int run_case(int argc, char** argv, const Settings& settings,
                    int (*play)(Deployment& site, bool trouble)) {
    signal(SIGPIPE, SIG_IGN);
    if (argc != 5) {
        std::cerr << "usage: " << argv[0] << " TROUBLE DIRECTORY ROOT RECORD\n";
        return kCouldNotRun;
    }
    bool trouble = std::string(argv[1]) != "0";
    try {
        Deployment site(settings, argv[2], argv[3], argv[4]);
        site.log(trouble ? "with the disruption" : "without the disruption");
        int result = play(site, trouble);
        if (any_ended(site)) {
            std::cout << "a controller ended by itself\n";
        }
        std::cout << std::flush;
        site.on_exit = {};
        return result;
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return kCouldNotRun;
    }
}

}  // namespace site

// Each case is one program, built from one file.
#include "site.cpp"
