// The cost of heartbeats, plans and a failover grows with what has changed, not with the size of
// the fleet. The cost is counted in steps (machines and allocations visited), not in time.
#include <gtest/gtest.h>

#include <deque>

#include "core/cluster.h"
#include "simulation/simulation.h"

namespace lichendrift::core {
namespace {

constexpr double kLongReportIntervalS = 5;
constexpr double kShortReportIntervalS = 1.5;

MachineType machine_type(std::vector<std::string> zones) {
    MachineType type;
    type.name = "box";
    type.capacity = {24000, 2000, 192000};
    type.zones = std::move(zones);
    return type;
}

// A cluster with a fleet of machines that run two tasks each.
class Fleet {
  public:
    Fleet(std::size_t machines, double report_s) : cluster_(settings(report_s), types_, zones_) {
        auto type = machine_type({"a", "b"});
        type.hourly = 6;
        type.spot_hourly = 2;
        cluster_.set_types({type});
        for (std::size_t machine = 0; machine < machines; ++machine) heartbeat(machine, {});
        // An array job that fills the fleet.
        JobDescription job = job_description(1, static_cast<std::uint32_t>(machines * 2));
        cluster_.add_job(job, 1, now_);
        place();
        heartbeat_all();
    }
    static JobDescription job_description(std::size_t number, std::uint32_t count) {
        JobDescription job;
        job.id = "job-" + std::to_string(100000 + number);
        job.cls = "any";
        job.team = "core";
        job.count = count;
        job.cpus = 10;
        job.gpus = 1;
        job.mem_gb = 70;
        job.spot = true;
        job.estimate_s = 500;
        return job;
    }
    void heartbeat(std::size_t machine, const std::vector<TaskReport>& tasks) {
        Report report;
        report.machine = name(machine);
        report.endpoint = "10.0.0.1:1";
        report.type = "box";
        report.zone = zone(machine);
        report.session = 1;
        report.seq = ++seq_;
        report.token = 3;
        report.tasks = tasks;
        if (cluster_.on_report(report, true, now_).changed) ++changed_reports;
        const auto commands = cluster_.heartbeat_commands(report.machine, report.seq, true, now_);
        for (const auto& command : commands) {
            if (command.kind != Command::Kind::Run) continue;
            TaskReport task;
            task.job = command.job;
            task.task = command.task;
            task.attempt = command.attempt;
            tasks_[machine].push_back(task);
        }
        cluster_.machines_with_commands(true, 24, now_);
    }
    Plan plan() { return make_plan(cluster_.snapshot(now_, now_)); }
    void place() {
        for (int round = 0; round < 3; ++round) {
            cluster_.apply(plan(), now_);
            for (;;) {
                const auto writes = cluster_.next_record_writes({}, true, now_);
                if (writes.empty()) break;
                for (const auto& write : writes) {
                    cluster_.on_record_written(write, true, ++revision_, now_);
                }
            }
            heartbeat_all();
            now_ += 1000;
        }
    }
    static std::string name(std::size_t machine) {
        return "host-" + std::to_string(100000 + machine);
    }
    static std::string zone(std::size_t machine) { return machine % 2 == 0 ? "a" : "b"; }

    std::uint64_t count_heartbeat_work(std::size_t heartbeats) {
        const auto before = cluster_.entries_visited();
        const auto machines = cluster_.machine_count();
        for (std::size_t k = 0; k < heartbeats; ++k) {
            const auto machine = k * 7 % machines;
            heartbeat(machine, tasks_[machine]);
        }
        return cluster_.entries_visited() - before;
    }
    std::uint64_t plan_steps_with_added_jobs(std::size_t jobs) {
        for (std::size_t k = 0; k < jobs; ++k) {
            auto job = job_description(10 + k, 4);
            job.gang = k % 2 == 0;
            job.one_zone = k % 4 == 0;
            cluster_.add_job(job, 1, now_);
        }
        return plan().steps;
    }
    std::size_t changed_reports = 0;
    Cluster& cluster() { return cluster_; }

  private:
    static ClusterSettings settings(double report_s) {
        ClusterSettings result;
        result.teams = {{"core", {}, {}}};
        result.token = 3;
        result.report_ms = static_cast<Millis>(report_s * 1000);
        return result;
    }
    void heartbeat_all() {
        const auto machines = cluster_.machine_count();
        for (std::size_t machine = 0; machine < machines; ++machine) {
            heartbeat(machine, tasks_[machine]);
        }
    }

