/// The guards of the safety argument as switches, so that tests can prove each of them necessary.
#pragma once

namespace lichendrift::core {

/// Fault injection for tests: each switch is one guard of the safety argument in docs/design.md and
/// docs/duties.md. All are on in production; no setting reaches them. The tests switch one off at a
/// time to show that their checker, or the test of the fault, sees its loss.
struct SafetyGuards {
    // ---- "When a task is off a machine" ----

    /// No run is sent before the placement record of its attempt is durable: a later leader knows
    /// of every attempt there may be.
    bool record_before_run = true;
    /// Only heartbeats under the leader's own token free tasks: a late copy shows an earlier state.
    bool reports_need_current_token = true;
    /// A direct run without an answer still counts on its machine: it may be carried out later.
    bool unconfirmed_runs_stay_allocated = true;
    /// The tasks of a silent machine count there until the cloud has confirmed its release.
    bool silent_tasks_stay_allocated = true;
    /// The answer that reaps an attempt carries a higher token than the runs that were sent there
    /// directly: their copies are refused once the worker has forgotten the attempt.
    bool reap_raises_token = true;
    /// A job that ends during a failover is kept until the records that may name its tasks are
    /// read.
    bool keep_ended_jobs_until_records_loaded = true;

    // ---- writes and reads of a controller that may not lead any more ----

    /// A write fails unless the leader record has the revision at which its leader won.
    bool leader_record_condition = true;
    /// A placement record is only written while its job is open.
    bool record_needs_open_job = true;
    /// No run is sent while the copy of the open jobs may be out of date.
    bool runs_need_fresh_jobs = true;
    /// Users get no answer older than one given before.
    bool fresh_reads = true;
    /// Controllers announce cancellations to each other.
    bool cancellations_announced = true;
    /// No worker's lease is renewed past a cancellation that may be unknown here.
    bool cancellations_bound_leases = true;

    // ---- requests to the cloud (docs/duties.md) ----

    /// The cloud is asked for nothing before the intent to do so is durable.
    bool intent_before_request = true;
    /// A new holder reads the intents of earlier ones and finishes them.
    bool intents_inherited = true;
    /// An intent to release stays until the cloud has confirmed the release.
    bool keep_release_intents = true;

    // ---- placement ----

    /// What waited too long goes first and reserves resources ("Exceptions to the plain rule", 1).
    bool starvation_reservations = true;
    /// A machine that nothing sent reaches gets no work ("Failure detection", unreachable).
    bool command_effect_check = true;

    // ---- upgrades ("Layouts of placement records") ----

    /// Off: the controller knows the formats and messages of the version before services only.
    bool current_version = true;
    /// The division into placement records does not follow the limits to come.
    bool stable_layout = true;
};

}  // namespace lichendrift::core
