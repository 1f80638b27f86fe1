#include "coordination/workers/response_acknowledgement.hpp"

#include <spdlog/spdlog.h>

namespace walkford {

namespace {
constexpr std::uint32_t kMaxMissedResponses = 2;  // in a row
}

void check_acknowledgement(const LeaderContext& context, Ms now, Machine& machine,
                           const WorkerStatus& status) {
    const Acknowledgement& acknowledgement = machine.acknowledgement;
    if (acknowledgement.answered_sequence == 0) {
        return;
    }
    bool token_not_seen = status.fencing_token < context.fencing_token &&
                          status.sequence > acknowledgement.token_announced_sequence;
    Ms lease_end =
        machine.worker.lease_renewed_at + to_ms(context.controller.platform_settings.lease_s);
    bool ended_within_lease =
        status.incarnation > acknowledgement.answered_incarnation && now < lease_end;
    if (token_not_seen || ended_within_lease) {
        record_missed_response(now, machine);
    } else if (status.fencing_token == context.fencing_token &&
               !machine.worker.fencing_token_seen) {
        record_received_response(machine);
    }
}

void record_missed_response(Ms now, Machine& machine) {
    Acknowledgement& acknowledgement = machine.acknowledgement;
    ++acknowledgement.missed_answers;
    if (acknowledgement.missed_since < 0) {
        acknowledgement.missed_since = now;
    }
    if (acknowledgement.missed_answers == kMaxMissedResponses) {
        spdlog::info("machine {} missed {} heartbeat responses in a row: it gets no more work",
                     machine.name, acknowledgement.missed_answers);
    }
}

void record_received_response(Machine& machine) {
    machine.acknowledgement.missed_answers = 0;
    machine.acknowledgement.missed_since = -1;
}

bool receives_responses(const Machine& machine) {
    return machine.acknowledgement.missed_answers < kMaxMissedResponses;
}

}  // namespace walkford
