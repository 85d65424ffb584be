#include <gtest/gtest.h>

#include <random>

#include "wire/peer_messages.h"
#include "wire/stored_values.h"
#include "wire/user_messages.h"
#include "wire/worker_messages.h"

namespace lichendrift::wire {
namespace {

core::Report sample_report() {
    core::Report r;
    r.machine = "host-000001";
    r.endpoint = "10.0.0.9:9000";
    r.type = "g8";
    r.zone = "a";
    r.spot = true;
    r.session = 3;
    r.seq = 18446744073709551615ULL;
    r.token = 41;
    r.notice_s = 12.5;
    r.tasks.push_back(
        {"job-000412", 3, 2, core::TaskPhase::Running, core::ExitReason::None, false});
    r.tasks.push_back({"job-000398", 0, 1, core::TaskPhase::Exited, core::ExitReason::Done, true});
    return r;
}

TEST(Cbor, ReportSurvivesTheLink) {
    const auto r = sample_report();
    const auto back = decode_report(encode_report(r));
    ASSERT_TRUE(back);
    EXPECT_EQ(back->machine, r.machine);
    EXPECT_EQ(back->seq, r.seq);
    EXPECT_EQ(back->notice_s, r.notice_s);
    ASSERT_EQ(back->tasks.size(), 2U);
    EXPECT_EQ(back->tasks[1].exit_reason, core::ExitReason::Done);
    auto without = r;
    without.notice_s.reset();
    EXPECT_FALSE(decode_report(encode_report(without))->notice_s);
}

TEST(Cbor, DamagedMessagesAreRefusedOrRead) {
    // Cut short at every place, and with any byte changed: never a crash, never half a message.
    const auto whole = encode_report(sample_report());
    for (std::size_t n = 0; n < whole.size(); ++n) {
        EXPECT_FALSE(decode_report(std::string_view(whole).substr(0, n)));
    }
    std::mt19937 rng(7);
    for (int i = 0; i < 4000; ++i) {
        auto damaged = whole;
        damaged[rng() % damaged.size()] = static_cast<char>(rng());
        if (auto r = decode_report(damaged)) {
            EXPECT_LE(r->tasks.size(), 2U);
        }
    }
    EXPECT_FALSE(decode_heartbeat_answer("\x83\x01\x02\x03"));
    EXPECT_FALSE(decode_announcement(""));
}

TEST(Json, RecordsSurviveTheStore) {
    core::PlacementRecord record;
    record.term = 7;
    record.nonce = 9;
    record.placed.push_back({4, 70'000'001, "host-000002", 2});
    record.done = {{0, 3}, {5, 5}};
    const auto back = parse_placement_value(placement_value(record));
    ASSERT_TRUE(back);
    EXPECT_EQ(back->placed, record.placed);
    EXPECT_EQ(back->done, record.done);
    EXPECT_EQ(back->nonce, 9U);
    EXPECT_FALSE(parse_placement_value(R"({"t":1,"n":1,"p":[[1,2,3,4]]})"));
    EXPECT_FALSE(parse_placement_value("{}"));
}

TEST(Cbor, CancellationsAndQuestionsAboutThem) {
    const auto bytes = encode_cancellation_news({17, {{18, "job-000001"}, {19, "job-000002"}}});
    const auto news = decode_cancellation_news(bytes);
    ASSERT_TRUE(news);
    EXPECT_EQ(news->complete_after, 17U);
    ASSERT_EQ(news->cancelled.size(), 2U);
    EXPECT_EQ(news->cancelled[1].revision, 19U);
    EXPECT_EQ(news->cancelled[1].id, "job-000002");
    EXPECT_EQ(decode_cancellation_query(encode_cancellation_query(7)), 7U);
    // Cut short or of another kind, it says nothing.
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        EXPECT_FALSE(decode_cancellation_news(std::string_view(bytes).substr(0, n))) << n;
    }
    EXPECT_FALSE(decode_cancellation_query(bytes.substr(1)));
    EXPECT_FALSE(decode_cancellation_news(encode_cancellation_query(7)));
}

TEST(Json, JobsSurviveTheStore) {
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
    const auto back = parse_job_value(job.id, job_value(job));
    ASSERT_TRUE(back);
    EXPECT_EQ(back->types, job.types);
    EXPECT_EQ(back->zone, job.zone);
    EXPECT_EQ(back->count, 16U);
    EXPECT_EQ(back->submitted_ms, job.submitted_ms);
    const auto over = parse_terminal_state_value(job.id, terminal_state_value(true, &job));
    ASSERT_TRUE(over && over->job);
    EXPECT_TRUE(over->aborted);
    EXPECT_FALSE(parse_terminal_state_value(job.id, terminal_state_value(false, nullptr))->aborted);
}

TEST(Json, ReportsOfWorkers) {
    const std::string good =
        R"({"banco":"host-000231","endpoint":"10.1.0.232:9000","modello":"g8","sede":"a",)"
        R"("inPrestito":true,"turno":1,"protocollo":88,"delega":41,"preavvisoS":null,)"
        R"("prove":[{"prova":"job-000412/3","tentativo":2,"stato":"running"},)"
        R"({"prova":"job-000398/0","tentativo":1,"stato":"exited","esito":"done"}]})";
    const auto r = parse_report(good);
    ASSERT_TRUE(r);
    EXPECT_EQ(r->tasks[0].job, "job-000412");
    EXPECT_EQ(r->tasks[0].task, 3U);
    EXPECT_FALSE(r->notice_s);
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

// kSubmission with one piece of it replaced.
std::string submission_with(const std::string& piece, const std::string& replacement) {
    auto body = kSubmission;
    body.replace(body.find(piece), piece.size(), replacement);
    return body;
}

TEST(Submission, DescribesTheJob) {
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

TEST(Submission, ErrorsNameTheFaultAndTheField) {
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

TEST(PeerMessages, DamagedVersionsAreRefused) {
    EXPECT_EQ(decode_version(encode_version(kProtocolVersion)), kProtocolVersion);
    for (const auto* bytes : {"", "\x80", "\x81\x61x", "\xff", "\x9b\xff\xff\xff\xff"}) {
        EXPECT_FALSE(decode_version(bytes));
    }
}

}  // namespace
}  // namespace lichendrift::wire
