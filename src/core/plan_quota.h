// The quota of each team that a plan has left.
#pragma once

#include "core/plan_types.h"

namespace lichendrift::core {

/// Counts the resources used against each team's limit, including those of the plan's decisions.
class QuotaTracker {
  public:
    /// Keeps a reference to the snapshot's teams, which have to outlive it.
    explicit QuotaTracker(const Snapshot& snapshot)
        : teams_(snapshot.teams), used_(snapshot.team_used) {}

    /// Returns how many of `count` tasks of the job fit into its team's limit.
    [[nodiscard]] std::uint32_t tasks_within_limit(const JobSpec& spec, std::uint32_t count) const {
        const Resources& limit = teams_[spec.team].limit;
        const Resources& used = used_[spec.team];
        std::int64_t tasks = count;
        if (limit.cpus > 0 && spec.need.cpus > 0) {
            tasks = std::min(tasks, (limit.cpus - used.cpus) / spec.need.cpus);
        }
        if (limit.gpus > 0 && spec.need.gpus > 0) {
            tasks = std::min(tasks, (limit.gpus - used.gpus) / spec.need.gpus);
        }
        return tasks < 0 ? 0 : static_cast<std::uint32_t>(tasks);
    }
    /// Counts `count` tasks of the job against its team's limit.
    void use(const JobSpec& spec, std::uint32_t count) {
        used_[spec.team] += spec.need.times(count);
    }

  private:
    const std::vector<Team>& teams_;
    std::vector<Resources> used_;
};

}  // namespace lichendrift::core
