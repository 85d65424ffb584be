// Stand-ins for one small deployment, on loopback addresses and the real clock: state service,
// cloud, workers and users, and the controllers as real processes. Written for the cases
// review/4 to review/8 from the operators' pages (PROTOCOL, DEPLOY). Sockets and the event loop are
// those of src/net; the controllers run as separate processes.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace region {

using lichendrift::net::EventLoop;
using lichendrift::net::HttpClient;
using lichendrift::net::HttpReply;
using lichendrift::net::HttpRequest;
using lichendrift::net::HttpResponse;
using lichendrift::net::HttpServer;
using lichendrift::net::Millis;
using lichendrift::net::Respond;
using lichendrift::net::SocketBudget;

constexpr int kHeld = 0;       // exit code: the rule held
constexpr int kBroken = 1;     // exit code: the rule was broken
constexpr int kCannotRun = 2;  // exit code: the case could not run

// ---- JSON ----

using Document = rapidjson::Document;

// Parses strictly: a body that is not UTF-8 is not JSON (RFC 8259, section 8.1).
inline bool parse(const std::string& text, Document& document) {
    document.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag |
                   rapidjson::kParseFullPrecisionFlag>(text.data(), text.size());
    return !document.HasParseError() && document.IsObject();
}

inline std::string text_of(const rapidjson::Value& value) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    value.Accept(writer);
    return {buffer.GetString(), buffer.GetSize()};
}

inline std::string string_of(const rapidjson::Value& object, const char* name) {
    const auto it = object.FindMember(name);
    return it != object.MemberEnd() && it->value.IsString() ? it->value.GetString() : "";
}

inline std::uint64_t number_of(const rapidjson::Value& object, const char* name) {
    const auto it = object.FindMember(name);
    return it != object.MemberEnd() && it->value.IsUint64() ? it->value.GetUint64() : 0;
}

inline double amount_of(const rapidjson::Value& object, const char* name) {
    const auto it = object.FindMember(name);
    return it != object.MemberEnd() && it->value.IsNumber() ? it->value.GetDouble() : 0;
}

inline const rapidjson::Value* list_of(const rapidjson::Value& object, const char* name) {
    const auto it = object.FindMember(name);
    return it != object.MemberEnd() && it->value.IsArray() ? &it->value : nullptr;
}

// The value of a parameter in the query of a target; empty if it is missing.
inline std::string query_of(const std::string& target, const std::string& name) {
    const auto query = target.find('?');
    if (query == std::string::npos) return "";
    std::istringstream parts(target.substr(query + 1));
    for (std::string part; std::getline(parts, part, '&');) {
        if (part.rfind(name + "=", 0) == 0) return part.substr(name.size() + 1);
    }
    return "";
}

inline HttpResponse json_response(int status, std::string body) {
    HttpResponse response;
    response.status = status;
    response.body = std::move(body);
    return response;
}

// ---- record ----

// Writes what is sent, answered and run to record.txt, with milliseconds since the start.
class Record {
  public:
    explicit Record(const std::string& path) : out_(std::fopen(path.c_str(), "w")) {}
    ~Record() {
        if (out_ != nullptr) std::fclose(out_);
    }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        if (out_ == nullptr) return;
        std::fprintf(out_, "%8lld ms  ",
                     static_cast<long long>(EventLoop::steady_clock() - started_at_));
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(out_, format, arguments);
        va_end(arguments);
        std::fputc('\n', out_);
        std::fflush(out_);
    }

  private:
    std::FILE* out_;
    Millis started_at_ = EventLoop::steady_clock();
};

// ---- addresses ----

// An address on 127.0.0.1 whose port is free now.
inline std::string free_address() {
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    const bool ok = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 &&
                    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    ::close(fd);
    return ok ? "127.0.0.1:" + std::to_string(ntohs(address.sin_port)) : "";
}

// ---- what a deployment is set up with ----

struct MachineType {
    std::string name;
    double cpus = 24, gpus = 2, mem_gb = 96, local_gb = 120, fetch_gb_s = 0.8;
    double hourly = 5.12, spot_hourly = 1.15, boot_s = 40;
    std::vector<std::string> zones;
};

struct Setup {
    std::size_t controllers = 3;
    std::vector<std::string> zones{"torino", "milano"};
    std::vector<MachineType> types{{"nodo-aula", 24, 2, 96, 120, 0.8, 5.12, 1.15, 40, {"torino", "milano"}}};
    // The settings of the small deployment of BRIEF.
    double report_s = 1.5, lease_s = 10, cancel_s = 40, gang_wait_s = 40, gang_peer_s = 4;
    double state_rps = 150, state_write_rps = 50, state_value_kb = 8;
    std::size_t state_txn_ops = 12;
    double cloud_rps = 6, list_lag_s = 4;
    std::string next_limits;  // the table [settings.state.next], as text; empty: none
    std::string log_level = "info";
};

// ---- state service ----

