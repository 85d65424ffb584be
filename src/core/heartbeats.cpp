// Reconciliation of workers' reports with the cluster state (docs/design.md, "What a report may
// settle").
#include "core/cluster.h"

namespace lichendrift::core {

namespace {

// What an attempt in a report is found by.
struct AttemptKey {
    JobIndex job = kInvalidIndex;
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
    auto operator<=>(const AttemptKey&) const = default;
};

bool names_same_attempt(const TaskReport& one, const TaskReport& other) {
    return one.job == other.job && one.task == other.task && one.attempt == other.attempt;
}

}  // namespace

// One report on its way through the steps of on_report().
struct Cluster::Reconciliation {
    const Report& report;
    bool is_heartbeat = false;  // otherwise the response to a direct command
    MachineIndex machine = kInvalidIndex;
    Millis now = 0;
    bool trusted = false;         // it carries the leader's own token, so it may free tasks
    bool changed = false;         // something is worth planning again
    bool command_seen = false;    // a run that was sent shows in it
    bool command_missed = false;  // a run or halt that was sent has had no effect
    // Tasks of known jobs that are not matched with an allocation (or exited) so far.
    std::map<AttemptKey, const TaskReport*> unmatched{};
    std::vector<TaskReport> to_reap{};  // or to be halted by name, if their job is not known
};

ReportOutcome Cluster::on_report(const Report& report, bool is_heartbeat, Millis now) {
    ReportOutcome outcome;
    if (report.token >= settings_.token + kFencingTokensPerTerm) {
        outcome.superseded = true;
        return outcome;
    }
    const auto index = machine_for(report.machine, report.type, report.zone, report.spot, now);
    const Machine& machine = machines_[index];
    if (machine.life == Machine::Life::Gone) return outcome;
    // "What a report may settle", not newer than one seen: nothing.
    if (std::pair(report.session, report.seq) <= std::pair(machine.session, machine.seq)) {
        return outcome;
    }
    outcome.fresh = true;
    Reconciliation step{report, is_heartbeat, index, now};
    update_machine(step);
    release_earlier_sessions(step);
    step.trusted = machine.synced || !settings_.guards.reports_need_current_token;
    group_reported_tasks(step);
    reconcile_allocations(step);
    if (step.command_seen) {
        on_command_effect(index);
    } else if (step.command_missed) {
        on_commands_missed(index, 1, now);
    }
    reconcile_unmatched(step);
    if (step.trusted) collect_exited(step);
    if (report.notice_s && !machine.taken_at) {
        notice(index, *report.notice_s, now);
        step.changed = true;
    }
    outcome.changed = step.changed;
    return outcome;
}

// What a newer report says of the machine itself.
void Cluster::update_machine(Reconciliation& step) {
    const Report& report = step.report;
    Machine& machine = machines_[step.machine];
    if (report.session > machine.session) on_new_session(step);
    machine.session = report.session;
    machine.seq = report.seq;
    machine.token = std::max(machine.token, report.token);
    machine.endpoint = report.endpoint;
    step.changed |= machine.on_registered(step.now);
    update_sync(step);
}

void Cluster::on_new_session(Reconciliation& step) {
    Machine& machine = machines_[step.machine];
    step.changed = true;
    // The first report that this leader gets says nothing of a change.
    if (machine.session == 0) return;
    // "Failure detection", unreachable: its lease ended though its reports came. Until something is
    // seen to reach it, nothing is placed there. After a fault of ours a single command clears it.
    if (machine.life == Machine::Life::Up) {
        on_commands_missed(step.machine, kUnreachableMisses, step.now);
        const bool again = step.now - machine.session_at < settings_.lease_ms * 3;
        machine.lost_leases = again ? machine.lost_leases + 1 : 1;
        machine.session_at = step.now;
    }
    machine.images.clear();
}

// Whether the report carries this leader's token, and what that says of the way to the machine.
void Cluster::update_sync(Reconciliation& step) {
    const Report& report = step.report;
    Machine& machine = machines_[step.machine];
    const bool synced = report.token >= settings_.token;
    // A copy of a report may come late by more than a lease, and a new leader cannot tell it from a
    // new one. Only what carries the leader's own token is a sign of life, and the first of all, so
    // that late copies do not hold off the release of a machine that is gone.
    if (synced || machine.last_heartbeat_at == 0) machine.last_heartbeat_at = step.now;
    const bool token_missed =
        machine.owed_token_seq != 0 && report.seq > machine.owed_token_seq && !synced;
    if (step.is_heartbeat && token_missed) on_commands_missed(step.machine, 1, step.now);
    if (synced && !machine.synced) on_command_effect(step.machine);
    // A session that outlives a lease had answers: with the direct way closed, as between two
    // zones, nothing else shows it.
    if (machine.unreachable_since != 0 && machine.unreachable_since == machine.session_at &&
        step.now - machine.session_at > settings_.lease_ms + settings_.report_ms) {
        on_command_effect(step.machine);
    }
    if (synced) machine.owed_token_seq = 0;
    if (synced != machine.synced) step.changed = true;
    machine.synced = synced;
}

// "When a task is off a machine" (2), a later session: the worker has killed and forgotten all
// tasks of the earlier ones.
void Cluster::release_earlier_sessions(Reconciliation& step) {
    const auto& allocations = machines_[step.machine].allocations;
    const auto before = allocations.size();
    if (before == 0) return;
    release_all(step.machine, step.report.session, step.now);
    step.changed |= before != allocations.size();
}

void Cluster::group_reported_tasks(Reconciliation& step) const {
    for (const auto& task : step.report.tasks) {
        const auto found = job_ids_.find(task.job);
        if (found == job_ids_.end() || task.task >= jobs_.at(found->second).spec.count) {
            // Live tasks of a job that is over and forgotten are halted by name.
            step.to_reap.push_back(task);
            continue;
        }
        step.unmatched[{found->second, task.task, task.attempt}] = &task;
    }
}

// Compares what counts as on the machine with what the report shows.
void Cluster::reconcile_allocations(Reconciliation& step) {
    // A copy, as an attempt that ends here may take others of its gang with it.
    const auto allocated = machines_[step.machine].allocations;
    work_ += 1 + allocated.size() + step.report.tasks.size();
    for (const auto index : allocated) {
        const Allocation& allocation = allocations_[index];
        // Released with its gang.
        if (allocation.job == kInvalidIndex || allocation.machine != step.machine) continue;
        const auto it = step.unmatched.find({allocation.job, allocation.task, allocation.attempt});
        if (it == step.unmatched.end()) {
            if (step.trusted) reconcile_absent(step, index);
        } else if (it->second->phase == TaskPhase::Exited) {
            // "When a task is off a machine" (1): shown as exited. It stays in `unmatched`, from
            // where it is reaped.
            if (!step.trusted) continue;
            on_exit(index, *it->second, step.now);
            step.changed = true;
        } else {
            reconcile_alive(step, index, *it->second);
            step.unmatched.erase(it);
        }
    }
}

void Cluster::reconcile_alive(Reconciliation& step, AllocationIndex index, const TaskReport& task) {
    Allocation& allocation = allocations_[index];
    if (allocation.phase != task.phase || allocation.state != Allocation::State::Seen) {
        step.changed = true;
    }
    step.command_seen |= allocation.state == Allocation::State::Sent;
    const bool halt_answered =
        allocation.halt_seq != 0 && step.is_heartbeat && step.report.seq > allocation.halt_seq;
    if (allocation.stop && halt_answered && task.phase != TaskPhase::Saving) {
        step.command_missed = true;
        allocation.halt_seq = 0;
    }
    allocation.state = Allocation::State::Seen;
    allocation.reported = true;
    allocation.phase = task.phase;
    if (task.phase == TaskPhase::Running && allocation.running_since == 0) {
        allocation.running_since = step.now;
    }
    if (task.phase != TaskPhase::Pulling) {
        note_image(machines_[step.machine], jobs_.at(allocation.job).spec.image);
    }
}

// "When a task is off a machine" (1): absent from a trusted report with nothing unconfirmed.
void Cluster::reconcile_absent(Reconciliation& step, AllocationIndex index) {
    Allocation& allocation = allocations_[index];
    const auto seq = step.report.seq;
    // What was sent under a lower token than its worker has seen can't act any more.
    if (step.report.token > allocation.direct_token) allocation.direct_unconfirmed = false;
    const bool unconfirmed = allocation.direct_unconfirmed || allocation.direct_open > 0;
    switch (allocation.state) {
        case Allocation::State::Planned:
        case Allocation::State::Ready:
            return;
        case Allocation::State::Sent:
            // A heartbeat after the answer that carried the run proves that it was dropped; a
            // direct run without an answer stays unconfirmed.
            if (unconfirmed || !step.is_heartbeat || seq <= allocation.heartbeat_seq) return;
            step.command_missed |= allocation.heartbeat_seq != 0;
            run_came_to_nothing(index, step.now);
            break;
        case Allocation::State::Seen:
            if (unconfirmed) return;
            // The response to a direct command may be older than the answer that carried the run.
            if (allocation.heartbeat_seq != 0 &&
                (!step.is_heartbeat || seq <= allocation.heartbeat_seq)) {
                return;
            }
            release(index, true, step.now);
            break;
    }
    step.changed = true;
}

// Reported tasks of known jobs that are not allocated there, and exits.
void Cluster::reconcile_unmatched(Reconciliation& step) {
    for (const auto& [attempt, task] : step.unmatched) {
        const auto found = jobs_.find(attempt.job);
        if (found == jobs_.end()) continue;
        const Job& job = found->second;
        if (task->phase != TaskPhase::Exited) {
            if (!is_allocated(step.machine, attempt.job, *task)) {
                add_unexpected_allocation(step, attempt.job, *task);
            }
            continue;
        }
        step.to_reap.push_back(*task);
        if (step.trusted && task->why == ExitWhy::Done && !job.over &&
            job.done_flags[attempt.task] == 0) {
            mark_done(attempt.job, attempt.task, step.now);
            step.changed = true;
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

// A task on a machine without a record: it counts as there until gone, and is halted.
void Cluster::add_unexpected_allocation(Reconciliation& step, JobIndex index,
                                        const TaskReport& task) {
    Job& job = jobs_.at(index);
    Allocation allocation;
    allocation.job = index;
    allocation.task = task.task;
    allocation.attempt = task.attempt;
    allocation.machine = step.machine;
    allocation.session = step.report.session;
    allocation.state = Allocation::State::Seen;
    allocation.phase = task.phase;
    allocation.unexpected = true;
    allocation.reported = true;
    allocation.stop = true;
    allocation.since = step.now;
    take_from_waiting(job, task.task);
    add_allocation(allocation);
    mark_dirty(job, task.task);
    step.changed = true;
}

// What the answer to the next heartbeat reaps: exits of allocated tasks as well.
void Cluster::collect_exited(Reconciliation& step) {
    auto& to_reap = step.to_reap;
    for (const auto& task : step.report.tasks) {
        if (task.phase != TaskPhase::Exited) continue;
        const bool there = std::any_of(to_reap.begin(), to_reap.end(), [&](const auto& other) {
            return names_same_attempt(other, task);
        });
        if (!there) to_reap.push_back(task);
    }
    exited_[step.report.machine] = std::move(to_reap);
}

}  // namespace lichendrift::core
