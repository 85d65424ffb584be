// The simulated cloud: provisions, lists, releases and loses machines.
#include <fmt/format.h>

#include <algorithm>

#include "simulation/messages.h"
#include "simulation/simulation.h"

namespace lichendrift::simulation {

void Simulation::add_worker(const std::string& zone, bool spot) {
    Worker w;
    char name[32];
    std::snprintf(name, sizeof name, "host-%06llu",
                  static_cast<unsigned long long>(next_worker_++));
    w.name = name;
    w.endpoint = options_.endpoint ? options_.endpoint(name) : w.name + ":9";
    w.type = "box";
    w.zone = zone;
    w.spot = spot;
    w.provisioned_at = now_;
    w.up_at = now_ == 0
                  ? 0
                  : now_ + boot_ms_ / 2 +
                        static_cast<Millis>(random_below(static_cast<std::uint64_t>(boot_ms_)));
    w.never_boots = now_ > 0 && random_chance(never_boots_share_);
    w.fails_tasks = options_.faults && random_chance(0.06);
    w.node = random_below(nodes_.size());
    workers_[w.name] = w;
}

void Simulation::serve_cloud(const net::HttpRequest& request, const net::Respond& respond) {
    if (now_ < cloud_outage_until_) return respond({503, R"({"error":"trouble"})"});
    const auto doc = parsed(request.body);
    if (request.target == "/flavors") {
        return respond({200, R"({"modelli":[{"label":"box","cpus":8,"gpus":0,"memGb":16,)"
                             R"("localGb":100,"fetchGbPerS":1.0,"hourly":4.0,"lowPrice":1.0,)"
                             R"("startupS":6,"sedi":["a","b"]}]})"});
    }
    if (request.method == "POST" && refuses_epoch(doc)) return respond({409, "{}"});
    if (request.target == "/rentals") {
        const std::string name = doc["richiesta"].GetString();
        auto [it, fresh] = provisions_.try_emplace(name);
        if (fresh) {
            const auto alive = std::count_if(workers_.begin(), workers_.end(),
                                             [](const auto& w) { return !w.second.gone; });
            const auto in_zone =
                std::count_if(workers_.begin(), workers_.end(), [&](const auto& w) {
                    return !w.second.gone && w.second.zone == doc["sede"].GetString();
                });
            const auto room = std::min(capacity_ - static_cast<int>(alive),
                                       zone_capacity_ - static_cast<int>(in_zone));
            const auto n = std::min<int>(room, doc["number"].GetInt());
            if (n <= 0) {
                provisions_.erase(it);
                return respond({503, R"({"error":"no capacity"})"});
            }
            for (int i = 0; i < n; ++i) {
                add_worker(doc["sede"].GetString(), doc["inPrestito"].GetBool());
                it->second.push_back(workers_.rbegin()->first);
            }
        }
        std::string names;
        for (const auto& n : it->second) names += (names.empty() ? "\"" : ",\"") + n + "\"";
        return respond({200, R"({"banchi":[)" + names + "]}"});
    }
    if (request.target == "/rentals/return") {
        release_machines(doc);
        return respond({200, "{}"});
    }
    // Each list is 2 to 4 s out of date, so it may show an older state than the previous list.
    const auto lag = static_cast<Millis>(2000 + random_below(2000));
    std::string items;
    for (const auto& [name, w] : workers_) {
        if (w.gone || w.provisioned_at > now_ - lag) continue;
        if (!items.empty()) items += ',';
        items += fmt::format(
            R"({{"nameId":"{0}","endpoint":"{5}","modello":"box","sede":"{1}","inPrestito":{2},)"
            R"("stato":"{3}","ageS":{4}}})",
            name, w.zone, w.spot, w.up ? "running" : "starting",
            static_cast<double>(now_ - w.provisioned_at) / 1000, w.endpoint);
    }
    respond({200, R"({"banchi":[)" + items + R"(],"more":false})"});
}

void Simulation::lose_worker(Worker& worker) {
    worker.gone = true;
    worker.up = false;
    worker.tasks.clear();
    worker.deferred.clear();
}

}  // namespace lichendrift::simulation
