/// The leader's cluster state: jobs, machines, allocations and placement records.
#pragma once

#include <map>
#include <memory>
#include <set>

#include "core/admission_check.h"
#include "core/allocation.h"
#include "core/failure_detector.h"
#include "core/job.h"
#include "core/machine.h"
#include "core/planner.h"
#include "core/types.h"

namespace lichendrift::core {

inline constexpr Millis kDefaultReportMs = 2'000;   ///< default of ClusterSettings::report_ms
inline constexpr Millis kDefaultLeaseMs = 10'000;   ///< default of ClusterSettings::lease_ms
inline constexpr Millis kDefaultCancelMs = 30'000;  ///< default of ClusterSettings::cancel_ms

/// The part of the settings that the cluster state needs.
struct ClusterSettings {
    std::vector<Team> teams;              ///< teams with their quotas
    std::uint64_t token = 0;              ///< first fencing token of this term
    Millis report_ms = kDefaultReportMs;  ///< interval between heartbeats
    Millis lease_ms = kDefaultLeaseMs;    ///< duration of a worker's lease
    Millis cancel_ms = kDefaultCancelMs;  ///< bound on the end of the tasks of a cancelled job
    double gang_peer_s = 4;  ///< time that the tasks of a gang wait for each other, seconds
    std::uint32_t tasks_per_record = 100;  ///< tasks of an array in a placement record of layout 0
    std::vector<Objective> objectives;     ///< objectives of the classes and of the guarantees
    PlannerTuning tuning;                  ///< settings of the planner
    SafetyGuards guards;                   ///< switched off by tests only
    std::shared_ptr<Policy> policy;        ///< may be null: `tuning` then applies as it is
};

/// The outcome of processing a report.
struct ReportOutcome {
    bool superseded = false;  ///< the report carries a token of a later term
    bool fresh = false;       ///< newer than all reports so far; its worker waits for an answer
    bool changed = false;     ///< the cluster state changed in a way that calls for a new plan
};

/// The leader's cluster state. It does no I/O and reads no clock: callers pass in events and the
/// time, and get the commands to send and the records to write. Each decision of the planner is
/// checked here again before it is applied. Not thread-safe: the owner locks it (docs/design.md,
/// "Parts"). All times are steady-clock times in milliseconds.
class Cluster : private MachineWorkload {
  public:
    /// `types` and `zones` are shared with the owner and must outlive the cluster state.
    Cluster(ClusterSettings settings, NameTable& types, NameTable& zones);
    ~Cluster() override = default;
    Cluster(const Cluster&) = delete;
    Cluster& operator=(const Cluster&) = delete;
    Cluster(Cluster&&) = delete;
    Cluster& operator=(Cluster&&) = delete;

    /// Sets the machine types that the cloud offers.
    void set_types(const std::vector<MachineType>& types);
    /// Adds an open job, or one in a terminal state that may still have tasks on machines.
    /// `age_ms`: wall-clock time since its submission.
    void add_job(const JobDescription& description, std::uint64_t open_revision, Millis now,
                 bool terminal = false, Millis age_ms = 0);
    /// Adds a placement record that an earlier leader has written. Ignored if its job is not known.
    void load_record(const std::string& job_id, std::uint32_t record_number,
                     const PlacementRecord& record, std::uint64_t revision, Millis now);
    /// A job has reached a terminal state: it was cancelled (`cancelled`) or is done.
    void on_job_terminal(const std::string& job_id, bool cancelled, Millis now);
    /// Until on_records_loaded(), a job in a terminal state is not forgotten: a record of an
    /// earlier leader that is not read yet may name tasks of it.
    void await_records() { awaiting_records_ = true; }
    /// All records of earlier leaders have been read.
    void on_records_loaded();
    /// Processes a worker's report from a heartbeat or from the response to a direct command.
    ReportOutcome on_report(const Report& report, bool is_heartbeat, Millis now);
    /// Processes one page of the list of machines that the cloud returns.
    void on_machine_list_page(const std::vector<ListedMachine>& page, Millis now);
    /// The last page of the list was read. `names`: all machines in it.
    void on_machine_list_complete(const std::set<std::string>& names, Millis now);
    /// The cloud has provisioned these machines.
    void on_provisioned(const std::string& type, const std::string& zone, bool spot,
                        const std::vector<std::string>& names, Millis now);
    /// The cloud has no capacity for such machines at present.
    void on_provision_refused(TypeIndex type, ZoneIndex zone, bool spot, Millis now);

