// The rule checker: the protocol's rules at each step, and what must be served by the end of a run.
#include <algorithm>

#include "simulation/messages.h"
#include "simulation/simulation.h"

namespace lichendrift::simulation {

namespace {

constexpr Millis kMaxUnanswered = 75'000;     // longest time in which no poll of a job is answered
constexpr Millis kSettleTime = 12'000;        // a leader must have had a valid lease for this time
constexpr Millis kMaxWait = 90'000;           // for a job that fits on free machines
constexpr Millis kMaxStartDelay = 240'000;    // of a largest job, from its submission
constexpr Millis kServiceGracePeriod = 5000;  // from the acceptance of a service
constexpr Millis kTick = 100;

}  // namespace

void Simulation::check_start(const Worker& worker, const Job& j, std::uint32_t task, Millis sent) {
    if (j.cancel_confirmed_at >= 0 && sent > j.cancel_confirmed_at + options_.late_start_ms) {
        fail("started_cancelled", j.id + " by an order sent " +
                                      std::to_string(sent - j.cancel_confirmed_at) +
                                      " ms after its cancellation was confirmed");
    }
    if (j.cancel_confirmed_at >= 0 &&
        now_ - j.cancel_confirmed_at > static_cast<Millis>(options_.cancel_s * 1000)) {
        fail("ran_cancelled", j.id + " starts");
    }
    if (worker.spot && !j.spot) fail("wrong_place", j.id + " on a spot machine");
    if (j.zone && worker.zone != *j.zone) fail("wrong_place", j.id + " in zone " + worker.zone);
    std::map<std::string, std::uint32_t> zones{{worker.zone, 1}};
    for (const auto& [name, other] : workers_) {
        for (const auto& t : other.tasks) {
            if (t.job != j.id || t.state == "exited") continue;
            if (t.task == task && name != worker.name) {
                fail("ran_twice",
                     j.id + "/" + std::to_string(task) + " on " + name + " and " + worker.name);
            }
            ++zones[other.zone];
        }
    }
    if (j.one_zone && zones.size() > 1) fail("wrong_place", j.id + " in two zones");
    if (j.apart) {
        for (const auto& [zone, n] : zones) {
            if (n > (j.count + 1) / 2) fail("wrong_place", j.id + " is not apart");
        }
    }
}

void Simulation::check() {
    std::map<std::string, double> used;
    for (const auto& [name, w] : workers_) {
        for (const auto& t : w.tasks) {
            if (t.state == "exited") continue;
            const Job& j = *job(t.job);
            used[j.team] += j.cpus;
            // A machine that hangs past its lease stops its tasks only when it resumes. Until then
            // they end only if the machine is released, which needs a leader with a valid lease.
            const bool lease_expired =
                w.hung_until > now_ &&
                now_ - w.last_acknowledged_sent_at > static_cast<Millis>(options_.lease_s * 1000);
            if (lease_expired && now_ - last_unsettled_at_ < kSettleTime) continue;
            if (j.cancel_confirmed_at >= 0 &&
                now_ - j.cancel_confirmed_at > static_cast<Millis>(options_.cancel_s * 1000)) {
                fail("ran_cancelled", j.id + " is still on " + name);
            }
        }
    }
    for (const auto& team : options_.teams) {
        const auto limit = static_cast<double>(team.limit.cpus) / 1000;
        if (limit > 0 && used[team.name] > limit + 1e-9) fail("quota", team.name);
    }
}

void Simulation::check_answers() {
    if (now_ % 1000 != 0) return;
    for (const auto& j : jobs_) {
        if (j.accepted_at < 0) continue;
        const auto since = std::max({j.last_answered_at, j.accepted_at, faults_over_at_});
        if (now_ - since > kMaxUnanswered) fail("forgotten", j.id + " gets no answer");
    }
}

// Whether a whole gang, or one task of an array, fits on the free capacity within its team's quota
// and its zone constraints.
bool Simulation::has_room(const Job& j, const std::map<std::string, double>& used) const {
    std::map<std::string, int> tasks_in_zone;  // tasks of the job that are already on machines
    const bool gang = j.kind == "ensemble";
    const auto need = static_cast<int>(gang ? j.count : 1);
    for (const auto& team : options_.teams) {
        const auto limit = static_cast<double>(team.limit.cpus) / 1000;
        const auto it = used.find(j.team);
        const auto quota_used = it == used.end() ? 0.0 : it->second;
        if (team.name == j.team && limit > 0 && quota_used + need * j.cpus > limit + 1e-9) {
            return false;
        }
    }
    std::map<std::string, int> slots;  // by zone
    for (const auto& [name, w] : workers_) {
        for (const auto& t : w.tasks)
            tasks_in_zone[w.zone] += t.job == j.id && t.state != "exited" ? 1 : 0;
    }
    for (const auto& [name, w] : workers_) {
        const bool usable = w.up && !w.gone && !w.fails_tasks && w.hung_until <= now_ &&
                            w.inbound_blocked_until <= now_ && w.outbound_blocked_until <= now_ &&
                            w.interrupted_at < 0;
        if (!usable || (w.spot && !j.spot) || (j.zone && *j.zone != w.zone)) continue;
        double cpus = kMachineCpus;
        for (const auto& t : w.tasks) {
            if (t.state == "exited") continue;
            for (const auto& other : jobs_) {
                if (other.id == t.job) cpus -= other.cpus;
            }
        }
        slots[w.zone] += static_cast<int>((cpus + 1e-9) / j.cpus);
    }
    int maximum = 0;
    int sum = 0;
    for (const auto& [zone, n] : slots) {
        maximum = std::max(maximum, n);
        const int max_per_zone = (static_cast<int>(j.count) + 1) / 2;
        sum += j.apart ? std::min(n, std::max(0, max_per_zone - tasks_in_zone[zone])) : n;
    }
    return (j.one_zone && gang ? maximum : sum) >= need;
}

// Whether any single replica has not been placed for too long, even if others are placed and end
// meanwhile.
bool Simulation::replica_waits(const Job& j) const {
    for (std::uint32_t task = 0; task < j.count; ++task) {
        const auto seen = j.replica_last_placed_at.find(task);
        const auto since = seen == j.replica_last_placed_at.end() ? j.accepted_at : seen->second;
        if (now_ - std::max(since, faults_over_at_) > kMaxWait) return true;
    }
    return false;
}

// Checks that once all faults are over no job waits for long while it fits on free machines.
void Simulation::check_waiting() {
    if (now_ % 1000 != 0 || now_ < std::max(faults_over_at_, options_.busy_ms)) return;
    std::map<std::string, double> used;
    std::map<std::string, std::set<std::uint32_t>> placed;  // tasks, by job
    for (const auto& [name, w] : workers_) {
        for (const auto& t : w.tasks) {
            // A replica that has exited waits for placement again.
            if (t.state != "exited" || !job(t.job)->is_service()) placed[t.job].insert(t.task);
            if (t.state != "exited") used[job(t.job)->team] += job(t.job)->cpus;
        }
    }
    for (auto& j : jobs_) {
        // In an array, a single task may still be waiting long after the others have ended.
        auto served = placed[j.id];
        served.insert(j.done_tasks.begin(), j.done_tasks.end());
        const bool incomplete = j.kind == "ensemble" ? served.empty() : served.size() < j.count;
        for (auto task : placed[j.id]) j.replica_last_placed_at[task] = now_;
        const bool waits = j.accepted_at >= 0 && j.cancel_requested_at < 0 && !j.done_reported &&
                           j.done_tasks.size() < j.count && incomplete;
        if (!waits || !has_room(j, used)) {
            j.fits_since = -1;
        } else if (j.fits_since < 0) {
            j.fits_since = now_;
        } else if (now_ - j.fits_since > kMaxWait && (!j.is_service() || replica_waits(j))) {
            fail("left_waiting", j.id + " beside room that fits");
        }
    }
}

// Measures replica time due and served, from kServiceGracePeriod after the acceptance of a service
// until the user cancels it.
void Simulation::measure_services() {
    for (auto& j : jobs_) {
        const bool due = j.is_service() && j.accepted_at >= 0 && j.cancel_requested_at < 0 &&
                         now_ >= j.accepted_at + kServiceGracePeriod;
        if (!due) continue;
        std::set<std::uint32_t> up;
        for (const auto& [name, w] : workers_) {
            if (w.gone || w.hung_until > now_) continue;
            for (const auto& t : w.tasks) {
                if (t.job == j.id && t.state == "running") up.insert(t.task);
            }
        }
        j.replica_due_ms += kTick * static_cast<Millis>(j.count);
        j.replica_up_ms += kTick * static_cast<Millis>(up.size());
    }
}

// Checks at the end of a run that at least half of the jobs of each class, of each team, and of the
// largest jobs of each class were served, and that the largest jobs started in time.
void Simulation::check_served() {
    std::map<std::string, std::pair<int, int>> served;  // by group: served, all
    std::map<std::string, std::uint32_t> largest;
    for (const auto& j : jobs_) largest[j.cls] = std::max(largest[j.cls], j.count);
    for (const auto& j : jobs_) {
        if (j.accepted_at < 0 || j.cancel_requested_at >= 0 || j.always_fails) continue;
        std::vector<std::string> groups{"class " + j.cls, "team " + j.team};
        if (j.count == largest[j.cls]) groups.push_back("largest of " + j.cls);
        for (const auto& group : groups) {
            ++served[group].second;
            const bool was_served = j.is_service() ? j.replica_up_ms * 2 >= j.replica_due_ms
                                                   : j.done_tasks.size() == j.count;
            served[group].first += was_served ? 1 : 0;
        }
        if (j.count == largest[j.cls] && now_ - j.submit_at > kMaxStartDelay &&
            (j.first_run_at < 0 || j.first_run_at - j.submit_at > kMaxStartDelay)) {
            fail("unserved", j.id + ", a largest one, began after " +
                                 std::to_string(j.first_run_at - j.submit_at) + " ms");
        }
    }
    for (const auto& [group, n] : served) {
        if (n.first * 2 < n.second) fail("unserved", group);
    }
}

}  // namespace lichendrift::simulation