class StateService {
  public:
    struct Limits {
        double value_kb = 8;
        std::size_t txn_ops = 12;
        double rps = 150, write_rps = 50;
    };
    StateService(EventLoop& loop, SocketBudget& budget, Record& record, const Setup& setup)
        : loop_(loop), budget_(budget), record_(record) {
        limits_ = {setup.state_value_kb, setup.state_txn_ops, setup.state_rps,
                   setup.state_write_rps};
        requests_ = limits_.rps;
        writes_ = limits_.write_rps;
        refilled_at_ = loop_.read_clock();
        expire();
    }
    // One address for each controller, so that a request shows which of them sent it.
    std::string listen(std::size_t node) {
        servers_.push_back(std::make_unique<HttpServer>(
            loop_, budget_, HttpServer::Limits{64 << 10, 400},
            [this, node](const HttpRequest& request, Respond respond) {
                handle(node, request, std::move(respond));
            }));
        const auto address = free_address();
        return servers_.back()->listen(address) ? address : "";
    }
    void set_limits(const Limits& limits) { limits_ = limits; }
    // Answers 503 to this controller; its open watches wait.
    void refuse(std::size_t node, bool refused) {
        if (refused) {
            refused_.insert(node);
        } else {
            refused_.erase(node);
            wake_watches();
        }
    }
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    [[nodiscard]] const std::map<std::string, std::string> values(const std::string& prefix) const {
        std::map<std::string, std::string> found;
        for (auto it = keys_.lower_bound(prefix); it != keys_.end(); ++it) {
            if (it->first.rfind(prefix, 0) != 0) break;
            found[it->first] = it->second.value;
        }
        return found;
    }
    // Number of transactions that were answered with 400 for their form or size.
    std::size_t rejected = 0;

  private:
    struct Key {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t lease = 0;
    };
    struct Change {
        std::string key, value;  // an empty value: removed
        std::uint64_t revision = 0;
    };
    struct Watch {
        std::size_t node = 0;
        std::string prefix;
        std::uint64_t since = 0;
        Millis until = 0;
        Respond respond;
    };
    struct Lease {
        Millis ttl = 0, until = 0;
    };
    static constexpr std::size_t kHistory = 10'000;

