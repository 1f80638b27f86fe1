#include "coordination/workers/lease_expiry.hpp"

#include <algorithm>

namespace walkford {

namespace {
constexpr Ms kLeaseMargin = 1200;
}

// A record that has come and gone counts as well: its controller may have answered up to its end.
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

// That nobody renewed the lease, a linearizable read shows that was begun once the lease was over:
// a controller that relays says so in the store before its first answer, and by then there was
// nothing left to renew.
bool LeaseExpiry::expired(Ms now, const Machine& machine) const {
    if (machine.zone >= relays_.size() || context_.relayed(machine)) {
        return false;
    }
    Ms lease = with_drift(to_ms(context_.controller.platform_settings.lease_s)) + kLeaseMargin;
    Ms last_renewal =
        std::max({machine.worker.lease_renewed_at, machine.worker.fencing_token_seen_at,
                  relays_[machine.zone].changed_at});
    Ms lease_end = last_renewal + lease;
    return now > lease_end && context_.view_confirmed_until >= lease_end;
}

}  // namespace walkford
