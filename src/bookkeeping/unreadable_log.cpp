#include "bookkeeping/unreadable_log.hpp"

#include <spdlog/spdlog.h>

#include <chrono>
#include <map>
#include <string>

namespace walkford {

namespace {
using Clock = std::chrono::steady_clock;

constexpr Clock::duration kMinInterval = std::chrono::seconds(10);
constexpr std::size_t kMaxKinds = 256;  // bounds the memory for what others send
constexpr std::size_t kMaxLoggedEntryBytes = 80;

// The lines about one kind of problem.
struct Kind {
    Clock::time_point last_line;
    std::uint64_t suppressed = 0;
};

// The clock decides only whether a line is written, never what the controller does.
std::map<std::string, Kind>& kinds() {
    static std::map<std::string, Kind> by_source_and_problem;
    return by_source_and_problem;
}
}  // namespace

void log_unreadable(std::string_view source, std::string_view entry, std::string_view problem) {
    if (kinds().size() >= kMaxKinds) {
        kinds().clear();
    }
    auto [known, is_new] = kinds().try_emplace(std::string(source) + '\n' + std::string(problem));
    Kind& kind = known->second;
    Clock::time_point now = Clock::now();
    if (!is_new && now - kind.last_line < kMinInterval) {
        ++kind.suppressed;
        return;
    }
    spdlog::warn("cannot read an entry of the {}: {}: {} ({} more like this not logged)", source,
                 entry.substr(0, kMaxLoggedEntryBytes), problem, kind.suppressed);
    kind = {now, 0};
}

void reset_unreadable_log() { kinds().clear(); }

}  // namespace walkford
