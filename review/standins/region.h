// Stand-ins for the review cases: state service, cloud, workers and users on loopback, and the
// controllers as real processes. One thread a connection and blocking sockets: small loads only.
// They follow the protocol page; a case changes their behaviour with the hooks that it sets.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

// ---- time and the record ----

inline double now_s() {
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}
inline void sleep_s(double seconds) {
    if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline bool wait_until(const std::function<bool()>& condition, double timeout_s) {
    for (const double end = now_s() + timeout_s; now_s() < end; sleep_s(0.01)) {
        if (condition()) return true;
    }
    return condition();
}

// What was sent, answered and run, one event a line.
class Record {
  public:
    explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {}
    __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
        std::scoped_lock lock(mutex_);
        if (file_ == nullptr) return;
        std::fprintf(file_, "%9.3f ", now_s());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

  private:
    std::mutex mutex_;
    std::FILE* file_;
};

// ---- JSON ----

inline std::string text_of(const rapidjson::Value& value) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    value.Accept(writer);
    return buffer.GetString();
}
inline std::string json_text(const std::string& text) {
    rapidjson::Value value(rapidjson::StringRef(text.data(), text.size()));
    return text_of(value);
}
inline std::string field(const std::string& body, const char* name) {
    rapidjson::Document document;
    document.Parse(body.c_str());
    if (document.HasParseError() || !document.IsObject() || !document.HasMember(name)) return "";
    return document[name].IsString() ? document[name].GetString() : text_of(document[name]);
}

// ---- HTTP ----

struct Request {
    std::string method, target, body;
};
struct Response {
    int status = 200;
    std::string body = "{}";
};

// Reads one message; returns its first line and body, or nothing if the connection ends.
inline bool read_message(int fd, std::string& buffer, std::string& first_line, std::string& body,
                         double timeout_s) {
    const double end = now_s() + timeout_s;
    const auto more = [&] {
        const double left = end - now_s();
        pollfd waiting{fd, POLLIN, 0};
        if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left * 1000) + 1) <= 0) return false;
        char chunk[16384];
        const auto got = ::recv(fd, chunk, sizeof chunk, 0);
        if (got <= 0) return false;
        buffer.append(chunk, static_cast<std::size_t>(got));
        return true;
    };
    std::size_t head = std::string::npos;
    while ((head = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!more()) return false;
    }
    std::size_t length = 0;
    std::istringstream lines(buffer.substr(0, head));
    std::getline(lines, first_line);
    for (std::string line; std::getline(lines, line);) {
        if (::strncasecmp(line.c_str(), "content-length:", 15) == 0) {
            length = std::strtoul(line.c_str() + 15, nullptr, 10);
        }
    }
    while (buffer.size() < head + 4 + length) {
        if (!more()) return false;
    }
    body = buffer.substr(head + 4, length);
    buffer.erase(0, head + 4 + length);
    return true;
}
inline bool send_all(int fd, const std::string& bytes) {
    for (std::size_t at = 0; at < bytes.size();) {
        const auto sent = ::send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
        if (sent <= 0) return false;
        at += static_cast<std::size_t>(sent);
    }
    return true;
}
inline sockaddr_in socket_address(const std::string& address) {
    const auto colon = address.find(':');
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
    return out;
}
// Binds to a free port of 127.0.0.1 and returns the address.
inline std::string bind_free(int fd) {
    auto address = socket_address("127.0.0.1:0");
    socklen_t size = sizeof address;
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0) std::_Exit(2);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}
// A free address for another process that sets SO_REUSEADDR: this one keeps it bound, but does not
// listen there, so that nobody else gets it.
inline std::string free_address() {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    return bind_free(fd);
}

// Serves until the process ends. A handler that returns nothing closes the connection unanswered.
class Server {
  public:
    using Handler = std::function<std::optional<Response>(const Request&)>;
    explicit Server(Handler handle) : handle_(std::move(handle)) {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        address_ = bind_free(fd_);
        ::listen(fd_, 512);
        std::thread([this] {
            for (;;) {
                const int client = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
                if (client < 0) continue;
                std::thread([this, client] { serve(client); }).detach();
            }
        }).detach();
    }
    [[nodiscard]] const std::string& address() const { return address_; }

  private:
    void serve(int fd) {
        const int one = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        std::string buffer, first_line;
        for (Request request; read_message(fd, buffer, first_line, request.body, 3600);) {
            std::istringstream(first_line) >> request.method >> request.target;
            const auto response = handle_(request);
            if (!response) break;
            const auto text = "HTTP/1.1 " + std::to_string(response->status) +
                              " X\r\nContent-Type: application/json\r\nContent-Length: " +
                              std::to_string(response->body.size()) + "\r\n\r\n" + response->body;
            if (!send_all(fd, text)) break;
        }
        ::close(fd);
    }
    Handler handle_;
    int fd_ = -1;
    std::string address_;
};

// One request on a connection of its own. Status 0: no response in time, or no connection.
inline Response call(const std::string& address, const std::string& method,
                     const std::string& target, const std::string& body, double timeout_s) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto to = socket_address(address);
    Response response{0, ""};
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) {
        std::string buffer, first_line, answer;
        const auto text = method + " " + target + " HTTP/1.1\r\nHost: " + address +
                          "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        if (send_all(fd, text) && read_message(fd, buffer, first_line, answer, timeout_s)) {
            response = {std::atoi(first_line.c_str() + 9), answer};
        }
    }
    ::close(fd);
    return response;
}
inline std::string query(const std::string& target, const std::string& name) {
    const auto mark = target.find('?');
    std::istringstream pairs(mark == std::string::npos ? "" : target.substr(mark + 1));
    for (std::string pair; std::getline(pairs, pair, '&');) {
        if (pair.starts_with(name + "=")) return pair.substr(name.size() + 1);
    }
    return "";
}

// ---- the state service ----

