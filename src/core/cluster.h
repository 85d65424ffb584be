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

inline constexpr Millis kDefaultReportMs = 2'000;   ///< where the settings say nothing
inline constexpr Millis kDefaultLeaseMs = 10'000;   ///< where the settings say nothing
inline constexpr Millis kDefaultCancelMs = 30'000;  ///< where the settings say nothing

/// What a cluster state needs of the settings.
struct ClusterSettings {
    std::vector<Team> teams;               ///< teams with their quotas
    std::uint64_t token = 0;               ///< first fencing token of this term
    Millis report_ms = kDefaultReportMs;   ///< interval between heartbeats
    Millis lease_ms = kDefaultLeaseMs;     ///< lease of a worker
    Millis cancel_ms = kDefaultCancelMs;   ///< bound on the tasks of a cancelled job
    double gang_peer_s = 4;                ///< a gang's tasks wait so long for each other, seconds
    std::uint32_t tasks_per_record = 100;  ///< tasks of an array in a placement record of layout 0
    std::vector<Objective> objectives;     ///< of the classes and guarantees
    PlannerTuning tuning;                  ///< of the planner
    SafetyGuards guards;                   ///< switched off by tests only
    std::shared_ptr<Policy> policy;        ///< none: the tuning as it is
};

/// What a report has led to.
struct ReportOutcome {
    bool superseded = false;  ///< it carries a token of a later term
    bool fresh = false;       ///< newer than all known ones: its worker waits for an answer
    bool changed = false;     ///< worth planning again
};

/// The leader's cluster state. Pure: events and a time go in, commands and records to write come
/// out. Each decision of the planner is checked here again before it is applied. Not thread-safe:
/// the owner locks it (docs/design.md, "Parts"). All times are steady, in milliseconds.
class Cluster : private MachineWorkload {
  public:
    /// `types` and `zones` are shared with the owner and have to outlive the cluster state.
    Cluster(ClusterSettings settings, Names& types, Names& zones);
    ~Cluster() override = default;
    Cluster(const Cluster&) = delete;
    Cluster& operator=(const Cluster&) = delete;
    Cluster(Cluster&&) = delete;
    Cluster& operator=(Cluster&&) = delete;

    /// The machine types that the cloud offers.
    void set_types(const std::vector<MachineType>& types);
    /// An open job, or one that is over and may still have tasks somewhere. `age_ms`: since its
    /// submission, by the time of day.
    void add_job(const JobText& text, std::uint64_t open_revision, Millis now, bool over = false,
                 Millis age_ms = 0);
    /// A placement record that an earlier leader has written. Its job has to be known.
    void load_record(const std::string& job_id, std::uint32_t record_number,
                     const PlacementRecord& record, std::uint64_t revision, Millis now);
    /// A job has a terminal state: it was cancelled (`aborted`) or is done.
    void job_over(const std::string& job_id, bool aborted, Millis now);
    /// Until the records of earlier leaders are read, a job that is over may have tasks that only a
    /// record names: it is not forgotten before.
    void records_to_come() { records_to_come_ = true; }
    /// All records of earlier leaders are read.
    void records_loaded();
    /// A worker's report: in a heartbeat, or in the response to a direct command.
    ReportOutcome on_report(const Report& report, bool is_heartbeat, Millis now);
    /// One page of the cloud's list of machines.
    void on_list(const std::vector<ListedMachine>& page, Millis now);
    /// The list was read to its end and has these names.
    void on_list_complete(const std::set<std::string>& names, Millis now);
    /// The cloud has provisioned these machines.
    void on_provisioned(const std::string& type, const std::string& zone, bool spot,
                        const std::vector<std::string>& names, Millis now);
    /// The cloud has no capacity of this kind now.
    void on_refused(TypeIndex type, ZoneIndex zone, bool spot, Millis now);

