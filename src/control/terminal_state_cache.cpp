// A bounded cache of the terminal states of jobs.
#include "control/terminal_state_cache.h"

namespace lichendrift::control {

namespace {

constexpr std::size_t kMaxEntries = 20'000;

}  // namespace

bool TerminalStateCache::insert(const std::string& job_id, TerminalState state) {
    if (!states_.emplace(job_id, state).second) return false;
    insertion_order_.push_back(job_id);
    if (insertion_order_.size() > kMaxEntries) {
        states_.erase(insertion_order_.front());
        insertion_order_.pop_front();
    }
    return true;
}

std::optional<TerminalState> TerminalStateCache::find(const std::string& job_id) const {
    const auto it = states_.find(job_id);
    if (it == states_.end()) return std::nullopt;
    return it->second;
}

}  // namespace lichendrift::control
