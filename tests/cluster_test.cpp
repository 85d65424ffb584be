// The cluster state and its admission check, called directly.
#include "core/cluster.h"

#include <gtest/gtest.h>

#include "events/format.h"
#include "wire/stored_values.h"

namespace lichendrift::core {
namespace {

class ClusterTest : public ::testing::Test {
  protected:
    explicit ClusterTest(const ClusterSettings& cluster_settings = settings())
        : cluster_(cluster_settings, types_, zones_) {
        MachineType type;
        type.name = "box";
        type.capacity = {8000, 2000, 16000};
        type.hourly = 4;
        type.spot_hourly = 1;
        type.zones = {"a"};
        cluster_.set_types({type});
    }
    static ClusterSettings settings() {
        ClusterSettings s;
        s.teams = {{"core", {}, {6000, 0, 0}}};
        s.token = 3;
        return s;
    }
    void heartbeat(const std::string& name, std::uint64_t seq, Millis now, std::uint64_t token = 3,
                   std::vector<TaskReport> tasks = {}) {
        Report r;
        r.machine = name;
        r.endpoint = "10.0.0.1:1";
        r.type = "box";
        r.zone = "a";
        r.session = 1;
        r.seq = seq;
        r.token = token;
        r.tasks = std::move(tasks);
        cluster_.on_report(r, true, now);
    }
    // Adds `job` as the first job and places it on these machines; its record is durable at 1300.
    void start_recorded(const JobDescription& job, const std::vector<MachineIndex>& machines) {
        cluster_.add_job(job, 1, 1000);
        Plan plan;
        plan.starts.push_back({0, machines, 0, {}});
        ASSERT_EQ(cluster_.apply(plan, 1100).starts, 1U);
        const auto writes = cluster_.next_record_writes({}, false, 1200);
        ASSERT_EQ(writes.size(), 1U);
        cluster_.on_record_written(writes[0], true, 7, 1300);
    }
    bool usable(std::size_t machine, Millis now) {
        return cluster_.snapshot(now, 0).machines.at(machine).usable;
    }
    NameTable types_;
    NameTable zones_;
    Cluster cluster_;
};

TEST_F(ClusterTest, DrainsForConsolidationAreWithdrawnWhenCapacityIsShort) {
    heartbeat("host-1", 1, 1000);
    heartbeat("host-2", 1, 1000);
    Plan plan;
    plan.drains = {0};
    cluster_.apply(plan, 1100);
    plan.drains = {1};
    cluster_.apply(plan, 1150);
    EXPECT_FALSE(usable(0, 1200));
    // The second machine is not drained so soon after the first: work that could not move yet must
    // not lose all its capacity at once.
    EXPECT_TRUE(usable(1, 1200));
    Plan next;
    next.capacity_short = true;
    cluster_.apply(next, 1300);
    EXPECT_TRUE(usable(0, 1400));
}

TEST_F(ClusterTest, MachineIsUnusableUntilAReportCarriesTheLeadersToken) {
    heartbeat("host-1", 1, 1000, 2);
    EXPECT_FALSE(usable(0, 1100));
    heartbeat("host-1", 2, 1200, 3);
    EXPECT_TRUE(usable(0, 1300));
    // A late duplicate of the older report changes nothing.
    heartbeat("host-1", 1, 1400, 2);
    EXPECT_TRUE(usable(0, 1500));
}

// A late duplicate of a report makes a machine that was gone before this term look as if it were
// up. As the only machine of the fleet that was up, its silence counted as a fault on the leader's
// side, so it was never released, and the placement record that names it kept a job waiting for
// ever.
TEST_F(ClusterTest, GoneMachineShownByALateDuplicateIsReleasedOnceAListLacksIt) {
    JobDescription job;
    job.id = "job-000001";
    job.team = "core";
    job.cpus = 1;
    cluster_.add_job(job, 1, 1000);
    cluster_.load_record(job.id, 0, {2, 1, {{0, 20'000'001, "host-1", 1}}, {}}, 5, 1000);
    heartbeat("host-1", 7, 2000, 2);
    cluster_.on_machine_list_complete({"host-2"}, 3000);
    EXPECT_TRUE(cluster_.next_releases(9, 3000).empty());
    cluster_.on_machine_list_complete({"host-2"}, 40'000);
    EXPECT_EQ(cluster_.next_releases(9, 40'000), std::vector<std::string>{"host-1"});
}

// A release request may be delayed on its way and executed when another node is the leader.
TEST_F(ClusterTest, NothingIsReleasedWithoutAValidLeaderLease) {
    Report r;
    r.machine = "host-1";
    r.endpoint = "10.0.0.1:1";
    r.type = "box";
    r.zone = "a";
    r.session = 1;
    r.seq = 1;
    r.token = 3;
    r.notice_s = 5;
    cluster_.on_report(r, true, 1000);
    cluster_.tick(12'000, false);
    EXPECT_TRUE(cluster_.next_releases(9, 12'000).empty());
    cluster_.tick(12'100, true);
    EXPECT_EQ(cluster_.next_releases(9, 12'100).size(), 1U);
}

TEST_F(ClusterTest, ImageHintsSurviveAChangeOfLeader) {
    cluster_.load_image_hints({{"host-1", {"img-a", "img-b"}}}, 500);
    heartbeat("host-1", 1, 1000);
    const auto hints = cluster_.image_hints(0, 1);
    ASSERT_EQ(hints.size(), 1U);
    EXPECT_EQ(hints[0].second, (std::vector<std::string>{"img-a", "img-b"}));
    EXPECT_EQ(wire::parse_image_hints_value(wire::image_hints_value(hints, 4000)), hints);
    EXPECT_TRUE(wire::parse_image_hints_value(wire::image_hints_value(hints, 20))->empty());
}

// A task is to be stopped while its direct run command is in flight, and the worker then refuses
// the command. The allocation was kept for ever as ready to be sent: it was neither sent nor
// halted, its job waited although machines were free, and its capacity and its team's quota stayed
// allocated.
class RefusedStartTest : public ClusterTest, public ::testing::WithParamInterface<bool> {};

TEST_P(RefusedStartTest, ReleasesATaskThatWasToBeStopped) {
    const bool cancelled = GetParam();
    heartbeat("host-1", 1, 1000);
    JobDescription job;
    job.id = "job-000001";
    job.team = "core";
    job.cpus = 4;
    start_recorded(job, {0});
    const auto direct = cluster_.direct_commands("host-1", true, 1300);
    ASSERT_EQ(direct.commands.size(), 1U);
    if (cancelled) {
        cluster_.on_job_terminal(job.id, true, 1350);
    } else {
        const auto running = cluster_.snapshot(1350, 0).allocations;
        ASSERT_EQ(running.size(), 1U);
        Plan stop;
        stop.preemptions.push_back({running[0].index, running[0].attempt, kInvalidIndex});
        cluster_.apply(stop, 1350);
    }
    cluster_.direct_result(direct, Cluster::DirectResult::NotExecuted, 1400);
    const auto after = cluster_.snapshot(1500, 0);
    EXPECT_TRUE(after.allocations.empty());
    EXPECT_EQ(after.waiting_jobs.size(), cancelled ? 0U : 1U);
    EXPECT_EQ(after.team_used.at(0), Resources{});
    EXPECT_EQ(cluster_.has_job(job.id), !cancelled);
}
INSTANTIATE_TEST_SUITE_P(Stopped, RefusedStartTest, ::testing::Bool(), [](const auto& param) {
    return std::string(param.param ? "ByCancellation" : "ByPreemption");
});

// Guards against a task on two machines: a worker that restarts in its session has lost the
// attempt, and would start it again by a late duplicate of the direct run, which was executed and
// answered.
TEST_F(ClusterTest, AttemptLostByItsWorkerIsKeptUntilDuplicatesOfItsRunAreRefused) {
    constexpr std::uint64_t kToken = 3;
    heartbeat("host-1", 1, 1000);
    JobDescription job;
    job.id = "job-000001";
    job.team = "core";
    job.cpus = 1;
    start_recorded(job, {0});
    const auto direct = cluster_.direct_commands("host-1", true, 1300);
    ASSERT_EQ(direct.commands.size(), 1U);
    ASSERT_EQ(direct.token, kToken);
    cluster_.direct_result(direct, Cluster::DirectResult::Executed, 1310);
    TaskReport task;
    task.job = job.id;
    task.attempt = direct.commands[0].attempt;
    task.phase = TaskPhase::Running;
    heartbeat("host-1", 2, 1400, kToken, {task});
    // The worker has restarted, and still reports the token under which the run was sent.
    heartbeat("host-1", 3, 2000, kToken);
    EXPECT_EQ(cluster_.snapshot(2000, 0).allocations.size(), 1U);
    EXPECT_TRUE(cluster_.snapshot(2000, 0).waiting_jobs.empty());
    EXPECT_EQ(cluster_.token_for("host-1"), kToken + 1);
    heartbeat("host-1", 4, 2500, kToken + 1);
    EXPECT_TRUE(cluster_.snapshot(2500, 0).allocations.empty());
    EXPECT_EQ(cluster_.snapshot(2500, 0).waiting_jobs.size(), 1U);
}

// An array whose tasks failed on two faulty machines backed off as if the job itself were at fault.
// The backoff of one second doubled with each failed task, so the array repeatedly waited for a
// minute although machines were free.
class FaultyMachinesTest : public ClusterTest, public ::testing::WithParamInterface<bool> {
  protected:
    static ClusterSettings without_limits() {
        auto cluster_settings = settings();
        cluster_settings.teams = {{"core", {}, {}}};
        return cluster_settings;
    }
    FaultyMachinesTest() : ClusterTest(without_limits()) {}
};

TEST_P(FaultyMachinesTest, BackOffOnlyAJobWithoutACompletedTask) {
    const bool completes = GetParam();
    const std::vector<std::string> names{"host-0", "host-1", "host-2"};
    for (const auto& name : names) heartbeat(name, 1, 1000);
    JobDescription job;
    job.id = "job-000001";
    job.team = "core";
    job.cpus = 4;
    job.count = 8;
    start_recorded(job, {0, 0, 1, 1, 2, 2});
    for (const auto& name : names) {
        const auto direct = cluster_.direct_commands(name, true, 1300);
        ASSERT_EQ(direct.commands.size(), 2U);
        cluster_.direct_result(direct, Cluster::DirectResult::Executed, 1400);
        std::vector<TaskReport> exited;
        for (const auto& command : direct.commands) {
            const bool done = completes && name == "host-0";
            exited.push_back({command.job, command.task, command.attempt, TaskPhase::Exited,
                              done ? ExitReason::Done : ExitReason::Error, false});
        }
        heartbeat(name, 2, 2000, 3, exited);
    }
    const auto items = cluster_.snapshot(2100, 0).waiting_jobs;
    ASSERT_EQ(items.size(), 1U);
    EXPECT_EQ(items[0].backing_off, !completes);
    // Even a job that fails everywhere is tried again well within 90 s, the longest time that a job
    // may wait while capacity that fits it is free.
    EXPECT_FALSE(cluster_.snapshot(2000 + 45'000, 0).waiting_jobs[0].backing_off);
}
INSTANTIATE_TEST_SUITE_P(Jobs, FaultyMachinesTest, ::testing::Bool(), [](const auto& param) {
    return std::string(param.param ? "WithACompletedTask" : "ThatFailEverywhere");
});

// The leader was cut off from all workers. As soon as half of them reported again, it released the
// other half, whose reports came within the same second.
TEST_F(ClusterTest, FirstReportsAfterACommonSilenceDoNotReleaseTheOtherMachines) {
    const std::vector<std::string> names{"host-1", "host-2", "host-3", "host-4"};
    for (const auto& name : names) heartbeat(name, 1, 1000);
    cluster_.tick(1500);
    for (Millis now = 2000; now <= 20'000; now += 250) cluster_.tick(now);
    heartbeat("host-1", 2, 20'100);
    heartbeat("host-2", 2, 20'100);
    cluster_.tick(20'250);
    EXPECT_TRUE(cluster_.next_releases(9, 20'250).empty());
    heartbeat("host-3", 2, 20'900);
    // A machine that does not report again is released in the end.
    for (Millis now = 21'000; now <= 40'000; now += 1000) {
        for (const auto* name : {"host-1", "host-2", "host-3"}) {
            heartbeat(name, static_cast<std::uint64_t>(now), now);
        }
        cluster_.tick(now);
    }
    EXPECT_EQ(cluster_.next_releases(9, 40'000), std::vector<std::string>{"host-4"});
}

TEST_F(ClusterTest, StartIsRefusedBeyondTheTeamLimitAndSentOnceItsRecordIsDurable) {
    heartbeat("host-1", 1, 1000);
    JobDescription job;
    job.id = "job-000001";
    job.team = "core";
    job.count = 2;
    job.cpus = 4;
    cluster_.add_job(job, 1, 1000);
    Plan plan;
    plan.starts.push_back({0, {0, 0}, 0, {}});
    // 8 CPUs are free, but the team's limit is 6.
    EXPECT_EQ(cluster_.apply(plan, 1100).refused, 1U);
    plan.starts[0].machines = {0};
    EXPECT_EQ(cluster_.apply(plan, 1100).starts, 1U);
    // Nothing is sent before the record is durable.
    EXPECT_TRUE(cluster_.heartbeat_commands("host-1", 1, true, 1200).empty());
    const auto writes = cluster_.next_record_writes({}, false, 1200);
    ASSERT_EQ(writes.size(), 1U);
    cluster_.on_record_written(writes[0], true, 7, 1300);
    // Neither is anything sent while the leader is not certain that it still leads.
    EXPECT_TRUE(cluster_.heartbeat_commands("host-1", 1, false, 1300).empty());
    EXPECT_EQ(cluster_.heartbeat_commands("host-1", 1, true, 1300).size(), 1U);
}

// A duplicate of the newest report, or of an older one, arrives. No worker waits for the answer, so
// it must carry no commands, and the next report proves nothing about them.
TEST_F(ClusterTest, LateDuplicateOfAReportIsNotFreshAndChangesNothing) {
    Report r;
    r.machine = "host-1";
    r.endpoint = "10.0.0.1:1";
    r.type = "box";
    r.zone = "a";
    r.session = 1;
    r.seq = 9;
    r.token = 3;
    EXPECT_TRUE(cluster_.on_report(r, true, 1000).fresh);
    cluster_.tick(1000);
    EXPECT_FALSE(cluster_.on_report(r, true, 30'000).fresh);
    r.seq = 4;
    EXPECT_FALSE(cluster_.on_report(r, true, 30'000).fresh);
    // It is no sign of life either: the machine stays silent.
    EXPECT_FALSE(usable(0, 30'000));
    heartbeat("host-2", 1, 30'000);
    EXPECT_FALSE(cluster_.tick(30'000).empty());
}

// The machine is gone, but duplicates of its reports from before the term arrive one by one, each
// newer than the one before. They must not delay its release.
TEST_F(ClusterTest, LateDuplicatesFromAnEarlierTermAreNoSignsOfLife) {
    for (std::uint64_t seq = 1; seq <= 3; ++seq) heartbeat("host-2", seq, 1000, 3);
    std::uint64_t seq = 10;
    Millis now = 1000;
    bool released = false;
    for (; now < 40'000 && !released; now += 1000) {
        heartbeat("host-1", ++seq, now, 2);
        heartbeat("host-2", seq, now, 3);
        for (const auto& event : cluster_.tick(now)) {
            const auto* release = std::get_if<events::MachineReleaseStarted>(&event);
            released |= release != nullptr && release->machine == "host-1";
        }
    }
    EXPECT_TRUE(released);
    EXPECT_LT(now, 25'000);
    cluster_.on_released({"host-1"}, true, now);
    heartbeat("host-1", ++seq, now + 1000, 2);
    for (const auto& m : cluster_.snapshot(now + 1500, 0).machines) EXPECT_NE(m.index, 1U);
}

// If direct commands cannot reach the worker, only its lease shows that heartbeat answers do: its
// session lasts longer than a lease.
TEST_F(ClusterTest, MachineWhoseSessionOutlivesALeaseIsUsedAgain) {
    std::uint64_t seq = 0;
    const auto report = [&](const std::string& name, std::uint64_t session, Millis now) {
        Report r;
        r.machine = name;
        r.endpoint = "10.0.0.1:1";
        r.type = "box";
        r.zone = "a";
        r.session = session;
        r.seq = ++seq;
        r.token = 3;
        cluster_.on_report(r, true, now);
        for (const auto& event : cluster_.tick(now)) ADD_FAILURE() << events::format(event);
    };
    for (const char* name : {"host-1", "host-2", "host-3"}) report(name, 1, 1000);
    report("host-1", 2, 3000);
    EXPECT_FALSE(usable(0, 3000));
    for (Millis now = 5000; now <= 17'000; now += 2000) {
        for (const char* name : {"host-2", "host-3"}) report(name, 1, now);
        report("host-1", 2, now);
    }
    EXPECT_TRUE(usable(0, 17'000));
}

// A new leader counts the waiting time from the submission. Otherwise no job would ever reach its
// starvation threshold while the leader changes every few minutes.
TEST_F(ClusterTest, WaitingTimeCountsFromTheSubmissionAfterAChangeOfLeader) {
    JobDescription job;
    job.id = "job-000001";
    job.team = "core";
    job.count = 2;
    job.cpus = 4;
    cluster_.add_job(job, 1, 5000, false, 90'000);
    const auto s = cluster_.snapshot(6000, 0);
    ASSERT_EQ(s.waiting_jobs.size(), 1U);
    EXPECT_EQ(s.waiting_jobs[0].waited_ms, 91'000);
}

// The cloud announces when it reclaims a spot machine. Waiting for the machine to be silent cost
// ten seconds when a quarter of the fleet was reclaimed at once and had to be provisioned again.
TEST_F(ClusterTest, MachineIsReleasedAtOnceAfterItsSpotNoticeAndItsPoolIsNoLongerRefused) {
    heartbeat("host-1", 1, 1000);
    heartbeat("host-2", 1, 1000);
    Report r;
    r.machine = "host-1";
    r.endpoint = "10.0.0.1:1";
    r.type = "box";
    r.zone = "a";
    r.session = 1;
    r.seq = 2;
    r.token = 3;
    r.notice_s = 3;
    cluster_.on_report(r, true, 2000);
    cluster_.on_provision_refused(0, 0, false, 2500);
    heartbeat("host-2", 2, 4000);
    cluster_.tick(4500);
    EXPECT_TRUE(cluster_.next_releases(10, 4500).empty());
    cluster_.tick(6600);
    ASSERT_EQ(cluster_.next_releases(10, 6600), (std::vector<std::string>{"host-1"}));
    EXPECT_EQ(cluster_.snapshot(6650, 0).refused_provisions.size(), 1U);
    cluster_.on_released({"host-1"}, true, 6700);
    EXPECT_TRUE(cluster_.snapshot(6750, 0).refused_provisions.empty());
}

// When the state service allowed few writes per second, the records of replicas waited behind those
// of older jobs. They were not durable when their leader ended, so the next leader placed all of
// these replicas again.
TEST_F(ClusterTest, RecordsOfServicesAreWrittenFirst) {
    heartbeat("host-1", 1, 1000);
    JobDescription array;
    array.id = "job-000001";
    array.team = "core";
    array.count = 2;
    array.cpus = 1;
    JobDescription service = array;
    service.id = "job-000002";
    service.service = true;
    cluster_.add_job(array, 1, 1000);
    cluster_.add_job(service, 2, 1000);
    Plan plan;
    plan.starts.push_back({0, {0, 0}, 0, {}});
    plan.starts.push_back({1, {0, 0}, 0, {}});
    ASSERT_EQ(cluster_.apply(plan, 1100).starts, 2U);
    Cluster::RecordLimits urgent;
    urgent.urgent_only = true;
    const auto first = cluster_.next_record_writes(urgent, false, 1200);
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(first[0].job_id, "job-000002");
    EXPECT_TRUE(first[0].urgent);
    EXPECT_TRUE(cluster_.next_record_writes(urgent, false, 1200).empty());
    const auto rest = cluster_.next_record_writes({}, false, 1200);
    ASSERT_EQ(rest.size(), 1U);
    EXPECT_EQ(rest[0].job_id, "job-000001");
}

// A record that exceeds the limit is divided into records of a finer layout. The earlier record is
// removed only once these are durable, and no task is placed again.
TEST_F(ClusterTest, RecordThatExceedsTheLimitIsDividedInAFinerLayout) {
    heartbeat("host-1", 1, 1000);
    JobDescription job;
    job.id = "job-000001";
    job.team = "core";
    job.count = 60;
    job.cpus = 0.1;
    start_recorded(job, std::vector<MachineIndex>(40, 0));
    Plan plan;
    plan.starts.push_back({0, std::vector<MachineIndex>(10, 0), 0, {}});
    ASSERT_EQ(cluster_.apply(plan, 1400).starts, 1U);
    Cluster::RecordLimits limits;
    limits.value_bytes = 1000;
    // While a peer may run an older version, the layout does not change, whatever the limit.
    const auto coarse = cluster_.next_record_writes(limits, false, 1500);
    ASSERT_EQ(coarse.size(), 1U);
    EXPECT_EQ(coarse[0].record_number, 0U);
    cluster_.on_record_refused(coarse[0], false, 1600);
    limits.may_refine_layout = true;
    const auto fine = cluster_.next_record_writes(limits, false, 1700);
    ASSERT_EQ(fine.size(), 3U);
    std::size_t placed = 0;
    for (const auto& write : fine) {
        EXPECT_GE(write.record_number, 1'000'000U);
        placed += write.record.placed.size();
    }
    EXPECT_EQ(placed, 50U);
    for (const auto& write : fine) {
        EXPECT_TRUE(cluster_.next_orphans(8).empty());
        cluster_.on_record_written(write, true, 9, 1800);
    }
    EXPECT_EQ(cluster_.next_orphans(8), std::vector<std::string>{"place/job-000001/0"});
}

// A leader that ended while it was changing the layout left records of both layouts.
TEST_F(ClusterTest, AttemptNamedByRecordsOfTwoLayoutsIsLoadedOnce) {
    JobDescription job;
    job.id = "job-000001";
    job.team = "core";
    job.count = 60;
    job.cpus = 0.1;
    cluster_.await_records();
    cluster_.add_job(job, 1, 1000);
    PlacementRecord earlier;
    earlier.placed = {{0, 77, "host-1", 1}, {30, 78, "host-1", 1}};
    earlier.done = {{1, 2}};
    PlacementRecord finer;
    finer.placed = {{0, 77, "host-1", 1}, {1, 79, "host-1", 1}};
    cluster_.load_record("job-000001", 0, earlier, 5, 1000);
    cluster_.load_record("job-000001", 1'000'000, finer, 6, 1000);
    cluster_.on_records_loaded();
    const auto& loaded = cluster_.jobs().at(0);
    EXPECT_EQ(loaded.allocations.count(0), 1U);
    EXPECT_EQ(loaded.done, 2U);
    Cluster::RecordLimits limits;
    limits.may_refine_layout = true;
    const auto writes = cluster_.next_record_writes(limits, false, 1100);
    ASSERT_EQ(writes.size(), 2U);
    EXPECT_EQ(writes[0].record_number, 1'000'000U);
    EXPECT_EQ(writes[1].record_number, 1'000'001U);
    for (const auto& write : writes) cluster_.on_record_written(write, true, 9, 1200);
    EXPECT_EQ(cluster_.next_orphans(8), std::vector<std::string>{"place/job-000001/0"});
}

// After a single service of two replicas had been started and had ended, two idle machines were
// kept for a minute as warm capacity. Seen in a test with real processes.
TEST_F(ClusterTest, SingleServiceKeepsNoWarmCapacity) {
    JobDescription service;
    service.id = "job-000001";
    service.cls = "standing";
    service.team = "core";
    service.service = true;
    service.count = 2;
    service.cpus = 1;
    cluster_.add_job(service, 1, 1000);
    EXPECT_TRUE(cluster_.snapshot(2000, 0).warm_capacity.empty());
    for (int n = 2; n < 8; ++n) {
        service.id = "job-00000" + std::to_string(n);
        cluster_.add_job(service, 1, 2000);
    }
    EXPECT_EQ(cluster_.snapshot(3000, 0).warm_capacity.size(), 1U);
}

}  // namespace
}  // namespace lichendrift::core
