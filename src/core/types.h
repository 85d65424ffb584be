/// Plain types that the whole project shares: resources, name tables, jobs, worker reports and
/// commands.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/safety_guards.h"

namespace lichendrift::core {

// The cluster state refers to named entities by dense indices; a name is converted to its index
// when it enters the cluster state.
using JobIndex = std::uint32_t;         ///< of a job; never reused
using TeamIndex = std::uint32_t;        ///< of a team in the settings
using ZoneIndex = std::uint32_t;        ///< of a zone
using TypeIndex = std::uint32_t;        ///< of a machine type
using ImageIndex = std::uint32_t;       ///< of a container image
using MachineIndex = std::uint32_t;     ///< of a machine; reused after its release
using AllocationIndex = std::uint32_t;  ///< of an allocation; reused after its end
using ClassIndex = std::uint32_t;       ///< of a job class
/// The value of an index that refers to nothing.
inline constexpr std::uint32_t kInvalidIndex = std::numeric_limits<std::uint32_t>::max();

/// Number of fencing tokens in the block that each term owns. The leader invalidates all commands
/// sent to a machine so far by raising that machine's token within the block. This needs no write
/// to the state service.
inline constexpr std::uint64_t kFencingTokensPerTerm = 1'000'000;

/// Number of machine types that the type constraint of a job can name; it is a bit mask.
inline constexpr std::uint32_t kMaxTypes = 64;

/// Steady-clock time in milliseconds since an arbitrary origin, or a duration in milliseconds.
using Millis = std::int64_t;

/// Priority of a job. A job may preempt tasks of jobs with a lower priority.
enum class Priority : std::uint8_t {
    Low,      ///< lowest priority
    Normal,   ///< the default
    High,     ///< preferred over Normal
    Critical  ///< highest; its placement records and those of services are written first
};

/// Amounts of resources as integers in thousandths of a unit, so that sums are exact.
struct Resources {
    std::int64_t cpus = 0;  ///< thousandths of a processor
    std::int64_t gpus = 0;  ///< thousandths of an accelerator
    std::int64_t mem = 0;   ///< thousandths of a gigabyte

    /// Whether `need` fits into these resources.
    [[nodiscard]] bool covers(const Resources& need) const {
        return need.cpus <= cpus && need.gpus <= gpus && need.mem <= mem;
    }
    /// Adds resources.
    Resources& operator+=(const Resources& other) {
        cpus += other.cpus, gpus += other.gpus, mem += other.mem;
        return *this;
    }
    /// Subtracts resources; the result may be negative.
    Resources& operator-=(const Resources& other) {
        cpus -= other.cpus, gpus -= other.gpus, mem -= other.mem;
        return *this;
    }
    /// The resources that `count` tasks of this size need together.
    [[nodiscard]] Resources times(std::int64_t count) const {
        return {cpus * count, gpus * count, mem * count};
    }
    /// How many tasks with this need fit into these resources.
    [[nodiscard]] std::int64_t tasks_that_fit(const Resources& need) const {
        std::int64_t count = std::numeric_limits<std::int32_t>::max();
        if (need.cpus > 0) count = std::min(count, cpus / need.cpus);
        if (need.gpus > 0) count = std::min(count, gpus / need.gpus);
        if (need.mem > 0) count = std::min(count, mem / need.mem);
        return count < 0 ? 0 : count;
    }
    /// Orders by processors, then accelerators, then memory.
    auto operator<=>(const Resources&) const = default;
};

/// Whether `used` exceeds `limit` in any resource. A limit of 0 means that the resource is
/// unlimited.
[[nodiscard]] inline bool exceeds(const Resources& used, const Resources& limit) {
    return (limit.cpus > 0 && used.cpus > limit.cpus) ||
           (limit.gpus > 0 && used.gpus > limit.gpus) || (limit.mem > 0 && used.mem > limit.mem);
}

/// Assigns dense indices to the names of one kind of entity, in the order in which they are added.
class NameTable {
  public:
    /// The index of a name. A name that has none is added.
    std::uint32_t intern(std::string_view name) {
        if (auto it = index_.find(std::string(name)); it != index_.end()) return it->second;
        const auto index = static_cast<std::uint32_t>(names_.size());
        names_.emplace_back(name);
        index_.emplace(names_.back(), index);
        return index;
    }
    /// The index of a name, or kInvalidIndex if it has none.
    [[nodiscard]] std::uint32_t find(std::string_view name) const {
        auto it = index_.find(std::string(name));
        return it == index_.end() ? kInvalidIndex : it->second;
    }
    /// The name with this index, which must have been assigned.
    [[nodiscard]] const std::string& name(std::uint32_t index) const { return names_[index]; }
    /// Number of names that have an index.
    [[nodiscard]] std::size_t size() const { return names_.size(); }