    bool allow(double writes) {
        const auto now = loop_.read_clock();
        const double passed = static_cast<double>(now - refilled_at_) / 1000;
        refilled_at_ = now;
        requests_ = std::min(limits_.rps, requests_ + passed * limits_.rps);
        writes_ = std::min(limits_.write_rps, writes_ + passed * limits_.write_rps);
        if (requests_ < 1 || writes_ < writes) return false;
        requests_ -= 1;
        writes_ -= writes;
        return true;
    }
    static HttpResponse error(int status, const char* text) {
        return json_response(status, std::string("{\"error\":\"") + text + "\"}");
    }
    void handle(std::size_t node, const HttpRequest& request, Respond respond) {
        if (refused_.contains(node)) return respond(error(503, "refused"));
        const auto path = request.target.substr(0, request.target.find('?'));
        if (path == "/txn") return transact(request, respond);
        if (!allow(0)) return respond(error(429, "too many requests"));
        if (path == "/watch") return watch(node, request, std::move(respond));
        if (path == "/store") return list(request, respond);
        if (path.rfind("/store/", 0) == 0) return get(path.substr(7), respond);
        if (path == "/grants") return create_lease(request, respond);
        if (path.rfind("/grants/", 0) == 0) return change_lease(request, path.substr(8), respond);
        respond(error(404, "no such path"));
    }
    void get(const std::string& key, const Respond& respond) {
        const auto it = keys_.find(key);
        if (it == keys_.end()) {
            return respond(json_response(404, "{\"registro\":" + std::to_string(revision_) + "}"));
        }
        respond(json_response(200, item(it->first, it->second)));
    }
    static std::string item(const std::string& name, const Key& key) {
        return "{\"path\":\"" + name + "\",\"value\":" + key.value +
               ",\"timbro\":" + std::to_string(key.revision) + "}";
    }
    void list(const HttpRequest& request, const Respond& respond) {
        const auto prefix = query_of(request.target, "prefix");
        const auto since = query_of(request.target, "since");
        const auto asked = std::strtoul(query_of(request.target, "limit").c_str(), nullptr, 10);
        const std::size_t limit = asked == 0 ? 1000 : std::min<std::size_t>(asked, 1000);
        std::string items;
        std::size_t count = 0;
        bool more = false;
        auto it = since.empty() ? keys_.lower_bound(prefix) : keys_.upper_bound(since);
        for (; it != keys_.end() && it->first.rfind(prefix, 0) == 0; ++it) {
            if (count >= limit || items.size() > (500 << 10)) {
                more = true;
                break;
            }
            if (count++ > 0) items += ",";
            items += item(it->first, it->second);
        }
        respond(json_response(200, "{\"items\":[" + items + "],\"more\":" + (more ? "true" : "false") +
                                       ",\"registro\":" + std::to_string(revision_) + "}"));
    }
    void create_lease(const HttpRequest& request, const Respond& respond) {
        Document body;
        const auto ttl = parse(request.body, body) ? number_of(body, "ttlMs") : 0;
        if (ttl < 100 || ttl > 600'000) return respond(error(400, "malformed"));
        const auto id = ++last_lease_;
        leases_[id] = {static_cast<Millis>(ttl), loop_.read_clock() + static_cast<Millis>(ttl)};
        respond(json_response(200, "{\"concessione\":" + std::to_string(id) + "}"));
    }
    void change_lease(const HttpRequest& request, const std::string& rest, const Respond& respond) {
        const auto id = std::strtoull(rest.c_str(), nullptr, 10);
        const auto it = leases_.find(id);
        if (it == leases_.end()) return respond(error(404, "no such lease"));
        if (request.method == "DELETE") {
            end_lease(id);
        } else {
            it->second.until = loop_.read_clock() + it->second.ttl;
        }
        respond(json_response(200, "{\"concessione\":" + std::to_string(id) + "}"));
    }
    void end_lease(std::uint64_t id) {
        leases_.erase(id);
        std::vector<std::string> attached;
        for (const auto& [name, key] : keys_) {
            if (key.lease == id) attached.push_back(name);
        }
        if (attached.empty()) return;
        ++revision_;
        for (const auto& name : attached) apply(name, "", 0);
        wake_watches();
    }
    void expire() {
        const auto now = loop_.read_clock();
        std::vector<std::uint64_t> ended;
        for (const auto& [id, lease] : leases_) {
            if (lease.until <= now) ended.push_back(id);
        }
        for (const auto id : ended) end_lease(id);
        wake_watches();
        loop_.after(20, [this] { expire(); });
    }
    void apply(const std::string& name, const std::string& value, std::uint64_t lease) {
        if (value.empty()) {
            if (keys_.erase(name) == 0) return;
        } else {
            keys_[name] = {value, revision_, lease};
        }
        history_.push_back({name, value, revision_});
        if (history_.size() <= kHistory) return;
        forgotten_ = history_.front().revision;
        history_.pop_front();
    }
    void transact(const HttpRequest& request, const Respond& respond) {
        Document body;
        const auto reject = [&](const char* why) {
            ++rejected;
            record_.line("state service: 400 %s, transaction of %zu bytes", why,
                         request.body.size());
            respond(error(400, why));
        };
        if (!parse(request.body, body)) return reject("malformed");
        const auto* conditions = list_of(body, "when");
        const auto* changes = list_of(body, "then");
        const std::size_t count = changes == nullptr ? 0 : changes->Size();
        if (!allow(static_cast<double>(count))) return respond(error(429, "too many changes"));
        if (count > limits_.txn_ops) return reject("too many changes");
        if (conditions != nullptr && conditions->Size() > 4 * limits_.txn_ops) {
            return reject("too many conditions");
        }
        for (std::size_t i = 0; i < count; ++i) {
            const auto& change = (*changes)[static_cast<rapidjson::SizeType>(i)];
            if (!change.HasMember("set")) continue;
            if (!change.HasMember("value")) return reject("malformed");
            const auto bytes = static_cast<double>(text_of(change["value"]).size());
            if (bytes > limits_.value_kb * 1024) return reject("value too large");
            const auto lease = number_of(change, "concessione");
            if (lease != 0 && !leases_.contains(lease)) return respond(error(400, "no such lease"));
        }
        std::string failed;
        if (conditions != nullptr) {
            for (const auto& condition : conditions->GetArray()) {
                const auto name = string_of(condition, "path");
                const auto it = keys_.find(name);
                const auto version = it == keys_.end() ? 0 : it->second.revision;
                if (version == number_of(condition, "timbro")) continue;
                failed += (failed.empty() ? "\"" : ",\"") + name + "\"";
            }
        }
        if (!failed.empty()) {
            return respond(json_response(409, "{\"failed\":[" + failed + "],\"registro\":" +
                                                  std::to_string(revision_) + "}"));
        }
        if (count > 0) ++revision_;
        for (std::size_t i = 0; i < count; ++i) {
            const auto& change = (*changes)[static_cast<rapidjson::SizeType>(i)];
            if (change.HasMember("set")) {
                apply(string_of(change, "set"), text_of(change["value"]),
                      number_of(change, "concessione"));
            } else {
                apply(string_of(change, "remove"), "", 0);
            }
        }
        respond(json_response(200, "{\"registro\":" + std::to_string(revision_) + "}"));
        wake_watches();
    }
    void watch(std::size_t node, const HttpRequest& request, Respond respond) {
        Watch watch;
        watch.node = node;
        watch.prefix = query_of(request.target, "prefix");
        watch.since = std::strtoull(query_of(request.target, "since").c_str(), nullptr, 10);
        watch.until =
            loop_.read_clock() + std::atoll(query_of(request.target, "blockMs").c_str());
        watch.respond = std::move(respond);
        if (!answer(watch)) watches_.push_back(std::move(watch));
    }
    bool answer(const Watch& watch) {
        if (refused_.contains(watch.node)) return false;
        if (watch.since < forgotten_) {
            watch.respond(error(410, "too old"));
            return true;
        }
        std::string news;
        // The history is in order of the revision.
        auto it = std::upper_bound(
            history_.begin(), history_.end(), watch.since,
            [](std::uint64_t since, const Change& change) { return since < change.revision; });
        for (; it != history_.end(); ++it) {
            if (it->key.rfind(watch.prefix, 0) != 0) continue;
            if (!news.empty()) news += ",";
            if (it->value.empty()) {
                news += "{\"remove\":\"" + it->key + "\"";
            } else {
                news += "{\"set\":\"" + it->key + "\",\"value\":" + it->value;
            }
            news += ",\"timbro\":" + std::to_string(it->revision) + "}";
        }
        if (news.empty() && watch.until > loop_.read_clock()) return false;
        watch.respond(json_response(
            200, "{\"registro\":" + std::to_string(revision_) + ",\"news\":[" + news + "]}"));
        return true;
    }
    void wake_watches() {
        std::vector<Watch> waiting;
        waiting.swap(watches_);
        for (auto& watch : waiting) {
            if (!answer(watch)) watches_.push_back(std::move(watch));
        }
    }

    EventLoop& loop_;
    SocketBudget& budget_;
    Record& record_;
    Limits limits_;
    double requests_ = 0, writes_ = 0;
    Millis refilled_at_ = 0;
    std::vector<std::unique_ptr<HttpServer>> servers_;
    std::map<std::string, Key> keys_;
    std::deque<Change> history_;
    std::uint64_t forgotten_ = 0;  // changes up to this revision are not kept
    std::uint64_t revision_ = 1;
    std::map<std::uint64_t, Lease> leases_;
    std::uint64_t last_lease_ = 0;
    std::vector<Watch> watches_;
    std::set<std::size_t> refused_;
};

// ---- workers ----

// What the stand-in workers know of a job, as its user uploaded it.
struct UploadedJob {
    std::uint32_t tasks = 1;
    bool gang = false, service = false;
    double run_s = 5, cpus = 1, gpus = 0, mem_gb = 1, fetch_s = 0.2;
    bool mistake = false;  // submitted with a mistake: it fails on every machine
};

struct Machine {
    std::string name, type, zone, endpoint;
    bool spot = false, gone = false;
    Millis rented_at = 0, up_at = 0;
};

class Workers;

class Worker {
  public:
    struct Task {
        std::string name, job, state = "pulling", why;
        std::uint64_t attempt = 0;
        Millis since = 0;
    };
    Worker(Workers& all, Machine& machine);
    void start();
    std::string report();
    void direct(const HttpRequest& request, const Respond& respond);
    [[nodiscard]] const std::vector<Task>& tasks() const { return tasks_; }
    [[nodiscard]] bool gone() const { return machine_.gone; }
    [[nodiscard]] const Machine& machine() const { return machine_; }
    std::optional<double> notice_s;  // spot notice that the next reports carry
    bool sick = false;               // fails every task that it starts

