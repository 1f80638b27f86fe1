// Whether a worker receives the answers to its heartbeats.
//
// A worker has one heartbeat open at a time, so a later one shows what became of the answer before:
// a fencing token that it should have seen and does not show, an incarnation that ended although we
// answered, a task that it was commanded to run and does not have. One lost packet is no more than
// that; several in a row mean that our answers do not arrive (a one-way partition).
#pragma once

#include "coordination/leader/leader_context.hpp"

namespace walkford {

// Compares a heartbeat with the answers sent before it, and counts a missed or a received answer.
// To be called before the heartbeat changes what is known of the worker.
void check_acknowledgement(const LeaderContext& context, Ms now, Machine& machine,
                           const WorkerStatus& status);

// An answer to the worker was certainly lost.
void record_missed_answer(Ms now, Machine& machine);

// An answer to the worker has certainly arrived.
void record_received_answer(Machine& machine);

// False once so many answers in a row were missed that the machine gets no more work.
bool receives_answers(const Machine& machine);

}  // namespace walkford