class StateService {
  public:
    // Called before a request is carried out and again before it is answered, outside of the lock.
    using Hook = std::function<void(std::size_t node, const Request&)>;
    Hook before, after;
    std::atomic<double> max_value_kb{8};
    std::atomic<int> max_operations{12};

    explicit StateService(std::size_t nodes) {
        for (std::size_t node = 0; node < nodes; ++node) {
            servers_.push_back(std::make_unique<Server>([this, node](const Request& request) {
                if (before) before(node, request);
                auto response = handle(request);
                if (after) after(node, request);
                return std::optional(response);
            }));
        }
        std::thread([this] {
            for (;; sleep_s(0.02)) expire_leases();
        }).detach();
    }
    [[nodiscard]] const std::string& address(std::size_t node) const {
        return servers_[node]->address();
    }
    std::string value(const std::string& key) {
        std::scoped_lock lock(mutex_);
        const auto it = keys_.find(key);
        return it == keys_.end() ? "" : it->second.value;
    }

  private:
    struct Entry {
        std::string value;
        std::uint64_t revision = 0, lease = 0;
    };
    struct Change {
        std::string key, value;
        std::uint64_t revision;
    };
    struct Lease {
        double ttl_s, ends_at;
    };

    void set(const std::string& key, const std::string& value, std::uint64_t lease) {
        if (value.empty()) {
            keys_.erase(key);
        } else {
            keys_[key] = {value, revision_, lease};
        }
        changes_.push_back({key, value, revision_});
        if (changes_.size() > 10'000) changes_.pop_front();
        changed_.notify_all();
    }
    void end_lease(std::uint64_t lease) {
        leases_.erase(lease);
        std::vector<std::string> ended;
        for (const auto& [key, entry] : keys_) {
            if (entry.lease == lease) ended.push_back(key);
        }
        if (!ended.empty()) ++revision_;
        for (const auto& key : ended) set(key, "", 0);
    }
    void expire_leases() {
        std::scoped_lock lock(mutex_);
        std::vector<std::uint64_t> ended;
        for (const auto& [id, lease] : leases_) {
            if (lease.ends_at <= now_s()) ended.push_back(id);
        }
        for (const auto id : ended) end_lease(id);
    }
    std::string revision_field() const { return "\"registro\":" + std::to_string(revision_); }
    static std::string item(const std::string& key, const Entry& entry) {
        return "{\"path\":" + json_text(key) + ",\"value\":" + entry.value +
               ",\"timbro\":" + std::to_string(entry.revision) + "}";
    }

    Response handle(const Request& request) {
        std::unique_lock lock(mutex_);
        const auto& target = request.target;
        if (target.starts_with("/store/")) {
            const auto it = keys_.find(target.substr(7));
            if (it == keys_.end()) return {404, "{" + revision_field() + "}"};
            return {200, item(it->first, it->second)};
        }
        if (target.starts_with("/store?")) return list(target);
        if (target.starts_with("/watch?")) return watch(target, lock);
        rapidjson::Document body;
        if (!request.body.empty()) body.Parse(request.body.c_str());
        if (body.HasParseError()) return {400, "{\"error\":\"malformed\"}"};
        if (target == "/grants") {
            const double ttl_s = static_cast<double>(body["ttlMs"].GetUint64()) / 1000;
            leases_[++last_lease_] = {ttl_s, now_s() + ttl_s};
            return {200, "{\"concessione\":" + std::to_string(last_lease_) + "}"};
        }
        if (target.starts_with("/grants/")) {
            const auto id = std::strtoull(target.c_str() + 8, nullptr, 10);
            const auto it = leases_.find(id);
            if (it == leases_.end()) return {404, "{}"};
            if (request.method == "DELETE") {
                end_lease(id);
            } else {
                it->second.ends_at = now_s() + it->second.ttl_s;
            }
            return {200, "{\"concessione\":" + std::to_string(id) + "}"};
        }
        if (target == "/txn") return transact(body);
        return {400, "{\"error\":\"malformed\"}"};
    }
    Response list(const std::string& target) const {
        const auto prefix = query(target, "prefix"), since = query(target, "since");
        const auto wanted = query(target, "limit");
        const std::size_t limit = wanted.empty() ? 1000 : std::stoul(wanted);
        std::string items;
        std::size_t count = 0;
        bool more = false;
        for (auto it = since.empty() ? keys_.lower_bound(prefix) : keys_.upper_bound(since);
             it != keys_.end() && it->first.starts_with(prefix); ++it) {
            if (count == std::min<std::size_t>(limit, 1000) || items.size() > 500'000) {
                more = true;
                break;
            }
            items += (count++ == 0 ? "" : ",") + item(it->first, it->second);
        }
        return {200, "{\"items\":[" + items + "],\"more\":" + (more ? "true" : "false") + "," +
                         revision_field() + "}"};
    }
    Response watch(const std::string& target, std::unique_lock<std::mutex>& lock) {
        const auto prefix = query(target, "prefix");
        const auto since = std::stoull(query(target, "since"));
        const auto block = query(target, "blockMs");
        const double end = now_s() + (block.empty() ? 0 : std::stod(block) / 1000);
        for (;;) {
            if (changes_.size() == 10'000 && since < changes_.front().revision) return {410, "{}"};
            std::string news;
            auto it = std::partition_point(changes_.begin(), changes_.end(), [&](const auto& c) {
                return c.revision <= since;
            });
            for (; it != changes_.end(); ++it) {
                if (!it->key.starts_with(prefix)) continue;
                news += news.empty() ? "{" : ",{";
                news += it->value.empty()
                            ? "\"remove\":" + json_text(it->key)
                            : "\"set\":" + json_text(it->key) + ",\"value\":" + it->value;
                news += ",\"timbro\":" + std::to_string(it->revision) + "}";
            }
            const double left = end - now_s();
            if (!news.empty() || left <= 0) {
                return {200, "{" + revision_field() + ",\"news\":[" + news + "]}"};
            }
            changed_.wait_for(lock, std::chrono::duration<double>(left));
        }
    }
    Response transact(const rapidjson::Document& body) {
        static const rapidjson::Value none(rapidjson::kArrayType);
        const auto& then = body.HasMember("then") ? body["then"] : none;
        const auto& when = body.HasMember("when") ? body["when"] : none;
        if (static_cast<int>(then.Size()) > max_operations) return {400, "{\"error\":\"too many\"}"};
        for (const auto& change : then.GetArray()) {
            if (change.HasMember("concessione") &&
                !leases_.contains(change["concessione"].GetUint64())) {
                return {400, "{\"error\":\"no such lease\"}"};
            }
            if (change.HasMember("value") &&
                static_cast<double>(text_of(change["value"]).size()) > max_value_kb * 1024) {
                return {400, "{\"error\":\"value too large\"}"};
            }
        }
        std::string failed;
        for (const auto& condition : when.GetArray()) {
            const std::string key = condition["path"].GetString();
            const auto it = keys_.find(key);
            const auto revision = it == keys_.end() ? 0 : it->second.revision;
            if (revision != condition["timbro"].GetUint64()) {
                failed += (failed.empty() ? "" : ",") + json_text(key);
            }
        }
        if (!failed.empty()) return {409, "{\"failed\":[" + failed + "]," + revision_field() + "}"};
        if (!then.Empty()) ++revision_;
        for (const auto& change : then.GetArray()) {
            if (change.HasMember("set")) {
                set(change["set"].GetString(), text_of(change["value"]),
                    change.HasMember("concessione") ? change["concessione"].GetUint64() : 0);
            } else {
                set(change["remove"].GetString(), "", 0);
            }
        }
        return {200, "{" + revision_field() + "}"};
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 0, last_lease_ = 0;
    std::map<std::string, Entry> keys_;
    std::deque<Change> changes_;
    std::map<std::uint64_t, Lease> leases_;
    std::vector<std::unique_ptr<Server>> servers_;
};

// ---- jobs ----

// A job as its user submits it; `run_s` is the true run time of a task.
struct Job {
    std::string id, cls, team, kind = "sweep", priority = "normal", image = "img-1";
    unsigned tasks = 1;
    double cpus = 1, gpus = 0, memory_gb = 1, run_s = 5;
    bool one_zone = false, apart = false, spot = true;
    std::vector<std::string> types{};
    std::optional<std::string> zone{};

    [[nodiscard]] std::string body() const {
        std::ostringstream out;
        out << "{\"nameId\":" << json_text(id) << ",\"classe\":" << json_text(cls)
            << ",\"ufficio\":" << json_text(team) << ",\"genere\":" << json_text(kind)
            << ",\"urgenza\":" << json_text(priority) << ",\"prove\":" << tasks
            << ",\"cpus\":" << cpus << ",\"gpus\":" << gpus << ",\"memGb\":" << memory_gb
            << ",\"fascicolo\":" << json_text(image) << ",\"imageGb\":1.0,\"modelli\":";
        if (types.empty()) out << "null";
        for (std::size_t i = 0; i < types.size(); ++i) out << (i == 0 ? "[" : ",") << json_text(types[i]);
        out << (types.empty() ? "" : "]") << ",\"sede\":" << (zone ? json_text(*zone) : "null")
            << ",\"oneZone\":" << (one_zone ? "true" : "false")
            << ",\"apart\":" << (apart ? "true" : "false")
            << ",\"inPrestito\":" << (spot ? "true" : "false")
            << ",\"durataS\":" << (kind == "service" ? 0 : run_s)
            << ",\"salvataggioOgniS\":0.0,\"salvataggioS\":0.0,\"scadenzaS\":null}";
        return out.str();
    }
};

// The jobs that users have uploaded, from which workers fetch the descriptions.
class Jobs {
  public:
    void add(const Job& job) {
        std::scoped_lock lock(mutex_);
        jobs_[job.id] = job;
    }
    std::optional<Job> find(const std::string& id) {
        std::scoped_lock lock(mutex_);
        const auto it = jobs_.find(id);
        return it == jobs_.end() ? std::nullopt : std::optional(it->second);
    }

    // How many tasks of an attempt of a gang are on machines and have their image.
    unsigned change_gathered(const std::string& id, std::uint64_t attempt, int change) {
        std::scoped_lock lock(mutex_);
        return gathered_[{id, attempt}] += static_cast<unsigned>(change);
    }

  private:
    std::mutex mutex_;
    std::map<std::string, Job> jobs_;
    std::map<std::pair<std::string, std::uint64_t>, unsigned> gathered_;
};

// ---- workers ----

constexpr double kGangPeerS = 4;

struct WorkerTimes {
    double report_s = 1.5, lease_s = 10, fetch_s = 0.5;
};

class Worker {
  public:
    std::atomic<bool> fails_tasks{false};  // tasks that it starts from now on fail
    std::atomic<bool> hangs{false};
    std::atomic<double> taken_at{-1};  // when the cloud takes the machine back; -1: no notice

    Worker(std::string name, std::string type, std::string zone, bool spot, WorkerTimes times,
           std::vector<std::string> nodes, std::vector<std::string> members, Jobs& jobs,
           Record& record)
        : name_(std::move(name)), type_(std::move(type)), zone_(std::move(zone)), spot_(spot),
          times_(times), nodes_(std::move(nodes)), members_(std::move(members)), jobs_(jobs),
          record_(record),
          server_([this](const Request& request) { return on_direct(request); }) {}
    void boot() {
        up_ = true;
        acknowledged_at_ = now_s();
        record_.line("machine %s is up in %s", name_.c_str(), zone_.c_str());
        std::thread([this] {
            for (; !gone_; sleep_s(0.02)) tick();
        }).detach();
        std::thread([this] {
            for (; !gone_; sleep_s(0.01)) report_if_due();
        }).detach();
    }
    void remove() {
        gone_ = true;
        std::scoped_lock lock(mutex_);
        for (auto& task : tasks_) {
            if (task.state != "exited") exit_task(task, "machine gone");
        }
        tasks_.clear();
    }
    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] bool spot() const { return spot_; }
    [[nodiscard]] bool up() const { return up_ && !gone_; }
    [[nodiscard]] const std::string& address() const { return server_.address(); }
    // The state of the newest attempt of a task here; empty: it is not here.
    std::string state_of(const std::string& job, unsigned task) {
        std::scoped_lock lock(mutex_);
        for (auto it = tasks_.rbegin(); it != tasks_.rend(); ++it) {
            if (it->job == job && it->task == task) return it->state + (it->why.empty() ? "" : " " + it->why);
        }
        return "";
    }
    // Resources that the tasks here leave free.
    std::pair<double, double> used() {
        std::scoped_lock lock(mutex_);
        double cpus = 0, gpus = 0;
        for (const auto& task : tasks_) {
            if (task.state == "exited") continue;
            cpus += task.description.cpus;
            gpus += task.description.gpus;
        }
        return {cpus, gpus};
    }

  private:
    struct Task {
        std::string job;
        unsigned task = 0;
        std::uint64_t attempt = 0;
        std::string state, why;
        double ready_at = 0, ends_at = 0;
        bool fails = false, gathered = false;
        double alone_since = -1;
        Job description;
        [[nodiscard]] std::string name() const { return job + "/" + std::to_string(task); }
    };

    std::string report() {  // with the lock held
        std::ostringstream out;
        out << "{\"banco\":" << json_text(name_) << ",\"endpoint\":" << json_text(address())
            << ",\"modello\":" << json_text(type_) << ",\"sede\":" << json_text(zone_)
            << ",\"inPrestito\":" << (spot_ ? "true" : "false") << ",\"turno\":" << session_
            << ",\"protocollo\":" << ++sequence_ << ",\"delega\":" << token_
            << ",\"preavvisoS\":";
        if (taken_at < 0) {
            out << "null";
        } else {
            out << std::max(0.0, taken_at - now_s());
        }
        out << ",\"prove\":[";
        for (std::size_t i = 0; i < tasks_.size(); ++i) {
            const auto& task = tasks_[i];
            out << (i == 0 ? "" : ",") << "{\"prova\":" << json_text(task.name())
                << ",\"tentativo\":" << task.attempt << ",\"stato\":" << json_text(task.state);
            if (task.state == "exited") out << ",\"esito\":" << json_text(task.why);
            out << "}";
        }
        out << "]}";
        return out.str();
    }
    void exit_task(Task& task, const std::string& why) {
        if (task.gathered) jobs_.change_gathered(task.job, task.attempt, -1);
        task.gathered = false;
        task.state = "exited";
        task.why = why;
        changed_ = true;
        record_.line("run  %s exits on %s: %s", task.name().c_str(), name_.c_str(), why.c_str());
    }
    void execute(const rapidjson::Document& body, const char* from) {
        if (!body.HasMember("ordini")) return;
        for (const auto& order : body["ordini"].GetArray()) {
            const std::string op = order["ordine"].GetString(), name = order["prova"].GetString();
            const auto attempt = order["tentativo"].GetUint64();
            record_.line("cmd  %s %s attempt %llu to %s %s", op.c_str(), name.c_str(),
                         static_cast<unsigned long long>(attempt), name_.c_str(), from);
            if (op == "run") {
                start(name, attempt);
            } else if (op == "halt") {
                for (auto& task : tasks_) {
                    if (task.name() != name || task.attempt != attempt) continue;
                    if (task.state != "exited") exit_task(task, "halted");
                }
            } else {
                std::erase_if(tasks_, [&](const Task& task) {
                    return task.state == "exited" && task.name() == name && task.attempt == attempt;
                });
            }
        }
    }
    void start(const std::string& name, std::uint64_t attempt) {
        Task task;
        const auto slash = name.rfind('/');
        task.job = name.substr(0, slash);
        task.task = static_cast<unsigned>(std::stoul(name.substr(slash + 1)));
        task.attempt = attempt;
        bool busy = false;
        for (const auto& other : tasks_) {
            if (other.name() != name) continue;
            if (other.attempt == attempt) return;
            busy |= other.state != "exited";
        }
        const auto job = jobs_.find(task.job);
        if (job) task.description = *job;
        task.fails = fails_tasks;
        task.state = "pulling";
        task.ready_at = now_s() + (images_.contains(task.description.image) ? 0 : times_.fetch_s);
        tasks_.push_back(task);
        changed_ = true;
        if (!job || task.task >= job->tasks) return exit_task(tasks_.back(), "unknown");
        if (busy) return exit_task(tasks_.back(), "busy");
    }
    void tick() {
        if (hangs) return;
        std::scoped_lock lock(mutex_);
        if (now_s() - acknowledged_at_ > times_.lease_s) {
            for (auto& task : tasks_) {
                if (task.state != "exited") exit_task(task, "lease over");
            }
            tasks_.clear();
            ++session_;
            acknowledged_at_ = now_s();
            changed_ = true;
        }
        for (auto& task : tasks_) {
            if (task.state == "pulling" && now_s() >= task.ready_at) {
                images_.insert(task.description.image);
                task.state = "gathering";
                task.gathered = true;
                jobs_.change_gathered(task.job, task.attempt, 1);
                changed_ = true;
            }
            const bool gang = task.description.kind == "ensemble";
            const bool complete = !gang || (task.gathered && jobs_.change_gathered(task.job, task.attempt, 0) == task.description.tasks);
            if (task.state == "gathering" && complete) {
                task.state = "running";
                task.ends_at = now_s() + (task.fails ? 1 : task.description.run_s);
                changed_ = true;
                record_.line("run  %s starts on %s", task.name().c_str(), name_.c_str());
            }
            if (task.state == "running" && complete) task.alone_since = -1;
            if (task.state == "running" && !complete && task.ends_at > now_s()) {
                if (task.alone_since < 0) task.alone_since = now_s();
                if (now_s() - task.alone_since > kGangPeerS) exit_task(task, "peers");
            }
            const bool ends = task.fails || task.description.kind != "service";
            if (task.state == "running" && ends && now_s() >= task.ends_at) {
                exit_task(task, task.fails ? "error" : "done");
            }
        }
    }
    std::optional<Response> on_direct(const Request& request) {
        while (hangs && !gone_) sleep_s(0.02);
        if (!up()) return std::nullopt;
        std::scoped_lock lock(mutex_);
        if (request.target == "/show") return Response{200, report()};
        rapidjson::Document body;
        body.Parse(request.body.c_str());
        if (body.HasParseError() || !body.HasMember("delega") || !body.HasMember("turno")) {
            return Response{400, "{}"};
        }
        const auto token = body["delega"].GetUint64();
        if (token < token_ || body["turno"].GetUint64() != session_) return Response{409, report()};
        changed_ |= token > token_;
        token_ = token;
        execute(body, "directly");
        return Response{200, report()};
    }
    void report_if_due() {
        if (hangs) return;
        std::string body;
        std::uint64_t session = 0;
        const double sent = now_s();
        {
            std::scoped_lock lock(mutex_);
            const bool due = sent >= next_report_at_ || (changed_ && sent - reported_at_ >= 0.5);
            if (!due || sent < not_before_) return;
            changed_ = false;
            reported_at_ = sent;
            next_report_at_ = sent + times_.report_s;
            session = session_;
            body = report();
        }
        const auto answer = call(nodes_[node_], "POST", "/agent/beat", body, 4);
        while (hangs && !gone_) sleep_s(0.02);
        if (gone_) return;
        tick();  // the lease is looked at before an answer counts
        std::scoped_lock lock(mutex_);
        if (session != session_) return;
        if (answer.status != 200) {
            const auto to = std::find(members_.begin(), members_.end(), field(answer.body, "riferireA"));
            const bool named = answer.status == 421 && to != members_.end() &&
                               static_cast<std::size_t>(to - members_.begin()) != node_;
            node_ = named ? static_cast<std::size_t>(to - members_.begin()) : (node_ + 1) % nodes_.size();
            not_before_ = now_s() + (named ? 0 : 1);
            next_report_at_ = not_before_;
            return;
        }
        rapidjson::Document document;
        document.Parse(answer.body.c_str());
        if (document.HasParseError() || !document.HasMember("delega")) return;
        if (document["delega"].GetUint64() < token_ || now_s() - sent > 4) return;
        changed_ |= document["delega"].GetUint64() > token_;
        token_ = document["delega"].GetUint64();
        acknowledged_at_ = std::max(acknowledged_at_, sent);
        execute(document, "in the answer to a report");
    }

    std::string name_, type_, zone_;
    bool spot_;
    WorkerTimes times_;
    std::vector<std::string> nodes_, members_;
    Jobs& jobs_;
    Record& record_;
    std::atomic<bool> up_{false}, gone_{false};
    std::mutex mutex_;
    std::vector<Task> tasks_;
    std::set<std::string> images_;
    std::uint64_t session_ = 1, sequence_ = 0, token_ = 0;
    std::size_t node_ = 0;
    bool changed_ = false;
    double acknowledged_at_ = 0, reported_at_ = 0, next_report_at_ = 0, not_before_ = 0;
    Server server_;
};

// ---- the cloud ----

struct Flavor {
    std::string name;
    double cpus, gpus, memory_gb, startup_s, hourly, low_price;
    std::vector<std::string> zones;
};

class Cloud {
  public:
    using MakeWorker = std::function<std::unique_ptr<Worker>(
        const std::string& name, const std::string& type, const std::string& zone, bool spot)>;
    // Machines that it can give at the same time, by type, zone and kind (spot or not).
    std::map<std::tuple<std::string, std::string, bool>, int> capacity;

    Cloud(std::vector<Flavor> flavors, double list_lag_s, MakeWorker make, Record& record)
        : flavors_(std::move(flavors)), list_lag_s_(list_lag_s), make_(std::move(make)),
          record_(record),
          server_([this](const Request& request) { return std::optional(handle(request)); }) {}
    [[nodiscard]] const std::string& address() const { return server_.address(); }
    // Adds a machine that was rented long ago and is up.
    Worker& add_machine(const std::string& type, const std::string& zone, bool spot) {
        std::scoped_lock lock(mutex_);
        char id[32];
        std::snprintf(id, sizeof id, "host-%06d", ++last_machine_);
        auto& machine = machines_[id];
        machine = {type, zone, spot, now_s() - 600, now_s() - 540, -1, make_(id, type, zone, spot)};
        machine.worker->boot();
        return *machine.worker;
    }
    // Takes a machine back.
    void take(const std::string& name) {
        std::scoped_lock lock(mutex_);
        auto& machine = machines_.at(name);
        if (machine.gone_at >= 0) return;
        machine.gone_at = now_s();
        machine.worker->remove();
    }
    // The machines that exist.
    std::vector<Worker*> machines() {
        std::scoped_lock lock(mutex_);
        std::vector<Worker*> out;
        for (auto& [name, machine] : machines_) {
            if (machine.gone_at < 0) out.push_back(machine.worker.get());
        }
        return out;
    }

  private:
    struct Machine {
        std::string type, zone;
        bool spot = false;
        double rented_at = 0, up_at = 0, gone_at = -1;
        std::unique_ptr<Worker> worker;
    };

    Response handle(const Request& request) {
        std::scoped_lock lock(mutex_);
        rapidjson::Document body;
        if (!request.body.empty()) body.Parse(request.body.c_str());
        if (request.target == "/flavors") return flavors();
        if (request.method == "GET") return list(request.target);
        if (request.target == "/rentals/return") {
            for (const auto& name : body["banchi"].GetArray()) {
                const auto it = machines_.find(name.GetString());
                if (it == machines_.end() || it->second.gone_at >= 0) continue;
                record_.line("cloud %s is returned", name.GetString());
                it->second.gone_at = now_s();
                it->second.worker->remove();
            }
            return {};
        }
        return rent(body);
    }
    Response flavors() const {
        std::ostringstream out;
        for (const auto& flavor : flavors_) {
            out << (out.tellp() == 0 ? "" : ",") << "{\"label\":" << json_text(flavor.name)
                << ",\"cpus\":" << flavor.cpus << ",\"gpus\":" << flavor.gpus
                << ",\"memGb\":" << flavor.memory_gb << ",\"localGb\":100.0,\"fetchGbPerS\":1.0"
                << ",\"hourly\":" << flavor.hourly << ",\"lowPrice\":" << flavor.low_price
                << ",\"startupS\":" << flavor.startup_s << ",\"sedi\":[";
            for (std::size_t i = 0; i < flavor.zones.size(); ++i) {
                out << (i == 0 ? "" : ",") << json_text(flavor.zones[i]);
            }
            out << "]}";
        }
        return {200, "{\"modelli\":[" + out.str() + "]}"};
    }
    Response list(const std::string& target) const {
        const auto since = query(target, "since");
        const auto wanted = query(target, "limit");
        const std::size_t limit = wanted.empty() ? 500 : std::stoul(wanted);
        const double at = now_s() - list_lag_s_;
        std::ostringstream out;
        std::size_t count = 0;
        bool more = false;
        for (auto it = machines_.upper_bound(since); it != machines_.end(); ++it) {
            const auto& machine = it->second;
            if (machine.rented_at > at || (machine.gone_at >= 0 && machine.gone_at <= at)) continue;
            if (count == limit) {
                more = true;
                break;
            }
            out << (count++ == 0 ? "" : ",") << "{\"nameId\":" << json_text(it->first)
                << ",\"endpoint\":" << json_text(machine.worker->address())
                << ",\"modello\":" << json_text(machine.type) << ",\"sede\":" << json_text(machine.zone)
                << ",\"inPrestito\":" << (machine.spot ? "true" : "false")
                << ",\"stato\":\"" << (machine.up_at <= at ? "running" : "starting")
                << "\",\"ageS\":" << at - machine.rented_at << "}";
        }
        return {200, "{\"banchi\":[" + out.str() + "],\"more\":" + (more ? "true" : "false") + "}"};
    }
    Response rent(const rapidjson::Document& body) {
        const std::string name = body["richiesta"].GetString(), type = body["modello"].GetString(),
                          zone = body["sede"].GetString();
        const bool spot = body["inPrestito"].GetBool();
        auto& answer = rentals_[name];
        if (answer.empty()) {
            int left = capacity[{type, zone, spot}];
            for (const auto& [other, machine] : machines_) {
                left -= machine.gone_at < 0 && machine.type == type && machine.zone == zone &&
                        machine.spot == spot;
            }
            const auto count = std::min(left, body["number"].GetInt());
            if (count <= 0) {
                record_.line("cloud %s: no capacity for %s in %s spot %d", name.c_str(),
                             type.c_str(), zone.c_str(), spot);
                rentals_.erase(name);
                return {503, "{\"error\":\"no capacity\"}"};
            }
            for (int i = 0; i < count; ++i) {
                char id[32];
                std::snprintf(id, sizeof id, "host-%06d", ++last_machine_);
                auto& machine = machines_[id];
                machine = {type, zone, spot, now_s(), 0, -1, make_(id, type, zone, spot)};
                for (const auto& flavor : flavors_) {
                    if (flavor.name == type) machine.up_at = now_s() + flavor.startup_s;
                }
                record_.line("cloud %s: rents %s", name.c_str(), id);
                std::thread([worker = machine.worker.get(), at = machine.up_at] {
                    sleep_s(at - now_s());
                    worker->boot();
                }).detach();
                answer += (answer.empty() ? "" : ",") + json_text(id);
            }
        }
        return {200, "{\"banchi\":[" + answer + "]}"};
    }

    std::vector<Flavor> flavors_;
    double list_lag_s_;
    MakeWorker make_;
    Record& record_;
    std::mutex mutex_;
    std::map<std::string, Machine> machines_;
    std::map<std::string, std::string> rentals_;
    int last_machine_ = 0;
    Server server_;
};

// ---- the network between controllers ----

// Carries the connections from one controller to another. While it is cut, it resets them.
class Link {
  public:
    explicit Link(std::string to) : to_(std::move(to)) {
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        address_ = bind_free(listener_);
        ::listen(listener_, 128);
        std::thread([this] {
            for (;;) {
                const int from = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
                if (from >= 0) std::thread([this, from] { carry(from); }).detach();
            }
        }).detach();
    }
    [[nodiscard]] const std::string& address() const { return address_; }
    void cut(bool now) { cut_ = now; }

  private:
    static void reset(int fd) {
        const linger at_once{1, 0};
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        ::close(fd);
    }
    void carry(int from) const {
        const int to = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = socket_address(to_);
        const int one = 1;
        ::setsockopt(from, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        ::setsockopt(to, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        bool open = !cut_ && ::connect(to, reinterpret_cast<const sockaddr*>(&address),
                                       sizeof address) == 0;
        while (open && !cut_) {
            pollfd waiting[2] = {{from, POLLIN, 0}, {to, POLLIN, 0}};
            if (::poll(waiting, 2, 20) <= 0) continue;
            for (int i = 0; i < 2 && open && !cut_; ++i) {
                if (waiting[i].revents == 0) continue;
                char bytes[16384];
                const auto got = ::recv(waiting[i].fd, bytes, sizeof bytes, 0);
                open = got > 0 && send_all(waiting[1 - i].fd,
                                           std::string(bytes, static_cast<std::size_t>(got)));
            }
        }
        reset(from);
        reset(to);
    }
    std::string to_, address_;
    int listener_ = -1;
    std::atomic<bool> cut_{false};
};

// ---- the controllers ----

// Settings of a deployment; see the brief and the site files.
struct Site {
    std::vector<std::string> member_zones, zones;
    std::string teams;  // TOML
    double report_s, lease_s, cancel_s, state_rps, write_rps, value_kb, cloud_rps, list_lag_s;
    int operations, max_connections;
    double core_share, memory_mb;
    std::string next_limits;  // TOML; may be empty
    std::vector<Flavor> flavors;
};

class Controllers {
  public:
    Controllers(const Site& site, StateService& state, const std::string& cloud, Record& record)
        : record_(record) {
        char name[] = "/tmp/lichendrift-review-XXXXXX";
        if (::mkdtemp(name) == nullptr) std::_Exit(2);
        directory_ = name;
        read_command();
        const auto count = site.member_zones.size();
        std::vector<std::string> peer_addresses;
        for (std::size_t n = 0; n < count; ++n) {
            members_.push_back("cascina-" + std::to_string(n));
            addresses_.push_back(free_address());
            peer_addresses.push_back(free_address());
        }
        for (std::size_t n = 0; n < count; ++n) {
            std::ofstream out(directory_ / (members_[n] + ".toml"));
            out << "member = \"" << members_[n] << "\"\nlocation = \"" << site.member_zones[n]
                << "\"\nlisten = \"" << addresses_[n] << "\"\npeer_bind = \"" << peer_addresses[n]
                << "\"\n";
            for (std::size_t p = 0; p < count; ++p) {
                if (p == n) continue;
                out << "[[siblings]]\nmember = \"" << members_[p] << "\"\nlocation = \""
                    << site.member_zones[p] << "\"\npeer_addr = \"" << link(n, p, peer_addresses[p])
                    << "\"\n";
            }
            out << "[external]\ncloud = \"" << cloud << "\"\nstate = \"" << state.address(n)
                << "\"\n[settings]\nsize = " << count << "\nzones = [";
            for (std::size_t z = 0; z < site.zones.size(); ++z) {
                out << (z == 0 ? "" : ", ") << "\"" << site.zones[z] << "\"";
            }
            out << "]\nskew_ms = 250.0\n" << site.teams << "[settings.workers]\nreport_s = "
                << site.report_s << "\nlease_s = " << site.lease_s
                << "\ngang_wait_s = 40.0\ngang_peer_s = 4.0\ncancel_s = " << site.cancel_s
                << "\n[settings.state]\nrps = " << site.state_rps << "\nwrite_rps = "
                << site.write_rps << "\nvalue_kb = " << site.value_kb << "\ntxn_ops = "
                << site.operations << "\n" << site.next_limits << "[settings.cloud]\nrps = "
                << site.cloud_rps << "\nlist_lag_s = " << site.list_lag_s
                << "\n[settings.resources]\ncore_share = " << site.core_share << "\nmem_mb = "
                << site.memory_mb << "\nmax_connections = " << site.max_connections << "\n";
        }
        pids_.resize(count, -1);
    }
    ~Controllers() {
        for (std::size_t n = 0; n < pids_.size(); ++n) kill(n);
        std::error_code ignored;
        if (std::getenv("KEEP_LOGS") == nullptr) std::filesystem::remove_all(directory_, ignored);
    }
    void start(std::size_t n) {
        auto arguments = command_;
        arguments.push_back((directory_ / (members_[n] + ".toml")).string());
        const auto log = (directory_ / (members_[n] + ".log")).string();
        const pid_t parent = ::getpid();
        const pid_t pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent) ::_exit(127);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::setenv("LOG_LEVEL", "info", 1);
            std::vector<char*> argv;
            for (auto& argument : arguments) argv.push_back(argument.data());
            argv.push_back(nullptr);
            ::execv(argv[0], argv.data());
            ::_exit(127);
        }
        pids_[n] = pid;
        record_.line("node %s is started", members_[n].c_str());
    }
    void start_all() {
        for (std::size_t n = 0; n < pids_.size(); ++n) start(n);
    }
    void signal(std::size_t n, int number) {
        record_.line("node %s gets signal %d", members_[n].c_str(), number);
        if (pids_[n] > 0) ::kill(pids_[n], number);
    }
    // Ends the process without a signal that it could handle.
    void kill(std::size_t n) {
        if (pids_[n] <= 0) return;
        ::kill(pids_[n], SIGKILL);
        ::waitpid(pids_[n], nullptr, 0);
        pids_[n] = -1;
        record_.line("node %s is ended", members_[n].c_str());
    }
    // Cuts two controllers off from each other, or ends the cut.
    void cut(std::size_t one, std::size_t other, bool now) {
        record_.line("net  %s and %s %s", members_[one].c_str(), members_[other].c_str(),
                     now ? "cannot reach each other" : "reach each other again");
        links_.at({one, other})->cut(now);
        links_.at({other, one})->cut(now);
    }
    // Whether a process has ended by itself.
    bool any_ended() {
        for (std::size_t n = 0; n < pids_.size(); ++n) {
            int status = 0;
            if (pids_[n] <= 0 || ::waitpid(pids_[n], &status, WNOHANG) != pids_[n]) continue;
            pids_[n] = -1;
            last_end_ = members_[n] + (WIFSIGNALED(status)
                                           ? " by signal " + std::to_string(WTERMSIG(status))
                                           : " with status " + std::to_string(WEXITSTATUS(status)));
            return true;
        }
        return false;
    }
    [[nodiscard]] const std::string& last_end() const { return last_end_; }
    [[nodiscard]] const std::vector<pid_t>& pids() const { return pids_; }
    bool wait_healthy(double timeout_s) {
        return wait_until(
            [this] {
                return std::all_of(addresses_.begin(), addresses_.end(), [](const auto& address) {
                    return call(address, "GET", "/healthz", "", 1).status == 200;
                });
            },
            timeout_s);
    }
    [[nodiscard]] const std::vector<std::string>& addresses() const { return addresses_; }
    [[nodiscard]] const std::vector<std::string>& members() const { return members_; }
    [[nodiscard]] const std::filesystem::path& directory() const { return directory_; }

  private:
    // The command of the deploy file, from the repository's root, without a shell.
    void read_command() {
        std::ifstream in("deploy/service.toml");
        for (std::string line; std::getline(in, line);) {
            if (!line.starts_with("run = \"")) continue;
            std::istringstream words(line.substr(7, line.rfind('"') - 7));
            for (std::string word; words >> word;) command_.push_back(word);
        }
        if (command_.empty() || ::access(command_[0].c_str(), X_OK) != 0) {
            std::fprintf(stderr, "the program is not built\n");
            std::_Exit(2);
        }
    }
    const std::string& link(std::size_t from, std::size_t to, const std::string& address) {
        return (links_[{from, to}] = std::make_unique<Link>(address))->address();
    }
    Record& record_;
    std::map<std::pair<std::size_t, std::size_t>, std::unique_ptr<Link>> links_;
    std::filesystem::path directory_;
    std::vector<std::string> command_, members_, addresses_;
    std::vector<pid_t> pids_;
    std::string last_end_;
};

// ---- a whole region ----

class Region {
  public:
    Record record;
    Jobs jobs;
    StateService state;
    Cloud cloud;
    Controllers nodes;

    Region(const Site& site, const std::string& record_path)
        : record(record_path),
          state(site.member_zones.size()),
          cloud(site.flavors, site.list_lag_s,
                [this, site](const std::string& name, const std::string& type,
                             const std::string& zone, bool spot) {
                    return std::make_unique<Worker>(
                        name, type, zone, spot, WorkerTimes{site.report_s, site.lease_s, 0.5},
                        nodes.addresses(), nodes.members(), jobs, record);
                },
                record),
          nodes(site, state, cloud.address(), record) {
        state.max_value_kb = site.value_kb;
        state.max_operations = site.operations;
    }

    // A user's request; its answer is recorded.
    Response user(std::size_t node, const std::string& method, const std::string& target,
                  const std::string& body = "") {
        record.line("user -> %s: %s %s", nodes.members()[node].c_str(), method.c_str(),
                    target.c_str());
        const auto answer = call(nodes.addresses()[node], method, target, body,
                                 method == "GET" ? 2 : 5);
        record.line("user <- %s: %s %s: %d %s", nodes.members()[node].c_str(), method.c_str(),
                    target.c_str(), answer.status, answer.body.c_str());
        return answer;
    }
    Response submit(std::size_t node, const Job& job) {
        jobs.add(job);
        return user(node, "POST", "/v2/runs", job.body());
    }
    Response poll(std::size_t node, const std::string& id) {
        return user(node, "GET", "/v2/runs/" + id);
    }
    Response cancel(std::size_t node, const std::string& id) {
        return user(node, "POST", "/v2/runs/" + id + "/cancel");
    }
    // Submits, and repeats as the protocol says, for a minute at most.
    bool submit_until_accepted(std::size_t node, const Job& job) {
        for (const double end = now_s() + 60; now_s() < end; sleep_s(1)) {
            const auto status = submit(node, job).status;
            if (status == 200 || status == 201) return true;
            if (status == 400 || status == 422) return false;
        }
        return false;
    }
    // The index of the controller that the leader record names; none: there is no record.
    std::optional<std::size_t> leader() {
        const auto value = state.value("leader");
        for (std::size_t n = 0; n < nodes.members().size(); ++n) {
            if (value.find("\"" + nodes.members()[n] + "\"") != std::string::npos) return n;
        }
        return std::nullopt;
    }
};

inline bool with_trouble() {
    const char* trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

// Ends the case. Threads of the stand-ins are not waited for.
[[noreturn]] inline void finish(Region& region, int code, const std::string& verdict) {
    region.record.line("verdict %d: %s", code, verdict.c_str());
    std::printf("%d: %s\n", code, verdict.c_str());
    std::fflush(stdout);
    region.nodes.~Controllers();
    std::_Exit(code);
}

// The deployments of the brief, at their first size.
inline Site valpadana() {
    Site site;
    site.member_zones = {"torino", "milano", "verona"};
    site.zones = {"bologna", "milano", "torino", "verona"};
    site.teams =
        "[[settings.teams]]\nname = \"ufficio-esami\"\ngpus = 40.0\ngpus_max = 120.0\n"
        "[[settings.teams]]\nname = \"antifrode\"\ngpus = 16.0\ngpus_max = 64.0\n"
        "[[settings.teams]]\nname = \"banca-quesiti\"\ngpus = 24.0\ngpus_max = 88.0\n";
    site.report_s = 1.5, site.lease_s = 10, site.cancel_s = 40;
    site.state_rps = 150, site.write_rps = 50, site.value_kb = 8, site.operations = 12;
    site.cloud_rps = 6, site.list_lag_s = 4;
    site.max_connections = 1000, site.core_share = 0.08, site.memory_mb = 56;
    site.flavors = {{"nodo-aula", 24, 2, 96, 2, 5.12, 1.15, site.zones},
                    {"nodo-centrale", 48, 4, 288, 2, 14.71, 3.23, site.zones}};
    return site;
}
inline Site bhashasetu() {
    Site site;
    site.member_zones = {"ahmedabad", "vadodara", "ahmedabad"};
    site.zones = {"ahmedabad", "vadodara"};
    site.teams = "[[settings.teams]]\nname = \"path-team\"\n";
    site.report_s = 3, site.lease_s = 29, site.cancel_s = 59;
    site.state_rps = 90, site.write_rps = 35, site.value_kb = 8, site.operations = 8;
    site.cloud_rps = 5, site.list_lag_s = 3;
    site.max_connections = 3000, site.core_share = 0.24, site.memory_mb = 136;
    site.flavors = {{"vargkhand-box", 24, 2, 192, 2, 6.5, 2.25, site.zones}};
    return site;
}

}  // namespace review
