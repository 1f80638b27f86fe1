// Helpers shared by the simulation tests.
#pragma once

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <string>
#include <vector>

#include "standin/world.hpp"

namespace walkford::standin {

// Logs at the level named by LOG_LEVEL; logging is off if it is not set.
class LogLevelFromEnvironment : public testing::Environment {
  public:
    void SetUp() override {
        const char* level = std::getenv("LOG_LEVEL");
        spdlog::set_level(level ? spdlog::level::from_str(level) : spdlog::level::off);
    }
};

// Returns the violations of a run as text, one per line.
inline std::string join_violations(const World& world) {
    std::string text;
    for (const std::string& violation : world.violations) {
        text += "\n  " + violation;
    }
    return text;
}

// Returns the seeds given as SEEDS=from:to or SEEDS=seed in the environment; empty if not set.
inline std::vector<std::uint64_t> seeds_to_search() {
    const char* range = std::getenv("SEEDS");
    if (!range) {
        return {};
    }
    char* rest = nullptr;
    std::uint64_t from = std::strtoull(range, &rest, 10);
    std::uint64_t to = *rest == ':' ? std::strtoull(rest + 1, nullptr, 10) : from;
    std::vector<std::uint64_t> seeds;
    for (std::uint64_t seed = from; seed <= to; ++seed) {
        seeds.push_back(seed);
    }
    return seeds;
}

}  // namespace walkford::standin