  private:
    void beat();
    void on_answer(const HttpReply& reply, Millis sent_at, std::uint64_t session);
    void execute(const rapidjson::Value& body);
    void advance();
    void changed();

    Workers& all_;
    Machine& machine_;
    std::vector<Task> tasks_;
    std::uint64_t session_ = 1, seq_ = 0, token_ = 0;
    std::size_t node_ = 0;
    Millis leased_from_ = 0, next_beat_at_ = 0, last_beat_at_ = -1000;
    bool in_flight_ = false;
    std::uint64_t beat_ = 0;
};

class Workers {
  public:
    Workers(EventLoop& loop, SocketBudget& budget, HttpClient& client, Record& record,
            const Setup& setup)
        : loop(loop), budget(budget), client(client), record(record), setup(setup) {}
    Machine& add(const std::string& type, const std::string& zone, bool spot, Millis up_after) {
        auto machine = std::make_unique<Machine>();
        char name[32];
        std::snprintf(name, sizeof name, "host-%06zu", machines.size() + 1);
        machine->name = name;
        machine->type = type;
        machine->zone = zone;
        machine->spot = spot;
        machine->rented_at = loop.read_clock();
        machine->up_at = machine->rented_at + up_after;
        machine->endpoint = free_address();
        machines.push_back(std::move(machine));
        auto& added = *machines.back();
        workers.push_back(std::make_unique<Worker>(*this, added));
        auto* worker = workers.back().get();
        servers.push_back(std::make_unique<HttpServer>(
            loop, budget, HttpServer::Limits{64 << 10, 50},
            [worker](const HttpRequest& request, Respond respond) {
                worker->direct(request, respond);
            }));
        if (!servers.back()->listen(added.endpoint)) record.line("cannot listen for a machine");
        loop.after(up_after, [worker] { worker->start(); });
        return added;
    }
    // The worker that has this task in a state other than exited; null: none.
    [[nodiscard]] const Worker* worker_of(const std::string& task) const {
        for (const auto& worker : workers) {
            if (worker->gone()) continue;
            for (const auto& on : worker->tasks()) {
                if (on.name == task && on.state != "exited") return worker.get();
            }
        }
        return nullptr;
    }
    // Machines that run this task now, by the rule's meaning: from the image until the exit.
    [[nodiscard]] std::vector<std::string> machines_of(const std::string& task) const {
        std::vector<std::string> found;
        for (const auto& worker : workers) {
            if (worker->gone()) continue;
            for (const auto& on : worker->tasks()) {
                if (on.name == task && on.state != "pulling" && on.state != "exited")
                    found.push_back(worker->machine().name);
            }
        }
        return found;
    }

