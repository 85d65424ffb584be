// Formatting of events as log lines.
#include <gtest/gtest.h>

#include "events/format.h"

namespace lichendrift::events {
namespace {

TEST(Events, HaveANameAndNamedFields) {
    EXPECT_EQ(format(ControllerStarted{}), "event=controller_started");
    EXPECT_EQ(format(DutyAcquired{"cleanup", 7}), "event=duty_acquired duty=cleanup epoch=7");
    EXPECT_EQ(format(ProvisionRequested{"r-1-1", 3, "g8", "a", true}),
              "event=provision_requested request=r-1-1 count=3 type=g8 zone=a spot=true");
    EXPECT_EQ(format(TerminalStateNotFound{"job-000001", 2, 400, 340, 280}),
              "event=terminal_state_not_found job=job-000001 requests=2 read_age_ms=400 "
              "last_request_age_ms=340 copy_age_ms=280");
    EXPECT_EQ(format(LeaseMarginTooSmall{10, 12.5}),
              "event=lease_margin_too_small lease_s=10 cancel_s=12.5");
}

TEST(Events, QuoteValuesWithSpacesQuotesOrControlCharacters) {
    EXPECT_EQ(format(RequestsRefused{2, "the state service does not answer"}),
              "event=requests_refused count=2 last_reason=\"the state service does not answer\"");
    EXPECT_EQ(format(RecordUnreadable{"a\"b\\c\nd=e\x01"}),
              "event=record_unreadable key=\"a\\\"b\\\\c\\nd=e\\x01\"");
    EXPECT_EQ(format(JobCompleted{""}), "event=job_completed job=\"\"");
}

TEST(Events, LeaveOutFieldsThatDoNotApply) {
    EXPECT_EQ(format(LeaderSteppedDown{StepDownReason::Shutdown, 0}),
              "event=leader_stepped_down reason=shutdown");
    EXPECT_EQ(format(LeaderSteppedDown{StepDownReason::HigherTokenAtWorker, 42}),
              "event=leader_stepped_down reason=higher_token_at_worker seen_token=42");
    EXPECT_EQ(format(MachineReleaseStarted{"host-1", ReleaseReason::Silent, 9000, ""}),
              "event=machine_release_started machine=host-1 reason=silent for_ms=9000");
}

TEST(Events, ListMachinesInOneField) {
    JobPlaced event;
    event.job = "job-000001";
    event.job_class = "train";
    event.attempt = 9;
    event.rejected_zones = {"a", "b"};
    event.tasks = 2;
    event.machines = {"host-1", "host-2"};
    EXPECT_EQ(format(event),
              "event=job_placed job=job-000001 class=train attempt=9 waited_s=0 image=to_fetch "
              "score_percent=0 rejected_zones=a,b tasks=2 machines=host-1,host-2");
}

TEST(Events, EventsOfSingleRequestsAreLoggedAtDebugLevel) {
    EXPECT_EQ(level_of(SubmissionMalformed{"no id", "{}"}), Level::Debug);
    EXPECT_EQ(level_of(TerminalStateNotFound{}), Level::Debug);
    EXPECT_EQ(level_of(RequestsRefused{1, "x"}), Level::Info);
}

}  // namespace
}  // namespace lichendrift::events
