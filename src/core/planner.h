// The planner's input, a snapshot of the cluster state, and its output, a plan.
#pragma once

#include <unordered_map>

#include "core/policy.h"
#include "core/types.h"

namespace lichendrift::core {

/// Default of JobSpec::starvation_threshold_ms.
inline constexpr Millis kStarvationThresholdMs = 60'000;
/// Default of PlannerTuning::warm_capacity_s.
inline constexpr double kWarmCapacityS = 20;
/// Default of PlannerTuning::max_starved_jobs.
inline constexpr std::size_t kMaxStarvedJobs = 8;
/// Default of PlannerTuning::max_reserved_share.
inline constexpr double kMaxReservedShare = 0.3;
/// Default of PlannerTuning::min_run_before_drain_ms.
inline constexpr Millis kMinRunBeforeDrainMs = 30'000;
/// Default of PlannerTuning::drain_interval_ms.
inline constexpr Millis kDrainIntervalMs = 6'000;
/// Default of PlannerTuning::max_drained_share.
inline constexpr double kMaxDrainedShare = 0.025;
/// Default of PlannerTuning::guarantee_retention_ms.
inline constexpr Millis kGuaranteeRetentionMs = 300'000;
/// Default of WaitingJob::provision_wait_s.
inline constexpr double kProvisionWaitS = 20;
/// Default of WaitingJob::on_demand_wait_s.
inline constexpr double kOnDemandWaitS = 60;

/// The properties of a job that placement uses, with indices instead of names.
struct JobSpec {
    ClassIndex cls = kInvalidIndex;        ///< class
    TeamIndex team = kInvalidIndex;        ///< team whose quota its tasks count against
    bool gang = false;                     ///< gang scheduling: all tasks run, or none
    bool service = false;                  ///< its replicas run until it is cancelled
    Priority priority = Priority::Normal;  ///< may preempt jobs with a lower priority
    std::uint32_t count = 1;               ///< number of tasks
    Resources need;                        ///< resources of one task
    ImageIndex image = kInvalidIndex;      ///< container image
    double image_gb = 0;                   ///< size of the image, gigabytes
    std::uint64_t types = ~0ULL;           ///< allowed machine types, one bit for each
    ZoneIndex zone = kInvalidIndex;        ///< required zone; kInvalidIndex: any
    bool one_zone = false;                 ///< all tasks must be in the same zone
    bool spread_zones = false;             ///< at most half of the tasks, rounded up, in a zone
    bool spot = false;                     ///< may run on spot machines
    double estimate_s = 0;                 ///< estimated run time of a task, seconds
    double checkpoint_s = 0;           ///< seconds between checkpoints; 0: it saves no checkpoints
    double save_s = 0;                 ///< seconds that saving a checkpoint takes
    std::optional<double> deadline_s;  ///< seconds from submission to its deadline
    std::int64_t submitted_ms = 0;     ///< time of day of its submission
    bool has_start_objective = false;  ///< its class has a start objective, or it is a service
    Weights weights;                   ///< weights of the terms of a machine's score
    /// After waiting longer than this the job goes first within its rank and may get a reservation.
    Millis starvation_threshold_ms = kStarvationThresholdMs;
};

/// The planner's settings; the policy may replace some of them.
struct PlannerTuning {
    double warm_capacity_s =
        kWarmCapacityS;  ///< warm capacity covers the arrivals expected in this time, seconds
    bool reservations =
        true;  ///< whether starved jobs go first and reserve machines; off in tests only
    std::size_t max_starved_jobs =
        kMaxStarvedJobs;  ///< longest-waiting starved jobs that go first, per rank
    std::uint32_t starved_array_tasks = 4;  ///< tasks of a starved array that one plan places
    double max_reserved_share =
        kMaxReservedShare;             ///< share of the machines for all reservations together
    std::uint32_t spare_machines = 1;  ///< idle machines that are kept as spare
    Millis min_run_before_drain_ms =
        kMinRunBeforeDrainMs;  ///< minimum run time before a drain moves a task
    Millis drain_interval_ms =
        kDrainIntervalMs;  ///< minimum time between plans that drain machines
    double max_drained_share =
        kMaxDrainedShare;  ///< share of the machines with work that one plan drains
    /// How long capacity for a team's guarantee is retained after the team last had work.
    Millis guarantee_retention_ms = kGuaranteeRetentionMs;
};

/// A machine as the planner sees it.
struct MachineView {
    MachineIndex index = kInvalidIndex;       ///< its number in the cluster state
    TypeIndex type = kInvalidIndex;           ///< machine type
    ZoneIndex zone = kInvalidIndex;           ///< its zone
    bool spot = false;                        ///< a spot machine
    bool usable = false;                      ///< up, with recent heartbeats, may get tasks
    bool booting = false;                     ///< not usable now, expected to be soon
    Resources capacity;                       ///< total resources
    Resources free;                           ///< capacity minus all that is or might be allocated
    Millis idle_ms = 0;                       ///< time since its last allocation ended
    Millis idle_retention_ms = 0;             ///< how long it is kept while idle
    Millis age_ms = 0;                        ///< time since it was provisioned
    std::vector<ImageIndex> images;           ///< images on the machine
    std::vector<ImageIndex> fetching_images;  ///< images being fetched, one entry per task
};

/// A task attempt that occupies resources of a machine.
struct AllocationView {
    AllocationIndex index = kInvalidIndex;  ///< its number in the cluster state
    std::uint64_t attempt = 0;              ///< attempt number; the index alone is reused
    MachineIndex machine = kInvalidIndex;   ///< its machine
    JobIndex job = kInvalidIndex;           ///< the job of its task
    bool stopping = false;                  ///< whether it is being stopped
    Millis ran_ms = 0;                      ///< time that it has been running
    double remaining_s = 0;                 ///< estimated remaining run time, seconds
    double lost_work_s = 0;                 ///< seconds of work lost if it is stopped now
};

/// A job with tasks that wait for a machine.
struct WaitingJob {
    JobIndex job = kInvalidIndex;     ///< key into Snapshot::jobs
    std::uint32_t waiting_tasks = 0;  ///< number of tasks that wait for a machine
    bool in_guarantee = false;        ///< within its team's guarantee
    bool backing_off = false;         ///< in back-off after a failure: this plan skips it
    bool has_started = false;         ///< whether a task of it was placed before
    Millis waited_ms = 0;             ///< time since its submission or its last start
    double slack_s = 0;               ///< seconds until an objective is missed
    double order_s = 0;               ///< sort key within its rank, smaller first
    /// No machine is provisioned if capacity becomes free within this time, seconds.
    double provision_wait_s = kProvisionWaitS;
    double on_demand_wait_s = kOnDemandWaitS;  ///< the same for on-demand machines, seconds
    ZoneIndex zone = kInvalidIndex;            ///< with one_zone: the zone of its other tasks
    /// Number of its tasks by zone, for `one_zone`, `spread_zones` and services; may have fewer
    /// entries than there are zones.
    std::vector<std::uint32_t> zone_counts;
    std::vector<MachineIndex> replica_machines;  ///< of a service: machines of its other replicas
    std::vector<MachineIndex> avoided_machines;  ///< machines on which it failed
};

/// A job of a waiting task or of an allocation.
struct JobView {
    JobSpec spec;               ///< its requirements
    bool in_guarantee = false;  ///< within its team's guarantee
};

/// Warm capacity for a class with a start objective: resources kept free ahead of demand, so that
/// the tasks expected of it need not wait until resources become free.
struct WarmCapacity {
    JobSpec spec;             ///< a recently submitted job of the class
    std::uint32_t tasks = 0;  ///< number of its tasks to keep capacity free for
};

/// A kind of machine that the cloud can provision; the cloud's capacity is separate for each pool.
struct ProvisioningPool {
    TypeIndex type = kInvalidIndex;  ///< machine type
    ZoneIndex zone = kInvalidIndex;  ///< zone
    bool spot = false;               ///< spot or on demand
    /// Orders by type, then zone, then on-demand before spot.
    auto operator<=>(const ProvisioningPool&) const = default;
};

/// A copy of the cluster state that the planner needs, so that plans are made without holding the
/// lock of the cluster state.
struct Snapshot {
    Millis now = 0;                              ///< when it was taken
    PlannerTuning tuning;                        ///< the planner's settings
    std::vector<MachineView> machines;           ///< all machines but those being released or gone
    std::vector<AllocationView> allocations;     ///< allocations on these machines
    std::vector<WaitingJob> waiting_jobs;        ///< jobs with tasks that wait
    std::unordered_map<JobIndex, JobView> jobs;  ///< jobs of the allocations and waiting jobs
    std::vector<Resources> team_used;  ///< resources that count against the quota, by team
    std::vector<Team> teams;           ///< quotas, by team
    std::vector<MachineType> types;    ///< by machine type
    std::vector<std::vector<ZoneIndex>>
        type_zones;              ///< zones where it can be provisioned, by machine type
    std::size_t zone_count = 0;  ///< number of zones
    std::vector<WarmCapacity> warm_capacity;  ///< one entry per class
    /// Recently used images of classes with a start objective.
    std::vector<ImageIndex> start_objective_images;
    double guaranteed_start_s = 0;  ///< start objective of guaranteed work, seconds; 0: none
    Resources retained_guarantees;  ///< sum of the guarantees of teams with recent work
    bool may_drain = true;          ///< whether drain_interval_ms has passed since the last drain
    std::vector<ProvisioningPool> refused_provisions;  ///< pools without capacity at present
};

/// A decision to start tasks of a job.
struct Start {
    JobIndex job = kInvalidIndex;           ///< the job
    std::vector<MachineIndex> machines;     ///< one for each task
    double score = 0;                       ///< mean score of the tasks
    std::vector<ZoneIndex> rejected_zones;  ///< candidate zones where the request did not fit
};

/// A decision to provision machines.
struct Provision {
    TypeIndex type = kInvalidIndex;  ///< machine type
    ZoneIndex zone = kInvalidIndex;  ///< zone
    bool spot = false;               ///< spot or on demand
    std::uint32_t count = 0;         ///< number of machines
};

/// A decision to stop a task so that another job gets its resources.
struct Preemption {
    AllocationIndex allocation = kInvalidIndex;  ///< the victim
    std::uint64_t attempt = 0;                   ///< attempt of the victim to stop
    JobIndex preemptor = kInvalidIndex;          ///< the job that gets the resources
};

/// The decisions of one plan. Each is checked again when it is applied.
struct Plan {
    std::vector<Start> starts;            ///< tasks to start
    std::vector<Preemption> preemptions;  ///< tasks to stop for other jobs
    std::vector<Provision> provisions;    ///< machines to provision
    std::vector<MachineIndex> releases;   ///< idle machines to release
    std::vector<MachineIndex> drains;     ///< machines to drain, released when empty
    bool capacity_short = false;          ///< whether tasks within their quota found no capacity
    Millis snapshot_at = 0;               ///< when its snapshot was taken
    std::uint64_t steps = 0;  ///< machines and allocations examined; measures the plan's cost
};

/// Makes a plan by the placement rule of docs/design.md: a gang is placed as a whole or not at all,
/// the tightest fit wins, victims of lower rank are preempted only if necessary, and a request that
/// failed for one job is not tried again for jobs with the same requirements. Pure and
/// deterministic; may run on any thread.
Plan make_plan(const Snapshot& snapshot);

}  // namespace lichendrift::core
