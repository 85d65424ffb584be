// What leader and machines tell each other: reports in, commands and tokens out.
#include "core/cluster.h"

namespace lichendrift::core {

namespace {

constexpr Millis kCallPause = 150;         // after a direct command that was carried out
constexpr Millis kRefusedPause = 400;      // after one that was refused
constexpr Millis kUnansweredPause = 3000;  // after one without an answer

}  // namespace

ReportOutcome Cluster::on_report(const Report& report, bool is_heartbeat, Millis now) {
    ReportOutcome outcome;
    if (report.token >= settings_.token + kFencingTokensPerTerm) {
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
                note_effect(mix, false, kUnreachableMisses, now);
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
        if (synced || machine.last_heartbeat_at == 0) machine.last_heartbeat_at = now;
        if (is_heartbeat && !synced && machine.owed_token_seq != 0 &&
            report.seq > machine.owed_token_seq) {
            note_effect(mix, false, 1, now);
        }
        if (synced && !machine.synced) note_effect(mix, true, 0, now);
        // A session that outlives a lease had answers: with the direct way closed, as between two
        // zones, that is all there is to see.
        if (machine.unreachable_since != 0 && machine.unreachable_since == machine.session_at &&
            now - machine.session_at > settings_.lease_ms + settings_.report_ms) {
            note_effect(mix, true, 0, now);
        }
        if (synced) machine.owed_token_seq = 0;
        if (synced != machine.synced) outcome.changed = true;
        machine.synced = synced;
    }
    // A later session: the worker killed and forgot all tasks of the earlier ones.
    if (!machines_[mix].allocations.empty()) {
        const auto before = machines_[mix].allocations.size();
        release_all(mix, report.session, now);
        outcome.changed |= before != machines_[mix].allocations.size();
    }
    const bool trusted = machines_[mix].synced || !settings_.guards.trusted_reports;
    bool missed = false;
    bool reached = false;

    std::map<std::tuple<JobIndex, std::uint32_t, std::uint64_t>, const TaskReport*> seen;
    std::vector<TaskReport> exited;
    for (const auto& task : report.tasks) {
        auto found = job_ids_.find(task.job);
        const auto jix = found == job_ids_.end() ? kInvalidIndex : found->second;
        if (jix == kInvalidIndex || task.task >= jobs_[jix].spec.count) {
            // Live tasks of a job that is over and forgotten are halted by name.
            exited.push_back(task);
            continue;
        }
        seen[{jix, task.task, task.attempt}] = &task;
    }
    // What we hold on it, compared with what it shows.
    const auto held = machines_[mix].allocations;
    work_ += 1 + held.size() + report.tasks.size();
    for (auto allocation_index : held) {
        const Allocation copy = allocations_[allocation_index];
        if (copy.job == kInvalidIndex || copy.machine != mix) continue;  // released with its gang
        auto it = seen.find({copy.job, copy.task, copy.attempt});
        if (it != seen.end()) {
            const TaskReport& task = *it->second;
            if (task.phase == TaskPhase::Exited) {
                if (trusted) {
                    on_exit(allocation_index, task, now);
                    outcome.changed = true;
                }
                continue;
            }
            Allocation& h = allocations_[allocation_index];
            if (h.phase != task.phase || h.state != Allocation::State::Seen) outcome.changed = true;
            reached |= h.state == Allocation::State::Sent;
            if (h.stop && h.halt_seq != 0 && is_heartbeat && report.seq > h.halt_seq &&
                task.phase != TaskPhase::Saving) {
                missed = true;
                h.halt_seq = 0;
            }
            h.state = Allocation::State::Seen;
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
        Allocation& h = allocations_[allocation_index];
        // What was sent under a lower token than its worker has seen can't act any more.
        if (report.token > h.direct_token) h.direct_unconfirmed = false;
        switch (h.state) {
            case Allocation::State::Planned:
            case Allocation::State::Ready:
                break;
            case Allocation::State::Sent:
                // A beat after the answer that carried the run proves it was dropped; a direct
                // run without an answer stays in doubt.
                if (h.direct_unconfirmed || h.direct_open > 0) break;
                if (!is_heartbeat || report.seq <= h.heartbeat_seq) break;
                missed |= h.heartbeat_seq != 0;
                run_came_to_nothing(allocation_index, now);
                outcome.changed = true;
                break;
            case Allocation::State::Seen:
                if (h.direct_unconfirmed || h.direct_open > 0) break;
                if (h.heartbeat_seq != 0 && !is_heartbeat) break;
                if (h.heartbeat_seq != 0 && report.seq <= h.heartbeat_seq) break;
                release(allocation_index, true, now);
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
        for (auto allocation_index : machines_[mix].allocations) {
            known |= allocations_[allocation_index].job == jix &&
                     allocations_[allocation_index].task == number &&
                     allocations_[allocation_index].attempt == attempt;
        }
        if (known) continue;
        // On a machine without a record: it counts as there until gone, and is halted.
        Allocation h;
        h.job = jix;
        h.task = number;
        h.attempt = attempt;
        h.machine = mix;
        h.session = report.session;
        h.state = Allocation::State::Seen;
        h.phase = task->phase;
        h.stray = true;
        h.reported = true;
        h.stop = true;
        h.since = now;
        while (jobs_[jix].next_fresh <= number) jobs_[jix].again.insert(jobs_[jix].next_fresh++);
        jobs_[jix].again.erase(number);
        add_allocation(h);
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

void Cluster::append_commands(MachineIndex mix, bool direct, std::uint64_t heartbeat_seq,
                              bool may_start, std::vector<Command>& out, Millis now) {
    Machine& machine = machines_[mix];
    const bool up = machine.life == Machine::Life::Up;
    if (machine.synced) {
        if (auto it = exited_.find(machine.name); it != exited_.end()) {
            for (const auto& task : it->second) {
                if (out.size() >= 200) break;
                if (task.phase != TaskPhase::Exited) {
                    out.push_back({Command::Kind::Halt, task.job, task.task, task.attempt, 0});
                    continue;
                }
                // Whether this attempt was run directly or another, it costs no more to raise once.
                if (direct || !raise(machine)) continue;
                auto found = job_ids_.find(task.job);
                if (found != job_ids_.end() && task.why == ExitWhy::Done) {
                    const Job& job = jobs_[found->second];
                    // The result has to be durable before the worker may forget it. A replica has
                    // none: it runs again.
                    if (!job.over && !job.spec.service && task.task < job.spec.count &&
                        job.done_flags[task.task] != 2) {
                        continue;
                    }
                }
                out.push_back({Command::Kind::Reap, task.job, task.task, task.attempt, 0});
            }
            if (!direct) exited_.erase(it);
        }
    }
    for (auto allocation_index : machine.allocations) {
        Allocation& h = allocations_[allocation_index];
        if (h.session != machine.session || out.size() >= 400) continue;
        const Job& job = jobs_[h.job];
        if (h.stop && h.state != Allocation::State::Planned &&
            h.state != Allocation::State::Ready) {
            // In doubt and unwanted: with a higher token the late run comes to nothing.
            if (h.state == Allocation::State::Sent && h.direct_unconfirmed && !direct)
                (void)raise(machine);
            out.push_back({Command::Kind::Halt, job.id, h.task, h.attempt, h.grace_s});
            if (!direct) h.halt_seq = heartbeat_seq;
            continue;
        }
        if (job.over || h.stop || !may_start || !up || !machine.synced) continue;
        if (h.state == Allocation::State::Ready ||
            (h.state == Allocation::State::Sent && h.direct_unconfirmed)) {
            out.push_back({Command::Kind::Run, job.id, h.task, h.attempt, 0});
            h.state = Allocation::State::Sent;
            if (direct) {
                ++h.direct_open;
                h.direct_token = machine.token;
                machine.ran_direct = true;
            } else {
                h.heartbeat_seq = heartbeat_seq;
            }
            h.since = h.since == 0 ? now : h.since;
        }
    }
}

std::vector<Command> Cluster::heartbeat_commands(const std::string& name, std::uint64_t seq,
                                                 bool may_start, Millis now) {
    std::vector<Command> out;
    auto it = machine_ids_.find(name);
    // A late copy of an old beat gets no commands: its worker is not waiting for them.
    if (it == machine_ids_.end() || machines_[it->second].seq != seq) return out;
    if (!machines_[it->second].synced) machines_[it->second].owed_token_seq = seq;
    append_commands(it->second, false, seq, may_start, out, now);
    return out;
}

std::vector<std::string> Cluster::machines_with_commands(bool may_start, std::size_t limit,
                                                         Millis now) {
    // Only machines where something was placed or stopped are looked at, not the fleet.
    std::vector<std::string> out;
    for (auto it = attention_.begin(); it != attention_.end() && out.size() < limit;) {
        ++work_;
        const Machine& machine = machines_[*it];
        bool due = false;
        bool later = false;
        for (auto allocation_index : machine.allocations) {
            ++work_;
            const Allocation& h = allocations_[allocation_index];
            const bool run = h.state == Allocation::State::Ready && !h.stop;
            const bool halt = h.stop && h.state == Allocation::State::Seen &&
                              h.phase != TaskPhase::Saving && h.phase != TaskPhase::Exited;
            later |= run || halt || h.state == Allocation::State::Planned || h.stop;
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

Cluster::Direct Cluster::direct_commands(const std::string& name, bool may_start, Millis now) {
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
    append_commands(it->second, true, 0, may_start, direct.commands, now);
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
    if (machine.token + 1 >= settings_.token + kFencingTokensPerTerm) return false;
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
    for (const auto& order : direct.commands) {
        if (order.kind != Command::Kind::Run) continue;
        // A copy, as an attempt that ends here may take others of its gang with it.
        const auto held = machine.allocations;
        for (auto allocation_index : held) {
            Allocation& h = allocations_[allocation_index];
            if (h.job == kInvalidIndex || h.attempt != order.attempt || h.task != order.task ||
                jobs_[h.job].id != order.job) {
                continue;
            }
            if (h.direct_open > 0) --h.direct_open;
            if (result == DirectResult::NoAnswer && settings_.guards.unconfirmed_allocated) {
                h.direct_unconfirmed = true;
            }
            if (result == DirectResult::NotExecuted && h.state == Allocation::State::Sent &&
                !h.direct_unconfirmed && h.direct_open == 0 && h.heartbeat_seq == 0) {
                run_came_to_nothing(allocation_index, now);
            }
        }
    }
}

std::vector<std::string> Cluster::machines_to_ask(std::size_t limit, Millis now) {
    std::vector<std::string> out;
    // From where the last look ended: asked for a few at a time, a take-over that began anew each
    // time looked at half of the fleet for each machine.
    for (std::size_t n = machines_.size(); n > 0 && out.size() < limit; --n) {
        if (ask_from_ >= machines_.size()) ask_from_ = 0;
        const auto& machine = machines_[ask_from_++];
        ++work_;
        if (machine.life == Machine::Life::Gone || machine.endpoint.empty()) continue;
        if (machine.calling || machine.call_after > now) continue;
        // One that has gone silent is asked directly as well: its way here may be what is broken.
        const bool silent = machine.life == Machine::Life::Up &&
                            now - machine.last_heartbeat_at > settings_.report_ms * 3 / 2 + 500;
        if (machine.synced && !silent && machine.unreachable_since == 0) continue;
        out.push_back(machine.name);
    }
    return out;
}

}  // namespace lichendrift::core
