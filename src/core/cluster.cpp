#include "core/cluster.h"

#include <cmath>

namespace lichendrift::core {

namespace {

constexpr std::size_t kMaxWarm = 16;

std::int64_t need_thousandths(double amount) {
    return static_cast<std::int64_t>(std::ceil(amount * 1000.0 - 1e-6));
}

}  // namespace

Cluster::Cluster(ClusterSettings settings, Names& types, Names& zones)
    : settings_(std::move(settings)), types_(types), zones_(zones) {
    for (const auto& team : settings_.teams) {
        teams_.intern(team.name);
        team_list_.push_back(team);
    }
    team_used_.resize(team_list_.size());
    team_busy_.resize(team_list_.size(), -1);
    settings_.tuning.reservations = settings_.guards.claims;
    for (const auto& objective : settings_.objectives) {
        if (objective.kind == Objective::Kind::Guarantee) guarantee_s_ = objective.within_s;
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

void Cluster::add_job(const JobText& text, std::uint64_t open_revision, Millis now, bool over,
                      Millis age_ms) {
    if (job_ids_.contains(text.id)) return;
    const auto index = next_job_++;
    job_ids_.emplace(text.id, index);
    Job& job = jobs_[index];
    job.id = text.id;
    job.text = text;
    job.open_revision = open_revision;
    job.over = over;
    job.aborted = over;
    // A new leader goes on counting: with a change of leader every few minutes nothing would ever
    // have waited long enough to go first.
    job.waiting_since = now - std::max<Millis>(age_ms, 0);
    job.done_flags.resize(text.count);
    JobSpec& spec = job.spec;
    spec.cls = classes_.intern(text.cls);
    spec.team = teams_.find(text.team);
    spec.gang = text.gang;
    spec.service = text.service;
    spec.priority = text.priority;
    spec.count = text.count;
    spec.need = {need_thousandths(text.cpus), need_thousandths(text.gpus),
                 need_thousandths(text.mem_gb)};
    spec.image = images_.intern(text.image);
    spec.image_gb = text.image_gb;
    if (text.types) {
        spec.types = 0;
        for (const auto& type : *text.types) {
            if (const auto t = types_.intern(type); t < 64) spec.types |= 1ULL << t;
        }
    }
    spec.zone = text.zone ? zones_.intern(*text.zone) : kInvalidIndex;
    spec.one_zone = text.one_zone;
    spec.apart = text.apart;
    spec.spot = text.spot;
    spec.estimate_s = text.estimate_s;
    spec.checkpoint_s = text.checkpoint_s;
    spec.save_s = text.save_s;
    spec.deadline_s = text.deadline_s;
    spec.submitted_ms = text.submitted_ms;
    if (class_objectives_.size() <= spec.cls) {
        class_objectives_.resize(spec.cls + 1);
        for (const auto& objective : settings_.objectives) {
            if (objective.cls != text.cls) continue;
            auto& objectives = class_objectives_[spec.cls];
            if (objective.kind == Objective::Kind::Start)
                objectives.start_within_s.push_back(objective.within_s);
            if (objective.kind == Objective::Kind::Finish)
                objectives.finish_within_s.push_back(objective.within_s);
        }
    }
    // A replica that is not up is a loss for as long as it is not.
    spec.has_start_objective = spec.service || !class_objectives_[spec.cls].start_within_s.empty();
    spec.starvation_threshold_ms = spec.gang ? 60000 : 120000;
    if (settings_.policy) {
        const auto about = facts(job);
        spec.weights = settings_.policy->weights(about);
        spec.starvation_threshold_ms =
            static_cast<Millis>(settings_.policy->starvation_threshold_s(about) * 1000);
    }
    if (spec.has_start_objective) {
        warm_[spec.image] = now;
        Arrivals& arrivals = arrivals_[spec.cls];
        const double passed = static_cast<double>(now - arrivals.at) / kRateFor;
        arrivals.rate = arrivals.rate * std::exp(-passed) + spec.count * 1000.0 / kRateFor;
        arrivals.at = now;
        arrivals.spec = spec;
        if (warm_.size() > kMaxWarm) {
            warm_.erase(std::min_element(warm_.begin(), warm_.end(),
                                         [](auto& a, auto& b) { return a.second < b.second; }));
        }
    }
}

void Cluster::job_over(const std::string& job_id, bool aborted, Millis now) {
    auto found = job_ids_.find(job_id);
    if (found == job_ids_.end()) return;
    const auto index = found->second;
    Job& job = jobs_[index];
    if (job.over) return;
    job.over = true;
    job.aborted = aborted;
    job.finishing = false;
    std::vector<AllocationIndex> held;
    for (auto& [task, allocation_index] : job.allocations) held.push_back(allocation_index);
    for (auto allocation_index : held) {
        Allocation& h = allocation(allocation_index);
        if (h.state == Allocation::State::Planned || h.state == Allocation::State::Ready) {
            release(allocation_index, false, now);
        } else if (aborted) {
            stop_allocation(allocation_index, 0, now);
        }
    }
    drop_if_gone(index);
}

std::vector<events::PolicyValueRejected> Cluster::take_rejected_policy_values() {
    if (!settings_.policy) return {};
    return settings_.policy->take_rejected_values();
}

bool Cluster::start_allowed(const Job& job,
                            const std::vector<std::pair<std::uint32_t, MachineIndex>>& on,
                            Millis now) const {
    const JobSpec& spec = job.spec;
    if (job.over || job.finishing || spec.team == kInvalidIndex) return false;
    std::map<MachineIndex, Resources> free;
    std::map<ZoneIndex, std::uint32_t> zones;
    for (const auto& [task, allocation_index] : job.allocations)
        ++zones[machines_[allocations_[allocation_index].machine].zone];
    Resources team = team_used_[spec.team];
    for (auto [task, mix] : on) {
        const Machine& machine = machines_[mix];
        if (job.allocations.contains(task) || job.done_flags[task] != 0) return false;
        if (!usable(machine, now)) return false;
        if (machine.type >= 64 || (spec.types >> machine.type & 1) == 0) return false;
        if (spec.zone != kInvalidIndex && machine.zone != spec.zone) return false;
        if (machine.spot && !spec.spot) return false;
        auto [it, fresh] = free.try_emplace(mix, type_info_[machine.type].room);
        if (fresh) it->second -= machine.used;
        if (!it->second.covers(spec.need)) return false;
        it->second -= spec.need;
        ++zones[machine.zone];
        team += spec.need;
    }
    // Tasks on machines whose zone is not known could be anywhere.
    if ((spec.one_zone || spec.apart) && zones.contains(kInvalidIndex)) return false;
    if (spec.one_zone && zones.size() > 1) return false;
    if (spec.apart) {
        for (auto [zone, count] : zones) {
            if (count > (spec.count + 1) / 2) return false;
        }
    }
    return !exceeds(team, team_list_[spec.team].limit);
}

Cluster::Applied Cluster::apply(const Plan& plan, Millis now) {
    Applied applied;
    for (const auto& start : plan.starts) {
        auto it = jobs_.find(start.job);
        if (it == jobs_.end()) continue;
        Job& job = it->second;
        const auto limit = static_cast<std::uint32_t>(start.machines.size());
        if (waiting(job) < limit || job.retry_at > now) continue;
        const auto tasks = take_waiting(job, limit);
        if (job.spec.gang && tasks.size() != job.spec.count) continue;
        std::vector<std::pair<std::uint32_t, MachineIndex>> on;
        for (std::size_t i = 0; i < tasks.size(); ++i) on.emplace_back(tasks[i], start.machines[i]);
        if (!start_allowed(job, on, now)) {
            ++applied.refused;
            continue;
        }
        const auto attempt = settings_.token * 10'000'000 + ++attempts_;
        const auto& images = machines_[on.front().second].images;
        const bool there = std::find(images.begin(), images.end(), job.spec.image) != images.end();
        events::JobPlaced event;
        event.job = job.id;
        event.job_class = job.text.cls;
        event.attempt = attempt;
        event.waited_s = (now - job.waiting_since) / 1000;
        event.image_present = there;
        event.score_percent = std::lround(start.score * 100);
        event.tasks = on.size();
        for (auto zone : start.rejected_zones) event.rejected_zones.push_back(zones_.name(zone));
        for (auto [task, mix] : on) {
            Allocation h;
            h.job = start.job;
            h.task = task;
            h.attempt = attempt;
            h.machine = mix;
            h.session = machines_[mix].session;
            h.since = now;
            if (!settings_.guards.record_first) h.state = Allocation::State::Ready;
            while (job.next_fresh <= task) job.again.insert(job.next_fresh++);
            job.again.erase(task);
            add_allocation(h);
            mark_dirty(job, task);
            if (event.machines.size() < events::JobPlaced::kMaxMachines) {
                event.machines.push_back(machines_[mix].name);
            }
        }
        job.started_at = now;
        applied.events.emplace_back(std::move(event));
        ++applied.starts;
    }
    for (const auto& [allocation_index, attempt, preemptor] : plan.preemptions) {
        if (allocation_index >= allocations_.size() ||
            allocations_[allocation_index].attempt != attempt ||
            allocations_[allocation_index].stop)
            continue;
        const Allocation& h = allocations_[allocation_index];
        const JobSpec& spec = jobs_[h.job].spec;
        // Saving is worth its time only if more than that would be lost.
        const bool save = spec.checkpoint_s > 0 && h.phase == TaskPhase::Running &&
                          spec.checkpoint_s / 2 > spec.save_s;
        const auto mine = jobs_.find(preemptor);
        applied.events.emplace_back(
            events::TaskPreempted{jobs_[h.job].id, h.task, machines_[h.machine].name,
                                  mine == jobs_.end() ? std::string() : mine->second.id});
        stop_with_gang(allocation_index, save ? spec.save_s : 0, now);
        ++applied.stops;
    }
    for (auto mix : plan.releases) {
        Machine& machine = machines_[mix];
        if (machine.life != Machine::Life::Up || !machine.allocations.empty()) continue;
        machine.life = Machine::Life::Releasing;
        applied.events.emplace_back(
            events::MachineReleaseStarted{machine.name, events::ReleaseReason::Idle, 0, {}});
    }
    // Emptying several machines in a row left jobs waiting beside half-empty machines that took
    // nothing any more: one in a while, and all are taken back as soon as room is short.
    for (auto& machine : machines_) {
        if (!plan.capacity_short || !machine.consolidating || machine.life != Machine::Life::Up)
            continue;
        machine.consolidating = false;
        machine.drain = machine.faulty;
        applied.events.emplace_back(events::MachineDrainCancelled{machine.name});
    }
    const bool may_drain = now - drained_at_ >= settings_.tuning.drain_interval_ms;
    for (auto mix : plan.drains) {
        Machine& machine = machines_[mix];
        if (machine.life != Machine::Life::Up || machine.drain || !may_drain) continue;
        drained_at_ = now;
        machine.drain = true;
        machine.consolidating = true;
        applied.events.emplace_back(events::MachineDrainStarted{machine.name});
        const auto held = machine.allocations;
        for (auto allocation_index : held) {
            const Allocation& h = allocations_[allocation_index];
            if (h.job == kInvalidIndex) continue;
            const JobSpec& spec = jobs_[h.job].spec;
            if (spec.service) {
                stop_allocation(allocation_index, 0, now);
                continue;
            }
            if (spec.checkpoint_s <= 0 || h.phase != TaskPhase::Running) continue;
            if (spec.estimate_s * 1000 - static_cast<double>(now - h.running_since) < 60000)
                continue;
            stop_with_gang(allocation_index, spec.save_s, now);
        }
    }
    applied.provisions = plan.provisions;
    return applied;
}

std::vector<std::pair<std::string, Cluster::Counts>> Cluster::job_counts(bool all) {
    std::vector<std::pair<std::string, Counts>> out;
    for (auto& [jix, job] : jobs_) {
        if (job.over) continue;
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
