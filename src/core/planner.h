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

/// What placement looks at of a job, with names as indices.
struct JobSpec {
    ClassIndex cls = kInvalidIndex;        ///< class
    TeamIndex team = kInvalidIndex;        ///< team whose quota its tasks count against
    bool gang = false;                     ///< gang scheduling: all tasks run, or none
    bool service = false;                  ///< its replicas run until it is cancelled
    Priority priority = Priority::Normal;  ///< may preempt lower ones
    std::uint32_t count = 1;               ///< number of tasks
    Resources need;                        ///< resources of one task
    ImageIndex image = kInvalidIndex;      ///< container image
    double image_gb = 0;                   ///< size of the image, gigabytes
    std::uint64_t types = ~0ULL;           ///< allowed machine types, one bit for each
    ZoneIndex zone = kInvalidIndex;        ///< required zone; kInvalidIndex: any
    bool one_zone = false;                 ///< all tasks in the same zone
    bool apart = false;                    ///< at most half of the tasks, rounded up, in a zone
    bool spot = false;                     ///< may run on spot machines
    double estimate_s = 0;                 ///< estimated run time of a task, seconds
    double checkpoint_s = 0;               ///< seconds between checkpoints; 0: it saves none
    double save_s = 0;                     ///< seconds that saving a checkpoint takes
    std::optional<double> deadline_s;      ///< seconds from submission to its deadline
    std::int64_t submitted_ms = 0;         ///< time of day of its submission
    bool has_start_objective = false;      ///< its class has an objective on starting; services too
    Weights weights;                       ///< of the terms of its score
    /// Waiting longer than this makes it go first among its equals and get a reservation.
    Millis starvation_threshold_ms = kStarvationThresholdMs;
};

/// The planner's settings; the policy may replace some of them.
struct PlannerTuning {
    double warm_capacity_s =
        kWarmCapacityS;        ///< warm capacity is kept for the arrivals of so many seconds
    bool reservations = true;  ///< off in tests only
    std::size_t max_starved_jobs =
        kMaxStarvedJobs;                    ///< that go first, of each rank; the longest waiting
    std::uint32_t starved_array_tasks = 4;  ///< of a starved array, placed by one plan
    double max_reserved_share =
        kMaxReservedShare;             ///< of the machines, for all reservations together
    std::uint32_t spare_machines = 1;  ///< idle machines that are not released
    Millis min_run_before_drain_ms =
        kMinRunBeforeDrainMs;                     ///< tasks that ran less are not moved for a drain
    Millis drain_interval_ms = kDrainIntervalMs;  ///< between plans that drain machines
    double max_drained_share = kMaxDrainedShare;  ///< of the machines at work, drained by one plan
    /// How long after a team's last work capacity for its guarantee is retained.
    Millis guarantee_retention_ms = kGuaranteeRetentionMs;
};

/// A machine as the planner sees it.
struct MachineView {
    MachineIndex index = kInvalidIndex;       ///< its number in the cluster state
    TypeIndex type = kInvalidIndex;           ///< machine type
    ZoneIndex zone = kInvalidIndex;           ///< its zone
    bool spot = false;                        ///< a spot machine
    bool usable = false;                      ///< up, with recent heartbeats, may take work
    bool booting = false;                     ///< not usable now, expected to be soon
    Resources capacity;                       ///< all that it has
    Resources free;                           ///< capacity less all that may be allocated on it
    Millis idle_ms = 0;                       ///< time since its last allocation ended
    Millis idle_retention_ms = 0;             ///< time that it is kept while idle
    Millis age_ms = 0;                        ///< time since it was provisioned
    std::vector<ImageIndex> images;           ///< images that it has
    std::vector<ImageIndex> fetching_images;  ///< images that it fetches, one entry per task
};

/// An attempt of a task that counts against a machine.
struct AllocationView {
    AllocationIndex index = kInvalidIndex;  ///< its number in the cluster state
    std::uint64_t attempt = 0;              ///< the attempt; numbers of allocations are used again
    MachineIndex machine = kInvalidIndex;   ///< where it is
    JobIndex job = kInvalidIndex;           ///< the job of its task
    bool stopping = false;                  ///< is being stopped
    Millis ran_ms = 0;                      ///< time that it has been running
    double remaining_s = 0;                 ///< estimated rest of its run time, seconds
    double lost_work_s = 0;                 ///< seconds of work lost if it is stopped now
};

