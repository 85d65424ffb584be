#pragma once

#include <map>
#include <memory>
#include <set>

#include "core/planner.h"
#include "core/types.h"

namespace lichendrift::core {

struct ClusterSettings {
    std::vector<Team> teams;
    std::uint64_t token = 0;
    Millis report_ms = 2000;
    Millis lease_ms = 10000;
    Millis cancel_ms = 30000;
    double gang_peer_s = 4;
    std::uint32_t tasks_per_record = 100;  // tasks of an array in one place record
    std::vector<Objective> objectives;
    PlannerTuning tuning;
    SafetyGuards guards;
    std::shared_ptr<Policy> policy;  // none: the tuning as it is
};

// What is expected of a class of jobs.
struct ClassObjectives {
    std::vector<double> start_within_s;
    std::vector<double> finish_within_s;
};

// One attempt of one task that counts as being on a machine (see docs/design.md, "When a task
// is off a machine").
struct Allocation {
    enum class State : std::uint8_t {
        Planned,  // its record is not durable yet, so nothing was sent
        Ready,    // durable, to be sent
        Sent,     // a run was sent, no report shows the outcome yet
        Seen,     // a report showed it, or an earlier leader may have started it
    };
    JobIndex job = kInvalidIndex;
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
    MachineIndex machine = kInvalidIndex;
    std::uint64_t session = 0;
    State state = State::Planned;
    TaskPhase phase = TaskPhase::Pulling;
    bool reported = false;  // a report of this leader's time showed it alive
    bool stray = false;     // on a machine without being what we placed there
    bool stop = false;      // to be halted
    double grace_s = 0;
    bool direct_unconfirmed = false;  // a direct run without an answer: a copy may come late
    std::uint64_t direct_open = 0;    // direct runs under way
    std::uint64_t direct_token = 0;   // the newest direct run carried it
    std::uint64_t heartbeat_seq = 0;  // newest beat whose answer carried the run
    std::uint64_t halt_seq = 0;       // newest beat whose answer carried the halt
    Millis since = 0;
    Millis running_since = 0;
    Millis stop_since = 0;
};

struct Machine {
    enum class Life : std::uint8_t { Booting, Up, Releasing, Gone };
    std::string name;
    std::string endpoint;
    TypeIndex type = kInvalidIndex;
    ZoneIndex zone = kInvalidIndex;
    bool spot = false;
    Life life = Life::Booting;
    bool synced = false;         // its newest report carries this leader's token
    bool drain = false;          // no new work; returned when empty
    bool faulty = false;         // drained because it is faulty
    bool consolidating = false;  // drained to save its price: taken back when room is short
    bool listed = false;
    bool failed = false;
    bool running = false;  // by the list
    std::uint64_t session = 0;
    std::uint64_t seq = 0;
    std::optional<Millis> taken_at;  // spot notice: when the cloud takes it
    Millis first_seen = 0;
    Millis provisioned_at = 0;
    Millis last_heartbeat_at = 0;
    Millis idle_since = 0;
    Millis release_requested_at = 0;
    // What it was sent has no effect, while its reports go on: neither answers nor commands reach
    // it. Such a machine never looks silent, and its tasks die with each of its leases.
    int misses = 0;                    // in a row
    Millis unreachable_since = 0;      // 0: it is not
    Millis session_at = 0;             // when its session rose last
    int lost_leases = 0;               // in a row, with reports of it between them
    std::uint64_t owed_token_seq = 0;  // newest beat whose answer would have raised its token
    bool calling = false;              // a direct command is under way
    Millis call_after = 0;             // no direct command before
    Resources used;
    std::vector<AllocationIndex> allocations;
    std::vector<ImageIndex> images;  // most recent last
    std::set<JobIndex> failed_jobs;  // failures since its last success
    Millis quarantine_until = 0;
    std::uint64_t token = 0;  // the highest it was sent
    bool ran_direct = false;  // a direct run was sent under this token: a copy may come late
};

// One placement record of a job. Its number tells the layout; see core/record_layout.h.
struct RecordState {
    std::uint64_t revision = 0;  // revision of the record; 0: none
    std::uint64_t nonce = 0;
    bool dirty = false;
    bool writing = false;
    Millis retry_at = 0;
    Millis lazy_at = 0;  // when a write that only tells of done tasks is due; 0: none
};

struct Job {
    std::string id;
    JobSpec spec;
    JobText text;
    std::uint64_t open_revision = 0;
    bool over = false;  // cancelled or done: only waits for its tasks to be gone
    bool aborted = false;
    bool finishing = false;  // its final word is being written
    Millis finish_retry_at = 0;
    std::uint32_t done = 0;
    std::uint32_t reported_done = 0;  // as given out last for display
    std::uint32_t reported_running = 0;
    std::vector<std::uint8_t> done_flags;
    std::uint32_t next_fresh = 0;   // tasks from here on were never tried
    std::set<std::uint32_t> again;  // tasks before next_fresh that wait
    std::multimap<std::uint32_t, AllocationIndex> allocations;
    std::map<std::uint32_t, RecordState> record_numbers;
    Millis waiting_since = 0;
    Millis started_at = std::numeric_limits<Millis>::min();  // when a task was placed last
    Millis retry_at = 0;
    std::uint32_t failures = 0;
    std::set<MachineIndex> failed_on;
    bool in_guarantee = false;
    std::uint32_t layout = 0;  // of its placement records; never goes back
    // Records of the present layout that have to be durable before those of earlier layouts may go.
    std::set<std::uint32_t> to_move;
    std::map<std::uint32_t, std::uint32_t> replica_failures;  // of a service, in a row, by task
};

struct RecordWrite {
    JobIndex job = kInvalidIndex;
    std::uint32_t record_number = 0;
    std::string job_id;
    std::uint64_t revision = 0;
    std::uint64_t open_revision = 0;
    bool urgent = false;  // of a service or a critical job: its start waits for this write
    PlacementRecord record;
};

struct FinalWrite {
    JobIndex job = kInvalidIndex;
    std::string job_id;
    std::uint64_t open_revision = 0;
    std::vector<std::uint32_t> record_numbers;
    bool with_job = false;  // tasks may still be on machines: the final word keeps the job
};

struct ReportOutcome {
    bool superseded = false;  // a higher token was seen
    bool fresh = false;       // newer than all that was known: its worker waits for an answer
    bool changed = false;     // worth planning again
};

// The leading controller's picture and the gate that every decision passes. Pure: events and a
// time go in, commands and records to write come out.
class Cluster {
  public:
    Cluster(ClusterSettings settings, Names& types, Names& zones);