    /// Commands for the answer to a heartbeat. `may_start` is false while the leader cannot be sure
    /// that it still leads.
    std::vector<Command> heartbeat_commands(const std::string& machine, std::uint64_t seq,
                                            bool may_start, Millis now);
    /// The fencing token that every message to this machine carries; read after its commands.
    [[nodiscard]] std::uint64_t token_for(const std::string& machine) const;
    /// A direct command: a message to a worker outside the answers to its heartbeats.
    struct Direct {
        std::string machine;            ///< name of the machine
        std::string endpoint;           ///< address of its worker
        std::uint64_t session = 0;      ///< the worker's session that it is meant for
        std::uint64_t token = 0;        ///< its fencing token
        std::vector<Command> commands;  ///< may be empty: only the token is raised
    };
    /// Machines for which commands are due, at most `limit`.
    std::vector<std::string> machines_with_commands(bool may_start, std::size_t limit, Millis now);
    /// The direct command for a machine, which counts as being called until direct_result().
    Direct direct_commands(const std::string& machine, bool may_start, Millis now);
    /// What came of a direct command.
    enum class DirectResult : std::uint8_t {
        Executed,     ///< carried out
        NotExecuted,  ///< certainly not carried out
        NoAnswer,     ///< unconfirmed: it may have been carried out or may still be
    };
    /// A direct command has ended.
    void direct_result(const Direct& direct, DirectResult result, Millis now);
    /// Machines to ask for a report: silent, unreachable or not synced; at most `limit`.
    std::vector<std::string> machines_to_poll(std::size_t limit, Millis now);
    /// Whether a direct command to the machine is under way.
    [[nodiscard]] bool has_direct_command_in_flight(const std::string& machine) const;

    /// Bounds on the next transaction of placement records.
    struct RecordLimits {
        static constexpr std::size_t kDefaultRecords = 8;         ///< in one transaction
        static constexpr std::size_t kDefaultBytes = 40'000;      ///< of the transaction
        static constexpr std::size_t kDefaultValueBytes = 8'192;  ///< of one record

        std::size_t records = kDefaultRecords;         ///< in one transaction
        std::size_t bytes = kDefaultBytes;             ///< of the transaction
        std::size_t value_bytes = kDefaultValueBytes;  ///< of one record
        /// A job of which a record would exceed value_bytes gets a finer layout. Not allowed while
        /// a peer may be of a version that does not know of layouts.
        bool may_refine = false;
        bool urgent_only =
            false;  ///< only records for which starts of services or critical jobs wait
    };
    /// Records to write in one transaction. With `lazy` also those that only add done tasks: they
    /// have to be durable before the workers may forget the results, but not soon.
    std::vector<RecordWrite> next_record_writes(const RecordLimits& limits, bool lazy, Millis now);
    /// The write was executed, or (not `ok`) certainly not.
    void on_record_written(const RecordWrite& write, bool ok, std::uint64_t revision, Millis now);
    /// Certainly not written, since a condition failed: of its own job (`job_over`), or of another
    /// in its transaction.
    void on_record_refused(const RecordWrite& write, bool job_over, Millis now);
    /// A write without an answer was read back. The nonce tells whether it was executed.
    void on_record_reread(const RecordWrite& write, std::uint64_t revision, std::uint64_t nonce,
                          Millis now);
    /// The terminal state of a job whose tasks are all done, if one is to be written now.
    std::optional<FinalWrite> next_final_write(std::size_t max_records, Millis now);
    /// The terminal state is durable, or (not `ok`) certainly not written.
    void final_written(const FinalWrite& write, bool ok, Millis now);
    /// Keys of placement records that nothing needs any more, to be removed.
    std::vector<std::string> next_orphans(std::size_t limit);
    /// These keys are removed, or (not `ok`) to be tried again.
    void orphans_removed(const std::vector<std::string>& keys, bool ok);
    /// A key found during the failover that nothing needs.
    void add_orphan(const std::string& key) { orphans_.push_back(key); }

