#include "standin/world.h"

#include <fmt/format.h>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cmath>

namespace lichendrift::standin {

namespace {

constexpr double kPeer = 3;
constexpr double kGangWait = 15;
constexpr double kCpus = 8;
constexpr std::size_t kOps = 8;
constexpr Millis kUnanswered = 75'000;      // without an answered question a job is forgotten
constexpr Millis kSettled = 12'000;         // for which a leader has surely led
constexpr Millis kLeftWaiting = 90'000;     // beside a machine that fits and has room
constexpr Millis kLargestBegins = 240'000;  // after its submission

using Doc = rapidjson::Document;
using Buffer = rapidjson::StringBuffer;
using Writer = rapidjson::Writer<Buffer>;

Doc parsed(const std::string& body) {
    Doc doc;
    doc.Parse(body.c_str(), body.size());
    if (doc.HasParseError() || !doc.IsObject()) doc.SetObject();
    return doc;
}

std::string json(const rapidjson::Value& v) {
    Buffer b;
    Writer w(b);
    v.Accept(w);
    return b.GetString();
}

std::string query(const std::string& target, const std::string& name) {
    const auto at = target.find(name + "=");
    if (at == std::string::npos) return "";
    const auto from = at + name.size() + 1;
    return target.substr(from, target.find('&', from) - from);
}

std::string node_name(std::size_t n) { return "n" + std::to_string(n); }

std::string host_of(const std::string& address) { return address.substr(0, address.find(':')); }

}  // namespace

class World::NodePort : public net::Port {
  public:
    NodePort(World& world, std::size_t node) : world_(world), node_(node) {}
    Millis now() override {
        // Steady clocks drift apart.
        return world_.now_ + world_.now_ * static_cast<Millis>(node_) / 4000;
    }
    Millis read_clock() override { return now(); }
    std::int64_t wall_ms() override { return 1'700'000'000'000 + world_.now_; }
    std::uint64_t random() override { return world_.rng_(); }
    void call(const std::string& address, net::HttpRequest request, Millis deadline,
              net::OnReply on_reply) override {
        world_.call(node_name(node_), address, std::move(request), deadline,
                    guard(std::move(on_reply)));
    }
    net::TimerId after(Millis delay, std::function<void()> fn) override {
        const auto id = ++next_;
        timers_.insert(id);
        fire(world_.now_ + std::max<Millis>(delay, 0), [this, id, fn = std::move(fn)] {
            if (timers_.erase(id) != 0) fn();
        });
        return id;
    }
    // Stands still until then, while its clock runs on and messages pile up.
    void freeze(Millis until) { frozen_until_ = std::max(frozen_until_, until); }
    [[nodiscard]] Millis frozen_until() const { return frozen_until_; }
    void cancel(net::TimerId id) override { timers_.erase(id); }
    void plan(std::function<core::Snapshot()> take, std::function<void(core::Plan)> done) override {
        auto plan = core::make_plan(take());
        // The planner takes its time, and the picture moves on meanwhile.
        after(static_cast<Millis>(world_.dice(40)),
              [plan = std::move(plan), done = std::move(done)] { done(plan); });
    }

  private:
    void fire(Millis when, std::function<void()> fn) {
        world_.at(when, [this, fn = std::move(fn), alive = std::weak_ptr<bool>(alive_)]() mutable {
            if (alive.expired()) return;
            if (frozen_until_ > world_.now_) return fire(frozen_until_, std::move(fn));
            fn();
        });
    }
    net::OnReply guard(net::OnReply fn) {
        return [this, fn = std::move(fn), alive = std::weak_ptr<bool>(alive_)](net::HttpReply got) {
            if (alive.expired()) return;
            if (frozen_until_ <= world_.now_) return fn(std::move(got));
            fire(frozen_until_, [fn, got = std::move(got)] { fn(got); });
        };
    }
    World& world_;
    std::size_t node_;
    net::TimerId next_ = 0;
    std::set<net::TimerId> timers_;
    Millis frozen_until_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

World::World(Options options) : options_(std::move(options)), rng_(options_.seed) {
    nodes_.resize(options_.nodes);
    refused_until_.resize(options_.nodes);
    if (options_.teams.empty()) {
        options_.teams = {{"core", {8000, 0, 0}, {40000, 0, 0}},
                          {"side", {8000, 0, 0}, {24000, 0, 0}}};
    }
    for (std::size_t i = 0; i < options_.machines; ++i) add_worker(i == 0 ? "a" : "b", false);
    for (std::size_t n = 0; n < nodes_.size(); ++n) boot(n);
    for (std::size_t i = 0; i < options_.jobs; ++i) {
        jobs_.push_back(random_job(rng_, i, options_.busy_ms));
    }
    at(0, [this] { tick(); });
    if (options_.faults) at(4000, [this] { fault(); });
}

World::~World() = default;

void World::at(Millis when, std::function<void()> fn) {
    events_.push({std::max(when, now_), ++event_number_, std::move(fn)});
}

void World::advance(Millis until) {
    while (!events_.empty() && events_.top().at <= until && broken_.empty()) {
        auto event = events_.top();
        events_.pop();
        now_ = std::max(now_, event.at);
        event.fn();
    }
    now_ = std::max(now_, until);
}

std::string World::run() {
    advance(options_.busy_ms + options_.settle_ms);
    if (!broken_.empty()) return broken_;
    for (auto& j : jobs_) {
        if (j.accepted < 0 || j.always_fails) continue;
        if (j.cancelled_told < 0 && !j.done_told) {
            fail("unfinished", j.id + " has " + std::to_string(j.done_tasks.size()) + " of " +
                                   std::to_string(j.count) + " done");
        }
    }
    if (total_starts() == 0) fail("nothing_ran", "no task was started");
    check_served();
    return broken_;
}

std::uint64_t World::total_starts() const {
    std::uint64_t n = 0;
    for (const auto& j : jobs_) n += j.starts;
    return n;
}

void World::fail(const std::string& rule, const std::string& what) {
    if (broken_.empty()) {
        broken_ = rule + ": " + what + " at " + std::to_string(now_) + " ms, seed " +
                  std::to_string(options_.seed);
    }
}

Job* World::job(const std::string& id) {
    if (job_index_.size() != jobs_.size()) {
        job_index_.clear();
        for (std::size_t i = 0; i < jobs_.size(); ++i) job_index_[jobs_[i].id] = i;
    }
    auto it = job_index_.find(id);
    return it == job_index_.end() ? nullptr : &jobs_[it->second];
}

void World::boot(std::size_t n) {
    control::Settings s;
    s.member = node_name(n);
    s.location = n == 0 ? "a" : "b";
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
        if (other != n) s.siblings.push_back({node_name(other), "a", node_name(other) + ":2"});
    }
    s.state = "state:1";
    s.cloud = "cloud:1";
    s.size = nodes_.size();
    s.zones = {"a", "b"};
    s.teams = options_.teams;
    s.report_s = options_.report_s;
    s.lease_s = options_.lease_s;
    s.cancel_s = options_.cancel_s;
    s.gang_peer_s = kPeer;
    s.gang_wait_s = kGangWait;
    s.state_rps = 150;
    s.state_write_rps = 60;
    s.state_txn_ops = kOps;
    s.cloud_rps = 6;
    s.guards = options_.guards;
    s.policy = options_.policy;
    nodes_[n].port = std::make_unique<NodePort>(*this, n);
    nodes_[n].controller = std::make_unique<control::Controller>(*nodes_[n].port, s);
    nodes_[n].controller->start();
}

void World::crash(std::size_t n, Millis back_after) {
    if (!nodes_[n].controller) return;
    nodes_[n].controller.reset();
    nodes_[n].port.reset();
    std::erase_if(watches_, [&](const Watch& w) { return w.from == node_name(n); });
    trouble_until(now_ + back_after);
    at(now_ + back_after, [this, n] { boot(n); });
}

std::optional<std::size_t> World::leader() const {
    std::optional<std::size_t> best;
    std::uint64_t token = 0;
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
        const auto& c = nodes_[n].controller;
        if (c && c->leading() && c->token() > token) {
            best = n;
            token = c->token();
        }
    }
    return best;
}