    EventLoop& loop;
    SocketBudget& budget;
    HttpClient& client;
    Record& record;
    const Setup& setup;
    std::vector<std::string> controllers;  // addresses for workers and users
    std::vector<std::string> members;
    std::map<std::string, UploadedJob> jobs;
    std::set<std::string> results;  // tasks that have completed; their results are kept
    std::vector<std::unique_ptr<Machine>> machines;
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<std::unique_ptr<HttpServer>> servers;
    std::size_t starts = 0;
};

inline Worker::Worker(Workers& all, Machine& machine) : all_(all), machine_(machine) {}

inline void Worker::start() {
    if (machine_.gone) return;
    leased_from_ = all_.loop.read_clock();
    node_ = static_cast<std::size_t>(std::hash<std::string>{}(machine_.name)) %
            all_.controllers.size();
    advance();
}

inline std::string Worker::report() {
    std::string tasks;
    for (const auto& task : tasks_) {
        if (!tasks.empty()) tasks += ",";
        tasks += "{\"prova\":\"" + task.name + "\",\"tentativo\":" + std::to_string(task.attempt) +
                 ",\"stato\":\"" + task.state + "\"";
        if (task.state == "exited") tasks += ",\"esito\":\"" + task.why + "\"";
        tasks += "}";
    }
    ++seq_;
    return "{\"banco\":\"" + machine_.name + "\",\"endpoint\":\"" + machine_.endpoint +
           "\",\"modello\":\"" + machine_.type + "\",\"sede\":\"" + machine_.zone +
           "\",\"inPrestito\":" + (machine_.spot ? "true" : "false") +
           ",\"turno\":" + std::to_string(session_) + ",\"protocollo\":" + std::to_string(seq_) +
           ",\"delega\":" + std::to_string(token_) + ",\"preavvisoS\":" +
           (notice_s ? std::to_string(*notice_s) : "null") + ",\"prove\":[" + tasks + "]}";
}

inline void Worker::changed() {
    next_beat_at_ = std::min(next_beat_at_, std::max(all_.loop.now(), last_beat_at_ + 500));
}

// Runs every 100 ms: the lease, the tasks and the next report.
inline void Worker::advance() {
    if (machine_.gone) {
        tasks_.clear();
        return;
    }
    const auto now = all_.loop.read_clock();
    if (now - leased_from_ > static_cast<Millis>(all_.setup.lease_s * 1000)) {
        if (!tasks_.empty()) {
            all_.record.line("%s: lease expired, %zu tasks killed", machine_.name.c_str(),
                             tasks_.size());
        }
        tasks_.clear();
        ++session_;
        leased_from_ = now;
        changed();
    }
    for (auto& task : tasks_) {
        const auto& job = all_.jobs[task.job];
        if (task.state == "pulling" && now - task.since >= static_cast<Millis>(job.fetch_s * 1000)) {
            ++all_.starts;
            task.since = now;
            task.state = "running";
            if (all_.results.contains(task.name)) task.state = "exited", task.why = "done";
            if (sick || job.mistake) {
                task.state = "exited", task.why = "error";
                all_.record.line("%s: %s failed", machine_.name.c_str(), task.name.c_str());
            }
            changed();
        } else if (task.state == "running" && !job.service &&
                   now - task.since >= static_cast<Millis>(job.run_s * 1000)) {
            task.state = "exited";
            task.why = "done";
            all_.results.insert(task.name);
            changed();
        }
    }
    if (!in_flight_ && now >= next_beat_at_) beat();
    all_.loop.after(100, [this] { advance(); });
}

inline void Worker::beat() {
    in_flight_ = true;
    const auto sent_at = all_.loop.read_clock();
    last_beat_at_ = sent_at;
    const auto varied = 0.75 + 0.5 * (std::rand() / static_cast<double>(RAND_MAX));
    next_beat_at_ = sent_at + static_cast<Millis>(all_.setup.report_s * 1000 * varied);
    all_.client.call(all_.controllers[node_], {"POST", "/agent/beat", report()}, 4000,
                     [this, sent_at, session = session_](const HttpReply& reply) {
                         in_flight_ = false;
                         on_answer(reply, sent_at, session);
                     });
}

inline void Worker::on_answer(const HttpReply& reply, Millis sent_at, std::uint64_t session) {
    if (machine_.gone) return;
    const auto next_node = [&] {
        node_ = (node_ + 1) % all_.controllers.size();
        next_beat_at_ = all_.loop.read_clock() + 1000;
    };
    Document body;
    if (reply.status == 200 && parse(reply.body, body)) {
        const auto token = number_of(body, "delega");
        if (session != session_ || token == 0 || token < token_) return;
        if (token > token_) changed();
        token_ = token;
        leased_from_ = std::max(leased_from_, sent_at);
        return execute(body);
    }
    if (reply.status == 421 && parse(reply.body, body)) {
        const auto to = string_of(body, "riferireA");
        for (std::size_t i = 0; i < all_.members.size(); ++i) {
            if (all_.members[i] != to || i == node_) continue;
            node_ = i;
            next_beat_at_ = all_.loop.read_clock() + 200;
            return;
        }
    }
    next_node();
}

inline void Worker::direct(const HttpRequest& request, const Respond& respond) {
    if (machine_.gone) return;  // a machine that is gone says nothing
    if (request.target == "/show") return respond(json_response(200, report()));
    Document body;
    if (!parse(request.body, body) || !body.HasMember("delega") || !body.HasMember("turno")) {
        return respond(json_response(400, "{}"));
    }
    const auto token = number_of(body, "delega");
    if (token < token_ || number_of(body, "turno") != session_) {
        return respond(json_response(409, report()));
    }
    if (token > token_) changed();
    token_ = token;
    execute(body);
    respond(json_response(200, report()));
}

inline void Worker::execute(const rapidjson::Value& body) {
    const auto* commands = list_of(body, "ordini");
    if (commands == nullptr) return;
    for (const auto& command : commands->GetArray()) {
        const auto kind = string_of(command, "ordine");
        const auto name = string_of(command, "prova");
        const auto attempt = number_of(command, "tentativo");
        const auto same = std::find_if(tasks_.begin(), tasks_.end(), [&](const Task& task) {
            return task.name == name && task.attempt == attempt;
        });
        if (kind == "reap") {
            if (same != tasks_.end() && same->state == "exited") tasks_.erase(same);
            continue;
        }
        if (kind == "halt") {
            if (same == tasks_.end() || same->state == "exited") continue;
            all_.record.line("%s: halt %s", machine_.name.c_str(), name.c_str());
            same->state = "exited";
            same->why = "halted";
            changed();
            continue;
        }
        if (kind != "run" || same != tasks_.end()) continue;
        Task task;
        task.name = name;
        task.job = name.substr(0, name.rfind('/'));
        task.attempt = attempt;
        task.since = all_.loop.read_clock();
        const bool other = std::any_of(tasks_.begin(), tasks_.end(), [&](const Task& on) {
            return on.name == name && on.state != "exited";
        });
        if (!all_.jobs.contains(task.job)) {
            task.state = "exited";
            task.why = "unknown";
        } else if (other) {
            task.state = "exited";
            task.why = "busy";
        }
        if (task.state != "exited") {
            all_.record.line("%s: run %s, attempt %llu", machine_.name.c_str(), name.c_str(),
                             static_cast<unsigned long long>(attempt));
        }
        tasks_.push_back(std::move(task));
        changed();
    }
}

// ---- cloud ----

class Cloud {
  public:
    Cloud(EventLoop& loop, SocketBudget& budget, Workers& workers, Record& record,
          const Setup& setup)
        : loop_(loop), workers_(workers), record_(record), setup_(setup),
          server_(loop, budget, HttpServer::Limits{64 << 10, 100},
                  [this](const HttpRequest& request, Respond respond) {
                      handle(request, respond);
                  }) {}
    std::string listen() {
        const auto address = free_address();
        return server_.listen(address) ? address : "";
    }
    Millis boot_ms = 2000;         // "at times machines are up within a second or two"
    std::size_t max_machines = 6;  // rented by the controllers, beyond those that are there