    /// Machines to release now, at most `limit`; each again after a pause until it is confirmed.
    std::vector<std::string> next_releases(std::size_t limit, Millis now);
    /// The cloud has confirmed the release (`ok`): their allocations end.
    void on_released(const std::vector<std::string>& names, bool ok, Millis now);
    /// An earlier leader may have asked for the release of these: nothing is placed there.
    void release_pending(const std::vector<std::string>& names, Millis now);
    /// Whether anything counts as being on the machine.
    [[nodiscard]] bool has_tasks(const std::string& name) const;

    /// Which images are on which machines: a hint for the score, kept over a change of leader.
    using ImageHints = std::vector<std::pair<std::string, std::vector<std::string>>>;
    /// The hints of one of `parts` fixed parts of the machines.
    [[nodiscard]] ImageHints image_hints(std::size_t part, std::size_t parts) const;
    /// Hints that an earlier leader has written.
    void load_image_hints(const ImageHints& hints, Millis now);

    /// What the planner works on. `wall_ms`: time of day, for the ages of jobs.
    Snapshot snapshot(Millis now, std::int64_t wall_ms);
    /// What was applied of a plan.
    struct Applied {
        std::uint32_t starts = 0;           ///< starts, each of one or more tasks
        std::uint32_t stops = 0;            ///< tasks preempted
        std::uint32_t refused = 0;          ///< starts that the admission check refused
        std::vector<Provision> provisions;  ///< what the cloud is to be asked for
        std::vector<events::Event> events;  ///< for the log, formatted outside the lock
    };
    /// Applies what of a plan is still allowed, and leaves out the rest.
    Applied apply(const Plan& plan, Millis now);
    /// Runs failure detection. A leader that is not `sure` to lead releases nothing: it may be cut
    /// off itself.
    std::vector<events::Event> tick(Millis now, bool sure = true);

    /// Tasks of a job, for its users.
    struct Counts {
        std::uint32_t done = 0;     ///< completed
        std::uint32_t running = 0;  ///< running
    };
    /// Of all jobs, or only of those whose counts have changed since the last call.
    std::vector<std::pair<std::string, Counts>> job_counts(bool all);
    /// Machines and allocations visited so far, for the tests of how the cost grows.
    [[nodiscard]] std::uint64_t work() const { return work_; }
    /// Number of known jobs, those that are over and have tasks among them.
    [[nodiscard]] std::size_t job_count() const { return jobs_.size(); }
    /// Number of machines whose release is not confirmed.
    [[nodiscard]] std::size_t machine_count() const;
    /// Values of the operators' policy that were out of range, each reported once.
    std::vector<events::PolicyValueRejected> take_rejected_policy_values();
    /// The known jobs.
    [[nodiscard]] const std::map<JobIndex, Job>& jobs() const { return jobs_; }
    /// Machines by index; entries that are Gone may be free.
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
    static constexpr double kRateFor = 120'000;   // ms over which arrivals are counted
    static constexpr int kUnreachableMisses = 2;  // a single answer may be lost or late

    struct Reconciliation;  // a report on its way through on_report(), see heartbeats.cpp
    // The message that commands go into: an answer to a heartbeat, or a direct command.
    struct CommandMessage {
        bool direct = false;
        std::uint64_t heartbeat_seq = 0;  // of the heartbeat that is answered
        bool may_start = false;           // the leader is sure that it still leads
        Millis now = 0;
    };
    struct PendingCommands {
        bool due = false;    // a command could be sent now
        bool later = false;  // the machine has to be looked at again
    };

