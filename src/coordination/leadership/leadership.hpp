// Leader election by a key in the store that is attached to a lease. The key's version is the
// fencing token: workers reject commands that carry a lower one than they have seen.
#pragma once

#include "coordination/context/controller_context.hpp"
#include "coordination/store/store_watcher.hpp"

namespace walkford {

// Owned by the Controller. Campaigns when there is no leader, renews the lease while leading, and
// steps down when the lease or the key is lost or a higher fencing token is seen.
class Leadership {
  public:
    // The referenced objects must outlive this object.
    Leadership(ControllerContext& context, StoreWatcher& watcher);

    // Renews the lease or starts a campaign when either is due.
    void tick(Ms now);
    // Must be called when the leader key may have changed in the replica.
    void replica_changed(Ms now);
    // Records a fencing token that a worker or a peer reported. If this controller leads with a
    // lower token, it is deposed at once. `leader` is the controller that holds the token, or empty
    // if unknown.
    void observe_fencing_token(Ms now, std::uint64_t fencing_token, const std::string& leader);
    // Steps down and revokes the lease. Does nothing unless leading. `reason` is logged.
    void depose(Ms now, const char* reason);
    // Prevents campaigns from starting before `until`.
    void postpone_campaign_until(Ms until) { campaign_postponed_until_ = until; }

    // Whether this controller was elected and has not been deposed since. The lease may have
    // expired nevertheless; see valid().
    bool leading() const { return fencing_token_ != 0; }
    // Whether another controller leads as far as the replica shows. There is nothing to do until
    // that changes.
    bool following() const {
        return !leading() && !campaigning_ && context_.replica.leader_version != 0;
    }
    // The fencing token of this controller; 0 unless leading.
    std::uint64_t fencing_token() const { return fencing_token_; }
    // Whether this controller leads and certainly still holds its lease.
    bool valid(Ms now) const { return fencing_token_ != 0 && now < valid_until_; }
    // The highest fencing token seen so far, of any controller.
    std::uint64_t known_fencing_token() const { return known_fencing_token_; }
    // The controller that holds known_fencing_token(); empty if unknown.
    const std::string& known_leader() const { return known_leader_; }

    // Called immediately after this controller has won an election.
    std::function<void(Ms)> on_elected;
    // Called immediately after this controller has stepped down.
    std::function<void(Ms)> on_deposed;

  private:
    // One attempt to become the leader.
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

    // A lease renewal in progress. The fencing token identifies the term it was sent in, so that a
    // response that arrives in a later term is ignored.
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
    Ms campaign_at_ = -1;  // -1: no campaign is scheduled
    Ms campaign_postponed_until_ = -1;
    std::uint64_t known_fencing_token_ = 0;
    std::string known_leader_;
};

}  // namespace walkford