  private:
    void handle(const HttpRequest& request, const Respond& respond) {
        if (request.target == "/flavors") return flavors(respond);
        if (request.target == "/rentals") return rent(request, respond);
        if (request.target == "/rentals/return") return take_back(request, respond);
        list(request, respond);
    }
    void flavors(const Respond& respond) {
        std::string all;
        for (const auto& type : setup_.types) {
            std::string zones;
            for (const auto& zone : type.zones) zones += (zones.empty() ? "\"" : ",\"") + zone + "\"";
            std::ostringstream out;
            out << "{\"label\":\"" << type.name << "\",\"cpus\":" << type.cpus
                << ",\"gpus\":" << type.gpus << ",\"memGb\":" << type.mem_gb
                << ",\"localGb\":" << type.local_gb << ",\"fetchGbPerS\":" << type.fetch_gb_s
                << ",\"hourly\":" << type.hourly << ",\"lowPrice\":" << type.spot_hourly
                << ",\"startupS\":" << type.boot_s << ",\"sedi\":[" << zones << "]}";
            all += (all.empty() ? "" : ",") + out.str();
        }
        respond(json_response(200, "{\"modelli\":[" + all + "]}"));
    }
    void rent(const HttpRequest& request, const Respond& respond) {
        Document body;
        if (!parse(request.body, body)) return respond(json_response(400, "{\"error\":\"malformed\"}"));
        const auto name = string_of(body, "richiesta");
        if (const auto done = answered_.find(name); done != answered_.end()) {
            return respond(json_response(200, done->second));
        }
        std::string names;
        for (auto left = number_of(body, "number"); left > 0 && rented_ < max_machines; --left) {
            ++rented_;
            const auto& machine =
                workers_.add(string_of(body, "modello"), string_of(body, "sede"),
                             body.HasMember("inPrestito") && body["inPrestito"].IsTrue(), boot_ms);
            names += (names.empty() ? "\"" : ",\"") + machine.name + "\"";
        }
        if (names.empty()) return respond(json_response(503, "{\"error\":\"no capacity\"}"));
        record_.line("cloud: rented %s", names.c_str());
        answered_[name] = "{\"banchi\":[" + names + "]}";
        respond(json_response(200, answered_[name]));
    }
    void take_back(const HttpRequest& request, const Respond& respond) {
        Document body;
        const auto* names = parse(request.body, body) ? list_of(body, "banchi") : nullptr;
        if (names == nullptr) return respond(json_response(400, "{\"error\":\"malformed\"}"));
        for (const auto& name : names->GetArray()) {
            for (auto& machine : workers_.machines) {
                if (machine->gone || machine->name != name.GetString()) continue;
                record_.line("cloud: %s returned", machine->name.c_str());
                machine->gone = true;
            }
        }
        respond(json_response(200, "{}"));
    }
    // The list is delayed by list_lag_s: a machine is missing until then. One that is gone may stay
    // listed; this cloud omits it at once.
    void list(const HttpRequest& request, const Respond& respond) {
        const auto since = query_of(request.target, "since");
        const auto now = loop_.read_clock();
        std::string all;
        for (const auto& machine : workers_.machines) {
            const auto age = now - machine->rented_at;
            if (machine->gone || machine->name <= since) continue;
            if (age < static_cast<Millis>(setup_.list_lag_s * 1000)) continue;
            std::ostringstream out;
            out << "{\"nameId\":\"" << machine->name << "\",\"endpoint\":\"" << machine->endpoint
                << "\",\"modello\":\"" << machine->type << "\",\"sede\":\"" << machine->zone
                << "\",\"inPrestito\":" << (machine->spot ? "true" : "false") << ",\"stato\":\""
                << (now >= machine->up_at ? "running" : "starting")
                << "\",\"ageS\":" << static_cast<double>(age) / 1000 << "}";
            all += (all.empty() ? "" : ",") + out.str();
        }
        respond(json_response(200, "{\"banchi\":[" + all + "],\"more\":false}"));
    }

    EventLoop& loop_;
    Workers& workers_;
    Record& record_;
    const Setup& setup_;
    HttpServer server_;
    std::map<std::string, std::string> answered_;
    std::size_t rented_ = 0;
};

// ---- the whole region ----

struct Answer {
    int status = 0;
    std::string body, state;
};

class Region {
  public:
    // `folder`: folder of the case; the repository is two levels above it.
    Region(Setup setup, const std::filesystem::path& folder)
        : setup(std::move(setup)), record((folder / "record.txt").string()),
          repository_(std::filesystem::canonical(folder).parent_path().parent_path()),
          client(loop, budget), state(loop, budget, record, this->setup),
          workers(loop, budget, client, record, this->setup),
          cloud(loop, budget, workers, record, this->setup) {
        std::string pattern = (std::filesystem::temp_directory_path() / "region-XXXXXX").string();
        if (::mkdtemp(pattern.data()) != nullptr) directory_ = pattern;
        budget.max_sockets = 4000;
    }
    ~Region() {
        for (std::size_t node = 0; node < pids_.size(); ++node) kill(node);
        std::error_code ignored;
        if (!directory_.empty()) std::filesystem::remove_all(directory_, ignored);
    }
    Region(const Region&) = delete;
    Region& operator=(const Region&) = delete;

