// Two jobs that were submitted with a mistake fail on a machine, and their users cancel them. The
// machine is sound and has room, and a job that comes later waits for it.
#include "region.h"

using namespace region;

namespace {

constexpr Millis kBound = 90'000;  // kit/more/hunt/LATER.md: "no job is left waiting for 90 s"

int run(const char* folder) {
    Setup setup;
    setup.types = {{"nodo-aula", 24, 2, 96, 120, 0.8, 5.12, 1.15, 40, setup.zones},
                   {"nodo-centrale", 48, 4, 288, 70, 0.5, 14.71, 3.23, 30, setup.zones}};
    Region region(setup, folder);
    region.cloud.max_machines = 0;  // the cloud has no more machines: "no capacity"
    region.workers.add("nodo-centrale", "torino", false, 100);
    region.workers.add("nodo-aula", "milano", false, 100);
    Worker& machine = *region.workers.workers[0];
    if (!region.start()) return kCannotRun;
    if (!region.run_until([&] { return !region.leader().empty(); }, 10'000)) return kCannotRun;
    const auto submit = [&](const Job& job) {
        const auto answer = region.insist([&] { return region.submit(0, body_of(job), job.id); });
        return answer.status == 201;
    };
    const auto started = [&](const Job& job) {
        return !region.workers.machines_of(job.id + "/0").empty();
    };

    // A task that runs for five minutes and saves nothing: it is never moved.
    Job lasting;
    lasting.id = "job-000101", lasting.cls = "archivio-decennale", lasting.image = "img-01";
    lasting.cpus = 1, lasting.gpus = 0, lasting.mem_gb = 3.2, lasting.estimate_s = 300;
    lasting.checkpoint_s = 0;
    lasting.types = {"nodo-centrale"};
    region.workers.jobs[lasting.id].run_s = 300;
    region.workers.jobs[lasting.id].cpus = 1;
    if (!submit(lasting)) return kCannotRun;
    if (!region.run_until([&] { return started(lasting); }, 15'000)) return kCannotRun;

    if (trouble()) {
        for (const auto* id : {"job-000410", "job-000411"}) {
            Job failing;
            failing.id = id, failing.types = {"nodo-centrale"};
            region.workers.jobs[failing.id].mistake = true;
            if (!submit(failing)) return kCannotRun;
            const auto failed = [&] {
                const auto& tasks = machine.tasks();
                return std::any_of(tasks.begin(), tasks.end(), [&](const Worker::Task& task) {
                    return task.job == failing.id && task.why == "error";
                });
            };
            if (!region.run_until(failed, 15'000)) return kCannotRun;
            region.run_for(500);
            // Its user sees the mistake.
            if (region.insist([&] { return region.cancel(0, failing.id); }).state != "aborted")
                return kCannotRun;
        }
        region.record.line("both jobs are cancelled; the troubles are over");
    }

    Job later;
    later.id = "job-000412", later.types = {"nodo-centrale"};
    region.workers.jobs[later.id] = {};
    const auto over_at = EventLoop::steady_clock();
    if (!submit(later)) return kCannotRun;
    while (EventLoop::steady_clock() - over_at < kBound + 1000) {
        const auto left = over_at + kBound + 1000 - EventLoop::steady_clock();
        if (region.run_until([&] { return started(later); }, std::min<Millis>(10'000, left))) {
            region.record.line("%s has started", later.id.c_str());
            return kHeld;
        }
        if (machine.gone()) {
            region.record.line("host-000001 was returned: the case says nothing");
            return kCannotRun;
        }
        double cpus = setup.types[1].cpus;
        for (const auto& task : machine.tasks()) {
            if (task.state != "exited") cpus -= region.workers.jobs[task.job].cpus;
        }
        region.record.line("host-000001 has %.0f of 48 CPUs free", cpus);
        region.poll(1, later.id);
    }
    region.record.line("left waiting: %s waits for more than 90 s beside a machine that fits and has room",
                       later.id.c_str());
    return kBroken;
}

}  // namespace

int main(int, char** arguments) { return run(arguments[1]); }
