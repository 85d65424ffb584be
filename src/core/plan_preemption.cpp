// Displacement: whose tasks may be stopped for whom, and which of them are.
#include <algorithm>

#include "core/plan_builder.h"

namespace lichendrift::core {

bool PlanBuilder::may_stop(const WaitingJob& item, std::size_t allocation) const {
    const auto& v = *allocation_job_[allocation];
    const auto& mine = spec(item);
    if (s_.allocations[allocation].job == item.job) return false;
    if (v.spec.priority < mine.priority && (item.in_guarantee || !v.in_guarantee)) return true;
    return item.in_guarantee && !v.in_guarantee && v.spec.team != mine.team &&
           s_.teams[mine.team].guarantee != Resources{};
}

bool PlanBuilder::displace(const WaitingJob& item, std::size_t i, const Resources& start,
                           const std::vector<std::size_t>& chosen, Displacement& out) {
    const JobSpec& sp = spec(item);
    Resources reach = start;
    order_.clear();
    for (auto k = allocations_from_[i]; k < allocations_from_[i + 1]; ++k) {
        ++plan_.steps;
        const auto h = allocations_list_[k];
        if (s_.allocations[h].stopping || victim_[h] || !may_stop(item, h)) continue;
        if (std::find(chosen.begin(), chosen.end(), h) != chosen.end()) continue;
        order_.push_back(h);
        reach += allocation_job_[h]->spec.need;
    }
    if (!reach.covers(sp.need)) return false;
    std::sort(order_.begin(), order_.end(), [&](auto a, auto b) {
        const auto pa = allocation_job_[a]->spec.priority;
        const auto pb = allocation_job_[b]->spec.priority;
        if (pa != pb) return pa < pb;
        if (s_.allocations[a].lost_work_s != s_.allocations[b].lost_work_s) {
            return s_.allocations[a].lost_work_s < s_.allocations[b].lost_work_s;
        }
        return a < b;
    });
    out.at = i;
    out.room = start;
    out.cost = -0.5 * node_score(sp, i, start);
    out.victims.clear();
    for (auto h : order_) {
        if (out.room.covers(sp.need)) break;
        out.room += allocation_job_[h]->spec.need;
        out.cost += 5 + s_.allocations[h].lost_work_s;
        out.victims.push_back(h);
    }
    // Spare those that turned out not to be needed.
    for (std::size_t k = 0; k < out.victims.size();) {
        Resources without = out.room;
        without -= allocation_job_[out.victims[k]]->spec.need;
        if (without.covers(sp.need)) {
            out.room = without;
            out.cost -= 5 + s_.allocations[out.victims[k]].lost_work_s;
            out.victims.erase(out.victims.begin() + static_cast<std::ptrdiff_t>(k));
        } else {
            ++k;
        }
    }
    return true;
}

Choice PlanBuilder::preempt(const WaitingJob& item, std::uint32_t count, bool image_there,
                            bool partial) {
    const JobSpec& sp = spec(item);
    if (!image_there && fails(item, Pass::Preempt) <= (partial ? 1 : count)) return {};
    Choice best;
    double best_cost = 1e300;
    for (auto zone : candidates(sp)) {
        Choice choice;
        std::vector<Displacement> heap;
        Displacement one;
        for (std::size_t i = 0; i < machines_.size(); ++i) {
            ++plan_.steps;
            const auto& m = machines_[i];
            if (!m.usable || !fits_place(item, sp, zone, i) || !m.capacity.covers(sp.need))
                continue;
            if (image_there && fetch_s(sp, i) > 0) continue;
            if (displace(item, i, room_in(i, Pass::Releasing), choice.victims, one)) {
                heap.push_back(one);
            }
        }
        auto zones = item.zone_counts;
        zones.resize(s_.zone_count);
        double cost = 0;
        std::make_heap(heap.begin(), heap.end());
        while (choice.machines.size() < count && !heap.empty()) {
            std::pop_heap(heap.begin(), heap.end());
            auto taken = std::move(heap.back());
            heap.pop_back();
            const auto in_zone = machines_[taken.at].zone;
            if (sp.apart && zones[in_zone] + 1 > (sp.count + 1) / 2) continue;
            ++zones[in_zone];
            cost += taken.cost;
            choice.machines.push_back(taken.at);
            choice.victims.insert(choice.victims.end(), taken.victims.begin(), taken.victims.end());
            taken.room -= sp.need;
            if (displace(item, taken.at, taken.room, choice.victims, one)) {
                heap.push_back(std::move(one));
                std::push_heap(heap.begin(), heap.end());
            }
        }
        if (choice.machines.empty() || (!partial && choice.machines.size() < count)) continue;
        if (choice.machines.size() > best.machines.size() ||
            (choice.machines.size() == best.machines.size() && cost < best_cost)) {
            best_cost = cost;
            best = std::move(choice);
        }
    }
    if (!best.found() && !image_there) note_fail(item, Pass::Preempt, partial ? 1 : count);
    return best;
}

void PlanBuilder::take_victims(const WaitingJob& item, const Choice& choice) {
    const auto release = [&](std::size_t h) {
        victim_[h] = true;
        releasing_stale_ = true;
        releasing_[allocation_at_[h]] += allocation_job_[h]->spec.need;
    };
    for (auto h : choice.victims) {
        plan_.preemptions.push_back({s_.allocations[h].index, s_.allocations[h].attempt, item.job});
        if (!victim_[h]) release(h);
        // Stopping one task of a gang stops the gang.
        if (!allocation_job_[h]->spec.gang) continue;
        for (std::size_t other = 0; other < s_.allocations.size(); ++other) {
            ++plan_.steps;
            if (s_.allocations[other].job == s_.allocations[h].job && !victim_[other] &&
                !s_.allocations[other].stopping) {
                release(other);
            }
        }
    }
    consume(spec(item), choice, true);
    // There may be more room on the way now than when others were tried.
    for (auto& [key, minimum] : failed_) {
        minimum[static_cast<std::size_t>(Pass::Releasing)] = kNever;
        minimum[static_cast<std::size_t>(Pass::Booting)] = kNever;
    }
}

}  // namespace lichendrift::core
