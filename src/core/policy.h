// The interface through which the core queries the operators' policy.
#pragma once

#include <string>
#include <vector>

#include "core/types.h"
#include "events/event.h"

namespace lichendrift::core {

/// Properties of a job that a policy may depend on. The strings are valid during the call only.
struct JobFacts {
    std::string_view cls;                  ///< class of the job
    std::string_view team;                 ///< team of the job
    Priority priority = Priority::Normal;  ///< its priority
    bool gang = false;                     ///< gang scheduling: all tasks run, or none
    bool service = false;                  ///< its tasks run until it is cancelled
    bool has_start_objective = false;      ///< a start objective applies to the job
    bool spot = false;                     ///< may run on spot machines
    bool guaranteed = false;               ///< within its team's guarantee
    double tasks = 0;                      ///< number of its tasks
    double waiting = 0;                    ///< number of its tasks that wait
    double failures = 0;                   ///< consecutive failures
    double estimate_s = 0;                 ///< estimated run time of a task, seconds
    double checkpoint_s = 0;  ///< seconds between checkpoints; 0: it saves no checkpoints
    double slack_s = 0;       ///< seconds until an objective is missed
    double waited_s = 0;      ///< seconds that it has been waiting
    double age_s = 0;         ///< seconds since its submission
};

/// Properties of a machine that a policy may depend on. The strings are valid during the call only.
struct MachineFacts {
    std::string_view type;  ///< machine type
    std::string_view zone;  ///< its zone
    bool spot = false;      ///< a spot machine
    double hourly = 0;      ///< price per hour
    double age_s = 0;       ///< seconds since it was provisioned
};

/// Properties of the fleet that a policy may depend on.
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
    /// Subtracted per second of fetching, for classes with a start objective.
    double fetch = kFetchWeightPerSecond;
    /// Subtracted for a job without a start objective if the machine has an image of a class with
    /// one.
    double warm = kWarmWeight;
    double fit = kFitWeight;      ///< subtracted for the share of the machine that would stay free
    double price = kPriceWeight;  ///< subtracted for the price, as a share of the highest one
    /// Compares member by member.
    auto operator<=>(const Weights&) const = default;
};

/// The decisions that the design leaves to operators. Every result is finite and in the range that
/// docs/operations.md gives. No result can break a safety rule, because the admission check does
/// not depend on the policy. Called under the lock of the cluster state.
class Policy {
  public:
    virtual ~Policy() = default;
    /// The weights of a machine's score for tasks of the job.
    virtual Weights weights(const JobFacts& job) = 0;
    /// Seconds of waiting after which a job counts as starved and goes first within its rank.
    virtual double starvation_threshold_s(const JobFacts& job) = 0;
    /// The sort key among jobs of equal guarantee and priority, in seconds; smaller goes first.
    virtual double order_s(const JobFacts& job) = 0;
    /// Seconds within which capacity has to become free so that no machine is provisioned.
    virtual double provision_wait_s(const JobFacts& job) = 0;
    /// The same for on-demand machines.
    virtual double on_demand_wait_s(const JobFacts& job) = 0;
    /// Seconds of back-off after a failure of the job.
    virtual double retry_delay_s(const JobFacts& job) = 0;
    /// Seconds after which an idle machine is released.
    virtual double idle_retention_s(const MachineFacts& machine, const FleetFacts& fleet) = 0;
    /// Seconds without a heartbeat after which a machine counts as silent.
    virtual double heartbeat_timeout_s(const FleetFacts& fleet) = 0;
    /// Number of idle machines that are kept as spare.
    virtual double spare_machines(const FleetFacts& fleet) = 0;
    /// Seconds whose expected arrivals warm capacity covers.
    virtual double warm_capacity_s(const FleetFacts& fleet) = 0;
    /// The settings that fell back to their built-in value since the last call; each setting is
    /// reported only once.
    virtual std::vector<events::PolicyValueRejected> take_rejected_values() = 0;
};

}  // namespace lichendrift::core
