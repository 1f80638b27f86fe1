// The simulated state service: a key-value store with revisions, leases and watches, as PROTOCOL
// describes it.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "coordination/messages/inputs.hpp"
#include "coordination/messages/outputs.hpp"
#include "coordination/settings/store_limits.hpp"

namespace walkford::standin {

class KeyValueStore {
  public:
    // Carries out a call of a controller, or refuses it with 503. A watch is answered with what has
    // changed so far; waiting is up to the caller.
    StoreResponse execute(Ms now, const std::string& controller, const StoreRequest& call);

    // Values that stand there from the beginning.
    void store(const std::map<std::string, Json>& values);
    // Every value that the key has had, and since when.
    std::vector<std::pair<Ms, Json>> history(const std::string& key) const;

    // Refuses everybody for so long. Afterwards all leases have their full time again.
    void begin_outage(Ms now, Ms span);
    // Refuses one controller until then; its leases run on.
    void refuse(const std::string& controller, Ms until) { refused_until_[controller] = until; }
    bool serves(const std::string& controller, Ms now) const;
    bool in_outage(Ms now) const { return now < out_until_; }

    // Sizes as the compact JSON form has them, and changes a second.
    void set_limits(const StoreLimits& limits) { limits_ = limits; }
    int refused_for_size = 0;
    int refused_for_rate = 0;

  private:
    struct Row {
        Json value;
        std::uint64_t version = 0;
        std::uint64_t lease = 0;
    };
    struct Lease {
        Ms ttl = 0;
        Ms until = 0;
    };
    // Small pages, so that paging is exercised.
    static constexpr std::size_t kPageSize = 7;

    void expire(Ms now);
    void drop_lease(Ms now, std::uint64_t lease);
    void get(const std::string& key, StoreResponse& reply) const;
    void list(const StoreRequest& call, StoreResponse& reply) const;
    void transact(Ms now, const Transaction& transaction, StoreResponse& reply);
    bool within_size(const Transaction& transaction) const;
    bool within_rate(Ms now, std::size_t changes);

    std::map<std::string, Row> rows_;
    std::map<std::uint64_t, Lease> leases_;
    void log(Ms now, StoreEntry row);
    std::vector<StoreEntry> log_;
    std::vector<Ms> logged_at_;
    std::uint64_t revision_ = 0;
    std::uint64_t next_lease_ = 1;
    Ms out_until_ = -1;
    StoreLimits limits_{1e9, 1e9, 1e6, 1000000};
    double allowance_ = 0;
    Ms allowance_at_ = 0;
    std::map<std::string, Ms> refused_until_;
};

}  // namespace walkford::standin
