// Drains machines whose tasks fit on other machines, to save cost.
#include "core/plan_drain.h"

namespace lichendrift::core {

namespace {

// A plan examines this many machines, plus two for each that it may drain.
constexpr std::size_t kBaseMachinesTried = 16;
// Tasks that end within kEndsSoonS are left to finish. A task with checkpoints is moved only if it
// has more than kMinRemainingToMoveS left and saves a checkpoint in less than kMaxSaveToMoveS.
constexpr double kEndsSoonS = 40;
constexpr double kMinRemainingToMoveS = 60;
constexpr double kMaxSaveToMoveS = 10;
// Fetching the image may take at most this share of the task's remaining run time.
constexpr double kMaxFetchShare = 0.12;
// A service replica is moved only after running for longer than this.
constexpr Millis kMinReplicaRunMs = 600'000;

}  // namespace

void DrainPhase::run() {
    const auto& plan = state_.plan;
    if (plan.capacity_short || !plan.preemptions.empty() || !state_.snapshot.may_drain) return;
    auto order = candidates();
    const auto limit = 1 + static_cast<std::size_t>(state_.snapshot.tuning.max_drained_share *
                                                    static_cast<double>(order.size()));
    const auto tried = std::min(order.size(), kBaseMachinesTried + 2 * limit);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(tried),
                      order.end());
    drained_.assign(state_.snapshot.machines.size(), 0);
    for (std::size_t k = 0; k < tried && plan.drains.size() < limit; ++k) {
        const auto at = order[k].machine;
        if (state_.capacity.in_use(at) || guaranteed_.needs(at)) continue;
        drained_[at] = 1;
        if (!find_moves(at)) {
            drained_[at] = 0;
            continue;
        }
        state_.plan.drains.push_back(state_.snapshot.machines[at].index);
        guaranteed_.remove(at);
    }
}

std::vector<DrainPhase::Candidate> DrainPhase::candidates() const {
    const auto& machines = state_.snapshot.machines;
    std::vector<Candidate> result;
    for (MachinePosition at = 0; at < machines.size(); ++at) {
        const auto allocations = state_.allocations.on_machine(at).size();
        if (!machines[at].usable || allocations == 0) continue;
        if (state_.capacity.in_use(at) || state_.capacity.reserved(at)) continue;
        if (machines[at].age_ms < kMinMachineAgeMs || guaranteed_.needs(at)) continue;
        result.push_back({hourly(at), allocations, at});
    }
    return result;
}

// Whether each task of the machine ends soon or fits on another machine. If so, takes the capacity
// for the moves; otherwise gives it back.
bool DrainPhase::find_moves(MachinePosition from) {
    moves_.clear();
    bool all_fit = true;
    for (const auto at : state_.allocations.on_machine(from)) {
        if (state_.allocations.view(at).remaining_s < kEndsSoonS) continue;
        const auto to = can_move(at) ? find_target(at) : drained_.size();
        all_fit = to != drained_.size();
        if (!all_fit) break;
        moves_.push_back({to, state_.allocations.resources(at)});
        state_.capacity.take_on_trial(to, moves_.back().resources);
    }
    for (const auto& move : moves_) {
        if (all_fit) {
            state_.capacity.mark_in_use(move.to);
        } else {
            state_.capacity.undo_trial(move.to, move.resources);
        }
    }
    return all_fit;
}

// Whether the task loses little work if it is moved.
bool DrainPhase::can_move(AllocationPosition at) const {
    const auto& view = state_.allocations.view(at);
    const auto& spec = state_.allocations.job(at).spec;
    if (spec.service && view.ran_ms > kMinReplicaRunMs) return true;
    return spec.checkpoint_s > 0 && spec.spot && spec.save_s < kMaxSaveToMoveS &&
           !spec.spread_zones && view.ran_ms > state_.snapshot.tuning.min_run_before_drain_ms &&
           view.remaining_s > kMinRemainingToMoveS;
}

// Returns a cheaper machine, or else one in use at the same price; the number of machines if there
// is none.
MachinePosition DrainPhase::find_target(AllocationPosition at) {
    const auto from = state_.allocations.machine(at);
    const auto count = state_.snapshot.machines.size();
    auto same_price = count;
    for (MachinePosition to = 0; to < count; ++to) {
        state_.count_step();
        if (!is_valid_target(to, at)) continue;
        if (hourly(to) < hourly(from)) return to;
        const bool in_use =
            !state_.allocations.on_machine(to).empty() || state_.capacity.in_use(to);
        if (in_use && same_price == count) same_price = to;
    }
    return same_price;
}

bool DrainPhase::is_valid_target(MachinePosition to, AllocationPosition at) const {
    const auto from = state_.allocations.machine(at);
    const auto& spec = state_.allocations.job(at).spec;
    const auto& machine = state_.snapshot.machines[to];
    if (!state_.capacity.free(to).covers(spec.need) || to == from || !machine.usable) return false;
    if (state_.capacity.reserved(to) || drained_[to] != 0) return false;
    if (!MachineFilter::allows(spec, machine) || hourly(to) > hourly(from)) return false;
    // A task of a job with `one_zone` has to stay in the zone of the job's other tasks. A service
    // replica keeps its zone, so that the spread of the replicas over the zones stays as it is.
    const bool bound_to_zone = (spec.one_zone && spec.count > 1) || spec.service;
    if (bound_to_zone && machine.zone != state_.snapshot.machines[from].zone) return false;
    const auto remaining_s = state_.allocations.view(at).remaining_s;
    return state_.fetches.fetch_s(spec, to) <= remaining_s * kMaxFetchShare;
}

}  // namespace lichendrift::core
