// Reconciles workers' reports with the leader's cluster state: which tasks run on a machine, have
// exited or are gone (docs/design.md, "What a report may settle").
#include "core/cluster.h"

namespace lichendrift::core {

namespace {

// Identifies an attempt; the key of Reconciliation::unmatched.
struct AttemptKey {
    JobIndex job = kInvalidIndex;
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
    auto operator<=>(const AttemptKey&) const = default;
};

bool is_same_attempt(const TaskReport& one, const TaskReport& other) {
    return one.job == other.job && one.task == other.task && one.attempt == other.attempt;
}

}  // namespace

// The state of one report while on_report() processes it.
struct Cluster::Reconciliation {
    const Report& report;
    bool is_heartbeat = false;  // false: it came in the response to a direct command
    MachineIndex machine = kInvalidIndex;
    Millis now = 0;
    bool trusted = false;         // it carries this leader's token, so it may release allocations
    bool changed = false;         // it changed the cluster state in a way that calls for a new plan
    bool command_seen = false;    // it shows an attempt whose run was sent, so commands arrive
    bool command_missed = false;  // a run or halt that was sent has had no effect
    // Reported tasks of known jobs that have no allocation or have exited. Until
    // reconcile_allocations() is done, also those with an allocation.
    std::map<AttemptKey, const TaskReport*> unmatched{};
    std::vector<TaskReport> to_reap{};  // or to be halted, if they are alive and their job unknown
};

ReportOutcome Cluster::on_report(const Report& report, bool is_heartbeat, Millis now) {
    ReportOutcome outcome;
    if (report.token >= settings_.token + kFencingTokensPerTerm) {
        outcome.superseded = true;
        return outcome;
    }
    const auto index =
        find_or_add_machine(report.machine, report.type, report.zone, report.spot, now);
    const Machine& machine = machines_[index];
    if (machine.lifecycle == Machine::Lifecycle::Gone) return outcome;
    // A report that is not newer than the newest one received is ignored ("What a report may
    // settle").
    if (std::pair(report.session, report.seq) <= std::pair(machine.session, machine.seq)) {
        return outcome;
    }
    outcome.fresh = true;
    Reconciliation context{report, is_heartbeat, index, now};
    update_machine(context);
    release_earlier_sessions(context);
    context.trusted = machine.synced || !settings_.guards.reports_need_current_token;
    group_reported_tasks(context);
    reconcile_allocations(context);
    if (context.command_seen) {
        on_command_effect(index);
    } else if (context.command_missed) {
        on_commands_missed(index, 1, now);
    }
    reconcile_unmatched(context);
    if (context.trusted) collect_tasks_to_reap(context);
    if (report.notice_s && !machine.reclaim_at) {
        on_spot_notice(index, *report.notice_s, now);
        context.changed = true;
    }
    outcome.changed = context.changed;
    return outcome;
}

// Updates what the report says about the machine itself: its worker's session and address, its
// token, and that it is up.
void Cluster::update_machine(Reconciliation& context) {
    const Report& report = context.report;
    Machine& machine = machines_[context.machine];
    if (report.session > machine.session) on_new_session(context);
    machine.session = report.session;
    machine.seq = report.seq;
    machine.token = std::max(machine.token, report.token);
    machine.endpoint = report.endpoint;
    context.changed |= machine.on_registered(context.now);
    update_sync(context);
}

void Cluster::on_new_session(Reconciliation& context) {
    Machine& machine = machines_[context.machine];
    context.changed = true;
    // The first report to this leader does not show that the session has changed.
    if (machine.session == 0) return;
    // The worker's lease expired although its reports arrived here, so answers do not reach it
    // ("Failure detection", unreachable). Nothing is placed there until a command is seen to take
    // effect. If the fault was on the controllers' side, a single command that takes effect makes
    // it usable again.
    if (machine.lifecycle == Machine::Lifecycle::Up) {
        on_commands_missed(context.machine, kUnreachableMisses, context.now);
        const bool again = context.now - machine.session_started_at < settings_.lease_ms * 3;
        machine.lost_leases = again ? machine.lost_leases + 1 : 1;
        machine.session_started_at = context.now;
    }
    machine.images.clear();
}

// Updates whether the machine is synced, that is, whether its newest report carries this leader's
// token, and concludes from the report whether commands and answers reach the machine.
void Cluster::update_sync(Reconciliation& context) {
    const Report& report = context.report;
    Machine& machine = machines_[context.machine];
    const bool synced = report.token >= settings_.token;
    // A duplicate of a report may arrive more than a lease late, and a new leader cannot tell it
    // from a new report. So only the first report of all and those with this leader's token count
    // as signs of life; otherwise late duplicates would delay the release of a machine that is
    // gone.
    if (synced || machine.last_heartbeat_at == 0) machine.last_heartbeat_at = context.now;
    const bool token_not_raised =
        machine.token_sent_seq != 0 && report.seq > machine.token_sent_seq && !synced;
    if (context.is_heartbeat && token_not_raised)
        on_commands_missed(context.machine, 1, context.now);
    if (synced && !machine.synced) on_command_effect(context.machine);
    // A session that lasts longer than a lease has received answers that renewed the lease. Where
    // direct commands cannot get through, as between two partitioned zones, nothing else shows
    // that.
    if (machine.unreachable_since != 0 && machine.unreachable_since == machine.session_started_at &&
        context.now - machine.session_started_at > settings_.lease_ms + settings_.report_ms) {
        on_command_effect(context.machine);
    }
    if (synced) machine.token_sent_seq = 0;
    if (synced != machine.synced) context.changed = true;
    machine.synced = synced;
}

// "When a task is off a machine" (2): a report of a later session proves that all tasks of earlier
// sessions are gone, since the worker has killed and forgotten them.
void Cluster::release_earlier_sessions(Reconciliation& context) {
    const auto& allocations = machines_[context.machine].allocations;
    const auto before = allocations.size();
    if (before == 0) return;
    release_all(context.machine, context.report.session, context.now);
    context.changed |= before != allocations.size();
}

void Cluster::group_reported_tasks(Reconciliation& context) const {
    for (const auto& task : context.report.tasks) {
        const auto found = job_ids_.find(task.job);
        if (found == job_ids_.end() || task.task >= jobs_.at(found->second).spec.count) {
            // The job is over and was removed from the cluster state. A live task of it is halted,
            // an exited one reaped, by the ids in the report.
            context.to_reap.push_back(task);
            continue;
        }
        context.unmatched[{found->second, task.task, task.attempt}] = &task;
    }
}

// Compares the machine's allocations with the tasks in the report.
void Cluster::reconcile_allocations(Reconciliation& context) {
    // Copied, because the end of one attempt may also release others of its gang.
    const auto allocated = machines_[context.machine].allocations;
    entries_visited_ += 1 + allocated.size() + context.report.tasks.size();
    for (const auto index : allocated) {
        const Allocation& allocation = allocations_[index];
        // Already released together with its gang.
        if (allocation.job == kInvalidIndex || allocation.machine != context.machine) continue;
        const auto it =
            context.unmatched.find({allocation.job, allocation.task, allocation.attempt});
        if (it == context.unmatched.end()) {
            if (context.trusted) reconcile_absent(context, index);
        } else if (it->second->phase == TaskPhase::Exited) {
            // "When a task is off a machine" (1): a trusted report that shows the attempt as exited
            // proves it gone. It stays in `unmatched`, so that reconcile_unmatched() reaps it.
            if (!context.trusted) continue;
            on_exit(index, *it->second, context.now);
            context.changed = true;
        } else {
            reconcile_alive(context, index, *it->second);
            context.unmatched.erase(it);
        }
    }
}

void Cluster::reconcile_alive(Reconciliation& context, AllocationIndex index,
                              const TaskReport& task) {
    Allocation& allocation = allocations_[index];
    if (allocation.phase != task.phase || allocation.state != Allocation::State::Present) {
        context.changed = true;
    }
    context.command_seen |= allocation.state == Allocation::State::Sent;
    const bool is_after_halt = allocation.halt_seq != 0 && context.is_heartbeat &&
                               context.report.seq > allocation.halt_seq;
    if (allocation.stop_requested && is_after_halt && task.phase != TaskPhase::Saving) {
        context.command_missed = true;
        allocation.halt_seq = 0;
    }
    allocation.state = Allocation::State::Present;
    allocation.reported = true;
    allocation.phase = task.phase;
    if (task.phase == TaskPhase::Running && allocation.running_since == 0) {
        allocation.running_since = context.now;
    }
    if (task.phase != TaskPhase::Pulling) {
        note_image(machines_[context.machine], jobs_.at(allocation.job).spec.image);
    }
}

// "When a task is off a machine", copies: whether a late duplicate of the attempt's direct run,
// even of one that was answered, would start it on a worker that no longer knows it and reports
// this token.
bool Cluster::copy_may_start(const Allocation& allocation, std::uint64_t reported_token) const {
    return settings_.guards.lost_attempts_await_token && allocation.direct_token != 0 &&
           reported_token <= allocation.direct_token;
}

// "When a task is off a machine" (1): an attempt that is absent from a trusted report is gone,
// unless a run that was sent for it is unconfirmed and may still be executed.
void Cluster::reconcile_absent(Reconciliation& context, AllocationIndex index) {
    Allocation& allocation = allocations_[index];
    const auto seq = context.report.seq;
    // A worker refuses commands with a lower token than it has seen, so an unconfirmed run that was
    // sent with a lower token than the report carries will not be executed any more.
    if (context.report.token > allocation.direct_token) allocation.direct_unconfirmed = false;
    const bool unconfirmed = allocation.direct_unconfirmed || allocation.direct_runs_in_flight > 0;
    switch (allocation.state) {
        case Allocation::State::Planned:
        case Allocation::State::Ready:
            return;
        case Allocation::State::Sent:
            // A heartbeat later than the one whose answer carried the run proves that the run was
            // dropped. A direct run without a response stays unconfirmed.
            if (unconfirmed || !context.is_heartbeat || seq <= allocation.heartbeat_seq) return;
            context.command_missed |= allocation.heartbeat_seq != 0;
            on_run_not_executed(index, context.now);
            break;
        case Allocation::State::Present:
            if (unconfirmed) return;
            // The report in the response to a direct command may be older than the answer that
            // carried the run.
            if (allocation.heartbeat_seq != 0 &&
                (!context.is_heartbeat || seq <= allocation.heartbeat_seq)) {
                return;
            }
            if (copy_may_start(allocation, context.report.token)) {
                (void)raise_token(machines_[context.machine]);
                return;
            }
            release(index, true, context.now);
            break;
    }
    context.changed = true;
}

// Handles the reported tasks of known jobs that have no allocation on the machine, and those that
// have exited.
void Cluster::reconcile_unmatched(Reconciliation& context) {
    for (const auto& [attempt, task] : context.unmatched) {
        const auto found = jobs_.find(attempt.job);
        if (found == jobs_.end()) continue;
        const Job& job = found->second;
        if (task->phase != TaskPhase::Exited) {
            if (!is_allocated(context.machine, attempt.job, *task)) {
                add_unexpected_allocation(context, attempt.job, *task);
            }
            continue;
        }
        context.to_reap.push_back(*task);
        if (context.trusted && task->exit_reason == ExitReason::Done && !job.terminal &&
            job.done_flags[attempt.task] == 0) {
            mark_done(attempt.job, attempt.task, context.now);
            context.changed = true;
        }
    }
}

bool Cluster::is_allocated(MachineIndex machine, JobIndex job, const TaskReport& task) const {
    const auto& allocated = machines_[machine].allocations;
    return std::any_of(allocated.begin(), allocated.end(), [&](AllocationIndex index) {
        const Allocation& allocation = allocations_[index];
        return allocation.job == job && allocation.task == task.task &&
               allocation.attempt == task.attempt;
    });
}

// Adds an allocation for a reported task that no record places on the machine: it counts there
// until it is proven gone, and is halted.
void Cluster::add_unexpected_allocation(Reconciliation& context, JobIndex index,
                                        const TaskReport& task) {
    Job& job = jobs_.at(index);
    Allocation allocation;
    allocation.job = index;
    allocation.task = task.task;
    allocation.attempt = task.attempt;
    allocation.machine = context.machine;
    allocation.session = context.report.session;
    allocation.state = Allocation::State::Present;
    allocation.phase = task.phase;
    allocation.unexpected = true;
    allocation.reported = true;
    allocation.stop_requested = true;
    allocation.created_at = context.now;
    remove_from_waiting(job, task.task);
    add_allocation(allocation);
    mark_dirty(job, task.task);
    context.changed = true;
}

// Stores what the answer to the next heartbeat reaps: besides the tasks collected so far, every
// other exited task of the report.
void Cluster::collect_tasks_to_reap(Reconciliation& context) {
    auto& to_reap = context.to_reap;
    for (const auto& task : context.report.tasks) {
        if (task.phase != TaskPhase::Exited) continue;
        const bool already_listed =
            std::any_of(to_reap.begin(), to_reap.end(),
                        [&](const auto& other) { return is_same_attempt(other, task); });
        if (!already_listed) to_reap.push_back(task);
    }
    tasks_to_reap_[context.report.machine] = std::move(to_reap);
}

}  // namespace lichendrift::core