    /// Commands for the answer to a heartbeat. `may_start` is false while the leader is not certain
    /// that it still leads: no tasks are started then.
    std::vector<Command> heartbeat_commands(const std::string& machine, std::uint64_t seq,
                                            bool may_start, Millis now);
    /// The fencing token that each message to this machine carries. To be called after the function
    /// that returns the commands, which may raise the token.
    [[nodiscard]] std::uint64_t token_for(const std::string& machine) const;
    /// A direct command: a message that the leader sends to a worker by itself, besides the answers
    /// to the worker's heartbeats.
    struct DirectCommand {
        std::string machine;            ///< name of the machine
        std::string endpoint;           ///< address of its worker
        std::uint64_t session = 0;      ///< session of the worker that it is meant for
        std::uint64_t token = 0;        ///< fencing token of the message
        std::vector<Command> commands;  ///< may be empty: it then only raises the token
    };
    /// Machines that should get a direct command now, at most `limit`.
    std::vector<std::string> machines_with_commands(bool may_start, std::size_t limit, Millis now);
    /// The direct command for a machine. It counts as in flight until direct_result() is called.
    DirectCommand direct_commands(const std::string& machine, bool may_start, Millis now);
    /// Outcome of a direct command.
    enum class DirectResult : std::uint8_t {
        Executed,     ///< executed
        NotExecuted,  ///< certainly not executed
        NoAnswer,     ///< not known: it may have been executed, or may still be
    };
    /// Reports the outcome of a direct command.
    void direct_result(const DirectCommand& direct, DirectResult result, Millis now);
    /// Machines to ask for a report, as they are silent, unreachable or not synced; at most
    /// `limit`.
    std::vector<std::string> machines_to_probe(std::size_t limit, Millis now);
    /// Whether a direct command to the machine is in flight.
    [[nodiscard]] bool direct_in_flight(const std::string& machine) const;

    /// Bounds on the next transaction of placement records.
    struct RecordLimits {
        static constexpr std::size_t kDefaultRecords = 8;         ///< default of `records`
        static constexpr std::size_t kDefaultBytes = 40'000;      ///< default of `bytes`
        static constexpr std::size_t kDefaultValueBytes = 8'192;  ///< default of `value_bytes`

