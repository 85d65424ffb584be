// The simulated state service: keys, transactions, leases and watches.
#include <algorithm>

#include "simulation/messages.h"
#include "simulation/simulation.h"

namespace lichendrift::simulation {

namespace {

// Rejected writes of one key that are tolerated before its writer must have adapted to the limits.
constexpr int kMaxRejectionsPerKey = 6;

}  // namespace

void Simulation::apply(const std::string& key, const std::string& value, std::uint64_t lease) {
    if (key.starts_with("place/") && !value.empty()) {
        const auto term_of = [](const std::string& text) {
            return parsed(text)["t"].GetUint64() / core::kFencingTokensPerTerm;
        };
        if (term_of(value) < term_of(store_["token"].first)) {
            fail("late_write", key + " is written by a leader that has lost");
        }
        if (store_.contains("over/" + key.substr(6, key.rfind('/') - 6))) {
            fail("record_after_end", key + " is written under a job that is over");
        }
    }
    check_duty_change(key, value);
    trace("store", key, "", value, static_cast<std::int64_t>(revision_));
    if (value.empty()) {
        store_.erase(key);
        key_lease_.erase(key);
    } else {
        store_[key] = {value, revision_};
        if (lease != 0) {
            key_lease_[key] = lease;
        } else {
            key_lease_.erase(key);
        }
    }
    changes_.push_back({key, value, revision_});
}

void Simulation::answer_watch(const Watch& watch) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    w.Key("registro");
    w.Uint64(revision_);
    w.Key("news");
    w.StartArray();
    for (const auto& change : changes_) {
        if (change.revision <= watch.since || !change.key.starts_with(watch.prefix)) continue;
        w.StartObject();
        w.Key(change.value.empty() ? "remove" : "set");
        w.String(change.key.c_str());
        if (!change.value.empty()) {
            w.Key("value");
            w.RawValue(change.value.c_str(), change.value.size(), rapidjson::kObjectType);
        }
        w.Key("timbro");
        w.Uint64(change.revision);
        w.EndObject();
    }
    w.EndArray();
    w.EndObject();
    watch.respond({200, b.GetString()});
}

void Simulation::wake_watches() {
    if (now_ < state_outage_until_) return;
    std::vector<Watch> due;
    std::erase_if(watches_, [&](const Watch& watch) {
        if (watch.from[0] == 'n' &&
            state_refused_until_[static_cast<std::size_t>(watch.from[1] - '0')] > now_) {
            return false;
        }
        const bool news = std::any_of(changes_.rbegin(), changes_.rend(), [&](const Change& c) {
            return c.revision > watch.since && c.key.starts_with(watch.prefix);
        });
        if (!news && watch.until > now_) return false;
        due.push_back(watch);
        return true;
    });
    for (const auto& watch : due) answer_watch(watch);
}

// Rejects a transaction that exceeds the limits of Options::next. Fails the run if writes of the
// same key keep being rejected.
bool Simulation::within_next_limits(const rapidjson::Value& then, const net::Respond& respond) {
    const auto reject = [&](const std::string& key) {
        ++rejections_;
        if (++rejected_keys_[key] > kMaxRejectionsPerKey) fail("rejected_again", key);
        respond({400, "{}"});
        return false;
    };
    const auto key_of = [](const rapidjson::Value& change) {
        return std::string(change[change.HasMember("set") ? "set" : "remove"].GetString());
    };
    if (then.Size() > options_.next.transaction_operations.value_or(kMaxTransactionOperations))
        return reject(key_of(then[0]));
    const auto maximum = options_.next.value_kb.value_or(8) * 1024;
    for (const auto& change : then.GetArray()) {
        if (!change.HasMember("value")) continue;
        if (static_cast<double>(json(change["value"]).size()) > maximum)
            return reject(key_of(change));
    }
    if (!options_.next.write_rps) return true;
    const double rate = *options_.next.write_rps;
    write_budget_ =
        std::min(rate, write_budget_ + rate * static_cast<double>(now_ - write_budget_at_) / 1000);
    write_budget_at_ = now_;
    if (write_budget_ < then.Size()) {
        respond({429, "{}"});
        return false;
    }
    write_budget_ -= then.Size();
    return true;
}

net::Respond Simulation::with_answer_delay(const std::string& from, const net::HttpRequest& request,
                                           net::Respond respond) {
    const auto delay = state_answer_delay_ ? state_answer_delay_(from, request) : 0;
    if (delay == 0) return respond;
    return [this, delay, respond = std::move(respond)](const net::HttpResponse& response) {
        at(now_ + delay, [respond, response] { respond(response); });
    };
}