    MachineIndex machine_for(const std::string& name, const std::string& type,
                             const std::string& zone, bool spot, Millis now);
    AllocationIndex add_allocation(const Allocation& allocation);
    void release(AllocationIndex index, bool requeue, Millis now);
    void release_all(MachineIndex machine, std::uint64_t below_session, Millis now);
    void mark_done(JobIndex job, std::uint32_t task, Millis now);
    // A record that is to be written; more urgent jobs first, then older ones.
    struct RecordKey {
        std::uint8_t rank = 0;
        JobIndex job = kInvalidIndex;
        std::uint32_t number = 0;
        auto operator<=>(const RecordKey&) const = default;
    };
    [[nodiscard]] RecordKey record_key(JobIndex job, std::uint32_t number) const;
    [[nodiscard]] std::uint32_t record_of(const Job& job, std::uint32_t task) const;
    [[nodiscard]] RecordWrite make_record_write(JobIndex index, std::uint32_t number);
    void refine_layout(JobIndex index);
    void move_records(JobIndex index);
    void drop_superseded(JobIndex index);
    void take_lazy_records(std::size_t limit, Millis due_now);
    [[nodiscard]] RecordState* find_record(const RecordWrite& write);
    [[nodiscard]] bool has_attempt(const Job& job, const PlacedTask& placed,
                                   MachineIndex machine) const;
    void note_replica_exit(AllocationIndex index, bool failed, Millis now);
    void wake_replicas(Millis now);
    void stop_replicas(MachineIndex machine, Millis now);
    void make_ready(const Job& job, const std::vector<PlacedTask>& placed_tasks);
    void hold_back_incomplete_gang(const Job& job);
    void mark_dirty(Job& job, std::uint32_t task);
    void mark_lazy(Job& job, std::uint32_t task, Millis now);
    void stop_allocation(AllocationIndex index, double grace_s, Millis now);
    void run_came_to_nothing(AllocationIndex index, Millis now);
    void stop_with_gang(AllocationIndex index, double grace_s, Millis now);
    void on_exit(AllocationIndex index, const TaskReport& task, Millis now);
    void note_failure(Job& job, MachineIndex machine, Millis now);
    void note_machine_failure(Job& job, MachineIndex machine, Millis now);
    [[nodiscard]] bool has_run_well(const Job& job, Millis now) const;
    [[nodiscard]] bool only_replicas(const Machine& machine) const;
    [[nodiscard]] bool has_replicas(const Machine& machine) const override;
    [[nodiscard]] JobFacts facts(const Job& job) const;
    [[nodiscard]] FleetFacts fleet_facts() const;
    [[nodiscard]] bool raise_token(Machine& machine) const;
    void on_command_effect(MachineIndex index);
    void on_commands_missed(MachineIndex index, int count, Millis now);
    void note_image(Machine& machine, ImageIndex image);
    void drop_if_gone(JobIndex index);
    void notice(MachineIndex index, double notice_s, Millis now);
    JobSpec make_spec(const JobText& text);
    const ClassObjectives& objectives_of(ClassIndex index, const std::string& name);
    void note_arrival(const JobSpec& spec, Millis now);

    // Reports, see heartbeats.cpp.
    void update_machine(Reconciliation& step);
    void on_new_session(Reconciliation& step);
    void update_sync(Reconciliation& step);
    void release_earlier_sessions(Reconciliation& step);
    void group_reported_tasks(Reconciliation& step) const;
    void reconcile_allocations(Reconciliation& step);
    void reconcile_alive(Reconciliation& step, AllocationIndex index, const TaskReport& task);
    void reconcile_absent(Reconciliation& step, AllocationIndex index);
    void reconcile_unmatched(Reconciliation& step);
    [[nodiscard]] bool is_allocated(MachineIndex machine, JobIndex job,
                                    const TaskReport& task) const;
    void add_unexpected_allocation(Reconciliation& step, JobIndex index, const TaskReport& task);
    void collect_exited(Reconciliation& step);

    // Commands, see commands.cpp.
    std::vector<Command> commands_for(MachineIndex index, const CommandMessage& message);
    void append_reaps(Machine& machine, const CommandMessage& message, std::vector<Command>& out);
    [[nodiscard]] bool awaits_durable_result(const TaskReport& task) const;
    void append_command(Allocation& allocation, const CommandMessage& message,
                        std::vector<Command>& out);
    PendingCommands pending_commands(const Machine& machine, bool may_start);
    void on_run_result(MachineIndex index, const Command& run, DirectResult result, Millis now);

