/// Plain types that the whole project shares: resources, names as indices, jobs, reports, commands.
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

// Dense indices stand for names in the cluster state; names are mapped where they come in.
using JobIndex = std::uint32_t;         ///< of a job; never used again
using TeamIndex = std::uint32_t;        ///< of a team in the settings
using ZoneIndex = std::uint32_t;        ///< of a zone
using TypeIndex = std::uint32_t;        ///< of a machine type
using ImageIndex = std::uint32_t;       ///< of a container image
using MachineIndex = std::uint32_t;     ///< of a machine; used again after its release
using AllocationIndex = std::uint32_t;  ///< of an allocation; used again after its end
using ClassIndex = std::uint32_t;       ///< of a class of jobs
/// None of them.
inline constexpr std::uint32_t kInvalidIndex = std::numeric_limits<std::uint32_t>::max();

/// Fencing tokens that each term owns, one block. The leader raises the token of a single machine
/// inside its block, which ends every command sent there before, without asking the state service.
inline constexpr std::uint64_t kFencingTokensPerTerm = 1'000'000;

/// Machine types that a job's constraint can name, one bit for each.
inline constexpr std::uint32_t kMaxTypes = 64;

/// Steady time in milliseconds since an arbitrary start, or a length of time.
using Millis = std::int64_t;

/// Rank of a job; a higher one may preempt a lower one.
enum class Priority : std::uint8_t {
    Low,      ///< goes last
    Normal,   ///< unless said otherwise
    High,     ///< before Normal
    Critical  ///< its records are written first
};

/// Resources in thousandths, so that sums are exact and never drift.
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
    /// Takes resources away; the result may be negative.
    Resources& operator-=(const Resources& other) {
        cpus -= other.cpus, gpus -= other.gpus, mem -= other.mem;
        return *this;
    }
    /// The resources of `count` alike tasks.
    [[nodiscard]] Resources times(std::int64_t count) const {
        return {cpus * count, gpus * count, mem * count};
    }
    /// How many tasks with this need fit into these resources.
    [[nodiscard]] std::int64_t fits(const Resources& need) const {
        std::int64_t count = std::numeric_limits<std::int32_t>::max();
        if (need.cpus > 0) count = std::min(count, cpus / need.cpus);
        if (need.gpus > 0) count = std::min(count, gpus / need.gpus);
        if (need.mem > 0) count = std::min(count, mem / need.mem);
        return count < 0 ? 0 : count;
    }
    /// By processors, accelerators, then memory.
    auto operator<=>(const Resources&) const = default;
};

/// Whether a limit is exceeded; of a limit, 0 means none.
[[nodiscard]] inline bool exceeds(const Resources& used, const Resources& limit) {
    return (limit.cpus > 0 && used.cpus > limit.cpus) ||
           (limit.gpus > 0 && used.gpus > limit.gpus) || (limit.mem > 0 && used.mem > limit.mem);
}

/// Names of one kind as dense indices.
class NameTable {
  public:
    /// The index of a name, which gets one if it has none.
    std::uint32_t intern(std::string_view name) {
        if (auto it = index_.find(std::string(name)); it != index_.end()) return it->second;
        const auto index = static_cast<std::uint32_t>(names_.size());
        names_.emplace_back(name);
        index_.emplace(names_.back(), index);
        return index;
    }
    /// The index of a name; kInvalidIndex: it has none.
    [[nodiscard]] std::uint32_t find(std::string_view name) const {
        auto it = index_.find(std::string(name));
        return it == index_.end() ? kInvalidIndex : it->second;
    }
    /// The name with this index.
    [[nodiscard]] const std::string& name(std::uint32_t index) const { return names_[index]; }
    /// How many names have an index.
    [[nodiscard]] std::size_t size() const { return names_.size(); }

  private:
    std::vector<std::string> names_;
    std::unordered_map<std::string, std::uint32_t> index_;
};

/// A team with its quota.
struct Team {
    std::string name;     ///< as in the settings
    Resources guarantee;  ///< of each resource; 0: none
    Resources limit;      ///< of each resource; 0: none
};

/// A job as its user described it, before names become indices.
struct JobDescription {
    std::string id;                                 ///< unique for ever
    std::string cls;                                ///< its class
    std::string team;                               ///< whose quota it counts against
    bool gang = false;                              ///< its tasks start together or not at all
    bool service = false;                           ///< its tasks run until the job is cancelled
    Priority priority = Priority::Normal;           ///< its rank
    std::uint32_t count = 1;                        ///< number of tasks
    double cpus = 0;                                ///< processors of one task
    double gpus = 0;                                ///< accelerators of one task
    double mem_gb = 0;                              ///< memory of one task, GB
    std::string image;                              ///< container image
    double image_gb = 0;                            ///< its size, GB
    std::optional<std::vector<std::string>> types;  ///< allowed machine types; none: all
    std::optional<std::string> zone;                ///< the only zone allowed; none: any
    bool one_zone = false;                          ///< all tasks in one zone
    bool spread_zones = false;                      ///< at most half of the tasks in one zone
    bool spot = false;                              ///< may use spot machines
    double estimate_s = 0;                          ///< how long a task runs, seconds
    double checkpoint_s = 0;           ///< interval between checkpoints, seconds; 0: none
    double save_s = 0;                 ///< time that a checkpoint takes, seconds
    std::optional<double> deadline_s;  ///< from the submission, seconds
    std::int64_t submitted_ms = 0;     ///< time of day
};

