// Whether a worker receives the responses to its heartbeats.
//
// A worker has one heartbeat open at a time, so each heartbeat shows whether the previous response
// arrived. It did not if the worker does not report a fencing token that it should have seen, if
// its incarnation ended although we renewed the lease, or if it lacks a task that it was commanded
// to run. A single missed response may be a lost packet; several in a row mean a one-way partition,
// in which heartbeats arrive and responses do not.
#pragma once

#include "coordination/leader/leader_context.hpp"

namespace walkford {

// Compares a heartbeat with the responses sent before it, and counts a missed or a received one.
// Must be called before the heartbeat is applied to the machine's worker state.
void check_acknowledgement(const LeaderContext& context, Ms now, Machine& machine,
                           const WorkerStatus& status);

// Counts a response that the worker certainly did not receive.
void record_missed_response(Ms now, Machine& machine);

// Resets the count, as the worker has certainly received a response.
void record_received_response(Machine& machine);

// False once the worker has missed so many responses in a row that its machine gets no more work.
bool receives_responses(const Machine& machine);

}  // namespace walkford
