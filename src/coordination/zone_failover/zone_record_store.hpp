// Loads and writes the zones' failover records in the store.
#pragma once

#include <functional>
#include <vector>

#include "coordination/leader/leader_context.hpp"
#include "coordination/zone_failover/zone_table.hpp"

namespace walkford {

// Loads the records that an earlier leader wrote, and writes a zone's record when its health
// changes. Owned by ZoneFailoverManager.
class ZoneRecordStore {
  public:
    // Called when the store has acknowledged the write of a record.
    using DurableHandler = std::function<void(Ms now, Id zone, const ZoneRecord& record)>;

    // All references must outlive it.
    ZoneRecordStore(LeaderContext& context, ZoneTable& zones, DurableHandler on_durable);

    // Restores the zone's health from its stored record. If there is none, or it cannot be decoded,
    // the zone is treated as up.
    void load(Ms now, Id zone);
    // Writes the zone's record if a field that affects decisions differs from the stored record, or
    // if the stored time in the state or the stored penalty is outdated. At most one write per zone
    // is in progress, and writes happen only while this controller holds the leader's lease.
    void write_if_due(Ms now, Id zone);

  private:
    struct WriteState {
        std::uint64_t version = 0;
        bool write_pending = false;
        bool unreadable = false;  // the stored value cannot be decoded; the next write replaces it
        Ms retry_at = 0;
        Ms written_at = 0;
    };

    ZoneRecord record_to_store(Ms now, Id zone);
    bool write_due(Ms now, Id zone);
    void write(Ms now, Id zone);
    void on_write_response(Ms now, Id zone, const ZoneRecord& record,
                           const StoreResponse& response);

    LeaderContext& context_;
    ZoneTable& zones_;
    DurableHandler on_durable_;
    std::vector<WriteState> writes_;  // by zone
};

}  // namespace walkford