    // What the region told.
    void set_types(const std::vector<MachineType>& types);
    // `age_ms`: since its submission, by the time of day.
    void add_job(const JobText& text, std::uint64_t open_revision, Millis now, bool over = false,
                 Millis age_ms = 0);
    void load_record(const std::string& job_id, std::uint32_t record_number,
                     const PlacementRecord& record, std::uint64_t revision, Millis now);
    void job_over(const std::string& job_id, bool aborted, Millis now);
    // Until the records of earlier leaders are read, a job that is over may have tasks that only a
    // record names: it is not forgotten before.
    void records_to_come() { records_to_come_ = true; }
    void records_loaded();
    ReportOutcome on_report(const Report& report, bool is_heartbeat, Millis now);
    void on_list(const std::vector<ListedMachine>& page, Millis now);
    void on_list_complete(const std::set<std::string>& names, Millis now);
    void on_provisioned(const std::string& type, const std::string& zone, bool spot,
                        const std::vector<std::string>& names, Millis now);
    void on_refused(TypeIndex type, ZoneIndex zone, bool spot, Millis now);

    // Orders for the answer to a beat, or for a direct command. `may_start` is false while the
    // leader cannot be sure that it still leads.
    std::vector<Command> heartbeat_commands(const std::string& machine, std::uint64_t seq,
                                            bool may_start, Millis now);
    // The token that every message to this machine carries; asked for after its commands.
    [[nodiscard]] std::uint64_t token_for(const std::string& machine) const;
    struct Direct {
        std::string machine;
        std::string endpoint;
        std::uint64_t session = 0;
        std::uint64_t token = 0;
        std::vector<Command> commands;
    };
    std::vector<std::string> machines_with_commands(bool may_start, std::size_t limit, Millis now);
    // Marks the machine as being called until direct_result().
    Direct direct_commands(const std::string& machine, bool may_start, Millis now);
    enum class DirectResult : std::uint8_t { Executed, NotExecuted, NoAnswer };
    void direct_result(const Direct& direct, DirectResult result, Millis now);
    std::vector<std::string> machines_to_ask(std::size_t limit, Millis now);
    [[nodiscard]] bool calling(const std::string& machine) const;

