// What decides on zone failover, by itself: health, flap damping, ramp, order, reserve, records.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "coordination/zone_failover/displaced_work.hpp"
#include "coordination/zone_failover/evacuation_reserve.hpp"
#include "coordination/zone_failover/recovery_ramp.hpp"
#include "coordination/zone_failover/zone_health.hpp"

namespace walkford {
namespace {

constexpr Ms kStep = 500;

ZoneEvidence silent(std::uint32_t count, std::uint32_t of = 10) {
    ZoneEvidence evidence;
    evidence.machines = of;
    evidence.silent_machines = count;
    evidence.controllers = 1;
    evidence.reachable_controllers = count == of ? 0 : 1;
    return evidence;
}

// A zone that is observed every half second.
struct ObservedZone {
    ZoneFailoverSettings settings;
    ZoneHealth health{settings};
    Ms now = 1000;

    void watch(const ZoneEvidence& evidence, double span_s) {
        for (Ms end = now + to_ms(span_s); now < end; now += kStep) {
            health.observe(now, evidence);
        }
    }
    // Until it is in that state, or for so long; how long that took in seconds.
    double until(ZoneState state, const ZoneEvidence& evidence, double most_s) {
        Ms began = now;
        while (health.state() != state && now < began + to_ms(most_s)) {
            watch(evidence, 0.5);
        }
        return static_cast<double>(now - began) / 1000.0;
    }
};

TEST(ZoneHealth, IsLostOnlyOnceItsSilenceIsConfirmed) {
    ObservedZone zone;
    zone.watch(silent(0), 10);
    EXPECT_EQ(zone.health.state(), ZoneState::up);
    zone.watch(silent(10), zone.settings.confirm_s - 1);
    EXPECT_EQ(zone.health.state(), ZoneState::suspect);
    zone.watch(silent(10), 2);
    EXPECT_EQ(zone.health.state(), ZoneState::lost);
}

TEST(ZoneHealth, HalfAZoneStaysSuspect) {
    ObservedZone zone;
    zone.watch(silent(5), 600);
    EXPECT_EQ(zone.health.state(), ZoneState::suspect);
    zone.watch(silent(3), 60);
    EXPECT_EQ(zone.health.state(), ZoneState::suspect) << "between the bounds nothing changes";
    zone.watch(silent(2), 1);
    EXPECT_EQ(zone.health.state(), ZoneState::up);
}

TEST(ZoneHealth, ACutWithAnswersInsideIsNoLoss) {
    ObservedZone zone;
    ZoneEvidence cut = silent(10);
    zone.watch(cut, 3);
    cut.relayed = true;
    zone.watch(cut, 300);
    EXPECT_EQ(zone.health.state(), ZoneState::up);
}

TEST(ZoneHealth, AnOutageOfTheStateServiceMovesNothing) {
    ObservedZone zone;
    ZoneEvidence unknown = silent(10);
    unknown.conclusive = false;
    zone.watch(unknown, 300);
    EXPECT_EQ(zone.health.state(), ZoneState::up);
    // And what was seen before does not count together with what is seen after.
    zone.watch(silent(10), zone.settings.confirm_s - 1);
    zone.watch(unknown, 60);
    zone.watch(silent(10), zone.settings.confirm_s - 1);
    EXPECT_EQ(zone.health.state(), ZoneState::suspect);
}

TEST(ZoneHealth, OtherEvidenceDelaysTheLoss) {
    auto takes = [](const std::function<void(ZoneEvidence&)>& change) {
        ObservedZone zone;
        ZoneEvidence evidence = silent(10);
        change(evidence);
        return zone.until(ZoneState::lost, evidence, 300);
    };
    double plain = takes([](ZoneEvidence&) {});
    EXPECT_GT(takes([](ZoneEvidence& e) { e.reachable_controllers = 1; }), 1.8 * plain);
    EXPECT_GT(takes([](ZoneEvidence& e) { e.other_zones_reporting = false; }), 1.8 * plain);
    EXPECT_LE(takes([](ZoneEvidence& e) {
                  e.reachable_controllers = 1;
                  e.scale_out_refused = true;
              }),
              plain);
}

TEST(ZoneHealth, OneLossIsNotHeldDownTheSecondWithinTenMinutesIs) {
    ObservedZone zone;
    zone.until(ZoneState::lost, silent(10), 60);
    double first = zone.until(ZoneState::returning, silent(0), 3000);
    EXPECT_LE(first, zone.settings.return_s + 1);
    zone.until(ZoneState::up, silent(0), 300);
    zone.watch(silent(0), 400);
    zone.until(ZoneState::lost, silent(10), 60);
    EXPECT_TRUE(zone.health.suppressed(zone.now));
    double second = zone.until(ZoneState::returning, silent(0), 3000);
    EXPECT_GT(second, 6 * first);
    EXPECT_LT(second, 800);
}

TEST(ZoneHealth, AFlapInTheRampLowersTheNextOne) {
    ObservedZone zone;
    zone.until(ZoneState::lost, silent(10), 60);
    zone.until(ZoneState::returning, silent(0), 60);
    zone.watch(silent(0), 5);
    zone.until(ZoneState::lost, silent(10), 60);
    EXPECT_EQ(zone.health.failed_ramps(), 1U);
    RecoveryRamp first(zone.settings, 0), second(zone.settings, zone.health.failed_ramps());
    EXPECT_LT(second.first_share(), first.first_share());
    zone.until(ZoneState::up, silent(0), 3000);
    EXPECT_EQ(zone.health.failed_ramps(), 0U) << "a complete ramp is forgiven";
}

TEST(ZoneHealth, AZoneWithNothingLeftToJudgeByIsTriedAgain) {
    ObservedZone zone;
    zone.until(ZoneState::lost, silent(10), 60);
    ZoneEvidence nothing;
    double took = zone.until(ZoneState::returning, nothing, 3000);
    EXPECT_GE(took, zone.settings.probe_s);
    EXPECT_LE(took, zone.settings.probe_s + 2);
}

TEST(ZoneHealth, MachinesWithoutTheZonesControllersAreNoReturn) {
    ObservedZone zone;
    zone.until(ZoneState::lost, silent(10), 60);
    ZoneEvidence headless = silent(0);
    headless.reachable_controllers = 0;
    zone.watch(headless, 120);
    EXPECT_EQ(zone.health.state(), ZoneState::lost);
}

TEST(ZoneHealth, TooFewMachinesAreNotJudged) {
    ObservedZone zone;
    zone.watch(silent(2, 2), 300);
    EXPECT_EQ(zone.health.state(), ZoneState::up);
}

TEST(ZoneHealth, AnotherLeaderContinuesFromTheRecord) {
    ObservedZone zone;
    zone.until(ZoneState::lost, silent(10), 60);
    zone.until(ZoneState::returning, silent(0), 60);
    zone.watch(silent(0), 30);
    zone.until(ZoneState::lost, silent(10), 60);
    auto read = decode_zone(encode_zone(zone.health.record(zone.now)));
    ASSERT_TRUE(read);
    ObservedZone next;
    next.now = 77000;
    next.health.restore(next.now, *read);
    EXPECT_EQ(next.health.state(), ZoneState::lost);
    EXPECT_EQ(next.health.failed_ramps(), 1U);
    EXPECT_TRUE(next.health.suppressed(next.now));
    double here = zone.until(ZoneState::returning, silent(0), 3000);
    double there = next.until(ZoneState::returning, silent(0), 3000);
    EXPECT_NEAR(here, there, 2);
}

TEST(ZoneRecordForm, GarbledValuesAreNotRead) {
    EXPECT_FALSE(decode_zone(nlohmann::json("rubbish")));
    EXPECT_FALSE(decode_zone(nlohmann::json::object()));
    nlohmann::json good = encode_zone({ZoneState::lost, 1000, 1.5, true, 2});
    EXPECT_TRUE(decode_zone(good));
    for (const auto& [field, value] : good.items()) {
        nlohmann::json bad = good;
        bad[field] = "rubbish";
        EXPECT_FALSE(decode_zone(bad)) << field;
        bad.erase(field);
        EXPECT_FALSE(decode_zone(bad)) << field;
    }
    nlohmann::json negative = good;
    negative["p"] = -1;
    EXPECT_FALSE(decode_zone(negative));
}

RC_GTEST_PROP(ZoneRecordForm, IsReadAsItWasWritten, ()) {
    ZoneRecord record;
    record.state = static_cast<ZoneState>(*rc::gen::inRange(0, 4));
    record.in_state = *rc::gen::inRange<Ms>(0, 100000000);
    record.penalty = *rc::gen::inRange(0, 400) / 100.0;
    record.suppressing = *rc::gen::arbitrary<bool>();
    record.failed_ramps = *rc::gen::inRange<std::uint32_t>(0, 50);
    RC_ASSERT(decode_zone(encode_zone(record)) == record);
}

RC_GTEST_PROP(FlapPenalty, DecaysAndNeverPassesItsBound, ()) {
    ZoneFailoverSettings settings;
    FlapPenalty penalty(settings);
    Ms now = 0;
    for (int i = *rc::gen::inRange(1, 30); i > 0; --i) {
        now += *rc::gen::inRange<Ms>(0, 400000);
        double before = penalty.value(now);
        penalty.add_loss(now);
        RC_ASSERT(penalty.value(now) <= settings.flap_most);
        RC_ASSERT(penalty.value(now) > before || before == settings.flap_most);
        RC_ASSERT(penalty.suppressing(now) || penalty.value(now) < settings.flap_suppress);
    }
    double value = penalty.value(now);
    Ms half_life = to_ms(settings.flap_half_life_s);
    RC_ASSERT(std::abs(penalty.value(now + half_life) - value / 2) < 1e-9);
    // However often it was lost: a bound on how long it is held down.
    RC_ASSERT(!penalty.suppressing(now + 3 * half_life));
}

// Whatever is observed, only the transitions of the table happen, and a loss only follows evidence
// of one that was conclusive, not relayed, and lasted.
RC_GTEST_PROP(ZoneHealth, FollowsItsTableWhateverIsObserved, ()) {
    ObservedZone zone;
    Ms bad_since = -1;
    for (int i = *rc::gen::inRange(1, 120); i > 0; --i) {
        ZoneEvidence evidence = silent(*rc::gen::inRange<std::uint32_t>(0, 11));
        evidence.relayed = *rc::gen::inRange(0, 8) == 0;
        evidence.conclusive = *rc::gen::inRange(0, 8) != 0;
        evidence.other_zones_reporting = *rc::gen::arbitrary<bool>();
        for (int n = *rc::gen::inRange(1, 60); n > 0; --n) {
            ZoneState before = zone.health.state();
            bool bad = evidence.conclusive && !evidence.relayed &&
                       evidence.silent_share() >= zone.settings.suspect_share;
            bad_since = !bad ? -1 : bad_since < 0 ? zone.now : bad_since;
            zone.health.observe(zone.now, evidence);
            ZoneState after = zone.health.state();
            if (after != before && after == ZoneState::lost) {
                RC_ASSERT(bad && before != ZoneState::up);
                RC_ASSERT(zone.now - bad_since >= to_ms(zone.settings.confirm_s) / 2);
            }
            if (after != before && after == ZoneState::returning) {
                RC_ASSERT(before == ZoneState::lost && !bad);
            }
            if (after != before && before == ZoneState::lost) {
                RC_ASSERT(after == ZoneState::returning);
            }
            RC_ASSERT(evidence.conclusive || after == before);
            zone.now += kStep;
        }
    }
}

RC_GTEST_PROP(RecoveryRamp, RisesFromALowShareToAll, ()) {
    ZoneFailoverSettings settings;
    settings.ramp_first_share = *rc::gen::inRange(1, 101) / 100.0;
    auto failed = *rc::gen::inRange<std::uint32_t>(0, 100);
    RecoveryRamp ramp(settings, failed);
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

// A cluster with jobs that run on machines of zone 0.
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
    Id job(const std::string& id, const std::string& job_class, std::uint32_t tasks) {
        StoredJob replica;
        replica.record.spec.id = id;
        replica.record.spec.team = 0;
        replica.record.spec.job_class = names.job_classes.intern(job_class);
        replica.record.spec.tasks = tasks;
        replica.record.spec.task_resources = {1, 0, 1};
        replica.version = replica.created_version = ++created_version;
        state.load_job(replica, nullptr, 0);
        return state.find_job(id);
    }
    void run(Id job, std::uint32_t task, Id machine, std::uint32_t attempt) {
        state.assign({job, task}, machine, attempt, 0);
        state.jobs[job].next_unassigned = std::max(state.jobs[job].next_unassigned, task + 1);
        state.task({job, task}).phase = TaskPhase::acknowledged;
        state.task({job, task}).state = TaskState::running;
    }
};

DisplacedWork displaced_work(Names& names) {
    ZoneFailoverSettings settings;
    settings.order = {"first", "second"};
    return DisplacedWork(EvacuationOrder(settings, names));
}

TEST(DisplacedWork, IsRankedByClassAndToldOnceItRunsAgain) {
    Cluster cluster;
    DisplacedWork displaced = displaced_work(cluster.names);
    Id second = cluster.job("j-1", "second", 2), first = cluster.job("j-2", "first", 1);
    Id other = cluster.job("j-3", "other", 1), elsewhere = cluster.job("j-4", "first", 1);
    cluster.run(second, 0, 0, 1);
    cluster.run(second, 1, 3, 1);
    cluster.run(first, 0, 1, 1);
    cluster.run(other, 0, 2, 1);
    cluster.run(elsewhere, 0, 4, 1);
    for (Id job : {second, first, other}) {
        displaced.mark(1000, cluster.state, job, 0);
    }
    EXPECT_EQ(displaced.evacuation_position(cluster.state, first), 0);
    EXPECT_EQ(displaced.evacuation_position(cluster.state, second), 1);
    EXPECT_EQ(displaced.evacuation_position(cluster.state, other), 2);
    EXPECT_EQ(displaced.evacuation_position(cluster.state, elsewhere), 2)
        << "not displaced: as the rest";
    EXPECT_EQ(displaced.jobs(), (std::vector<Id>{first, second, other}));
    EXPECT_TRUE(displaced.collect_finished(2000, cluster.state, {0}).empty())
        << "still counted there";

    cluster.state.requeue({first, 0}, 3000);
    EXPECT_TRUE(displaced.collect_finished(3000, cluster.state, {0}).empty()) << "it waits";
    cluster.state.jobs[first].retry_queue.clear();
    cluster.run(first, 0, 3, 2);
    auto done = displaced.collect_finished(9000, cluster.state, {0});
    ASSERT_EQ(done.size(), 1U);
    EXPECT_EQ(done[0].run_again, 1U);
    EXPECT_EQ(done[0].took, 8000);

    cluster.state.jobs[second].cancelled = true;
    done = displaced.collect_finished(10000, cluster.state, {0});
    ASSERT_EQ(done.size(), 1U);
    EXPECT_EQ(done[0].ended, 1U);
    // The zone is back with the task that ran there: it runs again.
    EXPECT_EQ(displaced.collect_finished(11000, cluster.state, {}).size(), 1U);
    EXPECT_TRUE(displaced.empty());
}

// However work is placed and lost: each displaced job is either still named, or was told as running
// again or ended, once.
RC_GTEST_PROP(DisplacedWork, EveryJobIsNamedUntilItRunsOrEnds, ()) {
    Cluster cluster;
    DisplacedWork displaced = displaced_work(cluster.names);
    const std::vector<std::string> classes{"first", "second", "other"};
    std::set<Id> open;
    for (int n = *rc::gen::inRange(1, 12); n > 0; --n) {
        Id job = cluster.job("j-" + std::to_string(n), classes[n % 3], 1);
        cluster.run(job, 0, *rc::gen::inRange<Id>(0, 3), 1);
        displaced.mark(0, cluster.state, job, 0);
        open.insert(job);
    }
    std::uint32_t told = 0;
    auto all = static_cast<std::uint32_t>(open.size());
    for (Ms now = 1000; !open.empty(); now += 1000) {
        Id job = *open.begin();
        switch (*rc::gen::inRange(0, 3)) {
            case 0:
                cluster.state.requeue({job, 0}, now);
                cluster.state.jobs[job].retry_queue.clear();
                cluster.run(job, 0, 4, 2);
                break;
            case 1:
                cluster.state.jobs[job].cancelled = true;
                break;
            default:
                cluster.state.remove_job(job);
        }
        open.erase(job);
        for (const auto& done : displaced.collect_finished(now, cluster.state, {0})) {
            told += done.run_again + done.ended;
        }
        RC_ASSERT(displaced.size() == open.size());
        std::vector<Id> jobs = displaced.jobs();
        auto by_position = [&](Id a, Id b) {
            return displaced.evacuation_position(cluster.state, a) <
                   displaced.evacuation_position(cluster.state, b);
        };
        RC_ASSERT(std::is_sorted(jobs.begin(), jobs.end(), by_position));
    }
    RC_ASSERT(told == all);
}

// Lower work never takes the last slots that higher displaced work is counted on; what goes before
// it, or does not take from it, is not held back.
RC_GTEST_PROP(EvacuationReserve, KeepsTheSlotsOfHigherWork, ()) {
    EvacuationReserve reserve;
    JobSpec high;
    high.job_class = 1;
    high.task_resources = {*rc::gen::inRange(1, 5) * 1.0, 0, 1};
    auto tasks = *rc::gen::inRange<std::uint32_t>(1, 8);
    reserve.claim(high, 1, 0, tasks);
    std::vector<EvacuationReserve::Place> places(*rc::gen::inRange<std::size_t>(1, 6),
                                                 {0, 0, false, {8, 0, 32}});
    for (const auto& place : places) {
        reserve.count(place);
    }
    auto slots = [&] {
        std::uint32_t n = 0;
        for (const auto& place : places) {
            n += ClusterState::slots(high, 0, 0, false, place.free);
        }
        return n;
    };
    std::uint32_t least = std::min(tasks, slots());
    Resources low{*rc::gen::inRange(1, 9) * 1.0, 0, 1};
    for (auto& place : places) {
        RC_ASSERT(!reserve.blocks(low, 2, 9, place));
        RC_ASSERT(!reserve.blocks(low, 1, 0, place));
        while (low.fits_in(place.free) && !reserve.blocks(low, 1, 1, place)) {
            reserve.take(low, place);
            place.free -= low;
        }
        RC_ASSERT(slots() >= least);
    }
}

}  // namespace
}  // namespace walkford
