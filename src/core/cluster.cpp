#include "core/cluster.h"

#include <cmath>

namespace lichendrift::core {

namespace {

constexpr Millis kForgetGone = 900'000;
constexpr std::size_t kMostWarm = 16;
constexpr double kRateFor = 120'000;
constexpr Millis kWarmFor = 600'000;
constexpr Millis kLazyDelay = 8000;
constexpr Millis kLazyAtMost = 20000;      // beyond that delay, even if other writes wait
constexpr Millis kCallPause = 150;         // after a direct command that was carried out
constexpr Millis kRefusedPause = 400;      // after one that was refused
constexpr Millis kUnansweredPause = 3000;  // after one without an answer
constexpr Millis kTakenMargin = 1500;
constexpr int kLostLeases = 3;                 // in a row
constexpr std::uint32_t kLeastOfAZone = 8;     // fewer may well have ended together
constexpr std::uint32_t kHeardOfACutZone = 5;  // of so many, less than one is heard
constexpr Millis kCutPatience = 3;             // leases
constexpr int kDeafMisses = 2;                 // a single answer may be lost or late

std::int64_t need_thousandths(double amount) {
    return static_cast<std::int64_t>(std::ceil(amount * 1000.0 - 1e-6));
}

bool exceeds(const Room& used, const Room& limit) {
    return (limit.cpus > 0 && used.cpus > limit.cpus) ||
           (limit.gpus > 0 && used.gpus > limit.gpus) || (limit.mem > 0 && used.mem > limit.mem);
}

// Seconds left until the next aim that can still be met is lost. What has lost them all waits like
// something with moderate time left, and less the longer it waits: it neither goes before what can
// still be in time nor starves behind newcomers whose aims lie ahead.
double slack_of(const JobSpec& spec, const ClassAims& aims, double age_s, double fetch_s,
                double guarantee_s, double waited_s) {
    constexpr double kEstimateRoom = 1.4;  // estimates are often wrong by half
    constexpr double kNoAim = 120;
    constexpr double kAllLost = 30;
    const double takes_s = spec.estimate_s * kEstimateRoom + fetch_s;
    double slack = 1e9;
    bool any = false;
    const auto aim = [&](double left_s) {
        any = true;
        if (left_s > -1) slack = std::min(slack, left_s);
    };
    for (double s : aims.start_within_s) aim(s - age_s);
    if (guarantee_s > 0) aim(guarantee_s - age_s);
    for (double s : aims.finish_within_s) aim(s - age_s - takes_s);
    if (spec.deadline_s) aim(*spec.deadline_s - age_s - takes_s);
    if (slack < 1e9) return slack;
    return any ? kAllLost - std::max(0.0, waited_s - 150) / 4 : kNoAim - age_s;
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
    spec.soon = !class_aims_[spec.cls].start_within_s.empty();
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

void Cluster::load_record(const std::string& job_id, std::uint32_t chunk, const PlaceRecord& record,
                          std::uint64_t rev, Millis now) {
    auto found = job_ids_.find(job_id);
    if (found == job_ids_.end()) return;
    Job& job = jobs_[found->second];
    job.chunks[chunk].rev = rev;
    job.chunks[chunk].nonce = record.nonce;
    auto tried = [&](std::uint32_t task) {
        while (job.next_fresh <= task) job.again.insert(job.next_fresh++);
    };
    for (auto [first, last] : record.done) {
        for (auto task = first; task <= last && task < job.spec.count; ++task) {
            if (job.done_flags[task] == 0) ++job.done;
            job.done_flags[task] = 2;
            tried(task);
            job.again.erase(task);
        }
    }
    for (const auto& placed : record.placed) {
        if (placed.task >= job.spec.count) continue;
        job.started_at = now;
        tried(placed.task);
        job.again.erase(placed.task);
        Hold hold;
        hold.job = found->second;
        hold.task = placed.task;
        hold.attempt = placed.attempt;
        hold.machine = machine_for(placed.machine, "", "", false, now);
        hold.session = placed.session;
        // An earlier leader may have started it: only a report can tell.
        hold.state = Hold::State::Seen;
        hold.since = now;
        hold.stop = job.over;
        new_hold(hold);
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

MachineIx Cluster::machine_for(const std::string& name, const std::string& type,
                               const std::string& zone, bool spot, Millis now) {
    auto [it, fresh] = machine_ids_.try_emplace(name, static_cast<MachineIx>(machines_.size()));
    if (fresh) {
        Machine machine;
        machine.name = name;
        machine.token = settings_.token;
        machine.first_seen = now;
        machine.rented_at = now;
        if (free_machines_.empty()) {
            machines_.push_back(std::move(machine));
        } else {
            it->second = free_machines_.back();
            free_machines_.pop_back();
            machines_[it->second] = std::move(machine);
        }
    }
    Machine& machine = machines_[it->second];
    if (!type.empty() && machine.type == kNone) {
        machine.type = types_.intern(type);
        if (type_info_.size() <= machine.type) type_info_.resize(machine.type + 1);
        machine.zone = zones_.intern(zone);
        machine.spot = spot;
    }
    return it->second;
}

HoldIx Cluster::new_hold(const Hold& h) {
    HoldIx ix;
    if (free_holds_.empty()) {
        ix = static_cast<HoldIx>(holds_.size());
        holds_.push_back(h);
    } else {
        ix = free_holds_.back();
        free_holds_.pop_back();
        holds_[ix] = h;
    }
    Job& job = jobs_[h.job];
    job.holds.emplace(h.task, ix);
    machines_[h.machine].holds.push_back(ix);
    machines_[h.machine].used += job.spec.need;
    attention_.insert(h.machine);
    if (job.spec.team != kNone) team_used_[job.spec.team] += job.spec.need;
    return ix;
}

void Cluster::release(HoldIx ix, bool requeue, Millis now) {
    const Hold h = holds_[ix];
    Job& job = jobs_[h.job];
    Machine& machine = machines_[h.machine];
    std::erase(machine.holds, ix);
    machine.used -= job.spec.need;
    if (machine.holds.empty()) machine.idle_since = now;
    if (job.spec.team != kNone) team_used_[job.spec.team] -= job.spec.need;
    auto [from, to] = job.holds.equal_range(h.task);
    for (auto it = from; it != to; ++it) {
        if (it->second == ix) {
            job.holds.erase(it);
            break;
        }
    }
    holds_[ix] = Hold{};
    free_holds_.push_back(ix);
    if (requeue && !job.over && job.done_flags[h.task] == 0 && !job.holds.contains(h.task)) {
        if (h.task < job.next_fresh) job.again.insert(h.task);
        if (job.holds.empty() || !job.spec.gang) job.waiting_since = now;
        // One task of a gang is gone: the rest cannot go on without it.
        if (job.spec.gang && job.done == 0) {
            std::vector<HoldIx> rest;
            for (auto& [task, other] : job.holds) rest.push_back(other);
            for (auto other : rest) {
                if (holds_[other].job == h.job) stop_hold(other, 0, now);
            }
        }
    }
    drop_if_gone(h.job);
}

void Cluster::release_all(MachineIx mix, std::uint64_t below_session, Millis now) {
    // Releasing one may release others of its gang, so the list is read anew each time.
    for (bool again = true; again;) {
        again = false;
        for (auto hix : machines_[mix].holds) {
            if (holds_[hix].session < below_session) {
                release(hix, true, now);
                again = true;
                break;
            }
        }
    }
}

void Cluster::drop_if_gone(JobIx ix) {
    auto it = jobs_.find(ix);
    if (it == jobs_.end() || !it->second.over || !it->second.holds.empty()) return;
    for (auto& [number, chunk] : it->second.chunks) {
        // A write in flight may still create the record: removing it later is harmless.
        if (chunk.rev != 0 || chunk.writing || chunk.dirty) {
            orphans_.push_back("place/" + it->second.id + "/" + std::to_string(number));
        }
    }
    job_ids_.erase(it->second.id);
    jobs_.erase(it);
}

void Cluster::mark_dirty(Job& job, std::uint32_t task) {
    const auto number = task / settings_.chunk_tasks;
    job.chunks[number].dirty = true;
    dirty_.emplace(job_ids_[job.id], number);
}

// A record for each task that ends would be most of all changes of a large array, and the state
// service allows few. Until it is durable, the worker keeps the result.
void Cluster::mark_lazy(Job& job, std::uint32_t task, Millis now) {
    const auto number = task / settings_.chunk_tasks;
    Chunk& chunk = job.chunks[number];
    if (chunk.lazy_at != 0) return;
    chunk.lazy_at = now + kLazyDelay;
    lazy_.emplace(chunk.lazy_at, job_ids_[job.id], number);
}

void Cluster::mark_done(JobIx ix, std::uint32_t task, Millis now) {
    Job& job = jobs_[ix];
    auto one = [&](std::uint32_t t) {
        if (job.done_flags[t] != 0) return;
        job.done_flags[t] = 1;
        ++job.done;
        while (job.next_fresh <= t) job.again.insert(job.next_fresh++);
        job.again.erase(t);
        mark_lazy(job, t, now);
    };
    if (job.spec.gang) {
        // A gang completes together: if one task is done, all are.
        for (std::uint32_t t = 0; t < job.spec.count; ++t) one(t);
    } else {
        one(task);
    }
}

void Cluster::stop_hold(HoldIx ix, double grace_s, Millis now) {
    Hold& h = holds_[ix];
    if (h.state == Hold::State::Planned || h.state == Hold::State::Ready) {
        // Nothing was sent, so it can be taken back at once.
        release(ix, true, now);
        return;
    }
    attention_.insert(h.machine);
    if (!h.stop) {
        h.stop = true;
        h.grace_s = grace_s;
        h.stop_since = now;
    } else {
        h.grace_s = std::min(h.grace_s, grace_s);
    }
}

void Cluster::stop_with_gang(HoldIx ix, double grace_s, Millis now) {
    Job& job = jobs_[holds_[ix].job];
    if (!job.spec.gang) {
        stop_hold(ix, grace_s, now);
        return;
    }
    const auto jix = holds_[ix].job;
    std::vector<HoldIx> all;
    for (auto& [task, other] : job.holds) all.push_back(other);
    for (auto other : all) {
        if (holds_[other].job == jix) stop_hold(other, grace_s, now);
    }
}

bool Cluster::usable(const Machine& machine, Millis now) const {
    return machine.life == Machine::Life::Up && machine.synced && !machine.drain &&
           !machine.taken_at && machine.type != kNone && machine.quarantine_until <= now &&
           machine.deaf_since == 0 && now - machine.heard_at <= settings_.report_ms * 2 + 500;
}

// Judges a machine by the effect of what it was sent.
void Cluster::note_effect(MachineIx mix, bool reached, int weight, Millis now) {
    if (!settings_.guards.judged_by_effect) return;
    Machine& machine = machines_[mix];
    if (reached) {
        machine.misses = 0;
        machine.deaf_since = 0;
        return;
    }
    machine.misses += weight;
    if (machine.misses >= kDeafMisses && machine.deaf_since == 0) machine.deaf_since = now;
}

void Cluster::note_image(Machine& machine, ImageIx image) {
    std::erase(machine.images, image);
    machine.images.push_back(image);
    if (machine.images.size() > 8) machine.images.erase(machine.images.begin());
}

void Cluster::note_failure(Job& job, MachineIx mix, Millis now) {
    Machine& machine = machines_[mix];
    job.failures++;
    job.failed_on.insert(mix);
    const auto step = std::min<std::uint32_t>(job.failures, 6);
    // The first failure is mostly the machine's; a job that fails everywhere waits longer.
    if (job.failed_on.size() >= 2) {
        job.retry_at =
            now + (settings_.policy
                       ? static_cast<Millis>(settings_.policy->retry_s(facts(job)) * 1000)
                       : 1000LL << step);
    }
    if (job.failed_on.size() <= 2) {
        machine.failed_jobs.insert(static_cast<JobIx>(job_ids_[job.id]));
        machine.quarantine_until = now + 3000;
        if (machine.failed_jobs.size() >= 2) {
            machine.drain = true;
            machine.condemned = true;
        }
    }
}

void Cluster::on_exit(HoldIx ix, const TaskReport& task, Millis now) {
    const Hold h = holds_[ix];
    Job& job = jobs_[h.job];
    Machine& machine = machines_[h.machine];
    switch (task.why) {
        case ExitWhy::Done:
            machine.failed_jobs.clear();
            job.failures = 0;
            if (!job.over) mark_done(h.job, h.task, now);
            break;
        case ExitWhy::Error:
            note_failure(job, h.machine, now);
            break;
        case ExitWhy::Full:
        case ExitWhy::Busy:
            machine.quarantine_until = std::max(machine.quarantine_until, now + 1000);
            break;
        case ExitWhy::Unknown:
        case ExitWhy::Alone:
            job.retry_at = std::max(job.retry_at, now + 2000);
            break;
        default:
            break;
    }
    release(ix, true, now);
}

void Cluster::notice(MachineIx mix, double notice_s, Millis now) {
    Machine& machine = machines_[mix];
    machine.taken_at = now + static_cast<Millis>(notice_s * 1000);
    const auto held = machine.holds;
    for (auto hix : held) {
        const Hold& h = holds_[hix];
        if (h.job == kNone || h.stop) continue;
        const auto& spec = jobs_[h.job].spec;
        const double ran_s = h.running_since > 0 ? (now - h.running_since) / 1000.0 : 0;
        if (h.phase == TaskPhase::Running && spec.estimate_s - ran_s < notice_s * 0.7) continue;
        stop_with_gang(hix, spec.checkpoint_s > 0 ? std::min(notice_s, spec.save_s) : 0, now);
    }
}

BeatOutcome Cluster::on_report(const Report& report, bool is_beat, Millis now) {
    BeatOutcome outcome;
    if (report.token >= settings_.token + kTokensOfALead) {
        outcome.superseded = true;
        return outcome;
    }
    const auto mix = machine_for(report.machine, report.type, report.zone, report.spot, now);
    if (machines_[mix].life == Machine::Life::Gone) return outcome;
    {
        Machine& machine = machines_[mix];
        // Older than what is known: changes nothing.
        if (std::pair(report.session, report.seq) <= std::pair(machine.session, machine.seq)) {
            return outcome;
        }
        outcome.fresh = true;
        if (report.session > machine.session) {
            // Its lease ended though its reports came: until something is seen to reach it, nothing
            // is placed there. After a trouble of ours a single command clears it.
            if (machine.session != 0 && machine.life == Machine::Life::Up) {
                note_effect(mix, false, kDeafMisses, now);
                const bool again = now - machine.session_at < settings_.lease_ms * 3;
                machine.lost_leases = again ? machine.lost_leases + 1 : 1;
                machine.session_at = now;
            }
            // The first report this leader gets says nothing of a change.
            if (machine.session != 0) machine.images.clear();
            outcome.changed = true;
        }
        machine.session = report.session;
        machine.seq = report.seq;
        machine.token = std::max(machine.token, report.token);
        machine.endpoint = report.endpoint;
        if (machine.life == Machine::Life::Booting) {
            machine.life = Machine::Life::Up;
            machine.idle_since = now;
            outcome.changed = true;
        }
        const bool synced = report.token >= settings_.token;
        // A copy of a report may come late by more than a lease, and a new leader cannot tell it
        // from a new one. Only what carries the leader's own token is a sign of life, and the first
        // of all, so that late copies do not hold off the return of a machine that is gone.
        if (synced || machine.heard_at == 0) machine.heard_at = now;
        if (is_beat && !synced && machine.owed_token_seq != 0 &&
            report.seq > machine.owed_token_seq) {
            note_effect(mix, false, 1, now);
        }
        if (synced && !machine.synced) note_effect(mix, true, 0, now);
        // A session that outlives a lease had answers: with the direct way closed, as between two
        // zones, that is all there is to see.
        if (machine.deaf_since != 0 && machine.deaf_since == machine.session_at &&
            now - machine.session_at > settings_.lease_ms + settings_.report_ms) {
            note_effect(mix, true, 0, now);
        }
        if (synced) machine.owed_token_seq = 0;
        if (synced != machine.synced) outcome.changed = true;
        machine.synced = synced;
    }
    // A later session: the worker killed and forgot all tasks of the earlier ones.
    if (!machines_[mix].holds.empty()) {
        const auto before = machines_[mix].holds.size();
        release_all(mix, report.session, now);
        outcome.changed |= before != machines_[mix].holds.size();
    }
    const bool trusted = machines_[mix].synced || !settings_.guards.trusted_reports;
    bool missed = false;
    bool reached = false;

    std::map<std::tuple<JobIx, std::uint32_t, std::uint64_t>, const TaskReport*> seen;
    std::vector<TaskReport> exited;
    for (const auto& task : report.tasks) {
        auto found = job_ids_.find(task.job);
        const auto jix = found == job_ids_.end() ? kNone : found->second;
        if (jix == kNone || task.task >= jobs_[jix].spec.count) {
            // Live tasks of a job that is over and forgotten are halted by name.
            exited.push_back(task);
            continue;
        }
        seen[{jix, task.task, task.attempt}] = &task;
    }
    // What we hold on it, compared with what it shows.
    const auto held = machines_[mix].holds;
    work_ += 1 + held.size() + report.tasks.size();
    for (auto hix : held) {
        const Hold copy = holds_[hix];
        if (copy.job == kNone || copy.machine != mix) continue;  // released with its gang
        auto it = seen.find({copy.job, copy.task, copy.attempt});
        if (it != seen.end()) {
            const TaskReport& task = *it->second;
            if (task.phase == TaskPhase::Exited) {
                if (trusted) {
                    on_exit(hix, task, now);
                    outcome.changed = true;
                }
                continue;
            }
            Hold& h = holds_[hix];
            if (h.phase != task.phase || h.state != Hold::State::Seen) outcome.changed = true;
            reached |= h.state == Hold::State::Sent;
            if (h.stop && h.halt_seq != 0 && is_beat && report.seq > h.halt_seq &&
                task.phase != TaskPhase::Saving) {
                missed = true;
                h.halt_seq = 0;
            }
            h.state = Hold::State::Seen;
            h.reported = true;
            h.phase = task.phase;
            if (task.phase == TaskPhase::Running && h.running_since == 0) h.running_since = now;
            if (task.phase != TaskPhase::Pulling) {
                note_image(machines_[mix], jobs_[h.job].spec.image);
            }
            seen.erase(it);
            continue;
        }
        if (!trusted) continue;
        Hold& h = holds_[hix];
        // What was sent under a lower token than its worker has seen can't act any more.
        if (report.token > h.direct_token) h.direct_doubt = false;
        switch (h.state) {
            case Hold::State::Planned:
            case Hold::State::Ready:
                break;
            case Hold::State::Sent:
                // A beat after the answer that carried the run proves it was dropped; a direct
                // run without an answer stays in doubt.
                if (h.direct_doubt || h.direct_open > 0) break;
                if (!is_beat || report.seq <= h.beat_seq) break;
                missed |= h.beat_seq != 0;
                if (h.stop) {
                    release(hix, true, now);
                } else {
                    h.state = Hold::State::Ready;
                    attention_.insert(mix);
                }
                outcome.changed = true;
                break;
            case Hold::State::Seen:
                if (h.direct_doubt || h.direct_open > 0) break;
                if (h.beat_seq != 0 && !is_beat) break;
                if (h.beat_seq != 0 && report.seq <= h.beat_seq) break;
                release(hix, true, now);
                outcome.changed = true;
                break;
        }
    }
    if (reached) {
        note_effect(mix, true, 0, now);
    } else if (missed) {
        note_effect(mix, false, 1, now);
    }
    for (auto& [key, task] : seen) {
        const auto [jix, number, attempt] = key;
        if (!jobs_.contains(jix)) continue;
        if (task->phase == TaskPhase::Exited) {
            exited.push_back(*task);
            if (trusted && task->why == ExitWhy::Done && !jobs_[jix].over &&
                jobs_[jix].done_flags[number] == 0) {
                mark_done(jix, number, now);
                outcome.changed = true;
            }
            continue;
        }
        bool known = false;
        for (auto hix : machines_[mix].holds) {
            known |= holds_[hix].job == jix && holds_[hix].task == number &&
                     holds_[hix].attempt == attempt;
        }
        if (known) continue;
        // On a machine without a record: it counts as there until gone, and is halted.
        Hold h;
        h.job = jix;
        h.task = number;
        h.attempt = attempt;
        h.machine = mix;
        h.session = report.session;
        h.state = Hold::State::Seen;
        h.phase = task->phase;
        h.stray = true;
        h.reported = true;
        h.stop = true;
        h.since = now;
        while (jobs_[jix].next_fresh <= number) jobs_[jix].again.insert(jobs_[jix].next_fresh++);
        jobs_[jix].again.erase(number);
        new_hold(h);
        mark_dirty(jobs_[jix], number);
        outcome.changed = true;
    }
    if (trusted) {
        // Exits of held tasks were handled above; collect them for reaping as well.
        for (const auto& task : report.tasks) {
            if (task.phase != TaskPhase::Exited) continue;
            const bool there = std::any_of(exited.begin(), exited.end(), [&](const auto& e) {
                return e.job == task.job && e.task == task.task && e.attempt == task.attempt;
            });
            if (!there) exited.push_back(task);
        }
        exited_[report.machine] = std::move(exited);
    }
    if (report.notice_s && !machines_[mix].taken_at) {
        notice(mix, *report.notice_s, now);
        outcome.changed = true;
    }
    return outcome;
}

void Cluster::append_orders(MachineIx mix, bool direct, std::uint64_t beat_seq, bool may_start,
                            std::vector<Order>& out, Millis now) {
    Machine& machine = machines_[mix];
    const bool up = machine.life == Machine::Life::Up;
    if (machine.synced) {
        if (auto it = exited_.find(machine.name); it != exited_.end()) {
            for (const auto& task : it->second) {
                if (out.size() >= 200) break;
                if (task.phase != TaskPhase::Exited) {
                    out.push_back({Order::Kind::Halt, task.job, task.task, task.attempt, 0});
                    continue;
                }
                // Whether this attempt was run directly or another, it costs no more to raise once.
                if (direct || !raise(machine)) continue;
                auto found = job_ids_.find(task.job);
                if (found != job_ids_.end() && task.why == ExitWhy::Done) {
                    const Job& job = jobs_[found->second];
                    // The result has to be durable before the worker may forget it.
                    if (!job.over && task.task < job.spec.count && job.done_flags[task.task] != 2) {
                        continue;
                    }
                }
                out.push_back({Order::Kind::Reap, task.job, task.task, task.attempt, 0});
            }
            if (!direct) exited_.erase(it);
        }
    }
    for (auto hix : machine.holds) {
        Hold& h = holds_[hix];
        if (h.session != machine.session || out.size() >= 400) continue;
        const Job& job = jobs_[h.job];
        if (h.stop && h.state != Hold::State::Planned && h.state != Hold::State::Ready) {
            // In doubt and unwanted: with a higher token the late run comes to nothing.
            if (h.state == Hold::State::Sent && h.direct_doubt && !direct) (void)raise(machine);
            out.push_back({Order::Kind::Halt, job.id, h.task, h.attempt, h.grace_s});
            if (!direct) h.halt_seq = beat_seq;
            continue;
        }
        if (job.over || h.stop || !may_start || !up || !machine.synced) continue;
        if (h.state == Hold::State::Ready || (h.state == Hold::State::Sent && h.direct_doubt)) {
            out.push_back({Order::Kind::Run, job.id, h.task, h.attempt, 0});
            h.state = Hold::State::Sent;
            if (direct) {
                ++h.direct_open;
                h.direct_token = machine.token;
                machine.ran_direct = true;
            } else {
                h.beat_seq = beat_seq;
            }
            h.since = h.since == 0 ? now : h.since;
        }
    }
}

std::vector<Order> Cluster::beat_orders(const std::string& name, std::uint64_t seq, bool may_start,
                                        Millis now) {
    std::vector<Order> out;
    auto it = machine_ids_.find(name);
    // A late copy of an old beat gets no orders: its worker is not waiting for them.
    if (it == machine_ids_.end() || machines_[it->second].seq != seq) return out;
    if (!machines_[it->second].synced) machines_[it->second].owed_token_seq = seq;
    append_orders(it->second, false, seq, may_start, out, now);
    return out;
}

std::vector<std::string> Cluster::machines_with_orders(bool may_start, std::size_t most,
                                                       Millis now) {
    // Only machines where something was placed or stopped are looked at, not the fleet.
    std::vector<std::string> out;
    for (auto it = attention_.begin(); it != attention_.end() && out.size() < most;) {
        ++work_;
        const Machine& machine = machines_[*it];
        bool due = false;
        bool later = false;
        for (auto hix : machine.holds) {
            ++work_;
            const Hold& h = holds_[hix];
            const bool run = h.state == Hold::State::Ready && !h.stop;
            const bool halt = h.stop && h.state == Hold::State::Seen &&
                              h.phase != TaskPhase::Saving && h.phase != TaskPhase::Exited;
            later |= run || halt || h.state == Hold::State::Planned || h.stop;
            due |= h.session == machine.session && ((run && may_start) || halt);
        }
        if (due && machine.life == Machine::Life::Up && machine.synced && !machine.calling &&
            machine.call_after <= now) {
            out.push_back(machine.name);
        }
        it = later ? std::next(it) : attention_.erase(it);
    }
    return out;
}

Cluster::Direct Cluster::direct_orders(const std::string& name, bool may_start, Millis now) {
    Direct direct;
    auto it = machine_ids_.find(name);
    if (it == machine_ids_.end()) return direct;
    Machine& machine = machines_[it->second];
    direct.machine = name;
    direct.endpoint = machine.endpoint;
    direct.session = machine.session;
    direct.token = machine.token;
    if (direct.endpoint.empty()) return direct;
    machine.calling = true;
    append_orders(it->second, true, 0, may_start, direct.orders, now);
    return direct;
}

std::uint64_t Cluster::token_for(const std::string& name) const {
    auto it = machine_ids_.find(name);
    return it == machine_ids_.end() ? settings_.token : machines_[it->second].token;
}

// Once reaped, the worker does not know the attempt any more, and a copy of its run, even of one
// that was answered, would start it again. So an answer to a beat that reaps carries a higher token
// than the runs that went there directly: their copies are dropped from then on. False: the lead
// has no token left for it.
bool Cluster::raise(Machine& machine) const {
    if (!machine.ran_direct || !settings_.guards.reap_raises) return true;
    if (machine.token + 1 >= settings_.token + kTokensOfALead) return false;
    ++machine.token;
    machine.ran_direct = false;
    return true;
}

bool Cluster::calling(const std::string& name) const {
    auto it = machine_ids_.find(name);
    return it != machine_ids_.end() && machines_[it->second].calling;
}

void Cluster::direct_result(const Direct& direct, DirectResult result, Millis now) {
    auto it = machine_ids_.find(direct.machine);
    if (it == machine_ids_.end()) return;
    Machine& machine = machines_[it->second];
    machine.calling = false;
    // Commands reach it; whether answers do as well shows when its next lease ends or not.
    if (result == DirectResult::Executed) note_effect(it->second, true, 0, now);
    machine.call_after = now + (result == DirectResult::Executed      ? kCallPause
                                : result == DirectResult::NotExecuted ? kRefusedPause
                                                                      : kUnansweredPause);
    for (const auto& order : direct.orders) {
        if (order.kind != Order::Kind::Run) continue;
        for (auto hix : machine.holds) {
            Hold& h = holds_[hix];
            if (h.attempt != order.attempt || h.task != order.task ||
                jobs_[h.job].id != order.job) {
                continue;
            }
            if (h.direct_open > 0) --h.direct_open;
            if (result == DirectResult::NoAnswer && settings_.guards.doubt_holds) {
                h.direct_doubt = true;
            }
            if (result == DirectResult::NotExecuted && h.state == Hold::State::Sent &&
                !h.direct_doubt && h.direct_open == 0 && h.beat_seq == 0) {
                h.state = Hold::State::Ready;
                attention_.insert(it->second);
            }
        }
    }
}

std::vector<std::string> Cluster::machines_to_ask(std::size_t most, Millis now) {
    std::vector<std::string> out;
    for (const auto& machine : machines_) {
        if (out.size() >= most) break;
        if (machine.life == Machine::Life::Gone || machine.endpoint.empty()) continue;
        if (machine.calling || machine.call_after > now) continue;
        // One that has gone silent is asked directly as well: its way here may be what is broken.
        const bool silent = machine.life == Machine::Life::Up &&
                            now - machine.heard_at > settings_.report_ms * 3 / 2 + 500;
        if (machine.synced && !silent && machine.deaf_since == 0) continue;
        out.push_back(machine.name);
    }
    return out;
}

std::vector<ChunkWrite> Cluster::next_chunk_writes(std::size_t most, std::size_t most_bytes,
                                                   bool lazy, Millis now) {
    std::vector<ChunkWrite> out;
    std::size_t bytes = 0;
    // Put off for ever, reports would grow by every result that their workers still keep.
    const auto due_now = lazy ? now : now - kLazyAtMost;
    while (dirty_.size() < most && !lazy_.empty() && std::get<0>(*lazy_.begin()) <= due_now) {
        const auto [due, jix, number] = *lazy_.begin();
        lazy_.erase(lazy_.begin());
        auto found = jobs_.find(jix);
        if (found == jobs_.end()) continue;
        Chunk& chunk = found->second.chunks[number];
        if (chunk.lazy_at != due) continue;  // written since, with something else
        chunk.lazy_at = 0;
        chunk.dirty = true;
        dirty_.emplace(jix, number);
    }
    for (auto it = dirty_.begin(); it != dirty_.end() && out.size() < most && bytes < most_bytes;) {
        const auto [jix, number] = *it;
        auto found = jobs_.find(jix);
        if (found == jobs_.end() || found->second.over) {
            it = dirty_.erase(it);
            continue;
        }
        Job& job = found->second;
        Chunk& chunk = job.chunks[number];
        if (!chunk.dirty) {
            it = dirty_.erase(it);
            continue;
        }
        if (chunk.writing || chunk.retry_at > now || job.finishing || job.done == job.spec.count) {
            ++it;
            continue;
        }
        it = dirty_.erase(it);
        {
            ChunkWrite write;
            write.job = jix;
            write.chunk = number;
            write.job_id = job.id;
            write.rev = chunk.rev;
            write.record.term = settings_.token;
            write.record.nonce = settings_.token * 1'000'000 + ++nonces_;
            const auto first = number * settings_.chunk_tasks;
            const auto last = std::min(first + settings_.chunk_tasks, job.spec.count);
            for (auto held = job.holds.lower_bound(first);
                 held != job.holds.end() && held->first < last; ++held) {
                const Hold& h = holds_[held->second];
                write.record.placed.push_back(
                    {h.task, h.attempt, machines_[h.machine].name, h.session});
            }
            for (auto t = first; t < last; ++t) {
                if (job.done_flags[t] == 0) continue;
                if (!write.record.done.empty() && write.record.done.back().second + 1 == t) {
                    write.record.done.back().second = t;
                } else {
                    write.record.done.emplace_back(t, t);
                }
            }
            bytes += 200 + write.record.placed.size() * 60 + write.record.done.size() * 14;
            chunk.writing = true;
            chunk.dirty = false;
            chunk.lazy_at = 0;
            out.push_back(std::move(write));
        }
    }
    return out;
}

void Cluster::chunk_written(const ChunkWrite& write, bool ok, std::uint64_t rev, Millis now) {
    auto it = jobs_.find(write.job);
    if (it == jobs_.end()) return;
    Job& job = it->second;
    Chunk& chunk = job.chunks[write.chunk];
    chunk.writing = false;
    if (!ok) {
        chunk.dirty = true;
        dirty_.emplace(write.job, write.chunk);
        chunk.retry_at = now + 300;
        return;
    }
    chunk.rev = rev;
    chunk.nonce = write.record.nonce;
    for (auto [first, last] : write.record.done) {
        for (auto t = first; t <= last; ++t) job.done_flags[t] = 2;
    }
    for (const auto& placed : write.record.placed) {
        auto [from, to] = job.holds.equal_range(placed.task);
        for (auto h = from; h != to; ++h) {
            Hold& hold = holds_[h->second];
            if (hold.attempt == placed.attempt && hold.state == Hold::State::Planned) {
                hold.state = Hold::State::Ready;
            }
        }
    }
    if (job.spec.gang) {
        // A gang in several records starts only once all of them are durable.
        bool all = true;
        for (auto& [number, other] : job.chunks) all &= !other.dirty && !other.writing;
        for (auto& [task, hix] : job.holds) {
            Hold& h = holds_[hix];
            if (!all && h.state == Hold::State::Ready) h.state = Hold::State::Planned;
            if (all && h.state == Hold::State::Planned) h.state = Hold::State::Ready;
        }
    }
}

void Cluster::chunk_reread(const ChunkWrite& write, std::uint64_t rev, std::uint64_t nonce,
                           Millis now) {
    if (nonce == write.record.nonce) {
        chunk_written(write, true, rev, now);
        return;
    }
    chunk_written(write, false, 0, now);
    if (auto it = jobs_.find(write.job); it != jobs_.end()) {
        it->second.chunks[write.chunk].rev = rev;
        it->second.chunks[write.chunk].retry_at = now;
    }
}

std::optional<FinalWrite> Cluster::next_final_write(std::size_t most_chunks, Millis now) {
    for (auto& [jix, job] : jobs_) {
        if (job.over || job.finishing || job.done < job.spec.count || job.finish_retry_at > now) {
            continue;
        }
        job.finishing = true;
        FinalWrite write;
        write.job = jix;
        write.job_id = job.id;
        write.open_rev = job.open_rev;
        write.with_job = !job.holds.empty();
        if (job.holds.empty()) {
            for (auto& [number, chunk] : job.chunks) {
                if (chunk.rev == 0 || chunk.writing) continue;
                if (write.chunks.size() < most_chunks) write.chunks.push_back(number);
            }
        }
        return write;
    }
    return std::nullopt;
}

void Cluster::final_written(const FinalWrite& write, bool ok, Millis now) {
    auto it = jobs_.find(write.job);
    if (it == jobs_.end()) return;
    it->second.finishing = false;
    if (!ok) {
        it->second.finish_retry_at = now + 300;
        return;
    }
    for (auto number : write.chunks) it->second.chunks[number].rev = 0;
    for (auto& [number, chunk] : it->second.chunks) chunk.dirty = false;
    const auto id = write.job_id;
    job_over(id, false, now);
}

std::vector<std::string> Cluster::next_orphans(std::size_t most) {
    if (!orphans_writing_.empty() || orphans_.empty()) return {};
    const auto n = std::min(most, orphans_.size());
    orphans_writing_.assign(orphans_.end() - static_cast<std::ptrdiff_t>(n), orphans_.end());
    orphans_.resize(orphans_.size() - n);
    return orphans_writing_;
}

void Cluster::orphans_removed(const std::vector<std::string>& keys, bool ok) {
    orphans_writing_.clear();
    if (!ok) orphans_.insert(orphans_.begin(), keys.begin(), keys.end());
}

void Cluster::on_list(const std::vector<ListedMachine>& page, Millis now) {
    for (const auto& listed : page) {
        const auto mix = machine_for(listed.name, listed.type, listed.zone, listed.spot, now);
        Machine& machine = machines_[mix];
        if (!machine.listed) {
            machine.listed = true;
            machine.rented_at =
                std::min(machine.rented_at, now - static_cast<Millis>(listed.age_s * 1000));
        }
        if (machine.endpoint.empty()) machine.endpoint = listed.endpoint;
        if (listed.state == ListedMachine::State::Running) machine.running = true;
        if (listed.state == ListedMachine::State::Failed && !machine.failed &&
            machine.life != Machine::Life::Gone) {
            machine.failed = true;
            machine.life = Machine::Life::Returning;
        }
    }
}

void Cluster::on_list_complete(const std::set<std::string>& names, Millis now) {
    for (auto& machine : machines_) {
        // A record names it and newer machines are listed, it is not: it was given back before its
        // tasks were placed anew. Only its return proves that, but nothing has to be waited for.
        if (machine.life == Machine::Life::Booting && !machine.listed && !machine.holds.empty() &&
            machine.heard_at == 0 && !names.empty() && machine.name < *names.rbegin()) {
            machine.life = Machine::Life::Returning;
            continue;
        }
        if (machine.life != Machine::Life::Up || !machine.listed || names.contains(machine.name)) {
            continue;
        }
        // Lists go back at times, so silence is asked for as well.
        if (now - std::max(machine.heard_at, machine.first_seen) > settings_.report_ms * 2 + 2000) {
            machine.life = Machine::Life::Returning;
        }
    }
}

void Cluster::on_rented(const std::string& type, const std::string& zone, bool spot,
                        const std::vector<std::string>& names, Millis now) {
    for (const auto& name : names) machine_for(name, type, zone, spot, now);
    refused_.erase({types_.intern(type), zones_.intern(zone), spot});
}

void Cluster::on_refused(TypeIx type, ZoneIx zone, bool spot, Millis now) {
    auto& [until, step] = refused_[{type, zone, spot}];
    step = std::min<Millis>(step == 0 ? 5000 : step * 2, 12000);
    until = now + step;
}

std::vector<std::string> Cluster::next_returns(std::size_t most, Millis now) {
    std::vector<std::string> out;
    for (auto& machine : machines_) {
        if (out.size() >= most) break;
        if (machine.life != Machine::Life::Returning) continue;
        if (machine.return_asked != 0 && now - machine.return_asked < 3000) continue;
        machine.return_asked = now;
        out.push_back(machine.name);
    }
    return out;
}

void Cluster::returned(const std::vector<std::string>& names, bool ok, Millis now) {
    if (!ok) return;
    for (const auto& name : names) {
        auto it = machine_ids_.find(name);
        if (it == machine_ids_.end()) continue;
        Machine& machine = machines_[it->second];
        machine.life = Machine::Life::Gone;
        machine.synced = false;
        // There is room for one of its kind again: a refusal from before says nothing any more.
        refused_.erase({machine.type, machine.zone, machine.spot});
        exited_.erase(name);
        release_all(it->second, std::numeric_limits<std::uint64_t>::max(), now);
    }
}

// A zone that is cut off keeps its machines, their images and, if it is short, their tasks. Giving
// them back one and all costs a boot and a fetch for each, and what is rented there instead is not
// heard either.
void Cluster::note_cut_zones(Millis now) {
    std::vector<std::pair<std::uint32_t, std::uint32_t>> zones(zones_.size());  // there, heard
    for (const auto& machine : machines_) {
        if (machine.zone >= zones.size()) continue;
        const bool up = machine.life == Machine::Life::Up;
        if (!up && !(machine.life == Machine::Life::Booting && machine.running)) continue;
        auto& [there, heard] = zones[machine.zone];
        ++there;
        if (up && now - machine.heard_at < settings_.report_ms * 5 / 4 + 1000) ++heard;
    }
    zone_cut_.assign(zones.size(), 0);
    for (std::size_t z = 0; z < zones.size(); ++z) {
        const auto [there, heard] = zones[z];
        zone_cut_[z] = there >= kLeastOfAZone && heard * kHeardOfACutZone < there ? 1 : 0;
    }
}

std::vector<std::string> Cluster::tick(Millis now, bool sure) {
    std::vector<std::string> lines;
    if (!sure) {
        sure_since_ = -1;
        return lines;
    }
    if (sure_since_ < 0) sure_since_ = now;
    note_cut_zones(now);
    std::size_t up = 0;
    std::size_t heard = 0;
    std::size_t deaf = 0;
    std::size_t losing = 0;
    for (const auto& machine : machines_) {
        if (machine.life != Machine::Life::Up) continue;
        ++up;
        // With a wider bound some still counted as heard when the first were given up, although
        // all had fallen silent at once.
        if (now - machine.heard_at < settings_.report_ms * 5 / 4 + 1000) ++heard;
        if (machine.deaf_since != 0) ++deaf;
        if (machine.lost_leases >= kLostLeases) ++losing;
    }
    // A report goes missing, the worker waits 4 s for its answer and a second for the next node.
    auto patience = settings_.report_ms * 5 / 4 + 5000 + 1500;
    if (settings_.policy) {
        patience = static_cast<Millis>(settings_.policy->silent_s(fleet_facts()) * 1000);
        // Less would give up machines between two of their reports.
        patience = std::max(patience, settings_.report_ms * 5 / 4 + 1000);
    }
    const auto cut_patience = std::max(patience, settings_.lease_ms * kCutPatience);
    for (auto& machine : machines_) {
        if (machine.life == Machine::Life::Gone) {
            // Its place is used again once no late report or list is to be expected; without that
            // a leader of many days would grow without bound.
            if (machine.name.empty() || now - machine.return_asked < kForgetGone ||
                !machine.holds.empty()) {
                continue;
            }
            free_machines_.push_back(machine_ids_.at(machine.name));
            machine_ids_.erase(machine.name);
            machine = Machine{};
            machine.life = Machine::Life::Gone;
            continue;
        }
        if (machine.life == Machine::Life::Returning) continue;
        if (machine.life == Machine::Life::Up) {
            const auto silent = now - std::max({machine.heard_at, machine.first_seen, sure_since_});
            // Many silent at once is a cut of ours rather than their fault.
            const auto bound = in_cut_zone(machine) ? cut_patience : patience;
            if (silent > bound && heard * 2 >= up) {
                if (!settings_.guards.silence_is_no_proof) {
                    const auto mix = static_cast<MachineIx>(&machine - machines_.data());
                    release_all(mix, std::numeric_limits<std::uint64_t>::max(), now);
                }
                machine.life = Machine::Life::Returning;
                lines.push_back("machine " + machine.name + " silent for " +
                                std::to_string(silent) + " ms, returned");
                continue;
            }
            // Many deaf at once is a trouble of ours as well.
            const auto deaf_patience =
                std::max(patience, settings_.lease_ms + settings_.report_ms * 3);
            if (machine.deaf_since != 0 && now - machine.deaf_since > deaf_patience &&
                deaf * 2 <= up) {
                machine.life = Machine::Life::Returning;
                lines.push_back("machine " + machine.name + " is not reached for " +
                                std::to_string(now - machine.deaf_since) + " ms, returned");
                continue;
            }
            // Commands may reach it while answers don't: then its tasks die with each lease.
            if (settings_.guards.judged_by_effect && machine.lost_leases >= kLostLeases &&
                losing * 4 <= up) {
                machine.life = Machine::Life::Returning;
                lines.push_back("machine " + machine.name +
                                " loses one lease after the other, returned");
                continue;
            }
            if (machine.lost_leases > 0 && now - machine.session_at > settings_.lease_ms * 3) {
                machine.lost_leases = 0;
            }
            if (machine.drain && machine.holds.empty()) machine.life = Machine::Life::Returning;
            // Taken as announced: its place can be rented again before its silence would show.
            if (machine.taken_at && now > *machine.taken_at + kTakenMargin &&
                machine.heard_at < *machine.taken_at) {
                machine.life = Machine::Life::Returning;
                lines.push_back("machine " + machine.name + " was taken as announced");
                continue;
            }
            if (machine.taken_at && now > *machine.taken_at + 60000) machine.taken_at.reset();
            for (auto hix : machine.holds) {
                const Hold& h = holds_[hix];
                // Unwanted and still in doubt: only the machine's return gives certainty.
                if (h.stop && h.state == Hold::State::Sent && h.direct_doubt &&
                    now - h.stop_since > settings_.cancel_ms / 3) {
                    machine.life = Machine::Life::Returning;
                    lines.push_back("machine " + machine.name + " may still get a late run of " +
                                    jobs_[h.job].id + ", returned");
                    break;
                }
            }
        } else {
            const double boot_s = machine.type != kNone && type_info_[machine.type].boot_s > 0
                                      ? type_info_[machine.type].boot_s
                                      : 60;
            const auto limit = std::max<Millis>(static_cast<Millis>(boot_s * 3000), 60000);
            // A record can name a machine that no list shows: it is gone, the return proves it.
            // A new leader finds machines in the list that have been up for long and has not heard
            // them yet: they get its full patience, whatever their age.
            const auto known = now - machine.first_seen;
            const auto listed_patience = in_cut_zone(machine) ? cut_patience : 2 * patience;
            const auto least = machine.running ? listed_patience : std::min(limit, 2 * patience);
            const auto age = machine.running ? known : now - machine.rented_at;
            const bool ghost = !machine.listed && !machine.holds.empty() &&
                               now - machine.first_seen > patience + 6000;
            if (ghost || (known > least && age > (machine.running ? least : limit))) {
                machine.life = Machine::Life::Returning;
                lines.push_back("machine " + machine.name + " never came up, returned");
            }
        }
    }
    return lines;
}

std::uint32_t Cluster::waiting(const Job& job) const {
    if (job.over || job.finishing || job.spec.team == kNone) return 0;
    if (job.spec.gang) return job.holds.empty() && job.done == 0 ? job.spec.count : 0;
    return static_cast<std::uint32_t>(job.again.size()) + (job.spec.count - job.next_fresh);
}

std::vector<std::uint32_t> Cluster::take_waiting(const Job& job, std::uint32_t most) const {
    std::vector<std::uint32_t> out;
    if (job.spec.gang) {
        for (std::uint32_t t = 0; t < std::min(most, job.spec.count); ++t) out.push_back(t);
        return out;
    }
    for (auto t : job.again) {
        if (out.size() >= most) return out;
        out.push_back(t);
    }
    for (auto t = job.next_fresh; t < job.spec.count && out.size() < most; ++t) out.push_back(t);
    return out;
}

void Cluster::fill_guarantees(Millis now) {
    std::vector<std::vector<std::pair<std::int64_t, JobIx>>> by_team(team_list_.size());
    for (auto& [jix, job] : jobs_) {
        job.in_guarantee = false;
        if (job.over || job.spec.team == kNone) continue;
        by_team[job.spec.team].emplace_back(job.spec.submitted_ms, jix);
        team_busy_[job.spec.team] = now;
    }
    for (std::size_t t = 0; t < by_team.size(); ++t) {
        const Room& guarantee = team_list_[t].guarantee;
        if (guarantee == Room{}) continue;
        std::sort(by_team[t].begin(), by_team[t].end());
        Room sum;
        for (auto [when, jix] : by_team[t]) {
            Job& job = jobs_[jix];
            sum += job.spec.need.times(job.spec.count - job.done);
            if (exceeds(sum, guarantee)) break;
            job.in_guarantee = true;
        }
    }
}

JobFacts Cluster::facts(const Job& job) const {
    JobFacts about;
    about.cls = job.text.cls;
    about.team = job.text.team;
    about.priority = job.spec.priority;
    about.gang = job.spec.gang;
    about.soon = job.spec.soon;
    about.spot = job.spec.spot;
    about.guaranteed = job.in_guarantee;
    about.tasks = job.spec.count;
    about.failures = std::min<std::uint32_t>(job.failures, 1000);
    about.estimate_s = job.spec.estimate_s;
    about.checkpoint_s = job.spec.checkpoint_s;
    return about;
}

FleetFacts Cluster::fleet_facts() const {
    FleetFacts fleet;
    for (const auto& machine : machines_) {
        if (machine.life == Machine::Life::Booting) ++fleet.booting;
        if (machine.life != Machine::Life::Up) continue;
        ++fleet.machines;
        if (machine.holds.empty()) ++fleet.idle;
    }
    for (const auto& [jix, job] : jobs_) fleet.waiting += waiting(job) > 0 ? 1 : 0;
    fleet.report_s = static_cast<double>(settings_.report_ms) / 1000.0;
    fleet.lease_s = static_cast<double>(settings_.lease_ms) / 1000.0;
    return fleet;
}

std::vector<std::string> Cluster::policy_complaints() {
    return settings_.policy ? settings_.policy->complaints() : std::vector<std::string>{};
}

Cluster::ImageHints Cluster::image_hints(std::size_t part, std::size_t parts) const {
    ImageHints out;
    for (std::size_t i = part; i < machines_.size(); i += parts) {
        const auto& machine = machines_[i];
        if (machine.life != Machine::Life::Up || machine.images.empty()) continue;
        auto& [name, images] = out.emplace_back(machine.name, std::vector<std::string>{});
        for (auto image : machine.images) images.push_back(images_.name(image));
    }
    return out;
}

void Cluster::load_image_hints(const ImageHints& hints, Millis now) {
    for (const auto& [name, images] : hints) {
        Machine& machine = machines_[machine_for(name, "", "", false, now)];
        for (const auto& image : images) note_image(machine, images_.intern(image));
    }
}

Snapshot Cluster::snapshot(Millis now, std::int64_t wall_ms) {
    fill_guarantees(now);
    Snapshot s;
    s.now = now;
    s.tuning = settings_.tuning;
    auto* const policy = settings_.policy.get();
    const auto fleet = policy != nullptr ? fleet_facts() : FleetFacts{};
    if (policy != nullptr) {
        s.tuning.spare_machines = static_cast<std::uint32_t>(policy->spare_machines(fleet));
        s.tuning.warm_s = policy->warm_s(fleet);
    }
    s.may_drain = now - drained_at_ >= settings_.tuning.drain_every_ms;
    for (std::size_t t = 0; t < team_list_.size(); ++t) {
        // Without a bound a team that went home would keep its room up for ever.
        if (team_busy_[t] >= 0 && now - team_busy_[t] < settings_.tuning.guarantee_keep_ms) {
            s.kept_guarantee += team_list_[t].guarantee;
        }
    }
    s.machines.reserve(machines_.size());
    s.holds.reserve(holds_.size());
    s.jobs.reserve(jobs_.size());
    s.items.reserve(jobs_.size());
    s.team_used = team_used_;
    s.teams = team_list_;
    s.types = type_info_;
    s.zones = zones_.size();
    s.guarantee_s = guarantee_s_;
    for (const auto& [cls, arrivals] : arrivals_) {
        const double rate =
            arrivals.rate * std::exp(-static_cast<double>(now - arrivals.at) / kRateFor);
        // A class that has not been seen for minutes needs nothing kept.
        if (rate * s.tuning.warm_s < 0.15) continue;
        const auto places = static_cast<std::uint32_t>(std::ceil(rate * s.tuning.warm_s));
        s.warm_classes.push_back({arrivals.spec, std::min(places, 8U)});
    }
    for (const auto& [image, used] : warm_) {
        if (now - used < kWarmFor) s.warm_images.push_back(image);
    }
    for (const auto& type : type_info_) {
        auto& zones = s.type_zones.emplace_back();
        for (const auto& zone : type.zones) zones.push_back(zones_.intern(zone));
    }
    for (const auto& [kind, until] : refused_) {
        if (until.first > now) s.refused.push_back(kind);
    }
    for (TypeIx t = 0; t < s.type_zones.size(); ++t) {
        for (auto zone : s.type_zones[t]) {
            if (zone >= zone_cut_.size() || zone_cut_[zone] == 0) continue;
            s.refused.emplace_back(t, zone, false);
            s.refused.emplace_back(t, zone, true);
        }
    }
    for (MachineIx mix = 0; mix < machines_.size(); ++mix) {
        const Machine& machine = machines_[mix];
        if (machine.life == Machine::Life::Gone || machine.life == Machine::Life::Returning) {
            continue;
        }
        if (machine.type == kNone) continue;
        MachineView view;
        view.ix = mix;
        view.type = machine.type;
        view.zone = machine.zone;
        view.spot = machine.spot;
        view.usable = usable(machine, now);
        view.room = type_info_[machine.type].room;
        view.free = view.room;
        view.free -= machine.used;
        view.idle_ms = machine.holds.empty() ? now - machine.idle_since : 0;
        view.age_ms = now - machine.rented_at;
        if (machine.holds.empty()) {
            view.keep_ms = machine.spot ? 45000 : 10000;
            if (policy != nullptr) {
                const auto& type = type_info_[machine.type];
                view.keep_ms = static_cast<Millis>(
                    1000 * policy->idle_keep_s(
                               {types_.name(machine.type), zones_.name(machine.zone), machine.spot,
                                machine.spot ? type.spot_hourly : type.hourly,
                                static_cast<double>(view.age_ms) / 1000.0},
                               fleet));
            }
        }
        if (machine.life == Machine::Life::Booting) {
            const double boot_s = type_info_[machine.type].boot_s;
            const double age_s = static_cast<double>(view.age_ms) / 1000.0;
            view.booting = age_s < boot_s * 1.7 + 5;
            view.boot_left_s = std::max(2.0, boot_s - age_s);
        } else if (!view.usable) {
            // Not heard under this token yet, or resting: it will most likely be usable soon.
            view.booting = !machine.drain && !machine.taken_at &&
                           now - std::max(machine.heard_at, machine.first_seen) < 6000;
            view.boot_left_s = 2;
        }
        view.images = machine.images;
        for (auto hix : machine.holds) {
            const Hold& h = holds_[hix];
            const JobSpec& spec = jobs_[h.job].spec;
            if (h.phase == TaskPhase::Pulling) view.fetching.push_back(spec.image);
            HoldView hv;
            hv.ix = hix;
            hv.attempt = h.attempt;
            hv.machine = mix;
            hv.job = h.job;
            hv.stopping = h.stop;
            const double ran =
                h.running_since > 0 ? static_cast<double>(now - h.running_since) / 1000.0 : 0;
            hv.left_s = spec.service ? 1e9 : std::max(spec.estimate_s - ran, spec.estimate_s * 0.1);
            hv.ran_ms = h.phase == TaskPhase::Running ? now - h.running_since : 0;
            hv.lost_s = spec.checkpoint_s > 0 ? std::min(spec.checkpoint_s, ran) : ran;
            s.holds.push_back(hv);
        }
        s.machines.push_back(std::move(view));
    }
    double fetch_rate = 0;
    for (const auto& type : type_info_) fetch_rate = std::max(fetch_rate, type.fetch_gb_s);
    for (const auto& [jix, job] : jobs_) {
        const auto n = waiting(job);
        if (n == 0 && job.holds.empty()) continue;
        s.jobs.emplace(jix, JobView{job.spec, job.in_guarantee});
        if (n == 0) continue;
        ItemView& item = s.items.emplace_back();
        item.job = jix;
        item.waiting = n;
        item.in_guarantee = job.in_guarantee;
        item.blocked = job.retry_at > now;
        // An array of which a task started not long ago does not starve, however much is left.
        item.waited_ms = now - std::max(job.waiting_since, job.started_at);
        const double age_s = static_cast<double>(wall_ms - job.spec.submitted_ms) / 1000.0;
        item.begun = job.next_fresh > 0;
        item.slack_s = slack_of(job.spec, class_aims_[job.spec.cls], age_s,
                                fetch_rate > 0 ? job.spec.image_gb / fetch_rate : 0,
                                job.in_guarantee ? guarantee_s_ : 0,
                                static_cast<double>(item.waited_ms) / 1000.0);
        item.order_s = item.slack_s;
        item.rent_patience_s = std::clamp(item.slack_s * 0.5, 3.0, 20.0);
        item.dear_patience_s = std::clamp(item.slack_s * 0.6, item.rent_patience_s, 60.0);
        if (policy != nullptr) {
            auto about = facts(job);
            about.slack_s = item.slack_s;
            about.waited_s = static_cast<double>(item.waited_ms) / 1000.0;
            about.age_s = age_s;
            about.waiting = n;
            item.order_s = policy->order_s(about);
            item.rent_patience_s = policy->rent_patience_s(about);
            item.dear_patience_s = policy->dear_patience_s(about);
        }
        item.avoid.assign(job.failed_on.begin(), job.failed_on.end());
        if (!job.spec.one_zone && !job.spec.apart) continue;
        item.zone_counts.resize(zones_.size());
        for (const auto& [task, hix] : job.holds) {
            const auto zone = machines_[holds_[hix].machine].zone;
            if (zone == kNone) continue;
            item.zone = zone;
            ++item.zone_counts[zone];
        }
    }
    return s;
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

std::size_t Cluster::machine_count() const {
    return static_cast<std::size_t>(
        std::count_if(machines_.begin(), machines_.end(),
                      [](const Machine& m) { return m.life != Machine::Life::Gone; }));
}

}  // namespace lichendrift::core
