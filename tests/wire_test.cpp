#include <gtest/gtest.h>

#include <random>

#include "wire/peer_messages.h"
#include "wire/stored_values.h"
#include "wire/user_messages.h"
#include "wire/worker_messages.h"

namespace lichendrift::wire {
namespace {

core::Report sample_report() {
    core::Report report;
    report.machine = "host-000001";
    report.endpoint = "10.0.0.9:9000";
    report.type = "g8";
    report.zone = "a";
    report.spot = true;
    report.session = 3;
    report.seq = 18446744073709551615ULL;
    report.token = 41;
    report.notice_s = 12.5;
    report.tasks.push_back(
        {"job-000412", 3, 2, core::TaskPhase::Running, core::ExitReason::None, false});
    report.tasks.push_back(
        {"job-000398", 0, 1, core::TaskPhase::Exited, core::ExitReason::Done, true});
    return report;
}

TEST(Cbor, ReportsRoundTrip) {
    const auto report = sample_report();
    const auto decoded = decode_report(encode_report(report));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->machine, report.machine);
    EXPECT_EQ(decoded->seq, report.seq);
    EXPECT_EQ(decoded->notice_s, report.notice_s);
    ASSERT_EQ(decoded->tasks.size(), 2U);
    EXPECT_EQ(decoded->tasks[1].exit_reason, core::ExitReason::Done);
    auto without_notice = report;
    without_notice.notice_s.reset();
    EXPECT_FALSE(decode_report(encode_report(without_notice))->notice_s);
}

TEST(Cbor, DamagedReportsAreRefusedOrDecodedWithoutCrash) {
    // A report that is cut short anywhere is refused. One with a changed byte is refused or
    // decoded, without a crash and without additional tasks.
    const auto encoded = encode_report(sample_report());
    for (std::size_t n = 0; n < encoded.size(); ++n) {
        EXPECT_FALSE(decode_report(std::string_view(encoded).substr(0, n)));
    }
    std::mt19937 rng(7);
    for (int i = 0; i < 4000; ++i) {
        auto damaged = encoded;
        damaged[rng() % damaged.size()] = static_cast<char>(rng());
        if (auto report = decode_report(damaged)) {
            EXPECT_LE(report->tasks.size(), 2U);
        }
    }
    EXPECT_FALSE(decode_heartbeat_answer("\x83\x01\x02\x03"));
    EXPECT_FALSE(decode_announcement(""));
}

TEST(Json, PlacementRecordsRoundTrip) {
    core::PlacementRecord record;
    record.term = 7;
    record.nonce = 9;
    record.placed.push_back({4, 70'000'001, "host-000002", 2});
    record.done = {{0, 3}, {5, 5}};
    const auto decoded = parse_placement_value(placement_value(record));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->placed, record.placed);
    EXPECT_EQ(decoded->done, record.done);
    EXPECT_EQ(decoded->nonce, 9U);
    EXPECT_FALSE(parse_placement_value(R"({"t":1,"n":1,"p":[[1,2,3,4]]})"));
    EXPECT_FALSE(parse_placement_value("{}"));
}

TEST(Cbor, CancellationUpdatesAndQueriesRoundTrip) {
    const auto bytes = encode_cancellation_update({17, {{18, "job-000001"}, {19, "job-000002"}}});
    const auto update = decode_cancellation_update(bytes);
    ASSERT_TRUE(update);
    EXPECT_EQ(update->complete_after, 17U);
    ASSERT_EQ(update->cancelled.size(), 2U);
    EXPECT_EQ(update->cancelled[1].revision, 19U);
    EXPECT_EQ(update->cancelled[1].id, "job-000002");
    EXPECT_EQ(decode_cancellation_query(encode_cancellation_query(7)), 7U);
    // A message that is cut short or of the other kind is refused.
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        EXPECT_FALSE(decode_cancellation_update(std::string_view(bytes).substr(0, n))) << n;
    }
    EXPECT_FALSE(decode_cancellation_query(bytes.substr(1)));
    EXPECT_FALSE(decode_cancellation_update(encode_cancellation_query(7)));
}

TEST(Json, JobDescriptionsRoundTrip) {
    core::JobDescription job;
    job.id = "job-000001";
    job.cls = "c";
    job.team = "t";
    job.gang = true;
    job.priority = core::Priority::High;
    job.count = 16;
    job.cpus = 1.5;
    job.image = "i";
    job.types = {"x", "y"};
    job.zone = "z";
    job.deadline_s = 30;
    job.submitted_ms = 1'700'000'000'123;
    const auto decoded = parse_job_value(job.id, job_value(job));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->types, job.types);
    EXPECT_EQ(decoded->zone, job.zone);
    EXPECT_EQ(decoded->count, 16U);
    EXPECT_EQ(decoded->submitted_ms, job.submitted_ms);
    const auto terminal_state =
        parse_terminal_state_value(job.id, terminal_state_value(true, &job));
    ASSERT_TRUE(terminal_state && terminal_state->job);
    EXPECT_TRUE(terminal_state->aborted);
    EXPECT_FALSE(parse_terminal_state_value(job.id, terminal_state_value(false, nullptr))->aborted);
}

