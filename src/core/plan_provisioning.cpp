// What is to be rented, and what came for a waiting gang.
#include <algorithm>

#include "core/plan_builder.h"

namespace lichendrift::core {

bool PlanBuilder::take_virtual(const JobSpec& sp, ZoneIndex zone) {
    for (std::size_t k = 0; k < open_virtual_.size(); ++k) {
        ++plan_.steps;
        auto& v = virtual_[open_virtual_[k]];
        if ((sp.types >> v.type & 1) == 0 || (v.spot && !sp.spot)) continue;
        if (zone != kInvalidIndex && v.zone != zone) continue;
        if (!v.free.covers(sp.need)) continue;
        v.free -= sp.need;
        if (!v.free.covers(minimum_)) {
            open_virtual_.erase(open_virtual_.begin() + static_cast<std::ptrdiff_t>(k));
        }
        return true;
    }
    return false;
}

bool PlanBuilder::add_virtual(const JobSpec& sp, ZoneIndex only_zone, bool spot) {
    if (virtual_.size() >= kMaxProvisioned) return false;
    count_zones();
    double best = 1e300;
    Virtual pick{kInvalidIndex, kInvalidIndex, false, {}};
    for (TypeIndex t = 0; t < s_.types.size() && t < 64; ++t) {
        const auto& type = s_.types[t];
        if ((sp.types >> t & 1) == 0 || type.zones.empty()) continue;
        const auto fits = type.room.fits(sp.need);
        if (fits == 0) continue;
        for (auto zone : s_.type_zones[t]) {
            if (sp.zone != kInvalidIndex && zone != sp.zone) continue;
            if (only_zone != kInvalidIndex && zone != only_zone) continue;
            if ((spot && !sp.spot) || refused(t, zone, spot)) continue;
            double cost = (spot ? type.spot_hourly : type.hourly) / static_cast<double>(fits);
            // Spread machines over the zones: one wave, or one cut, takes fewer.
            cost *= 1.0 + 0.2 * static_cast<double>(in_zone_[zone]) /
                              static_cast<double>(machines_.size() + virtual_.size() + 100);
            if (cost < best) {
                best = cost;
                pick = {t, zone, spot, type.room};
            }
        }
    }
    if (pick.type == kInvalidIndex) return false;
    ++in_zone_[pick.zone];
    open_virtual_.push_back(virtual_.size());
    virtual_.push_back(pick);
    return true;
}

void PlanBuilder::provision_all() {
    for (auto [item, count] : demands_) {
        const JobSpec& sp = spec(*item);
        auto left = std::min<std::uint32_t>(count, 2 * kMaxProvisioned);
        if (!sp.gang) {
            if (auto choice = best_of(*item, left, Pass::Booting, true); choice.found()) {
                consume(sp, choice, true);
                left -= static_cast<std::uint32_t>(choice.machines.size());
            }
        }
        // Places that are free again in time need no new machine. Ordinary machines cost a
        // multiple of spot ones, so work that has time waits longer before it gets one.
        // A gang of one zone needs its machines together; where the cloud refuses, the next
        // zone is asked for the rest.
        if (sp.gang && !kept_for_gang_) keep_what_came(*item);
        if (sp.apart && !sp.one_zone && sp.zone == kInvalidIndex) {
            provision_apart(*item, left);
            continue;
        }
        std::vector<ZoneIndex> zones{item->zone};
        if (sp.gang && sp.one_zone && item->zone == kInvalidIndex) zones = zones_by_room(*item);
        left = wait_for_places(sp, left, item->provision_patience_s);
        for (auto zone : zones) left = provision_for(sp, zone, left, true);
        left = wait_for_places(sp, left, item->on_demand_patience_s);
        for (auto zone : zones) left = provision_for(sp, zone, left, false);
    }
    // Resources to keep warm is rented only where it is cheap.
    for (auto [sp, count] : warm_demands_) provision_for(*sp, kInvalidIndex, count, sp->spot);
    // In the order of what waits: where the cloud has few machines left, the first gets them.
    for (const auto& v : virtual_) {
        const auto same = std::find_if(
            plan_.provisions.begin(), plan_.provisions.end(), [&](const Provision& provision) {
                return provision.type == v.type && provision.zone == v.zone &&
                       provision.spot == v.spot;
            });
        if (same != plan_.provisions.end()) {
            ++same->count;
        } else {
            plan_.provisions.push_back({v.type, v.zone, v.spot, 1});
        }
    }
}

void PlanBuilder::keep_what_came(const WaitingJob& item) {
    const JobSpec& sp = spec(item);
    kept_for_gang_ = true;
    if (sp.apart && !sp.one_zone && sp.zone == kInvalidIndex) {
        for (ZoneIndex z = 0; z < s_.zone_count; ++z) keep_for(item, z, (sp.count + 1) / 2);
    } else if (sp.one_zone && sp.zone == kInvalidIndex) {
        const auto zones = zones_by_room(item);
        if (!zones.empty()) keep_for(item, zones.front(), sp.count);
    } else {
        keep_for(item, sp.zone, sp.count);
    }
}

void PlanBuilder::keep_for(const WaitingJob& item, ZoneIndex zone, std::int64_t count) {
    const JobSpec& sp = spec(item);
    for (const auto i : list_of(Pass::Booting)) {
        ++plan_.steps;
        if (count <= 0 || !fits_place(item, sp, zone, i)) continue;
        const auto fits = free_[i].fits(sp.need);
        if (fits > 0) reserved_[i] = true;
        count -= fits;
    }
}

std::vector<ZoneIndex> PlanBuilder::zones_by_room(const WaitingJob& item) {
    const JobSpec& sp = spec(item);
    if (sp.zone != kInvalidIndex) return {sp.zone};
    std::vector<std::int64_t> fit(s_.zone_count);
    for (const auto i : list_of(Pass::Booting)) {
        ++plan_.steps;
        if (!fits_place(item, sp, kInvalidIndex, i)) continue;
        fit[machines_[i].zone] += free_[i].fits(sp.need);
    }
    for (const auto k : open_virtual_) fit[virtual_[k].zone] += virtual_[k].free.fits(sp.need);
    std::vector<ZoneIndex> zones(s_.zone_count);
    for (ZoneIndex z = 0; z < s_.zone_count; ++z) zones[z] = z;
    count_zones();
    // Among equals the zone with fewer machines: they would all pile up in the first.
    std::stable_sort(zones.begin(), zones.end(), [&](ZoneIndex a, ZoneIndex b) {
        return fit[a] != fit[b] ? fit[a] > fit[b] : in_zone_[a] < in_zone_[b];
    });
    return zones;
}

void PlanBuilder::provision_apart(const WaitingJob& item, std::uint32_t count) {
    const JobSpec& sp = spec(item);
    const std::uint32_t half = (sp.count + 1) / 2;
    std::vector<std::int64_t> fit(s_.zone_count);
    for (const auto i : list_of(Pass::Booting)) {
        ++plan_.steps;
        // What it keeps off, since it failed there, is no room for it.
        if (!fits_place(item, sp, kInvalidIndex, i)) continue;
        fit[machines_[i].zone] += free_[i].fits(sp.need);
    }
    std::vector<std::uint32_t> open(s_.zone_count);  // how many more each zone may take
    for (ZoneIndex z = 0; z < s_.zone_count; ++z) {
        const auto there = z < item.zone_counts.size() ? item.zone_counts[z] : 0;
        const auto limit = half - std::min(half, there);
        const auto have = static_cast<std::uint32_t>(std::min<std::int64_t>(limit, fit[z]));
        open[z] = limit - have;
        count -= std::min(count, have);
    }
    for (const bool spot : {true, false}) {
        for (ZoneIndex z = 0; z < s_.zone_count; ++z) {
            const auto ask = std::min(count, open[z]);
            const auto got = ask - provision_for(sp, z, ask, spot);
            open[z] -= got;
            count -= got;
        }
    }
}

std::uint32_t PlanBuilder::provision_for(const JobSpec& sp, ZoneIndex zone, std::uint32_t count,
                                         bool spot) {
    for (; count > 0; --count) {
        if (take_virtual(sp, zone)) continue;
        if (!add_virtual(sp, zone, spot)) break;
        take_virtual(sp, zone);
    }
    return count;
}

}  // namespace lichendrift::core
