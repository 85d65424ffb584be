#include "core/planner.h"

#include <array>
#include <limits>
#include <map>

namespace lichendrift::core {

namespace {

// Jobs with the same key ask the same of the machines: if one does not fit, none does.
struct FitKey {
    Resources need;
    std::uint64_t types = 0;
    ZoneIndex zone = kInvalidIndex;
    TeamIndex team = kInvalidIndex;
    Priority priority = Priority::Normal;
    bool spot = false;
    bool one_zone = false;
    bool apart = false;
    bool in_guarantee = false;
    auto operator<=>(const FitKey&) const = default;
};

// Who may be stopped by whom depends on this alone.
using RankKey = std::tuple<bool, Priority, TeamIndex>;

enum class Pass : std::uint8_t { Free, Releasing, Booting, Preempt };
constexpr std::size_t kPasses = 4;
constexpr auto kNever = std::numeric_limits<std::uint32_t>::max();

struct Choice {
    std::vector<std::size_t> machines;  // positions in the snapshot, one for each task
    double score = -1e300;
    std::vector<std::size_t> victims;  // positions in Snapshot::allocations
    std::vector<ZoneIndex> rejected;
    [[nodiscard]] bool found() const { return !machines.empty(); }
};

// The cost of a plan has to grow with what waits and with the room there is, not with the fleet:
// lists of the machines with any room are kept and thinned out as they fill up, a trial scores
// each of them once, and what did not fit is remembered by its key. Before, each trial walked the
// whole fleet for each task; with 1,200 machines that took the leader's processor for minutes.
class Planner {
  public:
    explicit Planner(const Snapshot& snapshot)
        : s_(snapshot), machines_(snapshot.machines), used_(snapshot.team_used) {
        const auto n = machines_.size();
        free_.reserve(n);
        MachineIndex last = 0;
        for (const auto& m : machines_) {
            free_.push_back(m.free);
            last = std::max(last, m.ix);
            total_ += m.room;
        }
        releasing_.resize(n);
        claimed_.resize(n);
        reserved_.resize(n);
        planned_fetch_.resize(n);
        position_.resize(n == 0 ? 0 : last + 1);
        for (std::size_t i = 0; i < n; ++i) position_[machines_[i].ix] = i;
        for (const auto& item : s_.items) {
            longest_patience_ = std::max(longest_patience_, item.dear_patience_s);
        }
        index_allocations();
        most_hourly_ = 1e-9;
        for (const auto& type : s_.types) most_hourly_ = std::max(most_hourly_, type.hourly);
        index_items();
        index_room();
    }

