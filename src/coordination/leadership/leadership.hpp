// Who leads: a key on a lease of the state service. Its stamp is the token that workers obey.
#pragma once

#include "coordination/context/controller_context.hpp"
#include "coordination/store/store_watcher.hpp"

namespace walkford {

class Leadership {
  public:
    Leadership(ControllerContext& context, StoreWatcher& watcher)
        : context_(context), watcher_(watcher) {}

    void tick(Ms now);
    void replica_changed(Ms now);
    // A higher token is in force: whoever holds a lower one is deposed at once.
    void observe_fencing_token(Ms now, std::uint64_t fencing_token, const std::string& leader);
    void depose(Ms now, const char* why);

    // Leaves elections to others until then, unless none of them leads.
    void stand_back(Ms until) { stand_back_until_ = until; }

    bool leading() const { return fencing_token_ != 0; }
    // Somebody else leads, as far as is known: nothing to do until that changes.
    bool following() const {
        return !leading() && !campaigning_ && context_.replica.leader_version != 0;
    }
    std::uint64_t fencing_token() const { return fencing_token_; }
    // Our lease is surely still ours.
    bool valid(Ms now) const { return fencing_token_ != 0 && now < valid_until_; }
    std::uint64_t known_fencing_token() const { return known_fencing_token_; }
    const std::string& known_leader() const { return known_leader_; }

    std::function<void(Ms)> on_elected;
    std::function<void(Ms)> on_deposed;

  private:
    void campaign(Ms now);
    void renew(Ms now);

    ControllerContext& context_;
    StoreWatcher& watcher_;
    std::uint64_t fencing_token_ = 0;
    std::uint64_t lease_ = 0;
    Ms valid_until_ = -1;
    Ms renew_at_ = 0;
    bool renewing_ = false;
    bool campaigning_ = false;
    Ms campaign_at_ = -1;
    Ms stand_back_until_ = -1;
    std::uint64_t known_fencing_token_ = 0;
    std::string known_leader_;
};

}  // namespace walkford