void Simulation::serve_state(const std::string& from, const net::HttpRequest& request,
                             net::Respond respond) {
    ++state_requests_;
    if (now_ < state_outage_until_ ||
        (from.size() == 2 &&
         state_refused_until_[static_cast<std::size_t>(from[1] - '0')] > now_)) {
        return respond({503, "{}"});
    }
    const auto& target = request.target;
    const auto doc = parsed(request.body);
    const auto item = [](const std::string& key, const auto& entry) {
        return R"({"path":")" + key + R"(","value":)" + entry.first + R"(,"timbro":)" +
               std::to_string(entry.second) + "}";
    };
    if (target.starts_with("/store/")) {
        auto it = store_.find(target.substr(7));
        if (it == store_.end()) {
            return respond({404, R"({"registro":)" + std::to_string(revision_) + "}"});
        }
        return respond({200, item(it->first, it->second)});
    }
    if (target.starts_with("/store?")) {
        const auto prefix = query(target, "prefix");
        const auto since = query(target, "since");
        const std::size_t limit = std::stoul(query(target, "limit"));
        std::string items;
        std::size_t n = 0;
        bool more = false;
        for (auto it = since.empty() ? store_.lower_bound(prefix) : store_.upper_bound(since);
             it != store_.end() && it->first.starts_with(prefix); ++it) {
            if (n++ == limit) {
                more = true;
                break;
            }
            items += (items.empty() ? "" : ",") + item(it->first, it->second);
        }
        return respond({200, R"({"items":[)" + items + R"(],"more":)" + (more ? "true" : "false") +
                                 R"(,"registro":)" + std::to_string(revision_) + "}"});
    }
    if (target.starts_with("/watch?") &&
        std::stoull(query(target, "since")) < compacted_revision_) {
        return respond({410, "{}"});
    }
    if (target.starts_with("/watch?")) {
        const auto block = std::stoll(query(target, "blockMs"));
        watches_.push_back({query(target, "prefix"), std::stoull(query(target, "since")),
                            now_ + block, from, std::move(respond)});
        at(now_ + block, [this] { wake_watches(); });
        return wake_watches();
    }
    if (target == "/grants") {
        const auto ttl = static_cast<Millis>(doc["ttlMs"].GetUint64());
        leases_[++next_lease_] = {ttl, now_ + ttl};
        return respond({200, R"({"concessione":)" + std::to_string(next_lease_) + "}"});
    }
    if (target.starts_with("/grants/")) {
        const auto id = std::stoull(target.substr(8));
        auto it = leases_.find(id);
        if (it == leases_.end()) return respond({404, "{}"});
        if (request.method == "DELETE") {
            it->second.second = now_;
        } else {
            it->second.second = now_ + it->second.first;
        }
        return respond({200, R"({"concessione":)" + std::to_string(id) + "}"});
    }
    if (target == "/txn") {
        if (!is_utf8_json(request.body)) return respond({400, "{}"});
        const rapidjson::Value none(rapidjson::kArrayType);
        const auto& then = doc.HasMember("then") ? doc["then"] : none;
        const auto& when = doc["when"];
        if (then.Size() > kMaxTransactionOperations ||
            when.Size() > 4 * kMaxTransactionOperations || request.body.size() > 65536) {
            fail("state_limits", "a transaction is too large");
            return respond({400, "{}"});
        }
        if (limits_in_force_ && !within_next_limits(then, respond)) return;
        writes_ += then.Size();
        peak_writes_per_second_ =
            std::max(peak_writes_per_second_, writes_in_second_[now_ / 1000] += then.Size());
        std::string failed;
        for (const auto& c : when.GetArray()) {
            const std::string key = c["path"].GetString();
            auto it = store_.find(key);
            const auto revision = it == store_.end() ? 0 : it->second.second;
            if (revision != c["timbro"].GetUint64()) {
                failed += (failed.empty() ? "\"" : ",\"") + key + "\"";
            }
        }
        const auto registro = [&] { return R"("registro":)" + std::to_string(revision_) + "}"; };
        for (const auto& c : then.GetArray()) {
            if (c.HasMember("concessione") && !leases_.contains(c["concessione"].GetUint64())) {
                return respond({400, R"({"error":"no such lease"})"});
            }
            if (c.HasMember("value") && json(c["value"]).size() > 8192) {
                fail("state_limits", "a value is too large");
                return respond({400, "{}"});
            }
        }
        if (!failed.empty()) {
            return respond({409, R"({"failed":[)" + failed + "]," + registro()});
        }
        if (then.Size() > 0) ++revision_;
        for (const auto& c : then.GetArray()) {
            if (c.HasMember("set")) {
                apply(c["set"].GetString(), json(c["value"]),
                      c.HasMember("concessione") ? c["concessione"].GetUint64() : 0);
            } else {
                apply(c["remove"].GetString(), "", 0);
            }
        }
        respond({200, "{" + registro()});
        return wake_watches();
    }
    respond({400, "{}"});
}

}  // namespace lichendrift::simulation
