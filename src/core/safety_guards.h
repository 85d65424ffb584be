/// Switches for the guards of the safety argument, so that tests can show that each is necessary.
#pragma once

namespace lichendrift::core {

/// Fault injection for tests: each switch is one guard of the safety argument in docs/design.md and
/// docs/duties.md. All are on in production, and no setting changes them. Tests switch one off at a
/// time to show that the simulation's checker, or the test of the fault, detects its absence.
struct SafetyGuards {
    // ---- allocations: they are kept while their attempt may still run or start ("When a task is
    // off a machine") ----

    /// A run is sent only after the placement record of its attempt is durable, so that a later
    /// leader knows of every attempt that may exist.
    bool record_before_run = true;
    /// Only reports that carry this leader's token release allocations: a late duplicate of a
    /// report shows an earlier state.
    bool reports_need_current_token = true;
    /// The attempt of a direct run without a response stays allocated on its machine: the run may
    /// be executed later.
    bool unconfirmed_runs_stay_allocated = true;
    /// The tasks of a silent machine stay allocated there until the cloud has confirmed its
    /// release.
    bool silent_tasks_stay_allocated = true;
    /// The answer that reaps an attempt carries a higher token than the runs that were sent to the
    /// machine directly, so that the worker refuses late duplicates of these runs once it has
    /// forgotten the attempt.
    bool reap_raises_token = true;
    /// The same for a message that halts a task, so that the worker refuses the duplicates before
    /// it may lose the attempt in a restart.
    bool halt_raises_token = true;
    /// An attempt that a worker has lost without a reap or a new session stays allocated until the
    /// worker reports a higher token than that of the attempt's direct run, so that it refuses late
    /// duplicates of this run.
    bool lost_attempts_await_token = true;
    /// A job that ends during a failover is kept until all placement records that may name its
    /// tasks are read.
    bool keep_ended_jobs_until_records_loaded = true;

    // ---- writes and reads of a controller that may no longer be the leader ----

    /// A leader's write is conditional on the revision that the leader record got at its election.
    bool leader_record_condition = true;
    /// The write of a placement record is conditional on its job being open.
    bool record_needs_open_job = true;
    /// No run is sent while the controller's copy of the open jobs may be out of date.
    bool runs_need_fresh_jobs = true;
    /// Reads for users are monotonic: no answer shows an older state than an earlier answer did.
    bool fresh_reads = true;
    /// Controllers announce cancellations to each other.
    bool cancellations_announced = true;
    /// A worker's lease is renewed only if it then ends in time for any cancellation that this
    /// controller may not know of yet.
    bool cancellations_bound_leases = true;

    // ---- requests to the cloud: a later holder of the duty can finish them (docs/duties.md) ----

    /// A request to the cloud is sent only after the intent to do so is durable.
    bool intent_before_request = true;
    /// A new holder of a duty reads the intents of earlier holders and finishes them.
    bool intents_inherited = true;
    /// An intent to release is kept until the cloud has confirmed the release.
    bool keep_release_intents = true;

    // ---- placement ----

    /// A job that has waited too long goes first and reserves resources ("Exceptions to the plain
    /// rule", 1).
    bool starvation_reservations = true;
    /// A machine on which commands have no effect gets no work and is released after a time-out
    /// ("Failure detection", unreachable).
    bool command_effect_check = true;

    // ---- upgrades: controllers of two versions run at once and have to understand the same
    // records ("Layouts of placement records") ----

    /// Off: the controller only knows the formats and messages of the version before services.
    bool current_version = true;
    /// The number of tasks per placement record does not follow the announced future limits of the
    /// state service.
    bool stable_layout = true;
};

}  // namespace lichendrift::core
