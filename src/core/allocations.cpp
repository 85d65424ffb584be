// Allocations: how they are created, stopped and released (docs/design.md, "When a task is off a
// machine"), and which tasks wait for one.
#include "core/cluster.h"
#include "core/state_keys.h"

namespace lichendrift::core {

namespace {

// The count of a replica's early ends starts again after it has run for this long: the first value
// applies if it then fails, the second if it exits without an error.
constexpr Millis kFailureCountResetAfter = 30'000;
constexpr Millis kExitCountResetAfter = 3000;
constexpr std::uint32_t kFailuresBlamedOnMachine = 2;
constexpr Millis kRefusedStartBackoff = 2000;  // backoff of a job after its worker refused a start
constexpr Millis kFirstReplicaBackoff = 1000;  // after the second early exit in a row; then doubled
constexpr Millis kMaxReplicaBackoff = 30'000;

}  // namespace

AllocationIndex Cluster::add_allocation(const Allocation& allocation) {
    AllocationIndex index;
    if (free_allocations_.empty()) {
        index = static_cast<AllocationIndex>(allocations_.size());
        allocations_.push_back(allocation);
    } else {
        index = free_allocations_.back();
        free_allocations_.pop_back();
        allocations_[index] = allocation;
    }
    Job& job = jobs_[allocation.job];
    job.allocations.emplace(allocation.task, index);
    machines_[allocation.machine].allocations.push_back(index);
    machines_[allocation.machine].used += job.spec.need;
    pending_machines_.insert(allocation.machine);
    if (job.spec.team != kInvalidIndex) team_used_[job.spec.team] += job.spec.need;
    return index;
}

void Cluster::release(AllocationIndex index, bool requeue, Millis now) {
    const Allocation allocation = allocations_[index];
    Job& job = jobs_[allocation.job];
    Machine& machine = machines_[allocation.machine];
    std::erase(machine.allocations, index);
    machine.used -= job.spec.need;
    if (machine.allocations.empty()) machine.idle_since = now;
    if (job.spec.team != kInvalidIndex) team_used_[job.spec.team] -= job.spec.need;
    auto [from, to] = job.allocations.equal_range(allocation.task);
    for (auto it = from; it != to; ++it) {
        if (it->second == index) {
            job.allocations.erase(it);
            break;
        }
    }
    allocations_[index] = Allocation{};
    free_allocations_.push_back(index);
    if (requeue && !job.terminal && job.done_flags[allocation.task] == 0 &&
        !job.allocations.contains(allocation.task)) {
        if (allocation.task < job.next_unplaced) job.requeued.insert(allocation.task);
        if (job.allocations.empty() || !job.spec.gang) job.waiting_since = now;
        // The other tasks of a gang cannot go on without the one that is gone.
        if (job.spec.gang && job.done == 0) {
            std::vector<AllocationIndex> rest;
            for (auto& [task, other] : job.allocations) rest.push_back(other);
            for (auto other : rest) {
                if (allocations_[other].job == allocation.job) stop_allocation(other, 0, now);
            }
        }
    }
    forget_if_finished(allocation.job);
}

void Cluster::release_all(MachineIndex machine_index, std::uint64_t below_session, Millis now) {
    // Releasing one may release others of its gang, so the list is read again each time.
    for (bool again = true; again;) {
        again = false;
        for (auto allocation_index : machines_[machine_index].allocations) {
            if (allocations_[allocation_index].session < below_session) {
                release(allocation_index, true, now);
                again = true;
                break;
            }
        }
    }
}

// Removes a task from those that wait. Tasks before it that were never placed go on waiting.
void Cluster::remove_from_waiting(Job& job, std::uint32_t task) {
    while (job.next_unplaced <= task) job.requeued.insert(job.next_unplaced++);
    job.requeued.erase(task);
}

void Cluster::forget_if_finished(JobIndex index) {
    auto it = jobs_.find(index);
    if (it == jobs_.end() || !it->second.terminal || !it->second.allocations.empty()) return;
    if (awaiting_records_ && settings_.guards.keep_ended_jobs_until_records_loaded) return;
    for (const auto& [number, record] : it->second.records) {
        // A write in flight may still create the record. Removing one that does not exist is
        // harmless.
        if (record.revision != 0 || record.writing || record.dirty) {
            orphans_.push_back(keys::placement_record(it->second.id, number));
        }
    }
    job_ids_.erase(it->second.id);
    jobs_.erase(it);
}

void Cluster::mark_done(JobIndex index, std::uint32_t task, Millis now) {
    Job& job = jobs_[index];
    // Replicas of services are never done: one that has ended runs again.
    if (job.spec.service) return;
    const auto mark_one = [&](std::uint32_t number) {
        if (job.done_flags[number] != 0) return;
        job.done_flags[number] = 1;
        ++job.done;
        remove_from_waiting(job, number);
        defer_write(job, number, now);
    };
    if (job.spec.gang) {
        // The tasks of a gang complete together: if one is done, all are.
        for (std::uint32_t number = 0; number < job.spec.count; ++number) mark_one(number);
    } else {
        mark_one(task);
    }
    if (job.done == job.spec.count) all_done_.insert(index);
}

void Cluster::stop_allocation(AllocationIndex index, double grace_s, Millis now) {
    Allocation& allocation = allocations_[index];
    if (is_unsent(allocation)) {
        // It is on no machine, so it can be released at once.
        release(index, true, now);
        return;
    }
    pending_machines_.insert(allocation.machine);
    if (!allocation.stop_requested) {
        allocation.stop_requested = true;
        allocation.grace_s = grace_s;
        allocation.stop_requested_at = now;
    } else {
        allocation.grace_s = std::min(allocation.grace_s, grace_s);
    }
}

// A run command that was sent has certainly not been executed. An allocation that has to be stopped
// by now is released: as one that is ready to be sent, it would be neither sent nor halted and
// would count against its machine for ever.
void Cluster::on_run_not_executed(AllocationIndex index, Millis now) {
    Allocation& allocation = allocations_[index];
    if (allocation.stop_requested) {
        release(index, true, now);
        return;
    }
    allocation.state = Allocation::State::Ready;
    pending_machines_.insert(allocation.machine);
}

void Cluster::stop_with_gang(AllocationIndex index, double grace_s, Millis now) {
    Job& job = jobs_[allocations_[index].job];
    if (!job.spec.gang) {
        stop_allocation(index, grace_s, now);
        return;
    }
    const auto job_index = allocations_[index].job;
    std::vector<AllocationIndex> all;
    for (auto& [task, other] : job.allocations) all.push_back(other);
    for (auto other : all) {
        if (allocations_[other].job == job_index) stop_allocation(other, grace_s, now);
    }
}

void Cluster::on_exit(AllocationIndex index, const TaskReport& task, Millis now) {
    const Allocation allocation = allocations_[index];
    Job& job = jobs_[allocation.job];
    Machine& machine = machines_[allocation.machine];
    if (job.spec.service &&
        (task.exit_reason == ExitReason::Done || task.exit_reason == ExitReason::Error)) {
        note_replica_exit(index, task.exit_reason == ExitReason::Error, now);
        return;
    }
    switch (task.exit_reason) {
        case ExitReason::Done:
            machine.failed_jobs.clear();
            job.failures = 0;
            if (!job.terminal) mark_done(allocation.job, allocation.task, now);
            break;
        case ExitReason::Error:
            note_failure(job, allocation.machine, now);
            break;
        case ExitReason::InsufficientResources:
        case ExitReason::OtherAttemptPresent:
            machine.quarantine_until = std::max(machine.quarantine_until, now + 1000);
            break;
        case ExitReason::Unknown:
        case ExitReason::PeersMissing:
            job.retry_at = std::max(job.retry_at, now + kRefusedStartBackoff);
            break;
        default:
            break;
    }
    release(index, true, now);
}

// A replica that has ended is started again at once. One that ends after a short time several times
// in a row backs off on its own, so that it delays no other replica and uses no starts that others
// need.
void Cluster::note_replica_exit(AllocationIndex index, bool failed, Millis now) {
    const Allocation allocation = allocations_[index];
    Job& job = jobs_[allocation.job];
    const auto ran = allocation.running_since > 0 ? now - allocation.running_since : 0;
    auto& failures = job.replica_failures[allocation.task];
    failures = ran >= (failed ? kFailureCountResetAfter : kExitCountResetAfter) ? 0 : failures + 1;
    // The first failures in a row are most likely the machine's fault, later ones the replica's.
    if (failed && failures <= kFailuresBlamedOnMachine)
        note_machine_failure(job, allocation.machine, now);
    if (!failed) machines_[allocation.machine].failed_jobs.clear();
    const auto failures_in_a_row = failures;
    const auto task = allocation.task;
    const auto job_index = allocation.job;
    release(index, true, now);
    const auto found = jobs_.find(job_index);
    if (failures_in_a_row <= 1 || found == jobs_.end()) return;
    if (found->second.requeued.erase(task) == 0) return;
    const auto backoff = std::min<Millis>(
        kFirstReplicaBackoff << std::min(failures_in_a_row - 2, 10U), kMaxReplicaBackoff);
    replica_backoffs_.emplace(now + backoff, job_index, task);
}

void Cluster::end_replica_backoffs(Millis now) {
    while (!replica_backoffs_.empty() && std::get<0>(*replica_backoffs_.begin()) <= now) {
        const auto [due, job_index, task] = *replica_backoffs_.begin();
        replica_backoffs_.erase(replica_backoffs_.begin());
        const auto found = jobs_.find(job_index);
        if (found == jobs_.end() || found->second.allocations.contains(task)) continue;
        found->second.requeued.insert(task);
    }
}

// Moves the replicas off a machine that is drained, before it is released. They never end by
// themselves, so the machine would be kept for ever, or they would be lost with it.
void Cluster::stop_replicas(MachineIndex machine_index, Millis now) {
    const auto allocated = machines_[machine_index].allocations;
    for (auto allocation_index : allocated) {
        const Allocation& allocation = allocations_[allocation_index];
        if (allocation.job != kInvalidIndex && !allocation.stop_requested &&
            jobs_[allocation.job].spec.service)
            stop_allocation(allocation_index, 0, now);
    }
}

std::uint32_t Cluster::waiting(const Job& job) const {
    if (job.terminal || job.writing_terminal_state || job.spec.team == kInvalidIndex) return 0;
    if (job.spec.gang) return job.allocations.empty() && job.done == 0 ? job.spec.count : 0;
    return static_cast<std::uint32_t>(job.requeued.size()) + (job.spec.count - job.next_unplaced);
}

std::vector<std::uint32_t> Cluster::next_waiting_tasks(const Job& job, std::uint32_t limit) const {
    std::vector<std::uint32_t> out;
    if (job.spec.gang) {
        for (std::uint32_t task = 0; task < std::min(limit, job.spec.count); ++task) {
            out.push_back(task);
        }
        return out;
    }
    for (const auto task : job.requeued) {
        if (out.size() >= limit) return out;
        out.push_back(task);
    }
    for (auto task = job.next_unplaced; task < job.spec.count && out.size() < limit; ++task) {
        out.push_back(task);
    }
    return out;
}

}  // namespace lichendrift::core