TEST(Json, WorkerReportsAreParsedAndMalformedOnesRefused) {
    const std::string good =
        R"({"banco":"host-000231","endpoint":"10.1.0.232:9000","modello":"g8","sede":"a",)"
        R"("inPrestito":true,"turno":1,"protocollo":88,"delega":41,"preavvisoS":null,)"
        R"("prove":[{"prova":"job-000412/3","tentativo":2,"stato":"running"},)"
        R"({"prova":"job-000398/0","tentativo":1,"stato":"exited","esito":"done"}]})";
    const auto report = parse_report(good);
    ASSERT_TRUE(report);
    EXPECT_EQ(report->tasks[0].job, "job-000412");
    EXPECT_EQ(report->tasks[0].task, 3U);
    EXPECT_FALSE(report->notice_s);
    for (const char* bad : {R"("turno":1)", R"("job-000412/3")", R"("running")"}) {
        auto body = good;
        body.replace(body.find(bad), std::string(bad).size(), "\"x\"");
        EXPECT_FALSE(parse_report(body)) << bad;
    }
}

const std::string kSubmission =
    R"({"nameId":"job-000412","classe":"train","ufficio":"vision","genere":"ensemble",)"
    R"("urgenza":"high","prove":16,"cpus":8.0,"gpus":1.0,"memGb":64.0,"fascicolo":"img-07",)"
    R"("imageGb":6.2,"modelli":["g8"],"sede":null,"oneZone":true,"apart":false,)"
    R"("inPrestito":true,"durataS":240.0,"salvataggioOgniS":30.0,"salvataggioS":4.0,)"
    R"("scadenzaS":900.0})";

// Returns kSubmission with the first occurrence of `piece` replaced.
std::string submission_with(const std::string& piece, const std::string& replacement) {
    auto body = kSubmission;
    body.replace(body.find(piece), piece.size(), replacement);
    return body;
}

TEST(Submission, IsParsedIntoAJobDescription) {
    const auto job = parse_submission(kSubmission);
    ASSERT_TRUE(job);
    EXPECT_EQ(job->id, "job-000412");
    EXPECT_TRUE(job->gang);
    EXPECT_FALSE(job->service);
    EXPECT_EQ(job->priority, core::Priority::High);
    EXPECT_EQ(job->count, 16U);
    EXPECT_EQ(job->types, std::vector<std::string>{"g8"});
    EXPECT_FALSE(job->zone);
    EXPECT_TRUE(job->one_zone);
    EXPECT_EQ(job->deadline_s, 900.0);
    EXPECT_TRUE(parse_submission(submission_with("ensemble", "service"))->service);
    EXPECT_FALSE(parse_submission(submission_with("ensemble", "sweep"))->gang);
}

TEST(Submission, ErrorsContainTheFaultAndTheField) {
    struct Case {
        std::string piece;
        std::string replacement;
        ParseFault fault;
        std::string field;
    };
    const std::vector<Case> cases{
        {R"("nameId":"job-000412",)", "", ParseFault::MissingField, "nameId"},
        {"job-000412", "job-x", ParseFault::InvalidValue, "nameId"},
        {R"("train")", "7", ParseFault::WrongType, "classe"},
        {"vision", "", ParseFault::InvalidValue, "ufficio"},
        {"ensemble", "choir", ParseFault::InvalidValue, "genere"},
        {R"("high")", "null", ParseFault::MissingField, "urgenza"},
        {"16", "0", ParseFault::InvalidValue, "prove"},
        {"16", "100001", ParseFault::InvalidValue, "prove"},
        {"16", "1.5", ParseFault::WrongType, "prove"},
        {"64.0", "-1", ParseFault::InvalidValue, "memGb"},
        {"6.2", "1e12", ParseFault::InvalidValue, "imageGb"},
        {R"(["g8"])", "[8]", ParseFault::WrongType, "modelli"},
        {R"(["g8"])", R"([""])", ParseFault::InvalidValue, "modelli"},
        {R"("sede":null)", R"("sede":1)", ParseFault::WrongType, "sede"},
        {"true", "1", ParseFault::WrongType, "oneZone"},
        {"900.0", "\"soon\"", ParseFault::WrongType, "scadenzaS"},
    };
    for (const auto& [piece, replacement, fault, field] : cases) {
        const auto job = parse_submission(submission_with(piece, replacement));
        ASSERT_FALSE(job) << piece;
        EXPECT_EQ(job.error().fault, fault) << piece;
        EXPECT_EQ(job.error().field, field);
        EXPECT_EQ(error_text(job.error()), "field '" + field + "' is missing or invalid");
    }
    EXPECT_EQ(error_text(parse_submission("{").error()), "the body is not JSON");
    EXPECT_EQ(error_text(parse_submission("[]").error()), "the body is not an object");
}

TEST(PeerMessages, MalformedVersionsAreRefused) {
    EXPECT_EQ(decode_version(encode_version(kProtocolVersion)), kProtocolVersion);
    for (const auto* bytes : {"", "\x80", "\x81\x61x", "\xff", "\x9b\xff\xff\xff\xff"}) {
        EXPECT_FALSE(decode_version(bytes));
    }
}

}  // namespace
}  // namespace lichendrift::wire