    NameTable types_;
    NameTable zones_;
    Cluster cluster_;
    Millis now_ = 1000;
    std::uint64_t seq_ = 0;
    std::uint64_t revision_ = 0;
    std::map<std::size_t, std::vector<TaskReport>> tasks_;
};

TEST(Scale, HeartbeatThatChangesNothingCostsTheSameInAnyFleet) {
    Fleet small(32, kShortReportIntervalS);
    Fleet fast(328, kShortReportIntervalS);
    Fleet large(1200, kLongReportIntervalS);
    Fleet largest(4000, kLongReportIntervalS);
    const auto base = small.count_heartbeat_work(2000);
    EXPECT_LE(fast.count_heartbeat_work(2000), base + base / 10);
    EXPECT_LE(large.count_heartbeat_work(2000), base + base / 10);
    EXPECT_LE(largest.count_heartbeat_work(2000), base + base / 10);
    // Five steps for each heartbeat: the machine, its two allocations and the two reported tasks.
    EXPECT_LE(base, 2000U * 5);
    large.changed_reports = 0;
    large.count_heartbeat_work(100);
    EXPECT_EQ(large.changed_reports, 0U);
}

TEST(Scale, CostOfAPlanForAFullFleetGrowsWithTheWaitingJobsNotTheFleet) {
    Fleet small(120, kLongReportIntervalS);
    Fleet large(1200, kLongReportIntervalS);
    const auto base = small.plan_steps_with_added_jobs(100);
    const auto grown = large.plan_steps_with_added_jobs(100);
    EXPECT_LE(grown, base + base / 4 + 200) << base;
    Fleet largest(4000, kLongReportIntervalS);
    EXPECT_LE(largest.plan_steps_with_added_jobs(100), base + base / 4 + 200) << base;
    // Twice as many waiting jobs cost at most about twice as much.
    Fleet more(1200, kLongReportIntervalS);
    EXPECT_LE(more.plan_steps_with_added_jobs(200), grown * 5 / 2);
}

// After each change the leader looks for a job that can get its terminal state. It looks only among
// the jobs with all tasks done, not among all open jobs.
TEST(Scale, CostOfAChangeDoesNotDependOnTheNumberOfOpenJobs) {
    const auto work = [](std::size_t jobs) {
        Fleet fleet(4000, kLongReportIntervalS);
        fleet.plan_steps_with_added_jobs(jobs);
        const auto before = fleet.cluster().entries_visited();
        for (int i = 0; i < 500; ++i) {
            EXPECT_FALSE(fleet.cluster().next_terminal_state_write(8, 100'000));
            fleet.cluster().machines_with_commands(true, 24, 100'000);
        }
        return fleet.cluster().entries_visited() - before;
    };
    EXPECT_LE(work(3000), work(30) + 100);
}

// A new leader polls each machine once, a few at a time.
TEST(Scale, CostOfAFailoverGrowsInProportionToTheFleet) {
    const auto work = [](std::size_t machines) {
        NameTable types;
        NameTable zones;
        ClusterSettings settings;
        settings.token = 2 * kFencingTokensPerTerm;
        Cluster cluster(settings, types, zones);
        std::vector<ListedMachine> list(machines);
        for (std::size_t machine = 0; machine < machines; ++machine) {
            list[machine].name = Fleet::name(machine);
            list[machine].endpoint = "10.0.0.1:1";
            list[machine].type = "box";
            list[machine].zone = Fleet::zone(machine);
            list[machine].state = ListedMachine::State::Running;
        }
        Millis now = 1000;
        cluster.on_machine_list_page(list, now);
        std::size_t requested = 0;
        std::deque<Cluster::DirectCommand> in_flight;
        for (;;) {
            // Like the leader: whenever one of 24 direct commands ends, the next machine is polled.
            for (const auto& name : cluster.machines_to_probe(24 - in_flight.size(), now)) {
                in_flight.push_back(cluster.direct_commands(name, true, now));
            }
            if (in_flight.empty()) break;
            const auto direct = in_flight.front();
            in_flight.pop_front();
            ++requested;
            cluster.direct_result(direct, Cluster::DirectResult::Executed, now);
            Report report;
            report.machine = direct.machine;
            report.endpoint = direct.endpoint;
            report.type = "box";
            report.zone = "a";
            report.session = 1;
            report.seq = 1;
            report.token = direct.token;
            cluster.on_report(report, false, now);
        }
        EXPECT_EQ(requested, machines);
        return cluster.entries_visited();
    };
    const auto base = work(200);
    EXPECT_LE(work(4000), base * 24);
}

// After all controllers were lost, 4,000 machines report to a new leader, which has read placement
// records that name all of them.
TEST(Scale, FailoverWithFullRecordsCostsTheSameForEachMachine) {
    const auto work = [](std::size_t machines) {
        NameTable types;
        NameTable zones;
        ClusterSettings settings;
        settings.teams = {{"core", {}, {}}};
        settings.token = 2 * kFencingTokensPerTerm;
        Cluster cluster(settings, types, zones);
        cluster.await_records();
        cluster.add_job(Fleet::job_description(1, static_cast<std::uint32_t>(machines)), 1, 1000);
        for (std::uint32_t first = 0; first < machines; first += settings.tasks_per_record) {
            PlacementRecord record;
            const auto end = std::min<std::size_t>(first + settings.tasks_per_record, machines);
            for (auto task = first; task < end; ++task) {
                record.placed.push_back({task, 77, Fleet::name(task), 1});
            }
            cluster.load_record("job-100001", first / settings.tasks_per_record, record, 5, 1000);
        }
        cluster.on_records_loaded();
        for (std::size_t machine = 0; machine < machines; ++machine) {
            Report report;
            report.machine = Fleet::name(machine);
            report.endpoint = "10.0.0.1:1";
            report.type = "box";
            report.zone = "a";
            report.session = 1;
            report.seq = 9;
            report.token = settings.token;
            report.tasks = {{"job-100001", static_cast<std::uint32_t>(machine), 77}};
            EXPECT_TRUE(cluster.on_report(report, true, 2000).fresh);
        }
        return cluster.entries_visited();
    };
    const auto base = work(400);
    EXPECT_LE(work(4000), base * 11);
}

TEST(Scale, PlanForAnEmptyFleetScoresEachMachineOnceForAJob) {
    // With free capacity everywhere and jobs of many tasks, a trial placement scores each machine
    // once for a job, not once for each task.
    const auto type = machine_type({"a"});
    Snapshot snapshot;
    snapshot.types = {type};
    snapshot.type_zones = {{0}};
    snapshot.zone_count = 1;
    snapshot.teams = {{"core", {}, {}}};
    snapshot.team_used.resize(1);
    for (MachineIndex index = 0; index < 1200; ++index) {
        MachineView machine;
        machine.index = index;
        machine.type = 0;
        machine.zone = 0;
        machine.usable = true;
        machine.capacity = machine.free = type.capacity;
        snapshot.machines.push_back(machine);
    }
    for (JobIndex index = 0; index < 20; ++index) {
        JobSpec spec;
        spec.team = 0;
        spec.count = 50;
        spec.need = {10000, 1000, 70000};
        spec.spot = true;
        spec.image = index;
        snapshot.jobs[index] = {spec, false};
        WaitingJob waiting;
        waiting.job = index;
        waiting.waiting_tasks = 50;
        snapshot.waiting_jobs.push_back(waiting);
    }
    const auto plan = make_plan(snapshot);
    EXPECT_EQ(plan.starts.size(), 20U);
    EXPECT_LE(plan.steps, 20U * (1200 + 50) + 5000);
}

// The state service limits the writes of all controllers together, so the writes for each job are
// bounded.
TEST(Scale, WritesToTheStateServiceForEachJobAreBounded) {
    auto options = simulation::fault_free_options(41);
    options.machines = 40;
    options.teams = {{"core", {}, {}}};
    simulation::Simulation simulation(options);
    simulation.set_capacity(40);
    for (std::size_t number = 0; number < 60; ++number) {
        const bool gang = number % 2 == 0;
        auto job = simulation::batch_job(simulation::numbered_job_id(number), gang ? 2 : 12, 20,
                                         static_cast<Millis>(number) * 700);
        job.kind = gang ? "ensemble" : "sweep";
        simulation.jobs().push_back(job);
    }
    const auto before = simulation.writes();
    EXPECT_EQ(simulation.run(), "");
    // A job takes the write that opens it, one placement record, and the terminal state with two
    // removals; an array takes a few records more.
    EXPECT_LE(simulation.writes() - before, 60U * 8);
    // Direct commands are sent only where tasks are placed or stopped, a few for each start.
    EXPECT_LE(simulation.direct_calls(), simulation.total_starts() * 3 + 200);
}

}  // namespace
}  // namespace lichendrift::core