        std::size_t records = kDefaultRecords;  ///< largest number of records in a transaction
        /// Size of the transaction from which on no record is added.
        std::size_t bytes = kDefaultBytes;
        /// Largest size of a record before its job gets a finer layout.
        std::size_t value_bytes = kDefaultValueBytes;
        /// A job with a record that would exceed value_bytes gets a finer layout. Not allowed while
        /// a peer may run a version that does not know layouts.
        bool may_refine_layout = false;
        /// Only records of services and critical jobs, as their starts wait for the write.
        bool urgent_only = false;
    };
    /// Records to write in one transaction. With `include_deferred` also those whose write was
    /// deferred because it only adds completed tasks: it has to be durable before the workers may
    /// forget the results, but is not urgent.
    std::vector<RecordWrite> next_record_writes(const RecordLimits& limits, bool include_deferred,
                                                Millis now);
    /// The write was executed, or (not `ok`) certainly not executed.
    void on_record_written(const RecordWrite& write, bool ok, std::uint64_t revision, Millis now);
    /// The record was certainly not written, as a condition failed: its own job is not open
    /// (`job_not_open`), or the condition was one of another record in the transaction.
    void on_record_refused(const RecordWrite& write, bool job_not_open, Millis now);
    /// After a write without an answer, the record was read back with this revision and nonce. The
    /// nonce tells whether the write was executed.
    void on_record_reread(const RecordWrite& write, std::uint64_t revision, std::uint64_t nonce,
                          Millis now);
    /// The terminal state of a job whose tasks are all done, if one has to be written now. At most
    /// `max_records` placement records are removed with it.
    std::optional<TerminalStateWrite> next_terminal_state_write(std::size_t max_records,
                                                                Millis now);
    /// Processes the result of writing a terminal state. `ok`: the state is durable; otherwise it
    /// was certainly not written, and the write is repeated after a delay.
    void on_terminal_state_written(const TerminalStateWrite& write, bool ok, Millis now);
    /// Keys of placement records that are no longer needed and have to be removed, at most `limit`.
    /// None while those of an earlier call are being removed.
    std::vector<std::string> next_orphans(std::size_t limit);
    /// These keys have been removed, or (not `ok`) have to be removed again.
    void on_orphans_removed(const std::vector<std::string>& keys, bool ok);
    /// Adds the key of a record that was found during the failover and is not needed.
    void add_orphan(const std::string& key) { orphans_.push_back(key); }

    /// Machines to release now, at most `limit`. Each is returned again after a pause until its
    /// release is confirmed.
    std::vector<std::string> next_releases(std::size_t limit, Millis now);
    /// The cloud has confirmed the release of these machines (`ok`): their allocations end.
    void on_released(const std::vector<std::string>& names, bool ok, Millis now);
    /// An earlier leader may have requested the release of these machines. Nothing is placed there,
    /// and the release is requested again.
    void on_pending_releases(const std::vector<std::string>& names, Millis now);
    /// Whether any task counts as being on the machine.
    [[nodiscard]] bool has_tasks(const std::string& name) const;

    /// Machines with the images that they have. Hints for the placement score that are stored, so
    /// that they survive a change of leader.
    using ImageHints = std::vector<std::pair<std::string, std::vector<std::string>>>;
    /// The hints on the machines of one part, if the machines are divided into `parts` parts by
    /// index.
    [[nodiscard]] ImageHints image_hints(std::size_t part, std::size_t parts) const;
    /// Adds hints that an earlier leader has written.
    void load_image_hints(const ImageHints& hints, Millis now);

    /// The input of the planner. `wall_ms`: wall-clock time, for the ages of jobs.
    Snapshot snapshot(Millis now, std::int64_t wall_ms);
    /// The part of a plan that was applied.
    struct AppliedPlan {
        std::uint32_t starts = 0;           ///< starts, each of one or more tasks
        std::uint32_t preemptions = 0;      ///< preemptions, each of a task or a whole gang
        std::uint32_t refused = 0;          ///< starts that the admission check refused
        std::vector<Provision> provisions;  ///< machines to request from the cloud
        std::vector<events::Event> events;  ///< for the log; formatted outside the lock
    };
    /// Applies the decisions of a plan that are still allowed and drops the others.
    AppliedPlan apply(const Plan& plan, Millis now);
    /// Runs failure detection and returns events for the log. Without a valid leader lease nothing
    /// is released: the leader itself may be partitioned from the others.
    std::vector<events::Event> tick(Millis now, bool lease_valid = true);