  private:
    std::vector<std::string> names_;
    std::unordered_map<std::string, std::uint32_t> index_;
};

/// A team with its quota.
struct Team {
    std::string name;     ///< as in the settings
    Resources guarantee;  ///< guaranteed amount of each resource; 0: none
    Resources limit;      ///< upper bound on each resource; 0: unlimited
};

/// A job as its user described it, with names where JobSpec has indices.
struct JobDescription {
    std::string id;                        ///< unique, never reused
    std::string cls;                       ///< name of its class
    std::string team;                      ///< team whose quota its tasks count against
    bool gang = false;                     ///< gang scheduling: all tasks start together or none
    bool service = false;                  ///< its replicas run until the job is cancelled
    Priority priority = Priority::Normal;  ///< priority in placement and preemption
    std::uint32_t count = 1;               ///< number of tasks
    double cpus = 0;                       ///< processors of one task
    double gpus = 0;                       ///< accelerators of one task
    double mem_gb = 0;                     ///< memory of one task, GB
    std::string image;                     ///< container image
    double image_gb = 0;                   ///< size of the image, GB
    std::optional<std::vector<std::string>> types;  ///< allowed machine types; not set: all
    std::optional<std::string> zone;                ///< required zone; not set: any
    bool one_zone = false;                          ///< all tasks in the same zone
    bool spread_zones = false;         ///< at most half of the tasks, rounded up, in one zone
    bool spot = false;                 ///< may run on spot machines
    double estimate_s = 0;             ///< estimated run time of a task, seconds
    double checkpoint_s = 0;           ///< interval between checkpoints, seconds; 0: it saves none
    double save_s = 0;                 ///< time that saving a checkpoint takes, seconds
    std::optional<double> deadline_s;  ///< seconds from the submission; not set: none
    std::int64_t submitted_ms = 0;     ///< wall-clock submission time, ms since 1970 (UTC)
};

/// A service-level objective of a class of jobs: tasks start, or jobs finish, within some time.
struct Objective {
    /// The event that has to occur within the time.
    enum class Kind : std::uint8_t {
        Start,             ///< tasks start
        Finish,            ///< the job finishes
        Deadline,          ///< the job finishes by its own deadline
        Guarantee          ///< work within a team's guarantee starts
    } kind = Kind::Start;  ///< the event that has to occur in time
    std::string cls;       ///< class that it applies to; empty: every class
    double within_s = 0;   ///< seconds from the submission
};

/// Boot time assumed for a machine type for which the cloud reports none, seconds.
inline constexpr double kDefaultBootS = 60;

/// A machine type that the cloud offers.
struct MachineType {
    std::string name;                ///< the cloud's name
    Resources capacity;              ///< resources of one machine
    double local_gb = 0;             ///< local disk, GB
    double fetch_gb_s = 1;           ///< download rate for images, GB per second
    double hourly = 0;               ///< price of an on-demand machine for an hour
    double spot_hourly = 0;          ///< price of a spot machine for an hour
    double boot_s = kDefaultBootS;   ///< from the provisioning request to the first report, seconds
    std::vector<std::string> zones;  ///< zones in which it can be provisioned
    /// Compares member by member.
    auto operator<=>(const MachineType&) const = default;
};

/// State of a task as its worker reports it.
enum class TaskPhase : std::uint8_t {
    Pulling,          ///< pulling its image
    WaitingForPeers,  ///< task of a gang, waiting for the other tasks of the gang
    Running,          ///< running
    Saving,           ///< halted, saving its progress
    Exited            ///< exited; reported until the leader sends a reap command
};
/// Why a task has exited, in the terms of the worker (operators' protocol page).
enum class ExitReason : std::uint8_t {
    None,                   ///< it has not exited
    Done,                   ///< completed
    Halted,                 ///< halted by a command
    PeerExited,             ///< another task of its gang has exited
    PeersMissing,           ///< the other tasks of its gang did not get ready in time
    Error,                  ///< failed
    InsufficientResources,  ///< not started: the machine lacks the resources
    OtherAttemptPresent,    ///< not started: another attempt of the task is on the machine
    Unknown  ///< not started, as the worker does not know it; or a reason new to this version
};

/// State of one task in a report.
struct TaskReport {
    std::string job;                            ///< id of its job
    std::uint32_t task = 0;                     ///< number within the job
    std::uint64_t attempt = 0;                  ///< which attempt
    TaskPhase phase = TaskPhase::Running;       ///< state of the task
    ExitReason exit_reason = ExitReason::None;  ///< why it exited, if it has
    bool progress_saved = false;                ///< its progress is saved
};

/// A worker's report on its machine, in a heartbeat or in the response to a direct command.
struct Report {
    std::string machine;        ///< name of the machine
    std::string endpoint;       ///< address of its worker
    std::string type;           ///< machine type
    std::string zone;           ///< zone
    bool spot = false;          ///< a spot machine
    std::uint64_t session = 0;  ///< increases when the worker has killed and forgotten all tasks
    std::uint64_t seq = 0;      ///< increases with each report of a session
    std::uint64_t token = 0;    ///< highest fencing token that the worker has seen
    std::optional<double> notice_s;  ///< spot notice: seconds until the cloud reclaims the machine
    std::vector<TaskReport> tasks;   ///< all tasks on the machine, with exited ones until reaped
};

/// One command for a worker.
struct Command {
    /// The action on the attempt.
    enum class Kind : std::uint8_t {
        Run,   ///< start it
        Halt,  ///< stop it
        Reap   ///< forget the exited attempt: it is not reported any more
    };
    Kind kind = Kind::Run;      ///< the action on the attempt
    std::string job;            ///< id of the job
    std::uint32_t task = 0;     ///< number within the job
    std::uint64_t attempt = 0;  ///< which attempt
    double grace_s = 0;         ///< time that a halt leaves the task to save its progress, seconds
};

/// One machine in the cloud's list.
struct ListedMachine {
    std::string name;      ///< the cloud's name
    std::string endpoint;  ///< address of its worker; empty: not known yet
    std::string type;      ///< machine type
    std::string zone;      ///< zone
    bool spot = false;     ///< a spot machine
    /// State of the machine, as the cloud sees it.
    enum class State : std::uint8_t {
        Starting,               ///< booting
        Running,                ///< has booted
        Failed                  ///< did not boot, or has failed
    } state = State::Starting;  ///< state of the machine
    double age_s = 0;           ///< time since it was provisioned, seconds
};

/// One entry of a placement record: an attempt of a task and the machine on which it may be.
struct PlacedTask {
    std::uint32_t task = 0;     ///< number within the job
    std::uint64_t attempt = 0;  ///< which attempt
    std::string machine;        ///< name of the machine
    std::uint64_t session = 0;  ///< session of its worker
    /// Compares member by member.
    auto operator<=>(const PlacedTask&) const = default;
};

/// The value of one placement record, which covers a range of the tasks of a job.
struct PlacementRecord {
    std::uint64_t term = 0;  ///< fencing token of the leader that wrote it
    /// Identifies the write: reading it back shows whether an unanswered write was executed.
    std::uint64_t nonce = 0;
    std::vector<PlacedTask> placed;  ///< attempts that may be on machines
    /// Completed tasks, as ranges: first, last.
    std::vector<std::pair<std::uint32_t, std::uint32_t>> done;
};

}  // namespace lichendrift::core
