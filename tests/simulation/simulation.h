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

// Simulates the environment of the controllers in virtual time: the state service, the cloud,
// workers, users and the network between them, as the protocol page describes them. Checks the
// protocol's rules throughout a run.
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
    std::optional<std::size_t> via;  // controller that gets the first submission; none: random
    bool asked_often = false;        // submitted and asked about by Simulation::ask_often()
    bool cancel_at_end = false;      // the user cancels at the moment the last task completes
    bool always_fails = false;
    double replica_s = 0;         // services: run time after which a replica exits; 0: never
    bool replicas_crash = false;  // services: replicas exit with an error instead of success
    // State as the user has observed it.
    bool submitted = false;
    Millis accepted_at = -1;
    Millis cancel_requested_at = -1;
    Millis cancel_confirmed_at = -1;
    bool done_reported = false;
    Millis submit_deadline = 0;
    Millis last_answered_at = -1;  // time of the last poll that was answered
    Millis fits_since = -1;        // since when some of it has been waiting though it would fit
    Millis first_run_at = -1;      // first time that a gang ran as a whole, or any task of an array
    // What the simulated workers have executed so far, even if no controller or user knows of it
    // yet.
    std::set<std::uint32_t> done_tasks;
    std::map<std::uint64_t, double> progress;  // saved seconds by task; a gang uses task 0
    std::uint64_t starts = 0;
    // Services: replica time that was due and that was served, counted from a few seconds after
    // acceptance.
    Millis replica_due_ms = 0;
    Millis replica_up_ms = 0;
    std::map<std::uint32_t, Millis> replica_last_placed_at;  // by replica
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
    Millis outbound_blocked_until = 0;  // cannot connect to any controller
    // Until then this worker's heartbeats reach the controllers, but neither their responses nor
    // their commands reach the worker.
    Millis inbound_blocked_until = 0;
    bool inbound_delayed = false;  // commands are delivered after the block, otherwise lost
    Millis interrupted_at = -1;    // when the cloud takes the machine away; negative: never
    std::uint64_t session = 1;
    std::uint64_t seq = 0;
    std::uint64_t token = 0;
    std::uint64_t agent_restarts = 0;
    Millis last_acknowledged_sent_at = 0;
    bool in_flight = false;
    std::size_t node = 0;
    Millis next_heartbeat = 0;
    bool changed = false;
    Millis last_heartbeat = 0;
    std::vector<Task> tasks;
    std::vector<std::function<void()>> deferred;  // messages that arrived while it hung
};

struct Options {
    std::uint64_t seed = 1;
    std::size_t nodes = 3;
    double report_s = 1;
    double lease_s = 8;
    double cancel_s = 20;
    std::size_t machines = 3;  // up at the start
    std::size_t jobs = 14;
    Millis busy_ms = 70'000;     // first phase: jobs are submitted and faults occur
    Millis settle_ms = 260'000;  // second phase: no new faults; accepted jobs must end
    bool faults = true;
    // Messages are lost, delayed and repeated even if `faults` is off.
    bool lossy_messages = false;
    double lost_response_share = 0.004;
    double delayed_request_share = 0.002;
    // Reports of which a second copy arrives seconds to several leases later.
    double delayed_copy_share = 0.01;
    // Requests that are delivered again up to 91 s later.
    double repeated_request_share = 0.01;
    Millis restart_ms = 3000;
    // How long after a cancellation was confirmed a run command for the job may still be sent. The
    // leader may not know of the cancellation yet, and one that is partitioned from everything may
    // send run commands while its lease is valid.
    Millis late_start_ms = 3500;
    // The initial machines alternate between the zones; otherwise only the first is in zone a.
    bool alternate_zones = false;
    // Controllers answer peer messages about cancellations with 404.
    bool peers_without_cancel_messages = false;
    // Controllers start as the previous version, which has no services; see upgrade().
    bool old_version = false;
    control::NextStateLimits next;  // enforced after apply_next_limits()
    bool limits_announced = true;   // `next` is in the controllers' settings from the start
    core::SafetyGuards guards;      // a test of a guard disables it to show that it is needed
    std::string policy;             // text of the operators' policy
    control::Features features;     // features that the operators have enabled
    // Set if the controllers are real processes: forwards a request to one of them. The simulation
    // then runs no controllers itself, and the test advances its time.
    std::function<void(std::size_t node, const net::HttpRequest&, net::Respond)> external;
    // Returns the address of a machine; if unset, it is derived from the machine's name.
    std::function<std::string(const std::string& machine)> endpoint;
    // Off: workers execute direct commands with a lower token, or of another session, as well.
    bool workers_check_tokens = true;
    bool workers_check_sessions = true;
    bool cloud_checks_epochs = false;  // the cloud refuses requests with a superseded epoch
    std::vector<core::Team> teams;
};

