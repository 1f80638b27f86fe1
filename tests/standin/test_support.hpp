// What the tests of the simulated world share: a quiet log and a day's broken rules as text.
#pragma once

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <string>

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

}  // namespace walkford::standin
