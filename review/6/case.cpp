// A machine fails the tasks that it starts for a few seconds. Afterwards it is sound and has room,
// and the job that failed there waits for it.
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

    Job service;
    service.id = "job-000101", service.cls = "sportello-esiti", service.kind = "service";
    service.priority = "critical", service.image = "img-01", service.image_gb = 1;
    service.cpus = 1, service.gpus = 0, service.mem_gb = 3.2, service.estimate_s = 0;
    service.types = {"nodo-centrale"};
    UploadedJob replica;
    replica.service = true, replica.cpus = 1;
    region.workers.jobs[service.id] = replica;
    if (region.insist([&] { return region.submit(0, body_of(service), service.id + ", service"); }).status != 201)
        return kCannotRun;
    const auto serving = [&] { return !region.workers.machines_of(service.id + "/0").empty(); };
    if (!region.run_until(serving, 15'000)) return kCannotRun;

    if (trouble()) {
        machine.sick = true;
        region.record.line("host-000001 fails every task that it starts");
    }
    Job job;
    job.id = "job-000412", job.types = {"nodo-centrale"};
    region.workers.jobs[job.id] = {};
    if (region.insist([&] { return region.submit(0, body_of(job), job.id); }).status != 201)
        return kCannotRun;
    const auto start_of = [&] { return region.workers.machines_of(job.id + "/0").size() > 0; };
    if (trouble()) {
        const auto failed = [&] {
            const auto& tasks = machine.tasks();
            return std::any_of(tasks.begin(), tasks.end(), [&](const Worker::Task& task) {
                return task.job == job.id && task.state == "exited" && task.why == "error";
            });
        };
        if (!region.run_until(failed, 20'000)) return kCannotRun;
        region.run_for(1000);
        machine.sick = false;
        region.record.line("host-000001 is sound again; the troubles are over");
    }

    // A job of another user with the same needs, submitted after the troubles.
    Job later = job;
    later.id = "job-000413";
    region.workers.jobs[later.id] = {};
    const auto over_at = EventLoop::steady_clock();
    if (region.insist([&] { return region.submit(0, body_of(later), later.id); }).status != 201)
        return kCannotRun;
    while (EventLoop::steady_clock() - over_at < kBound + 1000) {
        if (region.run_until(start_of, 10'000)) {
            region.record.line("%s has started", job.id.c_str());
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
        region.poll(1, job.id);
    }
    region.poll(1, later.id);
    region.record.line("left waiting: %s waits for more than 90 s beside a machine that fits and has room",
                       job.id.c_str());
    return kBroken;
}

}  // namespace

int main(int, char** arguments) { return run(arguments[1]); }
