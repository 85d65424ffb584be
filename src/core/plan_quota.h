// What a plan leaves of the teams' quotas.
#pragma once

#include "core/plan_types.h"

namespace lichendrift::core {

/// Counts what is in use against each team's limit, decisions of the plan included.
class QuotaTracker {
  public:
    /// Keeps a reference to the snapshot's teams.
    explicit QuotaTracker(const Snapshot& snapshot)
        : teams_(snapshot.teams), used_(snapshot.team_used) {}

    /// How many tasks of the job the team's limit lets start, at most `count`.
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
    /// Counts so many tasks of the job against its team's limit.
    void use(const JobSpec& spec, std::uint32_t count) {
        used_[spec.team] += spec.need.times(count);
    }

  private:
    const std::vector<Team>& teams_;
    std::vector<Resources> used_;
};

}  // namespace lichendrift::core
