// Documents shared by the loopback tests: a controller's settings, a job submission and the cloud's
// responses. The loopback tests keep the names of wire fields in these helpers and in the stubs
// as far as possible.
#pragma once

#include <string>
#include <vector>

#include "bookkeeping/records.hpp"

namespace walkford::transport {

// The settings that differ between controllers; all others describe the same small deployment.
struct ControllerDocument {
    std::string name;
    std::string zone;
    std::string serve_on;
    std::string cluster_listen;
    Json seeds;  // see seed_document
    std::string cloud_address;
    std::string store_address;
    int controllers = 3;
    std::vector<std::string> zones;
};

inline Json seed_document(const std::string& name, const std::string& zone,
                          const std::string& address) {
    return {{"node_name", name}, {"location", zone}, {"endpoint", address}};
}

inline Json settings_document(const ControllerDocument& controller) {
    return {
        {"node_name", controller.name},
        {"location", controller.zone},
        {"serve_on", controller.serve_on},
        {"cluster_listen", controller.cluster_listen},
        {"seeds", controller.seeds},
        {"external", {{"cloud", controller.cloud_address}, {"state", controller.store_address}}},
        {"params",
         {{"nodes", controller.controllers},
          {"zones", controller.zones},
          {"teams", {{{"name", "t"}, {"cpus", 0}, {"cpus_max", 0}}}},
          {"workers",
           {{"report_s", 0.5},
            {"lease_s", 8},
            {"gang_wait_s", 5},
            {"gang_peer_s", 2},
            {"cancel_s", 20}}},
          {"state", {{"rps", 1000}, {"write_rps", 500}, {"value_kb", 4}, {"txn_ops", 8}}},
          {"cloud", {{"rps", 20}, {"list_lag_s", 1}}},
          {"machine_limits", {{"fd_limit", 300}}}}}};
}

// The cloud's response with its only machine type, which is available in the given zones.
inline Json machine_types_document(const std::vector<std::string>& zones) {
    return {{"builds",
             {{{"name", "k"},
               {"vcpus", 8},
               {"gpus", 0},
               {"ramGb", 32},
               {"cacheGb", 50},
               {"fetchGbPerS", 1.0},
               {"price", 1.0},
               {"lowPrice", 0.3},
               {"readyS", 5},
               {"yards", zones}}}}};
}

// An entry for a running machine in the cloud's machine list.
inline Json machine_document(const std::string& name, const std::string& zone) {
    return {{"uid", name},      {"endpoint", "127.0.0.1:1"}, {"build", "k"},  {"yard", zone},
            {"loaners", false}, {"status", "running"},       {"heldS", 100.0}};
}

struct SubmissionDocument {
    std::string id;
    std::string job_class = "l";
    std::string shape = "batch";
    int tasks = 1;
    double cpus = 1;
    std::string image = "img";
    double estimate_s = 0;
};

inline Json submission_document(const SubmissionDocument& job) {
    return {{"uid", job.id},       {"lane", job.job_class}, {"owner", "t"},
            {"shape", job.shape},  {"rank", "normal"},      {"pieces", job.tasks},
            {"vcpus", job.cpus},   {"gpus", 0.0},           {"ramGb", 4.0},
            {"bundle", job.image}, {"imageGb", 1.0},        {"samePlace", false},
            {"spread", false},     {"loaners", false},      {"guessS", job.estimate_s},
            {"bookmarkS", 0.0},    {"stashS", 0.0}};
}

}  // namespace walkford::transport
