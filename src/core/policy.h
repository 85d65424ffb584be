// What operators decide in the policy file, as the core asks for it.
#pragma once

#include <string>
#include <vector>

#include "core/types.h"
#include "events/event.h"

namespace lichendrift::core {

/// What a policy may decide by about a job. The names live as long as the call.
struct JobFacts {
    std::string_view cls;                  ///< class of the job
    std::string_view team;                 ///< team of the job
    Priority priority = Priority::Normal;  ///< its priority
    bool gang = false;                     ///< gang scheduling: all tasks run, or none
    bool service = false;                  ///< its tasks run until it is cancelled
    bool has_start_objective = false;      ///< its class has an objective on starting
    bool spot = false;                     ///< may run on spot machines
    bool guaranteed = false;               ///< within its team's guarantee
    double tasks = 0;                      ///< number of its tasks
    double waiting = 0;                    ///< number of its tasks that wait
    double failures = 0;                   ///< failures in a row
    double estimate_s = 0;                 ///< estimated run time of a task, seconds
    double checkpoint_s = 0;               ///< seconds between checkpoints; 0: it saves none
    double slack_s = 0;                    ///< seconds until an objective is missed
    double waited_s = 0;                   ///< seconds that it has been waiting
    double age_s = 0;                      ///< seconds since its submission
};

/// What a policy may decide by about a machine. The names live as long as the call.
struct MachineFacts {
    std::string_view type;  ///< machine type
    std::string_view zone;  ///< its zone
    bool spot = false;      ///< a spot machine
    double hourly = 0;      ///< price of an hour
    double age_s = 0;       ///< seconds since it was provisioned
};

/// What a policy may decide by about the fleet.
struct FleetFacts {
    double machines = 0;              ///< machines that are up
    double idle = 0;                  ///< of these, machines without an allocation
    double booting = 0;               ///< machines that boot
    double waiting = 0;               ///< jobs with tasks that wait
    double heartbeat_interval_s = 0;  ///< seconds between the heartbeats of a machine
    double lease_s = 0;               ///< seconds that a worker's lease lasts
};

inline constexpr double kImageWeight = 4.0;            ///< default of Weights::image
inline constexpr double kFetchingWeight = 2.0;         ///< default of Weights::fetching
inline constexpr double kFetchWeightPerSecond = 0.15;  ///< default of Weights::fetch
inline constexpr double kWarmWeight = 1.5;             ///< default of Weights::warm
inline constexpr double kFitWeight = 3.0;              ///< default of Weights::fit
inline constexpr double kPriceWeight = 1.5;            ///< default of Weights::price

/// Weights of the terms of a machine's score (core/plan_score.h), in points.
struct Weights {
    double image = kImageWeight;        ///< added if the machine has the image
    double fetching = kFetchingWeight;  ///< added if the machine fetches the image now
    /// Taken off per second of fetching, for classes with a start objective.
    double fetch = kFetchWeightPerSecond;
    double warm = kWarmWeight;    ///< taken off where a class with a start objective has its image
    double fit = kFitWeight;      ///< taken off for the share of the machine that would stay free
    double price = kPriceWeight;  ///< taken off for the price, as a share of the highest one
    /// Member by member.
    auto operator<=>(const Weights&) const = default;
};

/// What the design leaves open and operators decide. Every answer is finite and in the range that
/// docs/operations.md gives; none of them can break a safety rule, as the admission check does not
/// depend on it. Called under the lock of the cluster state.
class Policy {
  public:
    virtual ~Policy() = default;
    /// The weights of the score for the tasks of a job.
    virtual Weights weights(const JobFacts& job) = 0;
    /// Seconds of waiting after which a job goes first among its equals.
    virtual double starvation_threshold_s(const JobFacts& job) = 0;
    /// The sort key among jobs of equal guarantee and priority, smaller first.
    virtual double order_s(const JobFacts& job) = 0;
    /// Capacity that comes free within so many seconds needs no new machine.
    virtual double provision_wait_s(const JobFacts& job) = 0;
    /// The same before an on-demand machine is provisioned.
    virtual double on_demand_wait_s(const JobFacts& job) = 0;
    /// Seconds of back-off after a failure.
    virtual double retry_delay_s(const JobFacts& job) = 0;
    /// Seconds after which an idle machine is released.
    virtual double idle_retention_s(const MachineFacts& machine, const FleetFacts& fleet) = 0;
    /// Seconds without a heartbeat after which a machine is silent.
    virtual double heartbeat_timeout_s(const FleetFacts& fleet) = 0;
    /// Number of idle machines that are not released.
    virtual double spare_machines(const FleetFacts& fleet) = 0;
    /// Warm capacity is kept for the arrivals of so many seconds.
    virtual double warm_capacity_s(const FleetFacts& fleet) = 0;
    /// The settings that fell back to their built-in value since the last call, each reported once.
    virtual std::vector<events::PolicyValueRejected> take_rejected_values() = 0;
};

}  // namespace lichendrift::core
