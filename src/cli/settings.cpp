#include "cli/settings.h"

#include <cmath>
#include <set>

#include "cli/toml_file.h"

namespace lichendrift::cli {

namespace {

constexpr double kMax = 1e9;  // of any amount; more can only be a slip, and would overflow later
constexpr std::size_t kMinNextOperations = 2;
constexpr std::size_t kMinSockets = 40;  // what the process itself, its peers and region need

class Reader {
  public:
    explicit Reader(Problems& problems) : problems_(problems) {}

    void text(const toml::table& t, const std::string& path, const char* key, std::string& out) {
        const auto* node = find(t, path, key);
        if (node == nullptr) return;
        auto value = node->value<std::string>();
        if (!node->is_string() || value->empty()) return bad(path, key, "expected a text");
        out = *value;
    }

    // "IP:port"
    void address(const toml::table& t, const std::string& path, const char* key, std::string& out) {
        const auto before = problems_.size();
        text(t, path, key, out);
        if (problems_.size() != before) return;
        const auto colon = out.rfind(':');
        const auto port = colon == std::string::npos ? "" : out.substr(colon + 1);
        const bool digits = !port.empty() && port.size() <= 5 &&
                            port.find_first_not_of("0123456789") == std::string::npos;
        if (colon == 0 || !digits || std::stoi(port) > 65535) {
            bad(path, key, "expected an address such as 10.0.0.1:8080");
        }
    }

    void number(const toml::table& t, const std::string& path, const char* key, double minimum,
                double& out) {
        const auto* node = find(t, path, key);
        if (node == nullptr) return;
        auto value = node->value<double>();
        if (!node->is_number() || !value) return bad(path, key, "expected a number");
        if (!std::isfinite(*value) || *value < minimum) {
            return bad(path, key, "expected a number of at least " + trim(minimum));
        }
        if (*value > kMax) return bad(path, key, "expected a number of at most " + trim(kMax));
        out = *value;
    }

    void count(const toml::table& t, const std::string& path, const char* key, std::size_t& out) {
        const auto* node = find(t, path, key);
        if (node == nullptr) return;
        if (!node->is_integer() || *node->value<std::int64_t>() < 1) {
            return bad(path, key, "expected a whole number of at least 1");
        }
        if (*node->value<std::int64_t>() > static_cast<std::int64_t>(kMax)) {
            return bad(path, key, "expected a whole number of at most " + trim(kMax));
        }
        out = static_cast<std::size_t>(*node->value<std::int64_t>());
    }

    const toml::table* table(const toml::table& t, const std::string& path, const char* key) {
        const auto* node = find(t, path, key);
        if (node == nullptr) return nullptr;
        if (!node->is_table()) {
            bad(path, key, "expected a table");
            return nullptr;
        }
        return node->as_table();
    }

    // Tables of an array; an array that is left out is empty.
    std::vector<std::pair<const toml::table*, std::string>> tables(const toml::table& t,
                                                                   const std::string& path,
                                                                   const char* key) {
        std::vector<std::pair<const toml::table*, std::string>> out;
        const auto* node = t.get(key);
        if (node == nullptr) return out;
        const auto* array = node->as_array();
        if (array == nullptr) {
            bad(path, key, "expected an array of tables");
            return out;
        }
        for (std::size_t i = 0; i < array->size(); ++i) {
            const auto where = join(path, key) + "[" + std::to_string(i) + "]";
            if (const auto* entry = (*array)[i].as_table()) {
                out.emplace_back(entry, where);
            } else {
                problems_.push_back(where + ": expected a table");
            }
        }
        return out;
    }

    void bad(const std::string& path, const std::string& key, const std::string& what) {
        problems_.push_back(join(path, key) + ": " + what);
    }