    /// Numbers of tasks of a job, for its users.
    struct Counts {
        std::uint32_t done = 0;     ///< completed tasks
        std::uint32_t running = 0;  ///< running tasks
    };
    /// Counts of all open jobs that are not zero, or (not `all`) only of the jobs whose counts have
    /// changed since the last call.
    std::vector<std::pair<std::string, Counts>> job_counts(bool all);
    /// Number of machines, allocations and jobs visited so far, for tests of how the cost scales.
    [[nodiscard]] std::uint64_t entries_visited() const { return entries_visited_; }
    /// Number of known jobs, including those in a terminal state that still have tasks.
    [[nodiscard]] std::size_t job_count() const { return jobs_.size(); }
    /// Number of machines whose release is not confirmed.
    [[nodiscard]] std::size_t machine_count() const;
    /// Values of the operators' policy that were out of range since the last call, each reported
    /// once.
    std::vector<events::PolicyValueRejected> take_rejected_policy_values();
    /// Jobs by index, including those in a terminal state that still have tasks.
    [[nodiscard]] const std::map<JobIndex, Job>& jobs() const { return jobs_; }
    /// Machines by index. An entry in the state Gone may be free.
    [[nodiscard]] const std::vector<Machine>& machines() const { return machines_; }
    /// First fencing token of this term.
    [[nodiscard]] std::uint64_t token() const { return settings_.token; }
    /// Whether the machine is known.
    [[nodiscard]] bool has_machine(const std::string& name) const {
        return machine_ids_.contains(name);
    }
    /// Whether the job is known.
    [[nodiscard]] bool has_job(const std::string& id) const { return job_ids_.contains(id); }

  private:
    // Time constant of the exponential decay of arrival rates.
    static constexpr double kArrivalRateWindowMs = 120'000;
    static constexpr int kUnreachableMisses = 2;  // as a single answer may be lost or late

    struct Reconciliation;  // state of one on_report() call, see heartbeats.cpp
    // The message that carries commands: the answer to a heartbeat, or a direct command.
    struct CommandMessage {
        bool direct = false;
        std::uint64_t heartbeat_seq = 0;  // heartbeat that is answered
        bool may_start = false;           // the leader is certain that it still leads
        Millis now = 0;
    };
    struct PendingCommands {
        bool sendable = false;  // a command could be sent now
        bool recheck = false;   // the machine has to be checked again later
    };

    MachineIndex find_or_add_machine(const std::string& name, const std::string& type,
                                     const std::string& zone, bool spot, Millis now);
    AllocationIndex add_allocation(const Allocation& allocation);
    void release(AllocationIndex index, bool requeue, Millis now);
    void release_all(MachineIndex machine, std::uint64_t below_session, Millis now);
    void mark_done(JobIndex job, std::uint32_t task, Millis now);
    // A record that has to be written. Orders by urgency of the job, then by its age.
    struct RecordKey {
        std::uint8_t rank = 0;
        JobIndex job = kInvalidIndex;
        std::uint32_t number = 0;
        auto operator<=>(const RecordKey&) const = default;
    };
    [[nodiscard]] RecordKey record_key(JobIndex job, std::uint32_t number) const;
    [[nodiscard]] std::uint32_t record_number_of(const Job& job, std::uint32_t task) const;
    [[nodiscard]] RecordWrite make_record_write(JobIndex index, std::uint32_t number);
    void refine_layout(JobIndex index);
    void rewrite_records(JobIndex index);
    void remove_superseded_records(JobIndex index);
    void mark_due_deferred_writes(std::size_t limit, Millis due_now);
    [[nodiscard]] RecordState* find_record(const RecordWrite& write);
    [[nodiscard]] bool has_attempt(const Job& job, const PlacedTask& placed,
                                   MachineIndex machine) const;
    void note_replica_exit(AllocationIndex index, bool failed, Millis now);
    void end_replica_backoffs(Millis now);
    void stop_replicas(MachineIndex machine, Millis now);
    void make_ready(const Job& job, const std::vector<PlacedTask>& placed_tasks);
    void hold_back_incomplete_gang(const Job& job);
    void mark_dirty(Job& job, std::uint32_t task);
    void defer_write(Job& job, std::uint32_t task, Millis now);
    void stop_allocation(AllocationIndex index, double grace_s, Millis now);
    void on_run_not_executed(AllocationIndex index, Millis now);
    void stop_with_gang(AllocationIndex index, double grace_s, Millis now);
    void on_exit(AllocationIndex index, const TaskReport& task, Millis now);
    void note_failure(Job& job, MachineIndex machine, Millis now);
    void note_machine_failure(Job& job, MachineIndex machine, Millis now);
    [[nodiscard]] bool has_succeeded(const Job& job, Millis now) const;
    [[nodiscard]] bool has_only_replicas(const Machine& machine) const;
    [[nodiscard]] bool has_replicas(const Machine& machine) const override;
    [[nodiscard]] JobFacts facts(const Job& job) const;
    [[nodiscard]] FleetFacts fleet_facts() const;
    [[nodiscard]] bool raise_token(Machine& machine) const;
    [[nodiscard]] bool ends_attempts(const Machine& machine, const CommandMessage& message) const;
    [[nodiscard]] bool copy_may_start(const Allocation& allocation,
                                      std::uint64_t reported_token) const;
    void on_command_effect(MachineIndex index);
    void on_commands_missed(MachineIndex index, int count, Millis now);
    void note_image(Machine& machine, ImageIndex image);
    void forget_if_finished(JobIndex index);
    void on_spot_notice(MachineIndex index, double notice_s, Millis now);
    JobSpec make_spec(const JobDescription& description);
    const ClassObjectives& objectives_of(ClassIndex index, const std::string& name);
    void note_arrival(const JobSpec& spec, Millis now);

