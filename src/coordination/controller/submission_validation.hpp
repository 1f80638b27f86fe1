// Checks whether a submitted job can ever run.
#pragma once

#include <optional>
#include <string>

#include "coordination/context/controller_context.hpp"

namespace walkford {

// Resolves the names of the team, zone and machine types in the submission to ids in its spec, then
// checks the spec against the machine types and the team's quota. Returns nullopt if the job can
// run, otherwise the reason why it never can, as shown to the user. The machine types in the
// context must have been loaded.
std::optional<std::string> validate_submission(const ControllerContext& context,
                                               SubmitRequest& submission);

}  // namespace walkford
