// Keeps the zones' failover records in the state service.
#pragma once

#include <functional>
#include <vector>

#include "coordination/leader/leader_context.hpp"
#include "coordination/zone_failover/zone_table.hpp"

namespace walkford {

// Loads the records that an earlier leader wrote, and writes the zones' health as it changes. Owned
// by ZoneFailoverManager.
class ZoneRecordStore {
  public:
    // Called when a record has become durable.
    using DurableHandler = std::function<void(Ms now, Id zone, const ZoneRecord& record)>;

    // All references must outlive it.
    ZoneRecordStore(LeaderContext& context, ZoneTable& zones, DurableHandler on_durable);

    // Continues from the zone's stored record. Without one, or if it can't be read, the zone is
    // taken as up.
    void load(Ms now, Id zone);
    // Writes the zone's record if it differs from the stored one in what is acted on, or if the
    // stored time or penalty is outdated. One write a zone at a time, and only under the lease.
    void write_if_due(Ms now, Id zone);

  private:
    struct WriteState {
        std::uint64_t version = 0;
        bool call_open = false;
        bool unreadable = false;  // the stored value can't be read and is replaced
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
