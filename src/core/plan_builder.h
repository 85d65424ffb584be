#pragma once

#include <array>
#include <limits>
#include <map>
#include <tuple>
#include <unordered_map>

#include "core/planner.h"

// One plan in the making: how make_plan() works. Its parts have a source file each.
namespace lichendrift::core {

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
    std::vector<ZoneIndex> rejected_zones;
    [[nodiscard]] bool found() const { return !machines.empty(); }
};

// The cost of a plan has to grow with what waits and with the room there is, not with the fleet:
// lists of the machines with any room are kept and thinned out as they fill up, a trial scores
// each of them once, and what did not fit is remembered by its key. Before, each trial walked the
// whole fleet for each task; with 1,200 machines that took the leader's processor for minutes.
class PlanBuilder {
  public:
    explicit PlanBuilder(const Snapshot& snapshot);
    Plan run();

  private:
    void index_allocations();
    void index_items();
    void index_room() {
        for (std::size_t i = 0; i < machines_.size(); ++i) {
            if (machines_[i].usable && free_[i].covers(minimum_)) free_list_.push_back(i);
        }
        index_releasing();
    }

    void index_releasing();
    // In the order of the design: guarantee, priority, slack, age. What waited too long goes first
    // among its equals, a few at a time: without that, newcomers with an aim still ahead of them
    // kept the largest jobs from beginning for as long as they came.
    std::vector<const WaitingJob*> order();
    bool starves(const WaitingJob& item) const {
        if (!s_.tuning.reservations || item.waited_ms <= spec(item).starvation_threshold_ms)
            return false;
        return !spec(item).gang || spec(item).count > 1;
    }

    bool goes_first(const WaitingJob& item) const {
        return std::find(first_.begin(), first_.end(), &item) != first_.end();
    }

    const JobSpec& spec(const WaitingJob& item) const { return item_jobs_.at(&item)->spec; }

    bool allows(const JobSpec& spec, const MachineView& m) const {
        return m.type < 64 && (spec.types >> m.type & 1) != 0 &&
               (spec.zone == kInvalidIndex || spec.zone == m.zone) && (spec.spot || !m.spot);
    }

    std::uint32_t team_room(const JobSpec& spec, std::uint32_t limit) const;
    static bool among(const std::vector<ImageIndex>& images, ImageIndex image) {
        return std::find(images.begin(), images.end(), image) != images.end();
    }

    double node_score(const JobSpec& spec, std::size_t i, const Resources& room) const;
    // How long the image takes to get there; fetches under way share the rate.
    double fetch_s(const JobSpec& spec, std::size_t i) const;
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
    void thin_out();
    bool fits_place(const WaitingJob& item, const JobSpec& sp, ZoneIndex zone, std::size_t i) const;
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
    Choice trial(const WaitingJob& item, ZoneIndex zone, std::uint32_t count, Pass pass,
                 bool partial);
    // How many replicas of the service a machine and a zone have already, taken off the score: one
    // machine or zone that is lost should take few of them with it.
    double crowding(const WaitingJob& item, std::size_t i, const std::vector<std::uint32_t>& zones,
                    const std::vector<std::size_t>& chosen) const;
    std::vector<ZoneIndex> candidates(const JobSpec& sp) const;
    Choice best_of(const WaitingJob& item, std::uint32_t count, Pass pass, bool partial);
    // The smallest number of such tasks that is known to find no room together.
    std::uint32_t fails(const WaitingJob& item, Pass pass) const {
        if (!plain(item)) return kNever;
        const auto it = failed_.find(key_of(item));
        return it == failed_.end() ? kNever : it->second[static_cast<std::size_t>(pass)];
    }

    void note_fail(const WaitingJob& item, Pass pass, std::uint32_t count);
    // Nothing but its key decides where it fits.
    bool plain(const WaitingJob& item) const {
        const auto& sp = spec(item);
        return item.avoided_machines.empty() && (!sp.one_zone || item.zone == kInvalidIndex) &&
               (!sp.apart || !item.has_started);
    }

    FitKey key_of(const WaitingJob& item) const {
        const auto& sp = spec(item);
        return {sp.need, sp.types,    sp.zone,  sp.team,          sp.priority,
                sp.spot, sp.one_zone, sp.apart, item.in_guarantee};
    }

    void consume(const JobSpec& sp, const Choice& choice, bool reserve);
    void start(const WaitingJob& item, const Choice& choice);
    // Places kept free for classes whose tasks should start sooner than room comes free. What such
    // a class could displace needs no keeping.
    void keep_warm(const WaitingJob& item);
    void reserve_places(const WarmCapacity& warm);
    bool may_stop(const WaitingJob& item, std::size_t allocation) const;
    bool too_late(const WaitingJob& item, const Choice& choice) const;
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
    bool displace(const WaitingJob& item, std::size_t i, const Resources& start,
                  const std::vector<std::size_t>& chosen, Displacement& out);
    // Victims whose removal makes room for the whole (for as many as can be, with `partial`),
    // fewest and cheapest first.
    Choice preempt(const WaitingJob& item, std::uint32_t count, bool image_there, bool partial);
    void take_victims(const WaitingJob& item, const Choice& choice);
    bool has_victims(const WaitingJob& item) {
        return std::any_of(ranks_.begin(), ranks_.end(), [&](const auto& rank) {
            ++plan_.steps;
            return may_stop(item, rank.second);
        });
    }

