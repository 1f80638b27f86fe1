#include "coordination/leadership/feature_level.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace walkford {

namespace {
constexpr Ms kRetry = 1000;
}  // namespace

std::uint32_t FeatureLevel::announced_by(const std::string& controller) const {
    const auto& announcements = context_.replica.announced_levels;
    auto announcement = announcements.find(controller);
    return announcement == announcements.end() ? 0 : announcement->second.level;
}

void FeatureLevel::replica_changed() {
    std::uint32_t lowest = announced_by(context_.platform_settings.controller_name);
    for (const Peer& peer : context_.platform_settings.peers) {
        lowest = std::min(lowest, announced_by(peer.name));
    }
    if (lowest <= context_.cluster_level) {
        return;
    }
    context_.cluster_level = lowest;
    if (context_.newer_than_supported()) {
        spdlog::error(
            "all controllers have announced feature level {}, this version knows {}: "
            "not serving",
            lowest, context_.platform_settings.feature_level);
    } else {
        spdlog::info("feature level {} of all controllers", lowest);
    }
}

void FeatureLevel::tick(Ms now) {
    const std::string& controller = context_.platform_settings.controller_name;
    std::uint32_t own = context_.platform_settings.feature_level;
    if (writing_ || now < retry_at_ || own <= announced_by(controller)) {
        return;
    }
    auto known = context_.replica.announced_levels.find(controller);
    std::uint64_t version =
        known == context_.replica.announced_levels.end() ? 0 : known->second.version;
    Transaction transaction;
    transaction.comparisons = {{keys::announcement(controller), version}};
    transaction.writes = {{keys::announcement(controller), encode_announcement(own), 0}};
    writing_ = true;
    context_.store.transaction(RequestPriority::leadership, std::move(transaction),
                               [this](Ms at, const StoreResponse&) {
                                   // Whatever the response: the replica shows whether the
                                   // record was written.
                                   writing_ = false;
                                   retry_at_ = at + kRetry;
                               });
}

}  // namespace walkford