/// A job with tasks that wait for a machine.
struct WaitingJob {
    JobIndex job = kInvalidIndex;     ///< key into Snapshot::jobs
    std::uint32_t waiting_tasks = 0;  ///< number of its tasks that wait
    bool in_guarantee = false;        ///< within its team's guarantee
    bool backing_off = false;         ///< waits after a failure: not placed by this plan
    bool has_started = false;         ///< a task of it was placed before
    Millis waited_ms = 0;             ///< since its submission or its last start
    double slack_s = 0;               ///< seconds until an objective is missed
    double order_s = 0;               ///< sort key among equals, smaller first
    double provision_wait_s =
        kProvisionWaitS;  ///< capacity free within so long needs no new machine
    double on_demand_wait_s =
        kOnDemandWaitS;              ///< the same before an on-demand machine is provisioned
    ZoneIndex zone = kInvalidIndex;  ///< with one_zone: the zone of its other tasks
    /// Number of its tasks by zone, for `apart` and services; may be shorter than the zones.
    std::vector<std::uint32_t> zone_counts;
    std::vector<MachineIndex> replica_machines;  ///< of a service: machines of its other replicas
    std::vector<MachineIndex> avoided_machines;  ///< machines on which it failed
};

/// A job of a waiting task or of an allocation.
struct JobView {
    JobSpec spec;               ///< what it asks for
    bool in_guarantee = false;  ///< within its team's guarantee
};

/// Warm capacity for a class with a start objective.
struct WarmCapacity {
    JobSpec spec;             ///< a job of the class that arrived lately
    std::uint32_t tasks = 0;  ///< number of such tasks that capacity is kept free for
};

/// What machines are provisioned from: the cloud has or lacks capacity for each on its own.
struct ProvisioningPool {
    TypeIndex type = kInvalidIndex;  ///< machine type
    ZoneIndex zone = kInvalidIndex;  ///< zone
    bool spot = false;               ///< spot or on demand
    /// By type, then zone, on-demand first.
    auto operator<=>(const ProvisioningPool&) const = default;
};

/// What the planner needs of the cluster state, copied: plans are made without its lock.
struct Snapshot {
    Millis now = 0;                              ///< when it was taken
    PlannerTuning tuning;                        ///< the planner's settings
    std::vector<MachineView> machines;           ///< all but those being released or gone
    std::vector<AllocationView> allocations;     ///< on these machines
    std::vector<WaitingJob> waiting_jobs;        ///< jobs with tasks that wait
    std::unordered_map<JobIndex, JobView> jobs;  ///< of the allocations and the waiting jobs
    std::vector<Resources> team_used;            ///< what counts against the quota, by team
    std::vector<Team> teams;                     ///< quotas, by team
    std::vector<MachineType> types;              ///< by machine type
    std::vector<std::vector<ZoneIndex>>
        type_zones;                           ///< where it can be provisioned, by machine type
    std::size_t zone_count = 0;               ///< number of zones
    std::vector<WarmCapacity> warm_capacity;  ///< by class
    /// Images of classes with a start objective that were used lately.
    std::vector<ImageIndex> start_objective_images;
    double guaranteed_start_s = 0;  ///< start objective of guaranteed work, seconds; 0: none
    Resources retained_guarantees;  ///< sum of the guarantees of teams that had work lately
    bool may_drain = true;          ///< drain_interval_ms has passed since the last drain
    std::vector<ProvisioningPool> refused_provisions;  ///< pools without capacity at present
};

/// A decision to start tasks of a job.
struct Start {
    JobIndex job = kInvalidIndex;           ///< the job
    std::vector<MachineIndex> machines;     ///< one for each task
    double score = 0;                       ///< mean score of the tasks
    std::vector<ZoneIndex> rejected_zones;  ///< candidate zones that did not fit the whole
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
    std::uint64_t attempt = 0;                   ///< the attempt meant
    JobIndex preemptor = kInvalidIndex;          ///< the job that gets the resources
};

/// The decisions of one plan. Each is checked again when it is applied.
struct Plan {
    std::vector<Start> starts;            ///< tasks to start
    std::vector<Preemption> preemptions;  ///< tasks to stop for other jobs
    std::vector<Provision> provisions;    ///< machines to provision
    std::vector<MachineIndex> releases;   ///< idle machines to release
    std::vector<MachineIndex> drains;     ///< machines to drain, released when empty
    bool capacity_short = false;          ///< tasks within their quota found no capacity
    Millis snapshot_at = 0;               ///< when its snapshot was taken
    std::uint64_t steps = 0;              ///< machines and allocations looked at: its cost
};

/// Makes a plan by the placement rule of docs/design.md: each gang whole per candidate zone,
/// tightest fit, victims of lower rank when it must, like tasks as a class. Pure and deterministic;
/// may run on any thread.
Plan make_plan(const Snapshot& snapshot);

}  // namespace lichendrift::core
