// Work has to grow with what changed, not with the fleet. Operations are counted, not time.
#include <gtest/gtest.h>

#include <deque>

#include "core/cluster.h"
#include "simulation/simulation.h"

namespace lichendrift::core {
namespace {

// A fleet whose machines all run two tasks.
class Fleet {
  public:
    Fleet(std::size_t machines, double report_s) : cluster_(settings(report_s), types_, zones_) {
        MachineType type;
        type.name = "box";
        type.room = {24000, 2000, 192000};
        type.hourly = 6;
        type.spot_hourly = 2;
        type.zones = {"a", "b"};
        cluster_.set_types({type});
        for (std::size_t m = 0; m < machines; ++m) heartbeat(m, {});
        // Arrays that fill the fleet.
        JobText job = text(1, static_cast<std::uint32_t>(machines * 2));
        cluster_.add_job(job, 1, now_);
        place();
        for (std::size_t m = 0; m < machines; ++m) heartbeat(m, tasks_[m]);
    }
    static JobText text(std::size_t number, std::uint32_t count) {
        JobText job;
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
    void heartbeat(std::size_t m, const std::vector<TaskReport>& tasks) {
        Report r;
        r.machine = name(m);
        r.endpoint = "10.0.0.1:1";
        r.type = "box";
        r.zone = m % 2 == 0 ? "a" : "b";
        r.session = 1;
        r.seq = ++seq_;
        r.token = 3;
        r.tasks = tasks;
        if (cluster_.on_report(r, true, now_).changed) ++changed_;
        const auto commands = cluster_.heartbeat_commands(r.machine, r.seq, true, now_);
        for (const auto& order : commands) {
            if (order.kind != Command::Kind::Run) continue;
            TaskReport t;
            t.job = order.job;
            t.task = order.task;
            t.attempt = order.attempt;
            tasks_[m].push_back(t);
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
                for (const auto& w : writes) cluster_.on_record_written(w, true, ++revision_, now_);
            }
            const auto n = cluster_.machine_count();
            for (std::size_t m = 0; m < n; ++m) heartbeat(m, tasks_[m]);
            now_ += 1000;
        }
    }
    static std::string name(std::size_t m) { return "host-" + std::to_string(100000 + m); }

    std::uint64_t work_of_heartbeats(std::size_t heartbeats) {
        const auto before = cluster_.work();
        const auto n = cluster_.machine_count();
        for (std::size_t i = 0; i < heartbeats; ++i) heartbeat(i * 7 % n, tasks_[i * 7 % n]);
        return cluster_.work() - before;
    }
    std::uint64_t steps_with_waiting_jobs(std::size_t jobs) {
        for (std::size_t j = 0; j < jobs; ++j) {
            auto job = text(10 + j, 4);
            job.gang = j % 2 == 0;
            job.one_zone = j % 4 == 0;
            cluster_.add_job(job, 1, now_);
        }
        return plan().steps;
    }
    std::size_t changed_ = 0;
    Cluster& cluster() { return cluster_; }

