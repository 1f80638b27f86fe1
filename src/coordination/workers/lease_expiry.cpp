#include "coordination/workers/lease_expiry.hpp"

#include <algorithm>

namespace walkford {

namespace {
constexpr Ms kLeaseMargin = 1200;
}

// Counts changes, so that a record that was created and deleted between two calls is noticed too:
// its controller may have renewed leases until the record was deleted.
void LeaseExpiry::watch_relays(Ms now) {
    const ControllerContext& controller = context_.controller;
    relays_.resize(controller.names.zones.size(), RelayWatch{0, context_.elected_at});
    for (Id zone = 0; zone < relays_.size(); ++zone) {
        std::uint64_t changes = controller.replica.relay_changes(controller.names.zones.name(zone));
        if (changes != relays_[zone].changes) {
            relays_[zone] = {changes, now};
        }
    }
}

// A controller writes its relay record to the store before its first response. A linearizable read
// that was begun after the end of the lease and finds no new record therefore proves that no other
// controller renewed the lease: one that begins to relay later finds it expired.
bool LeaseExpiry::expired(Ms now, const Machine& machine) const {
    if (machine.zone >= relays_.size() || context_.relayed(machine)) {
        return false;
    }
    Ms lease = with_drift(to_ms(context_.controller.platform_settings.lease_s)) + kLeaseMargin;
    Ms last_renewal =
        std::max({machine.worker.lease_renewed_at, machine.worker.fencing_token_seen_at,
                  relays_[machine.zone].changed_at});
    Ms lease_end = last_renewal + lease;
    return now > lease_end && context_.replica_confirmed_until >= lease_end;
}

}  // namespace walkford