    // Records to write, and what came of it. Lazy ones only tell which tasks are done, which is
    // needed before their workers may forget the result, but not soon.
    // A job of which a record would exceed `limits.value_bytes` gets a finer layout, if that is
    // allowed: while a peer may be of a version that does not know of layouts, it is not.
    struct RecordLimits {
        std::size_t records = 8;  // in one transaction
        std::size_t bytes = 40'000;
        std::size_t value_bytes = 8192;
        bool may_refine = false;
        bool urgent_only = false;
    };
    std::vector<RecordWrite> next_record_writes(const RecordLimits& limits, bool lazy, Millis now);
    void on_record_written(const RecordWrite& write, bool ok, std::uint64_t revision, Millis now);
    // Certainly not written, since a condition failed: of its own job, or of another of its batch.
    void on_record_refused(const RecordWrite& write, bool job_over, Millis now);
    void on_record_reread(const RecordWrite& write, std::uint64_t revision, std::uint64_t nonce,
                          Millis now);
    std::optional<FinalWrite> next_final_write(std::size_t max_records, Millis now);
    void final_written(const FinalWrite& write, bool ok, Millis now);
    std::vector<std::string> next_orphans(std::size_t limit);  // records nobody needs any more
    void orphans_removed(const std::vector<std::string>& keys, bool ok);
    void add_orphan(const std::string& key) { orphans_.push_back(key); }

    // Machines to give back, and what came of it.
    std::vector<std::string> next_releases(std::size_t limit, Millis now);
    void on_released(const std::vector<std::string>& names, bool ok, Millis now);
    // An earlier leader may have asked for the release of these: nothing is placed there.
    void release_pending(const std::vector<std::string>& names, Millis now);
    [[nodiscard]] bool has_tasks(const std::string& name) const;

    // Which images are on which machines: only a hint for placing, kept over a change of leader.
    using ImageHints = std::vector<std::pair<std::string, std::vector<std::string>>>;
    // Those of one part of the machines, always the same ones.
    [[nodiscard]] ImageHints image_hints(std::size_t part, std::size_t parts) const;
    void load_image_hints(const ImageHints& hints, Millis now);

    // Planning.
    Snapshot snapshot(Millis now, std::int64_t wall_ms);
    // Applies what still allocations; everything that is not allowed by now is left out.
    struct Applied {
        std::uint32_t starts = 0;
        std::uint32_t stops = 0;
        std::uint32_t refused = 0;
        std::vector<Provision> provisions;
        std::vector<events::Event> events;  // for the log, formatted outside the lock
    };
    Applied apply(const Plan& plan, Millis now);
    // Time passes: silent machines, patience, boots that never come. A leader that is not `sure` to
    // lead gives nothing up: it may be cut off itself.
    std::vector<events::Event> tick(Millis now, bool sure = true);

    struct Counts {
        std::uint32_t done = 0;
        std::uint32_t running = 0;
    };
    // Of all jobs, or of those only whose counts changed since they were asked for last.
    std::vector<std::pair<std::string, Counts>> job_counts(bool all);
    // Machines and allocations looked at so far: what the picture cost, for the tests of its
    // growth.
    [[nodiscard]] std::uint64_t work() const { return work_; }
    [[nodiscard]] std::size_t job_count() const { return jobs_.size(); }
    [[nodiscard]] std::size_t machine_count() const;
    // Values of the operators' policy that were out of range, each reported once.
    std::vector<events::PolicyValueRejected> take_rejected_policy_values();
    [[nodiscard]] const std::map<JobIndex, Job>& jobs() const { return jobs_; }
    [[nodiscard]] const std::vector<Machine>& machines() const { return machines_; }
    [[nodiscard]] std::uint64_t token() const { return settings_.token; }
    [[nodiscard]] bool has_machine(const std::string& name) const {
        return machine_ids_.contains(name);
    }
    [[nodiscard]] bool has_job(const std::string& id) const { return job_ids_.contains(id); }

  private:
    static constexpr double kRateFor = 120'000;   // ms over which arrivals are counted
    static constexpr int kUnreachableMisses = 2;  // a single answer may be lost or late

    struct Reconciliation;  // a report on its way through on_report(), see heartbeats.cpp
    struct FleetHealth;     // what holds for all machines in one round of tick()
    // A task and the machine that a plan has for it.
    struct TaskPlacement {
        std::uint32_t task = 0;
        MachineIndex machine = kInvalidIndex;
    };
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
    [[nodiscard]] bool has_replicas(const Machine& machine) const;
    [[nodiscard]] JobFacts facts(const Job& job) const;
    [[nodiscard]] FleetFacts fleet_facts() const;
    [[nodiscard]] bool raise(Machine& machine) const;
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
    void add_stray(Reconciliation& step, JobIndex index, const TaskReport& task);
    void collect_exited(Reconciliation& step);

