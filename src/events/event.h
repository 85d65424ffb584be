#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The events that a controller logs, as plain structs without behaviour. The core, which does no
/// I/O, returns them; src/events/format.h renders them as `event=NAME field=value ...`.
/// docs/operations.md describes each event and the action to take.
namespace lichendrift::events {

// ---- the controller and its peers ----

/// The process has started to serve requests.
struct ControllerStarted {
    static constexpr std::string_view kName = "controller_started";  ///< name in the log
};

/// The settings leave no time between the expiry of a worker's lease and the bound on
/// cancellations, so a partitioned leader can keep tasks of a job that was cancelled elsewhere
/// running for longer than `cancel_s`.
struct LeaseMarginTooSmall {
    static constexpr std::string_view kName = "lease_margin_too_small";  ///< name in the log
    double lease_s = 0;                                                  ///< worker lease, seconds
    double cancel_s = 0;  ///< time within which cancelled tasks must end, seconds
};

/// Every peer has reported that it runs this version or a later one.
struct AllControllersCurrent {
    static constexpr std::string_view kName = "all_controllers_current";  ///< name in the log
};

/// Every peer has reported that its duties are fenced.
struct AllControllersFenceDuties {
    static constexpr std::string_view kName = "all_controllers_fence_duties";  ///< name in the log
};

/// Messages that could not be parsed were treated like missing responses. Logged at a bounded rate.
struct MalformedMessages {
    static constexpr std::string_view kName = "malformed_messages";  ///< name in the log
    std::string_view source;                                         ///< sender of the messages
    std::uint64_t count = 0;                                         ///< since the process started
};

// ---- election ----

/// A follower has learned which controller is the leader.
struct LeaderObserved {
    static constexpr std::string_view kName = "leader_observed";  ///< name in the log
    std::string leader;              ///< name of the leading controller
    std::uint64_t leader_token = 0;  ///< fencing token of the leader
};

/// This controller has won the election and starts the failover.
struct LeaderElected {
    static constexpr std::string_view kName = "leader_elected";  ///< name in the log
};

/// The records of earlier leaders have been read; planning starts.
struct FailoverComplete {
    static constexpr std::string_view kName = "failover_complete";  ///< name in the log
    std::size_t open_jobs = 0;          ///< jobs that are neither done nor cancelled
    std::size_t placement_records = 0;  ///< number of placement records read
};

/// The leader lease, which could not be renewed in time, has been renewed; tasks are started again.
struct LeaderLeaseRecovered {
    static constexpr std::string_view kName = "leader_lease_recovered";  ///< name in the log
};

/// Why a leader stepped down.
enum class StepDownReason : std::uint8_t {
    HigherTokenAnnounced,  ///< a peer has announced a higher fencing token
    HigherTokenAtWorker,   ///< a worker has accepted commands of a later leader
    LeaderLeaseExpired,    ///< the leader lease could not be renewed in time
    AnotherLeaderElected,  ///< a conditional write to the leader record failed
    Shutdown,              ///< the process is shutting down
};

/// This controller is no longer the leader.
struct LeaderSteppedDown {
    static constexpr std::string_view kName = "leader_stepped_down";  ///< name in the log
    StepDownReason reason = StepDownReason::LeaderLeaseExpired;       ///< why
    std::uint64_t seen_token = 0;  ///< the higher fencing token that was seen; 0: unknown
};

/// Worker leases are not renewed, because jobs may have been cancelled without this controller
/// knowing.
struct LeaseRenewalsSuspended {
    static constexpr std::string_view kName = "lease_renewals_suspended";  ///< name in the log
};

/// This controller's knowledge of cancellations is up to date again, and worker leases are renewed.
struct LeaseRenewalsResumed {
    static constexpr std::string_view kName = "lease_renewals_resumed";  ///< name in the log
};

// ---- jobs ----

/// A job was accepted and has reached the leader.
struct JobOpened {
    static constexpr std::string_view kName = "job_opened";  ///< name in the log
    std::string job;                                         ///< id of the job
    std::string job_class;                                   ///< its class
    std::uint32_t tasks = 0;                                 ///< number of tasks
};

/// Tasks of a job were assigned to machines. Start commands are sent once the placement record is
/// durable.
struct JobPlaced {
    static constexpr std::string_view kName = "job_placed";  ///< name in the log
    static constexpr std::size_t kMaxMachines = 10;          ///< maximum length of `machines`
    std::string job;                                         ///< id of the job
    std::string job_class;                                   ///< its class
    std::uint64_t attempt = 0;                               ///< number of the attempt
    std::int64_t waited_s = 0;                ///< time that the job has waited, seconds
    bool image_present = false;               ///< whether the first machine has the image
    long score_percent = 0;                   ///< score of the chosen candidate
    std::vector<std::string> rejected_zones;  ///< candidate zones without room for all tasks
    std::size_t tasks = 0;                    ///< number of tasks
    std::vector<std::string> machines;        ///< names of the first kMaxMachines machines
};

/// A task is stopped to make room for a job of higher rank.
struct TaskPreempted {
    static constexpr std::string_view kName = "task_preempted";  ///< name in the log
    std::string job;                                             ///< id of the job
    std::uint32_t task = 0;                                      ///< number of the task
    std::string machine;                                         ///< name of the machine
    std::string preempted_by;  ///< id of the preempting job; empty: no longer known
};

/// The terminal state of a job is durable.
struct JobCompleted {
    static constexpr std::string_view kName = "job_completed";  ///< name in the log
    std::string job;                                            ///< id of the job
};

// ---- users ----

/// Requests were answered with 503. Logged at a bounded rate.
struct RequestsRefused {
    static constexpr std::string_view kName = "requests_refused";  ///< name in the log
    std::uint64_t count = 0;                                       ///< since the process started
    std::string_view last_reason;  ///< reason of the most recent refusal
};

/// A submission was malformed (400). Logged at debug level.
struct SubmissionMalformed {
    static constexpr std::string_view kName = "submission_malformed";  ///< name in the log
    std::string reason;                                                ///< why
    std::string body;  ///< the beginning of the request body
};

/// The state service had no terminal state of a job that is not open, so the users' requests that
/// waited for this read were told that there is no such job. The ages show whether the read and the
/// copy of the open jobs are newer than the requests. Logged at debug level.
struct TerminalStateNotFound {
    static constexpr std::string_view kName = "terminal_state_not_found";  ///< name in the log
    std::string job;                                                       ///< id of the job
    std::size_t requests = 0;              ///< number of requests that waited for the read
    std::int64_t read_age_ms = 0;          ///< time since the read was sent
    std::int64_t last_request_age_ms = 0;  ///< time since the last of the requests began to wait
    std::int64_t copy_age_ms = 0;  ///< age of the copy that the last of the requests looked at
};

// ---- machines ----

/// Why a machine is released.
enum class ReleaseReason : std::uint8_t {
    Idle,             ///< it runs nothing and is not expected to be needed
    Silent,           ///< no heartbeat for longer than the heartbeat timeout
    Unreachable,      ///< its heartbeats arrive, but commands sent to it have no effect
    LeasesLost,       ///< it has lost its lease repeatedly
    NoticeExpired,    ///< the notice period given by the cloud has ended
    UnconfirmedRun,   ///< a delayed command may still start a cancelled task on it
    NeverRegistered,  ///< no heartbeat since it was provisioned or listed by the cloud
};

/// A machine gets no new tasks and the cloud will be asked to release it.
struct MachineReleaseStarted {
    static constexpr std::string_view kName = "machine_release_started";  ///< name in the log
    std::string machine;                                                  ///< name of the machine
    ReleaseReason reason = ReleaseReason::Idle;                           ///< why
    std::int64_t for_ms = 0;  ///< how long it was silent or unreachable; 0: does not apply
    std::string job;          ///< id of the job for ReleaseReason::UnconfirmedRun
};

/// A machine is being drained, so that it can be released when it is empty.
struct MachineDrainStarted {
    static constexpr std::string_view kName = "machine_drain_started";  ///< name in the log
    std::string machine;                                                ///< name of the machine
};

/// The drain of a machine was cancelled because resources have become scarce.
struct MachineDrainCancelled {
    static constexpr std::string_view kName = "machine_drain_cancelled";  ///< name in the log
    std::string machine;                                                  ///< name of the machine
};

/// The cloud has confirmed the release of machines.
struct MachinesReleased {
    static constexpr std::string_view kName = "machines_released";  ///< name in the log
    std::size_t count = 0;                                          ///< how many
    std::string first_machine;                                      ///< the first of them
};

/// This leader completes releases that an earlier leader had decided.
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

/// The cloud has responded to a provisioning request.
struct ProvisionCompleted {
    static constexpr std::string_view kName = "provision_completed";  ///< name in the log
    std::string request;                                              ///< name of the request
    std::size_t machines = 0;  ///< number of machines provisioned
    bool no_capacity = false;  ///< whether the cloud had fewer machines than requested
};

// ---- stored state ----

/// A stored value could not be parsed. It is left in place and otherwise ignored.
struct RecordUnreadable {
    static constexpr std::string_view kName = "record_unreadable";  ///< name in the log
    std::string key;                                                ///< key in the state service
};

/// The state service rejected a transaction within its known limits, so the limits must have been
/// lowered.
struct StateLimitsLowered {
    static constexpr std::string_view kName = "state_limits_lowered";  ///< name in the log
    std::size_t rejected_operations = 0;   ///< operations of the rejected transaction
    std::size_t rejected_value_bytes = 0;  ///< size of its largest value
    std::size_t max_operations = 0;        ///< new limit on operations per transaction
    std::size_t max_value_bytes = 0;       ///< new limit on the size of a value, bytes
};

// ---- duties ----

/// This controller has become the holder of a duty.
struct DutyAcquired {
    static constexpr std::string_view kName = "duty_acquired";  ///< name in the log
    std::string_view duty;                                      ///< name of the duty
    std::uint64_t epoch = 0;                                    ///< epoch of the holder
};

/// How a controller stopped holding a duty.
enum class DutyEnd : std::uint8_t {
    Lost,        ///< another controller holds it
    HandedOver,  ///< released early, so that another controller can acquire it at once
    GivenUp,     ///< its record cannot be parsed
};

/// This controller no longer holds a duty.
struct DutyEnded {
    static constexpr std::string_view kName = "duty_ended";  ///< name in the log
    std::string_view duty;                                   ///< name of the duty
    DutyEnd how = DutyEnd::Lost;                             ///< what ended it
    std::uint64_t epoch = 0;            ///< epoch of the holder; 0: it was lost before
    std::uint64_t removed_records = 0;  ///< removed by the cleanup duty since the process started
};

/// The cloud refused a request because it has seen a later epoch of the duty.
struct StaleEpochRefused {
    static constexpr std::string_view kName = "stale_epoch_refused";  ///< name in the log
    std::string request;  ///< "release", or the name of a provisioning request
};

/// An intent has been open for an unusually long time.
struct IntentOverdue {
    static constexpr std::string_view kName = "intent_overdue";  ///< name in the log
    std::string key;                                             ///< key in the state service
    std::int64_t open_s = 0;        ///< how long it has been open, seconds
    std::size_t releases = 0;       ///< machines that are still to be released
    std::string first_machine;      ///< the first of them
    std::string provision_request;  ///< name of the provisioning request that is still to be made
};

/// Counts of intents, logged once a minute.
struct IntentsReport {
    static constexpr std::string_view kName = "intents_report";  ///< name in the log
    std::size_t open = 0;                                        ///< not settled yet
    std::uint64_t written = 0;                                   ///< number that became durable
    std::uint64_t settled = 0;                                   ///< number carried out
    std::uint64_t inherited = 0;             ///< number taken over from earlier holders of the duty
    std::uint64_t withdrawn_provisions = 0;  ///< provisions given up before they were requested
    std::uint64_t damaged = 0;               ///< number that could not be parsed
    std::uint64_t stale_refused = 0;         ///< requests refused for a stale epoch
};

/// A placement record that belongs to no job. It is left in place.
struct CleanupSuspicious {
    static constexpr std::string_view kName = "cleanup_suspicious";  ///< name in the log
    std::string key;                                                 ///< key in the state service
};

/// In report mode: a record that would be removed in remove mode.
struct CleanupWouldRemove {
    static constexpr std::string_view kName = "cleanup_would_remove";  ///< name in the log
    std::string key;                                                   ///< key in the state service
};

/// Records that are no longer needed were removed.
struct CleanupRemoved {
    static constexpr std::string_view kName = "cleanup_removed";  ///< name in the log
    std::size_t count = 0;                                        ///< how many
    std::string first_key;                                        ///< the first of them
};

// ---- policy ----

/// An expression of the operators' policy evaluated to a value that is not finite or out of range;
/// the built-in expression is used instead. Logged once for each setting.
struct PolicyValueRejected {
    static constexpr std::string_view kName = "policy_value_rejected";  ///< name in the log
    std::string setting;                                                ///< name of the setting
    std::string expression;                                             ///< its source text
    double value = 0;                                                   ///< the rejected value
    double minimum = 0;                                                 ///< smallest allowed value
    double maximum = 0;                                                 ///< largest allowed value
};

/// Any of the events above.
using Event =
    std::variant<ControllerStarted, LeaseMarginTooSmall, AllControllersCurrent,
                 AllControllersFenceDuties, MalformedMessages, LeaderObserved, LeaderElected,
                 FailoverComplete, LeaderLeaseRecovered, LeaderSteppedDown, LeaseRenewalsSuspended,
                 LeaseRenewalsResumed, JobOpened, JobPlaced, TaskPreempted, JobCompleted,
                 RequestsRefused, SubmissionMalformed, TerminalStateNotFound, MachineReleaseStarted,
                 MachineDrainStarted, MachineDrainCancelled, MachinesReleased, ReleasesInherited,
                 ProvisionRequested, ProvisionCompleted, RecordUnreadable, StateLimitsLowered,
                 DutyAcquired, DutyEnded, StaleEpochRefused, IntentOverdue, IntentsReport,
                 CleanupSuspicious, CleanupWouldRemove, CleanupRemoved, PolicyValueRejected>;

}  // namespace lichendrift::events