  private:
    static ClusterSettings settings(double report_s) {
        ClusterSettings s;
        s.teams = {{"core", {}, {}}};
        s.token = 3;
        s.report_ms = static_cast<Millis>(report_s * 1000);
        return s;
    }
    Names types_;
    Names zones_;
    Cluster cluster_;
    Millis now_ = 1000;
    std::uint64_t seq_ = 0;
    std::uint64_t revision_ = 0;
    std::map<std::size_t, std::vector<TaskReport>> tasks_;
};

TEST(Scale, BeatThatChangesNothingCostsTheSameInAnyFleet) {
    Fleet small(32, 1.5);
    Fleet fast(328, 1.5);
    Fleet large(1200, 5);
    Fleet largest(4000, 5);
    const auto base = small.work_of_heartbeats(2000);
    EXPECT_LE(fast.work_of_heartbeats(2000), base + base / 10);
    EXPECT_LE(large.work_of_heartbeats(2000), base + base / 10);
    EXPECT_LE(largest.work_of_heartbeats(2000), base + base / 10);
    // Five looks for each: itself, two tasks as held and two as reported.
    EXPECT_LE(base, 2000U * 5);
    large.changed_ = 0;
    large.work_of_heartbeats(100);
    EXPECT_EQ(large.changed_, 0U);
}

TEST(Scale, PlanForAFullFleetCostsByWhatWaitsNotByTheFleet) {
    Fleet small(120, 5);
    Fleet large(1200, 5);
    const auto base = small.steps_with_waiting_jobs(100);
    const auto grown = large.steps_with_waiting_jobs(100);
    EXPECT_LE(grown, base + base / 4 + 200) << base;
    Fleet largest(4000, 5);
    EXPECT_LE(largest.steps_with_waiting_jobs(100), base + base / 4 + 200) << base;
    // Twice as much that waits costs at most about twice as much.
    Fleet more(1200, 5);
    EXPECT_LE(more.steps_with_waiting_jobs(200), grown * 5 / 2);
}

// Each change asks whether a job can get its final word: among those with all tasks done, not among
// all that are open.
TEST(Scale, ChangedJobCostsTheSameHoweverManyAreOpen) {
    const auto work = [](std::size_t jobs) {
        Fleet fleet(4000, 5);
        fleet.steps_with_waiting_jobs(jobs);
        const auto before = fleet.cluster().work();
        for (int i = 0; i < 500; ++i) {
            EXPECT_FALSE(fleet.cluster().next_final_write(8, 100'000));
            fleet.cluster().machines_with_commands(true, 24, 100'000);
        }
        return fleet.cluster().work() - before;
    };
    EXPECT_LE(work(3000), work(30) + 100);
}

// A new leader asks each machine once, a few at a time.
TEST(Scale, TakeOverGrowsInProportionToTheFleet) {
    const auto work = [](std::size_t machines) {
        Names types;
        Names zones;
        ClusterSettings settings;
        settings.token = 2 * kTokensOfALead;
        Cluster cluster(settings, types, zones);
        std::vector<ListedMachine> list(machines);
        for (std::size_t m = 0; m < machines; ++m) {
            list[m].name = Fleet::name(m);
            list[m].endpoint = "10.0.0.1:1";
            list[m].type = "box";
            list[m].zone = m % 2 == 0 ? "a" : "b";
            list[m].state = ListedMachine::State::Running;
        }
        Millis now = 1000;
        cluster.on_list(list, now);
        std::size_t requested = 0;
        std::deque<Cluster::Direct> under_way;
        for (;;) {
            // As the leader does it: whenever one of 24 calls ends, the next machine is asked.
            for (const auto& name : cluster.machines_to_ask(24 - under_way.size(), now)) {
                under_way.push_back(cluster.direct_commands(name, true, now));
            }
            if (under_way.empty()) break;
            const auto direct = under_way.front();
            under_way.pop_front();
            ++requested;
            cluster.direct_result(direct, Cluster::DirectResult::Executed, now);
            Report r;
            r.machine = direct.machine;
            r.endpoint = direct.endpoint;
            r.type = "box";
            r.zone = "a";
            r.session = 1;
            r.seq = 1;
            r.token = direct.token;
            cluster.on_report(r, false, now);
        }
        EXPECT_EQ(requested, machines);
        return cluster.work();
    };
    const auto base = work(200);
    EXPECT_LE(work(4000), base * 24);
}

// After an end of all controllers 4,000 machines report to a leader that knows records of them all.
TEST(Scale, TakeOverOfFullRecordsCostsTheSameForEachMachine) {
    const auto work = [](std::size_t machines) {
        Names types;
        Names zones;
        ClusterSettings settings;
        settings.teams = {{"core", {}, {}}};
        settings.token = 2 * kTokensOfALead;
        Cluster cluster(settings, types, zones);
        cluster.records_to_come();
        cluster.add_job(Fleet::text(1, static_cast<std::uint32_t>(machines)), 1, 1000);
        for (std::uint32_t first = 0; first < machines; first += settings.tasks_per_record) {
            PlacementRecord record;
            const auto end = std::min<std::size_t>(first + settings.tasks_per_record, machines);
            for (auto task = first; task < end; ++task) {
                record.placed.push_back({task, 77, Fleet::name(task), 1});
            }
            cluster.load_record("job-100001", first / settings.tasks_per_record, record, 5, 1000);
        }
        cluster.records_loaded();
        for (std::size_t m = 0; m < machines; ++m) {
            Report report;
            report.machine = Fleet::name(m);
            report.endpoint = "10.0.0.1:1";
            report.type = "box";
            report.zone = "a";
            report.session = 1;
            report.seq = 9;
            report.token = settings.token;
            report.tasks = {{"job-100001", static_cast<std::uint32_t>(m), 77}};
            EXPECT_TRUE(cluster.on_report(report, true, 2000).fresh);
        }
        return cluster.work();
    };
    const auto base = work(400);
    EXPECT_LE(work(4000), base * 11);
}

TEST(Scale, PlanForAnEmptyFleetScoresEachMachineOnceForAJob) {
    // Resources everywhere and jobs of many tasks: a trial walks the machines once, not for each
    // task.
    Snapshot s;
    MachineType type;
    type.name = "box";
    type.room = {24000, 2000, 192000};
    type.zones = {"a"};
    s.types = {type};
    s.type_zones = {{0}};
    s.zone_count = 1;
    s.teams = {{"core", {}, {}}};
    s.team_used.resize(1);
    for (MachineIndex m = 0; m < 1200; ++m) {
        MachineView view;
        view.index = m;
        view.type = 0;
        view.zone = 0;
        view.usable = true;
        view.capacity = view.free = type.room;
        s.machines.push_back(view);
    }
    for (JobIndex j = 0; j < 20; ++j) {
        JobSpec spec;
        spec.team = 0;
        spec.count = 50;
        spec.need = {10000, 1000, 70000};
        spec.spot = true;
        spec.image = j;
        s.jobs[j] = {spec, false};
        WaitingJob item;
        item.job = j;
        item.waiting_tasks = 50;
        s.waiting_jobs.push_back(item);
    }
    const auto plan = make_plan(s);
    EXPECT_EQ(plan.starts.size(), 20U);
    EXPECT_LE(plan.steps, 20U * (1200 + 50) + 5000);
}

// The state service allows few changes for all nodes together: a job may cost only so many.
TEST(Scale, ChangesOfTheStateServiceForAJobAreBounded) {
    auto options = simulation::calm(41);
    options.machines = 40;
    options.teams = {{"core", {}, {}}};
    simulation::Simulation simulation(options);
    simulation.set_capacity(40);
    for (std::size_t n = 0; n < 60; ++n) {
        auto j = simulation::plain(simulation::numbered(n), n % 2 == 0 ? 2 : 12, 20,
                                   static_cast<Millis>(n) * 700);
        j.kind = n % 2 == 0 ? "ensemble" : "sweep";
        simulation.jobs().push_back(j);
    }
    const auto before = simulation.writes();
    EXPECT_EQ(simulation.run(), "");
    // Open, one record, final word with two removals; arrays a few records more.
    EXPECT_LE(simulation.writes() - before, 60U * 8);
    // Direct commands go where something is placed or stopped, a few for each start.
    EXPECT_LE(simulation.direct_calls(), simulation.total_starts() * 3 + 200);
}

}  // namespace
}  // namespace lichendrift::core
