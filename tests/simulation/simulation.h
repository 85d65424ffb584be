#pragma once

#include <rapidjson/document.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "control/controller.h"
#include "simulation/trace.h"

// The environment of the controllers in virtual time: state service, cloud, workers, users and the
// network between them, as the protocol page describes them, with a checker of the protocol's
// rules.
namespace lichendrift::simulation {

using core::Millis;

struct Job {
    std::string id;
    std::string cls = "any";
    std::string team = "core";
    std::string kind = "sweep";
    std::string priority = "normal";
    std::uint32_t count = 1;
    double cpus = 1;
    double mem = 1;
    bool one_zone = false;
    bool apart = false;
    bool spot = true;
    double run_s = 8;
    double checkpoint_s = 2;
    double save_s = 0.5;
    std::optional<std::string> zone;
    Millis submit_at = 0;
    Millis cancel_at = -1;
    std::optional<std::size_t> via;  // the controller of the first request; none: any
    bool cancel_at_end = false;      // at the very moment at which its last task ends
    bool always_fails = false;
    double replica_s = 0;  // of a service: how long a replica runs before it ends by itself; 0: on
    bool replicas_crash = false;  // of a service: they end with an error rather than well
    // What the user knows.
    bool submitted = false;
    Millis accepted = -1;
    Millis cancel_requested_at = -1;
    Millis cancel_confirmed_at = -1;
    bool done_reported = false;
    Millis give_up_submit = 0;
    Millis last_answered_at = -1;  // the last poll of it that got an answer
    Millis fits_since = -1;        // something of it waits, though it would fit
    Millis first_run_at = -1;      // gang: all tasks ran; array: one did
    // What is true.
    std::set<std::uint32_t> done_tasks;
    std::map<std::uint64_t, double> progress;  // by task (gang: task 0), seconds saved
    std::uint64_t starts = 0;
    // Of a service, from some seconds after its acceptance: replica time that was due and served.
    Millis replica_due_ms = 0;
    Millis replica_up_ms = 0;
    std::map<std::uint32_t, Millis> replica_last_placed_at;  // when it was placed last
    [[nodiscard]] bool is_service() const { return kind == "service"; }
};

struct Task {
    std::string job;
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
    std::string state;  // pulling, gathering, running, saving, exited
    std::string exit_reason;
    bool stored = false;
    Millis image_ready_at = 0;
    Millis run_since = 0;
    double restored_progress_s = 0;
    Millis save_until = 0;
    Millis gang_incomplete_since = 0;
};

struct Worker {
    std::string name;
    std::string endpoint;
    std::string type;
    std::string zone;
    bool spot = false;
    Millis provisioned_at = 0;
    Millis up_at = 0;
    bool up = false;
    bool never_boots = false;
    bool gone = false;
    bool fails_tasks = false;
    Millis hung_until = 0;
    Millis outbound_blocked_until = 0;  // it can open no connection to a controller
    Millis inbound_blocked_until =
        0;                         // its reports arrive, but neither answers nor commands reach it
    bool inbound_delayed = false;  // commands are held until then, or else lost
    Millis interrupted_at = -1;
    std::uint64_t session = 1;
    std::uint64_t seq = 0;
    std::uint64_t token = 0;
    Millis last_acknowledged_sent_at = 0;
    bool in_flight = false;
    std::size_t node = 0;
    Millis next_heartbeat = 0;
    bool changed = false;
    Millis last_heartbeat = 0;
    std::vector<Task> tasks;
    std::vector<std::function<void()>> deferred;
};

struct Options {
    std::uint64_t seed = 1;
    std::size_t nodes = 3;
    double report_s = 1;
    double lease_s = 8;
    double cancel_s = 20;
    std::size_t machines = 3;  // up at the start
    std::size_t jobs = 14;
    Millis busy_ms = 70'000;     // jobs and faults arrive
    Millis settle_ms = 260'000;  // everything heals and has to end
    bool faults = true;
    bool lossy_messages =
        false;  // messages are lost, late and repeated on a day without other faults too
    double lost_response_share = 0.004;
    double delayed_request_share = 0.002;
    double delayed_copy_share = 0.01;  // of a report, by seconds up to several leases
    double repeated_request_share =
        0.01;  // of any request that was carried out, up to minutes later
    Millis restart_ms = 3000;
    // A run that left before its job's cancellation was known to the leader may still arrive. A
    // leader that is cut off from everything may send one while its lease is valid.
    Millis late_start_ms = 3500;
    bool even_zones = false;  // of the first machines, or else one of them is in zone a
    bool peers_without_cancel_messages = false;  // none knows the messages about cancellations
    bool old_version = false;  // controllers begin as the version before services, see upgrade()
    control::NextStateLimits next;  // in the settings; in force from apply_next_limits() on
    core::SafetyGuards guards;      // tests of a guard switch it off
    std::string policy;             // the operators'
    control::Features features;     // the operators'
    // Set if the controllers are real processes: passes them a request. The simulation then has
    // none of its own, and its time is the test's.
    std::function<void(std::size_t node, const net::HttpRequest&, net::Respond)> external;
    // The address of a machine, if it is not its name.
    std::function<std::string(const std::string& machine)> endpoint;
    bool cloud_checks_epochs = false;  // it refuses requests under an epoch that was replaced
    std::vector<core::Team> teams;
};

class Simulation {
  public:
    explicit Simulation(Options options);
    ~Simulation();