    // Machines, see machines.cpp.
    [[nodiscard]] std::optional<Millis> wanted_patience() const;
    static void start_release(Machine& machine, const FailureDetector::Failure& failure,
                              std::vector<events::Event>& events);
    void forget_released(Machine& machine, Millis now);
    void check_up(Machine& machine, std::vector<events::Event>& events, Millis now);
    [[nodiscard]] const Allocation* unwanted_unconfirmed_run(const Machine& machine,
                                                             Millis now) const;

    // Plans, see cluster.cpp.
    void apply_start(const Start& start, Applied& applied, Millis now);
    [[nodiscard]] events::JobPlaced placed_event(const Job& job, const Start& start,
                                                 const std::vector<TaskPlacement>& placements,
                                                 Millis now) const;
    void apply_preemption(const Preemption& preemption, Applied& applied, Millis now);
    static void apply_release(Machine& machine, Applied& applied);
    void cancel_consolidation(Applied& applied);
    void move_work_off(MachineIndex index, Millis now);

    // The planner's snapshot, see snapshot.cpp.
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
    std::vector<std::uint32_t> take_waiting(const Job& job, std::uint32_t limit) const;
    static void take_from_waiting(Job& job, std::uint32_t task);
    void update_guarantees(Millis now);
    [[nodiscard]] bool has_cancelled_work(const Machine& machine) const override;

    ClusterSettings settings_;
    Names& types_;
    Names& zones_;
    Names images_;
    Names classes_;
    Names teams_;
    std::vector<Team> team_list_;
    std::vector<Resources> team_used_;
    std::map<ImageIndex, Millis> warm_;  // last use by a class whose tasks should start soon
    struct Arrivals {                    // of a class whose tasks should start soon
        JobSpec spec;
        double rate = 0;  // tasks a second, decaying
        Millis at = 0;
    };
    std::map<ClassIndex, Arrivals> arrivals_;
    std::vector<ClassObjectives> class_objectives_;
    std::vector<Millis> team_busy_;  // when the team last had work; -1: never
    double guarantee_s_ = 0;         // how soon work within a guarantee should start
    std::vector<MachineType> type_info_;
    std::map<JobIndex, Job> jobs_;
    JobIndex next_job_ = 0;
    std::unordered_map<std::string, JobIndex> job_ids_;
    std::vector<Machine> machines_;
    std::unordered_map<std::string, MachineIndex> machine_ids_;
    std::vector<Allocation> allocations_;
    FailureDetector failure_detector_;
    AdmissionCheck admission_check_;              // reads the members above
    static constexpr Millis kNever = -1'000'000;  // before any time
    Millis drained_at_ = kNever;
    std::vector<MachineIndex> free_machines_;
    std::vector<AllocationIndex> free_allocations_;
    std::set<RecordKey> dirty_;  // records to write, urgent jobs first
    std::set<std::tuple<Millis, JobIndex, std::uint32_t>> lazy_;
    std::set<JobIndex> all_done_;  // whose terminal state is to be written
    // Replicas that failed again and again rest until then: time, job, task.
    std::set<std::tuple<Millis, JobIndex, std::uint32_t>> resting_;
    std::size_t next_poll_index_ = 0;   // where machines_to_poll() goes on
    std::set<MachineIndex> attention_;  // machines that may have commands due
    std::vector<std::string> orphans_;
    std::vector<std::string> orphans_writing_;
    std::map<ProvisioningPool, std::pair<Millis, Millis>> refused_;  // until, step
    std::uint64_t work_ = 0;
    std::uint64_t attempts_ = 0;
    std::uint64_t nonces_ = 0;
    bool records_to_come_ = false;
    std::unordered_map<std::string, std::vector<TaskReport>> exited_;  // machine -> to reap
};

}  // namespace lichendrift::core