    Plan run() {
        for (const auto* item : order()) {
            if (!warm_reserved_ && !spec(*item).soon && item->slack_s > 15) {
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
        drain_some();
        plan_.taken_at = s_.now;
        return std::move(plan_);
    }

  private:
    void index_allocations() {
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
            if (s_.allocations[h].left_s <= longest_patience_) ending_.push_back(h);
        }
    }

    void index_items() {
        bool any = false;
        const auto smallest = [&](const Resources& need) {
            if (!any) least_ = need;
            any = true;
            least_ = {std::min(least_.cpus, need.cpus), std::min(least_.gpus, need.gpus),
                      std::min(least_.mem, need.mem)};
        };
        for (const auto& item : s_.items) {
            item_jobs_.emplace(&item, &s_.jobs.at(item.job));
            smallest(spec(item).need);
        }
        for (const auto& warm : s_.warm_classes) smallest(warm.spec.need);
    }

    void index_room() {
        for (std::size_t i = 0; i < machines_.size(); ++i) {
            if (machines_[i].usable && free_[i].covers(least_)) free_list_.push_back(i);
        }
        index_releasing();
    }
    void index_releasing() {
        releasing_list_.clear();
        booting_list_.clear();
        releasing_stale_ = false;
        for (std::size_t i = 0; i < machines_.size(); ++i) {
            const auto& m = machines_[i];
            if (claimed_[i] || !(m.usable || m.booting)) continue;
            if (!room_in(i, Pass::Releasing).covers(least_)) continue;
            if (m.usable) releasing_list_.push_back(i);
            booting_list_.push_back(i);
        }
    }

    // In the order of the design: guarantee, priority, slack, age. What waited too long goes first
    // among its equals, a few at a time: without that, newcomers with an aim still ahead of them
    // kept the largest jobs from beginning for as long as they came.
    std::vector<const ItemView*> order() {
        std::vector<const ItemView*> items;
        std::vector<const ItemView*> starving;
        for (const auto& item : s_.items) {
            if (item.blocked) continue;
            items.push_back(&item);
            if (starves(item)) starving.push_back(&item);
        }
        std::stable_sort(starving.begin(), starving.end(),
                         [](const auto* a, const auto* b) { return a->waited_ms > b->waited_ms; });
        std::map<std::pair<bool, Priority>, std::size_t> of_rank;
        for (const auto* item : starving) {
            if (of_rank[{item->in_guarantee, spec(*item).priority}]++ < s_.tuning.most_starving) {
                first_.push_back(item);
            }
        }
        struct Key {
            bool guarantee;
            Priority priority;
            bool first;
            double order_s;
            std::int64_t submitted_ms;
            const ItemView* item;
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

    bool starves(const ItemView& item) const {
        if (!s_.tuning.claims || item.waited_ms <= spec(item).starving_ms) return false;
        return !spec(item).gang || spec(item).count > 1;
    }
    bool goes_first(const ItemView& item) const {
        return std::find(first_.begin(), first_.end(), &item) != first_.end();
    }

    const JobSpec& spec(const ItemView& item) const { return item_jobs_.at(&item)->spec; }

    bool allows(const JobSpec& spec, const MachineView& m) const {
        return m.type < 64 && (spec.types >> m.type & 1) != 0 &&
               (spec.zone == kInvalidIndex || spec.zone == m.zone) && (spec.spot || !m.spot);
    }

    std::uint32_t team_room(const JobSpec& spec, std::uint32_t most) const {
        Resources left = s_.teams[spec.team].limit;
        const Resources& used = used_[spec.team];
        std::int64_t n = most;
        if (left.cpus > 0 && spec.need.cpus > 0) {
            n = std::min(n, (left.cpus - used.cpus) / spec.need.cpus);
        }
        if (left.gpus > 0 && spec.need.gpus > 0) {
            n = std::min(n, (left.gpus - used.gpus) / spec.need.gpus);
        }
        return n < 0 ? 0 : static_cast<std::uint32_t>(n);
    }

    static bool among(const std::vector<ImageIndex>& images, ImageIndex image) {
        return std::find(images.begin(), images.end(), image) != images.end();
    }

    double node_score(const JobSpec& spec, std::size_t i, const Resources& room) const {
        const auto& m = machines_[i];
        double score = 0;
        if (among(m.images, spec.image)) {
            score += spec.weights.image;
        } else if (among(m.fetching, spec.image) || among(planned_fetch_[i], spec.image)) {
            score += spec.weights.fetching;
        } else if (spec.soon) {
            score -= spec.weights.fetch * fetch_s(spec, i);
        }
        if (!spec.soon && std::any_of(m.images.begin(), m.images.end(), [&](ImageIndex image) {
                return among(s_.warm_images, image);
            })) {
            score -= spec.weights.warm;
        }
        auto share = [](std::int64_t left, std::int64_t all) {
            return all > 0 ? static_cast<double>(left) / static_cast<double>(all) : 0.0;
        };
        const double left = spec.need.gpus > 0 ? share(room.gpus - spec.need.gpus, m.room.gpus)
                                               : share(room.cpus - spec.need.cpus, m.room.cpus);
        score -= spec.weights.fit * left;
        score -= spec.weights.price * hourly(i) / most_hourly_;
        return score;
    }

    // How long the image takes to get there; fetches under way share the rate.
    double fetch_s(const JobSpec& spec, std::size_t i) const {
        const auto& m = machines_[i];
        if (among(m.images, spec.image)) return 0;
        const auto rate = std::max(0.01, s_.types[m.type].fetch_gb_s);
        const auto others = m.fetching.size() + planned_fetch_[i].size();
        return spec.image_gb * (1.0 + static_cast<double>(others)) / rate;
    }

    Resources room_in(std::size_t i, Pass pass) const {
        Resources room = free_[i];
        if (pass != Pass::Free) room += releasing_[i];
        return room;
    }

    std::vector<std::size_t>& list_of(Pass pass) {
        if (releasing_stale_ && pass != Pass::Free) index_releasing();
        return pass == Pass::Free        ? free_list_
               : pass == Pass::Releasing ? releasing_list_
                                         : booting_list_;
    }

    // Machines that the plan has filled up leave the lists now and then.
    void thin_out() {
        if (taken_since_ < 16) return;
        taken_since_ = 0;
        for (auto pass : {Pass::Free, Pass::Releasing, Pass::Booting}) {
            std::erase_if(list_of(pass), [&](std::size_t i) {
                return claimed_[i] || !room_in(i, pass).covers(least_);
            });
        }
    }

    bool fits_place(const ItemView& item, const JobSpec& sp, ZoneIndex zone, std::size_t i) const {
        const auto& m = machines_[i];
        if (claimed_[i] || !allows(sp, m)) return false;
        if (zone != kInvalidIndex && m.zone != zone) return false;
        if (sp.one_zone && item.zone != kInvalidIndex && m.zone != item.zone) return false;
        return std::find(item.avoid.begin(), item.avoid.end(), m.ix) == item.avoid.end();
    }

    struct Candidate {
        double score = 0;
        std::size_t at = 0;
        Resources room;
        double crowding = 0;  // taken off the score already
        bool operator<(const Candidate& o) const {
            return score != o.score ? score < o.score : at > o.at;
        }
    };

    // Trial-places `count` tasks one by one inside a candidate zone (kInvalidIndex: the fleet),
    // each where it scores best; gives up as soon as the whole is out of reach unless `partial`.
    Choice trial(const ItemView& item, ZoneIndex zone, std::uint32_t count, Pass pass,
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
        zones.resize(s_.zones);
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

    // How many replicas of the service a machine and a zone have already, taken off the score: one
    // machine or zone that is lost should take few of them with it.
    double crowding(const ItemView& item, std::size_t i, const std::vector<std::uint32_t>& zones,
                    const std::vector<std::size_t>& chosen) const {
        const auto there =
            std::count(item.replicas_on.begin(), item.replicas_on.end(), machines_[i].ix) +
            std::count(chosen.begin(), chosen.end(), i);
        const auto zone = machines_[i].zone;
        const auto in_zone = zone < zones.size() ? zones[zone] : 0;
        return kMachineCrowding * static_cast<double>(there) +
               kZoneCrowding * static_cast<double>(in_zone);
    }

    std::vector<ZoneIndex> candidates(const JobSpec& sp) const {
        std::vector<ZoneIndex> zones;
        if (sp.zone != kInvalidIndex) {
            zones.push_back(sp.zone);
        } else if (sp.one_zone) {
            for (ZoneIndex z = 0; z < s_.zones; ++z) zones.push_back(z);
        } else {
            zones.push_back(kInvalidIndex);
        }
        return zones;
    }

    Choice best_of(const ItemView& item, std::uint32_t count, Pass pass, bool partial) {
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
        best.rejected = std::move(rejected);
        if (partial && best.machines.size() < count) note_fail(item, pass, 1);
        if (!partial && !best.found()) note_fail(item, pass, count);
        return best;
    }

    // The smallest number of such tasks that is known to find no room together.
    std::uint32_t fails(const ItemView& item, Pass pass) const {
        if (!plain(item)) return kNever;
        const auto it = failed_.find(key_of(item));
        return it == failed_.end() ? kNever : it->second[static_cast<std::size_t>(pass)];
    }
    void note_fail(const ItemView& item, Pass pass, std::uint32_t count) {
        if (!plain(item)) return;
        auto [it, fresh] = failed_.try_emplace(key_of(item));
        if (fresh) it->second.fill(kNever);
        auto& least = it->second[static_cast<std::size_t>(pass)];
        least = std::min(least, count);
    }
    // Nothing but its key decides where it fits.
    bool plain(const ItemView& item) const {
        const auto& sp = spec(item);
        return item.avoid.empty() && (!sp.one_zone || item.zone == kInvalidIndex) &&
               (!sp.apart || !item.begun);
    }
    FitKey key_of(const ItemView& item) const {
        const auto& sp = spec(item);
        return {sp.need, sp.types,    sp.zone,  sp.team,          sp.priority,
                sp.spot, sp.one_zone, sp.apart, item.in_guarantee};
    }

    void consume(const JobSpec& sp, const Choice& choice, bool reserve) {
        for (auto i : choice.machines) {
            free_[i] -= sp.need;
            reserved_[i] = true;
            if (!reserve) planned_fetch_[i].push_back(sp.image);
            used_[sp.team] += sp.need;
            ++taken_since_;
        }
        thin_out();
    }

    void start(const ItemView& item, const Choice& choice) {
        Start start;
        start.job = item.job;
        start.score = choice.score;
        start.rejected = choice.rejected;
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

    bool may_stop(const ItemView& item, std::size_t hold) const {
        const auto& v = *allocation_job_[hold];
        const auto& mine = spec(item);
        if (s_.allocations[hold].job == item.job) return false;
        if (v.spec.priority < mine.priority && (item.in_guarantee || !v.in_guarantee)) return true;
        return item.in_guarantee && !v.in_guarantee && v.spec.team != mine.team &&
               s_.teams[mine.team].guarantee != Resources{};
    }

    bool too_late(const ItemView& item, const Choice& choice) const {
        const JobSpec& sp = spec(item);
        if (!sp.soon) return false;
        double fetch = 0;
        for (auto i : choice.machines) fetch = std::max(fetch, fetch_s(sp, i));
        return fetch > item.slack_s && item.slack_s > 1;
    }

    struct Displacement {
        double cost = 0;
        std::size_t at = 0;
        Resources room;  // with the victims gone
        std::vector<std::size_t> victims;
        bool operator<(const Displacement& o) const {
            return cost != o.cost ? cost > o.cost : at > o.at;
        }
    };

    // The cheapest way to make room for one more task on a machine.
    bool displace(const ItemView& item, std::size_t i, const Resources& start,
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
            if (s_.allocations[a].lost_s != s_.allocations[b].lost_s) {
                return s_.allocations[a].lost_s < s_.allocations[b].lost_s;
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
            out.cost += 5 + s_.allocations[h].lost_s;
            out.victims.push_back(h);
        }
        // Spare those that turned out not to be needed.
        for (std::size_t k = 0; k < out.victims.size();) {
            Resources without = out.room;
            without -= allocation_job_[out.victims[k]]->spec.need;
            if (without.covers(sp.need)) {
                out.room = without;
                out.cost -= 5 + s_.allocations[out.victims[k]].lost_s;
                out.victims.erase(out.victims.begin() + static_cast<std::ptrdiff_t>(k));
            } else {
                ++k;
            }
        }
        return true;
    }

    // Victims whose removal makes room for the whole (for as many as can be, with `partial`),
    // fewest and cheapest first.
    Choice preempt(const ItemView& item, std::uint32_t count, bool image_there, bool partial) {
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
                if (!m.usable || !fits_place(item, sp, zone, i) || !m.room.covers(sp.need))
                    continue;
                if (image_there && fetch_s(sp, i) > 0) continue;
                if (displace(item, i, room_in(i, Pass::Releasing), choice.victims, one)) {
                    heap.push_back(one);
                }
            }
            auto zones = item.zone_counts;
            zones.resize(s_.zones);
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
                choice.victims.insert(choice.victims.end(), taken.victims.begin(),
                                      taken.victims.end());
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

    void take_victims(const ItemView& item, const Choice& choice) {
        const auto release = [&](std::size_t h) {
            victim_[h] = true;
            releasing_stale_ = true;
            releasing_[allocation_at_[h]] += allocation_job_[h]->spec.need;
        };
        for (auto h : choice.victims) {
            plan_.stops.emplace_back(s_.allocations[h].ix, s_.allocations[h].attempt);
            plan_.stops_for.push_back(item.job);
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
        for (auto& [key, least] : failed_) {
            least[static_cast<std::size_t>(Pass::Releasing)] = kNever;
            least[static_cast<std::size_t>(Pass::Booting)] = kNever;
        }
    }

    bool has_victims(const ItemView& item) {
        return std::any_of(ranks_.begin(), ranks_.end(), [&](const auto& rank) {
            ++plan_.steps;
            return may_stop(item, rank.second);
        });
    }

    void gang(const ItemView& item) {
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

    // Exception to the plain rule, see docs/design.md: small tasks would hold a large gang back
    // for ever, so one that waited long gets a claim on the room of one zone: the machines that
    // have room for it soonest.
    void claim(const ItemView& item, std::uint32_t count) {
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
                if (!m.usable || !fits_place(item, sp, zone, i) || !m.room.covers(sp.need))
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
                fit += machines_[one.at].room.fits(sp.need);
                until_s = std::max(until_s, one.s);
                mine.push_back(one.at);
            }
            if (fit >= count && until_s < best_s) best_s = until_s, best = mine;
        }
        const auto most = s_.tuning.claimed_share * static_cast<double>(machines_.size()) + 1;
        if (static_cast<double>(claims_ + best.size()) > most && claims_ > 0) return;
        for (auto i : best) claimed_[i] = true;
        claims_ += best.size();
    }

    double room_after_s(std::size_t i, const Resources& need) const {
        Resources room = free_[i];
        if (room.covers(need)) return 0;
        std::vector<std::size_t> order(
            allocations_list_.begin() + static_cast<std::ptrdiff_t>(allocations_from_[i]),
            allocations_list_.begin() + static_cast<std::ptrdiff_t>(allocations_from_[i + 1]));
        const auto left = [&](std::size_t h) {
            return s_.allocations[h].stopping || victim_[h] ? 0.0 : s_.allocations[h].left_s;
        };
        std::sort(order.begin(), order.end(), [&](auto a, auto b) { return left(a) < left(b); });
        for (auto h : order) {
            room += allocation_job_[h]->spec.need;
            if (room.covers(need)) return left(h);
        }
        return 1e9;
    }

    void array(const ItemView& item) {
        const JobSpec& sp = spec(item);
        auto left = team_room(sp, item.waiting);
        if (left == 0) {
            if (goes_first(item)) used_[sp.team] += sp.need;
            return;
        }
        const bool starving = goes_first(item);
        const auto later =
            starving && left > s_.tuning.starving_tasks ? left - s_.tuning.starving_tasks : 0;
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

    void demand(const ItemView& item, std::uint32_t count) { demands_.emplace_back(&item, count); }

    bool refused(TypeIndex type, ZoneIndex zone, bool spot) const {
        return std::find(s_.refused.begin(), s_.refused.end(), std::tuple(type, zone, spot)) !=
               s_.refused.end();
    }

    struct Virtual {
        TypeIndex type;
        ZoneIndex zone;
        bool spot;
        Resources free;
    };

    bool take_virtual(const JobSpec& sp, ZoneIndex zone) {
        for (std::size_t k = 0; k < open_virtual_.size(); ++k) {
            ++plan_.steps;
            auto& v = virtual_[open_virtual_[k]];
            if ((sp.types >> v.type & 1) == 0 || (v.spot && !sp.spot)) continue;
            if (zone != kInvalidIndex && v.zone != zone) continue;
            if (!v.free.covers(sp.need)) continue;
            v.free -= sp.need;
            if (!v.free.covers(least_)) {
                open_virtual_.erase(open_virtual_.begin() + static_cast<std::ptrdiff_t>(k));
            }
            return true;
        }
        return false;
    }

    bool add_virtual(const JobSpec& sp, ZoneIndex only_zone, bool spot) {
        if (virtual_.size() >= kMostRented) return false;
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

    void rent_all() {
        for (auto [item, count] : demands_) {
            const JobSpec& sp = spec(*item);
            auto left = std::min<std::uint32_t>(count, 2 * kMostRented);
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
                rent_apart(*item, left);
                continue;
            }
            std::vector<ZoneIndex> zones{item->zone};
            if (sp.gang && sp.one_zone && item->zone == kInvalidIndex) zones = zones_by_room(*item);
            left = wait_for_places(sp, left, item->rent_patience_s);
            for (auto zone : zones) left = rent_for(sp, zone, left, true);
            left = wait_for_places(sp, left, item->dear_patience_s);
            for (auto zone : zones) left = rent_for(sp, zone, left, false);
        }
        // Resources to keep warm is rented only where it is cheap.
        for (auto [sp, count] : warm_demands_) rent_for(*sp, kInvalidIndex, count, sp->spot);
        // In the order of what waits: where the cloud has few machines left, the first gets them.
        for (const auto& v : virtual_) {
            const auto same =
                std::find_if(plan_.rents.begin(), plan_.rents.end(), [&](const Rent& rent) {
                    return rent.type == v.type && rent.zone == v.zone && rent.spot == v.spot;
                });
            if (same != plan_.rents.end()) {
                ++same->number;
            } else {
                plan_.rents.push_back({v.type, v.zone, v.spot, 1});
            }
        }
    }

    // What the first of the waiting gangs could use already is kept until the rest has come. Where
    // the cloud has few machines to give they come one by one, and each was idle for long enough to
    // be released before the next one was there; kept for several gangs, none ever got enough.
    void keep_what_came(const ItemView& item) {
        const JobSpec& sp = spec(item);
        kept_for_gang_ = true;
        if (sp.apart && !sp.one_zone && sp.zone == kInvalidIndex) {
            for (ZoneIndex z = 0; z < s_.zones; ++z) keep_for(item, z, (sp.count + 1) / 2);
        } else if (sp.one_zone && sp.zone == kInvalidIndex) {
            const auto zones = zones_by_room(item);
            if (!zones.empty()) keep_for(item, zones.front(), sp.count);
        } else {
            keep_for(item, sp.zone, sp.count);
        }
    }

    void keep_for(const ItemView& item, ZoneIndex zone, std::int64_t count) {
        const JobSpec& sp = spec(item);
        for (const auto i : list_of(Pass::Booting)) {
            ++plan_.steps;
            if (count <= 0 || !fits_place(item, sp, zone, i)) continue;
            const auto fits = free_[i].fits(sp.need);
            if (fits > 0) reserved_[i] = true;
            count -= fits;
        }
    }

    // The zones it may use, the one with most room first, what is being rented included.
    std::vector<ZoneIndex> zones_by_room(const ItemView& item) {
        const JobSpec& sp = spec(item);
        if (sp.zone != kInvalidIndex) return {sp.zone};
        std::vector<std::int64_t> fit(s_.zones);
        for (const auto i : list_of(Pass::Booting)) {
            ++plan_.steps;
            if (!fits_place(item, sp, kInvalidIndex, i)) continue;
            fit[machines_[i].zone] += free_[i].fits(sp.need);
        }
        for (const auto k : open_virtual_) fit[virtual_[k].zone] += virtual_[k].free.fits(sp.need);
        std::vector<ZoneIndex> zones(s_.zones);
        for (ZoneIndex z = 0; z < s_.zones; ++z) zones[z] = z;
        count_zones();
        // Among equals the zone with fewer machines: they would all pile up in the first.
        std::stable_sort(zones.begin(), zones.end(), [&](ZoneIndex a, ZoneIndex b) {
            return fit[a] != fit[b] ? fit[a] > fit[b] : in_zone_[a] < in_zone_[b];
        });
        return zones;
    }

    void count_zones() {
        if (!in_zone_.empty()) return;
        in_zone_.resize(s_.zones + 1);
        for (const auto& m : machines_) ++in_zone_[std::min<std::size_t>(m.zone, s_.zones)];
    }

    // How many of `count` are left without a place that is free within `patience_s`.
    std::uint32_t wait_for_places(const JobSpec& sp, std::uint32_t count, double patience_s) {
        for (auto h : ending_) {
            if (count == 0) break;
            ++plan_.steps;
            const auto& view = s_.allocations[h];
            if (soon_used_[h] || victim_[h] || view.left_s > patience_s) continue;
            const auto& m = machines_[allocation_at_[h]];
            if (!m.usable || !allows(sp, m) || !allocation_job_[h]->spec.need.covers(sp.need))
                continue;
            soon_used_[h] = true;
            --count;
        }
        return count;
    }

    // No zone gets more than half of the job: what lies there beyond that, free or rented, is of no
    // use to it. Rented as any other, it got machine after machine in the zone that had room.
    void rent_apart(const ItemView& item, std::uint32_t count) {
        const JobSpec& sp = spec(item);
        const std::uint32_t half = (sp.count + 1) / 2;
        std::vector<std::int64_t> fit(s_.zones);
        for (const auto i : list_of(Pass::Booting)) {
            ++plan_.steps;
            // What it keeps off, since it failed there, is no room for it.
            if (!fits_place(item, sp, kInvalidIndex, i)) continue;
            fit[machines_[i].zone] += free_[i].fits(sp.need);
        }
        std::vector<std::uint32_t> open(s_.zones);  // how many more each zone may take
        for (ZoneIndex z = 0; z < s_.zones; ++z) {
            const auto there = z < item.zone_counts.size() ? item.zone_counts[z] : 0;
            const auto most = half - std::min(half, there);
            const auto have = static_cast<std::uint32_t>(std::min<std::int64_t>(most, fit[z]));
            open[z] = most - have;
            count -= std::min(count, have);
        }
        for (const bool spot : {true, false}) {
            for (ZoneIndex z = 0; z < s_.zones; ++z) {
                const auto ask = std::min(count, open[z]);
                const auto got = ask - rent_for(sp, z, ask, spot);
                open[z] -= got;
                count -= got;
            }
        }
    }

    // How many of `count` no machine could be planned for.
    std::uint32_t rent_for(const JobSpec& sp, ZoneIndex zone, std::uint32_t count, bool spot) {
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
        Resources rest = total_;
        rest -= returning_;
        rest -= m.room;
        return (s_.kept_guarantee.cpus > 0 && rest.cpus < s_.kept_guarantee.cpus) ||
               (s_.kept_guarantee.gpus > 0 && rest.gpus < s_.kept_guarantee.gpus);
    }

    double hourly(std::size_t i) const {
        const auto& type = s_.types[machines_[i].type];
        return machines_[i].spot ? type.spot_hourly : type.hourly;
    }

    // Whether all work of a machine ends soon or fits into free room on machines that are cheaper,
    // or as cheap and in use; takes that room if so.
    bool can_empty(std::size_t i) {
        std::vector<std::pair<std::size_t, Resources>> use;
        const auto give_back = [&] {
            for (auto& [at, need] : use) free_[at] += need;
            return false;
        };
        for (auto k = allocations_from_[i]; k < allocations_from_[i + 1]; ++k) {
            const auto& view = s_.allocations[allocations_list_[k]];
            const auto& sp = allocation_job_[allocations_list_[k]]->spec;
            if (view.left_s < 40) continue;
            // A replica keeps its zone, so that what has to be apart stays so.
            const bool replica_moves = sp.service && view.ran_ms > kReplicaSettled;
            const bool moves =
                replica_moves || (sp.checkpoint_s > 0 && sp.spot && sp.save_s < 10 && !sp.apart &&
                                  view.ran_ms > s_.tuning.drain_after_ms && view.left_s > 60);
            if (!moves) return give_back();
            const auto to = place_to_move(i, sp, view.left_s);
            if (to == machines_.size()) return give_back();
            use.emplace_back(to, sp.need);
            free_[to] -= sp.need;
        }
        for (auto& [at, need] : use) reserved_[at] = true;
        return true;
    }

    // A cheaper machine, or one as cheap and in use; machines_.size() if there is none.
    std::size_t place_to_move(std::size_t i, const JobSpec& sp, double left_s) {
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

    // Empties machines whose work can go on elsewhere: what saves is moved, the rest is left to
    // end. The dearest go first, a few at a time. The protocol lets tasks be stopped to return a
    // machine. One at a time took most of an hour to shrink a fleet of a thousand.
    void drain_some() {
        plan_.short_of_room = !demands_.empty();
        if (!demands_.empty() || !plan_.stops.empty() || !s_.may_drain) return;
        std::vector<std::tuple<double, std::size_t, std::size_t>> order;
        for (std::size_t i = 0; i < machines_.size(); ++i) {
            const auto& m = machines_[i];
            const auto allocations = allocations_from_[i + 1] - allocations_from_[i];
            if (!m.usable || reserved_[i] || claimed_[i] || allocations == 0) continue;
            if (m.age_ms < 60000 || kept_for_guarantees(i)) continue;
            order.emplace_back(-hourly(i), allocations, i);
        }
        const auto most =
            1 + static_cast<std::size_t>(s_.tuning.drain_share * static_cast<double>(order.size()));
        const auto tried = std::min(order.size(), kMostDrainTried + 2 * most);
        std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(tried),
                          order.end());
        emptied_.assign(machines_.size(), 0);
        for (std::size_t k = 0; k < tried && plan_.drains.size() < most; ++k) {
            const auto i = std::get<2>(order[k]);
            if (reserved_[i] || kept_for_guarantees(i)) continue;
            emptied_[i] = 1;
            if (can_empty(i)) {
                plan_.drains.push_back(machines_[i].ix);
                returning_ += machines_[i].room;
            } else {
                emptied_[i] = 0;
            }
        }
    }

    void return_idle() {
        // Resources kept warm: the cheapest idle machines stay, the dear ones go first.
        std::vector<std::size_t> idle;
        for (std::size_t i = 0; i < machines_.size(); ++i) {
            const auto& m = machines_[i];
            if (!m.usable || reserved_[i] || claimed_[i] ||
                allocations_from_[i] != allocations_from_[i + 1]) {
                continue;
            }
            if (m.idle_ms < m.keep_ms || m.age_ms < 60000) continue;
            idle.push_back(i);
        }
        std::stable_sort(idle.begin(), idle.end(),
                         [&](auto a, auto b) { return hourly(a) > hourly(b); });
        // A spare one may be what the cloud has no second of for those that wait.
        const auto spare = demands_.empty() ? s_.tuning.spare_machines : 0;
        for (std::size_t k = 0; k + spare < idle.size(); ++k) {
            if (kept_for_guarantees(idle[k])) continue;
            returning_ += machines_[idle[k]].room;
            plan_.returns.push_back(machines_[idle[k]].ix);
        }
    }

    static constexpr std::size_t kMostRented = 200;
    static constexpr std::size_t kMostDrainTried = 16;
    static constexpr double kFetchToMove = 0.12;
    static constexpr double kMachineCrowding = 2.5;  // less than what the image being there counts
    static constexpr double kZoneCrowding = 0.5;
    static constexpr Millis kReplicaSettled =
        600'000;  // moved to release a machine after that long

    const Snapshot& s_;
    const std::vector<MachineView>& machines_;
    std::vector<Resources> free_;
    std::vector<Resources> used_;
    std::vector<Resources> releasing_;
    std::vector<char> claimed_;
    std::vector<char> reserved_;
    std::vector<char> emptied_;
    std::vector<std::vector<ImageIndex>> planned_fetch_;
    std::vector<std::size_t> position_;  // by machine
    std::vector<std::size_t> allocation_at_;
    std::vector<const JobView*> allocation_job_;
    std::vector<std::size_t> allocations_from_;  // per machine, into allocations_list_
    std::vector<std::size_t> allocations_list_;
    std::vector<std::size_t> ending_;  // allocations that end within the longest patience
    std::vector<char> soon_used_;
    std::vector<char> victim_;
    std::unordered_map<const ItemView*, const JobView*> item_jobs_;
    Resources least_;  // what asks for least of each
    Resources total_;
    Resources returning_;
    std::vector<std::size_t> free_list_;
    std::vector<std::size_t> releasing_list_;
    std::vector<std::size_t> booting_list_;
    bool releasing_stale_ = false;
    std::size_t taken_since_ = 0;
    std::vector<Candidate> candidates_;
    std::vector<std::size_t> order_;
    std::vector<const ItemView*> first_;
    std::size_t claims_ = 0;
    std::map<FitKey, std::array<std::uint32_t, kPasses>> failed_;
    std::map<RankKey, std::size_t> ranks_;  // of what runs, with one hold of each
    std::vector<std::pair<const ItemView*, std::uint32_t>> demands_;
    std::vector<Virtual> virtual_;
    std::vector<std::size_t> open_virtual_;
    std::vector<std::int64_t> in_zone_;
    std::vector<std::pair<const JobSpec*, std::uint32_t>> warm_demands_;
    bool warm_reserved_ = false;
    bool kept_for_gang_ = false;
    double longest_patience_ = 0;
    double most_hourly_ = 1;
    Plan plan_;
};

}  // namespace

Plan make_plan(const Snapshot& snapshot) { return Planner(snapshot).run(); }

}  // namespace lichendrift::core
