// The snapshot that the planner works on.
#include <cmath>

#include "core/cluster.h"

namespace lichendrift::core {

namespace {

// How long a job waits for resources that are about to be free, without an operators' policy.
constexpr double kProvisionShareOfSlack = 0.5;
constexpr double kMinProvisionPatienceS = 3;
constexpr double kMaxProvisionPatienceS = 20;
constexpr double kOnDemandShareOfSlack = 0.6;
constexpr double kMaxOnDemandPatienceS = 60;

constexpr Millis kWarmFor = 600'000;
constexpr std::size_t kMachinesThatProveAMistake = 3;
constexpr double kReplicaSlack = 2;  // seconds
// Expected while capacity is kept warm for a class; for fewer none is.
constexpr double kMinTasksSoon = 0.15;
constexpr double kMinReplicasSoon = 0.5;

constexpr Millis kKeepIdleSpot = 45'000;
constexpr Millis kKeepIdleOnDemand = 10'000;
constexpr std::uint32_t kMaxWarmTasks = 8;  // of one class
constexpr Millis kSoonUsable = 6000;        // after its newest report; longer counts as a fault
constexpr double kBootMargin = 1.7;         // times the boot time of the type
constexpr double kBootMarginSeconds = 5;
constexpr double kMinLeftShare = 0.1;  // of an estimate that has been exceeded
constexpr double kUnbounded = 1e9;     // seconds

// The times that slack_of() looks at, in seconds.
struct JobTimes {
    double age_s = 0;     // since its submission
    double fetch_s = 0;   // of its image
    double waited_s = 0;  // since it began to wait
};

// Seconds left until the next objective that can still be met is lost. What has lost them all waits
// like something with moderate time left, and less the longer it waits: it neither goes before what
// can still be in time nor starves behind newcomers whose objectives lie ahead.
// `guarantee_s`: how soon work within a guarantee should start; 0: it is not within one.
double slack_of(const JobSpec& spec, const ClassObjectives& objectives, const JobTimes& times,
                double guarantee_s) {
    constexpr double kEstimateMargin = 1.4;  // estimates are often wrong by half
    constexpr double kNoObjective = 120;
    constexpr double kAllLost = 30;
    constexpr double kLostGraceSeconds = 150;
    const double takes_s = spec.estimate_s * kEstimateMargin + times.fetch_s;
    double slack = kUnbounded;
    bool any = false;
    const auto objective = [&](double left_s) {
        any = true;
        if (left_s > -1) slack = std::min(slack, left_s);
    };
    for (const double within_s : objectives.start_within_s) objective(within_s - times.age_s);
    if (guarantee_s > 0) objective(guarantee_s - times.age_s);
    for (const double within_s : objectives.finish_within_s) {
        objective(within_s - times.age_s - takes_s);
    }
    if (spec.deadline_s) objective(*spec.deadline_s - times.age_s - takes_s);
    if (slack < kUnbounded) return slack;
    return any ? kAllLost - std::max(0.0, times.waited_s - kLostGraceSeconds) / 4
               : kNoObjective - times.age_s;
}

}  // namespace

void Cluster::fill_guarantees(Millis now) {
    std::vector<std::vector<std::pair<std::int64_t, JobIndex>>> by_team(team_list_.size());
    for (auto& [index, job] : jobs_) {
        job.in_guarantee = false;
        if (job.over || job.spec.team == kInvalidIndex) continue;
        by_team[job.spec.team].emplace_back(job.spec.submitted_ms, index);
        team_busy_[job.spec.team] = now;
    }
    for (std::size_t team = 0; team < by_team.size(); ++team) {
        const Resources& guarantee = team_list_[team].guarantee;
        if (guarantee == Resources{}) continue;
        auto& jobs = by_team[team];
        std::sort(jobs.begin(), jobs.end());
        Resources sum;
        for (const auto& [submitted_ms, index] : jobs) {
            Job& job = jobs_.at(index);
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
    for (const auto& [index, job] : jobs_) fleet.waiting += waiting(job) > 0 ? 1 : 0;
    fleet.heartbeat_interval_s = static_cast<double>(settings_.report_ms) / 1000.0;
    fleet.lease_s = static_cast<double>(settings_.lease_ms) / 1000.0;
    return fleet;
}

Snapshot Cluster::snapshot(Millis now, std::int64_t wall_ms) {
    wake_replicas(now);
    fill_guarantees(now);
    Snapshot out;
    out.now = now;
    out.tuning = settings_.tuning;
    const auto fleet = settings_.policy ? fleet_facts() : FleetFacts{};
    if (settings_.policy) {
        out.tuning.spare_machines =
            static_cast<std::uint32_t>(settings_.policy->spare_machines(fleet));
        out.tuning.warm_capacity_s = settings_.policy->warm_capacity_s(fleet);
    }
    out.may_drain = now - drained_at_ >= settings_.tuning.drain_interval_ms;
    out.machines.reserve(machines_.size());
    out.allocations.reserve(allocations_.size());
    out.jobs.reserve(jobs_.size());
    out.waiting_jobs.reserve(jobs_.size());
    out.types = type_info_;
    out.zone_count = zones_.size();
    add_teams(out);
    add_warm_capacity(out);
    add_refused(out);
    for (MachineIndex index = 0; index < machines_.size(); ++index) {
        const Machine& machine = machines_[index];
        const bool there =
            machine.life == Machine::Life::Up || machine.life == Machine::Life::Booting;
        if (!there || machine.type == kInvalidIndex) continue;
        out.machines.push_back(machine_view(index, fleet, now));
        add_allocations(index, out);
    }
    double fetch_gb_s = 0;
    for (const auto& type : type_info_) fetch_gb_s = std::max(fetch_gb_s, type.fetch_gb_s);
    for (const auto& [index, job] : jobs_) {
        const auto number = waiting(job);
        if (number == 0 && job.allocations.empty()) continue;
        out.jobs.emplace(index, JobView{job.spec, job.in_guarantee});
        if (number == 0) continue;
        WaitingJob& item = out.waiting_jobs.emplace_back();
        item.job = index;
        item.waiting_tasks = number;
        const JobTimes times{
            static_cast<double>(wall_ms - job.spec.submitted_ms) / 1000.0,
            fetch_gb_s > 0 ? job.spec.image_gb / fetch_gb_s : 0,
            // An array of which a task started not long ago does not starve, however much is left.
            static_cast<double>(now - std::max(job.waiting_since, job.started_at)) / 1000.0};
        item.waited_ms = now - std::max(job.waiting_since, job.started_at);
        item.slack_s = slack_of(job.spec, class_objectives_[job.spec.cls], times,
                                job.in_guarantee ? guarantee_s_ : 0);
        fill_item(job, times.age_s, now, item);
        add_zones(job, item);
    }
    return out;
}

void Cluster::add_teams(Snapshot& out) const {
    out.team_used = team_used_;
    out.teams = team_list_;
    out.guaranteed_start_s = guarantee_s_;
    for (std::size_t index = 0; index < team_list_.size(); ++index) {
        // Without a bound the resources of a team without work would be kept for ever.
        if (team_busy_[index] >= 0 &&
            out.now - team_busy_[index] < settings_.tuning.guarantee_retention_ms) {
            out.retained_guarantees += team_list_[index].guarantee;
        }
    }
}

// "Exceptions to the plain rule", room kept warm.
void Cluster::add_warm_capacity(Snapshot& out) const {
    for (const auto& [index, arrivals] : arrivals_) {
        const double rate =
            arrivals.rate * std::exp(-static_cast<double>(out.now - arrivals.at) / kRateFor);
        // A class that has not been seen for minutes needs nothing kept.
        // Nor does a single service, which stays for long, say that another one comes soon.
        const double minimum = arrivals.spec.service ? kMinReplicasSoon : kMinTasksSoon;
        if (rate * out.tuning.warm_capacity_s < minimum) continue;
        const auto tasks = static_cast<std::uint32_t>(std::ceil(rate * out.tuning.warm_capacity_s));
        out.warm_capacity.push_back({arrivals.spec, std::min(tasks, kMaxWarmTasks)});
    }
    for (const auto& [image, used] : warm_) {
        if (out.now - used < kWarmFor) out.start_objective_images.push_back(image);
    }
}

// Where nothing can be provisioned: refused a short time ago, or in a zone that is cut off.
void Cluster::add_refused(Snapshot& out) const {
    for (const auto& type : type_info_) {
        auto& zones = out.type_zones.emplace_back();
        for (const auto& zone : type.zones) zones.push_back(zones_.intern(zone));
    }
    for (const auto& [kind, until] : refused_) {
        if (until.first > out.now) out.refused_provisions.push_back(kind);
    }
    for (TypeIndex type = 0; type < out.type_zones.size(); ++type) {
        for (const auto zone : out.type_zones[type]) {
            if (!failure_detector_.is_cut(zone)) continue;
            out.refused_provisions.push_back({type, zone, false});
            out.refused_provisions.push_back({type, zone, true});
        }
    }
}

MachineView Cluster::machine_view(MachineIndex index, const FleetFacts& fleet, Millis now) const {
    const Machine& machine = machines_[index];
    const MachineType& type = type_info_[machine.type];
    MachineView view;
    view.index = index;
    view.type = machine.type;
    view.zone = machine.zone;
    view.spot = machine.spot;
    view.usable = admission_check_.is_usable(machine, now);
    view.capacity = type.room;
    view.free = view.capacity;
    view.free -= machine.used;
    view.age_ms = now - machine.provisioned_at;
    if (machine.allocations.empty()) {
        view.idle_ms = now - machine.idle_since;
        view.idle_retention_ms = idle_keep_ms(machine, view.age_ms, fleet);
    }
    if (machine.life == Machine::Life::Booting) {
        const double age_s = static_cast<double>(view.age_ms) / 1000.0;
        view.booting = age_s < type.boot_s * kBootMargin + kBootMarginSeconds;
    } else if (!view.usable) {
        // No report under this token yet, or in quarantine: it will most likely be usable soon.
        view.booting = !machine.drain.any() && !machine.taken_at &&
                       now - std::max(machine.last_heartbeat_at, machine.first_seen) < kSoonUsable;
    }
    view.images = machine.images;
    for (const auto allocation_index : machine.allocations) {
        const Allocation& allocation = allocations_[allocation_index];
        if (allocation.phase != TaskPhase::Pulling) continue;
        view.fetching_images.push_back(jobs_.at(allocation.job).spec.image);
    }
    return view;
}

Millis Cluster::idle_keep_ms(const Machine& machine, Millis age_ms, const FleetFacts& fleet) const {
    if (!settings_.policy) return machine.spot ? kKeepIdleSpot : kKeepIdleOnDemand;
    const auto& type = type_info_[machine.type];
    const double keep_s = settings_.policy->idle_retention_s(
        {types_.name(machine.type), zones_.name(machine.zone), machine.spot,
         machine.spot ? type.spot_hourly : type.hourly, static_cast<double>(age_ms) / 1000.0},
        fleet);
    return static_cast<Millis>(1000 * keep_s);
}

void Cluster::add_allocations(MachineIndex machine, Snapshot& out) const {
    for (const auto index : machines_[machine].allocations) {
        const Allocation& allocation = allocations_[index];
        const JobSpec& spec = jobs_.at(allocation.job).spec;
        AllocationView view;
        view.index = index;
        view.attempt = allocation.attempt;
        view.machine = machine;
        view.job = allocation.job;
        view.stopping = allocation.stop;
        const auto ran_ms = out.now - allocation.running_since;
        const double ran_s =
            allocation.running_since > 0 ? static_cast<double>(ran_ms) / 1000.0 : 0;
        view.remaining_s = spec.service
                               ? kUnbounded
                               : std::max(spec.estimate_s - ran_s, spec.estimate_s * kMinLeftShare);
        view.ran_ms = allocation.phase == TaskPhase::Running ? ran_ms : 0;
        view.lost_work_s = spec.checkpoint_s > 0 ? std::min(spec.checkpoint_s, ran_s) : ran_s;
        out.allocations.push_back(view);
    }
}

// The order among what waits, and how long it waits for what is there before machines are
// provisioned for it. The slack is set already.
void Cluster::fill_item(const Job& job, double age_s, Millis now, WaitingJob& item) const {
    item.in_guarantee = job.in_guarantee;
    item.backing_off = job.retry_at > now;
    item.has_started = job.next_fresh > 0;
    // A replica that waits is lost time, however long its service has been up.
    if (job.spec.service) item.slack_s = std::min(item.slack_s, kReplicaSlack);
    item.order_s = item.slack_s;
    item.provision_wait_s = std::clamp(item.slack_s * kProvisionShareOfSlack,
                                       kMinProvisionPatienceS, kMaxProvisionPatienceS);
    item.on_demand_wait_s = std::clamp(item.slack_s * kOnDemandShareOfSlack, item.provision_wait_s,
                                       kMaxOnDemandPatienceS);
    if (settings_.policy) {
        auto about = facts(job);
        about.slack_s = item.slack_s;
        about.waited_s = static_cast<double>(item.waited_ms) / 1000.0;
        about.age_s = age_s;
        about.waiting = item.waiting_tasks;
        item.order_s = settings_.policy->order_s(about);
        item.provision_wait_s = settings_.policy->provision_wait_s(about);
        item.on_demand_wait_s = settings_.policy->on_demand_wait_s(about);
    }
    // What fails everywhere has a mistake: to keep it off ever more machines would provision a new
    // one for each try, and leave it waiting beside capacity that fits.
    if (has_run_well(job, now) || job.failed_on.size() < kMachinesThatProveAMistake) {
        item.avoided_machines.assign(job.failed_on.begin(), job.failed_on.end());
    }
}

// Where its other tasks are, if that matters for where the next ones may go.
void Cluster::add_zones(const Job& job, WaitingJob& item) const {
    if (!job.spec.one_zone && !job.spec.apart && !job.spec.service) return;
    item.zone_counts.resize(zones_.size());
    for (const auto& [task, index] : job.allocations) {
        const auto machine = allocations_[index].machine;
        const auto zone = machines_[machine].zone;
        if (job.spec.service) item.replica_machines.push_back(machine);
        if (zone == kInvalidIndex) continue;
        if (job.spec.one_zone) item.zone = zone;
        ++item.zone_counts[zone];
    }
}

}  // namespace lichendrift::core
