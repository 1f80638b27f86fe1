#include "coordination/feature_level.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace walkford {

namespace {
constexpr Ms kRetry = 1000;
}

std::uint32_t FeatureLevel::announced_by(const std::string& node) const {
    auto it = core_.view.announced_levels.find(node);
    return it == core_.view.announced_levels.end() ? 0 : it->second.level;
}

void FeatureLevel::view_changed() {
    std::uint32_t lowest = announced_by(core_.platform.node_name);
    for (const Peer& peer : core_.platform.peers) {
        lowest = std::min(lowest, announced_by(peer.name));
    }
    if (lowest <= core_.cluster_level) {
        return;
    }
    core_.cluster_level = lowest;
    if (core_.newer_than_supported()) {
        spdlog::error(
            "all controllers have announced feature level {}, this version knows {}: "
            "not serving",
            lowest, core_.platform.feature_level);
    } else {
        spdlog::info("feature level {} of all controllers", lowest);
    }
}

void FeatureLevel::tick(Ms now) {
    const std::string& node = core_.platform.node_name;
    std::uint32_t own = core_.platform.feature_level;
    if (writing_ || now < write_at_ || own <= announced_by(node)) {
        return;
    }
    auto known = core_.view.announced_levels.find(node);
    std::uint64_t stamp = known == core_.view.announced_levels.end() ? 0 : known->second.stamp;
    Txn txn;
    txn.conditions = {{keys::announcement(node), stamp}};
    txn.writes = {{keys::announcement(node), encode_announcement(own), 0}};
    writing_ = true;
    core_.state.txn(Urgency::leadership, std::move(txn), [this](Ms at, const StateReply&) {
        // Whatever the answer: the view shows whether the record stands.
        writing_ = false;
        write_at_ = at + kRetry;
    });
}

}  // namespace walkford
