#include "coordination/workers/answer_acknowledgement.hpp"

#include <spdlog/spdlog.h>

namespace walkford {

namespace {
constexpr std::uint32_t kMaxMissedAnswers = 2;  // in a row
}

void check_acknowledgement(const LeaderContext& context, Ms now, Machine& machine,
                           const WorkerStatus& status) {
    const Acknowledgement& answers = machine.acknowledgement;
    if (answers.answered_sequence == 0) {
        return;
    }
    bool token_not_seen = status.fencing_token < context.fencing_token &&
                          status.sequence > answers.token_announced_sequence;
    Ms lease_end =
        machine.worker.lease_renewed_at + to_ms(context.controller.platform_settings.lease_s);
    bool ended_within_lease = status.incarnation > answers.answered_incarnation && now < lease_end;
    if (token_not_seen || ended_within_lease) {
        record_missed_answer(now, machine);
    } else if (status.fencing_token == context.fencing_token &&
               !machine.worker.fencing_token_seen) {
        record_received_answer(machine);
    }
}

void record_missed_answer(Ms now, Machine& machine) {
    Acknowledgement& answers = machine.acknowledgement;
    ++answers.missed_answers;
    if (answers.missed_since < 0) {
        answers.missed_since = now;
    }
    if (answers.missed_answers == kMaxMissedAnswers) {
        spdlog::info("machine {} sends heartbeats and does not receive the answers", machine.name);
    }
}

void record_received_answer(Machine& machine) {
    machine.acknowledgement.missed_answers = 0;
    machine.acknowledgement.missed_since = -1;
}

bool receives_answers(const Machine& machine) {
    return machine.acknowledgement.missed_answers < kMaxMissedAnswers;
}

}  // namespace walkford
