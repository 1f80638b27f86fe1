#include "coordination/leadership/feature_level.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace walkford {

namespace {
constexpr Ms kRetryDelay = 1000;
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
    if (lowest <= context_.cluster_feature_level) {
        return;
    }
    context_.cluster_feature_level = lowest;
    if (context_.cluster_needs_newer_version()) {
        spdlog::error(
            "refusing to serve: all controllers have announced feature level {}, but this version "
            "supports only level {}",
            lowest, context_.platform_settings.feature_level);
    } else {
        spdlog::info("cluster feature level raised to {}: all controllers support it", lowest);
    }
}

void FeatureLevel::tick(Ms now) {
    const std::string& controller = context_.platform_settings.controller_name;
    std::uint32_t own = context_.platform_settings.feature_level;
    if (writing_ || now < retry_at_ || own <= announced_by(controller)) {
        return;
    }
    auto stored = context_.replica.announced_levels.find(controller);
    std::uint64_t version =
        stored == context_.replica.announced_levels.end() ? 0 : stored->second.version;
    Transaction transaction;
    transaction.comparisons = {{keys::announcement(controller), version}};
    transaction.writes = {{keys::announcement(controller), encode_announcement(own), 0}};
    writing_ = true;
    context_.store.transaction(RequestPriority::leadership, std::move(transaction),
                               [this](Ms at, const StoreResponse&) {
                                   // The response is ignored because the replica shows whether
                                   // the record was written.
                                   writing_ = false;
                                   retry_at_ = at + kRetryDelay;
                               });
}

}  // namespace walkford