    // Writes the settings files and starts all controllers.
    bool start() {
        const auto cloud_address = cloud.listen();
        for (std::size_t node = 0; node < setup.controllers; ++node) {
            names_.push_back("cascina-" + std::to_string(node));
            users_.push_back(free_address());
            peers_.push_back(free_address());
            states_.push_back(state.listen(node));
        }
        pids_.assign(setup.controllers, -1);
        logs_.assign(setup.controllers, 0);
        workers.controllers = users_;
        workers.members = names_;
        for (std::size_t node = 0; node < setup.controllers; ++node) write_settings(node, cloud_address);
        for (std::size_t node = 0; node < setup.controllers; ++node) {
            if (!spawn(node)) return false;
        }
        return run_until([&] { return all_healthy(); }, 15'000);
    }
    bool spawn(std::size_t node) {
        const auto command = run_command();
        if (command.empty() || !std::filesystem::exists(repository_ / command.front())) return false;
        auto arguments = command;
        arguments.push_back(settings_file(node));
        const auto log = directory_ + "/" + names_[node] + "-" + std::to_string(logs_[node]++) + ".log";
        const pid_t pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // a controller never outlives the case
            const int out = ::open(log.c_str(), O_CREAT | O_WRONLY | O_TRUNC | O_CLOEXEC, 0600);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::setenv("LOG_LEVEL", setup.log_level.c_str(), 1);
            if (::chdir(repository_.c_str()) != 0) ::_exit(127);
            std::vector<char*> argv;
            for (auto& argument : arguments) argv.push_back(argument.data());
            argv.push_back(nullptr);
            ::execv(argv[0], argv.data());
            ::_exit(127);
        }
        pids_[node] = pid;
        record.line("controller %s started", names_[node].c_str());
        return pid > 0;
    }
    // Ends a controller without a signal that it could handle.
    void kill(std::size_t node) {
        if (pids_[node] <= 0) return;
        ::kill(pids_[node], SIGKILL);
        int status = 0;
        ::waitpid(pids_[node], &status, 0);
        pids_[node] = -1;
        record.line("controller %s killed", names_[node].c_str());
    }
    void signal(std::size_t node, int number) {
        if (pids_[node] > 0) ::kill(pids_[node], number);
        record.line("controller %s: signal %d", names_[node].c_str(), number);
    }
    // The status with which a controller has ended by itself, if it has.
    std::optional<int> ended(std::size_t node) {
        int status = 0;
        if (pids_[node] <= 0 || ::waitpid(pids_[node], &status, WNOHANG) != pids_[node]) {
            return std::nullopt;
        }
        pids_[node] = -1;
        return status;
    }
    bool run_until(const std::function<bool()>& condition, Millis timeout) {
        const auto until = EventLoop::steady_clock() + timeout;
        while (EventLoop::steady_clock() < until) {
            if (condition()) return true;
            loop.run_once(10);
        }
        return condition();
    }
    void run_for(Millis time) {
        run_until([] { return false; }, time);
    }
    // Sends a user's request to a controller and waits for the answer; status 0: none in time.
    Answer ask(std::size_t node, const std::string& method, const std::string& target,
               const std::string& body, Millis timeout, const std::string& note = "") {
        auto answer = std::make_shared<std::optional<Answer>>();
        client.call(users_[node], {method, target, body}, timeout, [answer](const HttpReply& reply) {
            Answer got{reply.status, reply.body, ""};
            Document document;
            if (parse(reply.body, document)) got.state = string_of(document, "stato");
            *answer = got;
        });
        run_until([&] { return answer->has_value(); }, timeout + 500);
        const auto result = answer->value_or(Answer{});
        if (target != "/healthz") {
            record.line("user -> %s: %s %s%s%s  =>  %d %s", names_[node].c_str(), method.c_str(),
                        target.c_str(), note.empty() ? "" : ", ", note.c_str(), result.status,
                        result.body.c_str());
        }
        return result;
    }
    Answer submit(std::size_t node, const std::string& body, const std::string& note = "") {
        return ask(node, "POST", "/v2/runs", body, 5000, note);
    }
    Answer poll(std::size_t node, const std::string& id) {
        return ask(node, "GET", "/v2/runs/" + id, "", 2000);
    }
    Answer cancel(std::size_t node, const std::string& id) {
        return ask(node, "POST", "/v2/runs/" + id + "/cancel", "", 5000);
    }
    // Repeats a request as a user does: after 1 s, for up to 60 s, until the answer is final.
    Answer insist(const std::function<Answer()>& request) {
        const auto until = EventLoop::steady_clock() + 60'000;
        for (;;) {
            const auto answer = request();
            const bool again = answer.status == 0 || answer.status == 429 || answer.status >= 500;
            if (!again || EventLoop::steady_clock() >= until) return answer;
            run_for(1000);
        }
    }
    bool all_healthy() {
        for (std::size_t node = 0; node < setup.controllers; ++node) {
            if (ask(node, "GET", "/healthz", "", 1000).status != 200) return false;
        }
        return true;
    }
    // The name of the leader, as stored; empty: none.
    std::string leader() const {
        for (const auto& [key, value] : state.values("leader")) {
            Document document;
            if (key == "leader" && parse(value, document)) return string_of(document, "m");
        }
        return "";
    }
    [[nodiscard]] const std::string& name(std::size_t node) const { return names_[node]; }
    [[nodiscard]] std::string log_of(std::size_t node) const {
        return directory_ + "/" + names_[node] + "-" + std::to_string(logs_[node] - 1) + ".log";
    }
    [[nodiscard]] pid_t pid(std::size_t node) const { return pids_[node]; }