    // Runs to the end; the first broken rule, or an empty text.
    std::string run();
    std::vector<Job>& jobs() { return jobs_; }
    void at(Millis when, std::function<void()> fn);
    [[nodiscard]] Millis now() const { return now_; }
    void advance(Millis until);
    [[nodiscard]] const std::string& violation() const { return violation_; }

    // Faults and direct access for scripted tests.
    void crash(std::size_t node, Millis back_after);
    // It ends and comes back as the other version. One that ends otherwise comes back as it was.
    void upgrade(std::size_t node, Millis back_after) { change_version(node, true, back_after); }
    void downgrade(std::size_t node, Millis back_after) { change_version(node, false, back_after); }
    // The limits of Options::next are in force from now on.
    void apply_next_limits() { limits_in_force_ = true; }
    // Requests that the state service rejected for their size since then.
    [[nodiscard]] std::size_t rejections() const { return rejections_; }
    void cut(const std::string& a, const std::string& b, Millis for_ms, bool delay,
             bool refuse = false);
    void state_outage(Millis for_ms) {
        state_outage_until_ = now_ + for_ms;
        fault_until(state_outage_until_);
    }
    void refuse_state_requests(std::size_t node, Millis for_ms);
    // The process is paused, its clocks run on, what is sent to it waits.
    void freeze(std::size_t node, Millis for_ms);
    void cloud_outage(Millis for_ms) {
        cloud_outage_until_ = now_ + for_ms;
        fault_until(cloud_outage_until_);
    }
    std::map<std::string, Worker>& workers() { return workers_; }
    void add_worker(const std::string& zone, bool spot);
    void lose_worker(Worker& worker);
    std::optional<std::size_t> leader() const;
    // Sees each request of a controller just before it leaves.
    using Observer = std::function<void(std::size_t node, const net::HttpRequest& request)>;
    void observe(Observer observer) { observer_ = std::move(observer); }
    // That share of the cloud's answers is lost, though the request is carried out.
    void lose_cloud_answers(double share, Millis for_ms) {
        lost_cloud_answers_share_ = share;
        lost_cloud_answers_until_ = now_ + for_ms;
        fault_until(lost_cloud_answers_until_);
    }
    // Outcomes of requests to release machines, for the tests of duties.
    struct Releases {
        std::size_t late = 0;      // that came from a leader that was replaced, whatever they did
        std::size_t requests = 0;  // that named a machine which was there
        std::size_t machines = 0;
        std::size_t by_replaced = 0;  // of the requests, those of a leader that was replaced
        std::size_t refused = 0;      // as their epoch was replaced
    };
    [[nodiscard]] const Releases& releases() const { return releases_; }
    [[nodiscard]] std::size_t freezes() const { return freezes_; }
    control::Controller* controller(std::size_t node) { return nodes_[node].controller.get(); }
    // Sends a request and only counts its answer.
    void send_counted(std::size_t node, net::HttpRequest request);
    [[nodiscard]] std::size_t counted_replies() const { return counted_replies_; }
    net::HttpReply ask(std::size_t node, net::HttpRequest request, Millis wait_ms = 5000);
    void block_inbound(Worker& worker, Millis for_ms, bool delay);
    void block_outbound(Worker& worker, Millis for_ms) {
        worker.outbound_blocked_until = now_ + for_ms;
        fault_until(worker.outbound_blocked_until);
    }
    // That share of the transactions gets no answer and is carried out 2 to 12 s later.
    void late_writes(double share, Millis for_ms) {
        late_writes_share_ = share;
        late_writes_until_ = now_ + for_ms;
        fault_until(late_writes_until_ + 12'000);
    }
    // A controller that keeps its workers and loses everything else.
    void isolate(std::size_t node, Millis for_ms, bool delay, bool refuse = false);
    // Every direct command from now on is kept, and delivered once more when asked for.
    void record_direct_commands() { record_direct_commands_ = true; }
    void replay_direct_commands();
    [[nodiscard]] std::uint64_t total_starts() const;
    [[nodiscard]] std::size_t node_count() const { return nodes_.size(); }
    [[nodiscard]] bool node_up(std::size_t node) const {
        return nodes_[node].controller != nullptr;
    }
    std::map<std::string, std::pair<std::string, std::uint64_t>>& store() { return store_; }
    [[nodiscard]] std::size_t peak_writes_per_second() const { return peak_writes_per_second_; }
    [[nodiscard]] std::size_t writes() const { return writes_; }
    [[nodiscard]] std::size_t direct_calls() const { return direct_calls_; }
    // Keeps a zone from another, or from everything with an empty name.
    void cut_zone(const std::string& zone, const std::string& other, Millis for_ms, bool delay);
    // Answers of the state service take so much longer.
    void slow_state(Millis by, Millis for_ms) {
        state_delay_ = by;
        state_delay_until_ = now_ + for_ms;
        fault_until(state_delay_until_);
    }
    // The state service forgets older changes, as after ten thousand newer ones.
    void compact_changes() { compacted_revision_ = revision_; }
    // Messages of everybody take so much longer.
    void slow_links(Millis by, Millis for_ms) {
        link_delay_ = by;
        link_delay_until_ = now_ + for_ms;
        fault_until(link_delay_until_);
    }
    void set_boot_time(Millis ms) { boot_ms_ = ms; }
    // That share of the machines provisioned from now on never comes up.
    void set_never_boots_share(double share) { never_boots_share_ = share; }
    // Requests to the state service so far.
    [[nodiscard]] std::size_t state_requests() const { return state_requests_; }
    void set_capacity(int maximum) { capacity_ = maximum; }
    // As in the protocol, what the cloud has is counted zone by zone.
    void set_zone_capacity(int maximum) { zone_capacity_ = maximum; }
    // Through a controller that the load balancer picks, or through this one first.
    void cancel(Job& job, std::optional<std::size_t> node = std::nullopt);
    // Users cancel that many running jobs within a fifth of a second; some machines hang.
    void cancel_now(std::size_t count, Millis hang_ms);
    // Repeated submissions, cancels of what is over or unknown, jobs that can't run.
    void send_unusual_request();
    void submit(Job& job);
    // `sent`: when it left its sender.
    void serve(const std::string& from, const std::string& to, const net::HttpRequest& request,
               Millis sent, net::Respond respond);

  private:
    class NodeRuntime;
    struct Node {
        std::unique_ptr<NodeRuntime> runtime;
        std::unique_ptr<control::Controller> controller;
        bool current = true;  // of this version, or else of the one before services
    };
    struct Cut {
        std::string a;
        std::string b;
        Millis until = 0;
        bool delay = false;
        bool refuse = false;  // no connection comes about at all
    };
    struct Watch {
        std::string prefix;
        std::uint64_t since = 0;
        Millis until = 0;
        std::string from;
        net::Respond respond;
    };
    struct Change {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
    };
    using Deliver = std::function<void(net::Respond)>;

    void boot(std::size_t node);
    void change_version(std::size_t node, bool current, Millis back_after);
    void measure_services();
    // Whether a transaction is within the limits that hold since apply_next_limits(); answers it if
    // not.
    bool within_next_limits(const rapidjson::Value& then, const net::Respond& respond);
    void call(const std::string& from, const std::string& to, net::HttpRequest request,
              Millis deadline, net::OnReply on_reply);
    void transmit(const std::string& from, const std::string& to, Millis extra,
                  std::function<void()> deliver, std::function<void()> reset);
    void ask_version(const std::string& from, const std::string& host,
                     const net::HttpRequest& request,
                     const std::function<void(net::HttpReply)>& finish);
    void repeat(const std::string& from, const std::string& to, const net::HttpRequest& request,
                Millis late);
    const Cut* cut_between(const std::string& a, const std::string& b) const;

    void serve_state(const std::string& from, const net::HttpRequest& request,
                     net::Respond respond);
    void apply(const std::string& key, const std::string& value, std::uint64_t lease);
    void wake_watches();
    void answer_watch(const Watch& watch);
    void serve_cloud(const net::HttpRequest& request, const net::Respond& respond);
    void release_machines(const rapidjson::Value& request);
    [[nodiscard]] bool refuses_epoch(const rapidjson::Value& request);
    void check_duty_change(const std::string& key, const std::string& value);
    void check_duties_at_end();
    void serve_worker(Worker& worker, const net::HttpRequest& request, Millis sent,
                      const net::Respond& respond);

    void tick();
    void worker_tick(Worker& worker);
    void heartbeat(Worker& worker);
    void commands(Worker& worker, const std::string& body, Millis sent);
    std::string report(Worker& worker);
    void start_task(Worker& worker, const std::string& name, std::uint64_t attempt, Millis sent);
    void halt_task(Worker& worker, const std::string& name, std::uint64_t attempt, double grace);
    void exit_task(Worker& worker, Task& task, const std::string& exit_reason, bool stored);
    void save_progress(const Task& task, bool all);
    double progress_of(const Task& task);
    void check();
    void check_start(const Worker& worker, const Job& job, std::uint32_t task, Millis sent);
    void check_waiting();
    [[nodiscard]] bool replica_waits(const Job& job) const;
    void update_unsettled_time();
    [[nodiscard]] bool has_room(const Job& job, const std::map<std::string, double>& used) const;
    void check_answers();
    void check_served();
    void fault_until(Millis until) { faults_over_at_ = std::max(faults_over_at_, until); }
    void fault();
    void user_tick(Job& job);
    void poll(Job& job);
    static std::string description(const Job& job);
    void expect(std::size_t node, net::HttpRequest request, int status, const std::string& state);
    void fail(const std::string& rule, const std::string& what);
    Job* job(const std::string& id);
    [[nodiscard]] bool messages_are_lossy() const {
        return (options_.faults || options_.lossy_messages) && now_ < options_.busy_ms;
    }
    std::uint64_t random_below(std::uint64_t n) { return rng_() % n; }
    bool random_chance(double p) { return static_cast<double>(rng_() % 1'000'000) < p * 1e6; }

    // One event of the trace, if one is kept.
    void trace(std::string_view kind, std::string_view peer, std::string_view target,
               std::string_view body, std::int64_t number = 0);

    Options options_;
    std::unique_ptr<Trace> trace_;  // none unless digests are wanted
    std::mt19937_64 rng_;
    Millis now_ = 0;
    std::uint64_t event_number_ = 0;
    struct Event {
        Millis at;
        std::uint64_t number;
        std::function<void()> fn;
        bool operator<(const Event& o) const { return at != o.at ? at > o.at : number > o.number; }
    };
    std::priority_queue<Event> events_;
    std::string violation_;
    Millis faults_over_at_ = 0;
    std::vector<Node> nodes_;
    std::vector<Cut> cuts_;
    std::vector<Millis> state_refused_until_;
    Millis state_outage_until_ = 0;
    Millis last_unsettled_at_ = 0;  // when there was no leader with a valid lease for the last time
    std::uint64_t settled_token_ = 0;
    Millis reply_sent_ = 0;  // when the answer that is being delivered left its sender
    Millis cloud_outage_until_ = 0;
    // State service.
    std::uint64_t revision_ = 0;
    std::map<std::string, std::pair<std::string, std::uint64_t>> store_;
    std::map<std::string, std::uint64_t> key_lease_;
    std::map<std::uint64_t, std::pair<Millis, Millis>> leases_;  // ttl, ends
    std::uint64_t next_lease_ = 0;
    std::vector<Change> changes_;
    std::vector<Watch> watches_;
    std::map<Millis, std::size_t> writes_in_second_;
    std::size_t peak_writes_per_second_ = 0;
    std::size_t writes_ = 0;
    std::size_t direct_calls_ = 0;
    bool record_direct_commands_ = false;
    std::vector<std::pair<std::string, net::HttpRequest>> recorded_direct_commands_;
    std::size_t counted_replies_ = 0;
    std::uint64_t compacted_revision_ = 0;
    double late_writes_share_ = 0;
    Millis late_writes_until_ = 0;
    Millis link_delay_ = 0;
    Millis link_delay_until_ = 0;
    Millis state_delay_ = 0;
    Millis state_delay_until_ = 0;
    // Duties.
    Observer observer_;
    std::map<std::uint64_t, std::uint64_t> token_by_epoch_;       // of the holders, by epoch
    std::map<std::string, std::uint64_t> highest_epoch_by_duty_;  // highest written, by duty
    std::uint64_t highest_epoch_at_cloud_ = 0;
    Releases releases_;
    std::size_t freezes_ = 0;
    double lost_cloud_answers_share_ = 0;
    Millis lost_cloud_answers_until_ = 0;
    // Cloud and workers.
    std::map<std::string, std::vector<std::string>> provisions_;
    std::map<std::string, Worker> workers_;
    std::vector<std::pair<Millis, std::string>> listings_;
    std::uint64_t next_worker_ = 0;
    Millis boot_ms_ = 6000;
    double never_boots_share_ = 0.04;
    std::size_t state_requests_ = 0;
    bool limits_in_force_ = false;
    std::size_t rejections_ = 0;
    std::map<std::string, int> rejected_keys_;
    double write_budget_ = 0;
    Millis write_budget_at_ = 0;
    int capacity_ = 12;
    int zone_capacity_ = 1000;
    std::vector<Job> jobs_;
    std::map<std::string, std::size_t> job_index_;
};

// A day without jobs or faults, for scripted tests.
Options fault_free_options(std::uint64_t seed);
// "job-000007"
std::string numbered_job_id(std::size_t n);
Job batch_job(const std::string& id, std::uint32_t count, double run_s, Millis submit_at = 0);
// A service with replicas that run until its user cancels it.
Job service(const std::string& id, std::uint32_t replicas, Millis submit_at, Millis cancel_at = -1);
// A job with its parts drawn at random.
Job random_job(std::mt19937_64& rng, std::size_t number, Millis busy_ms);

}  // namespace lichendrift::simulation
