// The limits of the state service fall, as the settings have announced, after all controllers were
// restarted one by one. Then the submission of a job that is over is repeated.
#include "region.h"

using namespace region;

namespace {

int run(const char* folder) {
    Setup setup;
    setup.next_limits = "value_kb = 2.0\ntxn_ops = 4\nwrite_rps = 35.0";
    setup.types.clear();
    Job job;
    job.id = "job-000412";
    for (int number = 1; number <= 60; ++number) {
        MachineType type;
        type.name = "nodo-aula-provinciale-verona-2025-" + std::to_string(number);
        type.zones = setup.zones;
        setup.types.push_back(type);
        job.types.push_back(type.name);
    }
    const auto body = body_of(job);
    Region region(setup, folder);
    region.workers.add(job.types[0], "torino", false, 100);
    region.workers.add(job.types[1], "milano", false, 100);
    if (!region.start()) return kCannotRun;
    if (!region.run_until([&] { return !region.leader().empty(); }, 10'000)) return kCannotRun;

    region.workers.jobs[job.id] = {};
    const auto accepted =
        region.insist([&] { return region.submit(0, body, "job-000412, 60 machine types"); });
    if (accepted.status != 201) return kCannotRun;
    Answer last;
    for (int polls = 0; polls < 12 && last.state != "done"; ++polls) {
        region.run_for(3000);
        last = region.poll(1, job.id);
    }
    if (last.state != "done") return kCannotRun;

    // The rollout: all controllers are restarted one after the other.
    for (std::size_t node = 0; node < setup.controllers; ++node) {
        region.kill(node);
        region.run_for(1000);
        if (!region.spawn(node)) return kCannotRun;
        if (!region.run_until([&] { return region.all_healthy(); }, 10'000)) return kCannotRun;
        region.run_for(1500);
    }
    if (!region.run_until([&] { return !region.leader().empty(); }, 10'000)) return kCannotRun;
    region.run_for(3000);

    if (trouble()) {
        region.state.set_limits({2.0, 4, setup.state_rps, 35.0});
        region.record.line("state service: values up to 2 KiB, 4 changes a transaction, 35 changes a second");
        region.run_for(1000);
    }
    bool broken = false;
    for (std::size_t node = 0; node < setup.controllers; ++node) {
        const auto repeated =
            region.insist([&] { return region.submit(node, body, "job-000412, repeated"); });
        if (repeated.status == 0 || repeated.status >= 500) return kCannotRun;
        if (repeated.status == 400 || repeated.status == 422) {
            broken = true;
            region.record.line("forgotten: job-000412 was accepted and done, and its repeated submission gets %d",
                               repeated.status);
        }
    }
    region.poll(2, job.id);
    return broken ? kBroken : kHeld;
}

}  // namespace

int main(int, char** arguments) { return run(arguments[1]); }
