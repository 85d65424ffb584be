#include "core/planner.h"

#include <cmath>
#include <set>

namespace lichendrift::core {

namespace {

// Jobs with the same key ask the same of the machines: if one does not fit, none does.
using FitKey = std::tuple<Room, std::uint64_t, ZoneIx, bool, TeamIx, int, bool>;

struct Choice {
    std::vector<std::size_t> machines;  // positions in the snapshot, one for each task
    double score = -1e300;
    std::vector<std::size_t> victims;  // positions in Snapshot::holds
    [[nodiscard]] bool found() const { return !machines.empty(); }
};

class Planner {
  public:
    explicit Planner(const Snapshot& snapshot)
        : s_(snapshot), machines_(snapshot.machines), used_(snapshot.team_used) {
        releasing_.resize(machines_.size());
        claimed_.resize(machines_.size());
        reserved_.resize(machines_.size());
        for (std::size_t i = 0; i < machines_.size(); ++i) position_[machines_[i].ix] = i;
        holds_of_.resize(machines_.size());
        for (std::size_t i = 0; i < s_.holds.size(); ++i) {
            const auto& h = s_.holds[i];
            const auto at = position_.at(h.machine);
            holds_of_[at].push_back(i);
            if (h.stopping) releasing_[at] += need_of(h.job);
        }
        soon_used_.resize(s_.holds.size());
        victim_.resize(s_.holds.size());
        most_hourly_ = 1e-9;
        for (const auto& type : s_.types) most_hourly_ = std::max(most_hourly_, type.hourly);
    }

    Plan run() {
        std::vector<const ItemView*> items;
        for (const auto& item : s_.items) {
            if (!item.blocked) items.push_back(&item);
        }
        std::stable_sort(items.begin(), items.end(), [&](const ItemView* a, const ItemView* b) {
            if (a->in_guarantee != b->in_guarantee) return a->in_guarantee;
            const auto& x = spec(*a);
            const auto& y = spec(*b);
            if (x.priority != y.priority) return x.priority > y.priority;
            if (a->slack_s != b->slack_s) return a->slack_s < b->slack_s;
            return x.submitted_ms < y.submitted_ms;
        });
        for (const auto* item : items) {
            if (!warm_reserved_ && spec(*item).start_within_s.empty() && item->slack_s > 15) {
                keep_warm(*item);
            }
            if (spec(*item).gang) {
                gang(*item);
            } else {
                array(*item);
            }
        }
        if (!warm_reserved_) {
            for (const auto& warm : s_.warm_classes) reserve_places(warm);
        }
        rent_all();
        return_idle();
        drain_one();
        return std::move(plan_);
    }

  private:
    enum class Pass { Free, Releasing, Booting };

    const JobSpec& spec(const ItemView& item) const { return s_.jobs.at(item.job).spec; }
    const Room& need_of(JobIx job) const { return s_.jobs.at(job).spec.need; }

    bool allows(const JobSpec& spec, const MachineView& m) const {
        return m.type < 64 && (spec.types >> m.type & 1) != 0 &&
               (spec.zone == kNone || spec.zone == m.zone) && (spec.spot || !m.spot);
    }

    std::uint32_t team_room(const JobSpec& spec, std::uint32_t most) const {
        Room left = s_.teams[spec.team].limit;
        const Room& used = used_[spec.team];
        std::int64_t n = most;
        if (left.cpus > 0 && spec.need.cpus > 0) {
            n = std::min(n, (left.cpus - used.cpus) / spec.need.cpus);
        }
        if (left.gpus > 0 && spec.need.gpus > 0) {
            n = std::min(n, (left.gpus - used.gpus) / spec.need.gpus);
        }
        return n < 0 ? 0 : static_cast<std::uint32_t>(n);
    }

