// The machines of the fleet: how they become known, are judged, given back and forgotten.
#include <cmath>

#include "core/cluster.h"

namespace lichendrift::core {

namespace {

constexpr Millis kForgetGone = 900'000;
constexpr Millis kTakenMargin = 1500;
constexpr int kLostLeases = 3;                   // in a row
constexpr std::uint32_t kMinMachinesOfZone = 8;  // fewer may well have ended together
constexpr std::uint32_t kCutZoneDivisor = 3;     // of so many, less than one is heard
constexpr Millis kCutPatience = 3;               // leases
constexpr Millis kManySilent = 60'000;   // the least time for which many may be silent at once
constexpr Millis kUnlistedFor = 12'000;  // no list is that late
constexpr Millis kUnheardMargin = 3000;  // for a question to it that gets no answer
// Between two tries of a job that fails everywhere. With the fetch of its image a try has to come
// well within the 90 s for which no job may be left waiting beside capacity that fits.
constexpr double kLongestBackoffSeconds = 30;
constexpr Millis kReplicaRunsWell = 10'000;
constexpr std::size_t kMaxFailedOn = 16;  // machines that a service keeps off
constexpr Millis kFailedPause = 3000;     // for which a machine on which a task failed gets no work

}  // namespace

MachineIndex Cluster::machine_for(const std::string& name, const std::string& type,
                                  const std::string& zone, bool spot, Millis now) {
    auto [it, fresh] = machine_ids_.try_emplace(name, static_cast<MachineIndex>(machines_.size()));
    if (fresh) {
        Machine machine;
        machine.name = name;
        machine.token = settings_.token;
        machine.first_seen = now;
        machine.provisioned_at = now;
        if (free_machines_.empty()) {
            machines_.push_back(std::move(machine));
        } else {
            it->second = free_machines_.back();
            free_machines_.pop_back();
            machines_[it->second] = std::move(machine);
        }
    }
    Machine& machine = machines_[it->second];
    if (!type.empty() && machine.type == kInvalidIndex) {
        machine.type = types_.intern(type);
        if (type_info_.size() <= machine.type) type_info_.resize(machine.type + 1);
        machine.zone = zones_.intern(zone);
        machine.spot = spot;
    }
    return it->second;
}

bool Cluster::usable(const Machine& machine, Millis now) const {
    return machine.life == Machine::Life::Up && machine.synced && !machine.drain &&
           !machine.taken_at && machine.type != kInvalidIndex && machine.quarantine_until <= now &&
           machine.unreachable_since == 0 &&
           now - machine.last_heartbeat_at <= settings_.report_ms * 2 + 500;
}

// Judges a machine by the effect of what it was sent.
void Cluster::note_effect(MachineIndex mix, bool reached, int weight, Millis now) {
    if (!settings_.guards.command_effect_check) return;
    Machine& machine = machines_[mix];
    if (reached) {
        machine.misses = 0;
        machine.unreachable_since = 0;
        return;
    }
    machine.misses += weight;
    if (machine.misses >= kUnreachableMisses && machine.unreachable_since == 0)
        machine.unreachable_since = now;
}

void Cluster::note_image(Machine& machine, ImageIndex image) {
    std::erase(machine.images, image);
    machine.images.push_back(image);
    if (machine.images.size() > 8) machine.images.erase(machine.images.begin());
}

void Cluster::note_failure(Job& job, MachineIndex mix, Millis now) {
    job.failures++;
    note_machine_failure(job, mix, now);
    const bool sound = has_run_well(job, now);
    // The first failure is mostly the machine's; a job that fails everywhere waits longer.
    if (!sound && job.failed_on.size() >= 2) {
        const double backoff_s = settings_.policy
                                     ? settings_.policy->retry_s(facts(job))
                                     : std::min(std::exp2(job.failures), kLongestBackoffSeconds);
        job.retry_at = now + static_cast<Millis>(backoff_s * 1000);
    }
}

// A job of which a task has completed has no mistake in it: its failures are the machines', and the
// rest of it must not wait for them. Of a service, a replica that goes on running says the same.
bool Cluster::has_run_well(const Job& job, Millis now) const {
    if (!job.spec.service) return job.done > 0;
    return std::any_of(job.allocations.begin(), job.allocations.end(), [&](const auto& held) {
        const Allocation& allocation = allocations_[held.second];
        return allocation.phase == TaskPhase::Running && allocation.running_since > 0 &&
               now - allocation.running_since >= kReplicaRunsWell;
    });
}

// What fails for several jobs in a row is faulty: it gets no new work and is given up.
void Cluster::note_machine_failure(Job& job, MachineIndex mix, Millis now) {
    // A service lives for long: what failed for it long ago says nothing any more.
    if (job.spec.service && job.failed_on.size() >= kMaxFailedOn) job.failed_on.clear();
    job.failed_on.insert(mix);
    if (job.failed_on.size() > 2 && !has_run_well(job, now)) return;
    Machine& machine = machines_[mix];
    machine.failed_jobs.insert(static_cast<JobIndex>(job_ids_[job.id]));
    machine.quarantine_until = now + kFailedPause;
    if (machine.failed_jobs.size() >= 2) {
        machine.drain = true;
        machine.faulty = true;
        stop_replicas(mix, now);
    }
}

void Cluster::notice(MachineIndex mix, double notice_s, Millis now) {
    Machine& machine = machines_[mix];
    machine.taken_at = now + static_cast<Millis>(notice_s * 1000);
    const auto held = machine.allocations;
    for (auto allocation_index : held) {
        const Allocation& h = allocations_[allocation_index];
        if (h.job == kInvalidIndex || h.stop) continue;
        const auto& spec = jobs_[h.job].spec;
        const double ran_s = h.running_since > 0 ? (now - h.running_since) / 1000.0 : 0;
        const bool ends_before = spec.estimate_s - ran_s < notice_s * 0.7;
        if (h.phase == TaskPhase::Running && ends_before && !spec.service) continue;
        stop_with_gang(allocation_index,
                       spec.checkpoint_s > 0 ? std::min(notice_s, spec.save_s) : 0, now);
    }
}

void Cluster::on_list(const std::vector<ListedMachine>& page, Millis now) {
    for (const auto& listed : page) {
        const auto mix = machine_for(listed.name, listed.type, listed.zone, listed.spot, now);
        Machine& machine = machines_[mix];
        if (!machine.listed) {
            machine.listed = true;
            machine.provisioned_at =
                std::min(machine.provisioned_at, now - static_cast<Millis>(listed.age_s * 1000));
        }
        if (machine.endpoint.empty()) machine.endpoint = listed.endpoint;
        if (listed.state == ListedMachine::State::Running) machine.running = true;
        if (listed.state == ListedMachine::State::Failed && !machine.failed &&
            machine.life != Machine::Life::Gone) {
            machine.failed = true;
            machine.life = Machine::Life::Releasing;
        }
    }
}

void Cluster::on_list_complete(const std::set<std::string>& names, Millis now) {
    for (auto& machine : machines_) {
        // A record names it and newer machines are listed, it is not: it was given back before its
        // tasks were placed anew. Only its return proves that, but nothing has to be waited for.
        if (machine.life == Machine::Life::Booting && !machine.listed &&
            !machine.allocations.empty() && machine.last_heartbeat_at == 0 && !names.empty() &&
            machine.name < *names.rbegin()) {
            machine.life = Machine::Life::Releasing;
            continue;
        }
        // A late copy of a report makes a machine look up that was gone before this lead began.
        const bool stale = !machine.listed && !machine.allocations.empty() &&
                           now - machine.first_seen > kUnlistedFor + settings_.report_ms;
        if (machine.life != Machine::Life::Up || !(machine.listed || stale) ||
            names.contains(machine.name)) {
            continue;
        }
        // Lists go back at times, so silence is asked for as well.
        if (now - std::max(machine.last_heartbeat_at, machine.first_seen) >
            settings_.report_ms * 2 + 2000) {
            machine.life = Machine::Life::Releasing;
        }
    }
    // A new leader learns here of machines that it has not heard: nothing is rented beside them.
    note_cut_zones(now);
}

void Cluster::on_provisioned(const std::string& type, const std::string& zone, bool spot,
                             const std::vector<std::string>& names, Millis now) {
    for (const auto& name : names) machine_for(name, type, zone, spot, now);
    refused_.erase({types_.intern(type), zones_.intern(zone), spot});
}

void Cluster::on_refused(TypeIndex type, ZoneIndex zone, bool spot, Millis now) {
    auto& [until, step] = refused_[{type, zone, spot}];
    step = std::min<Millis>(step == 0 ? 5000 : step * 2, 12000);
    until = now + step;
}

std::vector<std::string> Cluster::next_releases(std::size_t limit, Millis now) {
    std::vector<std::string> out;
    for (auto& machine : machines_) {
        if (out.size() >= limit) break;
        if (machine.life != Machine::Life::Releasing) continue;
        if (machine.release_requested_at != 0 && now - machine.release_requested_at < 3000)
            continue;
        machine.release_requested_at = now;
        out.push_back(machine.name);
    }
    return out;
}

void Cluster::on_released(const std::vector<std::string>& names, bool ok, Millis now) {
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

void Cluster::release_pending(const std::vector<std::string>& names, Millis now) {
    for (const auto& name : names) {
        Machine& machine = machines_[machine_for(name, "", "", false, now)];
        if (machine.life != Machine::Life::Gone) machine.life = Machine::Life::Releasing;
    }
}

bool Cluster::has_tasks(const std::string& name) const {
    const auto it = machine_ids_.find(name);
    return it != machine_ids_.end() && !machines_[it->second].allocations.empty();
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
        if (up && now - machine.last_heartbeat_at < settings_.report_ms * 5 / 4 + 1000) ++heard;
    }
    zone_cut_.assign(zones.size(), 0);
    zone_back_.resize(zones.size(), -1);
    for (std::size_t z = 0; z < zones.size(); ++z) {
        const auto [there, heard] = zones[z];
        zone_cut_[z] = there >= kMinMachinesOfZone && heard * kCutZoneDivisor < there ? 1 : 0;
        // The first reports after a cut must not cost those whose report is still to come.
        if (zone_cut_[z] != 0) zone_back_[z] = now;
    }
}

std::vector<events::Event> Cluster::tick(Millis now, bool sure) {
    std::vector<events::Event> events;
    if (!sure) {
        sure_since_ = -1;
        return events;
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
        if (now - machine.last_heartbeat_at < settings_.report_ms * 5 / 4 + 1000) ++heard;
        if (machine.unreachable_since != 0) ++deaf;
        if (machine.lost_leases >= kLostLeases) ++losing;
    }
    const bool majority_silent = heard * 2 < up;
    if (majority_silent) majority_silent_at_ = now;
    // A report goes missing, the worker waits 4 s for its answer and a second for the next node.
    auto patience = settings_.report_ms * 5 / 4 + 5000 + 1500;
    if (settings_.policy) {
        patience = static_cast<Millis>(settings_.policy->silent_s(fleet_facts()) * 1000);
        // Less would give up machines between two of their reports.
        patience = std::max(patience, settings_.report_ms * 5 / 4 + 1000);
    }
    const auto cut_patience = std::max(patience, settings_.lease_ms * kCutPatience);
    const auto lease_over = settings_.lease_ms + settings_.report_ms * 5 / 4 + 1000;
    for (auto& machine : machines_) {
        if (machine.life == Machine::Life::Gone) {
            // Its place is used again once no late report or list is to be expected; without that
            // a leader of many days would grow without bound.
            if (machine.name.empty() || now - machine.release_requested_at < kForgetGone ||
                !machine.allocations.empty()) {
                continue;
            }
            free_machines_.push_back(machine_ids_.at(machine.name));
            machine_ids_.erase(machine.name);
            machine = Machine{};
            machine.life = Machine::Life::Gone;
            continue;
        }
        if (machine.life == Machine::Life::Releasing) continue;
        if (machine.life == Machine::Life::Up) {
            const auto silent_since =
                std::max({machine.last_heartbeat_at, expected_since(machine), sure_since_});
            // Once most are heard again, the others' reports are on their way: their time counts
            // anew.
            const auto silent =
                now -
                (majority_silent ? silent_since : std::max(silent_since, majority_silent_at_));
            // Many silent at once is a cut of ours rather than their fault.
            // Without an answer its lease has ended by then, and its replicas are down: they run
            // elsewhere as soon as its release proves them gone.
            const auto bound = !in_cut_zone(machine)   ? patience
                               : has_replicas(machine) ? std::max(patience, lease_over)
                                                       : cut_patience;
            // For ever it is not: a fleet that had shrunk to one hanging machine kept its tasks.
            const bool many = majority_silent && silent <= std::max(cut_patience, kManySilent);
            if (silent > bound && !many) {
                if (!settings_.guards.silence_is_no_proof) {
                    const auto mix = static_cast<MachineIndex>(&machine - machines_.data());
                    release_all(mix, std::numeric_limits<std::uint64_t>::max(), now);
                }
                machine.life = Machine::Life::Releasing;
                events.emplace_back(events::MachineReleaseStarted{
                    machine.name, events::ReleaseReason::Silent, silent, {}});
                continue;
            }
            // Many deaf at once is a trouble of ours as well.
            const auto unreachable_patience =
                std::max(patience, settings_.lease_ms + settings_.report_ms * 3);
            if (machine.unreachable_since != 0 &&
                now - machine.unreachable_since > unreachable_patience && deaf * 2 <= up) {
                machine.life = Machine::Life::Releasing;
                events.emplace_back(
                    events::MachineReleaseStarted{machine.name,
                                                  events::ReleaseReason::Unreachable,
                                                  now - machine.unreachable_since,
                                                  {}});
                continue;
            }
            // Commands may reach it while answers don't: then its tasks die with each lease.
            if (settings_.guards.command_effect_check && machine.lost_leases >= kLostLeases &&
                losing * 4 <= up) {
                machine.life = Machine::Life::Releasing;
                events.emplace_back(events::MachineReleaseStarted{
                    machine.name, events::ReleaseReason::LeasesLost, 0, {}});
                continue;
            }
            if (machine.lost_leases > 0 && now - machine.session_at > settings_.lease_ms * 3) {
                machine.lost_leases = 0;
            }
            if (machine.drain && machine.allocations.empty())
                machine.life = Machine::Life::Releasing;
            // Replicas never end by themselves and would keep it for ever.
            if (machine.drain && only_replicas(machine)) {
                stop_replicas(static_cast<MachineIndex>(&machine - machines_.data()), now);
            }
            // Taken as announced: its place can be rented again before its silence would show.
            if (machine.taken_at && now > *machine.taken_at + kTakenMargin &&
                machine.last_heartbeat_at < *machine.taken_at) {
                machine.life = Machine::Life::Releasing;
                events.emplace_back(events::MachineReleaseStarted{
                    machine.name, events::ReleaseReason::NoticeExpired, 0, {}});
                continue;
            }
            if (machine.taken_at && now > *machine.taken_at + 60000) machine.taken_at.reset();
            for (auto allocation_index : machine.allocations) {
                const Allocation& h = allocations_[allocation_index];
                // Unwanted and still in doubt: only the machine's return gives certainty.
                if (h.stop && h.state == Allocation::State::Sent && h.direct_unconfirmed &&
                    now - h.stop_since > settings_.cancel_ms / 3) {
                    machine.life = Machine::Life::Releasing;
                    events.emplace_back(events::MachineReleaseStarted{
                        machine.name, events::ReleaseReason::UnconfirmedRun, 0, jobs_[h.job].id});
                    break;
                }
            }
        } else {
            const double boot_s =
                machine.type != kInvalidIndex && type_info_[machine.type].boot_s > 0
                    ? type_info_[machine.type].boot_s
                    : 60;
            const auto limit = std::max<Millis>(static_cast<Millis>(boot_s * 3000), 60000);
            // A record can name a machine that no list shows: it is gone, the return proves it.
            // A new leader finds machines in the list that have been up for long and has not heard
            // them yet: they get its full patience, whatever their age.
            const auto known = now - expected_since(machine);
            auto listed_patience = in_cut_zone(machine) ? cut_patience : 2 * patience;
            // Cancelled work that may be there has little time left: it was cancelled under an
            // earlier leader, and a machine that hangs hears no halt.
            if (!in_cut_zone(machine) && has_cancelled_work(machine)) {
                listed_patience =
                    std::min(listed_patience, settings_.report_ms * 5 / 4 + 1000 + kUnheardMargin);
            }
            const auto minimum = machine.running ? listed_patience : std::min(limit, 2 * patience);
            const auto age = machine.running ? known : now - machine.provisioned_at;
            const bool stale = !machine.listed && !machine.allocations.empty() &&
                               now - machine.first_seen > patience + 6000;
            if (stale || (known > minimum && age > (machine.running ? minimum : limit))) {
                machine.life = Machine::Life::Releasing;
                events.emplace_back(events::MachineReleaseStarted{
                    machine.name, events::ReleaseReason::NeverRegistered, 0, {}});
            }
        }
    }
    return events;
}

bool Cluster::has_replicas(const Machine& machine) const {
    return std::any_of(machine.allocations.begin(), machine.allocations.end(),
                       [&](AllocationIndex allocation_index) {
                           return jobs_.at(allocations_[allocation_index].job).spec.service;
                       });
}

bool Cluster::only_replicas(const Machine& machine) const {
    return !machine.allocations.empty() &&
           std::all_of(machine.allocations.begin(), machine.allocations.end(),
                       [&](AllocationIndex allocation_index) {
                           return jobs_.at(allocations_[allocation_index].job).spec.service;
                       });
}

bool Cluster::has_cancelled_work(const Machine& machine) const {
    return std::any_of(machine.allocations.begin(), machine.allocations.end(),
                       [&](AllocationIndex allocation_index) {
                           return jobs_.at(allocations_[allocation_index].job).aborted;
                       });
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

std::size_t Cluster::machine_count() const {
    return static_cast<std::size_t>(
        std::count_if(machines_.begin(), machines_.end(),
                      [](const Machine& m) { return m.life != Machine::Life::Gone; }));
}

}  // namespace lichendrift::core
