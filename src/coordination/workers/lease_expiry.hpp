// When the lease of a worker is certainly over.
#pragma once

#include <vector>

#include "coordination/leader/leader_context.hpp"

namespace walkford {

// A worker whose lease is over has killed all its tasks. Its lease is renewed by this leader's
// answers and, while one of them relays for the worker's zone, by those of another controller; this
// class watches the relay records that announce it.
class LeaseExpiry {
  public:
    // The context must outlive this object.
    explicit LeaseExpiry(LeaderContext& context) : context_(context) {}

    // Notes which relay records have changed since the last call. To be called before expired().
    void watch_relays(Ms now);

    // Nobody has renewed the machine's lease for longer than it lasts, and no older leader may be
    // obeyed there. The caller excludes workers that wait for an answer: those are alive.
    bool expired(Ms now, const Machine& machine) const;

  private:
    // When a controller was last seen to begin or end relaying for a zone.
    struct RelayWatch {
        std::uint64_t changes = 0;
        Ms changed_at = -1;
    };

    LeaderContext& context_;
    std::vector<RelayWatch> relays_;  // by zone
};

}  // namespace walkford