    // Reconcile the state of a machine and its allocations with a worker's report; defined in
    // heartbeats.cpp.
    void update_machine(Reconciliation& context);
    void on_new_session(Reconciliation& context);
    void update_sync(Reconciliation& context);
    void release_earlier_sessions(Reconciliation& context);
    void group_reported_tasks(Reconciliation& context) const;
    void reconcile_allocations(Reconciliation& context);
    void reconcile_alive(Reconciliation& context, AllocationIndex index, const TaskReport& task);
    void reconcile_absent(Reconciliation& context, AllocationIndex index);
    void reconcile_unmatched(Reconciliation& context);
    [[nodiscard]] bool is_allocated(MachineIndex machine, JobIndex job,
                                    const TaskReport& task) const;
    void add_unexpected_allocation(Reconciliation& context, JobIndex index, const TaskReport& task);
    void collect_tasks_to_reap(Reconciliation& context);

    // Choose the commands to send to a worker and handle the results of direct run commands;
    // defined in commands.cpp.
    std::vector<Command> commands_for(MachineIndex index, const CommandMessage& message);
    void append_reaps(Machine& machine, const CommandMessage& message, std::vector<Command>& out);
    [[nodiscard]] bool awaits_durable_result(const TaskReport& task) const;
    void append_command(Allocation& allocation, const CommandMessage& message,
                        std::vector<Command>& out);
    PendingCommands pending_commands(const Machine& machine, bool may_start);
    void on_run_result(MachineIndex index, const Command& run, DirectResult result, Millis now);

    // Check machines for failures, start their release and forget them some time after it; defined
    // in machines.cpp.
    [[nodiscard]] std::optional<Millis> policy_heartbeat_timeout() const;
    static void start_release(Machine& machine, const FailureDetector::Failure& failure,
                              std::vector<events::Event>& events);
    void forget_released(Machine& machine, Millis now);
    void check_up(Machine& machine, std::vector<events::Event>& events, Millis now);
    [[nodiscard]] const Allocation* unwanted_unconfirmed_run(const Machine& machine,
                                                             Millis now) const;

    // Apply the starts, preemptions, releases and drains of a plan; defined in cluster.cpp.
    void apply_start(const Start& start, AppliedPlan& applied, Millis now);
    [[nodiscard]] events::JobPlaced placed_event(const Job& job, const Start& start,
                                                 const std::vector<TaskPlacement>& placements,
                                                 Millis now) const;
    void apply_preemption(const Preemption& preemption, AppliedPlan& applied, Millis now);
    static void apply_release(Machine& machine, AppliedPlan& applied);
    void cancel_consolidation(AppliedPlan& applied);
    void move_tasks_off(MachineIndex index, Millis now);