    // Commands, see commands.cpp.
    std::vector<Command> commands_for(MachineIndex index, const CommandMessage& message);
    void append_reaps(Machine& machine, const CommandMessage& message, std::vector<Command>& out);
    [[nodiscard]] bool awaits_durable_result(const TaskReport& task) const;
    void append_command(Allocation& allocation, const CommandMessage& message,
                        std::vector<Command>& out);
    PendingCommands pending_commands(const Machine& machine, bool may_start);
    void on_run_result(MachineIndex index, const Command& run, DirectResult result, Millis now);

    // Failure detection, see failure_detection.cpp.
    [[nodiscard]] Millis heartbeat_due_ms() const;
    FleetHealth fleet_health(Millis now);
    void forget_released(Machine& machine, Millis now);
    void check_up(Machine& machine, const FleetHealth& fleet, std::vector<events::Event>& events);
    [[nodiscard]] std::optional<events::MachineReleaseStarted> detect_silent(
        const Machine& machine, const FleetHealth& fleet) const;
    [[nodiscard]] Millis silence_bound(const Machine& machine, const FleetHealth& fleet) const;
    [[nodiscard]] std::optional<events::MachineReleaseStarted> detect_unreachable(
        const Machine& machine, const FleetHealth& fleet) const;
    [[nodiscard]] std::optional<events::MachineReleaseStarted> detect_lost_leases(
        const Machine& machine, const FleetHealth& fleet) const;
    [[nodiscard]] static std::optional<events::MachineReleaseStarted> detect_expired_notice(
        const Machine& machine, Millis now);
    [[nodiscard]] std::optional<events::MachineReleaseStarted> detect_unconfirmed_run(
        const Machine& machine, Millis now) const;
    void check_booting(Machine& machine, const FleetHealth& fleet,
                       std::vector<events::Event>& events) const;
    [[nodiscard]] Millis registration_bound(const Machine& machine, const FleetHealth& fleet) const;
    [[nodiscard]] Millis boot_patience(const Machine& machine) const;

    // Plans, see cluster.cpp.
    [[nodiscard]] bool start_allowed(const Job& job, const std::vector<TaskPlacement>& placements,
                                     Millis now) const;
    [[nodiscard]] static bool meets_constraints(const JobSpec& spec, const Machine& machine);
    [[nodiscard]] static bool zones_allowed(const JobSpec& spec,
                                            const std::map<ZoneIndex, std::uint32_t>& zones);
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
    void add_refused(Snapshot& out) const;
    [[nodiscard]] MachineView machine_view(MachineIndex index, const FleetFacts& fleet,
                                           Millis now) const;
    [[nodiscard]] Millis idle_keep_ms(const Machine& machine, Millis age_ms,
                                      const FleetFacts& fleet) const;
    void add_allocations(MachineIndex machine, Snapshot& out) const;
    void fill_item(const Job& job, double age_s, Millis now, WaitingJob& item) const;
    void add_zones(const Job& job, WaitingJob& item) const;
    [[nodiscard]] bool usable(const Machine& machine, Millis now) const;
    [[nodiscard]] std::uint32_t waiting(const Job& job) const;
    std::vector<std::uint32_t> take_waiting(const Job& job, std::uint32_t limit) const;
    static void take_from_waiting(Job& job, std::uint32_t task);
    void fill_guarantees(Millis now);
    void note_cut_zones(Millis now);
    [[nodiscard]] bool has_cancelled_work(const Machine& machine) const;
    [[nodiscard]] bool in_cut_zone(const Machine& machine) const {
        return machine.zone < zone_cut_.size() && zone_cut_[machine.zone] != 0;
    }
    // From when on silence counts against it.
    [[nodiscard]] Millis expected_since(const Machine& machine) const {
        const bool was_cut = machine.zone < zone_back_.size() && !in_cut_zone(machine);
        return std::max(machine.first_seen, was_cut ? zone_back_[machine.zone] : Millis{-1});
    }

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
    std::vector<char> zone_cut_;     // nearly all machines of the zone fell silent together
    std::vector<Millis> zone_back_;  // when the zone was cut off last; -1: never
    Millis drained_at_ = -1'000'000;
    Millis sure_since_ = -1;          // -1: not sure to lead
    Millis majority_silent_at_ = -1;  // when most machines were silent at once last; -1: never
    std::vector<MachineIndex> free_machines_;
    std::vector<AllocationIndex> free_allocations_;
    std::set<RecordKey> dirty_;  // records to write, urgent jobs first
    std::set<std::tuple<Millis, JobIndex, std::uint32_t>> lazy_;
    std::set<JobIndex> all_done_;  // whose final word is to be written
    // Replicas that failed again and again rest until then: time, job, task.
    std::set<std::tuple<Millis, JobIndex, std::uint32_t>> resting_;
    std::size_t ask_from_ = 0;          // where machines_to_ask() goes on
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