// ---- network ----

void World::cut(const std::string& a, const std::string& b, Millis for_ms, bool hold, bool refuse) {
    cuts_.push_back({a, b, now_ + for_ms, hold, refuse});
    trouble_until(now_ + for_ms);
}

void World::freeze(std::size_t node, Millis for_ms) {
    if (!nodes_[node].port) return;
    nodes_[node].port->freeze(now_ + for_ms);
    trouble_until(now_ + for_ms);
}

void World::refuse_node(std::size_t node, Millis for_ms) {
    refused_until_[node] = now_ + for_ms;
    trouble_until(now_ + for_ms);
}

void World::deafen(Worker& worker, Millis for_ms, bool held) {
    worker.deaf_until = now_ + for_ms;
    worker.deaf_held = held;
    trouble_until(now_ + for_ms);
}

void World::cut_zone(const std::string& zone, const std::string& other, Millis for_ms, bool hold) {
    std::vector<std::string> here;
    std::vector<std::string> there;
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
        (zone == (n == 0 ? "a" : "b") ? here : there).push_back(node_name(n));
    }
    for (const auto& [name, w] : workers_) (w.zone == zone ? here : there).push_back(name);
    if (other.empty()) there.insert(there.end(), {"state", "cloud", "user"});
    for (const auto& a : here) {
        for (const auto& b : there) cut(a, b, for_ms, hold);
    }
}

void World::isolate(std::size_t node, Millis for_ms, bool hold, bool refuse) {
    cut(node_name(node), "state", for_ms, hold, refuse);
    cut(node_name(node), "n", for_ms, hold, refuse);
}

const World::Cut* World::cut_between(const std::string& a, const std::string& b) const {
    for (const auto& c : cuts_) {
        if (c.until <= now_) continue;
        if ((a.starts_with(c.a) && b.starts_with(c.b)) ||
            (a.starts_with(c.b) && b.starts_with(c.a))) {
            return &c;
        }
    }
    return nullptr;
}

void World::carry(const std::string& from, const std::string& to, Millis extra,
                  std::function<void()> deliver, std::function<void()> reset) {
    if (const auto* c = cut_between(from, to)) {
        if (c->hold) {
            at(c->until + 1 + static_cast<Millis>(dice(5)), std::move(deliver));
        } else {
            at(now_ + 2, std::move(reset));
        }
        return;
    }
    if (now_ < links_until_) {
        extra += links_by_ / 2 + static_cast<Millis>(dice(static_cast<std::uint64_t>(links_by_)));
    }
    at(now_ + 1 + static_cast<Millis>(dice(4)) + extra, std::move(deliver));
}

