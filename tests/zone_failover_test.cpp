// Unit tests of zone failover: zone health, flap damping, recovery ramp, evacuation order,
// evacuation reserve and stored records.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "coordination/zone_failover/displaced_work.hpp"
#include "coordination/zone_failover/evacuation_reserve.hpp"
#include "coordination/zone_failover/recovery_ramp.hpp"
#include "coordination/zone_failover/zone_health.hpp"

namespace walkford {
namespace {

constexpr Ms kObservationInterval = 500;

ZoneEvidence evidence_with_silent(std::uint32_t count, std::uint32_t machines = 10) {
    ZoneEvidence evidence;
    evidence.machines = machines;
    evidence.silent_machines = count;
    evidence.controllers = 1;
    evidence.reachable_controllers = count == machines ? 0 : 1;
    return evidence;
}

// A zone whose health is evaluated every half second.
struct ObservedZone {
    ZoneFailoverSettings settings;
    ZoneHealth health{settings};
    Ms now = 1000;

    void observe_for(const ZoneEvidence& evidence, double span_s) {
        for (Ms end = now + to_ms(span_s); now < end; now += kObservationInterval) {
            health.observe(now, evidence);
        }
    }
    // Observes the evidence until the zone is in the state, for at most `max_s` seconds. Returns
    // how many seconds that took.
    double observe_until(ZoneState state, const ZoneEvidence& evidence, double max_s) {
        Ms began = now;
        while (health.state() != state && now < began + to_ms(max_s)) {
            observe_for(evidence, 0.5);
        }
        return static_cast<double>(now - began) / 1000.0;
    }
};

TEST(ZoneHealth, IsLostOnlyOnceItsSilenceIsConfirmed) {
    ObservedZone zone;
    zone.observe_for(evidence_with_silent(0), 10);
    EXPECT_EQ(zone.health.state(), ZoneState::up);
    zone.observe_for(evidence_with_silent(10), zone.settings.confirm_s - 1);
    EXPECT_EQ(zone.health.state(), ZoneState::suspect);
    zone.observe_for(evidence_with_silent(10), 2);
    EXPECT_EQ(zone.health.state(), ZoneState::lost);
}

TEST(ZoneHealth, StaysSuspectWhileHalfTheMachinesAreSilent) {
    ObservedZone zone;
    zone.observe_for(evidence_with_silent(5), 600);
    EXPECT_EQ(zone.health.state(), ZoneState::suspect);
    zone.observe_for(evidence_with_silent(3), 60);
    EXPECT_EQ(zone.health.state(), ZoneState::suspect)
        << "a share between recover_share and suspect_share must not change the state";
    zone.observe_for(evidence_with_silent(2), 1);
    EXPECT_EQ(zone.health.state(), ZoneState::up);
}

TEST(ZoneHealth, APartitionWithARelayingControllerIsNoLoss) {
    ObservedZone zone;
    ZoneEvidence partition = evidence_with_silent(10);
    zone.observe_for(partition, 3);
    partition.relayed = true;
    zone.observe_for(partition, 300);
    EXPECT_EQ(zone.health.state(), ZoneState::up);
}

TEST(ZoneHealth, InconclusiveEvidenceChangesNoState) {
    ObservedZone zone;
    ZoneEvidence inconclusive = evidence_with_silent(10);
    inconclusive.conclusive = false;
    zone.observe_for(inconclusive, 300);
    EXPECT_EQ(zone.health.state(), ZoneState::up);
    // Silence before and after the inconclusive period must not be added up.
    zone.observe_for(evidence_with_silent(10), zone.settings.confirm_s - 1);
    zone.observe_for(inconclusive, 60);
    zone.observe_for(evidence_with_silent(10), zone.settings.confirm_s - 1);
    EXPECT_EQ(zone.health.state(), ZoneState::suspect);
}

TEST(ZoneHealth, ContradictingEvidenceDelaysTheLoss) {
    auto seconds_until_lost = [](const std::function<void(ZoneEvidence&)>& change) {
        ObservedZone zone;
        ZoneEvidence evidence = evidence_with_silent(10);
        change(evidence);
        return zone.observe_until(ZoneState::lost, evidence, 300);
    };
    double default_s = seconds_until_lost([](ZoneEvidence&) {});
    EXPECT_GT(
        seconds_until_lost([](ZoneEvidence& evidence) { evidence.reachable_controllers = 1; }),
        1.8 * default_s);
    EXPECT_GT(
        seconds_until_lost([](ZoneEvidence& evidence) { evidence.other_zones_reporting = false; }),
        1.8 * default_s);
    EXPECT_LE(seconds_until_lost([](ZoneEvidence& evidence) {
                  evidence.reachable_controllers = 1;
                  evidence.scale_out_refused = true;
              }),
              default_s);
}

TEST(ZoneHealth, ASecondLossWithinTenMinutesSuppressesTheReturn) {
    ObservedZone zone;
    zone.observe_until(ZoneState::lost, evidence_with_silent(10), 60);
    double first = zone.observe_until(ZoneState::returning, evidence_with_silent(0), 3000);
    EXPECT_LE(first, zone.settings.recovery_s + 1);
    zone.observe_until(ZoneState::up, evidence_with_silent(0), 300);
    zone.observe_for(evidence_with_silent(0), 400);
    zone.observe_until(ZoneState::lost, evidence_with_silent(10), 60);
    EXPECT_TRUE(zone.health.suppressed(zone.now));
    double second = zone.observe_until(ZoneState::returning, evidence_with_silent(0), 3000);
    EXPECT_GT(second, 6 * first);
    EXPECT_LT(second, 800);
}

TEST(ZoneHealth, ALossDuringTheRampLowersTheFirstShareOfTheNext) {
    ObservedZone zone;
    zone.observe_until(ZoneState::lost, evidence_with_silent(10), 60);
    zone.observe_until(ZoneState::returning, evidence_with_silent(0), 60);
    zone.observe_for(evidence_with_silent(0), 5);
    zone.observe_until(ZoneState::lost, evidence_with_silent(10), 60);
    EXPECT_EQ(zone.health.failed_ramps(), 1U);
    RecoveryRamp first(zone.settings, 0), second(zone.settings, zone.health.failed_ramps());
    EXPECT_LT(second.first_share(), first.first_share());
    zone.observe_until(ZoneState::up, evidence_with_silent(0), 3000);
    EXPECT_EQ(zone.health.failed_ramps(), 0U)
        << "a complete ramp must reset the count of failed ramps";
}

TEST(ZoneHealth, ALostZoneWithoutMachinesReturnsAfterTheProbeTime) {
    ObservedZone zone;
    zone.observe_until(ZoneState::lost, evidence_with_silent(10), 60);
    ZoneEvidence no_machines;
    double took = zone.observe_until(ZoneState::returning, no_machines, 3000);
    EXPECT_GE(took, zone.settings.empty_zone_retry_s);
    EXPECT_LE(took, zone.settings.empty_zone_retry_s + 2);
}

TEST(ZoneHealth, DoesNotReturnWhileItsControllersAreUnreachable) {
    ObservedZone zone;
    zone.observe_until(ZoneState::lost, evidence_with_silent(10), 60);
    ZoneEvidence without_controllers = evidence_with_silent(0);
    without_controllers.reachable_controllers = 0;
    zone.observe_for(without_controllers, 120);
    EXPECT_EQ(zone.health.state(), ZoneState::lost);
}

TEST(ZoneHealth, IsNotEvaluatedWithTooFewMachines) {
    ObservedZone zone;
    zone.observe_for(evidence_with_silent(2, 2), 300);
    EXPECT_EQ(zone.health.state(), ZoneState::up);
}

TEST(ZoneHealth, ANewLeaderContinuesFromTheRecord) {
    ObservedZone zone;
    zone.observe_until(ZoneState::lost, evidence_with_silent(10), 60);
    zone.observe_until(ZoneState::returning, evidence_with_silent(0), 60);
    zone.observe_for(evidence_with_silent(0), 30);
    zone.observe_until(ZoneState::lost, evidence_with_silent(10), 60);
    auto decoded = decode_zone(encode_zone(zone.health.record(zone.now)));
    ASSERT_TRUE(decoded);
    ObservedZone restored;
    restored.now = 77000;
    restored.health.restore(restored.now, *decoded);
    EXPECT_EQ(restored.health.state(), ZoneState::lost);
    EXPECT_EQ(restored.health.failed_ramps(), 1U);
    EXPECT_TRUE(restored.health.suppressed(restored.now));
    double original_s = zone.observe_until(ZoneState::returning, evidence_with_silent(0), 3000);
    double restored_s = restored.observe_until(ZoneState::returning, evidence_with_silent(0), 3000);
    EXPECT_NEAR(original_s, restored_s, 2);
}

TEST(ZoneRecordEncoding, MalformedValuesAreNotDecoded) {
    EXPECT_FALSE(decode_zone(nlohmann::json("rubbish")));
    EXPECT_FALSE(decode_zone(nlohmann::json::object()));
    nlohmann::json valid = encode_zone({ZoneState::lost, 1000, 1.5, true, 2});
    EXPECT_TRUE(decode_zone(valid));
    for (const auto& [field, value] : valid.items()) {
        nlohmann::json malformed = valid;
        malformed[field] = "rubbish";
        EXPECT_FALSE(decode_zone(malformed)) << field;
        malformed.erase(field);
        EXPECT_FALSE(decode_zone(malformed)) << field;
    }
    nlohmann::json negative = valid;
    negative["p"] = -1;
    EXPECT_FALSE(decode_zone(negative));
}

RC_GTEST_PROP(ZoneRecordEncoding, DecodesWhatWasEncoded, ()) {
    ZoneRecord record;
    record.state = static_cast<ZoneState>(*rc::gen::inRange(0, 4));
    record.time_in_state = *rc::gen::inRange<Ms>(0, 100000000);
    record.penalty = *rc::gen::inRange(0, 400) / 100.0;
    record.suppressing = *rc::gen::arbitrary<bool>();
    record.failed_ramps = *rc::gen::inRange<std::uint32_t>(0, 50);
    RC_ASSERT(decode_zone(encode_zone(record)) == record);
}

RC_GTEST_PROP(FlapPenalty, DecaysAndNeverExceedsItsLimit, ()) {
    ZoneFailoverSettings settings;
    FlapPenalty penalty(settings);
    Ms now = 0;
    for (int i = *rc::gen::inRange(1, 30); i > 0; --i) {
        now += *rc::gen::inRange<Ms>(0, 400000);
        double before = penalty.value(now);
        penalty.add_loss(now);
        RC_ASSERT(penalty.value(now) <= settings.flap_max_penalty);
        RC_ASSERT(penalty.value(now) > before || before == settings.flap_max_penalty);
        RC_ASSERT(penalty.suppressing(now) || penalty.value(now) < settings.flap_suppress_penalty);
    }
    double value = penalty.value(now);
    Ms half_life = to_ms(settings.flap_half_life_s);
    RC_ASSERT(std::abs(penalty.value(now + half_life) - value / 2) < 1e-9);
    // The cap bounds the suppression time, however often the zone was lost.
    RC_ASSERT(!penalty.suppressing(now + 3 * half_life));
}

// For random evidence, only the documented state transitions occur. A zone becomes lost only after
// sustained evidence of a loss that was conclusive and not relayed.
RC_GTEST_PROP(ZoneHealth, MakesOnlyDocumentedTransitions, ()) {
    ObservedZone zone;
    Ms suspicious_since = -1;
    for (int i = *rc::gen::inRange(1, 120); i > 0; --i) {
        ZoneEvidence evidence = evidence_with_silent(*rc::gen::inRange<std::uint32_t>(0, 11));
        evidence.relayed = *rc::gen::inRange(0, 8) == 0;
        evidence.conclusive = *rc::gen::inRange(0, 8) != 0;
        evidence.other_zones_reporting = *rc::gen::arbitrary<bool>();
        for (int observations = *rc::gen::inRange(1, 60); observations > 0; --observations) {
            ZoneState before = zone.health.state();
            bool suspicious = evidence.conclusive && !evidence.relayed &&
                              evidence.silent_share() >= zone.settings.suspect_share;
            suspicious_since = !suspicious            ? -1
                               : suspicious_since < 0 ? zone.now
                                                      : suspicious_since;
            zone.health.observe(zone.now, evidence);
            ZoneState after = zone.health.state();
            if (after != before && after == ZoneState::lost) {
                RC_ASSERT(suspicious && before != ZoneState::up);
                RC_ASSERT(zone.now - suspicious_since >= to_ms(zone.settings.confirm_s) / 2);
            }
            if (after != before && after == ZoneState::returning) {
                RC_ASSERT(before == ZoneState::lost && !suspicious);
            }
            if (after != before && before == ZoneState::lost) {
                RC_ASSERT(after == ZoneState::returning);
            }
            RC_ASSERT(evidence.conclusive || after == before);
            zone.now += kObservationInterval;
        }
    }
}

RC_GTEST_PROP(RecoveryRamp, RisesFromTheFirstShareToFullCapacity, ()) {
    ZoneFailoverSettings settings;
    settings.ramp_first_share = *rc::gen::inRange(1, 101) / 100.0;
    auto failed_ramps = *rc::gen::inRange<std::uint32_t>(0, 100);
    RecoveryRamp ramp(settings, failed_ramps);
    RC_ASSERT(ramp.first_share() > 0);
    RC_ASSERT(ramp.first_share() <= settings.ramp_first_share);
    double last = 0;
    for (Ms elapsed = 0; elapsed <= to_ms(settings.ramp_s); elapsed += 1000) {
        RC_ASSERT(ramp.share(elapsed) >= last);
        last = ramp.share(elapsed);
    }
    RC_ASSERT(last >= 1 - 1e-9);
    auto reporting = *rc::gen::inRange<std::uint32_t>(0, 4000);
    RC_ASSERT(ramp.unproven_machines(reporting) >= 1);
}

// A cluster with three machines each in zones 0 and 1.
struct Cluster {
    Names names;
    ClusterState state{names, {Team{"team", {}, {}}}};
    std::uint64_t created_version = 1;