class Simulation {
  public:
    explicit Simulation(Options options);
    ~Simulation();

    // Runs both phases and returns the first rule violation, or an empty string.
    std::string run();
    std::vector<Job>& jobs() { return jobs_; }
    void at(Millis when, std::function<void()> fn);
    [[nodiscard]] Millis now() const { return now_; }
    void advance(Millis until);
    [[nodiscard]] const std::string& violation() const { return violation_; }

    // Faults and direct access for scripted tests.
    void crash(std::size_t node, Millis back_after);
    // Restarts a controller as the other version. After crash() it keeps its version.
    void upgrade(std::size_t node, Millis back_after) { change_version(node, true, back_after); }
    void downgrade(std::size_t node, Millis back_after) { change_version(node, false, back_after); }
    // Enforces the limits of Options::next from now on.
    void apply_next_limits() { limits_in_force_ = true; }
    void lift_next_limits() { limits_in_force_ = false; }
    // Transactions that the state service rejected for their size since apply_next_limits().
    [[nodiscard]] std::size_t rejections() const { return rejections_; }
    // Partitions all hosts whose names start with `a` from those whose names start with `b`.
    // Messages are delivered after the partition if `delay` is set and reset otherwise; with
    // `refuse` no connection can be opened.
    void partition(const std::string& a, const std::string& b, Millis for_ms, bool delay,
                   bool refuse = false);
    void state_outage(Millis for_ms) {
        state_outage_until_ = now_ + for_ms;
        fault_until(state_outage_until_);
    }
    void refuse_state_requests(std::size_t node, Millis for_ms);
    // Pauses the process; its clock continues, and messages to it are delivered afterwards.
    void freeze(std::size_t node, Millis for_ms);
    void cloud_outage(Millis for_ms) {
        cloud_outage_until_ = now_ + for_ms;
        fault_until(cloud_outage_until_);
    }
    std::map<std::string, Worker>& workers() { return workers_; }
    void add_worker(const std::string& zone, bool spot);
    void lose_worker(Worker& worker);
    std::optional<std::size_t> leader() const;
    // Called with each request of a controller just before it is sent.
    using Observer = std::function<void(std::size_t node, const net::HttpRequest& request)>;
    void observe(Observer observer) { observer_ = std::move(observer); }
    // Loses this share of the cloud's responses; the requests are still executed.
    void lose_cloud_answers(double share, Millis for_ms) {
        lost_cloud_answers_share_ = share;
        lost_cloud_answers_until_ = now_ + for_ms;
        fault_until(lost_cloud_answers_until_);
    }
    // Outcomes of requests to release machines, for the tests of duties.
    struct Releases {
        std::size_t late = 0;         // requests of a replaced leader, with or without effect
        std::size_t requests = 0;     // requests that named at least one existing machine
        std::size_t machines = 0;     // machines released
        std::size_t by_replaced = 0;  // the part of `requests` sent by a replaced leader
        std::size_t refused = 0;      // requests refused for a superseded epoch
    };
    [[nodiscard]] const Releases& releases() const { return releases_; }
    [[nodiscard]] std::size_t freezes() const { return freezes_; }
    control::Controller* controller(std::size_t node) { return nodes_[node].controller.get(); }
    // Sends a request and only counts its response, see counted_replies().
    void send_counted(std::size_t node, net::HttpRequest request);
    [[nodiscard]] std::size_t counted_replies() const { return counted_replies_; }
    // Sends a user's request, which times out after `wait_ms`.
    void send(std::size_t node, net::HttpRequest request, net::OnReply on_reply,
              Millis wait_ms = 5000);
    // Sends a user's request and advances the simulation until it is answered or times out.
    net::HttpReply send_and_wait(std::size_t node, net::HttpRequest request, Millis wait_ms = 5000);
    void block_inbound(Worker& worker, Millis for_ms, bool delay);
    void block_outbound(Worker& worker, Millis for_ms) {
        worker.outbound_blocked_until = now_ + for_ms;
        fault_until(worker.outbound_blocked_until);
    }
    // This share of the transactions gets no response and is executed 2 to 12 s later.
    void late_writes(double share, Millis for_ms) {
        late_writes_share_ = share;
        late_writes_until_ = now_ + for_ms;
        fault_until(late_writes_until_ + 12'000);
    }
    // Partitions a controller from the state service and from its peers, but not from workers.
    void isolate(std::size_t node, Millis for_ms, bool delay, bool refuse = false);
    // Records every command sent directly to a worker from now on, so that
    // replay_direct_commands() can deliver those that were sent at least `min_age` ago a second
    // time.
    void record_direct_commands() { record_direct_commands_ = true; }
    void replay_direct_commands(Millis min_age = 0);
    // Tasks started so far by commands that replay_direct_commands() delivered.
    [[nodiscard]] std::uint64_t starts_by_copies() const { return starts_by_copies_; }
    // What the agent of a machine knows after a restart in which its tasks are lost.
    enum class AgentMemory : std::uint8_t {
        Kept,  // session, token and the number of its last report
        Lost,  // nothing: it begins as on a new machine
    };
    // Restarts the agent of a machine within the current event.
    void restart_agent(Worker& worker, AgentMemory memory);
    [[nodiscard]] std::uint64_t total_starts() const;
    [[nodiscard]] std::size_t node_count() const { return nodes_.size(); }
    [[nodiscard]] bool node_up(std::size_t node) const {
        return nodes_[node].controller != nullptr;
    }
    std::map<std::string, std::pair<std::string, std::uint64_t>>& store() { return store_; }
    [[nodiscard]] std::size_t peak_writes_per_second() const { return peak_writes_per_second_; }
    [[nodiscard]] std::size_t writes() const { return writes_; }
    [[nodiscard]] std::size_t direct_calls() const { return direct_calls_; }
    // Partitions a zone from the other zone or, if `other` is empty, from everything outside it.
    void partition_zone(const std::string& zone, const std::string& other, Millis for_ms,
                        bool delay);
    // Delays each request to the state service by 0.5 to 1.5 times `by`.
    void slow_state(Millis by, Millis for_ms) {
        state_delay_ = by;
        state_delay_until_ = now_ + for_ms;
        fault_until(state_delay_until_);
    }
    // How long the state service holds back its answer to a request that it has carried out.
    using AnswerDelay =
        std::function<Millis(const std::string& from, const net::HttpRequest& request)>;
    // Applies to every request to the state service from now on.
    void delay_state_answers(AnswerDelay delay) { state_answer_delay_ = std::move(delay); }
    // The state service discards its change history, as after 10,000 newer changes, so that watches
    // from an older revision fail.
    void compact_changes() { compacted_revision_ = revision_; }
    // Delays every message by an additional 0.5 to 1.5 times `by`.
    void slow_links(Millis by, Millis for_ms) {
        link_delay_ = by;
        link_delay_until_ = now_ + for_ms;
        fault_until(link_delay_until_);
    }
    // Machines provisioned from now on boot within 0.5 to 1.5 times this time.
    void set_boot_time(Millis ms) { boot_ms_ = ms; }
    // This share of the machines provisioned from now on never boots.
    void set_never_boots_share(double share) { never_boots_share_ = share; }
    // Requests to the state service so far.
    [[nodiscard]] std::size_t state_requests() const { return state_requests_; }
    void set_capacity(int maximum) { capacity_ = maximum; }
    // Limits the machines in each zone, since the protocol defines capacity by zone.
    void set_zone_capacity(int maximum) { zone_capacity_ = maximum; }
    // Cancels a job through this controller, or else a random one; retries go to a random one.
    void cancel(Job& job, std::optional<std::size_t> node = std::nullopt);
    // Users cancel up to `count` running jobs within 200 ms. If `hang_ms` is not 0, up to 8 of the
    // machines that run them hang for that time.
    void cancel_running_jobs(std::size_t count, Millis hang_ms);
    // Sends a random request of these: a repeated submission, a cancellation of a finished or
    // unknown job, or an invalid submission.
    void send_unusual_request();
    void submit(Job& job);
    // Injects a random fault and schedules the next one.
    void inject_fault();
    // A digest of the jobs and of the random faults injected so far. It has to be the same for a
    // seed on every kind of machine and with every compiler.
    [[nodiscard]] std::string draws_digest() const;
    // From `from` to `until` users ask about the job at random controllers every few dozen
    // milliseconds, and repeat its submission and cancellation.
    void ask_often(const std::string& job_id, Millis from, Millis until);
    // Delivers a request to its target host. `sent`: when the sender sent it.
    void serve(const std::string& from, const std::string& to, const net::HttpRequest& request,
               Millis sent, net::Respond respond);

  private:
    class NodeRuntime;
    struct Node {
        std::unique_ptr<NodeRuntime> runtime;
        std::unique_ptr<control::Controller> controller;
        bool current = true;  // the current version, or else the previous one without services
    };
    struct Partition {
        std::string a;
        std::string b;
        Millis until = 0;
        bool delay = false;
        bool refuse = false;  // connections are refused
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
    // Whether a transaction is within the limits of Options::next; responds with an error if not.
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
    const Partition* partition_between(const std::string& a, const std::string& b) const;

    void serve_state(const std::string& from, const net::HttpRequest& request,
                     net::Respond respond);
    net::Respond with_answer_delay(const std::string& from, const net::HttpRequest& request,
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
    void execute_commands(Worker& worker, const std::string& body, Millis sent);
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
    // Records that a fault lasts until this time; some rules apply only once all faults are over.
    void fault_until(Millis until) { faults_over_at_ = std::max(faults_over_at_, until); }
    void note_fault(const std::string& text) { injected_faults_.push_back(text); }
    void user_tick(Job& job);
    void poll(Job& job);
    void ask_once(const std::string& job_id);
    void repeat_submission(const Job& job);
    static std::string description(const Job& job);
    void expect(std::size_t node, net::HttpRequest request, int status, const std::string& state);
    void fail(const std::string& rule, const std::string& detail);
    Job* job(const std::string& id);
    [[nodiscard]] bool messages_are_lossy() const {
        return (options_.faults || options_.lossy_messages) && now_ < options_.busy_ms;
    }
    std::uint64_t random_below(std::uint64_t n) { return rng_() % n; }
    bool random_chance(double p) { return static_cast<double>(rng_() % 1'000'000) < p * 1e6; }

    // Adds one event to the trace, if there is one.
    void trace(std::string_view kind, std::string_view peer, std::string_view target,
               std::string_view body, std::int64_t number = 0);

    Options options_;
    std::unique_ptr<Trace> trace_;  // null unless a reporter is set
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
    std::vector<std::string> injected_faults_;  // the random ones, with what was drawn for each
    std::vector<Node> nodes_;
    std::vector<Partition> partitions_;
    std::vector<Millis> state_refused_until_;
    Millis state_outage_until_ = 0;
    // Last time at which there was no leader with a valid lease, it changed, or it could not reach
    // the state service or the cloud.
    Millis last_unsettled_at_ = 0;
    std::uint64_t last_leader_token_ = 0;
    Millis reply_sent_ = 0;  // when the response being delivered was sent
    Millis cloud_outage_until_ = 0;
    // State service.
    std::uint64_t revision_ = 0;
    std::map<std::string, std::pair<std::string, std::uint64_t>> store_;
    std::map<std::string, std::uint64_t> key_lease_;
    std::map<std::uint64_t, std::pair<Millis, Millis>> leases_;  // TTL, expiry
    std::uint64_t next_lease_ = 0;
    std::vector<Change> changes_;
    std::vector<Watch> watches_;
    std::map<Millis, std::size_t> writes_in_second_;
    std::size_t peak_writes_per_second_ = 0;
    std::size_t writes_ = 0;
    std::size_t direct_calls_ = 0;
    bool record_direct_commands_ = false;
    std::uint64_t starts_by_copies_ = 0;
    struct DirectCommand {
        Millis sent_at = 0;
        std::string to;
        net::HttpRequest request;
    };
    std::vector<DirectCommand> recorded_direct_commands_;
    std::size_t counted_replies_ = 0;
    std::uint64_t compacted_revision_ = 0;
    double late_writes_share_ = 0;
    Millis late_writes_until_ = 0;
    Millis link_delay_ = 0;
    Millis link_delay_until_ = 0;
    Millis state_delay_ = 0;
    Millis state_delay_until_ = 0;
    AnswerDelay state_answer_delay_;
    // For the checks and tests of duties: a callback for the controllers' requests, the epochs seen
    // in the state service and at the cloud, counts of release requests and of freezes, and the
    // injected loss of the cloud's responses.
    Observer observer_;
    std::map<std::uint64_t, std::uint64_t> token_by_epoch_;  // holders' fencing tokens
    std::map<std::string, std::uint64_t> highest_epoch_by_duty_;
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

// Options without random jobs or faults, for scripted tests.
Options fault_free_options(std::uint64_t seed);
// Returns a job id such as "job-000007".
std::string numbered_job_id(std::size_t n);
// An array of `count` tasks that run for `run_s` each.
Job batch_job(const std::string& id, std::uint32_t count, double run_s, Millis submit_at = 0);
// A service whose replicas run until the user cancels it.
Job service(const std::string& id, std::uint32_t replicas, Millis submit_at, Millis cancel_at = -1);
// A job with random properties, submitted within the first `busy_ms`.
Job random_job(std::mt19937_64& rng, std::size_t number, Millis busy_ms);

}  // namespace lichendrift::simulation
