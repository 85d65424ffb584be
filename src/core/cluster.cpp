// Adding and ending jobs, and checking and applying the plans of the planner.
#include "core/cluster.h"

#include <cmath>

namespace lichendrift::core {

namespace {

constexpr Millis kGangStarvationThreshold = 60'000;
constexpr Millis kArrayStarvationThreshold = 120'000;
constexpr std::size_t kMaxRecentImages = 16;  // images with a recent arrival that are remembered
constexpr std::uint64_t kAttemptsPerToken = 10'000'000;
constexpr double kMinRemainingToMoveMs = 60'000;  // tasks that end sooner are not moved by a drain

constexpr double kRoundingError = 1e-6;  // of decimal amounts stored as doubles, in thousandths

std::int64_t need_thousandths(double amount) {
    return static_cast<std::int64_t>(std::ceil(amount * 1000.0 - kRoundingError));
}

}  // namespace

Cluster::Cluster(ClusterSettings settings, NameTable& types, NameTable& zones)
    : settings_(std::move(settings)),
      types_(types),
      zones_(zones),
      failure_detector_(
          {settings_.report_ms, settings_.lease_ms, settings_.guards.command_effect_check}, *this),
      admission_check_({machines_, allocations_, type_info_, team_list_, team_used_},
                       settings_.report_ms) {
    for (const auto& team : settings_.teams) {
        teams_.intern(team.name);
        team_list_.push_back(team);
    }
    team_used_.resize(team_list_.size());
    team_last_active_.resize(team_list_.size(), -1);
    settings_.tuning.reservations = settings_.guards.starvation_reservations;
    for (const auto& objective : settings_.objectives) {
        if (objective.kind == Objective::Kind::Guarantee) guaranteed_start_s_ = objective.within_s;
    }
}

void Cluster::set_types(const std::vector<MachineType>& types) {
    for (const auto& type : types) {
        const auto index = types_.intern(type.name);
        if (type_info_.size() <= index) type_info_.resize(index + 1);
        type_info_[index] = type;
        for (const auto& zone : type.zones) zones_.intern(zone);
    }
}

void Cluster::add_job(const JobDescription& description, std::uint64_t open_revision, Millis now,
                      bool terminal, Millis age_ms) {
    if (job_ids_.contains(description.id)) return;
    const auto index = next_job_++;
    job_ids_.emplace(description.id, index);
    Job& job = jobs_[index];
    job.id = description.id;
    job.description = description;
    job.open_revision = open_revision;
    job.terminal = terminal;
    job.cancelled = terminal;
    // The waiting time counts from the submission, not from the start of the term. With a change of
    // leader every few minutes, no job would ever reach its starvation threshold otherwise.
    job.waiting_since = now - std::max<Millis>(age_ms, 0);
    job.done_flags.resize(description.count);
    job.spec = make_spec(description);
    JobSpec& spec = job.spec;
    const ClassObjectives& objectives = objectives_of(spec.cls, description.cls);
    // Replicas should always start soon, as their service suffers for as long as they are down.
    spec.has_start_objective = spec.service || !objectives.start_within_s.empty();
    spec.starvation_threshold_ms = spec.gang ? kGangStarvationThreshold : kArrayStarvationThreshold;
    if (settings_.policy) {
        const auto job_facts = facts(job);
        spec.weights = settings_.policy->weights(job_facts);
        spec.starvation_threshold_ms =
            static_cast<Millis>(settings_.policy->starvation_threshold_s(job_facts) * 1000);
    }
    if (spec.has_start_objective) note_arrival(spec, now);
}

JobSpec Cluster::make_spec(const JobDescription& description) {
    JobSpec spec;
    spec.cls = classes_.intern(description.cls);
    spec.team = teams_.find(description.team);
    spec.gang = description.gang;
    spec.service = description.service;
    spec.priority = description.priority;
    spec.count = description.count;
    spec.need = {need_thousandths(description.cpus), need_thousandths(description.gpus),
                 need_thousandths(description.mem_gb)};
    spec.image = images_.intern(description.image);
    spec.image_gb = description.image_gb;
    if (description.types) {
        spec.types = 0;
        for (const auto& type : *description.types) {
            const auto index = types_.intern(type);
            if (index < kMaxTypes) spec.types |= 1ULL << index;
        }
    }
    spec.zone = description.zone ? zones_.intern(*description.zone) : kInvalidIndex;
    spec.one_zone = description.one_zone;
    spec.spread_zones = description.spread_zones;
    spec.spot = description.spot;
    spec.estimate_s = description.estimate_s;
    spec.checkpoint_s = description.checkpoint_s;
    spec.save_s = description.save_s;
    spec.deadline_s = description.deadline_s;
    spec.submitted_ms = description.submitted_ms;
    return spec;
}

// Collects the objectives of a class when its first job is added.
const ClassObjectives& Cluster::objectives_of(ClassIndex index, const std::string& name) {
    if (class_objectives_.size() > index) return class_objectives_[index];
    class_objectives_.resize(index + 1);
    auto& objectives = class_objectives_[index];
    for (const auto& objective : settings_.objectives) {
        if (objective.cls != name) continue;
        if (objective.kind == Objective::Kind::Start) {
            objectives.start_within_s.push_back(objective.within_s);
        }
        if (objective.kind == Objective::Kind::Finish) {
            objectives.finish_within_s.push_back(objective.within_s);
        }
    }
    return objectives;
}

// Updates the arrival rate of the class and the recently used images, from which the snapshot
// computes the warm capacity.
void Cluster::note_arrival(const JobSpec& spec, Millis now) {
    recent_images_[spec.image] = now;
    Arrivals& arrivals = arrivals_[spec.cls];
    const double passed = static_cast<double>(now - arrivals.at) / kArrivalRateWindowMs;
    arrivals.rate = arrivals.rate * std::exp(-passed) + spec.count * 1000.0 / kArrivalRateWindowMs;
    arrivals.at = now;
    arrivals.spec = spec;
    if (recent_images_.size() <= kMaxRecentImages) return;
    recent_images_.erase(std::min_element(
        recent_images_.begin(), recent_images_.end(),
        [](const auto& one, const auto& other) { return one.second < other.second; }));
}

void Cluster::on_job_terminal(const std::string& job_id, bool cancelled, Millis now) {
    auto found = job_ids_.find(job_id);
    if (found == job_ids_.end()) return;
    const auto index = found->second;
    Job& job = jobs_[index];
    if (job.terminal) return;
    job.terminal = true;
    job.cancelled = cancelled;
    job.writing_terminal_state = false;
    std::vector<AllocationIndex> allocated;
    for (const auto& [task, allocation_index] : job.allocations) {
        allocated.push_back(allocation_index);
    }
    for (const auto allocation_index : allocated) {
        const Allocation& allocation = allocations_[allocation_index];
        if (is_unsent(allocation)) {
            release(allocation_index, false, now);
        } else if (cancelled) {
            stop_allocation(allocation_index, 0, now);
        }
    }
    forget_if_finished(index);
}

std::vector<events::PolicyValueRejected> Cluster::take_rejected_policy_values() {
    if (!settings_.policy) return {};
    return settings_.policy->take_rejected_values();
}

Cluster::AppliedPlan Cluster::apply(const Plan& plan, Millis now) {
    AppliedPlan applied;
    for (const auto& start : plan.starts) apply_start(start, applied, now);
    for (const auto& preemption : plan.preemptions) apply_preemption(preemption, applied, now);
    for (const auto index : plan.releases) apply_release(machines_[index], applied);
    if (plan.capacity_short) cancel_consolidation(applied);
    const bool may_drain = now - last_drain_at_ >= settings_.tuning.drain_interval_ms;
    for (const auto index : plan.drains) {
        Machine& machine = machines_[index];
        if (machine.lifecycle != Machine::Lifecycle::Up || machine.drain.any() || !may_drain)
            continue;
        last_drain_at_ = now;
        machine.drain.add(DrainReason::Consolidation);
        applied.events.emplace_back(events::MachineDrainStarted{machine.name});
        move_tasks_off(index, now);
    }
    applied.provisions = plan.provisions;
    return applied;
}

void Cluster::apply_start(const Start& start, AppliedPlan& applied, Millis now) {
    const auto it = jobs_.find(start.job);
    if (it == jobs_.end()) return;
    Job& job = it->second;
    const auto limit = static_cast<std::uint32_t>(start.machines.size());
    if (waiting(job) < limit || job.retry_at > now) return;
    const auto tasks = next_waiting_tasks(job, limit);
    if (job.spec.gang && tasks.size() != job.spec.count) return;
    std::vector<TaskPlacement> placements;
    placements.reserve(tasks.size());
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        placements.push_back({tasks[i], start.machines[i]});
    }
    if (!admission_check_.check_start(job, placements, now)) {
        ++applied.refused;
        return;
    }
    const auto attempt = settings_.token * kAttemptsPerToken + ++attempts_;
    auto event = placed_event(job, start, placements, now);
    event.attempt = attempt;
    applied.events.emplace_back(std::move(event));
    for (const auto [task, machine] : placements) {
        Allocation allocation;
        allocation.job = start.job;
        allocation.task = task;
        allocation.attempt = attempt;
        allocation.machine = machine;
        allocation.session = machines_[machine].session;
        allocation.created_at = now;
        if (!settings_.guards.record_before_run) allocation.state = Allocation::State::Ready;
        remove_from_waiting(job, task);
        add_allocation(allocation);
        mark_dirty(job, task);
    }
    job.started_at = now;
    ++applied.starts;
}

