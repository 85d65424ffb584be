#pragma once

#include <tuple>
#include <unordered_map>

#include "core/policy.h"
#include "core/types.h"

namespace lichendrift::core {

// What placement looks at of a job, with names as indices.
struct JobSpec {
    ClassIndex cls = kInvalidIndex;
    TeamIndex team = kInvalidIndex;
    bool gang = false;
    bool service = false;  // replicas run until the job is cancelled
    Priority priority = Priority::Normal;
    std::uint32_t count = 1;
    Resources need;
    ImageIndex image = kInvalidIndex;
    double image_gb = 0;
    std::uint64_t types = ~0ULL;  // one bit for each type
    ZoneIndex zone = kInvalidIndex;
    bool one_zone = false;
    bool apart = false;
    bool spot = false;
    double estimate_s = 0;
    double checkpoint_s = 0;
    double save_s = 0;
    std::optional<double> deadline_s;
    std::int64_t submitted_ms = 0;
    bool soon = false;  // its class has an aim on starting
    Weights weights;
    Millis starving_ms = 60000;  // what waits longer goes first among equals and claims room
};

struct PlannerTuning {
    double warm_s = 20;            // arrivals of so long find a free place
    Millis starving_ms = 60000;    // a gang that waits longer, an array that waits twice as long,
                                   // goes first among equals and claims room
    bool claims = true;            // off in tests only
    std::size_t max_starving = 8;  // of each rank, those that waited longest
    std::uint32_t starving_tasks = 4;  // of an array, at a time: it begins, and others do as well
    double claimed_share = 0.3;        // of the fleet, for all claims together
    std::uint32_t spare_machines = 1;
    Millis drain_after_ms = 30000;  // work that ran less is not moved to empty a machine
    Millis drain_every_ms = 6000;
    double drain_share = 0.025;         // of the machines at work, emptied at a time
    Millis guarantee_keep_ms = 300000;  // without work, room for a guarantee is kept so long
};

struct MachineView {
    MachineIndex index = kInvalidIndex;
    TypeIndex type = kInvalidIndex;
    ZoneIndex zone = kInvalidIndex;
    bool spot = false;
    bool usable = false;   // up, heard from, may take work
    bool booting = false;  // will be usable
    Resources room;        // in all
    Resources free;        // counting all that may be on it
    Millis idle_ms = 0;    // since when nothing is on it
    Millis keep_ms = 0;    // how long it is kept like that
    Millis age_ms = 0;
    double boot_left_s = 0;
    std::vector<ImageIndex> images;
    std::vector<ImageIndex> fetching;
};

struct AllocationView {
    AllocationIndex index = kInvalidIndex;
    std::uint64_t attempt = 0;
    MachineIndex machine = kInvalidIndex;
    JobIndex job = kInvalidIndex;
    bool stopping = false;
    Millis ran_ms = 0;
    double left_s = 0;  // estimated rest
    double lost_s = 0;  // work lost if stopped now
};

struct ItemView {  // a job with tasks that wait
    JobIndex job = kInvalidIndex;
    std::uint32_t waiting = 0;
    bool in_guarantee = false;
    bool blocked = false;  // backing off: asks for no room now
    bool begun = false;    // a task of it was placed before
    Millis waited_ms = 0;
    double slack_s = 0;                      // until its deadline, less its estimate
    double order_s = 0;                      // among equals, smaller first
    double provision_patience_s = 20;        // a place that is free that soon needs no new machine
    double on_demand_patience_s = 60;        // the same before an ordinary machine is rented
    ZoneIndex zone = kInvalidIndex;          // where its other tasks are, with one_zone
    std::vector<std::uint32_t> zone_counts;  // with apart and for services; may be empty
    std::vector<MachineIndex> replicas_on;   // of a service: where its other replicas are
    std::vector<MachineIndex> avoid;
};

struct JobView {
    JobSpec spec;
    bool in_guarantee = false;
};

// A class whose tasks should start soon, and how many places to keep free for it.
struct WarmClass {
    JobSpec spec;
    std::uint32_t places = 0;
};

struct Snapshot {
    Millis now = 0;
    PlannerTuning tuning;
    std::vector<MachineView> machines;
    std::vector<AllocationView> allocations;
    std::vector<ItemView> items;
    std::unordered_map<JobIndex, JobView> jobs;
    std::vector<Resources> team_used;
    std::vector<Team> teams;
    std::vector<MachineType> types;
    std::vector<std::vector<ZoneIndex>> type_zones;
    std::size_t zones = 0;
    std::vector<WarmClass> warm_classes;
    std::vector<ImageIndex> warm_images;  // of classes whose tasks should start soon
    double guarantee_s = 0;               // how soon guaranteed work should start; 0: no such aim
    Resources kept_guarantee;             // of the teams that had work not long ago
    bool may_drain = true;                // the last machine was emptied long enough ago
    std::vector<std::tuple<TypeIndex, ZoneIndex, bool>> refused;
};

struct Start {
    JobIndex job = kInvalidIndex;
    std::vector<MachineIndex> machines;  // one for each task
    double score = 0;
    std::vector<ZoneIndex> rejected;  // candidate zones that did not fit the whole
};

struct Provision {
    TypeIndex type = kInvalidIndex;
    ZoneIndex zone = kInvalidIndex;
    bool spot = false;
    std::uint32_t number = 0;
};

struct Plan {
    std::vector<Start> starts;
    std::vector<std::pair<AllocationIndex, std::uint64_t>> stops;  // with the attempt meant
    std::vector<JobIndex> stops_for;  // for each stop, who gets the room
    std::vector<Provision> provisions;
    std::vector<MachineIndex> releases;
    std::vector<MachineIndex> drains;  // emptied, then returned
    bool short_of_room = false;        // something that may run found no place
    Millis taken_at = 0;               // when its snapshot was taken
    std::uint64_t steps = 0;           // machines and allocations looked at: what the plan cost
};

// The placement rule of the design: each gang whole per candidate zone, tightest fit, victims of
// lower rank when it must; like tasks as a class. Pure and deterministic.
Plan make_plan(const Snapshot& snapshot);

}  // namespace lichendrift::core
