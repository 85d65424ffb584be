// Compatibility of this version with the stored values and messages of the production version.
// During an upgrade, controllers of both versions run together and either may lead. How the
// fixtures were made is described in tests/fixtures/production/README.md.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "core/record_layout.h"
#include "fixtures/samples.h"

namespace lichendrift {
namespace {

const std::filesystem::path kFixturesFolder = LICHENDRIFT_FIXTURES;

std::string production_bytes(const std::string& name) {
    std::ifstream file(kFixturesFolder / name, std::ios::binary);
    std::ostringstream bytes;
    bytes << file.rdbuf();
    return bytes.str();
}

// This version must encode the samples as production did. If it added a field to a stored value,
// the older version would drop the field when it rewrites the value. If it removed or moved an
// entry of a message between controllers, the older version would refuse or misread the message;
// entries added at the end would be ignored, but messages keep their length so that the bytes stay
// equal.
TEST(Compatibility, EncodesSamplesAsProductionDid) {
    const auto samples = fixtures::encoded_samples();
    std::size_t files = 0;
    for (const auto& entry : std::filesystem::directory_iterator(kFixturesFolder)) {
        files += entry.path().extension() == ".md" ? 0 : 1;
    }
    EXPECT_EQ(files, samples.size());
    for (const auto& [name, bytes] : samples) {
        EXPECT_EQ(bytes, production_bytes(name)) << name;
    }
}

TEST(Compatibility, ParsesStoredValuesOfProduction) {
    const auto gang = wire::parse_job_value("job-000412", production_bytes("open-gang.json"));
    ASSERT_TRUE(gang);
    EXPECT_TRUE(gang->gang);
    EXPECT_EQ(wire::job_value(*gang), production_bytes("open-gang.json"));
    const auto service = wire::parse_job_value("job-000500", production_bytes("open-service.json"));
    ASSERT_TRUE(service);
    EXPECT_TRUE(service->service);
    EXPECT_EQ(wire::job_value(*service), production_bytes("open-service.json"));
    for (const auto* name : {"place.json", "place-empty.json"}) {
        const auto record = wire::parse_placement_value(production_bytes(name));
        ASSERT_TRUE(record) << name;
        EXPECT_EQ(wire::placement_value(*record), production_bytes(name));
    }
    const auto done =
        wire::parse_terminal_state_value("job-000412", production_bytes("over-done.json"));
    ASSERT_TRUE(done);
    EXPECT_FALSE(done->aborted);
    EXPECT_FALSE(done->job);
    const auto aborted =
        wire::parse_terminal_state_value("job-000412", production_bytes("over-aborted.json"));
    ASSERT_TRUE(aborted && aborted->job);
    EXPECT_TRUE(aborted->aborted);
    EXPECT_EQ(aborted->job->count, 16U);
    const auto leader_record = wire::parse_leader_value(production_bytes("leader.json"));
    ASSERT_TRUE(leader_record);
    EXPECT_EQ(leader_record->token, 3'000'000U);
    const auto hints = wire::parse_image_hints_value(production_bytes("images.json"));
    ASSERT_TRUE(hints);
    EXPECT_EQ(hints->size(), 2U);
}

TEST(Compatibility, DecodesMessagesOfProduction) {
    for (const auto* name : {"peer-beat.cbor", "peer-beat-quiet.cbor"}) {
        const auto report = wire::decode_report(production_bytes(name));
        ASSERT_TRUE(report) << name;
        EXPECT_EQ(wire::encode_report(*report), production_bytes(name));
    }
    const auto answer = wire::decode_heartbeat_answer(production_bytes("peer-beat-answer.cbor"));
    ASSERT_TRUE(answer);
    EXPECT_EQ(wire::encode_heartbeat_answer(*answer), production_bytes("peer-beat-answer.cbor"));
    const auto announcement = wire::decode_announcement(production_bytes("peer-leader.cbor"));
    ASSERT_TRUE(announcement);
    EXPECT_EQ(announcement->counts.size(), 2U);
    const auto request = wire::decode_forwarded_request(production_bytes("peer-user.cbor"));
    ASSERT_TRUE(request);
    EXPECT_EQ(request->target, "/v2/runs/job-000412/cancel");
    const auto forwarded_answer =
        wire::decode_forwarded_answer(production_bytes("peer-user-answer.cbor"));
    ASSERT_TRUE(forwarded_answer);
    EXPECT_EQ(forwarded_answer->status, 503);
    const auto update = wire::decode_cancellation_update(production_bytes("peer-cancelled.cbor"));
    ASSERT_TRUE(update);
    EXPECT_EQ(update->cancelled.size(), 2U);
    EXPECT_EQ(wire::decode_cancellation_query(production_bytes("peer-cancellations.cbor")), 431U);
}

// The assignment of tasks to placement records is part of the stored format. If the versions
// assigned them differently, one that rewrites a record would leave out tasks that the other had
// stored there.
TEST(Compatibility, RecordNumbersAreUnchanged) {
    EXPECT_EQ(core::record_number(0, 0, 102), 0U);
    EXPECT_EQ(core::record_number(0, 101, 102), 0U);
    EXPECT_EQ(core::record_number(0, 102, 102), 1U);
    EXPECT_EQ(core::record_number(1, 99'999, 102), 1'004'166U);
    EXPECT_EQ(core::record_number(2, 17, 102), 2'000'002U);
    EXPECT_EQ(core::record_number(3, 17, 102), 3'000'017U);
    // With at least 8 tasks in each record, the record numbers of layout 0 stay below those of the
    // finer layouts.
    EXPECT_LT(core::record_number(0, 99'999, 8), core::kRecordNumbersPerLayout);
    for (std::uint32_t layout = 0; layout <= core::kFinestLayout; ++layout) {
        for (std::uint32_t task : {0U, 7U, 8U, 23U, 24U, 500U, 99'999U}) {
            const auto number = core::record_number(layout, task, 102);
            EXPECT_EQ(core::layout_of(number), layout);
            const auto first = core::first_task(number, 102);
            EXPECT_LE(first, task);
            EXPECT_LT(task, first + core::tasks_in_record(layout, 102));
        }
    }
}

// A terminal state that contains the job's description must fit into the limit on values, or it
// could never be stored and the job would never end.
TEST(Compatibility, TerminalStatesAreReducedToFitTheValueLimit) {
    auto job = fixtures::sample_gang();
    job.types.emplace();
    for (int i = 0; i < 64; ++i) job.types->push_back(std::string(100, 'x') + std::to_string(i));
    ASSERT_GT(wire::terminal_state_value(true, &job).size(), 2048U);
    const auto value = wire::terminal_state_value_within(true, job, 2048);
    EXPECT_LE(value.size(), 2048U);
    const auto terminal_state = wire::parse_terminal_state_value(job.id, value);
    ASSERT_TRUE(terminal_state && terminal_state->job);
    EXPECT_EQ(terminal_state->job->count, job.count);
    EXPECT_EQ(terminal_state->job->team, job.team);
    EXPECT_EQ(terminal_state->job->cpus, job.cpus);
}

}  // namespace
}  // namespace lichendrift