/// What is expected of a class of jobs: tasks started, or jobs done, within a time.
struct Objective {
    /// What has to come within the time.
    enum class Kind : std::uint8_t {
        Start,             ///< the start of tasks
        Finish,            ///< the end of the job
        Deadline,          ///< the end of the job within its own deadline
        Guarantee          ///< the start of work within a guarantee
    } kind = Kind::Start;  ///< what it asks for
    std::string cls;       ///< empty: every class
    double within_s = 0;   ///< seconds from the submission
};

/// Boot time of a machine type for which the cloud gives none, seconds.
inline constexpr double kDefaultBootS = 60;

/// A machine type that the cloud offers.
struct MachineType {
    std::string name;                ///< the cloud's name
    Resources capacity;              ///< of one machine
    double local_gb = 0;             ///< local disk, GB
    double fetch_gb_s = 1;           ///< fetches images so fast, GB a second
    double hourly = 0;               ///< price of an on-demand machine
    double spot_hourly = 0;          ///< price of a spot machine
    double boot_s = kDefaultBootS;   ///< from the request to the first report, seconds
    std::vector<std::string> zones;  ///< where it can be provisioned
    /// Field by field.
    auto operator<=>(const MachineType&) const = default;
};

/// What a task does, as its worker reports it.
enum class TaskPhase : std::uint8_t {
    Pulling,          ///< fetches its image
    WaitingForPeers,  ///< of a gang: waits for its peers
    Running,          ///< runs
    Saving,           ///< was halted and saves its progress
    Exited            ///< has ended; reported until it is reaped
};
/// How a task has ended, in the worker's terms (operators' protocol page).
enum class ExitReason : std::uint8_t {
    None,                   ///< it has not
    Done,                   ///< completed
    Halted,                 ///< by a command
    PeerExited,             ///< a peer of its gang has ended
    PeersMissing,           ///< its peers did not come in time
    Error,                  ///< failed
    InsufficientResources,  ///< not started: the machine lacks the resources
    OtherAttemptPresent,    ///< not started: another attempt of it is there
    Unknown  ///< not started: the worker knows no such task; or a reason new to this version
};

/// One task in a report.
struct TaskReport {
    std::string job;                            ///< id of its job
    std::uint32_t task = 0;                     ///< number within the job
    std::uint64_t attempt = 0;                  ///< which attempt
    TaskPhase phase = TaskPhase::Running;       ///< what it does
    ExitReason exit_reason = ExitReason::None;  ///< how it ended, if it has
    bool progress_saved = false;                ///< its progress is saved
};

/// What a worker reports of its machine, in a heartbeat or in the response to a direct command.
struct Report {
    std::string machine;             ///< name of the machine
    std::string endpoint;            ///< address of its worker
    std::string type;                ///< machine type
    std::string zone;                ///< zone
    bool spot = false;               ///< a spot machine
    std::uint64_t session = 0;       ///< rises when the worker has killed and forgotten all tasks
    std::uint64_t seq = 0;           ///< rises with each report of a session
    std::uint64_t token = 0;         ///< highest fencing token that the worker has seen
    std::optional<double> notice_s;  ///< spot notice: seconds until the cloud takes the machine
    std::vector<TaskReport> tasks;   ///< all tasks there that are not reaped
};

/// One command for a worker.
struct Command {
    /// What to do with the attempt.
    enum class Kind : std::uint8_t {
        Run,   ///< start it
        Halt,  ///< stop it
        Reap   ///< forget that it has exited
    };
    Kind kind = Kind::Run;      ///< what to do
    std::string job;            ///< id of the job
    std::uint32_t task = 0;     ///< number within the job
    std::uint64_t attempt = 0;  ///< which attempt
    double grace_s = 0;         ///< time that a halt leaves it to save, seconds
};

/// One machine in the cloud's list.
struct ListedMachine {
    std::string name;      ///< the cloud's name
    std::string endpoint;  ///< address of its worker; empty: not known yet
    std::string type;      ///< machine type
    std::string zone;      ///< zone
    bool spot = false;     ///< a spot machine
    /// What the cloud knows of it.
    enum class State : std::uint8_t {
        Starting,               ///< boots
        Running,                ///< has booted
        Failed                  ///< has not booted, or has failed
    } state = State::Starting;  ///< what the cloud knows of it
    double age_s = 0;           ///< since it was provisioned, seconds
};

/// One task of a placement record: where an attempt may be.
struct PlacedTask {
    std::uint32_t task = 0;     ///< number within the job
    std::uint64_t attempt = 0;  ///< which attempt
    std::string machine;        ///< name of the machine
    std::uint64_t session = 0;  ///< session of its worker
    /// Field by field.
    auto operator<=>(const PlacedTask&) const = default;
};

/// The value of one placement record: a gang whole, or a part of an array.
struct PlacementRecord {
    std::uint64_t term = 0;          ///< fencing token of the leader that wrote it
    std::uint64_t nonce = 0;         ///< tells a write that was executed from a lost one
    std::vector<PlacedTask> placed;  ///< attempts that may be on machines
    std::vector<std::pair<std::uint32_t, std::uint32_t>> done;  ///< ranges of tasks: first, last
};

}  // namespace lichendrift::core