events::JobPlaced Cluster::placed_event(const Job& job, const Start& start,
                                        const std::vector<TaskPlacement>& placements,
                                        Millis now) const {
    const auto& images = machines_[placements.front().machine].images;
    events::JobPlaced event;
    event.job = job.id;
    event.job_class = job.description.cls;
    event.waited_s = (now - job.waiting_since) / 1000;
    event.image_present = std::find(images.begin(), images.end(), job.spec.image) != images.end();
    event.score_percent = std::lround(start.score * 100);
    event.tasks = placements.size();
    for (const auto zone : start.rejected_zones) event.rejected_zones.push_back(zones_.name(zone));
    for (const auto& placement : placements) {
        if (event.machines.size() >= events::JobPlaced::kMaxMachines) break;
        event.machines.push_back(machines_[placement.machine].name);
    }
    return event;
}

void Cluster::apply_preemption(const Preemption& preemption, AppliedPlan& applied, Millis now) {
    const auto index = preemption.allocation;
    if (index >= allocations_.size()) return;
    const Allocation& allocation = allocations_[index];
    if (allocation.attempt != preemption.attempt || allocation.stop_requested) return;
    const Job& job = jobs_.at(allocation.job);
    // A checkpoint is only worth its time if more work than that would be lost without it: half of
    // the checkpoint interval on average.
    const bool save = job.spec.checkpoint_s > 0 && allocation.phase == TaskPhase::Running &&
                      job.spec.checkpoint_s / 2 > job.spec.save_s;
    const auto preemptor = jobs_.find(preemption.preemptor);
    applied.events.emplace_back(
        events::TaskPreempted{job.id, allocation.task, machines_[allocation.machine].name,
                              preemptor == jobs_.end() ? std::string() : preemptor->second.id});
    stop_with_gang(index, save ? job.spec.save_s : 0, now);
    ++applied.preemptions;
}

