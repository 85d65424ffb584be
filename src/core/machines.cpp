// The machines of the fleet: how they become known, are drained, released and forgotten.
#include <cmath>

#include "core/cluster.h"

namespace lichendrift::core {

namespace {

constexpr std::size_t kMaxImages = 8;     // remembered per machine
constexpr Millis kUnlistedMargin = 2000;  // beyond two intervals between heartbeats
// After the cloud had no capacity for a kind of machine; doubled each time.
constexpr Millis kFirstNoCapacityBackoff = 5000;
constexpr Millis kMaxNoCapacityBackoff = 12'000;
constexpr Millis kReleaseRetryDelay = 3000;  // until a release is requested again
constexpr Millis kForgetReleasedAfter = 900'000;
// A spot notice is forgotten this long after its end if the machine still reports.
constexpr Millis kForgetNoticeAfter = 60'000;
constexpr Millis kMaxListDelay = 12'000;  // the cloud's list is out of date by at most this
// Between two attempts to start a job that fails everywhere. An attempt, including the download of
// the image, has to come well within 90 s: no job may wait longer than that while capacity that
// fits it is free.
constexpr double kLongestBackoffSeconds = 30;
constexpr Millis kReplicaProvenAfter = 10'000;
// Failed machines remembered for a service; when there are so many, all are forgotten.
constexpr std::size_t kMaxFailedMachines = 16;
// Tasks expected to end within this share of the time that a spot notice leaves are not stopped.
constexpr double kNoticeShare = 0.7;
// Time for which a machine gets no work after a task failed there.
constexpr Millis kFailureQuarantine = 3000;

}  // namespace

MachineIndex Cluster::find_or_add_machine(const std::string& name, const std::string& type,
                                          const std::string& zone, bool spot, Millis now) {
    auto [it, fresh] = machine_ids_.try_emplace(name, static_cast<MachineIndex>(machines_.size()));
    if (fresh) {
        Machine machine;
        machine.name = name;
        machine.token = settings_.token;
        machine.first_seen = now;
        machine.provisioned_at = now;
        if (free_machines_.empty()) {
            machines_.push_back(std::move(machine));
        } else {
            it->second = free_machines_.back();
            free_machines_.pop_back();
            machines_[it->second] = std::move(machine);
        }
    }
    Machine& machine = machines_[it->second];
    if (!type.empty() && machine.type == kInvalidIndex) {
        machine.type = types_.intern(type);
        if (type_info_.size() <= machine.type) type_info_.resize(machine.type + 1);
        machine.zone = zones_.intern(zone);
        machine.spot = spot;
    }
    return it->second;
}

// Called when a command or an answer sent to the machine has taken effect: it is reachable
// ("Failure detection", unreachable: a machine is unreachable while nothing sent to it has an
// effect).
void Cluster::on_command_effect(MachineIndex index) {
    if (!settings_.guards.command_effect_check) return;
    Machine& machine = machines_[index];
    machine.missed_commands = 0;
    machine.unreachable_since = 0;
}

// `count` answers or commands had no effect, although later heartbeats have arrived.
void Cluster::on_commands_missed(MachineIndex index, int count, Millis now) {
    if (!settings_.guards.command_effect_check) return;
    Machine& machine = machines_[index];
    machine.missed_commands += count;
    if (machine.missed_commands >= kUnreachableMisses && machine.unreachable_since == 0) {
        machine.unreachable_since = now;
    }
}

void Cluster::note_image(Machine& machine, ImageIndex image) {
    std::erase(machine.images, image);
    machine.images.push_back(image);
    if (machine.images.size() > kMaxImages) machine.images.erase(machine.images.begin());
}

void Cluster::note_failure(Job& job, MachineIndex index, Millis now) {
    job.failures++;
    note_machine_failure(job, index, now);
    const bool succeeded = has_succeeded(job, now);
    // A failure on one machine is mostly the fault of the machine. A job that has failed on several
    // ones backs off.
    if (!succeeded && job.failed_on.size() >= 2) {
        const double backoff_s = settings_.policy
                                     ? settings_.policy->retry_delay_s(facts(job))
                                     : std::min(std::exp2(job.failures), kLongestBackoffSeconds);
        job.retry_at = now + static_cast<Millis>(backoff_s * 1000);
    }
}

// Whether the job has shown that it can run: a task of it has completed or, of a service, a replica
// has been running for some time. Failures are then the fault of the machines, and the other tasks
// of the job must not back off for them.
bool Cluster::has_succeeded(const Job& job, Millis now) const {
    if (!job.spec.service) return job.done > 0;
    return std::any_of(job.allocations.begin(), job.allocations.end(), [&](const auto& allocated) {
        const Allocation& allocation = allocations_[allocated.second];
        return allocation.phase == TaskPhase::Running && allocation.running_since > 0 &&
               now - allocation.running_since >= kReplicaProvenAfter;
    });
}

// A machine on which several jobs have failed, and no task has completed in between, is faulty and
// is drained.
void Cluster::note_machine_failure(Job& job, MachineIndex index, Millis now) {
    // A service runs for long, and machines on which it failed long ago may well be sound by now.
    if (job.spec.service && job.failed_on.size() >= kMaxFailedMachines) job.failed_on.clear();
    job.failed_on.insert(index);
    if (job.failed_on.size() > 2 && !has_succeeded(job, now)) return;
    Machine& machine = machines_[index];
    machine.failed_jobs.insert(static_cast<JobIndex>(job_ids_[job.id]));
    machine.quarantine_until = now + kFailureQuarantine;
    if (machine.failed_jobs.size() >= 2) {
        machine.drain.add(DrainReason::Faulty);
        stop_replicas(index, now);
    }
}

void Cluster::on_spot_notice(MachineIndex index, double notice_s, Millis now) {
    Machine& machine = machines_[index];
    machine.reclaim_at = now + static_cast<Millis>(notice_s * 1000);
    const auto allocated = machine.allocations;
    for (auto allocation_index : allocated) {
        const Allocation& allocation = allocations_[allocation_index];
        if (allocation.job == kInvalidIndex || allocation.stop_requested) continue;
        const auto& spec = jobs_[allocation.job].spec;
        const double ran_s =
            allocation.running_since > 0 ? (now - allocation.running_since) / 1000.0 : 0;
        const bool ends_before = spec.estimate_s - ran_s < notice_s * kNoticeShare;
        if (allocation.phase == TaskPhase::Running && ends_before && !spec.service) continue;
        stop_with_gang(allocation_index,
                       spec.checkpoint_s > 0 ? std::min(notice_s, spec.save_s) : 0, now);
    }
}

void Cluster::on_machine_list_page(const std::vector<ListedMachine>& page, Millis now) {
    for (const auto& listed : page) {
        const auto index =
            find_or_add_machine(listed.name, listed.type, listed.zone, listed.spot, now);
        Machine& machine = machines_[index];
        if (!machine.listed) {
            machine.listed = true;
            machine.provisioned_at =
                std::min(machine.provisioned_at, now - static_cast<Millis>(listed.age_s * 1000));
        }
        if (machine.endpoint.empty()) machine.endpoint = listed.endpoint;
        if (listed.state == ListedMachine::State::Running) machine.running = true;
        if (listed.state == ListedMachine::State::Failed && !machine.failed &&
            machine.lifecycle != Machine::Lifecycle::Gone) {
            machine.failed = true;
            machine.start_release();
        }
    }
}

void Cluster::on_machine_list_complete(const std::set<std::string>& names, Millis now) {
    for (auto& machine : machines_) {
        // "Failure detection", stale machine entries: a record names the machine, and the list
        // has newer machines but not this one. So it has been released, and its tasks have not been
        // placed again since. Only the confirmation of a release proves that, so a release is
        // requested at once.
        if (machine.lifecycle == Machine::Lifecycle::Booting && !machine.listed &&
            !machine.allocations.empty() && machine.last_heartbeat_at == 0 && !names.empty() &&
            machine.name < *names.rbegin()) {
            machine.start_release();
            continue;
        }
        // A late duplicate of a report makes a machine that was gone before this term look
        // as if it were up.
        const bool stale = !machine.listed && !machine.allocations.empty() &&
                           now - machine.first_seen > kMaxListDelay + settings_.report_ms;
        if (machine.lifecycle != Machine::Lifecycle::Up || !(machine.listed || stale) ||
            names.contains(machine.name)) {
            continue;
        }
        // The list may be out of date, so the machine has to be silent as well.
        if (now - std::max(machine.last_heartbeat_at, machine.first_seen) >
            settings_.report_ms * 2 + kUnlistedMargin) {
            machine.start_release();
        }
    }
    // From the list a new leader learns of running machines that have not reported to it. A zone in
    // which too few machines report counts as cut off, and nothing is provisioned there.
    failure_detector_.update_partitioned_zones(machines_, zones_.size(), now);
}

void Cluster::on_provisioned(const std::string& type, const std::string& zone, bool spot,
                             const std::vector<std::string>& names, Millis now) {
    for (const auto& name : names) find_or_add_machine(name, type, zone, spot, now);
    refused_pools_.erase({types_.intern(type), zones_.intern(zone), spot});
}

void Cluster::on_provision_refused(TypeIndex type, ZoneIndex zone, bool spot, Millis now) {
    auto& [until, backoff] = refused_pools_[{type, zone, spot}];
    backoff = std::min<Millis>(backoff == 0 ? kFirstNoCapacityBackoff : backoff * 2,
                               kMaxNoCapacityBackoff);
    until = now + backoff;
}

std::vector<std::string> Cluster::next_releases(std::size_t limit, Millis now) {
    std::vector<std::string> out;
    for (auto& machine : machines_) {
        if (out.size() >= limit) break;
        if (machine.lifecycle != Machine::Lifecycle::Releasing) continue;
        if (machine.release_requested_at != 0 &&
            now - machine.release_requested_at < kReleaseRetryDelay)
            continue;
        machine.release_requested_at = now;
        out.push_back(machine.name);
    }
    return out;
}

void Cluster::on_released(const std::vector<std::string>& names, bool ok, Millis now) {
    if (!ok) return;
    for (const auto& name : names) {
        auto it = machine_ids_.find(name);
        if (it == machine_ids_.end()) continue;
        Machine& machine = machines_[it->second];
        machine.on_released();
        // The cloud has capacity for another machine of this kind again, whatever it refused
        // before.
        refused_pools_.erase({machine.type, machine.zone, machine.spot});
        tasks_to_reap_.erase(name);
        release_all(it->second, std::numeric_limits<std::uint64_t>::max(), now);
    }
}

void Cluster::on_pending_releases(const std::vector<std::string>& names, Millis now) {
    for (const auto& name : names) {
        Machine& machine = machines_[find_or_add_machine(name, "", "", false, now)];
        machine.start_release();
    }
}

bool Cluster::has_tasks(const std::string& name) const {
    const auto it = machine_ids_.find(name);
    return it != machine_ids_.end() && !machines_[it->second].allocations.empty();
}

std::optional<Millis> Cluster::policy_heartbeat_timeout() const {
    if (!settings_.policy) return std::nullopt;
    return static_cast<Millis>(settings_.policy->heartbeat_timeout_s(fleet_facts()) * 1000);
}

std::vector<events::Event> Cluster::tick(Millis now, bool lease_valid) {
    std::vector<events::Event> events;
    // "Failure detection": no machine is released without a valid leader lease.
    if (!lease_valid) {
        failure_detector_.suspend();
        return events;
    }
    failure_detector_.begin_round(machines_, zones_.size(), policy_heartbeat_timeout(), now);
    for (auto& machine : machines_) {
        switch (machine.lifecycle) {
            case Machine::Lifecycle::Gone:
                forget_released(machine, now);
                break;
            case Machine::Lifecycle::Releasing:
                break;
            case Machine::Lifecycle::Up:
                check_up(machine, events, now);
                break;
            case Machine::Lifecycle::Booting: {
                const bool known = machine.type != kInvalidIndex;
                const double boot_s = known ? type_info_[machine.type].boot_s : 0;
                if (const auto failure = failure_detector_.check_booting(machine, boot_s)) {
                    start_release(machine, *failure, events);
                }
                break;
            }
        }
    }
    return events;
}

void Cluster::start_release(Machine& machine, const FailureDetector::Failure& failure,
                            std::vector<events::Event>& events) {
    machine.start_release();
    events.emplace_back(
        events::MachineReleaseStarted{machine.name, failure.reason, failure.elapsed_ms, {}});
}

// Frees the entry of a released machine once no late report or list can name it any more. Without
// that, the memory of a leader that stays for days would grow without bound.
void Cluster::forget_released(Machine& machine, Millis now) {
    if (machine.name.empty() || now - machine.release_requested_at < kForgetReleasedAfter ||
        !machine.allocations.empty()) {
        return;
    }
    free_machines_.push_back(machine_ids_.at(machine.name));
    machine_ids_.erase(machine.name);
    machine = Machine{};
    machine.on_released();
}

void Cluster::check_up(Machine& machine, std::vector<events::Event>& events, Millis now) {
    const auto index = static_cast<MachineIndex>(&machine - machines_.data());
    if (const auto failure = failure_detector_.check_up(machine)) {
        // "When a task is off a machine": no length of silence proves that its tasks have ended, so
        // they count until its release is confirmed. Only tests turn this guard off.
        if (failure->reason == events::ReleaseReason::Silent &&
            !settings_.guards.silent_tasks_stay_allocated) {
            release_all(index, std::numeric_limits<std::uint64_t>::max(), now);
        }
        start_release(machine, *failure, events);
        return;
    }
    if (machine.lost_leases > 0 && now - machine.session_started_at > settings_.lease_ms * 3) {
        machine.lost_leases = 0;
    }
    if (machine.drain.any() && machine.allocations.empty()) machine.start_release();
    // Replicas never end by themselves, so the machine would never become empty.
    if (machine.drain.any() && has_only_replicas(machine)) stop_replicas(index, now);
    if (const auto failure = failure_detector_.check_notice(machine)) {
        start_release(machine, *failure, events);
        return;
    }
    if (machine.reclaim_at && now > *machine.reclaim_at + kForgetNoticeAfter)
        machine.reclaim_at.reset();
    if (const auto* run = unwanted_unconfirmed_run(machine, now)) {
        machine.start_release();
        events.emplace_back(events::MachineReleaseStarted{
            machine.name, events::ReleaseReason::UnconfirmedRun, 0, jobs_.at(run->job).id});
    }
}

// A direct run command that is no longer wanted and still unconfirmed after a third of cancel_ms,
// if there is one. Only the release of the machine proves that it will not be executed any more
// ("When a task is off a machine").
const Allocation* Cluster::unwanted_unconfirmed_run(const Machine& machine, Millis now) const {
    for (const auto index : machine.allocations) {
        const Allocation& allocation = allocations_[index];
        if (allocation.stop_requested && allocation.state == Allocation::State::Sent &&
            allocation.direct_unconfirmed &&
            now - allocation.stop_requested_at > settings_.cancel_ms / 3) {
            return &allocation;
        }
    }
    return nullptr;
}

bool Cluster::has_replicas(const Machine& machine) const {
    return std::any_of(machine.allocations.begin(), machine.allocations.end(),
                       [&](AllocationIndex allocation_index) {
                           return jobs_.at(allocations_[allocation_index].job).spec.service;
                       });
}

bool Cluster::has_only_replicas(const Machine& machine) const {
    return !machine.allocations.empty() &&
           std::all_of(machine.allocations.begin(), machine.allocations.end(),
                       [&](AllocationIndex allocation_index) {
                           return jobs_.at(allocations_[allocation_index].job).spec.service;
                       });
}

bool Cluster::has_cancelled_work(const Machine& machine) const {
    return std::any_of(machine.allocations.begin(), machine.allocations.end(),
                       [&](AllocationIndex allocation_index) {
                           return jobs_.at(allocations_[allocation_index].job).cancelled;
                       });
}

Cluster::ImageHints Cluster::image_hints(std::size_t part, std::size_t parts) const {
    ImageHints out;
    for (std::size_t i = part; i < machines_.size(); i += parts) {
        const auto& machine = machines_[i];
        if (machine.lifecycle != Machine::Lifecycle::Up || machine.images.empty()) continue;
        auto& [name, images] = out.emplace_back(machine.name, std::vector<std::string>{});
        for (auto image : machine.images) images.push_back(images_.name(image));
    }
    return out;
}

void Cluster::load_image_hints(const ImageHints& hints, Millis now) {
    for (const auto& [name, images] : hints) {
        Machine& machine = machines_[find_or_add_machine(name, "", "", false, now)];
        for (const auto& image : images) note_image(machine, images_.intern(image));
    }
}

std::size_t Cluster::machine_count() const {
    return static_cast<std::size_t>(std::count_if(
        machines_.begin(), machines_.end(),
        [](const Machine& machine) { return machine.lifecycle != Machine::Lifecycle::Gone; }));
}

}  // namespace lichendrift::core
