// Leader election: a key of the state service, written on a lease. The key's version is the fencing
// token that workers obey.
#pragma once

#include "coordination/context/controller_context.hpp"
#include "coordination/store/store_watcher.hpp"

namespace walkford {

// Owned by the Controller. Campaigns when nobody leads, renews the lease while leading, and steps
// down once the lease or the key is lost or a higher fencing token is seen.
class Leadership {
  public:
    // References must outlive it.
    Leadership(ControllerContext& context, StoreWatcher& watcher);

    // Renews the lease, or campaigns, when that is due.
    void tick(Ms now);
    // To be called when the leader's key may have changed in the replica.
    void replica_changed(Ms now);
    // Takes note of a fencing token that a worker or a peer named: a leader with a lower one is
    // deposed at once. `leader`: whose it is; empty if not known.
    void observe_fencing_token(Ms now, std::uint64_t fencing_token, const std::string& leader);
    // Steps down and releases the lease; nothing unless leading. `reason`: for the log.
    void depose(Ms now, const char* reason);
    // Starts no campaign before `until`.
    void stand_back(Ms until) { stand_back_until_ = until; }

    // Elected, and not deposed since; whether the lease still holds is told by valid().
    bool leading() const { return fencing_token_ != 0; }
    // Somebody else leads, as far as is known: there is nothing to do until that changes.
    bool following() const {
        return !leading() && !campaigning_ && context_.replica.leader_version != 0;
    }
    // Our fencing token; 0 unless leading.
    std::uint64_t fencing_token() const { return fencing_token_; }
    // Is our lease certainly still held?
    bool valid(Ms now) const { return fencing_token_ != 0 && now < valid_until_; }
    // The highest fencing token seen, whoever holds it.
    std::uint64_t known_fencing_token() const { return known_fencing_token_; }
    // The controller that holds it; empty if not known.
    const std::string& known_leader() const { return known_leader_; }

    // Called right after an election was won.
    std::function<void(Ms)> on_elected;
    // Called right after stepping down.
    std::function<void(Ms)> on_deposed;

  private:
    // One attempt to be elected.
    struct Campaign {
        Ms started_at = 0;  // when the lease was requested
        Ms ttl = 0;
        std::uint64_t lease = 0;
    };
    void start_campaign(Ms now);
    void on_lease_granted(Ms now, Campaign campaign, const StoreResponse& response);
    void write_leader_key(const Campaign& campaign);
    void on_leader_key_written(Ms now, const Campaign& campaign, const StoreResponse& response);
    void begin_term(Ms now, const Campaign& campaign, std::uint64_t fencing_token);
    Ms ttl() const { return to_ms(context_.operator_settings.lease_ttl_s); }

    // What a renewal that is under way belongs to.
    struct Renewal {
        Ms sent_at = 0;
        Ms ttl = 0;
        std::uint64_t fencing_token = 0;
    };
    void renew(Ms now);
    void on_renewed(Ms now, const Renewal& renewal, const StoreResponse& response);

    ControllerContext& context_;
    StoreWatcher& watcher_;
    std::uint64_t fencing_token_ = 0;
    std::uint64_t lease_ = 0;
    Ms valid_until_ = -1;
    Ms renew_at_ = 0;
    bool renewing_ = false;
    bool campaigning_ = false;
    Ms campaign_at_ = -1;  // -1: none is planned
    Ms stand_back_until_ = -1;
    std::uint64_t known_fencing_token_ = 0;
    std::string known_leader_;
};

}  // namespace walkford
