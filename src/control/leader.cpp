// One term of leadership: connects its parts and answers heartbeats.
#include "control/leader.h"

#include "control/cluster_settings.h"

namespace lichendrift::control {

namespace {

constexpr Millis kTickMs = 250;
constexpr Millis kInheritedReleasesRetryMs = 20;

}  // namespace

Leader::Leader(const LeaderDependencies& dependencies, std::uint64_t token,
               std::uint64_t leader_revision)
    : term_{dependencies.runtime,
            dependencies.settings,
            dependencies.store,
            dependencies.host,
            token,
            leader_revision,
            std::make_shared<LockedCluster>(cluster_settings(dependencies.settings, token),
                                            dependencies.settings.zones)},
      job_watcher_(dependencies.job_watcher),
      failover_(term_, job_watcher_, {[this] { watch_jobs(); }, [this] { on_state_read(); }}),
      records_(term_, job_watcher_, [this] { dispatch_commands(); }),
      image_hints_(term_),
      dispatcher_(term_, [this] { on_cluster_changed(); }),
      fleet_(term_, dependencies.cloud,
             {[this] { on_cluster_changed(); }, [this] { dispatcher_.request_reports(); },
              [this] { request_plan(); }}),
      plans_(term_, dependencies.planner, [this](const core::Plan& plan) { on_plan_ready(plan); }),
      job_counts_(term_) {}

void Leader::start(const std::vector<core::MachineType>& known_types) {
    fleet_.start(known_types);
    failover_.start();
}

void Leader::stop() {
    term_.callbacks.end();
    fleet_.stop();
    job_watcher_.stop_watching();
}

bool Leader::knows_machine(const std::string& name) {
    return term_.cluster->with_lock(
        [&](core::Cluster& cluster) { return cluster.has_machine(name); });
}

void Leader::watch_jobs() {
    job_watcher_.start_watching(
        {term_.callbacks.bind([this](const core::JobDescription& job, std::uint64_t revision) {
             on_job_opened(job, revision);
         }),
         term_.callbacks.bind([this](const std::string& job_id, TerminalState state) {
             on_job_ended(job_id, state);
         })});
}

void Leader::on_job_opened(const core::JobDescription& job, std::uint64_t revision) {
    const auto now = term_.runtime.now();
    const auto age_ms = term_.age_of(job);
    term_.cluster->with_lock(
        [&](core::Cluster& cluster) { cluster.add_job(job, revision, now, false, age_ms); });
    term_.host.log(events::JobOpened{job.id, job.cls, job.count});
    on_cluster_changed();
}

void Leader::on_job_ended(const std::string& job_id, TerminalState state) {
    const auto now = term_.runtime.now();
    term_.cluster->with_lock([&](core::Cluster& cluster) {
        cluster.on_job_terminal(job_id, state == TerminalState::Aborted, now);
    });
    on_cluster_changed();
}

void Leader::on_state_read() {
    if (!fleet_.inherited_releases_known()) {
        term_.runtime.after(kInheritedReleasesRetryMs,
                            term_.callbacks.bind([this] { on_state_read(); }));
        return;
    }
    const auto records = failover_.load_placement_records();
    term_.host.log(events::FailoverComplete{job_watcher_.open_jobs().size(), records});
    image_hints_.read();
    ready_ = true;
    fleet_.on_failover_complete();
    tick();
}

void Leader::tick() {
    fleet_.poll_if_due();
    tick_cluster();
    if (plans_.overdue()) request_plan();
    job_counts_.publish_if_due();
    image_hints_.write_due();
    write_records();
    fleet_.release_machines();
    dispatch_commands();
    dispatcher_.request_reports();
    term_.runtime.after(kTickMs, term_.callbacks.bind([this] { tick(); }));
}

void Leader::tick_cluster() {
    const auto now = term_.runtime.now();
    const bool has_lease = term_.host.has_leader_lease();
    const auto events = term_.cluster->with_lock(
        [&](core::Cluster& cluster) { return cluster.tick(now, has_lease); });
    for (const auto& event : events) term_.host.log(event);
    const auto rejected_values = term_.cluster->with_lock(
        [](core::Cluster& cluster) { return cluster.take_rejected_policy_values(); });
    for (const auto& rejected : rejected_values) term_.host.log(rejected);
    if (!events.empty()) on_cluster_changed();
}

void Leader::on_cluster_changed() {
    write_records();
    dispatch_commands();
    request_plan();
}

void Leader::write_records() {
    if (ready_) records_.write_due();
}

void Leader::dispatch_commands() {
    if (ready_) dispatcher_.dispatch();
}

void Leader::request_plan() {
    if (ready_ && fleet_.types_known()) plans_.request();
}

void Leader::on_plan_ready(const core::Plan& plan) {
    if (!term_.host.has_leader_lease()) return;
    const auto now = term_.runtime.now();
    const auto applied =
        term_.cluster->with_lock([&](core::Cluster& cluster) { return cluster.apply(plan, now); });
    for (const auto& event : applied.events) term_.host.log(event);
    if (applied.starts + applied.preemptions > 0) {
        write_records();
        dispatch_commands();
    }
    fleet_.provision(applied.provisions, plan.snapshot_at);
}

tl::expected<wire::HeartbeatAnswer, HeartbeatRefusal> Leader::on_heartbeat(
    const core::Report& report) {
    if (report.token >= term_.token + core::kFencingTokensPerTerm) {
        term_.host.step_down(events::StepDownReason::HigherTokenAtWorker, report.token);
        return tl::unexpected(HeartbeatRefusal::LeaderSuperseded);
    }
    if (!ready_) return heartbeat_before_ready(report);
    const auto now = term_.runtime.now();
    // While this controller may have missed cancellations it renews no worker's lease, so that
    // cancelled tasks end when the lease expires.
    const bool may_renew = term_.host.may_renew_leases();
    const bool may_start = term_.host.may_start_tasks();
    core::ReportOutcome outcome;
    wire::HeartbeatAnswer answer{term_.token, {}};
    term_.cluster->with_lock([&](core::Cluster& cluster) {
        outcome = cluster.on_report(report, true, now);
        // A delayed or duplicate heartbeat gets no commands: its worker no longer waits for the
        // answer.
        if (may_renew && outcome.fresh && !cluster.direct_in_flight(report.machine)) {
            answer.commands =
                cluster.heartbeat_commands(report.machine, report.seq, may_start, now);
        }
        answer.token = cluster.token_for(report.machine);
    });
    if (outcome.changed) on_cluster_changed();
    if (!may_renew) return tl::unexpected(HeartbeatRefusal::RenewalsSuspended);
    return answer;
}

// During failover the report is not applied, because the placement records are not read yet; the
// answer renews the worker's lease and raises its token. If the state service is down, failover can
// take long, and renewed leases would keep cancelled tasks running. So the answer also halts the
// tasks of jobs that are known to have ended.
tl::expected<wire::HeartbeatAnswer, HeartbeatRefusal> Leader::heartbeat_before_ready(
    const core::Report& report) const {
    if (!term_.host.may_renew_leases()) {
        return tl::unexpected(HeartbeatRefusal::RenewalsSuspended);
    }
    wire::HeartbeatAnswer answer{term_.token, {}};
    if (!term_.settings.guards.cancellations_bound_leases) return answer;
    for (const auto& task : report.tasks) {
        if (task.phase == core::TaskPhase::Exited) continue;
        if (job_watcher_.find_open(task.job) != nullptr) continue;
        // Once the open jobs are read, a job that an earlier leader started and that is not among
        // them has ended. Before that, an uncached terminal state leaves it undecided.
        if (!failover_.open_jobs_read() && !job_watcher_.terminal_state(task.job)) {
            return tl::unexpected(HeartbeatRefusal::TerminalStatesUnknown);
        }
        answer.commands.push_back(
            {core::Command::Kind::Halt, task.job, task.task, task.attempt, 0});
    }
    return answer;
}

}  // namespace lichendrift::control
