// Checks whether a submitted job can ever run.
#pragma once

#include <optional>
#include <string>

#include "coordination/context/controller_context.hpp"

namespace walkford {

// Whether versions below kFeatureAnyAmounts refuse the submission because of a large amount or a
// long name.
bool refused_by_former_versions(const SubmitRequest& submission);

// Why a submitted job can't run.
struct SubmissionProblem {
    std::string reason;  // as shown to the user
    // False if the job may fit a machine type that can't be read.
    bool permanent = true;
};

// Resolves the names of the team, zone and machine types in the submission to ids in its spec, then
// checks the spec against the machine types and the team's quota. Returns nullopt if the job can
// run. The machine types in the context must have been loaded.
std::optional<SubmissionProblem> validate_submission(const ControllerContext& context,
                                                     SubmitRequest& submission);

}  // namespace walkford
