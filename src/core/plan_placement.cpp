// Trial placement: candidate zones, scores, and what is taken for a gang or an array.
#include <algorithm>

#include "core/plan_builder.h"

namespace lichendrift::core {

double PlanBuilder::node_score(const JobSpec& spec, std::size_t i, const Resources& room) const {
    const auto& m = machines_[i];
    double score = 0;
    if (among(m.images, spec.image)) {
        score += spec.weights.image;
    } else if (among(m.fetching_images, spec.image) || among(planned_fetch_[i], spec.image)) {
        score += spec.weights.fetching;
    } else if (spec.has_start_objective) {
        score -= spec.weights.fetch * fetch_s(spec, i);
    }
    if (!spec.has_start_objective &&
        std::any_of(m.images.begin(), m.images.end(),
                    [&](ImageIndex image) { return among(s_.start_objective_images, image); })) {
        score -= spec.weights.warm;
    }
    auto share = [](std::int64_t left, std::int64_t all) {
        return all > 0 ? static_cast<double>(left) / static_cast<double>(all) : 0.0;
    };
    const double left = spec.need.gpus > 0 ? share(room.gpus - spec.need.gpus, m.capacity.gpus)
                                           : share(room.cpus - spec.need.cpus, m.capacity.cpus);
    score -= spec.weights.fit * left;
    score -= spec.weights.price * hourly(i) / max_hourly_;
    return score;
}

double PlanBuilder::fetch_s(const JobSpec& spec, std::size_t i) const {
    const auto& m = machines_[i];
    if (among(m.images, spec.image)) return 0;
    const auto rate = std::max(0.01, s_.types[m.type].fetch_gb_s);
    const auto others = m.fetching_images.size() + planned_fetch_[i].size();
    return spec.image_gb * (1.0 + static_cast<double>(others)) / rate;
}

bool PlanBuilder::fits_place(const WaitingJob& item, const JobSpec& sp, ZoneIndex zone,
                             std::size_t i) const {
    const auto& m = machines_[i];
    if (claimed_[i] || !allows(sp, m)) return false;
    if (zone != kInvalidIndex && m.zone != zone) return false;
    if (sp.one_zone && item.zone != kInvalidIndex && m.zone != item.zone) return false;
    return std::find(item.avoided_machines.begin(), item.avoided_machines.end(), m.index) ==
           item.avoided_machines.end();
}

Choice PlanBuilder::trial(const WaitingJob& item, ZoneIndex zone, std::uint32_t count, Pass pass,
                          bool partial) {
    const JobSpec& sp = spec(item);
    candidates_.clear();
    std::int64_t reach = 0;
    for (const auto i : list_of(pass)) {
        ++plan_.steps;
        const Resources r = room_in(i, pass);
        if (!r.covers(sp.need) || !fits_place(item, sp, zone, i)) continue;
        reach += r.fits(sp.need);
        candidates_.push_back({node_score(sp, i, r), i, r, 0});
    }
    Choice choice;
    if (candidates_.empty() || (!partial && reach < count)) return choice;
    auto zones = item.zone_counts;
    zones.resize(s_.zone_count);
    double score = 0;
    std::make_heap(candidates_.begin(), candidates_.end());
    while (choice.machines.size() < count && !candidates_.empty()) {
        ++plan_.steps;
        std::pop_heap(candidates_.begin(), candidates_.end());
        auto& best = candidates_.back();
        const auto in_zone = machines_[best.at].zone;
        if (sp.apart && zones[in_zone] + 1 > (sp.count + 1) / 2) {
            candidates_.pop_back();
            continue;
        }
        if (sp.service) {
            // Its score fell since it was computed, with what was placed in its zone.
            const auto crowd = crowding(item, best.at, zones, choice.machines);
            if (crowd > best.crowding) {
                best.score -= crowd - best.crowding;
                best.crowding = crowd;
                std::push_heap(candidates_.begin(), candidates_.end());
                continue;
            }
        }
        ++zones[in_zone];
        score += best.score;
        choice.machines.push_back(best.at);
        best.room -= sp.need;
        if (best.room.covers(sp.need)) {
            best.crowding = 0;
            best.score = node_score(sp, best.at, best.room);
            std::push_heap(candidates_.begin(), candidates_.end());
        } else {
            candidates_.pop_back();
        }
    }
    if (!partial && choice.machines.size() < count) return {};
    choice.score =
        choice.machines.empty() ? -1e300 : score / static_cast<double>(choice.machines.size());
    return choice;
}

double PlanBuilder::crowding(const WaitingJob& item, std::size_t i,
                             const std::vector<std::uint32_t>& zones,
                             const std::vector<std::size_t>& chosen) const {
    const auto there =
        std::count(item.replica_machines.begin(), item.replica_machines.end(), machines_[i].index) +
        std::count(chosen.begin(), chosen.end(), i);
    const auto zone = machines_[i].zone;
    const auto in_zone = zone < zones.size() ? zones[zone] : 0;
    return kMachineCrowding * static_cast<double>(there) +
           kZoneCrowding * static_cast<double>(in_zone);
}

std::vector<ZoneIndex> PlanBuilder::candidates(const JobSpec& sp) const {
    std::vector<ZoneIndex> zones;
    if (sp.zone != kInvalidIndex) {
        zones.push_back(sp.zone);
    } else if (sp.one_zone) {
        for (ZoneIndex z = 0; z < s_.zone_count; ++z) zones.push_back(z);
    } else {
        zones.push_back(kInvalidIndex);
    }
    return zones;
}

Choice PlanBuilder::best_of(const WaitingJob& item, std::uint32_t count, Pass pass, bool partial) {
    const auto known = fails(item, pass);
    if (known <= count && (!partial || known <= 1)) return {};
    Choice best;
    std::vector<ZoneIndex> rejected;
    for (auto zone : candidates(spec(item))) {
        auto choice = trial(item, zone, count, pass, partial);
        if (!choice.found()) {
            if (zone != kInvalidIndex) rejected.push_back(zone);
            continue;
        }
        // With a partial placement more tasks come first, then the tightest fit.
        if (choice.machines.size() > best.machines.size() ||
            (choice.machines.size() == best.machines.size() && choice.score > best.score)) {
            best = std::move(choice);
        }
    }
    best.rejected_zones = std::move(rejected);
    if (partial && best.machines.size() < count) note_fail(item, pass, 1);
    if (!partial && !best.found()) note_fail(item, pass, count);
    return best;
}

void PlanBuilder::note_fail(const WaitingJob& item, Pass pass, std::uint32_t count) {
    if (!plain(item)) return;
    auto [it, fresh] = failed_.try_emplace(key_of(item));
    if (fresh) it->second.fill(kNever);
    auto& minimum = it->second[static_cast<std::size_t>(pass)];
    minimum = std::min(minimum, count);
}

void PlanBuilder::consume(const JobSpec& sp, const Choice& choice, bool reserve) {
    for (auto i : choice.machines) {
        free_[i] -= sp.need;
        reserved_[i] = true;
        if (!reserve) planned_fetch_[i].push_back(sp.image);
        used_[sp.team] += sp.need;
        ++taken_since_;
    }
    thin_out();
}

void PlanBuilder::start(const WaitingJob& item, const Choice& choice) {
    Start start;
    start.job = item.job;
    start.score = choice.score;
    start.rejected_zones = choice.rejected_zones;
    for (auto i : choice.machines) start.machines.push_back(machines_[i].index);
    plan_.starts.push_back(std::move(start));
    consume(spec(item), choice, false);
}

bool PlanBuilder::too_late(const WaitingJob& item, const Choice& choice) const {
    const JobSpec& sp = spec(item);
    if (!sp.has_start_objective) return false;
    double fetch = 0;
    for (auto i : choice.machines) fetch = std::max(fetch, fetch_s(sp, i));
    return fetch > item.slack_s && item.slack_s > 1;
}

void PlanBuilder::gang(const WaitingJob& item) {
    const JobSpec& sp = spec(item);
    if (team_room(sp, sp.count) < sp.count) {
        // Smaller jobs of its team would take each bit of the limit that comes free.
        if (goes_first(item)) used_[sp.team] += sp.need.times(sp.count);
        return;
    }
    if (auto choice = best_of(item, sp.count, Pass::Free, false); choice.found()) {
        // Exception to the plain rule, see docs/design.md: with free room only where the
        // image would come too late for the class's aim, lower priorities are displaced
        // where it is there.
        if (too_late(item, choice) && has_victims(item)) {
            auto there = preempt(item, sp.count, true, false);
            if (there.found() && !there.victims.empty()) {
                take_victims(item, there);
                return;
            }
        }
        start(item, choice);
        return;
    }
    if (auto choice = best_of(item, sp.count, Pass::Releasing, false); choice.found()) {
        consume(sp, choice, true);
        return;
    }
    if (has_victims(item)) {
        if (auto choice = preempt(item, sp.count, false, false); choice.found()) {
            take_victims(item, choice);
            return;
        }
    }
    if (auto choice = best_of(item, sp.count, Pass::Booting, false); choice.found()) {
        consume(sp, choice, true);
        return;
    }
    demand(item, sp.count);
    if (goes_first(item)) claim(item, sp.count);
}

void PlanBuilder::array(const WaitingJob& item) {
    const JobSpec& sp = spec(item);
    auto left = team_room(sp, item.waiting_tasks);
    if (left == 0) {
        if (goes_first(item)) used_[sp.team] += sp.need;
        return;
    }
    const bool starving = goes_first(item);
    const auto later =
        starving && left > s_.tuning.starved_array_tasks ? left - s_.tuning.starved_array_tasks : 0;
    left -= later;
    const auto wanted = left;
    if (auto choice = best_of(item, left, Pass::Free, true); choice.found()) {
        left -= static_cast<std::uint32_t>(choice.machines.size());
        start(item, choice);
    }
    if (left > 0 && has_victims(item)) {
        if (auto choice = best_of(item, left, Pass::Releasing, true); choice.found()) {
            left -= static_cast<std::uint32_t>(choice.machines.size());
            consume(sp, choice, true);
        }
        if (left > 0) {
            if (auto choice = preempt(item, left, false, true); choice.found()) {
                left -= static_cast<std::uint32_t>(choice.machines.size());
                take_victims(item, choice);
            }
        }
    }
    if (left + later > 0) demand(item, left + later);
    // Its tasks can be as large as a machine: then nothing less than a whole one serves it.
    if (left == wanted && starving) claim(item, 1);
}

}  // namespace lichendrift::core
