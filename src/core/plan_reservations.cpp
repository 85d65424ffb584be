// Capacity that is kept: warm places, and reservations for what waited too long.
#include <algorithm>

#include "core/plan_builder.h"

namespace lichendrift::core {

void PlanBuilder::keep_warm(const WaitingJob& item) {
    warm_reserved_ = true;
    for (const auto& warm : s_.warm_capacity) {
        if (warm.spec.priority > spec(item).priority) continue;
        reserve_places(warm);
    }
}

void PlanBuilder::reserve_places(const WarmCapacity& warm) {
    auto left = warm.tasks;
    for (const auto pass : {Pass::Free, Pass::Booting}) {
        candidates_.clear();
        for (const auto i : list_of(pass)) {
            if (left == 0) break;
            ++plan_.steps;
            const auto& m = machines_[i];
            if (pass == Pass::Booting && !m.booting) continue;
            if (claimed_[i] || !allows(warm.spec, m) || !free_[i].covers(warm.spec.need)) {
                continue;
            }
            candidates_.push_back({node_score(warm.spec, i, free_[i]), i, free_[i], 0});
        }
        std::make_heap(candidates_.begin(), candidates_.end());
        while (left > 0 && !candidates_.empty()) {
            std::pop_heap(candidates_.begin(), candidates_.end());
            auto& best = candidates_.back();
            free_[best.at] -= warm.spec.need;
            reserved_[best.at] = true;
            ++taken_since_;
            --left;
            best.room = free_[best.at];
            if (best.room.covers(warm.spec.need)) {
                best.score = node_score(warm.spec, best.at, best.room);
                std::push_heap(candidates_.begin(), candidates_.end());
            } else {
                candidates_.pop_back();
            }
        }
    }
    thin_out();
    if (left > 0) warm_demands_.emplace_back(&warm.spec, left);
}

void PlanBuilder::claim(const WaitingJob& item, std::uint32_t count) {
    const JobSpec& sp = spec(item);
    struct Soon {
        double s;
        std::size_t at;
    };
    std::vector<std::size_t> best;
    double best_s = 1e300;
    for (auto zone : candidates(sp)) {
        std::vector<Soon> soon;
        for (std::size_t i = 0; i < machines_.size(); ++i) {
            ++plan_.steps;
            const auto& m = machines_[i];
            if (!m.usable || !fits_place(item, sp, zone, i) || !m.capacity.covers(sp.need))
                continue;
            soon.push_back({room_after_s(i, sp.need), i});
        }
        std::sort(soon.begin(), soon.end(), [](const Soon& a, const Soon& b) {
            return a.s != b.s ? a.s < b.s : a.at < b.at;
        });
        std::vector<std::size_t> mine;
        std::int64_t fit = 0;
        double until_s = 0;
        for (const auto& one : soon) {
            if (fit >= count) break;
            // Its first task there is what the time stands for; more may fit later.
            fit += machines_[one.at].capacity.fits(sp.need);
            until_s = std::max(until_s, one.s);
            mine.push_back(one.at);
        }
        if (fit >= count && until_s < best_s) best_s = until_s, best = mine;
    }
    const auto limit = s_.tuning.max_reserved_share * static_cast<double>(machines_.size()) + 1;
    if (static_cast<double>(claims_ + best.size()) > limit && claims_ > 0) return;
    for (auto i : best) claimed_[i] = true;
    claims_ += best.size();
}

double PlanBuilder::room_after_s(std::size_t i, const Resources& need) const {
    Resources room = free_[i];
    if (room.covers(need)) return 0;
    std::vector<std::size_t> order(
        allocations_list_.begin() + static_cast<std::ptrdiff_t>(allocations_from_[i]),
        allocations_list_.begin() + static_cast<std::ptrdiff_t>(allocations_from_[i + 1]));
    const auto left = [&](std::size_t h) {
        return s_.allocations[h].stopping || victim_[h] ? 0.0 : s_.allocations[h].remaining_s;
    };
    std::sort(order.begin(), order.end(), [&](auto a, auto b) { return left(a) < left(b); });
    for (auto h : order) {
        room += allocation_job_[h]->spec.need;
        if (room.covers(need)) return left(h);
    }
    return 1e9;
}

std::uint32_t PlanBuilder::wait_for_places(const JobSpec& sp, std::uint32_t count,
                                           double patience_s) {
    for (auto h : ending_) {
        if (count == 0) break;
        ++plan_.steps;
        const auto& view = s_.allocations[h];
        if (soon_used_[h] || victim_[h] || view.remaining_s > patience_s) continue;
        const auto& m = machines_[allocation_at_[h]];
        if (!m.usable || !allows(sp, m) || !allocation_job_[h]->spec.need.covers(sp.need)) continue;
        soon_used_[h] = true;
        --count;
    }
    return count;
}

}  // namespace lichendrift::core
