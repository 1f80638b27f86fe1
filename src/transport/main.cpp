#include <event2/event.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>

#include "protocol/properties_file.hpp"
#include "protocol/settings_file.hpp"
#include "transport/process.hpp"

namespace {

constexpr int kBadSettings = 2;
constexpr int kCannotServe = 1;

void set_up_log(const std::string& node) {
    auto log = spdlog::stderr_logger_st(node);
    log->set_pattern("[%H:%M:%S.%e] [%n] [%l] %v");
    const char* level = std::getenv("LOG_LEVEL");
    std::string name = level ? level : "info";
    bool known = name == "error" || name == "info" || name == "debug";
    log->set_level(name == "error"   ? spdlog::level::err
                   : name == "debug" ? spdlog::level::debug
                                     : spdlog::level::info);
    spdlog::set_default_logger(log);
    if (!known) {
        spdlog::warn("LOG_LEVEL '{}' is not error, info or debug: info it is", name);
    }
}

std::string random_name() {
    std::random_device device;
    char text[17];
    std::snprintf(text, sizeof text, "%08x%08x", device(), device());
    return text;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"walkford, a cluster scheduler: one controller"};
    std::string config;
    std::vector<std::string> properties;
    bool check = false;
    app.add_option("--config", config, "the platform's settings, a JSON file")->required();
    app.add_option("--properties", properties,
                   "the operators' settings, property files: the later counts")
        ->expected(1)
        ->take_all();
    app.add_flag("--check", check, "check both files and stop");
    app.set_version_flag("--version", std::string("walkford ") + WALKFORD_VERSION);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        int code = app.exit(e);
        return code == 0 ? 0 : kBadSettings;
    }

    walkford::Platform platform;
    walkford::Policy policy;
    std::vector<std::string> notes;
    try {
        platform = walkford::protocol::load_platform(config, notes);
        policy = walkford::protocol::load_policy(properties, notes);
        walkford::protocol::note_unknown_classes(policy, platform, notes);
    } catch (const std::exception& e) {
        std::cerr << "walkford: " << e.what() << "\n";
        return kBadSettings;
    }
    if (check) {
        for (const std::string& note : notes) {
            std::cout << "note: " << note << "\n";
        }
        std::cout << "settings are good\n";
        return 0;
    }
    set_up_log(platform.node_name);
    for (const std::string& note : notes) {
        spdlog::warn("settings: {}", note);
    }
    platform.incarnation = random_name();
    std::signal(SIGPIPE, SIG_IGN);
    try {
        walkford::transport::Process process(std::move(platform), std::move(policy));
        return process.run();
    } catch (const std::exception& e) {
        spdlog::error("{}", e.what());
        return kCannotServe;
    }
}
