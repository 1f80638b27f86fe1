// Simulated store: a key-value store with revisions, leases and watches, as the protocol
// documentation describes it.
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
    // Executes a call of a controller, or refuses it as unavailable. A watch returns the changes so
    // far; the caller is responsible for waiting.
    StoreResponse execute(Ms now, const std::string& controller, const StoreRequest& call);

    // Sets initial values.
    void store(const std::map<std::string, Json>& values);
    // Returns every value that the key has had, with the time at which it was set.
    std::vector<std::pair<Ms, Json>> history(const std::string& key) const;

    // Refuses all calls for `span`. When the outage ends, all leases have their full TTL again.
    void begin_outage(Ms now, Ms span);
    // Refuses one controller until the given time; its leases are not extended.
    void refuse(const std::string& controller, Ms until) { refused_until_[controller] = until; }
    bool serves(const std::string& controller, Ms now) const;
    bool in_outage(Ms now) const { return now < out_until_; }

    // Sets the size and write rate limits. Sizes are measured on the compact JSON form.
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
    // Small, so that tests exercise paging.
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