    Setup setup;
    EventLoop loop;
    SocketBudget budget;
    Record record;

  private:
    // The command of the deploy file, split at spaces.
    std::vector<std::string> run_command() const {
        std::ifstream file(repository_ / "deploy" / "service.toml");
        std::vector<std::string> words;
        for (std::string line; std::getline(file, line);) {
            if (line.rfind("run = \"", 0) != 0) continue;
            std::istringstream text(line.substr(7, line.rfind('"') - 7));
            for (std::string word; text >> word;) words.push_back(word);
        }
        return words;
    }
    std::string settings_file(std::size_t node) const {
        return directory_ + "/" + names_[node] + ".toml";
    }
    void write_settings(std::size_t node, const std::string& cloud_address) const {
        std::ofstream out(settings_file(node));
        const auto zone = [&](std::size_t n) { return setup.zones[n % setup.zones.size()]; };
        out << "member = \"" << names_[node] << "\"\nlocation = \"" << zone(node)
            << "\"\nlisten = \"" << users_[node] << "\"\npeer_bind = \"" << peers_[node] << "\"\n";
        for (std::size_t peer = 0; peer < names_.size(); ++peer) {
            if (peer == node) continue;
            out << "[[siblings]]\nmember = \"" << names_[peer] << "\"\nlocation = \"" << zone(peer)
                << "\"\npeer_addr = \"" << peers_[peer] << "\"\n";
        }
        out << "[external]\ncloud = \"" << cloud_address << "\"\nstate = \"" << states_[node]
            << "\"\n[settings]\nsize = " << setup.controllers << "\nskew_ms = 250.0\nzones = [";
        for (const auto& name : setup.zones) out << "\"" << name << "\", ";
        out << "]\n[[settings.teams]]\nname = \"ufficio-esami\"\ncpus = 0.0\ncpus_max = 0.0\n"
            << "gpus = 40.0\ngpus_max = 120.0\n";
        out << std::fixed << "[settings.workers]\nreport_s = " << setup.report_s
            << "\nlease_s = " << setup.lease_s << "\ngang_wait_s = " << setup.gang_wait_s
            << "\ngang_peer_s = " << setup.gang_peer_s << "\ncancel_s = " << setup.cancel_s
            << "\n[settings.state]\nrps = " << setup.state_rps
            << "\nwrite_rps = " << setup.state_write_rps << "\nvalue_kb = " << setup.state_value_kb
            << "\ntxn_ops = " << setup.state_txn_ops << "\n";
        if (!setup.next_limits.empty()) {
            out << "[settings.state.next]\n" << setup.next_limits << "\n";
        }
        out << "[settings.cloud]\nrps = " << setup.cloud_rps
            << "\nlist_lag_s = " << setup.list_lag_s
            << "\n[settings.resources]\ncore_share = 0.08\nmem_mb = 56.0\nmax_connections = 1000\n";
    }

    std::filesystem::path repository_;
    std::string directory_;
    std::vector<std::string> names_, users_, peers_, states_;
    std::vector<pid_t> pids_;
    std::vector<std::size_t> logs_;

  public:
    HttpClient client;
    StateService state;
    Workers workers;
    Cloud cloud;
};

// ---- jobs ----

// A submission of one task of the small deployment's array class.
struct Job {
    std::string id, cls = "rielabora-punteggi", team = "ufficio-esami", kind = "sweep";
    std::string priority = "low", image = "img-07";
    std::uint32_t tasks = 1;
    double cpus = 10, gpus = 1, mem_gb = 36, image_gb = 6, estimate_s = 60, checkpoint_s = 10;
    std::vector<std::string> types;  // empty: any
};

inline std::string body_of(const Job& job) {
    std::string types;
    for (const auto& type : job.types) types += (types.empty() ? "\"" : ",\"") + type + "\"";
    std::ostringstream out;
    out << std::fixed;
    out.precision(1);
    out << "{\"nameId\":\"" << job.id << "\",\"classe\":\"" << job.cls << "\",\"ufficio\":\""
        << job.team << "\",\"genere\":\"" << job.kind << "\",\"urgenza\":\"" << job.priority
        << "\",\"prove\":" << job.tasks << ",\"cpus\":" << job.cpus << ",\"gpus\":" << job.gpus
        << ",\"memGb\":" << job.mem_gb << ",\"fascicolo\":\"" << job.image
        << "\",\"imageGb\":" << job.image_gb
        << ",\"modelli\":" << (job.types.empty() ? "null" : "[" + types + "]")
        << ",\"sede\":null,\"oneZone\":false,\"apart\":false,\"inPrestito\":true,\"durataS\":"
        << job.estimate_s
        << ",\"salvataggioOgniS\":" << job.checkpoint_s << ",\"salvataggioS\":2.0,\"scadenzaS\":null}";
    return out.str();
}

// Whether the disruption of the case takes place (TROUBLE=0: not).
inline bool trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

}  // namespace region
