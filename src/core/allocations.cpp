// Allocations: how they are made, stopped and released (docs/design.md, "When a task is off a
// machine"), and which tasks wait.
#include "core/cluster.h"
#include "core/state_keys.h"

namespace lichendrift::core {

namespace {

constexpr Millis kReplicaRanWell = 30'000;  // a failure after that long is none in a row
constexpr Millis kReplicaRan = 3000;        // the same of a replica that ended well
constexpr std::uint32_t kFailuresOfMachines = 2;
constexpr Millis kStartRefusedPause = 2000;  // of a job, after a start that its worker refused
constexpr Millis kFirstReplicaPause = 1000;  // after the second end in a row, then doubled
constexpr Millis kLongestReplicaPause = 30'000;

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
    attention_.insert(allocation.machine);
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
    if (requeue && !job.over && job.done_flags[allocation.task] == 0 &&
        !job.allocations.contains(allocation.task)) {
        if (allocation.task < job.next_fresh) job.again.insert(allocation.task);
        if (job.allocations.empty() || !job.spec.gang) job.waiting_since = now;
        // One task of a gang is gone: the rest cannot go on without it.
        if (job.spec.gang && job.done == 0) {
            std::vector<AllocationIndex> rest;
            for (auto& [task, other] : job.allocations) rest.push_back(other);
            for (auto other : rest) {
                if (allocations_[other].job == allocation.job) stop_allocation(other, 0, now);
            }
        }
    }
    drop_if_gone(allocation.job);
}

void Cluster::release_all(MachineIndex machine_index, std::uint64_t below_session, Millis now) {
    // Releasing one may release others of its gang, so the list is read anew each time.
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

// A task that was placed does not wait any more; those before it were not tried yet, and go on
// waiting.
void Cluster::take_from_waiting(Job& job, std::uint32_t task) {
    while (job.next_fresh <= task) job.again.insert(job.next_fresh++);
    job.again.erase(task);
}

void Cluster::drop_if_gone(JobIndex index) {
    auto it = jobs_.find(index);
    if (it == jobs_.end() || !it->second.over || !it->second.allocations.empty()) return;
    if (records_to_come_ && settings_.guards.keep_ended_jobs_until_records_loaded) return;
    for (const auto& [number, record] : it->second.records) {
        // A write in flight may still create the record: removing it later is harmless.
        if (record.revision != 0 || record.writing || record.dirty) {
            orphans_.push_back(keys::placement_record(it->second.id, number));
        }
    }
    job_ids_.erase(it->second.id);
    jobs_.erase(it);
}

void Cluster::mark_done(JobIndex index, std::uint32_t task, Millis now) {
    Job& job = jobs_[index];
    // A replica of a service that has ended runs again.
    if (job.spec.service) return;
    const auto mark_one = [&](std::uint32_t number) {
        if (job.done_flags[number] != 0) return;
        job.done_flags[number] = 1;
        ++job.done;
        take_from_waiting(job, number);
        mark_lazy(job, number, now);
    };
    if (job.spec.gang) {
        // A gang completes together: if one task is done, all are.
        for (std::uint32_t number = 0; number < job.spec.count; ++number) mark_one(number);
    } else {
        mark_one(task);
    }
    if (job.done == job.spec.count) all_done_.insert(index);
}

void Cluster::stop_allocation(AllocationIndex index, double grace_s, Millis now) {
    Allocation& allocation = allocations_[index];
    if (is_unsent(allocation)) {
        // Nothing was sent, so it can be taken back at once.
        release(index, true, now);
        return;
    }
    attention_.insert(allocation.machine);
    if (!allocation.stop) {
        allocation.stop = true;
        allocation.grace_s = grace_s;
        allocation.stop_since = now;
    } else {
        allocation.grace_s = std::min(allocation.grace_s, grace_s);
    }
}

// A run that was sent and surely comes to nothing. What is to be stopped by now is over with it:
// kept as one to be sent, it would be neither sent nor halted and would count against its machine
// for ever.
void Cluster::run_came_to_nothing(AllocationIndex index, Millis now) {
    Allocation& allocation = allocations_[index];
    if (allocation.stop) {
        release(index, true, now);
        return;
    }
    allocation.state = Allocation::State::Ready;
    attention_.insert(allocation.machine);
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
    if (job.spec.service && (task.why == ExitWhy::Done || task.why == ExitWhy::Error)) {
        note_replica_exit(index, task.why == ExitWhy::Error, now);
        return;
    }
    switch (task.why) {
        case ExitWhy::Done:
            machine.failed_jobs.clear();
            job.failures = 0;
            if (!job.over) mark_done(allocation.job, allocation.task, now);
            break;
        case ExitWhy::Error:
            note_failure(job, allocation.machine, now);
            break;
        case ExitWhy::Full:
        case ExitWhy::Busy:
            machine.quarantine_until = std::max(machine.quarantine_until, now + 1000);
            break;
        case ExitWhy::Unknown:
        case ExitWhy::Alone:
            job.retry_at = std::max(job.retry_at, now + kStartRefusedPause);
            break;
        default:
            break;
    }
    release(index, true, now);
}

// A replica that ended runs again at once. One that ends again and again within a short time backs
// off by itself, so that it holds up none of the others and uses no starts that they need.
void Cluster::note_replica_exit(AllocationIndex index, bool failed, Millis now) {
    const Allocation allocation = allocations_[index];
    Job& job = jobs_[allocation.job];
    const auto ran = allocation.running_since > 0 ? now - allocation.running_since : 0;
    auto& failures = job.replica_failures[allocation.task];
    failures = ran >= (failed ? kReplicaRanWell : kReplicaRan) ? 0 : failures + 1;
    // The first failures in a row are most likely the machines' fault, later ones its own.
    if (failed && failures <= kFailuresOfMachines)
        note_machine_failure(job, allocation.machine, now);
    if (!failed) machines_[allocation.machine].failed_jobs.clear();
    const auto failures_in_a_row = failures;
    const auto task = allocation.task;
    const auto job_index = allocation.job;
    release(index, true, now);
    const auto found = jobs_.find(job_index);
    if (failures_in_a_row <= 1 || found == jobs_.end()) return;
    if (found->second.again.erase(task) == 0) return;
    const auto pause = std::min<Millis>(kFirstReplicaPause << std::min(failures_in_a_row - 2, 10U),
                                        kLongestReplicaPause);
    resting_.emplace(now + pause, job_index, task);
}

void Cluster::wake_replicas(Millis now) {
    while (!resting_.empty() && std::get<0>(*resting_.begin()) <= now) {
        const auto [due, job_index, task] = *resting_.begin();
        resting_.erase(resting_.begin());
        const auto found = jobs_.find(job_index);
        if (found == jobs_.end() || found->second.allocations.contains(task)) continue;
        found->second.again.insert(task);
    }
}

// From a machine that is drained, the replicas are moved before it is released: they would keep it
// for ever, as they never end by themselves, or be lost with it.
void Cluster::stop_replicas(MachineIndex machine_index, Millis now) {
    const auto allocated = machines_[machine_index].allocations;
    for (auto allocation_index : allocated) {
        const Allocation& allocation = allocations_[allocation_index];
        if (allocation.job != kInvalidIndex && !allocation.stop &&
            jobs_[allocation.job].spec.service)
            stop_allocation(allocation_index, 0, now);
    }
}

std::uint32_t Cluster::waiting(const Job& job) const {
    if (job.over || job.finishing || job.spec.team == kInvalidIndex) return 0;
    if (job.spec.gang) return job.allocations.empty() && job.done == 0 ? job.spec.count : 0;
    return static_cast<std::uint32_t>(job.again.size()) + (job.spec.count - job.next_fresh);
}

std::vector<std::uint32_t> Cluster::take_waiting(const Job& job, std::uint32_t limit) const {
    std::vector<std::uint32_t> out;
    if (job.spec.gang) {
        for (std::uint32_t task = 0; task < std::min(limit, job.spec.count); ++task) {
            out.push_back(task);
        }
        return out;
    }
    for (const auto task : job.again) {
        if (out.size() >= limit) return out;
        out.push_back(task);
    }
    for (auto task = job.next_fresh; task < job.spec.count && out.size() < limit; ++task) {
        out.push_back(task);
    }
    return out;
}

}  // namespace lichendrift::core