    void gang(const WaitingJob& item);
    // Exception to the plain rule, see docs/design.md: small tasks would hold a large gang back
    // for ever, so one that waited long gets a claim on the room of one zone: the machines that
    // have room for it soonest.
    void claim(const WaitingJob& item, std::uint32_t count);
    double room_after_s(std::size_t i, const Resources& need) const;
    void array(const WaitingJob& item);
    void demand(const WaitingJob& item, std::uint32_t count) {
        demands_.emplace_back(&item, count);
    }

    bool refused(TypeIndex type, ZoneIndex zone, bool spot) const {
        return std::find(s_.refused_provisions.begin(), s_.refused_provisions.end(),
                         ProvisioningPool{type, zone, spot}) != s_.refused_provisions.end();
    }

    struct Virtual {
        TypeIndex type;
        ZoneIndex zone;
        bool spot;
        Resources free;
    };

    bool take_virtual(const JobSpec& sp, ZoneIndex zone);
    bool add_virtual(const JobSpec& sp, ZoneIndex only_zone, bool spot);
    void provision_all();
    // What the first of the waiting gangs could use already is kept until the rest has come. Where
    // the cloud has few machines to give they come one by one, and each was idle for long enough to
    // be released before the next one was there; kept for several gangs, none ever got enough.
    void keep_what_came(const WaitingJob& item);
    void keep_for(const WaitingJob& item, ZoneIndex zone, std::int64_t count);
    // The zones it may use, the one with most room first, what is being rented included.
    std::vector<ZoneIndex> zones_by_room(const WaitingJob& item);
    void count_zones() {
        if (!in_zone_.empty()) return;
        in_zone_.resize(s_.zone_count + 1);
        for (const auto& m : machines_) ++in_zone_[std::min<std::size_t>(m.zone, s_.zone_count)];
    }

    // How many of `count` are left without a place that is free within `patience_s`.
    std::uint32_t wait_for_places(const JobSpec& sp, std::uint32_t count, double patience_s);
    // No zone gets more than half of the job: what lies there beyond that, free or rented, is of no
    // use to it. Rented as any other, it got machine after machine in the zone that had room.
    void provision_apart(const WaitingJob& item, std::uint32_t count);
    // How many of `count` no machine could be planned for.
    std::uint32_t provision_for(const JobSpec& sp, ZoneIndex zone, std::uint32_t count, bool spot);
    // Where guaranteed work should start sooner than a machine boots, room for the guarantees has
    // to be up already.
    bool kept_for_guarantees(std::size_t i) const;
    double hourly(std::size_t i) const {
        const auto& type = s_.types[machines_[i].type];
        return machines_[i].spot ? type.spot_hourly : type.hourly;
    }

    // Whether all work of a machine ends soon or fits into free room on machines that are cheaper,
    // or as cheap and in use; takes that room if so.
    bool can_empty(std::size_t i);
    // A cheaper machine, or one as cheap and in use; machines_.size() if there is none.
    std::size_t place_to_move(std::size_t i, const JobSpec& sp, double left_s);
    // Empties machines whose work can go on elsewhere: what saves is moved, the rest is left to
    // end. The dearest go first, a few at a time. The protocol lets tasks be stopped to return a
    // machine. One at a time took most of an hour to shrink a fleet of a thousand.
    void drain_some();
    void return_idle();
    static constexpr std::size_t kMaxProvisioned = 200;
    static constexpr std::size_t kMaxDrainTried = 16;
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
    std::unordered_map<const WaitingJob*, const JobView*> item_jobs_;
    Resources minimum_;  // what asks for least of each
    Resources total_;
    Resources scaled_in_;
    std::vector<std::size_t> free_list_;
    std::vector<std::size_t> releasing_list_;
    std::vector<std::size_t> booting_list_;
    bool releasing_stale_ = false;
    std::size_t taken_since_ = 0;
    std::vector<Candidate> candidates_;
    std::vector<std::size_t> order_;
    std::vector<const WaitingJob*> first_;
    std::size_t claims_ = 0;
    std::map<FitKey, std::array<std::uint32_t, kPasses>> failed_;
    std::map<RankKey, std::size_t> ranks_;  // of what runs, with one hold of each
    std::vector<std::pair<const WaitingJob*, std::uint32_t>> demands_;
    std::vector<Virtual> virtual_;
    std::vector<std::size_t> open_virtual_;
    std::vector<std::int64_t> in_zone_;
    std::vector<std::pair<const JobSpec*, std::uint32_t>> warm_demands_;
    bool warm_reserved_ = false;
    bool kept_for_gang_ = false;
    double longest_patience_ = 0;
    double max_hourly_ = 1;
    Plan plan_;
};

}  // namespace lichendrift::core
