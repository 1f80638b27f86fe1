// Whether a submitted job can ever run.
#pragma once

#include <optional>
#include <string>

#include "coordination/context/controller_context.hpp"

namespace walkford {

// Resolves the team, zone and machine types that the submission names into its spec, then checks
// the spec against the machine types and the team's quota. Nothing: the job can run; otherwise the
// reason why it never can, to be shown to the user. Needs the machine types to be known.
std::optional<std::string> validate_submission(const ControllerContext& context,
                                               SubmitRequest& submission);

}  // namespace walkford