    double node_score(const JobSpec& spec, const MachineView& m, const Room& room) const {
        double score = 0;
        auto has = [&](const std::vector<ImageIx>& images) {
            return std::find(images.begin(), images.end(), spec.image) != images.end();
        };
        if (has(m.images)) {
            score += s_.tuning.image_weight;
        } else if (has(m.fetching)) {
            score += s_.tuning.fetching_weight;
        } else if (!spec.start_within_s.empty()) {
            score -= s_.tuning.fetch_weight * fetch_s(spec, m);
        }
        if (spec.start_within_s.empty() &&
            std::any_of(s_.warm_images.begin(), s_.warm_images.end(), [&](ImageIx image) {
                return std::find(m.images.begin(), m.images.end(), image) != m.images.end();
            })) {
            score -= s_.tuning.warm_weight;
        }
        auto share = [](std::int64_t left, std::int64_t all) {
            return all > 0 ? static_cast<double>(left) / static_cast<double>(all) : 0.0;
        };
        const double left = spec.need.gpus > 0 ? share(room.gpus - spec.need.gpus, m.room.gpus)
                                               : share(room.cpus - spec.need.cpus, m.room.cpus);
        score -= s_.tuning.fit_weight * left;
        const auto& type = s_.types[m.type];
        score -= s_.tuning.price_weight * (m.spot ? type.spot_hourly : type.hourly) / most_hourly_;
        return score;
    }

    // How long the image takes to get there; fetches under way share the rate.
    double fetch_s(const JobSpec& spec, const MachineView& m) const {
        if (std::find(m.images.begin(), m.images.end(), spec.image) != m.images.end()) return 0;
        const auto rate = std::max(0.01, s_.types[m.type].fetch_gb_s);
        return spec.image_gb * (1.0 + static_cast<double>(m.fetching.size())) / rate;
    }

    Room room_in(std::size_t i, Pass pass) const {
        Room room = machines_[i].free;
        if (pass != Pass::Free) room += releasing_[i];
        return room;
    }

    bool open_for(std::size_t i, Pass pass) const {
        if (claimed_[i]) return false;
        if (machines_[i].usable) return true;
        return pass == Pass::Booting && machines_[i].booting;
    }

    // Trial-places `count` tasks one by one inside a candidate zone (kNone: the fleet); gives up
    // as soon as the whole is out of reach unless `partial`.
    Choice trial(const ItemView& item, ZoneIx zone, std::uint32_t count, Pass pass,
                 bool partial) const {
        const JobSpec& sp = spec(item);
        std::map<std::size_t, Room> room;
        std::int64_t reach = 0;
        for (std::size_t i = 0; i < machines_.size(); ++i) {
            const auto& m = machines_[i];
            if (!open_for(i, pass) || !allows(sp, m)) continue;
            if (zone != kNone && m.zone != zone) continue;
            if (sp.one_zone && item.zone != kNone && m.zone != item.zone) continue;
            if (std::find(item.avoid.begin(), item.avoid.end(), m.ix) != item.avoid.end()) continue;
            const Room r = room_in(i, pass);
            const auto n = r.fits(sp.need);
            if (n == 0) continue;
            reach += n;
            room.emplace(i, r);
        }
        Choice choice;
        if (!partial && reach < count) return choice;
        auto zones = item.zone_counts;
        zones.resize(s_.zones);
        double score = 0;
        for (std::uint32_t t = 0; t < count; ++t) {
            double best = -1e300;
            std::size_t at = 0;
            bool found = false;
            for (auto& [i, r] : room) {
                const auto& m = machines_[i];
                if (!r.holds(sp.need)) continue;
                if (sp.apart && zones[m.zone] + 1 > (sp.count + 1) / 2) continue;
                const double value = node_score(sp, m, r);
                if (value > best) best = value, at = i, found = true;
            }
            if (!found) {
                if (!partial) return {};
                break;
            }
            room[at] -= sp.need;
            ++zones[machines_[at].zone];
            score += best;
            choice.machines.push_back(at);
        }
        choice.score =
            choice.machines.empty() ? -1e300 : score / static_cast<double>(choice.machines.size());
        return choice;
    }

    std::vector<ZoneIx> candidates(const JobSpec& sp) const {
        std::vector<ZoneIx> zones;
        if (sp.zone != kNone) {
            zones.push_back(sp.zone);
        } else if (sp.one_zone) {
            for (ZoneIx z = 0; z < s_.zones; ++z) zones.push_back(z);
        } else {
            zones.push_back(kNone);
        }
        return zones;
    }

