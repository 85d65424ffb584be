// One term of leadership: its clockwork, heartbeats, commands and plans.
#include "control/leader.h"

#include <algorithm>

#include "control/policy.h"

namespace lichendrift::control {

namespace {

constexpr Millis kTick = 250;
constexpr Millis kPlanSpacing = 60;
constexpr Millis kLongestSpacing = 1500;
constexpr Millis kPlanPause = 3;  // times as long as the last plan took
constexpr int kCountsFull = 10;   // every so many tellings of counts, all are told
constexpr Millis kListWait = 6000;
constexpr Millis kProvisionSpacing = 700;
constexpr std::uint32_t kMaxProvisionCount = 50;  // the protocol's limit for one request
constexpr Millis kDirectDeadline = 1500;
constexpr std::size_t kMaxDirectCommands = 24;

}  // namespace

Leader::Leader(net::Runtime& runtime, PlanExecutor& planner, const Settings& settings,
               store::StoreClient& store, cloud::CloudClient& cloud, JobWatcher& job_watcher,
               LeaderHost& host, std::uint64_t token, std::uint64_t leader_revision)
    : runtime_(runtime),
      planner_(planner),
      settings_(settings),
      store_(store),
      cloud_(cloud),
      job_watcher_(job_watcher),
      host_(host),
      token_(token),
      leader_revision_(leader_revision) {
    core::ClusterSettings cs;
    cs.teams = settings.teams;
    cs.token = token;
    cs.report_ms = static_cast<Millis>(settings.report_s * 1000);
    cs.lease_ms = static_cast<Millis>(settings.lease_s * 1000);
    cs.cancel_ms = static_cast<Millis>(settings.cancel_s * 1000);
    cs.gang_peer_s = settings.gang_peer_s;
    cs.guards = settings.guards;
    cs.policy = std::make_shared<OperatorPolicy>(settings.policy);
    for (const auto& o : settings.objectives) {
        using Kind = core::Objective::Kind;
        if (o.kind == "wait") cs.objectives.push_back({Kind::Start, o.cls, o.within_s});
        if (o.kind == "finished") cs.objectives.push_back({Kind::Finish, o.cls, o.within_s});
        if (o.kind == "guarantee") cs.objectives.push_back({Kind::Guarantee, "", o.within_s});
    }
    // A placed task takes about 50 bytes of its record; the margin is for long machine names.
    // The version in production computes it like this: it is a part of the stored format.
    auto kilobytes = settings.state_value_kb;
    if (!settings.guards.stable_layout && settings.guards.current_version) {
        kilobytes = settings.state_next.value_kb.value_or(kilobytes);
    }
    cs.tasks_per_record = std::max(8U, static_cast<std::uint32_t>(kilobytes * 1024 / 80));
    for (const auto& zone : settings.zones) shared_->zones.intern(zone);
    duties_ = std::make_shared<MachineDuties>(
        MachineDuties::Services{runtime, settings, store, cloud, host,
                                static_cast<MachineDutiesListener&>(*this)},
        token, leader_revision);
    shared_->cluster = std::make_unique<core::Cluster>(cs, shared_->types, shared_->zones);
}

void Leader::start(const std::vector<core::MachineType>& known_types) {
    if (!known_types.empty()) {
        with([&](core::Cluster& c) { c.set_types(known_types); });
        types_known_ = true;
    }
    duties_->pump();
    load_jobs();
}

void Leader::stop() {
    stopped_ = true;
    duties_->stop();
    job_watcher_.stop_watching();
}

bool Leader::knows_machine(const std::string& name) {
    return with([&](core::Cluster& c) { return c.has_machine(name); });
}

void Leader::tick() {
    if (stopped_) return;
    const auto now = runtime_.now();
    if (now - types_at_ > (types_known_ ? 20000 : 1000)) poll_types();
    const auto list_every =
        std::max<Millis>(3000, static_cast<Millis>(settings_.cloud_list_lag_s * 1000));
    if (now - listed_at_ > list_every) poll_list();
    const bool sure = host_.has_leader_lease();
    const auto events = with([&](core::Cluster& c) { return c.tick(now, sure); });
    for (const auto& event : events) host_.log(event);
    for (auto& rejected : with([](core::Cluster& c) { return c.take_rejected_policy_values(); })) {
        host_.log(std::move(rejected));
    }
    if (!events.empty()) changed();
    if (now - planned_at_ > 1000) ask_plan();
    if (now - counted_at_ > 800) {
        counted_at_ = now;
        // Only what changed, so that telling costs by change and not by the number of jobs.
        const bool all = counts_announced_++ % kCountsFull == 0;
        std::vector<wire::JobCounts> counts;
        for (const auto& [id, n] : with([&](core::Cluster& c) { return c.job_counts(all); })) {
            if (counts.size() < 1000) counts.push_back({id, n.done, n.running});
        }
        host_.on_job_counts(std::move(counts), all);
    }
    if (host_.has_leader_lease()) write_hints();
    write();
    release_machines();
    dispatch();
    sync_machines();
    runtime_.after(kTick, [self = shared_from_this()] { self->tick(); });
}

void Leader::changed() {
    write();
    dispatch();
    ask_plan();
}

std::optional<wire::HeartbeatAnswer> Leader::on_heartbeat(const core::Report& report) {
    if (report.token >= token_ + core::kTokensOfALead) {
        host_.step_down(events::StepDownReason::HigherTokenAtWorker, report.token);
        return std::nullopt;
    }
    if (!ready_) return heartbeat_before_ready(report);
    const auto now = runtime_.now();
    // A lease that nobody can vouch for ends: work on that machine may have been called off.
    const bool may_renew = host_.may_renew_leases();
    const bool may_start = host_.may_start_tasks();
    core::ReportOutcome outcome;
    wire::HeartbeatAnswer answer{token_, {}};
    with([&](core::Cluster& c) {
        outcome = c.on_report(report, true, now);
        // A late copy gets no commands: nobody waits for its answer.
        if (may_renew && outcome.fresh && !c.calling(report.machine)) {
            answer.commands = c.heartbeat_commands(report.machine, report.seq, may_start, now);
        }
        answer.token = c.token_for(report.machine);
    });
    if (outcome.changed) changed();
    if (!may_renew) return std::nullopt;
    return answer;
}

// Before the records are read nothing may be concluded; the answer raises the token. Yet a state
// service that goes out now would keep this leader from reading them, and it would renew leases
// under work that was called off: what is known to be over is stopped by name.
std::optional<wire::HeartbeatAnswer> Leader::heartbeat_before_ready(
    const core::Report& report) const {
    if (!host_.may_renew_leases()) return std::nullopt;
    wire::HeartbeatAnswer answer{token_, {}};
    if (!settings_.guards.cancellations_bound_leases) return answer;
    for (const auto& task : report.tasks) {
        if (task.phase == core::TaskPhase::Exited || job_watcher_.find_open(task.job) != nullptr)
            continue;
        // Read since this lead began, the copy allocations every job that an earlier one started.
        if (!jobs_read_ && !job_watcher_.terminal_state(task.job)) return std::nullopt;
        answer.commands.push_back(
            {core::Command::Kind::Halt, task.job, task.task, task.attempt, 0});
    }
    return answer;
}

void Leader::sync_machines() {
    // Raises the token at machines whose reports still carry an older one, so that commands of
    // earlier leaders, late copies included, end there.
    if (calls_open_ >= kMaxDirectCommands) return;
    const auto now = runtime_.now();
    const auto limit = kMaxDirectCommands - calls_open_;
    for (const auto& name : with([&](core::Cluster& c) { return c.machines_to_ask(limit, now); })) {
        direct(name);
    }
}

void Leader::dispatch() {
    if (!ready_ || calls_open_ >= kMaxDirectCommands) return;
    const bool may_start = host_.may_start_tasks();
    const auto now = runtime_.now();
    const auto limit = kMaxDirectCommands - calls_open_;
    for (const auto& name :
         with([&](core::Cluster& c) { return c.machines_with_commands(may_start, limit, now); })) {
        direct(name);
    }
}

void Leader::direct(const std::string& machine) {
    const auto now = runtime_.now();
    const bool may_start = host_.may_start_tasks();
    auto commands =
        with([&](core::Cluster& c) { return c.direct_commands(machine, may_start, now); });
    if (commands.endpoint.empty()) return;
    // A machine that was never heard is in its first session, or says so in its answer.
    if (commands.session == 0) commands.session = 1;
    ++calls_open_;
    runtime_.call(
        commands.endpoint,
        {"POST", "/do", wire::direct_body(commands.token, commands.session, commands.commands)},
        kDirectDeadline, [self = shared_from_this(), commands](const net::HttpReply& reply) {
            --self->calls_open_;
            if (self->stopped_) return;
            const auto at = self->runtime_.now();
            using Result = core::Cluster::DirectResult;
            auto report = reply.status == 200 || reply.status == 409
                              ? wire::parse_report(reply.body)
                              : std::nullopt;
            if (reply.status == 200 && !report) self->malformed_.note(at);
            if (report && report->machine != commands.machine) report.reset();
            const auto result =
                reply.status == 200 ? Result::Executed
                : reply.status == 409 || reply.status == 400 || (reply.status == 0 && !reply.sent)
                    ? Result::NotExecuted
                    : Result::NoAnswer;
            core::ReportOutcome outcome;
            self->with([&](core::Cluster& c) {
                c.direct_result(commands, result, at);
                if (report) outcome = c.on_report(*report, false, at);
            });
            if (outcome.superseded) {
                return self->host_.step_down(events::StepDownReason::HigherTokenAtWorker);
            }
            if (outcome.changed) self->changed();
            // The next ones that were kept waiting by the bound on calls under way.
            if (self->calls_open_ + 1 == kMaxDirectCommands) {
                self->dispatch();
                self->sync_machines();
            }
        });
}

void Leader::ask_plan() {
    if (stopped_ || !ready_ || !types_known_) return;
    if (planning_) {
        plan_wanted_ = true;
        return;
    }
    const auto now = runtime_.now();
    // Planning gets a bounded part of the time: on a slow or busy machine plans come less often,
    // rather than beats and renewals late.
    const auto spacing = std::clamp(plan_took_ * kPlanPause, kPlanSpacing, kLongestSpacing);
    if (now - planned_at_ < spacing) {
        if (plan_timer_) return;
        plan_timer_ = true;
        runtime_.after(spacing - (now - planned_at_), [self = shared_from_this()] {
            self->plan_timer_ = false;
            self->ask_plan();
        });
        return;
    }
    planned_at_ = now;
    planning_ = true;
    plan_wanted_ = false;
    const auto wall = runtime_.wall_ms();
    planner_.plan(
        [shared = shared_, now, wall] {
            std::scoped_lock lock(shared->mutex);
            return shared->cluster->snapshot(now, wall);
        },
        [self = shared_from_this()](const core::Plan& plan) {
            self->planning_ = false;
            if (self->stopped_) return;
            self->plan_took_ = self->runtime_.now() - self->planned_at_;
            self->planned_at_ = self->runtime_.now();
            self->planned(plan);
            if (self->plan_wanted_) self->ask_plan();
        });
}

void Leader::planned(const core::Plan& plan) {
    if (!host_.has_leader_lease()) return;
    const auto now = runtime_.now();
    const auto applied = with([&](core::Cluster& c) { return c.apply(plan, now); });
    for (const auto& event : applied.events) host_.log(event);
    if (applied.starts + applied.stops > 0) {
        write();
        dispatch();
    }
    // Before the first list most machines are not known yet, and renting would double them.
    if (!listed_ && now - ready_at_ < kListWait) return;
    // Demand comes in bits; renting at every plan would use up the cloud's pace.
    // A plan made before the last rental was answered does not know its machines.
    if (!duties_->provisioning_in_flight() && now >= provision_pause_until_ &&
        plan.snapshot_at >= provisioned_at_ && !applied.provisions.empty()) {
        provision_pause_until_ = now + kProvisionSpacing;
        for (auto r : applied.provisions) {
            for (; r.count > kMaxProvisionCount; r.count -= kMaxProvisionCount) {
                auto part = r;
                part.count = kMaxProvisionCount;
                request_provision(part);
            }
            request_provision(r);
        }
        duties_->pump();
    }
}

}  // namespace lichendrift::control
