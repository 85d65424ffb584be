// Builds the snapshot of the cluster state that the planner works on.
#include <cmath>

#include "core/cluster.h"

namespace lichendrift::core {

namespace {

// How long a job waits for resources that are about to be free before machines are provisioned
// for it. Used without an operators' policy.
constexpr double kProvisionShareOfSlack = 0.5;
constexpr double kMinProvisionWaitS = 3;
constexpr double kMaxProvisionWaitS = 20;
constexpr double kOnDemandShareOfSlack = 0.6;
constexpr double kMaxOnDemandWaitS = 60;

// Time since its last use for which an image of a class with a start objective counts as in use.
constexpr Millis kImageInUseFor = 600'000;
// A job that has failed on this many machines and never run well is itself at fault.
constexpr std::size_t kMachinesForJobFault = 3;
constexpr double kReplicaSlackS = 2;
// Warm capacity is kept for a class only if at least this many of its tasks, or of its replicas if
// it is a service, are expected within PlannerTuning::warm_capacity_s.
constexpr double kMinExpectedTasks = 0.15;
constexpr double kMinExpectedReplicas = 0.5;

// How long an idle machine is kept, without an operators' policy.
constexpr Millis kIdleRetentionSpot = 45'000;
constexpr Millis kIdleRetentionOnDemand = 10'000;
constexpr std::uint32_t kMaxWarmTasks = 8;  // of one class
// After its newest report, an unusable machine is expected to be usable within this time; one that
// takes longer counts as faulty.
constexpr Millis kUsableAgainWithin = 6000;
// A machine is expected to boot within the boot time of its type, times this factor, and the
// margin.
constexpr double kBootTimeFactor = 1.7;
constexpr double kBootMarginSeconds = 5;
// The remaining run time of a task is assumed to be at least this share of its estimate.
constexpr double kMinRemainingShare = 0.1;
constexpr double kUnbounded = 1e9;  // seconds

// The times that slack_of() uses, in seconds.
struct JobTimes {
    double age_s = 0;     // since its submission
    double fetch_s = 0;   // of its image
    double waited_s = 0;  // since it began to wait
};

// Seconds until the next objective that can still be met is missed. A job that has missed all of
// its objectives gets a moderate slack, which shrinks the longer the job waits: it neither goes
// before jobs that can still be in time nor starves behind new jobs with objectives ahead.
// `guarantee_s`: how soon work within a guarantee should start; 0: the job is not within one.
double slack_of(const JobSpec& spec, const ClassObjectives& objectives, const JobTimes& times,
                double guarantee_s) {
    constexpr double kEstimateMargin = 1.4;  // estimates of run times are often wrong by half
    constexpr double kNoObjectiveSlackS = 120;
    constexpr double kAllMissedSlackS = 30;
    constexpr double kAllMissedGraceS = 150;  // then the slack begins to shrink
    const double duration_s = spec.estimate_s * kEstimateMargin + times.fetch_s;
    double slack = kUnbounded;
    bool has_objective = false;
    const auto add_objective = [&](double left_s) {
        has_objective = true;
        if (left_s > -1) slack = std::min(slack, left_s);
    };
    for (const double within_s : objectives.start_within_s) add_objective(within_s - times.age_s);
    if (guarantee_s > 0) add_objective(guarantee_s - times.age_s);
    for (const double within_s : objectives.finish_within_s) {
        add_objective(within_s - times.age_s - duration_s);
    }
    if (spec.deadline_s) add_objective(*spec.deadline_s - times.age_s - duration_s);
    if (slack < kUnbounded) return slack;
    return has_objective ? kAllMissedSlackS - std::max(0.0, times.waited_s - kAllMissedGraceS) / 4
                         : kNoObjectiveSlackS - times.age_s;
}

}  // namespace

void Cluster::update_guarantees(Millis now) {
    std::vector<std::vector<std::pair<std::int64_t, JobIndex>>> by_team(team_list_.size());
    for (auto& [index, job] : jobs_) {
        job.in_guarantee = false;
        if (job.terminal || job.spec.team == kInvalidIndex) continue;
        by_team[job.spec.team].emplace_back(job.spec.submitted_ms, index);
        team_last_active_[job.spec.team] = now;
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
    JobFacts job_facts;
    job_facts.cls = job.description.cls;
    job_facts.team = job.description.team;
    job_facts.priority = job.spec.priority;
    job_facts.gang = job.spec.gang;
    job_facts.service = job.spec.service;
    job_facts.has_start_objective = job.spec.has_start_objective;
    job_facts.spot = job.spec.spot;
    job_facts.guaranteed = job.in_guarantee;
    job_facts.tasks = job.spec.count;
    job_facts.failures = std::min<std::uint32_t>(job.failures, 1000);
    job_facts.estimate_s = job.spec.estimate_s;
    job_facts.checkpoint_s = job.spec.checkpoint_s;
    return job_facts;
}

FleetFacts Cluster::fleet_facts() const {
    FleetFacts fleet;
    for (const auto& machine : machines_) {
        if (machine.lifecycle == Machine::Lifecycle::Booting) ++fleet.booting;
        if (machine.lifecycle != Machine::Lifecycle::Up) continue;
        ++fleet.machines;
        if (machine.allocations.empty()) ++fleet.idle;
    }
    for (const auto& [index, job] : jobs_) fleet.waiting += waiting(job) > 0 ? 1 : 0;
    fleet.heartbeat_interval_s = static_cast<double>(settings_.report_ms) / 1000.0;
    fleet.lease_s = static_cast<double>(settings_.lease_ms) / 1000.0;
    return fleet;
}

Snapshot Cluster::snapshot(Millis now, std::int64_t wall_ms) {
    end_replica_backoffs(now);
    update_guarantees(now);
    Snapshot out;
    out.now = now;
    out.tuning = settings_.tuning;
    const auto fleet = settings_.policy ? fleet_facts() : FleetFacts{};
    if (settings_.policy) {
        out.tuning.spare_machines =
            static_cast<std::uint32_t>(settings_.policy->spare_machines(fleet));
        out.tuning.warm_capacity_s = settings_.policy->warm_capacity_s(fleet);
    }
    out.may_drain = now - last_drain_at_ >= settings_.tuning.drain_interval_ms;
    out.machines.reserve(machines_.size());
    out.allocations.reserve(allocations_.size());
    out.jobs.reserve(jobs_.size());
    out.waiting_jobs.reserve(jobs_.size());
    out.types = type_info_;
    out.zone_count = zones_.size();
    add_teams(out);
    add_warm_capacity(out);
    add_unavailable_pools(out);
    for (MachineIndex index = 0; index < machines_.size(); ++index) {
        const Machine& machine = machines_[index];
        const bool up_or_booting = machine.lifecycle == Machine::Lifecycle::Up ||
                                   machine.lifecycle == Machine::Lifecycle::Booting;
        if (!up_or_booting || machine.type == kInvalidIndex) continue;
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
            // An array job does not starve if a task of it was started lately, however many wait.
            static_cast<double>(now - std::max(job.waiting_since, job.started_at)) / 1000.0};
        item.waited_ms = now - std::max(job.waiting_since, job.started_at);
        item.slack_s = slack_of(job.spec, class_objectives_[job.spec.cls], times,
                                job.in_guarantee ? guaranteed_start_s_ : 0);
        fill_waiting_job(job, times.age_s, now, item);
        add_zone_counts(job, item);
    }
    return out;
}

void Cluster::add_teams(Snapshot& out) const {
    out.team_used = team_used_;
    out.teams = team_list_;
    out.guaranteed_start_s = guaranteed_start_s_;
    for (std::size_t index = 0; index < team_list_.size(); ++index) {
        // Limited in time: otherwise the guarantee of a team without work would be retained for
        // ever.
        if (team_last_active_[index] >= 0 &&
            out.now - team_last_active_[index] < settings_.tuning.guarantee_retention_ms) {
            out.retained_guarantees += team_list_[index].guarantee;
        }
    }
}

// Warm capacity is kept free for tasks that are expected to arrive soon, and recently used images
// are noted ("Exceptions to the plain rule", room kept warm).
void Cluster::add_warm_capacity(Snapshot& out) const {
    for (const auto& [index, arrivals] : arrivals_) {
        const double rate = arrivals.rate * std::exp(-static_cast<double>(out.now - arrivals.at) /
                                                     kArrivalRateWindowMs);
        // A class without arrivals for minutes needs no warm capacity. Nor does a single service,
        // which runs for long, suggest that another one arrives soon.
        const double minimum = arrivals.spec.service ? kMinExpectedReplicas : kMinExpectedTasks;
        if (rate * out.tuning.warm_capacity_s < minimum) continue;
        const auto tasks = static_cast<std::uint32_t>(std::ceil(rate * out.tuning.warm_capacity_s));
        out.warm_capacity.push_back({arrivals.spec, std::min(tasks, kMaxWarmTasks)});
    }
    for (const auto& [image, used] : recent_images_) {
        if (out.now - used < kImageInUseFor) out.start_objective_images.push_back(image);
    }
}

// Adds the pools from which nothing can be provisioned: the cloud had no capacity a short time ago,
// or the zone is partitioned.
void Cluster::add_unavailable_pools(Snapshot& out) const {
    for (const auto& type : type_info_) {
        auto& zones = out.type_zones.emplace_back();
        for (const auto& zone : type.zones) zones.push_back(zones_.intern(zone));
    }
    for (const auto& [pool, backoff] : refused_pools_) {
        if (backoff.first > out.now) out.refused_provisions.push_back(pool);
    }
    for (TypeIndex type = 0; type < out.type_zones.size(); ++type) {
        for (const auto zone : out.type_zones[type]) {
            if (!failure_detector_.is_zone_partitioned(zone)) continue;
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
    view.capacity = type.capacity;
    view.free = view.capacity;
    view.free -= machine.used;
    view.age_ms = now - machine.provisioned_at;
    if (machine.allocations.empty()) {
        view.idle_ms = now - machine.idle_since;
        view.idle_retention_ms = idle_retention_ms(machine, view.age_ms, fleet);
    }
    if (machine.lifecycle == Machine::Lifecycle::Booting) {
        const double age_s = static_cast<double>(view.age_ms) / 1000.0;
        view.booting = age_s < type.boot_s * kBootTimeFactor + kBootMarginSeconds;
    } else if (!view.usable) {
        // A machine that has not reported under this leader's token yet, or is in quarantine, will
        // most likely be usable soon.
        view.booting =
            !machine.drain.any() && !machine.reclaim_at &&
            now - std::max(machine.last_heartbeat_at, machine.first_seen) < kUsableAgainWithin;
    }
    view.images = machine.images;
    for (const auto allocation_index : machine.allocations) {
        const Allocation& allocation = allocations_[allocation_index];
        if (allocation.phase != TaskPhase::Pulling) continue;
        view.fetching_images.push_back(jobs_.at(allocation.job).spec.image);
    }
    return view;
}

Millis Cluster::idle_retention_ms(const Machine& machine, Millis age_ms,
                                  const FleetFacts& fleet) const {
    if (!settings_.policy) return machine.spot ? kIdleRetentionSpot : kIdleRetentionOnDemand;
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
        view.stopping = allocation.stop_requested;
        const auto ran_ms = out.now - allocation.running_since;
        const double ran_s =
            allocation.running_since > 0 ? static_cast<double>(ran_ms) / 1000.0 : 0;
        view.remaining_s =
            spec.service ? kUnbounded
                         : std::max(spec.estimate_s - ran_s, spec.estimate_s * kMinRemainingShare);
        view.ran_ms = allocation.phase == TaskPhase::Running ? ran_ms : 0;
        view.lost_work_s = spec.checkpoint_s > 0 ? std::min(spec.checkpoint_s, ran_s) : ran_s;
        out.allocations.push_back(view);
    }
}

// Sets the job's order among the waiting jobs, and how long it waits for existing capacity before
// machines are provisioned for it. `item.slack_s` has to be set before.
void Cluster::fill_waiting_job(const Job& job, double age_s, Millis now, WaitingJob& item) const {
    item.in_guarantee = job.in_guarantee;
    item.backing_off = job.retry_at > now;
    item.has_started = job.next_unplaced > 0;
    // A service lacks capacity for as long as one of its replicas waits, so the slack is small,
    // however long ago the service was submitted.
    if (job.spec.service) item.slack_s = std::min(item.slack_s, kReplicaSlackS);
    item.order_s = item.slack_s;
    item.provision_wait_s =
        std::clamp(item.slack_s * kProvisionShareOfSlack, kMinProvisionWaitS, kMaxProvisionWaitS);
    item.on_demand_wait_s =
        std::clamp(item.slack_s * kOnDemandShareOfSlack, item.provision_wait_s, kMaxOnDemandWaitS);
    if (settings_.policy) {
        auto job_facts = facts(job);
        job_facts.slack_s = item.slack_s;
        job_facts.waited_s = static_cast<double>(item.waited_ms) / 1000.0;
        job_facts.age_s = age_s;
        job_facts.waiting = item.waiting_tasks;
        item.order_s = settings_.policy->order_s(job_facts);
        item.provision_wait_s = settings_.policy->provision_wait_s(job_facts);
        item.on_demand_wait_s = settings_.policy->on_demand_wait_s(job_facts);
    }
    // A job that fails on every machine is itself at fault. If it avoided ever more machines, a new
    // one would be provisioned for each attempt, and it would wait although capacity that fits is
    // free.
    if (has_succeeded(job, now) || job.failed_on.size() < kMachinesForJobFault) {
        item.avoided_machines.assign(job.failed_on.begin(), job.failed_on.end());
    }
}

// Sets where the other tasks of the job are, if that restricts where the next ones may go.
void Cluster::add_zone_counts(const Job& job, WaitingJob& item) const {
    if (!job.spec.one_zone && !job.spec.spread_zones && !job.spec.service) return;
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
