// Determines which stored formats may be written while controllers of two versions run side by
// side.
//
// Every controller stores the feature level of its version in a record of its own. The cluster's
// level is the lowest level of all configured controllers. A controller without a record runs
// version 0.3.0 or older and counts as level 0. A controller is never downgraded, so the cluster's
// level only rises, and a controller that is down does not hold it back once its record exists.
// Formats above the cluster's level are read but not written.
#pragma once

#include "coordination/context/controller_context.hpp"

namespace walkford {

// Owned by the Controller.
class FeatureLevel {
  public:
    // The context must outlive this object.
    explicit FeatureLevel(ControllerContext& context) : context_(context) {}

    // Writes this controller's level to the store, with retries, until the replica shows the
    // record. Call it only after the replica has been loaded.
    void tick(Ms now);
    // Must be called when announcements may have changed in the replica. Raises the cluster's level
    // in the ControllerContext to the lowest announced level.
    void replica_changed();

  private:
    // Returns the level that the controller has announced, or 0 if it has announced none.
    std::uint32_t announced_by(const std::string& controller) const;

    ControllerContext& context_;
    bool writing_ = false;
    Ms retry_at_ = 0;
};

}  // namespace walkford