    Choice best_of(const ItemView& item, std::uint32_t count, Pass pass, bool partial) const {
        Choice best;
        for (auto zone : candidates(spec(item))) {
            auto choice = trial(item, zone, count, pass, partial);
            if (!choice.found()) continue;
            // With a partial placement more tasks come first, then the tightest fit.
            if (choice.machines.size() > best.machines.size() ||
                (choice.machines.size() == best.machines.size() && choice.score > best.score)) {
                best = std::move(choice);
            }
        }
        return best;
    }

    void consume(const JobSpec& sp, const Choice& choice, bool reserve) {
        for (auto i : choice.machines) {
            machines_[i].free -= sp.need;
            reserved_[i] = true;
            if (!reserve) machines_[i].fetching.push_back(sp.image);
            used_[sp.team] += sp.need;
        }
    }

    void start(const ItemView& item, const Choice& choice) {
        Start start;
        start.job = item.job;
        for (auto i : choice.machines) start.machines.push_back(machines_[i].ix);
        plan_.starts.push_back(std::move(start));
        consume(spec(item), choice, false);
    }

    // Places kept free for classes whose tasks should start sooner than room comes free. What such
    // a class could displace needs no keeping.
    void keep_warm(const ItemView& item) {
        warm_reserved_ = true;
        for (const auto& warm : s_.warm_classes) {
            if (warm.spec.priority > spec(item).priority) continue;
            reserve_places(warm);
        }
    }

    void reserve_places(const WarmClass& warm) {
        auto left = warm.places;
        for (const bool booting : {false, true}) {
            for (; left > 0; --left) {
                double best = -1e300;
                std::size_t at = machines_.size();
                for (std::size_t i = 0; i < machines_.size(); ++i) {
                    const auto& m = machines_[i];
                    if (!(booting ? m.booting : m.usable) || claimed_[i] || !allows(warm.spec, m) ||
                        !m.free.holds(warm.spec.need)) {
                        continue;
                    }
                    const double value = node_score(warm.spec, m, m.free);
                    if (value > best) best = value, at = i;
                }
                if (at == machines_.size()) break;
                machines_[at].free -= warm.spec.need;
                reserved_[at] = true;
            }
        }
        if (left > 0) warm_demands_.emplace_back(&warm.spec, left);
    }

    bool may_stop(const ItemView& item, const HoldView& victim) const {
        const auto& v = s_.jobs.at(victim.job);
        const auto& mine = spec(item);
        if (victim.job == item.job) return false;
        if (v.spec.priority < mine.priority && (item.in_guarantee || !v.in_guarantee)) return true;
        return item.in_guarantee && !v.in_guarantee && v.spec.team != mine.team &&
               s_.teams[mine.team].guarantee != Room{};
    }

    bool too_late(const ItemView& item, const Choice& choice) const {
        const JobSpec& sp = spec(item);
        if (sp.start_within_s.empty()) return false;
        double fetch = 0;
        for (auto i : choice.machines) fetch = std::max(fetch, fetch_s(sp, machines_[i]));
        return fetch > item.slack_s && item.slack_s > 1;
    }

