// Tests that text which is not UTF-8 is rejected where a message enters, and that whatever a
// decoder accepts can be stored. Such text ended every controller that received it, because a
// record that contains it can't be written as JSON.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <spdlog/spdlog.h>

#include <cstdlib>

#include "bookkeeping/job_record.hpp"
#include "protocol/messagepack_codec.hpp"
#include "protocol/peer_frame.hpp"
#include "protocol/utf8.hpp"
#include "protocol/wire.hpp"
#include "sample_cloud_messages.hpp"
#include "sample_messages.hpp"

namespace walkford::protocol {
namespace {

const std::string kLatin1 = "R\374ckzahlung";

// The properties below use the same random numbers in each run, unless RC_PARAMS says otherwise.
const bool kSeeded = setenv("RC_PARAMS", "seed=42", /*replace=*/0) == 0;

// The status code of a request that is rejected by its decoder; 200 for one that is accepted.
int status_code(const Json& body, std::string_view path) {
    ParsedRequest parsed = parse_request(1, Method::post, path, pack(body));
    auto* rejection = std::get_if<HttpResponse>(&parsed);
    return rejection ? rejection->code : 200;
}

// Calls `check` once for each string and each map key in the document, each time with a copy in
// which just that text is replaced.
void for_each_text(const Json& document, const std::string& replacement,
                   const std::function<void(const Json&, const std::string&)>& check) {
    const Json flat = document.flatten();
    for (const auto& [path, value] : flat.items()) {
        if (value.is_string()) {
            Json changed = document;
            changed[Json::json_pointer(path)] = replacement;
            check(changed, path);
        }
        Json::json_pointer pointer(path);
        if (document[pointer.parent_pointer()].is_object()) {
            Json changed = document;
            changed[pointer.parent_pointer()][replacement] = value;
            check(changed, path + " (key)");
        }
    }
}

bool all_text_is_utf8(const Json& value) {
    try {
        static_cast<void>(value.dump());
        return true;
    } catch (const Json::exception&) {
        return false;
    }
}

TEST(TextValidation, AgreesWithWhatCanBeWrittenAsJson) {
    for (const char* valid : {"", "plain", "R\303\274ckzahlung", "\xf0\x9f\x98\x80", "\x7f\x01"}) {
        EXPECT_TRUE(is_valid_utf8(valid)) << valid;
        EXPECT_EQ(replace_invalid_utf8(valid), valid);
    }
    // A Latin-1 letter, a lone continuation byte, a cut off sequence, an overlong one, a surrogate
    // and a code point above the last one.
    for (const char* invalid :
         {"R\374ck", "\x80", "a\xe2\x82", "\xc0\xaf", "\xed\xa0\x80", "\xf4\x90\x80\x80", "\xff"}) {
        EXPECT_FALSE(is_valid_utf8(invalid)) << invalid;
        EXPECT_TRUE(is_valid_utf8(replace_invalid_utf8(invalid)));
    }
}

TEST(TextValidation, RejectsASubmissionWithInvalidTextInAnyFieldOrKey) {
    Json submission = sample_submission();
    submission["yard"] = "a";
    ASSERT_EQ(status_code(submission, "/work"), 200);
    for_each_text(submission, kLatin1, [](const Json& body, const std::string& where) {
        EXPECT_EQ(status_code(body, "/work"), 400) << where;
    });
    Json unknown_field = sample_submission();
    unknown_field["note"] = Json{{"deep", Json::array({kLatin1})}};
    EXPECT_EQ(status_code(unknown_field, "/work"), 400) << "in a field that is ignored";
}

TEST(TextValidation, RejectsAHeartbeatWithInvalidTextInAnyFieldOrKey) {
    ASSERT_EQ(status_code(sample_heartbeat(), "/agent/beat"), 200);
    for_each_text(sample_heartbeat(), kLatin1, [](const Json& body, const std::string& where) {
        EXPECT_EQ(status_code(body, "/agent/beat"), 400) << where;
    });
}

TEST(TextValidation, RejectsPathsWithInvalidText) {
    for (const std::string& path :
         std::vector<std::string>{"/work/" + kLatin1, "/" + kLatin1, "/work/j-1\xff/cancel"}) {
        ParsedRequest parsed = parse_request(1, Method::get, path, "");
        auto* rejection = std::get_if<HttpResponse>(&parsed);
        ASSERT_TRUE(rejection);
        EXPECT_EQ(rejection->code, 404);
        EXPECT_TRUE(unpack(rejection->body));
    }
}

TEST(TextValidation, DropsAWorkersDirectResponseWithInvalidText) {
    EXPECT_TRUE(decode_worker_response(1, 200, pack(sample_heartbeat())).worker_status);
    for_each_text(sample_heartbeat(), kLatin1, [](const Json& body, const std::string& where) {
        EXPECT_FALSE(decode_worker_response(1, 200, pack(body)).worker_status) << where;
    });
}

// The names in what is decoded, none of which may be the invalid text or what replaces it.
std::vector<std::string> names_in(const CloudResponse& response) {
    std::vector<std::string> names = response.names;
    names.insert(names.end(), response.unreadable_names.begin(), response.unreadable_names.end());
    names.push_back(response.last_name);
    for (const CloudMachine& machine : response.machines) {
        names.insert(names.end(),
                     {machine.name, machine.address, machine.machine_type, machine.zone});
    }
    return names;
}

// Invalid text costs the entry that contains it, or the field if the entry can do without it, and
// never gets out of the decoder.
TEST(TextValidation, InvalidTextInACloudResponseCostsItsEntryAndDoesNotGetOut) {
    const Json valid = sample_machine("host-000231");
    ASSERT_EQ(decode_machine_list({valid}).machines.size(), 1U);
    for_each_text(valid, kLatin1, [](const Json& machine, const std::string& where) {
        CloudResponse response = decode_machine_list({machine, sample_machine("host-000232")});
        ASSERT_EQ(response.status, CloudCallStatus::ok) << where;
        ASSERT_FALSE(response.machines.empty()) << where;
        EXPECT_EQ(response.machines.back().name, "host-000232") << where;
        bool entry_is_lost = where == "/uid" || where == "/build" || where == "/yard";
        if (entry_is_lost) {
            EXPECT_EQ(response.machines.size(), 1U) << where;
        }
        for (const std::string& name : names_in(response)) {
            EXPECT_TRUE(is_valid_utf8(name)) << where;
            EXPECT_EQ(name.find(kReplacementCharacter), std::string::npos) << where;
        }
    });
    Names names;
    CloudResponse granted =
        decode_cloud(CloudOperation::scale_out, Json{{"walkers", {"host-1", kLatin1}}}, names);
    EXPECT_EQ(granted.names, std::vector<std::string>{"host-1"})
        << "a machine that can't be stored must not count as granted";
}

// Earlier versions stored submissions with such text. Their jobs were accepted, so they must run,
// and it must be possible to cancel them, which writes the record again.
TEST(TextValidation, ReplacesInvalidTextInStoredValuesSoThatAcceptedJobsRun) {
    Names names;
    JobSpec spec;
    spec.id = "j-1";
    spec.team = names.teams.intern("vision");
    spec.job_class = names.job_classes.intern(kLatin1);
    spec.image = names.images.intern(kLatin1);
    Json value = encode_job({spec, false}, names);
    ASSERT_FALSE(all_text_is_utf8(value));
    StoreRequest watch;
    watch.operation = StoreOperation::changes;
    Json event{{"write", "w/j/j-1"}, {"value", value}, {"stamp", 7}};
    StoreResponse response =
        decode_store_response(watch, 200, pack(Json{{"ledgerRev", 7}, {"events", {event}}}));
    ASSERT_EQ(response.status, StoreStatus::ok);
    ASSERT_EQ(response.rows.size(), 1U);
    auto job = decode_job("j-1", *response.rows[0].value, names);
    ASSERT_TRUE(job);
    job->cancelled = true;
    EXPECT_TRUE(all_text_is_utf8(encode_job(*job, names)));
}

TEST(TextValidation, TreatsAStoreResponseWithAnInvalidKeyAsNoResponse) {
    StoreRequest watch;
    watch.operation = StoreOperation::changes;
    for (const char* kind : {"write", "drop"}) {
        Json event{{kind, "w/j/" + kLatin1}, {"value", Json::object()}, {"stamp", 7}};
        EXPECT_EQ(
            decode_store_response(watch, 200, pack(Json{{"ledgerRev", 7}, {"events", {event}}}))
                .status,
            StoreStatus::no_response);
    }
}

TEST(TextValidation, RejectsAPeerFrameWithInvalidText) {
    PeerHeartbeat heartbeat;
    heartbeat.controller = "n1";
    heartbeat.leader = "R\303\274ckzahlung";
    constexpr std::size_t kLengthPrefixBytes = 4;
    EXPECT_TRUE(decode_frame(encode_frame(heartbeat).substr(kLengthPrefixBytes)));
    heartbeat.leader = kLatin1;
    EXPECT_FALSE(decode_frame(encode_frame(heartbeat).substr(kLengthPrefixBytes)));
}

// Random bytes in a random field, including map keys and unknown fields: the request is answered
// with 400, or what it says can be stored.
RC_GTEST_PROP(TextValidationProperty, AnAcceptedSubmissionCanBeStored, ()) {
    const std::vector<std::string> fields{"uid",  "lane",   "owner", "shape",
                                          "rank", "bundle", "yard",  "note"};
    Json body = sample_submission();
    for (int change = *rc::gen::inRange(1, 4); change > 0; --change) {
        body[*rc::gen::elementOf(fields)] = *rc::gen::arbitrary<std::string>();
    }
    if (*rc::gen::arbitrary<bool>()) {
        body[*rc::gen::arbitrary<std::string>()] = 1;
    }
    if (*rc::gen::arbitrary<bool>()) {
        body["builds"].push_back(*rc::gen::arbitrary<std::string>());
    }
    ParsedRequest parsed = parse_request(1, Method::post, "/work", pack(body));
    if (auto* rejection = std::get_if<HttpResponse>(&parsed)) {
        RC_ASSERT(rejection->code == 400);
        RC_ASSERT(unpack(rejection->body).has_value());
        return;
    }
    const auto& submission = std::get<SubmitRequest>(std::get<Input>(parsed));
    Names names;
    JobSpec spec = submission.spec;
    spec.team = names.teams.intern(submission.team_name);
    spec.job_class = names.job_classes.intern(submission.job_class_name);
    spec.image = names.images.intern(submission.image_name);
    spec.zone = names.zones.intern(submission.zone_name);
    spec.any_machine_type = false;
    for (const std::string& name : submission.machine_type_names) {
        spec.machine_types.push_back(names.machine_types.intern(name));
    }
    RC_ASSERT(all_text_is_utf8(encode_job({spec, false}, names)));
}

// Random bytes in place of random parts of valid bodies: no decoder throws, and all text that comes
// out can be stored.
RC_GTEST_PROP(TextValidationProperty, NoDecoderLetsInvalidTextThrough, ()) {
    spdlog::set_level(spdlog::level::off);
    std::string body = pack(*rc::gen::arbitrary<bool>() ? sample_submission() : sample_heartbeat());
    for (int change = *rc::gen::inRange(1, 5); change > 0; --change) {
        body[*rc::gen::inRange<std::size_t>(0, body.size())] = *rc::gen::arbitrary<char>();
    }
    if (auto document = unpack(body)) {
        RC_ASSERT(all_text_is_utf8(*document));
    }
    Names names;
    CloudRequest cloud_request;
    cloud_request.operation = *rc::gen::element(CloudOperation::list, CloudOperation::scale_out,
                                                CloudOperation::list_machine_types);
    decode_cloud_response(cloud_request, 200, body, names);
    StoreRequest store_request;
    store_request.operation =
        *rc::gen::element(StoreOperation::get, StoreOperation::list, StoreOperation::changes);
    for (const StoreEntry& row : decode_store_response(store_request, 200, body).rows) {
        RC_ASSERT(is_valid_utf8(row.key) && (!row.value || all_text_is_utf8(*row.value)));
    }
    decode_worker_response(1, 200, body);
    decode_frame(body);
}

}  // namespace
}  // namespace walkford::protocol