    // Most of these build the planner's snapshot of the cluster and are defined in snapshot.cpp.
    void add_teams(Snapshot& out) const;
    void add_warm_capacity(Snapshot& out) const;
    void add_unavailable_pools(Snapshot& out) const;
    [[nodiscard]] MachineView machine_view(MachineIndex index, const FleetFacts& fleet,
                                           Millis now) const;
    [[nodiscard]] Millis idle_retention_ms(const Machine& machine, Millis age_ms,
                                           const FleetFacts& fleet) const;
    void add_allocations(MachineIndex machine, Snapshot& out) const;
    void fill_waiting_job(const Job& job, double age_s, Millis now, WaitingJob& item) const;
    void add_zone_counts(const Job& job, WaitingJob& item) const;
    [[nodiscard]] std::uint32_t waiting(const Job& job) const;
    std::vector<std::uint32_t> next_waiting_tasks(const Job& job, std::uint32_t limit) const;
    static void remove_from_waiting(Job& job, std::uint32_t task);
    void update_guarantees(Millis now);
    [[nodiscard]] bool has_cancelled_work(const Machine& machine) const override;

    ClusterSettings settings_;
    NameTable& types_;
    NameTable& zones_;
    NameTable images_;
    NameTable classes_;
    NameTable teams_;
    std::vector<Team> team_list_;
    std::vector<Resources> team_used_;
    // By image: when a job with a start objective last arrived with it.
    std::map<ImageIndex, Millis> recent_images_;
    struct Arrivals {  // jobs of one class with a start objective
        JobSpec spec;
        double rate = 0;  // tasks per second, decaying exponentially
        Millis at = 0;
    };
    std::map<ClassIndex, Arrivals> arrivals_;
    std::vector<ClassObjectives> class_objectives_;
    std::vector<Millis> team_last_active_;  // by team: when it last had work; -1: never
    // Seconds within which work in a guarantee should start; 0: no objective.
    double guaranteed_start_s_ = 0;
    std::vector<MachineType> type_info_;
    std::map<JobIndex, Job> jobs_;
    JobIndex next_job_ = 0;
    std::unordered_map<std::string, JobIndex> job_ids_;
    std::vector<Machine> machines_;
    std::unordered_map<std::string, MachineIndex> machine_ids_;
    std::vector<Allocation> allocations_;
    FailureDetector failure_detector_;
    AdmissionCheck admission_check_;              // refers to members above
    static constexpr Millis kNever = -1'000'000;  // earlier than any time that occurs
    Millis last_drain_at_ = kNever;
    std::vector<MachineIndex> free_machines_;
    std::vector<AllocationIndex> free_allocations_;
    std::set<RecordKey> dirty_;  // records to write, most urgent first
    // Records whose write is deferred: when it is due, job, number of the record.
    std::set<std::tuple<Millis, JobIndex, std::uint32_t>> deferred_writes_;
    std::set<JobIndex> all_done_;  // jobs whose terminal state has to be written
    // Replicas that ended early several times in a row and wait for their backoff: its end, job,
    // task.
    std::set<std::tuple<Millis, JobIndex, std::uint32_t>> replica_backoffs_;
    std::size_t next_probe_ = 0;               // machine at which machines_to_probe() continues
    std::set<MachineIndex> pending_machines_;  // machines for which commands may be due
    std::vector<std::string> orphans_;
    std::vector<std::string> orphans_being_removed_;
    // By pool: the end of the backoff, and its length.
    std::map<ProvisioningPool, std::pair<Millis, Millis>> refused_pools_;
    std::uint64_t entries_visited_ = 0;
    std::uint64_t attempts_ = 0;
    std::uint64_t nonces_ = 0;
    bool awaiting_records_ = false;
    // By machine: tasks to reap, or to halt if their job is not known.
    std::unordered_map<std::string, std::vector<TaskReport>> tasks_to_reap_;
};

}  // namespace lichendrift::core