    Cluster() {
        names.teams.intern("team");
        Id machine_type = names.machine_types.intern("small");
        state.set_machine_types({{machine_type, {8, 0, 32}, 50, 1, 1, 1, 1, {0, 1}}});
        names.zones.intern("a");
        names.zones.intern("b");
        for (int i = 0; i < 6; ++i) {
            state.add_machine("m" + std::to_string(i), machine_type, i < 3 ? 0 : 1, false, 0);
        }
    }
    Id add_job(const std::string& id, const std::string& job_class, std::uint32_t tasks) {
        StoredJob stored;
        stored.record.spec.id = id;
        stored.record.spec.team = 0;
        stored.record.spec.job_class = names.job_classes.intern(job_class);
        stored.record.spec.tasks = tasks;
        stored.record.spec.task_resources = {1, 0, 1};
        stored.version = stored.created_version = ++created_version;
        state.load_job(stored, nullptr, 0);
        return state.find_job(id);
    }
    void start_task(Id job, std::uint32_t task, Id machine, std::uint32_t attempt) {
        state.assign({job, task}, machine, attempt, 0);
        state.jobs[job].next_unassigned = std::max(state.jobs[job].next_unassigned, task + 1);
        state.task({job, task}).phase = TaskPhase::acknowledged;
        state.task({job, task}).state = TaskState::running;
    }
};

DisplacedWork make_displaced_work(Names& names) {
    ZoneFailoverSettings settings;
    settings.evacuation_order = {"first", "second"};
    return DisplacedWork(EvacuationOrder(settings, names));
}

TEST(DisplacedWork, IsOrderedByClassAndReportedOnceItRunsAgain) {
    Cluster cluster;
    DisplacedWork displaced = make_displaced_work(cluster.names);
    Id second = cluster.add_job("j-1", "second", 2), first = cluster.add_job("j-2", "first", 1);
    Id other = cluster.add_job("j-3", "other", 1), elsewhere = cluster.add_job("j-4", "first", 1);
    cluster.start_task(second, 0, 0, 1);
    cluster.start_task(second, 1, 3, 1);
    cluster.start_task(first, 0, 1, 1);
    cluster.start_task(other, 0, 2, 1);
    cluster.start_task(elsewhere, 0, 4, 1);
    for (Id job : {second, first, other}) {
        displaced.mark(1000, cluster.state, job, 0);
    }
    EXPECT_EQ(displaced.evacuation_position(cluster.state, first), 0);
    EXPECT_EQ(displaced.evacuation_position(cluster.state, second), 1);
    EXPECT_EQ(displaced.evacuation_position(cluster.state, other), 2);
    EXPECT_EQ(displaced.evacuation_position(cluster.state, elsewhere), 2)
        << "a job that is not displaced must have the last position";
    EXPECT_EQ(displaced.jobs(), (std::vector<Id>{first, second, other}));
    EXPECT_TRUE(displaced.collect_finished(2000, cluster.state, {0}).empty())
        << "the tasks are still allocated in the lost zone";

    cluster.state.requeue({first, 0}, 3000);
    EXPECT_TRUE(displaced.collect_finished(3000, cluster.state, {0}).empty())
        << "the task waits for a restart";
    cluster.state.jobs[first].retry_queue.clear();
    cluster.start_task(first, 0, 3, 2);
    auto done = displaced.collect_finished(9000, cluster.state, {0});
    ASSERT_EQ(done.size(), 1U);
    EXPECT_EQ(done[0].run_again, 1U);
    EXPECT_EQ(done[0].duration, 8000);

    cluster.state.jobs[second].cancelled = true;
    done = displaced.collect_finished(10000, cluster.state, {0});
    ASSERT_EQ(done.size(), 1U);
    EXPECT_EQ(done[0].ended, 1U);
    // The zone has recovered together with the task on it, so the job counts as running again.
    EXPECT_EQ(displaced.collect_finished(11000, cluster.state, {}).size(), 1U);
    EXPECT_TRUE(displaced.empty());
}

// For random outcomes, each displaced job either is still tracked or was reported exactly once, as
// running again or as ended.
RC_GTEST_PROP(DisplacedWork, EveryJobIsTrackedUntilItRunsOrEnds, ()) {
    Cluster cluster;
    DisplacedWork displaced = make_displaced_work(cluster.names);
    const std::vector<std::string> classes{"first", "second", "other"};
    std::set<Id> outstanding;
    for (int number = *rc::gen::inRange(1, 12); number > 0; --number) {
        Id job = cluster.add_job("j-" + std::to_string(number), classes[number % 3], 1);
        cluster.start_task(job, 0, *rc::gen::inRange<Id>(0, 3), 1);
        displaced.mark(0, cluster.state, job, 0);
        outstanding.insert(job);
    }
    std::uint32_t reported = 0;
    auto displaced_count = static_cast<std::uint32_t>(outstanding.size());
    for (Ms now = 1000; !outstanding.empty(); now += 1000) {
        Id job = *outstanding.begin();
        switch (*rc::gen::inRange(0, 3)) {
            case 0:
                cluster.state.requeue({job, 0}, now);
                cluster.state.jobs[job].retry_queue.clear();
                cluster.start_task(job, 0, 4, 2);
                break;
            case 1:
                cluster.state.jobs[job].cancelled = true;
                break;
            default:
                cluster.state.remove_job(job);
        }
        outstanding.erase(job);
        for (const auto& done : displaced.collect_finished(now, cluster.state, {0})) {
            reported += done.run_again + done.ended;
        }
        RC_ASSERT(displaced.size() == outstanding.size());
        std::vector<Id> jobs = displaced.jobs();
        auto by_position = [&](Id left, Id right) {
            return displaced.evacuation_position(cluster.state, left) <
                   displaced.evacuation_position(cluster.state, right);
        };
        RC_ASSERT(std::is_sorted(jobs.begin(), jobs.end(), by_position));
    }
    RC_ASSERT(reported == displaced_count);
}

// Work that is placed later never takes the last slots that a claim needs. Work that is placed
// before the claim, or takes none of its slots, is not blocked.
RC_GTEST_PROP(EvacuationReserve, KeepsTheSlotsOfEarlierWork, ()) {
    EvacuationReserve reserve;
    JobSpec claiming;
    claiming.job_class = 1;
    claiming.task_resources = {*rc::gen::inRange(1, 5) * 1.0, 0, 1};
    auto tasks = *rc::gen::inRange<std::uint32_t>(1, 8);
    reserve.add_claim(claiming, 1, 0, tasks);
    std::vector<EvacuationReserve::PlacementTarget> targets(*rc::gen::inRange<std::size_t>(1, 6),
                                                            {0, 0, false, {8, 0, 32}});
    for (const auto& target : targets) {
        reserve.count_free_slots(target);
    }
    auto free_slots = [&] {
        std::uint32_t count = 0;
        for (const auto& target : targets) {
            count += ClusterState::slots(claiming, 0, 0, false, target.free);
        }
        return count;
    };
    std::uint32_t needed_slots = std::min(tasks, free_slots());
    Resources later_task{*rc::gen::inRange(1, 9) * 1.0, 0, 1};
    for (auto& target : targets) {
        RC_ASSERT(!reserve.blocks(later_task, 2, 9, target));
        RC_ASSERT(!reserve.blocks(later_task, 1, 0, target));
        while (later_task.fits_in(target.free) && !reserve.blocks(later_task, 1, 1, target)) {
            reserve.subtract_slots(later_task, target);
            target.free -= later_task;
        }
        RC_ASSERT(free_slots() >= needed_slots);
    }
}

}  // namespace
}  // namespace walkford