    // Victims whose removal makes room for the whole, fewest and cheapest first.
    Choice preempt(const ItemView& item, std::uint32_t count, bool image_there = false) const {
        const JobSpec& sp = spec(item);
        Choice best;
        double best_cost = 1e300;
        for (auto zone : candidates(sp)) {
            Choice choice;
            std::map<std::size_t, Room> room;
            std::set<std::size_t> victims;
            auto zones = item.zone_counts;
            zones.resize(s_.zones);
            double cost = 0;
            for (std::uint32_t t = 0; t < count; ++t) {
                double task_cost = 1e300;
                std::size_t at = 0;
                std::vector<std::size_t> task_victims;
                for (std::size_t i = 0; i < machines_.size(); ++i) {
                    const auto& m = machines_[i];
                    if (!m.usable || claimed_[i] || !allows(sp, m)) continue;
                    if (zone != kNone && m.zone != zone) continue;
                    if (sp.one_zone && item.zone != kNone && m.zone != item.zone) continue;
                    if (sp.apart && zones[m.zone] + 1 > (sp.count + 1) / 2) continue;
                    if (!m.room.holds(sp.need)) continue;
                    if (image_there && fetch_s(sp, m) > 0) continue;
                    Room r = room.contains(i) ? room[i] : room_in(i, Pass::Releasing);
                    std::vector<std::size_t> order;
                    for (auto h : holds_of_[i]) {
                        if (!s_.holds[h].stopping && !victim_[h] && !victims.contains(h) &&
                            may_stop(item, s_.holds[h])) {
                            order.push_back(h);
                        }
                    }
                    std::sort(order.begin(), order.end(), [&](auto a, auto b) {
                        const auto pa = s_.jobs.at(s_.holds[a].job).spec.priority;
                        const auto pb = s_.jobs.at(s_.holds[b].job).spec.priority;
                        if (pa != pb) return pa < pb;
                        return s_.holds[a].lost_s < s_.holds[b].lost_s;
                    });
                    double c = -0.5 * node_score(sp, m, r);
                    std::vector<std::size_t> taken;
                    for (auto h : order) {
                        if (r.holds(sp.need)) break;
                        r += need_of(s_.holds[h].job);
                        c += 5 + s_.holds[h].lost_s;
                        taken.push_back(h);
                    }
                    if (!r.holds(sp.need)) continue;
                    // Spare those that turned out not to be needed.
                    for (std::size_t k = 0; k < taken.size();) {
                        Room without = r;
                        without -= need_of(s_.holds[taken[k]].job);
                        if (without.holds(sp.need)) {
                            r = without;
                            c -= 5 + s_.holds[taken[k]].lost_s;
                            taken.erase(taken.begin() + static_cast<std::ptrdiff_t>(k));
                        } else {
                            ++k;
                        }
                    }
                    if (c < task_cost) {
                        task_cost = c;
                        at = i;
                        task_victims = taken;
                    }
                }
                if (task_cost >= 1e300) {
                    choice = {};
                    break;
                }
                Room r = room.contains(at) ? room[at] : room_in(at, Pass::Releasing);
                for (auto h : task_victims) {
                    r += need_of(s_.holds[h].job);
                    victims.insert(h);
                }
                r -= sp.need;
                room[at] = r;
                ++zones[machines_[at].zone];
                cost += task_cost;
                choice.machines.push_back(at);
            }
            if (choice.machines.size() == count && cost < best_cost) {
                best_cost = cost;
                choice.victims.assign(victims.begin(), victims.end());
                best = std::move(choice);
            }
        }
        return best;
    }

    void take_victims(const ItemView& item, const Choice& choice) {
        for (auto h : choice.victims) {
            const auto& view = s_.holds[h];
            plan_.stops.emplace_back(view.ix, view.attempt);
            victim_[h] = true;
            releasing_[position_.at(view.machine)] += need_of(view.job);
            // Stopping one task of a gang stops the gang.
            if (s_.jobs.at(view.job).spec.gang) {
                for (std::size_t other = 0; other < s_.holds.size(); ++other) {
                    if (s_.holds[other].job == view.job && !victim_[other] &&
                        !s_.holds[other].stopping) {
                        victim_[other] = true;
                        releasing_[position_.at(s_.holds[other].machine)] += need_of(view.job);
                    }
                }
            }
        }
        consume(spec(item), choice, true);
    }

    bool has_victims(const ItemView& item) const {
        return std::any_of(s_.holds.begin(), s_.holds.end(),
                           [&](const HoldView& h) { return !h.stopping && may_stop(item, h); });
    }

    FitKey key_of(const ItemView& item) const {
        const auto& sp = spec(item);
        return {sp.need,          sp.types, sp.zone,
                sp.spot,          sp.team,  static_cast<int>(sp.priority),
                item.in_guarantee};
    }

