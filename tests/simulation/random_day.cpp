// Random days: simulated runs with random jobs and faults. Also the jobs that tests submit.
#include <fmt/format.h>

#include "simulation/messages.h"
#include "simulation/simulation.h"

namespace lichendrift::simulation {

void Simulation::inject_fault() {
    if (now_ >= options_.busy_ms) {
        // No more faults from here on, so that every accepted job can end.
        for (auto& [name, w] : workers_) w.fails_tasks = false;
        return;
    }
    const auto node = random_below(nodes_.size());
    const auto name = node_name(node);
    const auto span = static_cast<Millis>(2000 + random_below(15000));
    const bool delay = random_chance(0.5);
    const auto random_worker = [&]() -> Worker* {
        std::vector<Worker*> up;
        for (auto& [n, w] : workers_) {
            if (w.up && !w.gone) up.push_back(&w);
        }
        return up.empty() ? nullptr : up[random_below(up.size())];
    };
    const auto second_fault_at_once = random_chance(0.25);
    const auto kind = random_below(30);
    note_fault(fmt::format("{} at {}: {} ms, delay {}", kind, name, span, delay));
    switch (kind) {
        case 0:
            crash(node, options_.restart_ms);
            break;
        case 1:
            crash(node, 100 + static_cast<Millis>(random_below(500)));
            break;
        case 2:
            for (std::size_t n = 0; n < nodes_.size(); ++n) crash(n, options_.restart_ms);
            break;
        case 3:
            partition(name, "state", span, delay);
            break;
        case 4:
            partition(name, "host", span, delay);
            break;
        case 5:
            partition(name, "n", span, delay);
            break;
        case 6:
            partition(name, "", span, delay);
            break;
        case 7:
            refuse_state_requests(node, span);
            break;
        case 8:
            state_outage(span);
            break;
        case 9:
            cloud_outage(span);
            break;
        case 10:
            if (auto* w = random_worker(); w != nullptr && w->hung_until + 3000 < now_) {
                w->hung_until = now_ + span;
                fault_until(w->hung_until);
            }
            break;
        case 11:
            if (auto* w = random_worker())
                w->interrupted_at = now_ + static_cast<Millis>(random_below(8000));
            break;
        case 12:
            if (auto* w = random_worker()) partition(w->name, "n", span, delay);
            break;
        case 13:
            if (auto l = leader()) {
                partition(node_name(*l), random_chance(0.5) ? "state" : "host", span, delay);
            }
            break;
        case 14:
            if (auto* w = random_worker()) block_inbound(*w, span, delay);
            break;
        case 15:
            for (auto& [n, w] : workers_) {
                if (w.up && !w.gone && random_chance(0.4)) block_inbound(w, span, delay);
            }
            break;
        case 16:
            if (auto l = leader()) isolate(*l, span, delay, random_chance(0.33));
            break;
        case 17:
            // The leader restarts within 350 ms; it or another one restarts again during the
            // election.
            if (auto l = leader()) {
                crash(*l, 50 + static_cast<Millis>(random_below(300)));
                const auto again = random_chance(0.5) ? *l : node;
                at(now_ + 400 + static_cast<Millis>(random_below(3500)),
                   [this, again] { crash(again, 50 + static_cast<Millis>(random_below(300))); });
            }
            break;
        case 18:
            freeze(node, span);
            break;
        case 19:
            // The leader crashes, and controllers are paused during the election and failover.
            if (auto l = leader()) {
                crash(*l, options_.restart_ms);
                for (std::size_t n = 0; n < nodes_.size(); ++n) {
                    if (random_chance(0.5)) continue;
                    at(now_ + static_cast<Millis>(random_below(4000)),
                       [this, n, span] { freeze(n, span); });
                }
            }
            break;
        case 20:
            if (auto l = leader()) freeze(*l, random_chance(0.5) ? span : 500 + span / 5);
            break;
        case 21:
        case 22:
            // The state service refuses only the leader, others confirm cancellations, and then it
            // has an outage for all.
            if (auto l = leader()) {
                refuse_state_requests(*l, span);
                if (random_chance(0.4)) partition(node_name(*l), "n", span + 15'000, delay);
                const auto other = (*l + 1 + random_below(nodes_.size() - 1)) % nodes_.size();
                at(now_ + 200 + static_cast<Millis>(random_below(1500)), [this, other, span] {
                    cancel_running_jobs(1 + random_below(3), 0);
                    if (random_chance(0.3))
                        crash(other, 100 + static_cast<Millis>(random_below(30'000)));
                    at(now_ + 300 + static_cast<Millis>(random_below(1500)),
                       [this, span] { state_outage(random_chance(0.4) ? 15'000 + span : span); });
                });
            }
            break;
        case 23:
            late_writes(0.2 + static_cast<double>(random_below(40)) / 100, span);
            break;
        case 24:
            if (auto* w = random_worker()) block_outbound(*w, span + 5000);
            break;
        case 25:
            for (auto& [n, w] : workers_) {
                if (w.up && !w.gone && random_chance(0.4)) block_outbound(w, span);
            }
            break;
        case 26: {
            const auto hang_ms = random_chance(0.6) ? span : 0;
            const auto count = 1 + random_below(3);
            note_fault(fmt::format("cancel {} jobs, hang {} ms", count, hang_ms));
            cancel_running_jobs(count, hang_ms);
            break;
        }
        case 27:
            // All controllers are down for longer than a lease.
            for (std::size_t n = 0; n < nodes_.size(); ++n) {
                crash(n, static_cast<Millis>(options_.lease_s * 1000) + span);
            }
            break;
        case 28: {
            const auto for_ms =
                random_chance(0.5) ? span : span + static_cast<Millis>(options_.lease_s * 1000);
            const auto* zone = random_chance(0.5) ? "a" : "b";
            note_fault(fmt::format("cut off zone {} for {} ms", zone, for_ms));
            partition_zone(zone, "", for_ms, delay);
            break;
        }
        default:
            for (Millis t = 0; t < span; t += 100) at(now_ + t, [this] { send_unusual_request(); });
            break;
    }
    at(now_ + (second_fault_at_once ? 1 : 1500 + static_cast<Millis>(random_below(7000))),
       [this] { inject_fault(); });
}

std::string Simulation::draws_digest() const {
    Trace digest;
    for (const auto& j : jobs_) {
        digest.add(j.submit_at, "job", j.id, j.cls,
                   fmt::format("{} {} {} {} tasks, {} CPUs, {} s, saved each {} s, zone {}", j.team,
                               j.kind, j.priority, j.count, j.cpus, j.run_s, j.checkpoint_s,
                               j.zone.value_or("any")));
        digest.add(j.cancel_at, "rules", "", "",
                   fmt::format("one zone {}, apart {}, spot {}, cancelled at its end {}",
                               j.one_zone, j.apart, j.spot, j.cancel_at_end));
    }
    for (const auto& fault : injected_faults_) digest.add(0, "fault", "", "", fault);
    return digest.digest();
}

Options fault_free_options(std::uint64_t seed) {
    Options options;
    options.seed = seed;
    options.jobs = 0;
    options.faults = false;
    return options;
}

std::string numbered_job_id(std::size_t n) {
    char id[32];
    std::snprintf(id, sizeof id, "job-%06zu", n);
    return id;
}

Job batch_job(const std::string& id, std::uint32_t count, double run_s, Millis submit_at) {
    Job j;
    j.id = id;
    j.count = count;
    j.run_s = run_s;
    j.submit_at = submit_at;
    return j;
}

Job service(const std::string& id, std::uint32_t replicas, Millis submit_at, Millis cancel_at) {
    Job j;
    j.id = id;
    j.cls = "standing";
    j.kind = "service";
    j.priority = "critical";
    j.count = replicas;
    j.apart = true;
    j.spot = false;
    j.run_s = 0;
    j.checkpoint_s = 0;
    j.submit_at = submit_at;
    j.cancel_at = cancel_at;
    return j;
}

Job random_job(std::mt19937_64& rng, std::size_t number, Millis busy_ms) {
    const auto random_below = [&](std::uint64_t n) { return rng() % n; };
    Job j;
    j.id = numbered_job_id((number * 7919 + 13) % 1'000'000);
    j.cls = random_below(2) == 0 ? "one" : "other";
    j.team = random_below(3) == 0 ? "side" : "core";
    j.kind = random_below(2) == 0 ? "ensemble" : "sweep";
    static const char* const kPriorities[] = {"low", "normal", "high", "critical"};
    j.priority = kPriorities[random_below(4)];
    j.count = static_cast<std::uint32_t>(1 + random_below(6));
    j.cpus = 1 + static_cast<double>(random_below(3));
    j.one_zone = random_below(4) == 0;
    j.apart = !j.one_zone && random_below(5) == 0;
    j.spot = random_below(4) != 0;
    j.run_s = 3 + static_cast<double>(random_below(14));
    j.checkpoint_s = random_below(3) == 0 ? 0 : 2;
    if (random_below(6) == 0) j.zone = random_below(2) == 0 ? "a" : "b";
    if (j.zone && j.apart) j.apart = false;
    j.submit_at = static_cast<Millis>(random_below(static_cast<std::uint64_t>(busy_ms)));
    if (random_below(5) == 0) j.cancel_at = j.submit_at + static_cast<Millis>(random_below(25000));
    j.cancel_at_end = random_below(12) == 0;
    return j;
}

}  // namespace lichendrift::simulation
