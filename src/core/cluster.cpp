#include "core/cluster.h"

#include <cmath>

namespace lichendrift::core {

namespace {

constexpr std::size_t kMostWarm = 16;

std::int64_t need_thousandths(double amount) {
    return static_cast<std::int64_t>(std::ceil(amount * 1000.0 - 1e-6));
}

}  // namespace

Cluster::Cluster(ClusterSettings settings, Names& types, Names& zones)
    : settings_(std::move(settings)), types_(types), zones_(zones) {
    for (const auto& team : settings_.teams) {
        teams_.intern(team.name);
        team_list_.push_back(team);
    }
    team_used_.resize(team_list_.size());
    team_busy_.resize(team_list_.size(), -1);
    settings_.tuning.claims = settings_.guards.claims;
    for (const auto& aim : settings_.aims) {
        if (aim.kind == Aim::Kind::Guarantee) guarantee_s_ = aim.within_s;
    }
}

void Cluster::set_types(const std::vector<MachineType>& types) {
    for (const auto& type : types) {
        const auto ix = types_.intern(type.name);
        if (type_info_.size() <= ix) type_info_.resize(ix + 1);
        type_info_[ix] = type;
        for (const auto& zone : type.zones) zones_.intern(zone);
    }
}

void Cluster::add_job(const JobText& text, std::uint64_t open_rev, Millis now, bool over,
                      Millis age_ms) {
    if (job_ids_.contains(text.id)) return;
    const auto ix = next_job_++;
    job_ids_.emplace(text.id, ix);
    Job& job = jobs_[ix];
    job.id = text.id;
    job.text = text;
    job.open_rev = open_rev;
    job.over = over;
    job.aborted = over;
    // A new leader goes on counting: with a change of leader every few minutes nothing would ever
    // have waited long enough to go first.
    job.waiting_since = now - std::max<Millis>(age_ms, 0);
    job.done_flags.resize(text.count);
    JobSpec& spec = job.spec;
    spec.cls = classes_.intern(text.cls);
    spec.team = teams_.find(text.team);
    spec.gang = text.gang;
    spec.service = text.service;
    spec.priority = text.priority;
    spec.count = text.count;
    spec.need = {need_thousandths(text.cpus), need_thousandths(text.gpus),
                 need_thousandths(text.mem_gb)};
    spec.image = images_.intern(text.image);
    spec.image_gb = text.image_gb;
    if (text.types) {
        spec.types = 0;
        for (const auto& type : *text.types) {
            if (const auto t = types_.intern(type); t < 64) spec.types |= 1ULL << t;
        }
    }
    spec.zone = text.zone ? zones_.intern(*text.zone) : kNone;
    spec.one_zone = text.one_zone;
    spec.apart = text.apart;
    spec.spot = text.spot;
    spec.estimate_s = text.estimate_s;
    spec.checkpoint_s = text.checkpoint_s;
    spec.save_s = text.save_s;
    spec.deadline_s = text.deadline_s;
    spec.submitted_ms = text.submitted_ms;
    if (class_aims_.size() <= spec.cls) {
        class_aims_.resize(spec.cls + 1);
        for (const auto& aim : settings_.aims) {
            if (aim.cls != text.cls) continue;
            auto& aims = class_aims_[spec.cls];
            if (aim.kind == Aim::Kind::Start) aims.start_within_s.push_back(aim.within_s);
            if (aim.kind == Aim::Kind::Finish) aims.finish_within_s.push_back(aim.within_s);
        }
    }
    // A replica that is not up is a loss for as long as it is not.
    spec.soon = spec.service || !class_aims_[spec.cls].start_within_s.empty();
    spec.starving_ms = spec.gang ? 60000 : 120000;
    if (settings_.policy) {
        const auto about = facts(job);
        spec.weights = settings_.policy->weights(about);
        spec.starving_ms = static_cast<Millis>(settings_.policy->starving_s(about) * 1000);
    }
    if (spec.soon) {
        warm_[spec.image] = now;
        Arrivals& arrivals = arrivals_[spec.cls];
        const double passed = static_cast<double>(now - arrivals.at) / kRateFor;
        arrivals.rate = arrivals.rate * std::exp(-passed) + spec.count * 1000.0 / kRateFor;
        arrivals.at = now;
        arrivals.spec = spec;
        if (warm_.size() > kMostWarm) {
            warm_.erase(std::min_element(warm_.begin(), warm_.end(),
                                         [](auto& a, auto& b) { return a.second < b.second; }));
        }
    }
}

void Cluster::job_over(const std::string& job_id, bool aborted, Millis now) {
    auto found = job_ids_.find(job_id);
    if (found == job_ids_.end()) return;
    const auto ix = found->second;
    Job& job = jobs_[ix];
    if (job.over) return;
    job.over = true;
    job.aborted = aborted;
    job.finishing = false;
    std::vector<HoldIx> held;
    for (auto& [task, hix] : job.holds) held.push_back(hix);
    for (auto hix : held) {
        Hold& h = hold(hix);
        if (h.state == Hold::State::Planned || h.state == Hold::State::Ready) {
            release(hix, false, now);
        } else if (aborted) {
            stop_hold(hix, 0, now);
        }
    }
    drop_if_gone(ix);
}

std::vector<std::string> Cluster::policy_complaints() {
    return settings_.policy ? settings_.policy->complaints() : std::vector<std::string>{};
}

bool Cluster::start_allowed(const Job& job,
                            const std::vector<std::pair<std::uint32_t, MachineIx>>& on,
                            Millis now) const {
    const JobSpec& spec = job.spec;
    if (job.over || job.finishing || spec.team == kNone) return false;
    std::map<MachineIx, Room> free;
    std::map<ZoneIx, std::uint32_t> zones;
    for (const auto& [task, hix] : job.holds) ++zones[machines_[holds_[hix].machine].zone];
    Room team = team_used_[spec.team];
    for (auto [task, mix] : on) {
        const Machine& machine = machines_[mix];
        if (job.holds.contains(task) || job.done_flags[task] != 0) return false;
        if (!usable(machine, now)) return false;
        if (machine.type >= 64 || (spec.types >> machine.type & 1) == 0) return false;
        if (spec.zone != kNone && machine.zone != spec.zone) return false;
        if (machine.spot && !spec.spot) return false;
        auto [it, fresh] = free.try_emplace(mix, type_info_[machine.type].room);
        if (fresh) it->second -= machine.used;
        if (!it->second.holds(spec.need)) return false;
        it->second -= spec.need;
        ++zones[machine.zone];
        team += spec.need;
    }
    // Tasks on machines whose zone is not known could be anywhere.
    if ((spec.one_zone || spec.apart) && zones.contains(kNone)) return false;
    if (spec.one_zone && zones.size() > 1) return false;
    if (spec.apart) {
        for (auto [zone, count] : zones) {
            if (count > (spec.count + 1) / 2) return false;
        }
    }
    return !exceeds(team, team_list_[spec.team].limit);
}

Cluster::Applied Cluster::apply(const Plan& plan, Millis now) {
    Applied applied;
    for (const auto& start : plan.starts) {
        auto it = jobs_.find(start.job);
        if (it == jobs_.end()) continue;
        Job& job = it->second;
        const auto most = static_cast<std::uint32_t>(start.machines.size());
        if (waiting(job) < most || job.retry_at > now) continue;
        const auto tasks = take_waiting(job, most);
        if (job.spec.gang && tasks.size() != job.spec.count) continue;
        std::vector<std::pair<std::uint32_t, MachineIx>> on;
        for (std::size_t i = 0; i < tasks.size(); ++i) on.emplace_back(tasks[i], start.machines[i]);
        if (!start_allowed(job, on, now)) {
            ++applied.refused;
            continue;
        }
        const auto attempt = settings_.token * 10'000'000 + ++attempts_;
        const auto& images = machines_[on.front().second].images;
        const bool there = std::find(images.begin(), images.end(), job.spec.image) != images.end();
        std::string line = "place " + job.id + " (" + job.text.cls + ") attempt " +
                           std::to_string(attempt) + " after " +
                           std::to_string((now - job.waiting_since) / 1000) + " s, image " +
                           (there ? "there" : "to fetch") + ", score " +
                           std::to_string(std::lround(start.score * 100)) + "/100";
        for (auto zone : start.rejected) line += ", no room in " + zones_.name(zone);
        line += ", on";
        for (auto [task, mix] : on) {
            Hold h;
            h.job = start.job;
            h.task = task;
            h.attempt = attempt;
            h.machine = mix;
            h.session = machines_[mix].session;
            h.since = now;
            if (!settings_.guards.record_first) h.state = Hold::State::Ready;
            while (job.next_fresh <= task) job.again.insert(job.next_fresh++);
            job.again.erase(task);
            new_hold(h);
            mark_dirty(job, task);
            if (line.size() < 200) line += " " + machines_[mix].name;
        }
        job.started_at = now;
        applied.lines.push_back(std::move(line));
        ++applied.starts;
    }
    for (std::size_t k = 0; k < plan.stops.size(); ++k) {
        const auto [hix, attempt] = plan.stops[k];
        if (hix >= holds_.size() || holds_[hix].attempt != attempt || holds_[hix].stop) continue;
        const Hold& h = holds_[hix];
        const JobSpec& spec = jobs_[h.job].spec;
        // Saving is worth its time only if more than that would be lost.
        const bool save = spec.checkpoint_s > 0 && h.phase == TaskPhase::Running &&
                          spec.checkpoint_s / 2 > spec.save_s;
        const auto mine = k < plan.stops_for.size() ? jobs_.find(plan.stops_for[k]) : jobs_.end();
        applied.lines.push_back("preempt " + jobs_[h.job].id + "/" + std::to_string(h.task) +
                                " on " + machines_[h.machine].name +
                                (mine == jobs_.end() ? "" : " for " + mine->second.id));
        stop_with_gang(hix, save ? spec.save_s : 0, now);
        ++applied.stops;
    }
    for (auto mix : plan.returns) {
        Machine& machine = machines_[mix];
        if (machine.life != Machine::Life::Up || !machine.holds.empty()) continue;
        machine.life = Machine::Life::Returning;
        applied.lines.push_back("idle machine " + machine.name + " is returned");
    }
    // Emptying several machines in a row left jobs waiting beside half-empty machines that took
    // nothing any more: one in a while, and all are taken back as soon as room is short.
    for (auto& machine : machines_) {
        if (!plan.short_of_room || !machine.emptying || machine.life != Machine::Life::Up) continue;
        machine.emptying = false;
        machine.drain = machine.condemned;
        applied.lines.push_back("machine " + machine.name + " is kept after all");
    }
    const bool may_drain = now - drained_at_ >= settings_.tuning.drain_every_ms;
    for (auto mix : plan.drains) {
        Machine& machine = machines_[mix];
        if (machine.life != Machine::Life::Up || machine.drain || !may_drain) continue;
        drained_at_ = now;
        machine.drain = true;
        machine.emptying = true;
        applied.lines.push_back("machine " + machine.name + " is emptied to be returned");
        const auto held = machine.holds;
        for (auto hix : held) {
            const Hold& h = holds_[hix];
            if (h.job == kNone) continue;
            const JobSpec& spec = jobs_[h.job].spec;
            if (spec.service) {
                stop_hold(hix, 0, now);
                continue;
            }
            if (spec.checkpoint_s <= 0 || h.phase != TaskPhase::Running) continue;
            if (spec.estimate_s * 1000 - static_cast<double>(now - h.running_since) < 60000)
                continue;
            stop_with_gang(hix, spec.save_s, now);
        }
    }
    applied.rents = plan.rents;
    return applied;
}

std::vector<std::pair<std::string, Cluster::Counts>> Cluster::job_counts(bool all) {
    std::vector<std::pair<std::string, Counts>> out;
    for (auto& [jix, job] : jobs_) {
        if (job.over) continue;
        Counts counts{job.done, 0};
        for (const auto& [task, hix] : job.holds) {
            if (holds_[hix].phase == TaskPhase::Running) ++counts.running;
        }
        const bool changed = counts.done != job.told_done || counts.running != job.told_running;
        if (!changed && (!all || counts.done + counts.running == 0)) continue;
        job.told_done = counts.done;
        job.told_running = counts.running;
        out.emplace_back(job.id, counts);
    }
    return out;
}

}  // namespace lichendrift::core
