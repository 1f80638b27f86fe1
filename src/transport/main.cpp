// Entry point: parses the command line, loads the settings, configures logging and runs the process
// until it is killed.
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

constexpr int kExitInvalidSettings = 2;
constexpr int kExitRuntimeError = 1;

void configure_logging(const std::string& controller) {
    auto logger = spdlog::stderr_logger_st(controller);
    logger->set_pattern("[%H:%M:%S.%e] [%n] [%l] %v");
    const char* level = std::getenv("LOG_LEVEL");
    std::string name = level ? level : "info";
    bool valid = name == "error" || name == "info" || name == "debug";
    logger->set_level(name == "error"   ? spdlog::level::err
                      : name == "debug" ? spdlog::level::debug
                                        : spdlog::level::info);
    spdlog::set_default_logger(logger);
    if (!valid) {
        spdlog::warn("invalid LOG_LEVEL '{}': expected error, info or debug; using info", name);
    }
}

// Returns an identifier that distinguishes this run of the process from all others.
std::string random_incarnation() {
    std::random_device device;
    char text[17];
    std::snprintf(text, sizeof text, "%08x%08x", device(), device());
    return text;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"walkford cluster scheduler: runs one controller"};
    std::string config;
    std::vector<std::string> properties;
    bool check = false;
    app.add_option("--config", config, "the platform's settings, a JSON file")->required();
    app.add_option("--properties", properties,
                   "the operators' settings, property files; later files override earlier ones")
        ->expected(1)
        ->take_all();
    app.add_flag("--check", check, "validate the settings files and exit");
    app.set_version_flag("--version", std::string("walkford ") + WALKFORD_VERSION);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        int code = app.exit(error);
        return code == 0 ? 0 : kExitInvalidSettings;
    }

    walkford::PlatformSettings platform_settings;
    walkford::OperatorSettings operator_settings;
    std::vector<std::string> notes;
    try {
        platform_settings = walkford::protocol::load_platform_settings(config, notes);
        operator_settings = walkford::protocol::load_operator_settings(properties, notes);
        walkford::protocol::note_unknown_classes(operator_settings, platform_settings, notes);
    } catch (const std::exception& error) {
        std::cerr << "walkford: " << error.what() << "\n";
        return kExitInvalidSettings;
    }
    if (check) {
        for (const std::string& note : notes) {
            std::cout << "note: " << note << "\n";
        }
        std::cout << "settings are good\n";
        return 0;
    }
    configure_logging(platform_settings.controller_name);
    for (const std::string& note : notes) {
        spdlog::warn("settings: {}", note);
    }
    platform_settings.incarnation = random_incarnation();
    std::signal(SIGPIPE, SIG_IGN);
    try {
        walkford::transport::Process process(std::move(platform_settings),
                                             std::move(operator_settings));
        return process.run();
    } catch (const std::exception& error) {
        spdlog::error("{}", error.what());
        return kExitRuntimeError;
    }
}