  private:
    static std::string join(const std::string& path, const std::string& key) {
        return path.empty() ? key : path + "." + key;
    }
    static std::string trim(double v) {
        auto s = std::to_string(v);
        while (s.back() == '0') s.pop_back();
        if (s.back() == '.') s.pop_back();
        return s;
    }
    const toml::node* find(const toml::table& t, const std::string& path, const char* key) {
        const auto* node = t.get(key);
        if (node == nullptr) bad(path, key, "is missing");
        return node;
    }
    Problems& problems_;
};

// Limits that hold later; each may be left out.
void read_next_limits(Reader& in, const toml::table& state, control::NextStateLimits& next) {
    const std::string path = "settings.state.next";
    const auto* table = in.table(state, "settings.state", "next");
    if (table == nullptr) return;
    const auto number = [&](const char* key, std::optional<double>& out) {
        if (!table->contains(key)) return;
        double value = 0;
        in.number(*table, path, key, 1, value);
        out = value;
    };
    number("rps", next.rps);
    number("write_rps", next.write_rps);
    number("value_kb", next.value_kb);
    if (!table->contains("txn_ops")) return;
    std::size_t ops = 0;
    in.count(*table, path, "txn_ops", ops);
    // The leader's mark and its token change together, as do a job and its terminal state.
    if (ops < kMinNextOperations) {
        in.bad(path, "txn_ops",
               "expected a whole number of at least " + std::to_string(kMinNextOperations));
    }
    next.transaction_operations = ops;
}

// The tables below [settings].

void read_zones(Reader& in, const toml::table& t, control::Settings& s) {
    const auto* zones = t.get_as<toml::array>("zones");
    if (zones == nullptr || zones->empty()) {
        in.bad("settings", "zones", "expected a list of names");
    } else {
        for (const auto& zone : *zones) {
            if (!zone.is_string()) {
                in.bad("settings", "zones", "expected a list of names");
                break;
            }
            s.zones.push_back(*zone.value<std::string>());
        }
    }
}

void read_teams(Reader& in, const toml::table& t, control::Settings& s) {
    std::set<std::string> teams;
    for (const auto& [team, at] : in.tables(t, "settings", "teams")) {
        core::Team out;
        double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;
        in.text(*team, at, "name", out.name);
        auto amount = [&, entry = team, where = at](const char* key, double& value) {
            if (entry->contains(key)) in.number(*entry, where, key, 0, value);
        };
        amount("cpus", cpus);
        amount("cpus_max", cpus_max);
        amount("gpus", gpus);
        amount("gpus_max", gpus_max);
        const auto within = [&, where = at](const char* key, double guarantee, double limit) {
            if (limit > 0 && guarantee > limit) {
                in.bad(where, key, "expected no more than the team's limit");
            }
        };
        within("cpus", cpus, cpus_max);
        within("gpus", gpus, gpus_max);
        if (!teams.insert(out.name).second) {
            in.bad(at, "name", "'" + out.name + "' is there twice");
        }
        const auto thousandths = [](double v) { return std::llround(v * 1000); };
        out.guarantee = {thousandths(cpus), thousandths(gpus), 0};
        out.limit = {thousandths(cpus_max), thousandths(gpus_max), 0};
        s.teams.push_back(std::move(out));
    }
}

void read_objectives(Reader& in, const toml::table& t, control::Settings& s) {
    for (const auto& [o, at] : in.tables(t, "settings", "objectives")) {
        control::Objective out;
        in.text(*o, at, "kind", out.kind);
        if (o->contains("class")) in.text(*o, at, "class", out.cls);
        if (o->contains("within_s")) in.number(*o, at, "within_s", 0, out.within_s);
        if (o->contains("share")) in.number(*o, at, "share", 0, out.share);
        if (o->contains("times")) in.number(*o, at, "times", 0, out.times);
        s.objectives.push_back(std::move(out));
    }
}

void read_workers(Reader& in, const toml::table& t, control::Settings& s) {
    if (const auto* w = in.table(t, "settings", "workers")) {
        in.number(*w, "settings.workers", "report_s", 0.05, s.report_s);
        in.number(*w, "settings.workers", "lease_s", 0.1, s.lease_s);
        // A worker that reports less often than its lease lasts loses all its tasks each time.
        if (s.lease_s >= 0.1 && s.report_s >= s.lease_s) {
            in.bad("settings.workers", "lease_s", "expected more than report_s");
        }
        in.number(*w, "settings.workers", "gang_wait_s", 0.1, s.gang_wait_s);
        in.number(*w, "settings.workers", "gang_peer_s", 0.1, s.gang_peer_s);
        in.number(*w, "settings.workers", "cancel_s", 0.1, s.cancel_s);
    }
}

void read_state_and_cloud(Reader& in, const toml::table& t, control::Settings& s) {
    if (const auto* st = in.table(t, "settings", "state")) {
        in.number(*st, "settings.state", "rps", 1, s.state_rps);
        in.number(*st, "settings.state", "write_rps", 1, s.state_write_rps);
        in.number(*st, "settings.state", "value_kb", 1, s.state_value_kb);
        in.count(*st, "settings.state", "txn_ops", s.state_transaction_operations);
        if (s.state_transaction_operations < 3) {
            in.bad("settings.state", "txn_ops", "expected a whole number of at least 3");
        }
        if (st->contains("next")) read_next_limits(in, *st, s.state_next);
    }
    if (const auto* c = in.table(t, "settings", "cloud")) {
        in.number(*c, "settings.cloud", "rps", 0.1, s.cloud_rps);
        in.number(*c, "settings.cloud", "list_lag_s", 0, s.cloud_list_lag_s);
    }
}

void read_resources(Reader& in, const toml::table& t, control::Settings& s) {
    if (const auto* r = t.contains("resources") ? in.table(t, "settings", "resources") : nullptr) {
        if (r->contains("core_share")) {
            in.number(*r, "settings.resources", "core_share", 0, s.core_share);
        }
        if (r->contains("mem_mb")) in.number(*r, "settings.resources", "mem_mb", 1, s.mem_mb);
        if (r->contains("max_connections")) {
            in.count(*r, "settings.resources", "max_connections", s.max_connections);
            if (s.max_connections < kMinSockets) {
                in.bad("settings.resources", "max_connections",
                       "expected at least " + std::to_string(kMinSockets));
            }
        }
    }
}

}  // namespace

std::variant<control::Settings, Problems> load_settings(const std::string& path) {
    auto parsed = parse_toml_file(path);
    if (auto* problems = std::get_if<Problems>(&parsed)) return std::move(*problems);
    const auto& file = std::get<toml::table>(parsed);
    Problems problems;
    control::Settings s;
    Reader in(problems);
    in.text(file, "", "member", s.member);
    in.text(file, "", "location", s.location);
    in.address(file, "", "listen", s.listen);
    in.address(file, "", "peer_bind", s.peer_bind);
    std::set<std::string> members{s.member};
    for (const auto& [t, at] : in.tables(file, "", "siblings")) {
        control::Peer peer;
        in.text(*t, at, "member", peer.member);
        in.text(*t, at, "location", peer.location);
        in.address(*t, at, "peer_addr", peer.address);
        if (!members.insert(peer.member).second) {
            in.bad(at, "member", "'" + peer.member + "' is there twice");
        }
        s.peers.push_back(std::move(peer));
    }
    if (const auto* external = in.table(file, "", "external")) {
        in.address(*external, "external", "cloud", s.cloud);
        in.address(*external, "external", "state", s.state);
    }
    if (!s.listen.empty() && s.listen == s.peer_bind) {
        in.bad("", "peer_bind", "expected another address than listen");
    }
    s.size = s.peers.size() + 1;
    if (const auto* t = in.table(file, "", "settings")) {
        if (t->contains("size")) in.count(*t, "settings", "size", s.size);
        if (s.size < s.peers.size() + 1) {
            in.bad("settings", "size",
                   "expected at least " + std::to_string(s.peers.size() + 1) +
                       ", this controller and its peers");
        }
        if (t->contains("skew_ms")) in.number(*t, "settings", "skew_ms", 0, s.skew_ms);
        read_zones(in, *t, s);
        read_teams(in, *t, s);
        read_objectives(in, *t, s);
        read_workers(in, *t, s);
        read_state_and_cloud(in, *t, s);
        read_resources(in, *t, s);
    }
    if (!problems.empty()) return problems;
    return s;
}

}  // namespace lichendrift::cli
