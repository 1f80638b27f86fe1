// Determines when the lease of a worker has certainly expired.
#pragma once

#include <vector>

#include "coordination/leader/leader_context.hpp"

namespace walkford {

// A worker whose lease has expired has killed all its tasks. Its lease is renewed by the responses
// of this leader, and also by those of another controller while that one relays for the worker's
// zone. A controller announces this in a relay record, and this class watches those records.
class LeaseExpiry {
  public:
    // The context must outlive this object.
    explicit LeaseExpiry(LeaderContext& context) : context_(context) {}

    // Records which relay records have changed since the last call. Must be called before
    // expired().
    void watch_relays(Ms now);

    // Whether no controller has renewed the machine's lease for longer than the lease duration. The
    // caller excludes workers that may still accept commands of an older leader, and those that
    // wait for a response, as they are alive.
    bool expired(Ms now, const Machine& machine) const;

  private:
    // When this leader last saw a controller begin or end relaying for a zone.
    struct RelayWatch {
        std::uint64_t changes = 0;
        Ms changed_at = -1;
    };

    LeaderContext& context_;
    std::vector<RelayWatch> relays_;  // by zone
};

}  // namespace walkford
