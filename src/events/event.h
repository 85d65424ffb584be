#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Everything that a controller logs, as typed events: plain values without behaviour. The pure
/// core returns them, src/events/format.h renders them as `event=NAME field=value ...`.
/// docs/operations.md lists them with what to do about each.
namespace lichendrift::events {

// ---- the controller and its peers ----

/// The process has begun to serve.
struct ControllerStarted {
    static constexpr std::string_view kName = "controller_started";  ///< name in the log
};

/// The settings leave no time between the end of a worker's lease and the bound on cancellations,
/// so a leader that is cut off can keep work that was cancelled elsewhere for longer than
/// `cancel_s`.
struct LeaseMarginTooSmall {
    static constexpr std::string_view kName = "lease_margin_too_small";  ///< name in the log
    double lease_s = 0;                                                  ///< worker lease, seconds
    double cancel_s = 0;  ///< bound on cancelled tasks, seconds
};

/// Every peer has answered that it is of this version or a later one.
struct AllControllersCurrent {
    static constexpr std::string_view kName = "all_controllers_current";  ///< name in the log
};

/// Every peer has answered that its duties are fenced.
struct AllControllersFenceDuties {
    static constexpr std::string_view kName = "all_controllers_fence_duties";  ///< name in the log
};

/// Messages that could not be parsed were treated as no answer. Logged at a bounded rate.
struct MalformedMessages {
    static constexpr std::string_view kName = "malformed_messages";  ///< name in the log
    std::string_view source;                                         ///< who sent them
    std::uint64_t count = 0;                                         ///< since the start
};

// ---- election ----

/// A follower has read who leads.
struct LeaderObserved {
    static constexpr std::string_view kName = "leader_observed";  ///< name in the log
    std::string leader;              ///< name of the leading controller
    std::uint64_t leader_token = 0;  ///< its fencing token
};

/// This controller has won the election; the failover begins.
struct LeaderElected {
    static constexpr std::string_view kName = "leader_elected";  ///< name in the log
};

/// The records of earlier leaders are read: planning begins.
struct FailoverComplete {
    static constexpr std::string_view kName = "failover_complete";  ///< name in the log
    std::size_t open_jobs = 0;          ///< jobs that are neither done nor cancelled
    std::size_t placement_records = 0;  ///< records read
};

/// The leader lease could not be renewed in time and now is renewed again: starts go on.
struct LeaderLeaseRecovered {
    static constexpr std::string_view kName = "leader_lease_recovered";  ///< name in the log
};

/// Why a leader stepped down.
enum class StepDownReason : std::uint8_t {
    HigherTokenAnnounced,  ///< by a peer
    HigherTokenAtWorker,   ///< a worker has accepted commands of a later leader
    LeaderLeaseExpired,    ///< it could not be renewed in time
    AnotherLeaderElected,  ///< a conditional write failed on the leader record
    Shutdown,              ///< the process ends
};

/// This controller leads no longer.
struct LeaderSteppedDown {
    static constexpr std::string_view kName = "leader_stepped_down";  ///< name in the log
    StepDownReason reason = StepDownReason::LeaderLeaseExpired;       ///< why
    std::uint64_t seen_token = 0;                                     ///< 0: not known
};

/// No worker's lease is renewed: jobs may have been cancelled that are not known here.
struct LeaseRenewalsSuspended {
    static constexpr std::string_view kName = "lease_renewals_suspended";  ///< name in the log
};

/// Cancellations are known up to date again, and leases are renewed.
struct LeaseRenewalsResumed {
    static constexpr std::string_view kName = "lease_renewals_resumed";  ///< name in the log
};

// ---- jobs ----

/// A job was accepted and is known to the leader.
struct JobOpened {
    static constexpr std::string_view kName = "job_opened";  ///< name in the log
    std::string job;                                         ///< id of the job
    std::string job_class;                                   ///< its class
    std::uint32_t tasks = 0;                                 ///< number of tasks
};

/// Tasks of a job got machines. Their start commands follow once the placement record is durable.
struct JobPlaced {
    static constexpr std::string_view kName = "job_placed";  ///< name in the log
    static constexpr std::size_t kMaxMachines = 10;          ///< how many machines are named
    std::string job;                                         ///< id of the job
    std::string job_class;                                   ///< its class
    std::uint64_t attempt = 0;                               ///< number of the attempt
    std::int64_t waited_s = 0;                ///< time since it began to wait, seconds
    bool image_present = false;               ///< on the first machine
    long score_percent = 0;                   ///< score of the chosen candidate
    std::vector<std::string> rejected_zones;  ///< candidates without room for the whole
    std::size_t tasks = 0;                    ///< number of tasks
    std::vector<std::string> machines;        ///< kMaxMachines at most
};

/// A task is stopped for work of higher rank.
struct TaskPreempted {
    static constexpr std::string_view kName = "task_preempted";  ///< name in the log
    std::string job;                                             ///< id of the job
    std::uint32_t task = 0;                                      ///< number of the task
    std::string machine;                                         ///< name of the machine
    std::string preempted_by;  ///< a job; empty: not known any more
};

/// The terminal state is durable.
struct JobCompleted {
    static constexpr std::string_view kName = "job_completed";  ///< name in the log
    std::string job;                                            ///< id of the job
};

// ---- users ----

/// Requests were answered with 503. Logged at a bounded rate.
struct RequestsRefused {
    static constexpr std::string_view kName = "requests_refused";  ///< name in the log
    std::uint64_t count = 0;                                       ///< since the start
    std::string_view last_reason;                                  ///< of the last one
};

/// A submission was malformed (400). Logged at debug level.
struct SubmissionMalformed {
    static constexpr std::string_view kName = "submission_malformed";  ///< name in the log
    std::string reason;                                                ///< why
    std::string body;  ///< the beginning of the message
};

// ---- machines ----

/// Why a machine is released.
enum class ReleaseReason : std::uint8_t {
    Idle,             ///< nothing is on it and nothing is expected
    Silent,           ///< no heartbeat for longer than the patience
    Unreachable,      ///< its heartbeats come, and nothing that is sent to it has an effect
    LeasesLost,       ///< it loses one lease after the other
    NoticeExpired,    ///< the cloud's notice has run out
    UnconfirmedRun,   ///< a cancelled task may still be started there by a late command
    NeverRegistered,  ///< no heartbeat came since it was provisioned or listed
};

/// The machine gets no new work and the cloud will be asked to release it.
struct MachineReleaseStarted {
    static constexpr std::string_view kName = "machine_release_started";  ///< name in the log
    std::string machine;                                                  ///< name of the machine
    ReleaseReason reason = ReleaseReason::Idle;                           ///< why
    std::int64_t for_ms = 0;  ///< how long it was silent or unreachable; 0: does not apply
    std::string job;          ///< of the unconfirmed run
};

/// The machine is drained, so that it can be released when it is empty.
struct MachineDrainStarted {
    static constexpr std::string_view kName = "machine_drain_started";  ///< name in the log
    std::string machine;                                                ///< name of the machine
};

/// Resources have become short, and a machine that was being drained is kept.
struct MachineDrainCancelled {
    static constexpr std::string_view kName = "machine_drain_cancelled";  ///< name in the log
    std::string machine;                                                  ///< name of the machine
};

/// The cloud has confirmed a release.
struct MachinesReleased {
    static constexpr std::string_view kName = "machines_released";  ///< name in the log
    std::size_t count = 0;                                          ///< how many
    std::string first_machine;                                      ///< the first of them
};

/// An earlier leader meant to release these machines; this one finishes it.
struct ReleasesInherited {
    static constexpr std::string_view kName = "releases_inherited";  ///< name in the log
    std::size_t count = 0;                                           ///< how many
    std::string first_machine;                                       ///< the first of them
};

/// The cloud will be asked for machines.
struct ProvisionRequested {
    static constexpr std::string_view kName = "provision_requested";  ///< name in the log
    std::string request;                                              ///< name of the request
    std::uint32_t count = 0;                                          ///< how many
    std::string type;                                                 ///< machine type
    std::string zone;                                                 ///< zone
    bool spot = false;                                                ///< whether spot machines
};

/// The cloud has responded to such a request.
struct ProvisionCompleted {
    static constexpr std::string_view kName = "provision_completed";  ///< name in the log
    std::string request;                                              ///< name of the request
    std::size_t machines = 0;                                         ///< that came
    bool no_capacity = false;  ///< whether the cloud had too few
};

// ---- stored state ----

/// A stored value could not be parsed. It is left in place, and nothing is done on its account.
struct RecordUnreadable {
    static constexpr std::string_view kName = "record_unreadable";  ///< name in the log
    std::string key;                                                ///< key in the state service
};

/// The state service rejects what was allowed before: its limits have fallen.
struct StateLimitsLowered {
    static constexpr std::string_view kName = "state_limits_lowered";  ///< name in the log
    std::size_t rejected_operations = 0;   ///< operations of the rejected transaction
    std::size_t rejected_value_bytes = 0;  ///< size of its largest value
    std::size_t max_operations = 0;        ///< from now on
    std::size_t max_value_bytes = 0;       ///< from now on, bytes
};

// ---- duties ----

/// This controller holds a duty.
struct DutyAcquired {
    static constexpr std::string_view kName = "duty_acquired";  ///< name in the log
    std::string_view duty;                                      ///< name of the duty
    std::uint64_t epoch = 0;                                    ///< epoch of the holder
};

/// How the tenure of a duty ended.
enum class DutyEnd : std::uint8_t {
    Lost,        ///< to another controller
    HandedOver,  ///< so that another controller can take it at once
    GivenUp,     ///< its record cannot be understood
};

/// This controller holds a duty no longer.
struct DutyEnded {
    static constexpr std::string_view kName = "duty_ended";  ///< name in the log
    std::string_view duty;                                   ///< name of the duty
    DutyEnd how = DutyEnd::Lost;                             ///< what ended it
    std::uint64_t epoch = 0;                                 ///< 0: it was lost before
    std::uint64_t removed_records = 0;  ///< by the cleanup duty, since the start
};

/// The cloud knows a later epoch of the duty and has refused a request.
struct StaleEpochRefused {
    static constexpr std::string_view kName = "stale_epoch_refused";  ///< name in the log
    std::string request;  ///< "release", or the name of a provisioning request
};

/// An intent has been open for an unusually long time.
struct IntentOverdue {
    static constexpr std::string_view kName = "intent_overdue";  ///< name in the log
    std::string key;                                             ///< key in the state service
    std::int64_t open_s = 0;                                     ///< since when, seconds
    std::size_t releases = 0;       ///< machines that are still to be released
    std::string first_machine;      ///< the first of them
    std::string provision_request;  ///< name of the request that is still to be made
};

/// Counts of intents, once a minute.
struct IntentsReport {
    static constexpr std::string_view kName = "intents_report";  ///< name in the log
    std::size_t open = 0;                                        ///< not settled yet
    std::uint64_t written = 0;                                   ///< became durable
    std::uint64_t settled = 0;                                   ///< carried out
    std::uint64_t inherited = 0;                                 ///< left by earlier holders
    std::uint64_t withdrawn_provisions = 0;  ///< given up before they were requested
    std::uint64_t damaged = 0;               ///< not readable
    std::uint64_t stale_refused = 0;         ///< requests refused for a stale epoch
};

/// A placement record that belongs to no job. It is left in place.
struct CleanupSuspicious {
    static constexpr std::string_view kName = "cleanup_suspicious";  ///< name in the log
    std::string key;                                                 ///< key in the state service
};

/// In report mode: what would be removed.
struct CleanupWouldRemove {
    static constexpr std::string_view kName = "cleanup_would_remove";  ///< name in the log
    std::string key;                                                   ///< key in the state service
};

/// Records of no use were removed.
struct CleanupRemoved {
    static constexpr std::string_view kName = "cleanup_removed";  ///< name in the log
    std::size_t count = 0;                                        ///< how many
    std::string first_key;                                        ///< the first of them
};

// ---- policy ----

/// An expression of the operators' policy gave a value that is not finite or out of range; the
/// built-in value is used. Logged once for each setting.
struct PolicyValueRejected {
    static constexpr std::string_view kName = "policy_value_rejected";  ///< name in the log
    std::string setting;                                                ///< name of the setting
    std::string expression;                                             ///< its source text
    double value = 0;                                                   ///< what it gave
    double minimum = 0;                                                 ///< smallest allowed value
    double maximum = 0;                                                 ///< largest allowed value
};

/// Any event.
using Event =
    std::variant<ControllerStarted, LeaseMarginTooSmall, AllControllersCurrent,
                 AllControllersFenceDuties, MalformedMessages, LeaderObserved, LeaderElected,
                 FailoverComplete, LeaderLeaseRecovered, LeaderSteppedDown, LeaseRenewalsSuspended,
                 LeaseRenewalsResumed, JobOpened, JobPlaced, TaskPreempted, JobCompleted,
                 RequestsRefused, SubmissionMalformed, MachineReleaseStarted, MachineDrainStarted,
                 MachineDrainCancelled, MachinesReleased, ReleasesInherited, ProvisionRequested,
                 ProvisionCompleted, RecordUnreadable, StateLimitsLowered, DutyAcquired, DutyEnded,
                 StaleEpochRefused, IntentOverdue, IntentsReport, CleanupSuspicious,
                 CleanupWouldRemove, CleanupRemoved, PolicyValueRejected>;

}  // namespace lichendrift::events
