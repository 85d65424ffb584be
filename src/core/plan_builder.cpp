// The snapshot made ready for trials, the order of the waiting jobs, the course of a plan.
#include "core/plan_builder.h"

#include <algorithm>

namespace lichendrift::core {

PlanBuilder::PlanBuilder(const Snapshot& snapshot)
    : s_(snapshot), machines_(snapshot.machines), used_(snapshot.team_used) {
    const auto n = machines_.size();
    free_.reserve(n);
    MachineIndex last = 0;
    for (const auto& m : machines_) {
        free_.push_back(m.free);
        last = std::max(last, m.index);
        total_ += m.capacity;
    }
    releasing_.resize(n);
    claimed_.resize(n);
    reserved_.resize(n);
    planned_fetch_.resize(n);
    position_.resize(n == 0 ? 0 : last + 1);
    for (std::size_t i = 0; i < n; ++i) position_[machines_[i].index] = i;
    for (const auto& item : s_.waiting_jobs) {
        longest_patience_ = std::max(longest_patience_, item.on_demand_patience_s);
    }
    index_allocations();
    max_hourly_ = 1e-9;
    for (const auto& type : s_.types) max_hourly_ = std::max(max_hourly_, type.hourly);
    index_items();
    index_room();
}

Plan PlanBuilder::run() {
    for (const auto* item : order()) {
        if (!warm_reserved_ && !spec(*item).has_start_objective && item->slack_s > 15) {
            keep_warm(*item);
        }
        if (spec(*item).gang) {
            gang(*item);
        } else {
            array(*item);
        }
    }
    if (!warm_reserved_) {
        for (const auto& warm : s_.warm_capacity) reserve_places(warm);
    }
    provision_all();
    return_idle();
    drain_some();
    plan_.snapshot_at = s_.now;
    return std::move(plan_);
}

void PlanBuilder::index_allocations() {
    const auto n = s_.allocations.size();
    soon_used_.resize(n);
    victim_.resize(n);
    allocation_at_.reserve(n);
    allocation_job_.reserve(n);
    allocations_from_.resize(machines_.size() + 1);
    for (const auto& h : s_.allocations) {
        const auto at = position_[h.machine];
        allocation_at_.push_back(at);
        allocation_job_.push_back(&s_.jobs.at(h.job));
        ++allocations_from_[at + 1];
    }
    for (std::size_t i = 1; i < allocations_from_.size(); ++i)
        allocations_from_[i] += allocations_from_[i - 1];
    allocations_list_.resize(n);
    auto next = allocations_from_;
    for (std::size_t h = 0; h < n; ++h) {
        allocations_list_[next[allocation_at_[h]]++] = h;
        const auto& job = *allocation_job_[h];
        if (s_.allocations[h].stopping) {
            releasing_[allocation_at_[h]] += job.spec.need;
        } else {
            ranks_.try_emplace({job.in_guarantee, job.spec.priority, job.spec.team}, h);
        }
        if (s_.allocations[h].remaining_s <= longest_patience_) ending_.push_back(h);
    }
}

void PlanBuilder::index_items() {
    bool any = false;
    const auto smallest = [&](const Resources& need) {
        if (!any) minimum_ = need;
        any = true;
        minimum_ = {std::min(minimum_.cpus, need.cpus), std::min(minimum_.gpus, need.gpus),
                    std::min(minimum_.mem, need.mem)};
    };
    for (const auto& item : s_.waiting_jobs) {
        item_jobs_.emplace(&item, &s_.jobs.at(item.job));
        smallest(spec(item).need);
    }
    for (const auto& warm : s_.warm_capacity) smallest(warm.spec.need);
}

void PlanBuilder::index_releasing() {
    releasing_list_.clear();
    booting_list_.clear();
    releasing_stale_ = false;
    for (std::size_t i = 0; i < machines_.size(); ++i) {
        const auto& m = machines_[i];
        if (claimed_[i] || !(m.usable || m.booting)) continue;
        if (!room_in(i, Pass::Releasing).covers(minimum_)) continue;
        if (m.usable) releasing_list_.push_back(i);
        booting_list_.push_back(i);
    }
}

std::vector<const WaitingJob*> PlanBuilder::order() {
    std::vector<const WaitingJob*> items;
    std::vector<const WaitingJob*> starving;
    for (const auto& item : s_.waiting_jobs) {
        if (item.backing_off) continue;
        items.push_back(&item);
        if (starves(item)) starving.push_back(&item);
    }
    std::stable_sort(starving.begin(), starving.end(),
                     [](const auto* a, const auto* b) { return a->waited_ms > b->waited_ms; });
    std::map<std::pair<bool, Priority>, std::size_t> of_rank;
    for (const auto* item : starving) {
        if (of_rank[{item->in_guarantee, spec(*item).priority}]++ < s_.tuning.max_starved_jobs) {
            first_.push_back(item);
        }
    }
    struct Key {
        bool guarantee;
        Priority priority;
        bool first;
        double order_s;
        std::int64_t submitted_ms;
        const WaitingJob* item;
    };
    std::vector<Key> keys;
    keys.reserve(items.size());
    for (const auto* item : items) {
        const auto& sp = spec(*item);
        keys.push_back({item->in_guarantee, sp.priority, goes_first(*item), item->order_s,
                        sp.submitted_ms, item});
    }
    std::stable_sort(keys.begin(), keys.end(), [](const Key& a, const Key& b) {
        if (a.guarantee != b.guarantee) return a.guarantee;
        if (a.priority != b.priority) return a.priority > b.priority;
        if (a.first != b.first) return a.first;
        if (a.order_s != b.order_s) return a.order_s < b.order_s;
        return a.submitted_ms < b.submitted_ms;
    });
    items.clear();
    for (const auto& key : keys) items.push_back(key.item);
    return items;
}

std::uint32_t PlanBuilder::team_room(const JobSpec& spec, std::uint32_t limit) const {
    Resources left = s_.teams[spec.team].limit;
    const Resources& used = used_[spec.team];
    std::int64_t n = limit;
    if (left.cpus > 0 && spec.need.cpus > 0) {
        n = std::min(n, (left.cpus - used.cpus) / spec.need.cpus);
    }
    if (left.gpus > 0 && spec.need.gpus > 0) {
        n = std::min(n, (left.gpus - used.gpus) / spec.need.gpus);
    }
    return n < 0 ? 0 : static_cast<std::uint32_t>(n);
}

void PlanBuilder::thin_out() {
    if (taken_since_ < 16) return;
    taken_since_ = 0;
    for (auto pass : {Pass::Free, Pass::Releasing, Pass::Booting}) {
        std::erase_if(list_of(pass), [&](std::size_t i) {
            return claimed_[i] || !room_in(i, pass).covers(minimum_);
        });
    }
}

bool PlanBuilder::kept_for_guarantees(std::size_t i) const {
    const auto& m = machines_[i];
    if (s_.guaranteed_start_s <= 0 || s_.guaranteed_start_s > s_.types[m.type].boot_s) return false;
    Resources rest = total_;
    rest -= scaled_in_;
    rest -= m.capacity;
    return (s_.retained_guarantees.cpus > 0 && rest.cpus < s_.retained_guarantees.cpus) ||
           (s_.retained_guarantees.gpus > 0 && rest.gpus < s_.retained_guarantees.gpus);
}

Plan make_plan(const Snapshot& snapshot) { return PlanBuilder(snapshot).run(); }

}  // namespace lichendrift::core