void Cluster::apply_release(Machine& machine, AppliedPlan& applied) {
    if (machine.lifecycle != Machine::Lifecycle::Up || !machine.allocations.empty()) return;
    machine.start_release();
    applied.events.emplace_back(
        events::MachineReleaseStarted{machine.name, events::ReleaseReason::Idle, 0, {}});
}

// Withdraws all drains for consolidation, as capacity is short. When several machines in a row were
// drained, jobs waited while half-empty machines took no new work. For the same reason only
// one plan in a drain interval may drain machines.
void Cluster::cancel_consolidation(AppliedPlan& applied) {
    for (auto& machine : machines_) {
        if (!machine.drain.contains(DrainReason::Consolidation) ||
            machine.lifecycle != Machine::Lifecycle::Up) {
            continue;
        }
        machine.drain.remove(DrainReason::Consolidation);
        applied.events.emplace_back(events::MachineDrainCancelled{machine.name});
    }
}

// Moves work off a machine that is drained for consolidation: replicas, and tasks that save
// checkpoints and would still run for long. Other tasks finish on the machine.
void Cluster::move_tasks_off(MachineIndex index, Millis now) {
    const auto allocated = machines_[index].allocations;
    for (const auto allocation_index : allocated) {
        const Allocation& allocation = allocations_[allocation_index];
        if (allocation.job == kInvalidIndex) continue;
        const JobSpec& spec = jobs_.at(allocation.job).spec;
        if (spec.service) {
            stop_allocation(allocation_index, 0, now);
            continue;
        }
        if (spec.checkpoint_s <= 0 || allocation.phase != TaskPhase::Running) continue;
        const auto ran_ms = static_cast<double>(now - allocation.running_since);
        if (spec.estimate_s * 1000 - ran_ms < kMinRemainingToMoveMs) continue;
        stop_with_gang(allocation_index, spec.save_s, now);
    }
}

std::vector<std::pair<std::string, Cluster::Counts>> Cluster::job_counts(bool all) {
    std::vector<std::pair<std::string, Counts>> out;
    for (auto& [job_index, job] : jobs_) {
        if (job.terminal) continue;
        Counts counts{job.done, 0};
        for (const auto& [task, allocation_index] : job.allocations) {
            if (allocations_[allocation_index].phase == TaskPhase::Running) ++counts.running;
        }
        const bool changed =
            counts.done != job.reported_done || counts.running != job.reported_running;
        if (!changed && (!all || counts.done + counts.running == 0)) continue;
        job.reported_done = counts.done;
        job.reported_running = counts.running;
        out.emplace_back(job.id, counts);
    }
    return out;
}

}  // namespace lichendrift::core
