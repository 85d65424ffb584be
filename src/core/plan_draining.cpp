// Machines that are given up: emptied ones and idle ones.
#include <algorithm>

#include "core/plan_builder.h"

namespace lichendrift::core {

bool PlanBuilder::can_empty(std::size_t i) {
    std::vector<std::pair<std::size_t, Resources>> use;
    const auto release = [&] {
        for (auto& [at, need] : use) free_[at] += need;
        return false;
    };
    for (auto k = allocations_from_[i]; k < allocations_from_[i + 1]; ++k) {
        const auto& view = s_.allocations[allocations_list_[k]];
        const auto& sp = allocation_job_[allocations_list_[k]]->spec;
        if (view.remaining_s < 40) continue;
        // A replica keeps its zone, so that what has to be apart stays so.
        const bool replica_moves = sp.service && view.ran_ms > kReplicaSettled;
        const bool moves =
            replica_moves ||
            (sp.checkpoint_s > 0 && sp.spot && sp.save_s < 10 && !sp.apart &&
             view.ran_ms > s_.tuning.min_run_before_drain_ms && view.remaining_s > 60);
        if (!moves) return release();
        const auto to = place_to_move(i, sp, view.remaining_s);
        if (to == machines_.size()) return release();
        use.emplace_back(to, sp.need);
        free_[to] -= sp.need;
    }
    for (auto& [at, need] : use) reserved_[at] = true;
    return true;
}

std::size_t PlanBuilder::place_to_move(std::size_t i, const JobSpec& sp, double left_s) {
    auto same = machines_.size();
    for (std::size_t o = 0; o < machines_.size(); ++o) {
        ++plan_.steps;
        const auto& other = machines_[o];
        if (!free_[o].covers(sp.need) || o == i || !other.usable || claimed_[o]) continue;
        if (emptied_[o] || !allows(sp, other) || hourly(o) > hourly(i)) continue;
        // The rest of its gang stays where it is.
        const bool bound = (sp.one_zone && sp.count > 1) || sp.service;
        if (bound && other.zone != machines_[i].zone) continue;
        // A fetch there has to be small beside what is left to run.
        if (fetch_s(sp, o) > left_s * kFetchToMove) continue;
        if (hourly(o) < hourly(i)) return o;
        const bool in_use = allocations_from_[o] != allocations_from_[o + 1] || reserved_[o];
        if (in_use && same == machines_.size()) same = o;
    }
    return same;
}

void PlanBuilder::drain_some() {
    plan_.capacity_short = !demands_.empty();
    if (!demands_.empty() || !plan_.preemptions.empty() || !s_.may_drain) return;
    std::vector<std::tuple<double, std::size_t, std::size_t>> order;
    for (std::size_t i = 0; i < machines_.size(); ++i) {
        const auto& m = machines_[i];
        const auto allocations = allocations_from_[i + 1] - allocations_from_[i];
        if (!m.usable || reserved_[i] || claimed_[i] || allocations == 0) continue;
        if (m.age_ms < 60000 || kept_for_guarantees(i)) continue;
        order.emplace_back(-hourly(i), allocations, i);
    }
    const auto limit = 1 + static_cast<std::size_t>(s_.tuning.max_drained_share *
                                                    static_cast<double>(order.size()));
    const auto tried = std::min(order.size(), kMaxDrainTried + 2 * limit);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(tried),
                      order.end());
    emptied_.assign(machines_.size(), 0);
    for (std::size_t k = 0; k < tried && plan_.drains.size() < limit; ++k) {
        const auto i = std::get<2>(order[k]);
        if (reserved_[i] || kept_for_guarantees(i)) continue;
        emptied_[i] = 1;
        if (can_empty(i)) {
            plan_.drains.push_back(machines_[i].index);
            scaled_in_ += machines_[i].capacity;
        } else {
            emptied_[i] = 0;
        }
    }
}

void PlanBuilder::return_idle() {
    // Resources kept warm: the cheapest idle machines stay, the dear ones go first.
    std::vector<std::size_t> idle;
    for (std::size_t i = 0; i < machines_.size(); ++i) {
        const auto& m = machines_[i];
        if (!m.usable || reserved_[i] || claimed_[i] ||
            allocations_from_[i] != allocations_from_[i + 1]) {
            continue;
        }
        if (m.idle_ms < m.idle_retention_ms || m.age_ms < 60000) continue;
        idle.push_back(i);
    }
    std::stable_sort(idle.begin(), idle.end(),
                     [&](auto a, auto b) { return hourly(a) > hourly(b); });
    // A spare one may be what the cloud has no second of for those that wait.
    const auto spare = demands_.empty() ? s_.tuning.spare_machines : 0;
    for (std::size_t k = 0; k + spare < idle.size(); ++k) {
        if (kept_for_guarantees(idle[k])) continue;
        scaled_in_ += machines_[idle[k]].capacity;
        plan_.releases.push_back(machines_[idle[k]].index);
    }
}

}  // namespace lichendrift::core
