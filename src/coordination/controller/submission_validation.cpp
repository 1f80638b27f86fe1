#include "coordination/controller/submission_validation.hpp"

#include <algorithm>
#include <array>
#include <set>

namespace walkford {

namespace {
constexpr double kQuotaTolerance = 1e-6;

// Returns the reason for rejecting the submission, or nullopt.
std::optional<std::string> resolve_names(const ControllerContext& context,
                                         SubmitRequest& submission) {
    JobSpec& spec = submission.spec;
    spec.team = context.names.teams.find(submission.team_name);
    if (spec.team == kNone || spec.team >= context.platform_settings.teams.size()) {
        return "unknown team";
    }
    if (submission.zone_named) {
        spec.zone = context.names.zones.find(submission.zone_name);
        if (spec.zone == kNone) {
            return "unknown zone";
        }
    }
    if (submission.machine_types_named) {
        spec.any_machine_type = false;
        for (const std::string& name : submission.machine_type_names) {
            Id machine_type = context.names.machine_types.find(name);
            if (machine_type != kNone) {
                spec.machine_types.push_back(machine_type);
            }
        }
    }
    return std::nullopt;
}

// Returns the zones in which a task of the job fits on an allowed machine type.
std::set<Id> eligible_zones(const ControllerContext& context, const JobSpec& spec) {
    std::set<Id> zones;
    for (const MachineType& machine_type : context.machine_types) {
        if (!spec.allows_machine_type(machine_type.id) ||
            !spec.task_resources.fits_in(machine_type.size)) {
            continue;
        }
        for (Id zone : machine_type.zones) {
            if (spec.zone == kNone || spec.zone == zone) {
                zones.insert(zone);
            }
        }
    }
    return zones;
}

std::optional<std::string> validate_placement(const ControllerContext& context,
                                              const JobSpec& spec) {
    std::set<Id> zones = eligible_zones(context, spec);
    if (zones.empty()) {
        return "a task fits no allowed machine type";
    }
    // Arrays are not affected: one half of their tasks may run after the other half.
    if (spec.starts_together() && spec.spread && (spec.one_zone || zones.size() < 2)) {
        return "all tasks at once and spread over zones, with one zone to be in";
    }
    return std::nullopt;
}

std::optional<std::string> validate_quota(const ControllerContext& context, const JobSpec& spec) {
    const Team& team = context.platform_settings.teams[spec.team];
    double tasks = spec.needed_at_once();
    auto exceeds = [tasks](double each, double quota) {
        return quota > 0 && each * tasks > quota + kQuotaTolerance;
    };
    if (exceeds(spec.task_resources.cpus, team.quota.cpus) ||
        exceeds(spec.task_resources.gpus, team.quota.gpus)) {
        return "needs more than the team's limit";
    }
    return std::nullopt;
}
}  // namespace

bool refused_by_former_versions(const SubmitRequest& submission) {
    const JobSpec& spec = submission.spec;
    const std::array amounts{spec.task_resources.cpus,
                             spec.task_resources.gpus,
                             spec.task_resources.ram,
                             spec.image_gb,
                             spec.estimate_s,
                             spec.checkpoint_interval_s,
                             spec.checkpoint_duration_s,
                             spec.deadline_s};
    const std::array names{&submission.team_name, &submission.job_class_name,
                           &submission.image_name, &submission.zone_name};
    return std::any_of(amounts.begin(), amounts.end(),
                       [](double amount) { return amount > kFormerMaxAmount; }) ||
           std::any_of(names.begin(), names.end(),
                       [](const std::string* name) { return name->size() > kFormerMaxNameBytes; });
}

std::optional<SubmissionProblem> validate_submission(const ControllerContext& context,
                                                     SubmitRequest& submission) {
    if (auto reason = resolve_names(context, submission)) {
        return SubmissionProblem{*reason};
    }
    auto unplaceable = validate_placement(context, submission.spec);
    if (unplaceable && context.machine_types_complete) {
        return SubmissionProblem{*unplaceable};
    }
    if (auto reason = validate_quota(context, submission.spec)) {
        return SubmissionProblem{*reason};
    }
    if (unplaceable) {
        return SubmissionProblem{*unplaceable, false};
    }
    return std::nullopt;
}

}  // namespace walkford
