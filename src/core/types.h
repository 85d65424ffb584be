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

// Dense indices stand for names everywhere inside; names are mapped at the door.
using JobIndex = std::uint32_t;
using TeamIndex = std::uint32_t;
using ZoneIndex = std::uint32_t;
using TypeIndex = std::uint32_t;
using ImageIndex = std::uint32_t;
using MachineIndex = std::uint32_t;
using AllocationIndex = std::uint32_t;
using ClassIndex = std::uint32_t;
inline constexpr std::uint32_t kInvalidIndex = std::numeric_limits<std::uint32_t>::max();

/// Fencing tokens that each term owns, one block. The leader raises the token of a single machine
/// inside its block, which ends every command sent there before, without asking the state service.
inline constexpr std::uint64_t kFencingTokensPerTerm = 1'000'000;

// Steady time in milliseconds since an arbitrary start.
using Millis = std::int64_t;

enum class Priority : std::uint8_t { Low, Normal, High, Critical };

// Resources on a machine in thousandths, so that sums are exact and never drift.
struct Resources {
    std::int64_t cpus = 0;
    std::int64_t gpus = 0;
    std::int64_t mem = 0;

    [[nodiscard]] bool covers(const Resources& need) const {
        return need.cpus <= cpus && need.gpus <= gpus && need.mem <= mem;
    }
    Resources& operator+=(const Resources& o) {
        cpus += o.cpus, gpus += o.gpus, mem += o.mem;
        return *this;
    }
    Resources& operator-=(const Resources& o) {
        cpus -= o.cpus, gpus -= o.gpus, mem -= o.mem;
        return *this;
    }
    [[nodiscard]] Resources times(std::int64_t n) const { return {cpus * n, gpus * n, mem * n}; }
    [[nodiscard]] std::int64_t fits(const Resources& need) const {
        std::int64_t n = std::numeric_limits<std::int32_t>::max();
        if (need.cpus > 0) n = std::min(n, cpus / need.cpus);
        if (need.gpus > 0) n = std::min(n, gpus / need.gpus);
        if (need.mem > 0) n = std::min(n, mem / need.mem);
        return n < 0 ? 0 : n;
    }
    auto operator<=>(const Resources&) const = default;
};

// Of a limit, 0 means none.
[[nodiscard]] inline bool exceeds(const Resources& used, const Resources& limit) {
    return (limit.cpus > 0 && used.cpus > limit.cpus) ||
           (limit.gpus > 0 && used.gpus > limit.gpus) || (limit.mem > 0 && used.mem > limit.mem);
}

class Names {
  public:
    std::uint32_t intern(std::string_view name) {
        if (auto it = index_.find(std::string(name)); it != index_.end()) return it->second;
        const auto index = static_cast<std::uint32_t>(names_.size());
        names_.emplace_back(name);
        index_.emplace(names_.back(), index);
        return index;
    }
    [[nodiscard]] std::uint32_t find(std::string_view name) const {
        auto it = index_.find(std::string(name));
        return it == index_.end() ? kInvalidIndex : it->second;
    }
    [[nodiscard]] const std::string& name(std::uint32_t index) const { return names_[index]; }
    [[nodiscard]] std::size_t size() const { return names_.size(); }

  private:
    std::vector<std::string> names_;
    std::unordered_map<std::string, std::uint32_t> index_;
};

struct Team {
    std::string name;
    Resources guarantee;  // 0: none
    Resources limit;      // 0: none
};

// A job as its user described it, before names become indices.
struct JobText {
    std::string id;
    std::string cls;
    std::string team;
    bool gang = false;
    bool service = false;  // its tasks run until the job is cancelled
    Priority priority = Priority::Normal;
    std::uint32_t count = 1;
    double cpus = 0, gpus = 0, mem_gb = 0;
    std::string image;
    double image_gb = 0;
    std::optional<std::vector<std::string>> types;
    std::optional<std::string> zone;
    bool one_zone = false;
    bool apart = false;
    bool spot = false;
    double estimate_s = 0;
    double checkpoint_s = 0;
    double save_s = 0;
    std::optional<double> deadline_s;
    std::int64_t submitted_ms = 0;  // time of day
};

// What is expected of a class of jobs: tasks started, or jobs done, within a time.
struct Objective {
    enum class Kind : std::uint8_t { Start, Finish, Deadline, Guarantee } kind = Kind::Start;
    std::string cls;  // empty: every class
    double within_s = 0;
};

struct MachineType {
    std::string name;
    Resources room;
    double local_gb = 0;
    double fetch_gb_s = 1;
    double hourly = 0;
    double spot_hourly = 0;
    double boot_s = 60;
    std::vector<std::string> zones;
    auto operator<=>(const MachineType&) const = default;
};

enum class TaskPhase : std::uint8_t { Pulling, Gathering, Running, Saving, Exited };
enum class ExitWhy : std::uint8_t { None, Done, Halted, Peers, Alone, Error, Full, Busy, Unknown };

struct TaskReport {
    std::string job;
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
    TaskPhase phase = TaskPhase::Running;
    ExitWhy why = ExitWhy::None;
    bool stored = false;
};

// What a worker says of its machine, in a beat or in the answer to a direct command.
struct Report {
    std::string machine;
    std::string endpoint;
    std::string type;
    std::string zone;
    bool spot = false;
    std::uint64_t session = 0;
    std::uint64_t seq = 0;
    std::uint64_t token = 0;
    std::optional<double> notice_s;
    std::vector<TaskReport> tasks;
};

struct Command {
    enum class Kind : std::uint8_t { Run, Halt, Reap };
    Kind kind = Kind::Run;
    std::string job;
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
    double grace_s = 0;
};

struct ListedMachine {
    std::string name;
    std::string endpoint;
    std::string type;
    std::string zone;
    bool spot = false;
    enum class State : std::uint8_t { Starting, Running, Failed } state = State::Starting;
    double age_s = 0;
};

// One task of a place record: where an attempt may be.
struct PlacedTask {
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
    std::string machine;
    std::uint64_t session = 0;
    auto operator<=>(const PlacedTask&) const = default;
};

// The value of one place record: a gang whole, or a chunk of an array.
struct PlacementRecord {
    std::uint64_t term = 0;
    std::uint64_t nonce = 0;  // tells an applied write from a lost one
    std::vector<PlacedTask> placed;
    std::vector<std::pair<std::uint32_t, std::uint32_t>> done;  // first, last
};

}  // namespace lichendrift::core