    void gang(const ItemView& item) {
        const JobSpec& sp = spec(item);
        if (team_room(sp, sp.count) < sp.count) return;
        const auto key = key_of(item);
        const bool plain = sp.count == 1 && item.avoid.empty();
        if (plain && full_.contains(key)) {
            demand(item, sp.count);
            return;
        }
        if (auto choice = best_of(item, sp.count, Pass::Free, false); choice.found()) {
            // Exception to the plain rule, see docs/design.md: with free room only where the
            // image would come too late for the class's aim, lower priorities are displaced
            // where it is there.
            if (too_late(item, choice) && has_victims(item)) {
                auto there = preempt(item, sp.count, true);
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
            if (auto choice = preempt(item, sp.count); choice.found()) {
                take_victims(item, choice);
                return;
            }
        }
        if (auto choice = best_of(item, sp.count, Pass::Booting, false); choice.found()) {
            consume(sp, choice, true);
            return;
        }
        if (plain) full_.insert(key);
        demand(item, sp.count);
        if (item.waited_ms > s_.tuning.starving_ms && sp.count > 1) claim(item);
    }

    // Exception to the plain rule, see docs/design.md: small tasks would hold a large gang back
    // for ever, so one that waited long gets a claim on the room of one zone.
    void claim(const ItemView& item) {
        const JobSpec& sp = spec(item);
        std::vector<std::size_t> best;
        for (auto zone : candidates(sp)) {
            std::vector<std::size_t> mine;
            std::int64_t fit = 0;
            for (std::size_t i = 0; i < machines_.size() && fit < sp.count; ++i) {
                const auto& m = machines_[i];
                if (!m.usable || claimed_[i] || !allows(sp, m)) continue;
                if (zone != kNone && m.zone != zone) continue;
                if (const auto n = m.room.fits(sp.need); n > 0) {
                    fit += n;
                    mine.push_back(i);
                }
            }
            if (fit >= sp.count && (best.empty() || mine.size() < best.size())) best = mine;
        }
        for (auto i : best) claimed_[i] = true;
    }

    void array(const ItemView& item) {
        const JobSpec& sp = spec(item);
        auto left = team_room(sp, item.waiting);
        if (left == 0) return;
        const auto key = key_of(item);
        const bool plain = !sp.one_zone && !sp.apart && item.avoid.empty();
        if (!plain || !full_.contains(key)) {
            if (auto choice = best_of(item, left, Pass::Free, true); choice.found()) {
                left -= static_cast<std::uint32_t>(choice.machines.size());
                start(item, choice);
            }
            if (left > 0 && has_victims(item)) {
                if (auto choice = best_of(item, left, Pass::Releasing, true); choice.found()) {
                    left -= static_cast<std::uint32_t>(choice.machines.size());
                    consume(sp, choice, true);
                }
                while (left > 0) {
                    auto choice = preempt(item, 1);
                    if (!choice.found()) break;
                    take_victims(item, choice);
                    --left;
                }
            }
            if (left > 0 && plain) full_.insert(key);
        }
        if (left > 0) demand(item, left);
    }

    void demand(const ItemView& item, std::uint32_t count) { demands_.emplace_back(&item, count); }

    bool refused(TypeIx type, ZoneIx zone, bool spot) const {
        return std::find(s_.refused.begin(), s_.refused.end(), std::tuple(type, zone, spot)) !=
               s_.refused.end();
    }

    struct Virtual {
        TypeIx type;
        ZoneIx zone;
        bool spot;
        Room free;
    };

    bool take_virtual(const JobSpec& sp, ZoneIx zone) {
        for (auto& v : virtual_) {
            if ((sp.types >> v.type & 1) == 0 || (v.spot && !sp.spot)) continue;
            if (zone != kNone && v.zone != zone) continue;
            if (!v.free.holds(sp.need)) continue;
            v.free -= sp.need;
            return true;
        }
        return false;
    }

    bool add_virtual(const JobSpec& sp, ZoneIx only_zone, bool spot) {
        if (virtual_.size() >= kMostRented) return false;
        double best = 1e300;
        Virtual pick{kNone, kNone, false, {}};
        for (TypeIx t = 0; t < s_.types.size() && t < 64; ++t) {
            const auto& type = s_.types[t];
            if ((sp.types >> t & 1) == 0 || type.zones.empty()) continue;
            const auto fits = type.room.fits(sp.need);
            if (fits == 0) continue;
            for (auto zone : s_.type_zones[t]) {
                if (sp.zone != kNone && zone != sp.zone) continue;
                if (only_zone != kNone && zone != only_zone) continue;
                if ((spot && !sp.spot) || refused(t, zone, spot)) continue;
                double cost = (spot ? type.spot_hourly : type.hourly) / static_cast<double>(fits);
                // Spread machines over the zones: one wave, or one cut, takes fewer.
                std::size_t there = 0;
                for (const auto& m : machines_) there += m.zone == zone;
                for (const auto& v : virtual_) there += v.zone == zone;
                cost *= 1.0 + 0.002 * static_cast<double>(there);
                if (cost < best) {
                    best = cost;
                    pick = {t, zone, spot, type.room};
                }
            }
        }
        if (pick.type == kNone) return false;
        virtual_.push_back(pick);
        return true;
    }

    void rent_all() {
        for (auto [item, count] : demands_) {
            const JobSpec& sp = spec(*item);
            auto left = std::min<std::uint32_t>(count, 400);
            if (sp.gang && sp.count > 1) {
                // A gang needs its machines together; count what one candidate zone lacks.
                ZoneIx zone = sp.zone;
                if (sp.one_zone && zone == kNone && s_.zones > 0) zone = best_zone(sp);
                left = rent_for(sp, zone, left, true);
                rent_for(sp, zone, left, false);
                continue;
            }
            if (!sp.gang) {
                if (auto choice = best_of(*item, left, Pass::Booting, true); choice.found()) {
                    consume(sp, choice, true);
                    left -= static_cast<std::uint32_t>(choice.machines.size());
                }
            }
            // Places that are free again in time need no new machine. Ordinary machines cost a
            // multiple of spot ones, so work that has time waits longer before it gets one.
            const double cheap = std::clamp(item->slack_s * 0.5, 3.0, s_.tuning.rent_patience_s);
            const double dear = std::clamp(item->slack_s * 0.6, cheap, s_.tuning.dear_patience_s);
            left = wait_for_places(sp, left, cheap);
            left = rent_for(sp, item->zone, left, true);
            left = wait_for_places(sp, left, dear);
            rent_for(sp, item->zone, left, false);
        }
        // Room to keep warm is rented only where it is cheap.
        for (auto [sp, count] : warm_demands_) rent_for(*sp, kNone, count, true);
        std::map<std::tuple<TypeIx, ZoneIx, bool>, std::uint32_t> sum;
        for (const auto& v : virtual_) ++sum[{v.type, v.zone, v.spot}];
        for (const auto& [kind, number] : sum) {
            plan_.rents.push_back(
                {std::get<0>(kind), std::get<1>(kind), std::get<2>(kind), number});
        }
    }

    ZoneIx best_zone(const JobSpec& sp) const {
        std::vector<std::int64_t> fit(s_.zones);
        for (const auto& m : machines_) {
            if (allows(sp, m)) fit[m.zone] += m.free.fits(sp.need);
        }
        return static_cast<ZoneIx>(std::max_element(fit.begin(), fit.end()) - fit.begin());
    }

    // How many of `count` are left without a place that is free within `patience_s`.
    std::uint32_t wait_for_places(const JobSpec& sp, std::uint32_t count, double patience_s) {
        for (std::size_t h = 0; h < s_.holds.size() && count > 0; ++h) {
            const auto& view = s_.holds[h];
            if (soon_used_[h] || victim_[h] || view.left_s > patience_s) continue;
            const auto& m = machines_[position_.at(view.machine)];
            if (!m.usable || !allows(sp, m) || !need_of(view.job).holds(sp.need)) continue;
            soon_used_[h] = true;
            --count;
        }
        return count;
    }

    // How many of `count` no machine could be planned for.
    std::uint32_t rent_for(const JobSpec& sp, ZoneIx zone, std::uint32_t count, bool spot) {
        for (; count > 0; --count) {
            if (take_virtual(sp, zone)) continue;
            if (!add_virtual(sp, zone, spot)) break;
            take_virtual(sp, zone);
        }
        return count;
    }

    // Where guaranteed work should start sooner than a machine boots, room for the guarantees has
    // to be up already.
    bool kept_for_guarantees(std::size_t i) const {
        const auto& m = machines_[i];
        if (s_.guarantee_s <= 0 || s_.guarantee_s > s_.types[m.type].boot_s) return false;
        Room rest;
        for (const auto& other : machines_) rest += other.room;
        rest -= m.room;
        Room guaranteed;
        for (const auto& team : s_.teams) guaranteed += team.guarantee;
        return (guaranteed.cpus > 0 && rest.cpus < guaranteed.cpus) ||
               (guaranteed.gpus > 0 && rest.gpus < guaranteed.gpus);
    }

    double hourly(std::size_t i) const {
        const auto& type = s_.types[machines_[i].type];
        return machines_[i].spot ? type.spot_hourly : type.hourly;
    }

    // Empties one machine whose work fits into free room on machines that are cheaper, or as cheap
    // and in use: what saves is moved, the rest is left to end. The dearest goes first. The
    // protocol lets tasks be stopped to return a machine.
    void drain_one() {
        plan_.short_of_room = !demands_.empty();
        if (!demands_.empty() || !plan_.stops.empty()) return;
        std::size_t best = machines_.size();
        for (std::size_t i = 0; i < machines_.size(); ++i) {
            const auto& m = machines_[i];
            if (!m.usable || reserved_[i] || claimed_[i] || holds_of_[i].empty()) continue;
            if (m.age_ms < 60000 || kept_for_guarantees(i)) continue;
            if (best < machines_.size() && std::pair(-hourly(i), holds_of_[i].size()) >=
                                               std::pair(-hourly(best), holds_of_[best].size())) {
                continue;
            }
            std::vector<std::pair<std::size_t, Room>> use;
            bool all = true;
            for (auto h : holds_of_[i]) {
                const auto& view = s_.holds[h];
                const auto& sp = s_.jobs.at(view.job).spec;
                const bool moves = sp.checkpoint_s > 0 && sp.count == 1 && sp.spot &&
                                   sp.save_s < 10 && view.ran_ms > s_.tuning.drain_after_ms &&
                                   view.left_s > 60;
                const bool ends = view.left_s < 40;
                bool fits = ends;
                for (std::size_t o = 0; o < machines_.size() && moves && !fits; ++o) {
                    const auto& other = machines_[o];
                    if (o == i || !other.usable || claimed_[o] || !allows(sp, other)) continue;
                    const bool in_use = !holds_of_[o].empty() || reserved_[o];
                    if (hourly(o) > hourly(i) || (hourly(o) == hourly(i) && !in_use)) continue;
                    Room r = other.free;
                    for (auto& [at, need] : use) {
                        if (at == o) r -= need;
                    }
                    if (!r.holds(sp.need) || fetch_s(sp, other) > 0) continue;
                    use.emplace_back(o, sp.need);
                    fits = true;
                }
                all &= fits;
            }
            if (!all) continue;
            best = i;
        }
        if (best >= machines_.size()) return;
        plan_.drains.push_back(machines_[best].ix);
    }

    void return_idle() {
        // Room kept warm: the cheapest idle machines stay, the dear ones go first.
        std::vector<std::size_t> idle;
        for (std::size_t i = 0; i < machines_.size(); ++i) {
            const auto& m = machines_[i];
            if (!m.usable || reserved_[i] || claimed_[i] || !holds_of_[i].empty()) continue;
            const auto keep = m.spot ? s_.tuning.idle_keep_ms : s_.tuning.dear_idle_keep_ms;
            if (m.idle_ms < keep || m.age_ms < 60000) continue;
            idle.push_back(i);
        }
        std::erase_if(idle, [&](std::size_t i) { return kept_for_guarantees(i); });
        if (idle.size() <= s_.tuning.spare_machines) return;
        std::sort(idle.begin(), idle.end(), [&](auto a, auto b) { return hourly(a) > hourly(b); });
        idle.resize(idle.size() - s_.tuning.spare_machines);
        for (auto i : idle) plan_.returns.push_back(machines_[i].ix);
    }

    static constexpr std::size_t kMostRented = 24;

    const Snapshot& s_;
    std::vector<MachineView> machines_;
    std::vector<Room> used_;
    std::vector<Room> releasing_;
    std::vector<char> claimed_;
    std::vector<char> reserved_;
    std::vector<std::vector<std::size_t>> holds_of_;
    std::vector<char> soon_used_;
    std::vector<char> victim_;
    std::unordered_map<MachineIx, std::size_t> position_;
    std::set<FitKey> full_;
    std::vector<std::pair<const ItemView*, std::uint32_t>> demands_;
    std::vector<Virtual> virtual_;
    std::vector<std::pair<const JobSpec*, std::uint32_t>> warm_demands_;
    bool warm_reserved_ = false;
    double most_hourly_ = 1;
    Plan plan_;
};

}  // namespace

Plan make_plan(const Snapshot& snapshot) { return Planner(snapshot).run(); }

}  // namespace lichendrift::core
