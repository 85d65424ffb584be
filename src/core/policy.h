#pragma once

#include <string>
#include <vector>

#include "core/types.h"
#include "events/event.h"

namespace lichendrift::core {

// What operators may decide by. Times in seconds.
struct JobFacts {
    std::string_view cls;
    std::string_view team;
    Priority priority = Priority::Normal;
    bool gang = false;
    bool service = false;  // its tasks run until it is cancelled
    bool soon = false;     // its class has an aim on starting
    bool spot = false;
    bool guaranteed = false;
    double tasks = 0;
    double waiting = 0;
    double failures = 0;
    double estimate_s = 0;
    double checkpoint_s = 0;
    double slack_s = 0;
    double waited_s = 0;
    double age_s = 0;
};

struct MachineFacts {
    std::string_view type;
    std::string_view zone;
    bool spot = false;
    double hourly = 0;
    double age_s = 0;
};

struct FleetFacts {
    double machines = 0;
    double idle = 0;
    double booting = 0;
    double waiting = 0;  // jobs with tasks that wait
    double report_s = 0;
    double lease_s = 0;
};

// What the score of a machine is made of.
struct Weights {
    double image = 4.0;     // the image is there
    double fetching = 2.0;  // the image is being fetched there
    double fetch = 0.15;    // a second of fetching, for a class that should start soon
    double warm = 1.5;      // room beside such a class's image is for that class
    double fit = 3.0;       // tightest fit
    double price = 1.5;     // dear machines are taken last
    auto operator<=>(const Weights&) const = default;
};

// What the design leaves open and operators decide. Every answer is finite and in the range that
// docs/operations.md gives; none of them can break a rule, as the gate does not ask here.
class Policy {
  public:
    virtual ~Policy() = default;
    virtual Weights weights(const JobFacts& job) = 0;
    virtual double starving_s(const JobFacts& job) = 0;
    virtual double order_s(const JobFacts& job) = 0;  // among equals, smaller first
    virtual double provision_patience_s(const JobFacts& job) = 0;
    virtual double on_demand_patience_s(const JobFacts& job) = 0;
    virtual double retry_s(const JobFacts& job) = 0;
    virtual double idle_keep_s(const MachineFacts& machine, const FleetFacts& fleet) = 0;
    virtual double silent_s(const FleetFacts& fleet) = 0;
    virtual double spare_machines(const FleetFacts& fleet) = 0;
    virtual double warm_s(const FleetFacts& fleet) = 0;
    // The settings that fell back to their built-in value since the last call, each reported once.
    virtual std::vector<events::PolicyValueRejected> take_rejected_values() = 0;
};

}  // namespace lichendrift::core
