// A bounded cache of the terminal states of jobs.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "control/terminal_state.h"

namespace lichendrift::control {

/// Caches the terminal states that this node has learned of and evicts the oldest first. Entries
/// never become stale, because a terminal state never changes. A missing entry means nothing: the
/// job may still have a terminal state.
class TerminalStateCache {
  public:
    /// Adds the terminal state of a job. Returns false, and changes nothing, if one is cached.
    bool insert(const std::string& job_id, TerminalState state);
    /// The terminal state of a job, if it is cached.
    [[nodiscard]] std::optional<TerminalState> find(const std::string& job_id) const;
    /// Whether the terminal state of a job is cached.
    [[nodiscard]] bool contains(const std::string& job_id) const {
        return states_.contains(job_id);
    }

  private:
    std::unordered_map<std::string, TerminalState> states_;
    std::deque<std::string> insertion_order_;
};

}  // namespace lichendrift::control
