#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// Everything that a controller logs, as typed events: plain values without behaviour. The pure core
// returns them, src/events/format.h renders them as `event=NAME field=value ...`.
// docs/operations.md lists them with what to do about each.
namespace lichendrift::events {

// ---- the controller and its peers ----

// The process has begun to serve.
struct ControllerStarted {
    static constexpr std::string_view kName = "controller_started";
};

// The settings leave no time between the end of a worker's lease and the bound on cancellations, so
// a leader that is cut off can keep work that was cancelled elsewhere for longer than `cancel_s`.
struct LeaseMarginTooSmall {
    static constexpr std::string_view kName = "lease_margin_too_small";
    double lease_s = 0;
    double cancel_s = 0;
};

// Every peer has answered that it is of this version or a later one.
struct AllControllersCurrent {
    static constexpr std::string_view kName = "all_controllers_current";
};

// Every peer has answered that its duties are fenced.
struct AllControllersFenceDuties {
    static constexpr std::string_view kName = "all_controllers_fence_duties";
};

// Messages that could not be parsed were treated as no answer. Logged at a bounded rate.
struct MalformedMessages {
    static constexpr std::string_view kName = "malformed_messages";
    std::string_view source;
    std::uint64_t count = 0;  // since the start
};

// ---- election ----

// A follower has read who leads.
struct LeaderObserved {
    static constexpr std::string_view kName = "leader_observed";
    std::string leader;
    std::uint64_t leader_token = 0;
};

// This controller has won the election; the failover begins.
struct LeaderElected {
    static constexpr std::string_view kName = "leader_elected";
};

// The records of earlier leaders are read: planning begins.
struct FailoverComplete {
    static constexpr std::string_view kName = "failover_complete";
    std::size_t open_jobs = 0;
    std::size_t placement_records = 0;
};

// The leader lease could not be renewed in time and now is renewed again: starts go on.
struct LeaderLeaseRecovered {
    static constexpr std::string_view kName = "leader_lease_recovered";
};

enum class StepDownReason : std::uint8_t {
    HigherTokenAnnounced,  // by a peer
    HigherTokenAtWorker,   // a worker has accepted commands of a later leader
    LeaderLeaseExpired,
    AnotherLeaderElected,  // a conditional write failed on the leader record
    Shutdown,
};

struct LeaderSteppedDown {
    static constexpr std::string_view kName = "leader_stepped_down";
    StepDownReason reason = StepDownReason::LeaderLeaseExpired;
    std::uint64_t seen_token = 0;  // 0: not known
};

// No worker's lease is renewed: jobs may have been cancelled that are not known here.
struct LeaseRenewalsSuspended {
    static constexpr std::string_view kName = "lease_renewals_suspended";
};

struct LeaseRenewalsResumed {
    static constexpr std::string_view kName = "lease_renewals_resumed";
};

// ---- jobs ----

struct JobOpened {
    static constexpr std::string_view kName = "job_opened";
    std::string job;
    std::string job_class;
    std::uint32_t tasks = 0;
};

// Tasks of a job got machines. Their start commands follow once the placement record is durable.
struct JobPlaced {
    static constexpr std::string_view kName = "job_placed";
    static constexpr std::size_t kMaxMachines = 10;
    std::string job;
    std::string job_class;
    std::uint64_t attempt = 0;
    std::int64_t waited_s = 0;
    bool image_present = false;  // on the first machine
    long score_percent = 0;
    std::vector<std::string> rejected_zones;  // candidates without room for the whole
    std::size_t tasks = 0;
    std::vector<std::string> machines;  // kMaxMachines at most
};

// A task is stopped for work of higher rank.
struct TaskPreempted {
    static constexpr std::string_view kName = "task_preempted";
    std::string job;
    std::uint32_t task = 0;
    std::string machine;
    std::string preempted_by;  // a job; empty: not known any more
};

// The terminal state is durable.
struct JobCompleted {
    static constexpr std::string_view kName = "job_completed";
    std::string job;
};

// ---- users ----

// Requests were answered with 503. Logged at a bounded rate.
struct RequestsRefused {
    static constexpr std::string_view kName = "requests_refused";
    std::uint64_t count = 0;  // since the start
    std::string_view last_reason;
};

// A submission was malformed (400). Logged at debug level.
struct SubmissionMalformed {
    static constexpr std::string_view kName = "submission_malformed";
    std::string reason;
    std::string body;
};

// ---- machines ----

enum class ReleaseReason : std::uint8_t {
    Idle,
    Silent,           // no heartbeat for longer than the patience
    Unreachable,      // its heartbeats come, and nothing that is sent to it has an effect
    LeasesLost,       // it loses one lease after the other
    NoticeExpired,    // the cloud's notice has run out
    UnconfirmedRun,   // a cancelled task may still be started there by a late command
    NeverRegistered,  // no heartbeat came since it was provisioned or listed
};

// The machine gets no new work and the cloud will be asked to release it.
struct MachineReleaseStarted {
    static constexpr std::string_view kName = "machine_release_started";
    std::string machine;
    ReleaseReason reason = ReleaseReason::Idle;
    std::int64_t for_ms = 0;  // how long it was silent or unreachable; 0: does not apply
    std::string job;          // of the unconfirmed run
};

// The machine is drained, so that it can be released when it is empty.
struct MachineDrainStarted {
    static constexpr std::string_view kName = "machine_drain_started";
    std::string machine;
};

// Resources have become short, and a machine that was being drained is kept.
struct MachineDrainCancelled {
    static constexpr std::string_view kName = "machine_drain_cancelled";
    std::string machine;
};

// The cloud has confirmed a release.
struct MachinesReleased {
    static constexpr std::string_view kName = "machines_released";
    std::size_t count = 0;
    std::string first_machine;
};

// An earlier leader meant to release these machines; this one finishes it.
struct ReleasesInherited {
    static constexpr std::string_view kName = "releases_inherited";
    std::size_t count = 0;
    std::string first_machine;
};

struct ProvisionRequested {
    static constexpr std::string_view kName = "provision_requested";
    std::string request;
    std::uint32_t count = 0;
    std::string type;
    std::string zone;
    bool spot = false;
};

struct ProvisionCompleted {
    static constexpr std::string_view kName = "provision_completed";
    std::string request;
    std::size_t machines = 0;  // that came
    bool no_capacity = false;
};

// ---- stored state ----

// A stored value could not be parsed. It is left in place, and nothing is done on its account.
struct RecordUnreadable {
    static constexpr std::string_view kName = "record_unreadable";
    std::string key;
};

// The state service rejects what was allowed before: its limits have fallen.
struct StateLimitsLowered {
    static constexpr std::string_view kName = "state_limits_lowered";
    std::size_t rejected_operations = 0;
    std::size_t rejected_value_bytes = 0;
    std::size_t max_operations = 0;  // from now on
    std::size_t max_value_bytes = 0;
};

// ---- duties ----

struct DutyAcquired {
    static constexpr std::string_view kName = "duty_acquired";
    std::string_view duty;
    std::uint64_t epoch = 0;
};

enum class DutyEnd : std::uint8_t { Lost, HandedOver, GivenUp };

struct DutyEnded {
    static constexpr std::string_view kName = "duty_ended";
    std::string_view duty;
    DutyEnd how = DutyEnd::Lost;
    std::uint64_t epoch = 0;            // 0: it was lost before
    std::uint64_t removed_records = 0;  // by the cleanup duty, since the start
};

// The cloud knows a later epoch of the duty and has refused a request.
struct StaleEpochRefused {
    static constexpr std::string_view kName = "stale_epoch_refused";
    std::string request;  // "release", or the name of a provisioning request
};

// An intent has been open for an unusually long time.
struct IntentOverdue {
    static constexpr std::string_view kName = "intent_overdue";
    std::string key;
    std::int64_t open_s = 0;
    std::size_t releases = 0;
    std::string first_machine;
    std::string provision_request;
};

// Counts of intents, once a minute.
struct IntentsReport {
    static constexpr std::string_view kName = "intents_report";
    std::size_t open = 0;
    std::uint64_t written = 0;
    std::uint64_t settled = 0;
    std::uint64_t inherited = 0;
    std::uint64_t withdrawn_provisions = 0;
    std::uint64_t damaged = 0;
    std::uint64_t stale_refused = 0;
};

// A placement record that belongs to no job. It is left in place.
struct CleanupSuspicious {
    static constexpr std::string_view kName = "cleanup_suspicious";
    std::string key;
};

// In report mode: what would be removed.
struct CleanupWouldRemove {
    static constexpr std::string_view kName = "cleanup_would_remove";
    std::string key;
};

struct CleanupRemoved {
    static constexpr std::string_view kName = "cleanup_removed";
    std::size_t count = 0;
    std::string first_key;
};

// ---- policy ----

// An expression of the operators' policy gave a value that is not finite or out of range; the
// built-in value is used. Logged once for each setting.
struct PolicyValueRejected {
    static constexpr std::string_view kName = "policy_value_rejected";
    std::string setting;
    std::string expression;
    double value = 0;
    double minimum = 0;
    double maximum = 0;
};

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
