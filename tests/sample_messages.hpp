// Messages of users and workers as the protocol's pages show them, for the tests of the codecs.
#pragma once

#include "bookkeeping/json.hpp"

namespace walkford {

// A submission with every field of the protocol, restricted to no zone.
inline Json sample_submission() {
    return Json{
        {"uid", "j-000412"}, {"lane", "train"},    {"owner", "vision"}, {"shape", "ensemble"},
        {"rank", "high"},    {"pieces", 16},       {"vcpus", 8.0},      {"gpus", 1.0},
        {"ramGb", 64.0},     {"bundle", "img-07"}, {"imageGb", 6.2},    {"builds", {"g8"}},
        {"yard", nullptr},   {"samePlace", true},  {"spread", false},   {"loaners", true},
        {"guessS", 240.0},   {"bookmarkS", 30.0},  {"stashS", 4.0},     {"dueS", 900.0}};
}

// A heartbeat with every field of the protocol and one task that has exited.
inline Json sample_heartbeat() {
    return Json{{"walker", "host-000231"},
                {"endpoint", "10.1.0.232:9000"},
                {"build", "g8"},
                {"yard", "a"},
                {"loaners", true},
                {"stint", 1},
                {"tick", 88},
                {"baton", 41},
                {"warningS", nullptr},
                {"pieces",
                 {{{"piece", "j-000412/3"}, {"try", 2}, {"status", "exited"}, {"cause", "done"}}}}};
}

}  // namespace walkford
