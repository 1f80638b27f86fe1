// What the tests of the simulated world share: a quiet log and a day's broken rules as text.
#pragma once

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <string>
#include <vector>

#include "standin/world.hpp"

namespace walkford::standin {

// No log but at the level that LOG_LEVEL names.
class QuietLog : public testing::Environment {
  public:
    void SetUp() override {
        const char* level = std::getenv("LOG_LEVEL");
        spdlog::set_level(level ? spdlog::level::from_str(level) : spdlog::level::off);
    }
};

inline std::string all(const World& world) {
    std::string text;
    for (const std::string& violation : world.violations) {
        text += "\n  " + violation;
    }
    return text;
}

// The seeds to search, SEEDS=from:to in the environment; none without it.
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
