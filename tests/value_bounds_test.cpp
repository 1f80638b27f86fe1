// Tests that numbers and names of any size are read where the protocol's pages set no limit. A
// decoder once refused every number above 10,000,000, which is 115.7 days as an age in seconds: one
// machine that had been held for longer made the whole machine list of the cloud unreadable.
#include <gtest/gtest.h>

#include <cmath>
#include <limits>

#include "coordination/controller/submission_validation.hpp"
#include "sample_cloud_messages.hpp"
#include "sample_messages.hpp"

namespace walkford::protocol {
namespace {

constexpr double kDayS = 86400;
constexpr double kLargestNumber = std::numeric_limits<double>::max();

// Numbers at and above the former bound, up to the largest one that MessagePack can hold.
const std::vector<double> kLargeNumbers{1e7, 1e7 + 1, 120 * kDayS, 1e9, 1e15, kLargestNumber};

bool accepted(const Json& body, std::string_view path) {
    ParsedRequest parsed = parse_request(1, Method::post, path, pack(body));
    return std::holds_alternative<Input>(parsed);
}

// Guards against an unreadable machine list, with which no machine is used or requested.
TEST(ValueBounds, ReadsMachinesOfAnyAge) {
    for (double age_s : kLargeNumbers) {
        Json old_machine = sample_machine("host-1");
        old_machine["heldS"] = age_s;
        CloudResponse response = decode_machine_list({old_machine, sample_machine("host-2")});
        EXPECT_EQ(response.status, CloudCallStatus::ok) << age_s;
        ASSERT_EQ(response.machines.size(), 2U) << age_s;
        EXPECT_GE(response.machines[0].age_s, std::min(age_s, 1e12)) << age_s;
    }
}

// Guards against an unreadable list of machine types, without which no job is accepted.
TEST(ValueBounds, ReadsMachineTypesOfAnySizeAndPrice) {
    for (const char* field :
         {"vcpus", "gpus", "ramGb", "cacheGb", "fetchGbPerS", "price", "lowPrice", "readyS"}) {
        for (double number : kLargeNumbers) {
            Json machine_type = sample_machine_type("g8");
            machine_type[field] = number;
            Names names;
            CloudResponse response = decode_cloud(CloudOperation::list_machine_types,
                                                  Json{{"builds", {machine_type}}}, names);
            EXPECT_EQ(response.status, CloudCallStatus::ok) << field << " " << number;
        }
    }
}

// Guards against 400 for a job that the pages allow, such as one that is due in a year.
TEST(ValueBounds, ReadsSubmissionsWithNumbersOfAnySize) {
    for (const char* field :
         {"vcpus", "gpus", "ramGb", "imageGb", "guessS", "bookmarkS", "stashS", "dueS"}) {
        for (double number : kLargeNumbers) {
            Json submission = sample_submission();
            submission[field] = number;
            EXPECT_TRUE(accepted(submission, "/work")) << field << " " << number;
        }
    }
}

// Guards against 400 for the heartbeats of a machine whose notice is far off, which lets its lease
// expire.
TEST(ValueBounds, ReadsReclaimNoticesOfAnyLength) {
    for (double number : kLargeNumbers) {
        Json heartbeat = sample_heartbeat();
        heartbeat["warningS"] = number;
        EXPECT_TRUE(accepted(heartbeat, "/agent/beat")) << number;
    }
}

// Guards against names that are refused, or lists that are lost, because of a name's length.
TEST(ValueBounds, ReadsNamesOfAnyLength) {
    const std::string long_name(3000, 'x');
    for (const char* field : {"lane", "owner", "bundle", "yard"}) {
        Json submission = sample_submission();
        submission[field] = long_name;
        EXPECT_TRUE(accepted(submission, "/work")) << field;
    }
    for (const char* field : {"walker", "endpoint", "build", "yard"}) {
        Json heartbeat = sample_heartbeat();
        heartbeat[field] = long_name;
        EXPECT_TRUE(accepted(heartbeat, "/agent/beat")) << field;
        const char* listed_field = std::string_view(field) == "walker" ? "uid" : field;
        Json machine = sample_machine("host-1");
        machine[listed_field] = long_name;
        EXPECT_EQ(decode_machine_list({machine}).machines.size(), 1U) << field;
    }
}

// Guards against 400 from a controller of an older version when such a submission is repeated.
TEST(ValueBounds, KnowsWhatOlderVersionsRefuse) {
    SubmitRequest submission;
    submission.spec.deadline_s = kFormerMaxAmount;
    submission.image_name = std::string(kFormerMaxNameBytes, 'x');
    EXPECT_FALSE(refused_by_former_versions(submission));
    submission.spec.deadline_s = kFormerMaxAmount + 1;
    EXPECT_TRUE(refused_by_former_versions(submission));
    submission.spec.deadline_s = -1;
    submission.job_class_name = std::string(kFormerMaxNameBytes + 1, 'x');
    EXPECT_TRUE(refused_by_former_versions(submission));
}

// Numbers that are no amount at all are still refused, and so is a count above the page's limit.
TEST(ValueBounds, RejectsNumbersThatAreNoAmounts) {
    for (double number :
         {-1.0, -kLargestNumber, std::nan(""), std::numeric_limits<double>::infinity()}) {
        Json submission = sample_submission();
        submission["guessS"] = number;
        EXPECT_FALSE(accepted(submission, "/work")) << number;
    }
    Json submission = sample_submission();
    submission["pieces"] = 100001;
    EXPECT_FALSE(accepted(submission, "/work"));
}

// Guards against undefined behaviour: a duration that no integer can hold must not become a time in
// the past.
TEST(ValueBounds, LongDurationsDoNotOverflowTimes) {
    for (double seconds :
         {1e12, 1e15, 1e300, kLargestNumber, std::numeric_limits<double>::infinity()}) {
        EXPECT_EQ(to_ms(seconds), kMaxDuration) << seconds;
        EXPECT_EQ(to_ms(-seconds), -kMaxDuration) << seconds;
    }
    EXPECT_EQ(to_ms(120 * kDayS), 120 * 86400000LL);
    EXPECT_EQ(to_ms(0.25), 250);
    EXPECT_EQ(to_ms(-1), -1000);
    EXPECT_GT(4 * with_drift(kMaxDuration) + kMaxDuration, 0) << "sums of durations stay in range";
}

}  // namespace
}  // namespace walkford::protocol
