// The compact picture that the planner works on.
#include <cmath>

#include "core/cluster.h"

namespace lichendrift::core {

namespace {

constexpr Millis kWarmFor = 600'000;
constexpr std::size_t kMachinesThatProveAMistake = 3;
constexpr double kReplicaSlack = 2;  // seconds
// Expected while capacity is kept warm for a class; for fewer none is.
constexpr double kMinTasksSoon = 0.15;
constexpr double kMinReplicasSoon = 0.5;

// Seconds left until the next aim that can still be met is lost. What has lost them all waits like
// something with moderate time left, and less the longer it waits: it neither goes before what can
// still be in time nor starves behind newcomers whose aims lie ahead.
double slack_of(const JobSpec& spec, const ClassObjectives& objectives, double age_s,
                double fetch_s, double guarantee_s, double waited_s) {
    constexpr double kEstimateRoom = 1.4;  // estimates are often wrong by half
    constexpr double kNoObjective = 120;
    constexpr double kAllLost = 30;
    const double takes_s = spec.estimate_s * kEstimateRoom + fetch_s;
    double slack = 1e9;
    bool any = false;
    const auto objective = [&](double left_s) {
        any = true;
        if (left_s > -1) slack = std::min(slack, left_s);
    };
    for (double s : objectives.start_within_s) objective(s - age_s);
    if (guarantee_s > 0) objective(guarantee_s - age_s);
    for (double s : objectives.finish_within_s) objective(s - age_s - takes_s);
    if (spec.deadline_s) objective(*spec.deadline_s - age_s - takes_s);
    if (slack < 1e9) return slack;
    return any ? kAllLost - std::max(0.0, waited_s - 150) / 4 : kNoObjective - age_s;
}

}  // namespace

void Cluster::fill_guarantees(Millis now) {
    std::vector<std::vector<std::pair<std::int64_t, JobIndex>>> by_team(team_list_.size());
    for (auto& [jix, job] : jobs_) {
        job.in_guarantee = false;
        if (job.over || job.spec.team == kInvalidIndex) continue;
        by_team[job.spec.team].emplace_back(job.spec.submitted_ms, jix);
        team_busy_[job.spec.team] = now;
    }
    for (std::size_t t = 0; t < by_team.size(); ++t) {
        const Resources& guarantee = team_list_[t].guarantee;
        if (guarantee == Resources{}) continue;
        std::sort(by_team[t].begin(), by_team[t].end());
        Resources sum;
        for (auto [when, jix] : by_team[t]) {
            Job& job = jobs_[jix];
            sum += job.spec.need.times(job.spec.count - job.done);
            if (exceeds(sum, guarantee)) break;
            job.in_guarantee = true;
        }
    }
}

JobFacts Cluster::facts(const Job& job) const {
    JobFacts about;
    about.cls = job.text.cls;
    about.team = job.text.team;
    about.priority = job.spec.priority;
    about.gang = job.spec.gang;
    about.service = job.spec.service;
    about.has_start_objective = job.spec.has_start_objective;
    about.spot = job.spec.spot;
    about.guaranteed = job.in_guarantee;
    about.tasks = job.spec.count;
    about.failures = std::min<std::uint32_t>(job.failures, 1000);
    about.estimate_s = job.spec.estimate_s;
    about.checkpoint_s = job.spec.checkpoint_s;
    return about;
}

FleetFacts Cluster::fleet_facts() const {
    FleetFacts fleet;
    for (const auto& machine : machines_) {
        if (machine.life == Machine::Life::Booting) ++fleet.booting;
        if (machine.life != Machine::Life::Up) continue;
        ++fleet.machines;
        if (machine.allocations.empty()) ++fleet.idle;
    }
    for (const auto& [jix, job] : jobs_) fleet.waiting += waiting(job) > 0 ? 1 : 0;
    fleet.report_s = static_cast<double>(settings_.report_ms) / 1000.0;
    fleet.lease_s = static_cast<double>(settings_.lease_ms) / 1000.0;
    return fleet;
}

Snapshot Cluster::snapshot(Millis now, std::int64_t wall_ms) {
    wake_replicas(now);
    fill_guarantees(now);
    Snapshot s;
    s.now = now;
    s.tuning = settings_.tuning;
    auto* const policy = settings_.policy.get();
    const auto fleet = policy != nullptr ? fleet_facts() : FleetFacts{};
    if (policy != nullptr) {
        s.tuning.spare_machines = static_cast<std::uint32_t>(policy->spare_machines(fleet));
        s.tuning.warm_capacity_s = policy->warm_capacity_s(fleet);
    }
    s.may_drain = now - drained_at_ >= settings_.tuning.drain_interval_ms;
    for (std::size_t t = 0; t < team_list_.size(); ++t) {
        // Without a bound a team that went home would keep its room up for ever.
        if (team_busy_[t] >= 0 && now - team_busy_[t] < settings_.tuning.guarantee_retention_ms) {
            s.retained_guarantees += team_list_[t].guarantee;
        }
    }
    s.machines.reserve(machines_.size());
    s.allocations.reserve(allocations_.size());
    s.jobs.reserve(jobs_.size());
    s.waiting_jobs.reserve(jobs_.size());
    s.team_used = team_used_;
    s.teams = team_list_;
    s.types = type_info_;
    s.zone_count = zones_.size();
    s.guaranteed_start_s = guarantee_s_;
    for (const auto& [cls, arrivals] : arrivals_) {
        const double rate =
            arrivals.rate * std::exp(-static_cast<double>(now - arrivals.at) / kRateFor);
        // A class that has not been seen for minutes needs nothing kept.
        // Nor does a single service, which stays for long, say that another one comes soon.
        const double minimum = arrivals.spec.service ? kMinReplicasSoon : kMinTasksSoon;
        if (rate * s.tuning.warm_capacity_s < minimum) continue;
        const auto tasks = static_cast<std::uint32_t>(std::ceil(rate * s.tuning.warm_capacity_s));
        s.warm_capacity.push_back({arrivals.spec, std::min(tasks, 8U)});
    }
    for (const auto& [image, used] : warm_) {
        if (now - used < kWarmFor) s.start_objective_images.push_back(image);
    }
    for (const auto& type : type_info_) {
        auto& zones = s.type_zones.emplace_back();
        for (const auto& zone : type.zones) zones.push_back(zones_.intern(zone));
    }
    for (const auto& [kind, until] : refused_) {
        if (until.first > now) s.refused_provisions.push_back(kind);
    }
    for (TypeIndex t = 0; t < s.type_zones.size(); ++t) {
        for (auto zone : s.type_zones[t]) {
            if (zone >= zone_cut_.size() || zone_cut_[zone] == 0) continue;
            s.refused_provisions.push_back({t, zone, false});
            s.refused_provisions.push_back({t, zone, true});
        }
    }
    for (MachineIndex mix = 0; mix < machines_.size(); ++mix) {
        const Machine& machine = machines_[mix];
        if (machine.life == Machine::Life::Gone || machine.life == Machine::Life::Releasing) {
            continue;
        }
        if (machine.type == kInvalidIndex) continue;
        MachineView view;
        view.index = mix;
        view.type = machine.type;
        view.zone = machine.zone;
        view.spot = machine.spot;
        view.usable = usable(machine, now);
        view.capacity = type_info_[machine.type].room;
        view.free = view.capacity;
        view.free -= machine.used;
        view.idle_ms = machine.allocations.empty() ? now - machine.idle_since : 0;
        view.age_ms = now - machine.provisioned_at;
        if (machine.allocations.empty()) {
            view.idle_retention_ms = machine.spot ? 45000 : 10000;
            if (policy != nullptr) {
                const auto& type = type_info_[machine.type];
                view.idle_retention_ms = static_cast<Millis>(
                    1000 * policy->idle_keep_s(
                               {types_.name(machine.type), zones_.name(machine.zone), machine.spot,
                                machine.spot ? type.spot_hourly : type.hourly,
                                static_cast<double>(view.age_ms) / 1000.0},
                               fleet));
            }
        }
        if (machine.life == Machine::Life::Booting) {
            const double boot_s = type_info_[machine.type].boot_s;
            const double age_s = static_cast<double>(view.age_ms) / 1000.0;
            view.booting = age_s < boot_s * 1.7 + 5;
        } else if (!view.usable) {
            // Not heard under this token yet, or resting: it will most likely be usable soon.
            view.booting = !machine.drain && !machine.taken_at &&
                           now - std::max(machine.last_heartbeat_at, machine.first_seen) < 6000;
        }
        view.images = machine.images;
        for (auto allocation_index : machine.allocations) {
            const Allocation& h = allocations_[allocation_index];
            const JobSpec& spec = jobs_[h.job].spec;
            if (h.phase == TaskPhase::Pulling) view.fetching_images.push_back(spec.image);
            AllocationView hv;
            hv.index = allocation_index;
            hv.attempt = h.attempt;
            hv.machine = mix;
            hv.job = h.job;
            hv.stopping = h.stop;
            const double ran =
                h.running_since > 0 ? static_cast<double>(now - h.running_since) / 1000.0 : 0;
            hv.remaining_s =
                spec.service ? 1e9 : std::max(spec.estimate_s - ran, spec.estimate_s * 0.1);
            hv.ran_ms = h.phase == TaskPhase::Running ? now - h.running_since : 0;
            hv.lost_work_s = spec.checkpoint_s > 0 ? std::min(spec.checkpoint_s, ran) : ran;
            s.allocations.push_back(hv);
        }
        s.machines.push_back(std::move(view));
    }
    double fetch_rate = 0;
    for (const auto& type : type_info_) fetch_rate = std::max(fetch_rate, type.fetch_gb_s);
    for (const auto& [jix, job] : jobs_) {
        const auto n = waiting(job);
        if (n == 0 && job.allocations.empty()) continue;
        s.jobs.emplace(jix, JobView{job.spec, job.in_guarantee});
        if (n == 0) continue;
        WaitingJob& item = s.waiting_jobs.emplace_back();
        item.job = jix;
        item.waiting_tasks = n;
        item.in_guarantee = job.in_guarantee;
        item.backing_off = job.retry_at > now;
        // An array of which a task started not long ago does not starve, however much is left.
        item.waited_ms = now - std::max(job.waiting_since, job.started_at);
        const double age_s = static_cast<double>(wall_ms - job.spec.submitted_ms) / 1000.0;
        item.has_started = job.next_fresh > 0;
        item.slack_s = slack_of(job.spec, class_objectives_[job.spec.cls], age_s,
                                fetch_rate > 0 ? job.spec.image_gb / fetch_rate : 0,
                                job.in_guarantee ? guarantee_s_ : 0,
                                static_cast<double>(item.waited_ms) / 1000.0);
        // A replica that waits is lost time, however long its service has been up.
        if (job.spec.service) item.slack_s = std::min(item.slack_s, kReplicaSlack);
        item.order_s = item.slack_s;
        item.provision_patience_s = std::clamp(item.slack_s * 0.5, 3.0, 20.0);
        item.on_demand_patience_s = std::clamp(item.slack_s * 0.6, item.provision_patience_s, 60.0);
        if (policy != nullptr) {
            auto about = facts(job);
            about.slack_s = item.slack_s;
            about.waited_s = static_cast<double>(item.waited_ms) / 1000.0;
            about.age_s = age_s;
            about.waiting = n;
            item.order_s = policy->order_s(about);
            item.provision_patience_s = policy->provision_patience_s(about);
            item.on_demand_patience_s = policy->on_demand_patience_s(about);
        }
        // What fails everywhere has a mistake: to keep it off ever more machines would rent a new
        // one for each try, and leave it waiting beside capacity that fits.
        if (has_run_well(job, now) || job.failed_on.size() < kMachinesThatProveAMistake) {
            item.avoided_machines.assign(job.failed_on.begin(), job.failed_on.end());
        }
        if (!job.spec.one_zone && !job.spec.apart && !job.spec.service) continue;
        item.zone_counts.resize(zones_.size());
        for (const auto& [task, allocation_index] : job.allocations) {
            const auto zone = machines_[allocations_[allocation_index].machine].zone;
            if (job.spec.service)
                item.replica_machines.push_back(allocations_[allocation_index].machine);
            if (zone == kInvalidIndex) continue;
            if (job.spec.one_zone) item.zone = zone;
            ++item.zone_counts[zone];
        }
    }
    return s;
}

}  // namespace lichendrift::core
