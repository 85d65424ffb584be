// A submission that is not JSON (Latin-1 text) reaches one controller. Afterwards that controller
// answers the repeated submission of an accepted job.
#include "region.h"

using namespace region;

namespace {

const std::vector<std::string> kTypes = {
    "nodo-aula",         "nodo-aula-2024",    "nodo-aula-2025",     "nodo-aula-grande",
    "nodo-centrale",     "nodo-centrale-24",  "nodo-centrale-25",   "nodo-centrale-due",
    "nodo-provinciale",  "nodo-provinciale2", "nodo-notturno-2024", "nodo-notturno-2025",
    "nodo-archivio",     "nodo-archivio-due", "nodo-esami-2024",    "nodo-esami-2025"};

Job job(const std::string& id) {
    Job made;
    made.id = id;
    made.image = "registro-immagini/esami/rielabora-punteggi@sha256:"
                 "5f3c1a9e7b2d4c6f8091a2b3c4d5e6f70819202122232425262728292a2b2c2d";
    made.types = kTypes;
    return made;
}

int run(const char* folder) {
    Setup setup;
    setup.types.clear();
    for (const auto& name : kTypes) {
        MachineType type;
        type.name = name;
        type.zones = setup.zones;
        setup.types.push_back(type);
    }
    Region region(setup, folder);
    region.workers.add("nodo-aula", "torino", false, 100);
    region.workers.add("nodo-aula", "milano", false, 100);
    if (!region.start()) return kCannotRun;
    if (!region.run_until([&] { return !region.leader().empty(); }, 10'000)) return kCannotRun;
    region.run_for(2000);
    // A follower: the leader learns of each accepted job within milliseconds.
    const std::size_t hit = region.leader() == region.name(0) ? 1 : 0;
    const std::size_t other = hit + 1;

    if (trouble()) {
        // "qualità" in ISO 8859-1: the byte E0 alone is not UTF-8, so the body is not JSON.
        auto malformed = job("job-000411");
        malformed.cls = "qualit\xE0-punteggi";
        const auto answer = region.insist(
            [&] { return region.submit(hit, body_of(malformed), "job-000411, Latin-1 text"); });
        region.record.line("the malformed submission ended with %d; 400 is the answer for it",
                           answer.status);
    }

    bool broken = false;
    for (int number = 412; number <= 417; ++number) {
        const auto id = "job-000" + std::to_string(number);
        const auto body = body_of(job(id));
        region.workers.jobs[id] = {};
        const auto accepted = region.insist([&] { return region.submit(other, body, id); });
        if (accepted.status != 201 && accepted.status != 200) return kCannotRun;
        const auto repeated =
            region.insist([&] { return region.submit(hit, body, id + ", repeated"); });
        if (repeated.status == 0 || repeated.status >= 500) return kCannotRun;
        if (repeated.status == 400 || repeated.status == 422) {
            broken = true;
            region.record.line("forgotten: %s is accepted, and its repeated submission gets %d",
                               id.c_str(), repeated.status);
        }
        region.poll(hit, id);
    }
    // Not part of the check: a valid job that only this controller is asked to accept.
    const auto fresh = job("job-000420");
    region.workers.jobs[fresh.id] = {};
    region.insist([&] { return region.submit(hit, body_of(fresh), "job-000420, first time"); });
    return broken ? kBroken : kHeld;
}

}  // namespace

int main(int, char** arguments) { return run(arguments[1]); }