void World::call(const std::string& from, const std::string& to, net::HttpRequest request,
                 Millis deadline, net::OnReply on_reply) {
    auto open = std::make_shared<net::OnReply>(std::move(on_reply));
    const auto finish = [open](net::HttpReply reply) {
        if (!*open) return;
        auto fn = std::move(*open);
        *open = nullptr;
        fn(std::move(reply));
    };
    at(now_ + deadline, [finish] { finish({0, "", true}); });
    const auto host = host_of(to);
    const bool to_node = host.size() == 2 && host[0] == 'n';
    if (to_node && !nodes_[static_cast<std::size_t>(host[1] - '0')].controller) {
        if (chance(0.5)) at(now_ + 2, [finish] { finish({0, "", false}); });
        return;
    }
    if (const auto* c = cut_between(from, host); c != nullptr && c->refuse) {
        at(now_ + 2, [finish] { finish({0, "", false}); });
        return;
    }
    Millis extra = 0;
    if (lossy() && chance(options_.late_request)) {
        extra = 1000 + static_cast<Millis>(dice(20000));
    }
    if (lossy() && chance(options_.repeats)) {
        repeat(from, to, request, 1000 + static_cast<Millis>(dice(90'000)));
    }
    if (keep_direct_ && request.target == "/do") direct_kept_.emplace_back(to, request);
    const auto reset = [finish] { finish({0, "", true}); };
    carry(
        from, host, extra,
        [this, from, to, host, finish, reset, sent = now_, request = std::move(request)] {
            serve(host_of(from), to, request, sent,
                  [this, from, host, finish, reset](const net::HttpResponse& response) {
                      if (lossy() && chance(options_.lost_answer)) {
                          return;
                      }
                      carry(
                          host, from, 0,
                          [this, finish, response, answered = now_] {
                              reply_sent_ = answered;
                              finish({response.status, response.body});
                          },
                          reset);
                  });
        },
        reset);
}

void World::serve(const std::string& from, const std::string& to, const net::HttpRequest& request,
                  Millis sent, net::Respond respond) {
    const auto host = host_of(to);
    if (host == "state" && now_ < slow_until_) {
        at(now_ + slow_by_ / 2 + static_cast<Millis>(dice(static_cast<std::uint64_t>(slow_by_))),
           [this, from, request, respond] { serve_state(from, request, respond); });
        return;
    }
    if (host == "state" && request.target == "/txn" && now_ < late_writes_until_ &&
        chance(late_writes_)) {
        // No answer, and carried out after newer ones of the same controller.
        at(now_ + 2000 + static_cast<Millis>(dice(10'000)),
           [this, from, request] { serve_state(from, request, [](const net::HttpResponse&) {}); });
        return;
    }
    if (host == "state") return serve_state(from, request, std::move(respond));
    if (host == "cloud") return serve_cloud(request, respond);
    if (host.size() == 2 && host[0] == 'n') {
        auto& node = nodes_[static_cast<std::size_t>(host[1] - '0')];
        if (!node.controller) return;
        if (const auto thaw = node.port->frozen_until(); thaw > now_) {
            at(thaw, [this, from, to, request, sent, respond] {
                serve(from, to, request, sent, respond);
            });
            return;
        }
        if (options_.old_siblings && request.target.starts_with("/peer/cancel")) {
            return respond({404, ""});
        }
        if (to.ends_with(":2")) return node.controller->handle_peer(request, std::move(respond));
        return node.controller->handle(request, std::move(respond));
    }
    auto it = workers_.find(host);
    if (it == workers_.end() || it->second.gone || !it->second.up) return;
    Worker& worker = it->second;
    if (worker.deaf_until > now_) {
        if (!worker.deaf_held) return;
        at(worker.deaf_until + 1,
           [this, from, to, request, sent, respond] { serve(from, to, request, sent, respond); });
        return;
    }
    if (worker.hung_until > now_) {
        worker.held.push_back([this, host, request, sent, respond] {
            serve_worker(workers_.at(host), request, sent, respond);
        });
        return;
    }
    serve_worker(worker, request, sent, respond);
}

void World::repeat(const std::string& from, const std::string& to, const net::HttpRequest& request,
                   Millis late) {
    at(now_ + late, [this, from, to, request, sent = now_] {
        serve(host_of(from), to, request, sent, [](const net::HttpResponse&) {});
    });
}

void World::repeat_direct() {
    for (const auto& [to, request] : direct_kept_) repeat("n0", to, request, 1);
}

void World::throw_at(std::size_t node, net::HttpRequest request) {
    call("user", node_name(node) + ":1", std::move(request), 2000,
         [this](const net::HttpReply& reply) { thrown_answered_ += reply.status != 0 ? 1 : 0; });
}

net::HttpReply World::ask(std::size_t node, net::HttpRequest request, Millis wait_ms) {
    std::optional<net::HttpReply> out;
    call("user", node_name(node) + ":1", std::move(request), wait_ms,
         [&](net::HttpReply reply) { out = std::move(reply); });
    const auto end = now_ + wait_ms + 10;
    while (!out && now_ < end && broken_.empty()) advance(now_ + 1);
    return out.value_or(net::HttpReply{});
}

// ---- state service ----

void World::apply(const std::string& key, const std::string& value, std::uint64_t grant) {
    if (key.starts_with("place/") && !value.empty()) {
        const auto lead = [](const std::string& text) {
            return parsed(text)["t"].GetUint64() / core::kTokensOfALead;
        };
        if (lead(value) < lead(store_["token"].first)) {
            fail("late_write", key + " is written by a leader that has lost");
        }
        if (store_.contains("over/" + key.substr(6, key.rfind('/') - 6))) {
            fail("record_after_end", key + " is written under a job that is over");
        }
    }
    if (value.empty()) {
        store_.erase(key);
        key_grant_.erase(key);
    } else {
        store_[key] = {value, revision_};
        if (grant != 0) {
            key_grant_[key] = grant;
        } else {
            key_grant_.erase(key);
        }
    }
    changes_.push_back({key, value, revision_});
}

void World::answer_watch(const Watch& watch) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    w.Key("registro");
    w.Uint64(revision_);
    w.Key("news");
    w.StartArray();
    for (const auto& change : changes_) {
        if (change.rev <= watch.since || !change.key.starts_with(watch.prefix)) continue;
        w.StartObject();
        w.Key(change.value.empty() ? "remove" : "set");
        w.String(change.key.c_str());
        if (!change.value.empty()) {
            w.Key("value");
            w.RawValue(change.value.c_str(), change.value.size(), rapidjson::kObjectType);
        }
        w.Key("timbro");
        w.Uint64(change.rev);
        w.EndObject();
    }
    w.EndArray();
    w.EndObject();
    watch.respond({200, b.GetString()});
}

void World::wake_watches() {
    if (now_ < outage_until_) return;
    std::vector<Watch> due;
    std::erase_if(watches_, [&](const Watch& watch) {
        if (watch.from[0] == 'n' &&
            refused_until_[static_cast<std::size_t>(watch.from[1] - '0')] > now_) {
            return false;
        }
        const bool news = std::any_of(changes_.rbegin(), changes_.rend(), [&](const Change& c) {
            return c.rev > watch.since && c.key.starts_with(watch.prefix);
        });
        if (!news && watch.until > now_) return false;
        due.push_back(watch);
        return true;
    });
    for (const auto& watch : due) answer_watch(watch);
}

void World::serve_state(const std::string& from, const net::HttpRequest& request,
                        net::Respond respond) {
    ++state_requests_;
    if (now_ < outage_until_ ||
        (from.size() == 2 && refused_until_[static_cast<std::size_t>(from[1] - '0')] > now_)) {
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
    if (target.starts_with("/watch?") && std::stoull(query(target, "since")) < forgotten_) {
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
        grants_[++next_grant_] = {ttl, now_ + ttl};
        return respond({200, R"({"concessione":)" + std::to_string(next_grant_) + "}"});
    }
    if (target.starts_with("/grants/")) {
        const auto id = std::stoull(target.substr(8));
        auto it = grants_.find(id);
        if (it == grants_.end()) return respond({404, "{}"});
        if (request.method == "DELETE") {
            it->second.second = now_;
        } else {
            it->second.second = now_ + it->second.first;
        }
        return respond({200, R"({"concessione":)" + std::to_string(id) + "}"});
    }
    if (target == "/txn") {
        const rapidjson::Value none(rapidjson::kArrayType);
        const auto& then = doc.HasMember("then") ? doc["then"] : none;
        const auto& when = doc["when"];
        if (then.Size() > kOps || when.Size() > 4 * kOps || request.body.size() > 65536) {
            fail("state_limits", "a transaction is too large");
            return respond({400, "{}"});
        }
        writes_ += then.Size();
        most_writes_ = std::max(most_writes_, writes_in_second_[now_ / 1000] += then.Size());
        std::string failed;
        for (const auto& c : when.GetArray()) {
            const std::string key = c["path"].GetString();
            auto it = store_.find(key);
            const auto rev = it == store_.end() ? 0 : it->second.second;
            if (rev != c["timbro"].GetUint64()) {
                failed += (failed.empty() ? "\"" : ",\"") + key + "\"";
            }
        }
        const auto registro = [&] { return R"("registro":)" + std::to_string(revision_) + "}"; };
        for (const auto& c : then.GetArray()) {
            if (c.HasMember("concessione") && !grants_.contains(c["concessione"].GetUint64())) {
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

// ---- cloud ----

void World::add_worker(const std::string& zone, bool spot) {
    Worker w;
    char name[32];
    std::snprintf(name, sizeof name, "host-%06llu",
                  static_cast<unsigned long long>(next_worker_++));
    w.name = name;
    w.type = "box";
    w.zone = zone;
    w.spot = spot;
    w.rented_at = now_;
    w.up_at = now_ == 0 ? 0
                        : now_ + boot_ms_ / 2 +
                              static_cast<Millis>(dice(static_cast<std::uint64_t>(boot_ms_)));
    w.never = now_ > 0 && chance(never_);
    w.sick = options_.faults && chance(0.06);
    w.node = dice(nodes_.size());
    workers_[w.name] = w;
}

void World::serve_cloud(const net::HttpRequest& request, const net::Respond& respond) {
    if (now_ < cloud_outage_until_) return respond({503, R"({"error":"trouble"})"});
    const auto doc = parsed(request.body);
    if (request.target == "/flavors") {
        return respond({200, R"({"modelli":[{"label":"box","cpus":8,"gpus":0,"memGb":16,)"
                             R"("localGb":100,"fetchGbPerS":1.0,"hourly":4.0,"lowPrice":1.0,)"
                             R"("startupS":6,"sedi":["a","b"]}]})"});
    }
    if (request.target == "/rentals") {
        const std::string name = doc["richiesta"].GetString();
        auto [it, fresh] = rentals_.try_emplace(name);
        if (fresh) {
            const auto alive = std::count_if(workers_.begin(), workers_.end(),
                                             [](const auto& w) { return !w.second.gone; });
            const auto room = capacity_ - static_cast<int>(alive);
            const auto n = std::min<int>(room, doc["number"].GetInt());
            if (n <= 0) {
                rentals_.erase(it);
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
        for (const auto& n : doc["banchi"].GetArray()) {
            auto it = workers_.find(n.GetString());
            if (it != workers_.end()) lose_worker(it->second);
        }
        return respond({200, "{}"});
    }
    // The list lags and at times goes back.
    const auto lag = static_cast<Millis>(2000 + dice(2000));
    std::string items;
    for (const auto& [name, w] : workers_) {
        if (w.gone || w.rented_at > now_ - lag) continue;
        if (!items.empty()) items += ',';
        items += fmt::format(
            R"({{"nameId":"{0}","endpoint":"{0}:9","modello":"box","sede":"{1}","inPrestito":{2},)"
            R"("stato":"{3}","ageS":{4}}})",
            name, w.zone, w.spot, w.up ? "running" : "starting",
            static_cast<double>(now_ - w.rented_at) / 1000);
    }
    respond({200, R"({"banchi":[)" + items + R"(],"more":false})"});
}

void World::lose_worker(Worker& worker) {
    worker.gone = true;
    worker.up = false;
    worker.tasks.clear();
    worker.held.clear();
}

// ---- workers ----

std::string World::report(Worker& worker) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    const auto text = [&](const char* key, const std::string& value) {
        w.Key(key);
        w.String(value.c_str());
    };
    text("banco", worker.name);
    text("endpoint", worker.name + ":9");
    text("modello", worker.type);
    text("sede", worker.zone);
    w.Key("inPrestito");
    w.Bool(worker.spot);
    w.Key("turno");
    w.Uint64(worker.session);
    w.Key("protocollo");
    w.Uint64(++worker.seq);
    w.Key("delega");
    w.Uint64(worker.token);
    if (worker.taken_at >= 0) {
        w.Key("preavvisoS");
        w.Double(std::max(0.0, static_cast<double>(worker.taken_at - now_) / 1000));
    }
    w.Key("prove");
    w.StartArray();
    for (const auto& t : worker.tasks) {
        w.StartObject();
        text("prova", t.job + "/" + std::to_string(t.task));
        w.Key("tentativo");
        w.Uint64(t.attempt);
        text("stato", t.state);
        if (t.state == "exited") {
            text("esito", t.why);
            w.Key("stored");
            w.Bool(t.stored);
        }
        w.EndObject();
    }
    w.EndArray();
    w.EndObject();
    return b.GetString();
}

void World::orders(Worker& worker, const std::string& body, Millis sent) {
    const auto doc = parsed(body);
    if (!doc.HasMember("ordini")) return;
    for (const auto& o : doc["ordini"].GetArray()) {
        const std::string op = o["ordine"].GetString();
        const std::string name = o["prova"].GetString();
        const auto attempt = o["tentativo"].GetUint64();
        if (op == "run") {
            start_task(worker, name, attempt, sent);
        } else if (op == "halt") {
            halt_task(worker, name, attempt, o["tolleranzaS"].GetDouble());
        } else {
            std::erase_if(worker.tasks, [&](const Task& t) {
                return t.state == "exited" && t.attempt == attempt &&
                       t.job + "/" + std::to_string(t.task) == name;
            });
        }
    }
}

void World::start_task(Worker& worker, const std::string& name, std::uint64_t attempt,
                       Millis sent) {
    const auto slash = name.rfind('/');
    Task t;
    t.job = name.substr(0, slash);
    t.task = static_cast<std::uint32_t>(std::stoul(name.substr(slash + 1)));
    t.attempt = attempt;
    double cpus = kCpus;
    bool busy = false;
    for (const auto& other : worker.tasks) {
        if (other.job == t.job && other.task == t.task) {
            if (other.attempt == attempt) return;
            busy |= other.state != "exited";
        }
        if (other.state == "exited") continue;
        if (const auto* j = job(other.job)) cpus -= j->cpus;
    }
    const Job* j = job(t.job);
    worker.changed = true;
    t.state = "exited";
    if (j == nullptr || !j->submitted) {
        t.why = "unknown";
    } else if (busy) {
        t.why = "busy";
    } else if (j->cpus > cpus + 1e-9) {
        t.why = "full";
    } else {
        check_start(worker, *j, t.task, sent);
        ++job(t.job)->starts;
        t.state = "pulling";
        t.image_at = now_ + 300 + static_cast<Millis>(dice(1500));
        worker.tasks.push_back(t);
        return;
    }
    worker.tasks.push_back(t);
}

double World::progress_of(const Task& task) {
    const auto ran = task.run_since > 0 ? static_cast<double>(now_ - task.run_since) / 1000 : 0;
    return task.done_before + ran;
}

void World::save_progress(const Task& task, bool all) {
    Job& j = *job(task.job);
    if (j.checkpoint_s <= 0 || task.run_since == 0) return;
    const double p = progress_of(task);
    const double kept = all ? p : std::floor(p / j.checkpoint_s) * j.checkpoint_s;
    auto& saved = j.progress[j.kind == "ensemble" ? 0 : task.task];
    saved = std::max(saved, kept);
}

void World::exit_task(Worker& worker, Task& task, const std::string& why, bool stored) {
    if (why != "done") save_progress(task, stored);
    task.state = "exited";
    task.why = why;
    task.stored = stored;
    worker.changed = true;
    if (why != "done") return;
    Job& j = *job(task.job);
    j.done_tasks.insert(task.task);
    if (j.cancel_at_end && j.done_tasks.size() == j.count && j.cancel_asked < 0) cancel(j);
}

void World::halt_task(Worker& worker, const std::string& name, std::uint64_t attempt,
                      double grace) {
    for (auto& t : worker.tasks) {
        if (t.attempt != attempt || t.job + "/" + std::to_string(t.task) != name) continue;
        if (t.state == "exited") continue;
        const Job& j = *job(t.job);
        if (t.state == "running" && j.checkpoint_s > 0 && grace >= j.save_s) {
            t.state = "saving";
            t.save_until = now_ + static_cast<Millis>(j.save_s * 1000);
            worker.changed = true;
        } else if (t.state != "saving" || grace == 0) {
            exit_task(worker, t, "halted", false);
        }
    }
}

void World::serve_worker(Worker& worker, const net::HttpRequest& request, Millis sent,
                         const net::Respond& respond) {
    if (worker.gone || !worker.up) return;
    ++direct_calls_;
    if (request.target == "/show") return respond({200, report(worker)});
    const auto doc = parsed(request.body);
    if (!doc.HasMember("delega") || !doc.HasMember("turno")) return respond({400, "{}"});
    if (doc["delega"].GetUint64() < worker.token || doc["turno"].GetUint64() != worker.session) {
        return respond({409, report(worker)});
    }
    if (doc["delega"].GetUint64() > worker.token) worker.changed = true;
    worker.token = doc["delega"].GetUint64();
    orders(worker, request.body, sent);
    respond({200, report(worker)});
}

void World::beat(Worker& worker) {
    worker.in_flight = true;
    worker.changed = false;
    worker.last_beat = now_;
    worker.next_beat =
        now_ + static_cast<Millis>(options_.report_s * 1000 *
                                   (0.75 + 0.5 * static_cast<double>(dice(1000)) / 1000));
    const auto name = worker.name;
    const auto sent = now_;
    const auto session = worker.session;
    const auto body = report(worker);
    if (lossy() && chance(options_.late_copy)) {
        const auto late =
            1000 + static_cast<Millis>(dice(static_cast<std::uint64_t>(
                       chance(0.5) ? options_.lease_s * 1000 : options_.lease_s * 6000)));
        trouble_until(now_ + late);
        at(now_ + late, [this, name, body] {
            call(name, node_name(dice(nodes_.size())) + ":1", {"POST", "/agent/beat", body}, 4000,
                 [](const net::HttpReply&) {});
        });
    }
    if (worker.mute_until > now_) {
        at(now_ + 500, [this, name] {
            Worker& w = workers_.at(name);
            w.in_flight = false;
            w.node = (w.node + 1) % nodes_.size();
            w.next_beat = now_ + 1000;
        });
        return;
    }
    call(name, node_name(worker.node) + ":1", {"POST", "/agent/beat", body}, 4000,
         [this, name, sent, session](const net::HttpReply& got) {
             Worker& w = workers_.at(name);
             if (w.gone) return;
             auto reply = got;
             if (w.deaf_until > now_) reply = {0, "", true};
             const auto act = [this, name, sent, session, reply, answered = reply_sent_] {
                 Worker& me = workers_.at(name);
                 me.in_flight = false;
                 if (me.gone || me.session != session) return;
                 if (reply.status != 200) {
                     const auto doc = parsed(reply.body);
                     me.node = (me.node + 1) % nodes_.size();
                     me.next_beat = now_ + 1000;
                     if (reply.status == 421 && doc.HasMember("riferireA")) {
                         const std::string to = doc["riferireA"].GetString();
                         me.node = static_cast<std::size_t>(to.at(1) - '0');
                         me.next_beat = now_ + static_cast<Millis>(dice(500));
                     }
                     return;
                 }
                 if (now_ - sent > 4000) return;
                 const auto doc = parsed(reply.body);
                 if (!doc.HasMember("delega") || doc["delega"].GetUint64() < me.token) return;
                 if (doc["delega"].GetUint64() > me.token) me.changed = true;
                 me.token = doc["delega"].GetUint64();
                 me.answered_sent = std::max(me.answered_sent, sent);
                 orders(me, reply.body, answered);
             };
             if (w.hung_until > now_) {
                 w.held.push_back(act);
             } else {
                 act();
             }
         });
}

void World::worker_tick(Worker& worker) {
    if (worker.gone) return;
    if (worker.taken_at >= 0 && now_ >= worker.taken_at) return lose_worker(worker);
    if (!worker.up) {
        if (worker.never || now_ < worker.up_at) return;
        worker.up = true;
        worker.answered_sent = now_;
    }
    if (worker.hung_until > now_) return;
    if (now_ - worker.answered_sent > static_cast<Millis>(options_.lease_s * 1000)) {
        for (auto& t : worker.tasks) {
            if (t.state == "running" || t.state == "saving") save_progress(t, false);
        }
        worker.tasks.clear();
        ++worker.session;
        worker.answered_sent = now_;
        worker.changed = true;
        worker.in_flight = false;
    }
    for (auto held = std::move(worker.held); auto& fn : held) fn();
    worker.held.clear();
    for (auto& t : worker.tasks) {
        if (t.state == "exited") continue;
        Job& j = *job(t.job);
        const bool gang = j.kind == "ensemble";
        if (t.state == "pulling" && now_ >= t.image_at) {
            if (j.done_tasks.contains(t.task)) {
                exit_task(worker, t, "done", false);
                continue;
            }
            t.state = gang ? "gathering" : "running";
            t.lonely_since = now_;
            t.done_before = j.progress[gang ? 0 : t.task];
            if (!gang) t.run_since = now_;
            if (!gang && j.begun < 0) j.begun = now_;
            worker.changed = true;
        }
        if (t.state == "gathering") {
            if (now_ - t.lonely_since > static_cast<Millis>(kGangWait * 1000)) {
                exit_task(worker, t, "alone", false);
                continue;
            }
            std::uint32_t ready = 0;
            for (auto& [name, other] : workers_) {
                for (auto& o : other.tasks) {
                    ready += o.job == t.job && o.attempt == t.attempt && o.state == "gathering";
                }
            }
            if (ready == j.count) {
                for (auto& [name, other] : workers_) {
                    for (auto& o : other.tasks) {
                        if (o.job == t.job && o.attempt == t.attempt && o.state == "gathering") {
                            o.state = "running";
                            o.run_since = now_;
                            o.lonely_since = now_;
                            other.changed = true;
                            if (j.begun < 0) j.begun = now_;
                        }
                    }
                }
            }
        }
        bool whole = true;  // a gang goes on only while all of it is there and none is stopped
        if (gang && (t.state == "running" || t.state == "saving")) {
            std::uint32_t running = 0;
            std::uint32_t there = 0;
            for (auto& [name, other] : workers_) {
                if (other.hung_until > now_) continue;
                for (auto& o : other.tasks) {
                    running += o.job == t.job && o.attempt == t.attempt && o.state == "running";
                    there += o.job == t.job && o.attempt == t.attempt &&
                             (o.state == "running" || o.state == "saving" ||
                              (o.state == "exited" && o.why == "done"));
                }
            }
            whole = running == j.count;
            if (there == j.count) {
                t.lonely_since = now_;
            } else if (now_ - t.lonely_since > static_cast<Millis>(kPeer * 1000)) {
                exit_task(worker, t, "peers", false);
                continue;
            }
        }
        if (t.state == "saving" && now_ >= t.save_until) {
            exit_task(worker, t, "halted", true);
            continue;
        }
        if (t.state == "running") {
            if ((worker.sick || j.always_fails) && now_ - t.run_since > 1000) {
                exit_task(worker, t, "error", false);
            } else if (whole && progress_of(t) >= j.run_s) {
                if (gang) {
                    for (auto& [name, other] : workers_) {
                        for (auto& o : other.tasks) {
                            if (o.job == t.job && o.attempt == t.attempt && o.state == "running") {
                                exit_task(other, o, "done", false);
                            }
                        }
                    }
                } else {
                    exit_task(worker, t, "done", false);
                }
            }
        }
    }
    const bool due = now_ >= worker.next_beat || (worker.changed && now_ - worker.last_beat >= 500);
    if (!worker.in_flight && due) beat(worker);
}

// ---- users ----

std::string World::description(const Job& j) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    const auto text = [&](const char* key, const std::string& value) {
        w.Key(key);
        w.String(value.c_str());
    };
    const auto number = [&](const char* key, double value) {
        w.Key(key);
        w.Double(value);
    };
    const auto flag = [&](const char* key, bool value) {
        w.Key(key);
        w.Bool(value);
    };
    text("nameId", j.id);
    text("classe", j.cls);
    text("ufficio", j.team);
    text("genere", j.kind);
    text("urgenza", j.priority);
    w.Key("prove");
    w.Uint(j.count);
    number("cpus", j.cpus);
    number("gpus", 0);
    number("memGb", j.mem);
    text("fascicolo", "img");
    number("imageGb", 1);
    if (j.zone) text("sede", *j.zone);
    flag("oneZone", j.one_zone);
    flag("apart", j.apart);
    flag("inPrestito", j.spot);
    number("durataS", j.run_s * 1.3);
    number("salvataggioOgniS", j.checkpoint_s);
    number("salvataggioS", j.save_s);
    w.EndObject();
    return b.GetString();
}

void World::submit(Job& j) {
    j.submitted = true;
    const auto id = j.id;
    const auto node = j.via ? *j.via : static_cast<std::size_t>(dice(nodes_.size()));
    j.via.reset();
    call("user", node_name(node) + ":1", {"POST", "/v2/runs", description(j)}, 5000,
         [this, id](const net::HttpReply& reply) {
             Job& me = *job(id);
             if (reply.status == 201 || reply.status == 200) {
                 if (me.accepted < 0) me.accepted = now_;
                 const std::string state = parsed(reply.body)["stato"].GetString();
                 if (me.cancelled_told >= 0 && state != "aborted") fail("went_back", id);
                 return;
             }
             if (reply.status == 400 || reply.status == 422) {
                 if (me.accepted >= 0) fail("forgotten", id + " refused after acceptance");
                 return;
             }
             if (now_ < me.give_up_submit) {
                 at(now_ + 1000, [this, id] { submit(*job(id)); });
             }
         });
}

void World::cancel(Job& j, std::optional<std::size_t> node) {
    const auto id = j.id;
    if (j.cancel_asked < 0) j.cancel_asked = now_;
    const auto at_node = node ? *node : static_cast<std::size_t>(dice(nodes_.size()));
    call("user", node_name(at_node) + ":1", {"POST", "/v2/runs/" + id + "/cancel", ""}, 5000,
         [this, id](const net::HttpReply& reply) {
             Job& me = *job(id);
             if (reply.status == 200) {
                 const std::string state = parsed(reply.body)["stato"].GetString();
                 if (state == "aborted") {
                     if (me.done_told) fail("went_back", id + " cancelled after done");
                     if (me.cancelled_told < 0) me.cancelled_told = now_;
                 } else if (state == "done") {
                     if (me.cancelled_told >= 0) fail("went_back", id + " done after cancelled");
                     me.done_told = true;
                 } else {
                     fail("went_back", id + " answers a cancel with " + state);
                 }
                 return;
             }
             if (reply.status == 404 && me.accepted >= 0) fail("forgotten", id + " at cancel");
             if (reply.status != 404) at(now_ + 1000, [this, id] { cancel(*job(id)); });
         });
}

void World::cancel_now(std::size_t count, Millis hang_ms) {
    std::size_t hung = 0;
    for (auto& j : jobs_) {
        if (count == 0) break;
        if (j.accepted < 0 || j.cancel_asked >= 0 || j.done_told) continue;
        bool runs = false;
        for (auto& [name, w] : workers_) {
            for (const auto& t : w.tasks) {
                if (t.job != j.id || t.state != "running") continue;
                runs = true;
                // Two in a row would hang for longer than any bound.
                if (hang_ms > 0 && w.hung_until + 3000 < now_ && ++hung <= 8) {
                    w.hung_until = now_ + hang_ms;
                    trouble_until(w.hung_until);
                }
            }
        }
        if (!runs) continue;
        --count;
        at(now_ + static_cast<Millis>(dice(200)), [this, id = j.id] { cancel(*job(id)); });
    }
}

// One answer is right, to be refused for now or to get no answer is allowed as well.
void World::expect(std::size_t node, net::HttpRequest request, int status,
                   const std::string& state) {
    const auto what = request.method + " " + request.target;
    call("user", node_name(node) + ":1", std::move(request), 5000,
         [this, what, status, state](const net::HttpReply& reply) {
             if (reply.status == 0 || reply.status == 503) return;
             if (reply.status != status) {
                 return fail("odd_answer", what + " gets " + std::to_string(reply.status));
             }
             if (!state.empty() && parsed(reply.body)["stato"].GetString() != state) {
                 fail("odd_answer", what + " gets " + reply.body);
             }
         });
}

void World::odd_request() {
    const auto node = static_cast<std::size_t>(dice(nodes_.size()));
    const auto unknown = numbered(900'000 + dice(90'000));
    Job bad = jobs_.empty() ? plain(unknown, 1, 5) : jobs_[dice(jobs_.size())];
    Job* known = jobs_.empty() ? nullptr : &jobs_[dice(jobs_.size())];
    bad.id = unknown;
    switch (dice(6)) {
        case 0:
            bad.cpus = kCpus + 1;
            return expect(node, {"POST", "/v2/runs", description(bad)}, 422, "");
        case 1:
            bad.team = "nobody";
            return expect(node, {"POST", "/v2/runs", description(bad)}, 422, "");
        case 2: {
            auto body = description(bad);
            static const char* const kFields[] = {"\"classe\"", "\"prove\"", "\"cpus\"",
                                                  "\"genere\""};
            body.replace(body.find(kFields[dice(4)]) + 1, 1, "x");
            return expect(node, {"POST", "/v2/runs", body}, 400, "");
        }
        case 3:
            return expect(node, {"POST", "/v2/runs/" + unknown + "/cancel", ""}, 404, "");
        case 4:
            if (known == nullptr || !known->done_told) return;
            return expect(node, {"POST", "/v2/runs/" + known->id + "/cancel", ""}, 200, "done");
        default:
            if (known == nullptr || known->accepted < 0) return;
            return expect(node, {"POST", "/v2/runs", description(*known)}, 200,
                          known->cancelled_told >= 0 ? "aborted"
                          : known->done_told         ? "done"
                                                     : "");
    }
}

void World::poll(Job& j) {
    const auto id = j.id;
    const bool accepted = j.accepted >= 0;
    const bool cancelled = j.cancelled_told >= 0;
    const bool done = j.done_told;
    call("user", node_name(dice(nodes_.size())) + ":1", {"GET", "/v2/runs/" + id, ""}, 2000,
         [this, id, accepted, cancelled, done](const net::HttpReply& reply) {
             Job& me = *job(id);
             if (reply.status == 404) {
                 if (accepted) fail("forgotten", id + " gets 404");
                 return;
             }
             if (reply.status != 200) return;
             me.answered = now_;
             if (!me.submitted) fail("invented", id);
             const std::string state = parsed(reply.body)["stato"].GetString();
             if (state == "done") {
                 if (me.done_tasks.size() < me.count) fail("not_done", id);
                 if (cancelled) fail("went_back", id + " done after cancelled");
                 me.done_told = true;
             } else if (state == "aborted") {
                 if (me.cancel_asked < 0) fail("went_back", id + " cancelled by nobody");
                 if (done) fail("went_back", id + " cancelled after done");
                 if (me.cancelled_told < 0) me.cancelled_told = now_;
             } else if (cancelled || done) {
                 fail("went_back", id + " is " + state + " again");
             }
         });
}

void World::user_tick(Job& j) {
    if (!j.submitted && now_ >= j.submit_at) {
        j.give_up_submit = now_ + 60000;
        submit(j);
    }
    if (j.cancel_at >= 0 && j.cancel_asked < 0 && now_ >= j.cancel_at && j.accepted >= 0) {
        cancel(j);
    }
    const auto phase = static_cast<Millis>(std::hash<std::string>{}(j.id) % 20) * 100;
    if (now_ % 2000 == phase) poll(j);
}

// ---- rules ----

void World::check_start(const Worker& worker, const Job& j, std::uint32_t task, Millis sent) {
    if (j.cancelled_told >= 0 && sent > j.cancelled_told + options_.late_start_ms) {
        fail("started_cancelled", j.id + " by an order sent " +
                                      std::to_string(sent - j.cancelled_told) +
                                      " ms after its cancellation was confirmed");
    }
    if (j.cancelled_told >= 0 &&
        now_ - j.cancelled_told > static_cast<Millis>(options_.cancel_s * 1000)) {
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

void World::check() {
    std::map<std::string, double> used;
    for (const auto& [name, w] : workers_) {
        for (const auto& t : w.tasks) {
            if (t.state == "exited") continue;
            const Job& j = *job(t.job);
            used[j.team] += j.cpus;
            // A machine that hangs past its lease kills its tasks when it goes on, and only its
            // return takes them off before; nobody can return it while nobody surely leads.
            const bool dead = w.hung_until > now_ &&
                              now_ - w.answered_sent > static_cast<Millis>(options_.lease_s * 1000);
            if (dead && now_ - unsettled_at_ < kSettled) continue;
            if (j.cancelled_told >= 0 &&
                now_ - j.cancelled_told > static_cast<Millis>(options_.cancel_s * 1000)) {
                fail("ran_cancelled", j.id + " is still on " + name);
            }
        }
    }
    for (const auto& team : options_.teams) {
        const auto limit = static_cast<double>(team.limit.cpus) / 1000;
        if (limit > 0 && used[team.name] > limit + 1e-9) fail("quota", team.name);
    }
}

void World::note_settled() {
    const auto leads = leader();
    const auto token = leads ? nodes_[*leads].controller->token() : 0;
    const bool cut =
        leads && (cut_between(node_name(*leads), "state") != nullptr ||
                  cut_between(node_name(*leads), "cloud") != nullptr ||
                  refused_until_[*leads] > now_ || nodes_[*leads].port->frozen_until() > now_);
    if (!leads || token != settled_token_ || cut || now_ < outage_until_ ||
        now_ < cloud_outage_until_) {
        unsettled_at_ = now_;
    }
    settled_token_ = token;
}

void World::check_answers() {
    if (now_ % 1000 != 0) return;
    for (const auto& j : jobs_) {
        if (j.accepted < 0) continue;
        const auto since = std::max({j.answered, j.accepted, troubles_over_});
        if (now_ - since > kUnanswered) fail("forgotten", j.id + " gets no answer");
    }
}

// Whether all of a gang, or one task of an array, fits into what is free, by zones where these
// count.
bool World::has_room(const Job& j, const std::map<std::string, double>& used) const {
    const bool gang = j.kind == "ensemble";
    const auto need = static_cast<int>(gang ? j.count : 1);
    for (const auto& team : options_.teams) {
        const auto limit = static_cast<double>(team.limit.cpus) / 1000;
        const auto it = used.find(j.team);
        const auto now_used = it == used.end() ? 0.0 : it->second;
        if (team.name == j.team && limit > 0 && now_used + need * j.cpus > limit + 1e-9) {
            return false;
        }
    }
    std::map<std::string, int> fit;  // by zone
    for (const auto& [name, w] : workers_) {
        const bool well = w.up && !w.gone && !w.sick && w.hung_until <= now_ &&
                          w.deaf_until <= now_ && w.mute_until <= now_ && w.taken_at < 0;
        if (!well || (w.spot && !j.spot) || (j.zone && *j.zone != w.zone)) continue;
        double cpus = kCpus;
        for (const auto& t : w.tasks) {
            if (t.state == "exited") continue;
            for (const auto& other : jobs_) {
                if (other.id == t.job) cpus -= other.cpus;
            }
        }
        fit[w.zone] += static_cast<int>((cpus + 1e-9) / j.cpus);
    }
    int most = 0;
    int sum = 0;
    for (const auto& [zone, n] : fit) {
        most = std::max(most, n);
        const int half = (static_cast<int>(j.count) + 1) / 2;
        sum += j.apart ? std::min(n, half) : n;
    }
    return (j.one_zone && gang ? most : sum) >= need;
}

// Once all troubles are over nothing waits for long beside room that fits it.
void World::check_waiting() {
    if (now_ % 1000 != 0 || now_ < std::max(troubles_over_, options_.busy_ms)) return;
    std::map<std::string, double> used;
    std::map<std::string, std::set<std::uint32_t>> placed;  // tasks, by job
    for (const auto& [name, w] : workers_) {
        for (const auto& t : w.tasks) {
            placed[t.job].insert(t.task);
            if (t.state != "exited") used[job(t.job)->team] += job(t.job)->cpus;
        }
    }
    for (auto& j : jobs_) {
        // Of an array a single task may be left behind while the others have long ended.
        auto served = placed[j.id];
        served.insert(j.done_tasks.begin(), j.done_tasks.end());
        const bool left = j.kind == "ensemble" ? served.empty() : served.size() < j.count;
        const bool waits = j.accepted >= 0 && j.cancel_asked < 0 && !j.done_told &&
                           j.done_tasks.size() < j.count && left;
        if (!waits || !has_room(j, used)) {
            j.room_since = -1;
        } else if (j.room_since < 0) {
            j.room_since = now_;
        } else if (now_ - j.room_since > kLeftWaiting) {
            fail("left_waiting", j.id + " beside room that fits");
        }
    }
}

// At the end of a day at least half of each class, of each team and of each class's largest jobs
// has to be served, and the largest have to begin in time.
void World::check_served() {
    std::map<std::string, std::pair<int, int>> served;  // of all
    std::map<std::string, std::uint32_t> largest;
    for (const auto& j : jobs_) largest[j.cls] = std::max(largest[j.cls], j.count);
    for (const auto& j : jobs_) {
        if (j.accepted < 0 || j.cancel_asked >= 0 || j.always_fails) continue;
        std::vector<std::string> groups{"class " + j.cls, "team " + j.team};
        if (j.count == largest[j.cls]) groups.push_back("largest of " + j.cls);
        for (const auto& group : groups) {
            ++served[group].second;
            served[group].first += j.done_tasks.size() == j.count ? 1 : 0;
        }
        if (j.count == largest[j.cls] && now_ - j.submit_at > kLargestBegins &&
            (j.begun < 0 || j.begun - j.submit_at > kLargestBegins)) {
            fail("unserved", j.id + ", a largest one, began after " +
                                 std::to_string(j.begun - j.submit_at) + " ms");
        }
    }
    for (const auto& [group, n] : served) {
        if (n.first * 2 < n.second) fail("unserved", group);
    }
}

void World::tick() {
    for (auto& [id, grant] : grants_) {
        // Leases do not run out during an outage and have their full time again after it.
        if (now_ < outage_until_)
            grant.second = std::max(grant.second, outage_until_ + grant.first);
    }
    std::vector<std::uint64_t> ended;
    for (auto& [id, grant] : grants_) {
        if (now_ >= grant.second) ended.push_back(id);
    }
    for (auto id : ended) {
        grants_.erase(id);
        std::vector<std::string> keys;
        for (auto& [key, grant] : key_grant_) {
            if (grant == id) keys.push_back(key);
        }
        if (!keys.empty()) ++revision_;
        for (const auto& key : keys) apply(key, "", 0);
    }
    wake_watches();
    for (auto& [name, worker] : workers_) worker_tick(worker);
    for (auto& j : jobs_) user_tick(j);
    note_settled();
    check();
    check_answers();
    check_waiting();
    at(now_ + 100, [this] { tick(); });
}

void World::fault() {
    if (now_ >= options_.busy_ms) {
        // Everything heals: what was accepted has to end.
        for (auto& [name, w] : workers_) w.sick = false;
        return;
    }
    const auto node = dice(nodes_.size());
    const auto name = node_name(node);
    const auto span = static_cast<Millis>(2000 + dice(15000));
    const bool hold = chance(0.5);
    const auto random_worker = [&]() -> Worker* {
        std::vector<Worker*> up;
        for (auto& [n, w] : workers_) {
            if (w.up && !w.gone) up.push_back(&w);
        }
        return up.empty() ? nullptr : up[dice(up.size())];
    };
    const auto both = chance(0.25);  // a second trouble at once
    switch (dice(30)) {
        case 0:
            crash(node, options_.restart_ms);
            break;
        case 1:
            crash(node, 100 + static_cast<Millis>(dice(500)));
            break;
        case 2:
            for (std::size_t n = 0; n < nodes_.size(); ++n) crash(n, options_.restart_ms);
            break;
        case 3:
            cut(name, "state", span, hold);
            break;
        case 4:
            cut(name, "host", span, hold);
            break;
        case 5:
            cut(name, "n", span, hold);
            break;
        case 6:
            cut(name, "", span, hold);
            break;
        case 7:
            refuse_node(node, span);
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
                trouble_until(w->hung_until);
            }
            break;
        case 11:
            if (auto* w = random_worker()) w->taken_at = now_ + static_cast<Millis>(dice(8000));
            break;
        case 12:
            if (auto* w = random_worker()) cut(w->name, "n", span, hold);
            break;
        case 13:
            if (auto l = leader()) {
                cut(node_name(*l), chance(0.5) ? "state" : "host", span, hold);
            }
            break;
        case 14:
            if (auto* w = random_worker()) deafen(*w, span, hold);
            break;
        case 15:
            for (auto& [n, w] : workers_) {
                if (w.up && !w.gone && chance(0.4)) deafen(w, span, hold);
            }
            break;
        case 16:
            if (auto l = leader()) isolate(*l, span, hold, chance(0.33));
            break;
        case 17:
            // Gone and back within moments, again while the others elect.
            if (auto l = leader()) {
                crash(*l, 50 + static_cast<Millis>(dice(300)));
                const auto again = chance(0.5) ? *l : node;
                at(now_ + 400 + static_cast<Millis>(dice(3500)),
                   [this, again] { crash(again, 50 + static_cast<Millis>(dice(300))); });
            }
            break;
        case 18:
            freeze(node, span);
            break;
        case 19:
            // Stands still as the leader, as one that stands, or while it takes over.
            if (auto l = leader()) {
                crash(*l, options_.restart_ms);
                for (std::size_t n = 0; n < nodes_.size(); ++n) {
                    if (chance(0.5)) continue;
                    at(now_ + static_cast<Millis>(dice(4000)),
                       [this, n, span] { freeze(n, span); });
                }
            }
            break;
        case 20:
            if (auto l = leader()) freeze(*l, chance(0.5) ? span : 500 + span / 5);
            break;
        case 21:
        case 22:
            // The leader alone is refused, others confirm cancellations, then it is out for all.
            if (auto l = leader()) {
                refuse_node(*l, span);
                if (chance(0.4)) cut(node_name(*l), "n", span + 15'000, hold);
                const auto other = (*l + 1 + dice(nodes_.size() - 1)) % nodes_.size();
                at(now_ + 200 + static_cast<Millis>(dice(1500)), [this, other, span] {
                    cancel_now(1 + dice(3), 0);
                    if (chance(0.3)) crash(other, 100 + static_cast<Millis>(dice(30'000)));
                    at(now_ + 300 + static_cast<Millis>(dice(1500)),
                       [this, span] { state_outage(chance(0.4) ? 15'000 + span : span); });
                });
            }
            break;
        case 23:
            late_writes(0.2 + static_cast<double>(dice(40)) / 100, span);
            break;
        case 24:
            if (auto* w = random_worker()) mute(*w, span + 5000);
            break;
        case 25:
            for (auto& [n, w] : workers_) {
                if (w.up && !w.gone && chance(0.4)) mute(w, span);
            }
            break;
        case 26:
            cancel_now(1 + dice(3), chance(0.6) ? span : 0);
            break;
        case 27:
            // All are away for longer than a lease.
            for (std::size_t n = 0; n < nodes_.size(); ++n) {
                crash(n, static_cast<Millis>(options_.lease_s * 1000) + span);
            }
            break;
        case 28:
            cut_zone(chance(0.5) ? "a" : "b", "",
                     chance(0.5) ? span : span + static_cast<Millis>(options_.lease_s * 1000),
                     hold);
            break;
        default:
            for (Millis t = 0; t < span; t += 100) at(now_ + t, [this] { odd_request(); });
            break;
    }
    at(now_ + (both ? 1 : 1500 + static_cast<Millis>(dice(7000))), [this] { fault(); });
}

Options calm(std::uint64_t seed) {
    Options options;
    options.seed = seed;
    options.jobs = 0;
    options.faults = false;
    return options;
}

std::string numbered(std::size_t n) {
    char id[32];
    std::snprintf(id, sizeof id, "job-%06zu", n);
    return id;
}

Job plain(const std::string& id, std::uint32_t count, double run_s, Millis submit_at) {
    Job j;
    j.id = id;
    j.count = count;
    j.run_s = run_s;
    j.submit_at = submit_at;
    return j;
}

Job random_job(std::mt19937_64& rng, std::size_t number, Millis busy_ms) {
    const auto dice = [&](std::uint64_t n) { return rng() % n; };
    Job j;
    j.id = numbered((number * 7919 + 13) % 1'000'000);
    j.cls = dice(2) == 0 ? "one" : "other";
    j.team = dice(3) == 0 ? "side" : "core";
    j.kind = dice(2) == 0 ? "ensemble" : "sweep";
    static const char* const kPriorities[] = {"low", "normal", "high", "critical"};
    j.priority = kPriorities[dice(4)];
    j.count = static_cast<std::uint32_t>(1 + dice(6));
    j.cpus = 1 + static_cast<double>(dice(3));
    j.one_zone = dice(4) == 0;
    j.apart = !j.one_zone && dice(5) == 0;
    j.spot = dice(4) != 0;
    j.run_s = 3 + static_cast<double>(dice(14));
    j.checkpoint_s = dice(3) == 0 ? 0 : 2;
    if (dice(6) == 0) j.zone = dice(2) == 0 ? "a" : "b";
    if (j.zone && j.apart) j.apart = false;
    j.submit_at = static_cast<Millis>(dice(static_cast<std::uint64_t>(busy_ms)));
    if (dice(5) == 0) j.cancel_at = j.submit_at + static_cast<Millis>(dice(25000));
    j.cancel_at_end = dice(12) == 0;
    return j;
}

}  // namespace lichendrift::standin
