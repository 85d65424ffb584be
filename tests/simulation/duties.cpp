// Checks of fenced duties: which holders' requests the cloud executes, and on which machines.
#include <algorithm>

#include "simulation/messages.h"
#include "simulation/simulation.h"

namespace lichendrift::simulation {

namespace {

// An attempt number is the fencing token times this, plus a counter.
constexpr std::uint64_t kAttemptsPerToken = 10'000'000;

std::uint64_t epoch_in(const rapidjson::Value& request) {
    return request.HasMember("epoch") ? request["epoch"].GetUint64() : 0;
}

}  // namespace

// Whether the cloud refuses a request because its epoch is lower than the highest one it has seen.
// Only a cloud that checks epochs does.
bool Simulation::refuses_epoch(const rapidjson::Value& request) {
    const auto epoch = epoch_in(request);
    if (epoch == 0) return false;
    const bool stale = epoch < highest_epoch_at_cloud_;
    highest_epoch_at_cloud_ = std::max(highest_epoch_at_cloud_, epoch);
    if (!options_.cloud_checks_epochs || !stale) return false;
    ++releases_.refused;
    return true;
}

// Releases machines. Checks that a replaced leader's request names no machine that runs a task
// placed by a later leader.
void Simulation::release_machines(const rapidjson::Value& request) {
    const auto token = token_by_epoch_[epoch_in(request)];
    const auto newest_term =
        parsed(store_["token"].first)["t"].GetUint64() / core::kFencingTokensPerTerm;
    const bool replaced = token != 0 && token / core::kFencingTokensPerTerm < newest_term;
    if (replaced) ++releases_.late;
    std::size_t present = 0;
    for (const auto& name : request["banchi"].GetArray()) {
        auto it = workers_.find(name.GetString());
        if (it == workers_.end() || it->second.gone) continue;
        ++present;
        for (const auto& task : it->second.tasks) {
            const bool from_later_leader = task.attempt / kAttemptsPerToken > token;
            if (task.state != "exited" && from_later_leader && epoch_in(request) != 0) {
                fail("stale_release", it->first + " is used by a later leader");
            }
        }
        lose_worker(it->second);
    }
    if (present == 0) return;
    ++releases_.requests;
    releases_.machines += present;
    if (replaced) ++releases_.by_replaced;
}

// Checks that the epoch of a duty only increases, and that only the current holder of a duty writes
// its intents.
void Simulation::check_duty_change(const std::string& key, const std::string& value) {
    if (key.starts_with("duty/")) {
        if (value.empty()) return fail("duty_removed", key);
        const auto epoch = parsed(value)["e"].GetUint64();
        if (epoch <= highest_epoch_by_duty_[key]) fail("epoch_went_back", key);
        highest_epoch_by_duty_[key] = epoch;
        if (key == "duty/provisioning")
            token_by_epoch_[epoch] = parsed(store_["leader"].first)["t"].GetUint64();
    }
    if (!key.starts_with("intent/") || value.empty()) return;
    const auto doc = parsed(value);
    const auto* duty = doc.HasMember("r") ? "duty/provisioning" : "duty/reclaiming";
    if (doc["e"].GetUint64() != highest_epoch_by_duty_[duty]) {
        fail("stale_intent", key + " is written by a holder that was replaced");
    }
}

// Checks after all faults are over that every machine named in a release intent is gone, and that
// the leader knows every machine.
void Simulation::check_duties_at_end() {
    const bool fenced =
        std::all_of(nodes_.begin(), nodes_.end(), [](const Node& node) { return node.current; });
    if (!options_.features.fenced_duties || !fenced) return;
    for (const auto& [key, entry] : store_) {
        if (!key.starts_with("intent/")) continue;
        const auto doc = parsed(entry.first);
        if (!doc.HasMember("b")) continue;
        for (const auto& name : doc["b"].GetArray()) {
            const auto it = workers_.find(name.GetString());
            if (it != workers_.end() && !it->second.gone) {
                fail("undone_release", it->first + " is named in " + key);
            }
        }
    }
    const auto leader_index = leader();
    for (const auto& [name, worker] : workers_) {
        if (worker.gone || !leader_index || now_ - worker.provisioned_at < 30'000) continue;
        if (!nodes_[*leader_index].controller->knows_machine(name)) fail("unknown_rental", name);
    }
}

}  // namespace lichendrift::simulation
