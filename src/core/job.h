/// The state of one job and of its placement records.
#pragma once

#include <map>
#include <set>

#include "core/planner.h"
#include "core/types.h"

namespace lichendrift::core {

/// The objectives of a class of jobs, in seconds from the submission.
struct ClassObjectives {
    std::vector<double> start_within_s;   ///< until its tasks have started
    std::vector<double> finish_within_s;  ///< until the job has finished
};

/// One placement record of a job. Its number tells the layout; see core/record_layout.h.
struct RecordState {
    std::uint64_t revision = 0;    ///< revision of the stored record; 0: there is none
    std::uint64_t nonce = 0;       ///< nonce of the newest write that is known to be durable
    bool dirty = false;            ///< it has to be written
    bool writing = false;          ///< a write is in flight
    Millis retry_at = 0;           ///< it is not written before
    Millis deferred_write_at = 0;  ///< when a write that only adds completed tasks is due; 0: none
};

/// What the leader knows of one job.
struct Job {
    std::string id;                   ///< as given by its user
    JobSpec spec;                     ///< what the planner needs of it
    JobDescription description;       ///< as its user submitted it
    std::uint64_t open_revision = 0;  ///< revision of its record under `open/`
    bool terminal = false;   ///< cancelled or done; kept until none of its tasks is allocated
    bool cancelled = false;  ///< cancelled, so its tasks are halted
    bool writing_terminal_state = false;   ///< a write of its terminal state is in flight
    Millis terminal_state_retry_at = 0;    ///< its terminal state is not written before
    std::uint32_t done = 0;                ///< number of completed tasks
    std::uint32_t reported_done = 0;       ///< completed tasks, as last returned by job_counts()
    std::uint32_t reported_running = 0;    ///< running tasks, as last returned by job_counts()
    std::vector<std::uint8_t> done_flags;  ///< by task; 0: not done, 1: done, 2: durably done
    std::uint32_t next_unplaced = 0;       ///< first of the tasks that were never placed
    std::set<std::uint32_t> requeued;      ///< tasks before next_unplaced that wait for a placement
    std::multimap<std::uint32_t, AllocationIndex> allocations;  ///< by task
    std::map<std::uint32_t, RecordState> records;               ///< placement records by number
    Millis waiting_since = 0;                                   ///< since when it waits
    Millis started_at = std::numeric_limits<Millis>::min();     ///< when a task was last placed
    Millis retry_at = 0;               ///< backoff: none of its tasks is placed before
    std::uint32_t failures = 0;        ///< failures since its last success
    std::set<MachineIndex> failed_on;  ///< machines on which its tasks have failed
    bool in_guarantee = false;         ///< within its team's guarantee
    std::uint32_t layout = 0;          ///< layout of its placement records; never decreases
    /// Records of the current layout that have to be durable before the records of earlier layouts
    /// may be removed.
    std::set<std::uint32_t> records_to_move;
    /// Of a service, by task: how often in a row its replica ended after a short time.
    std::map<std::uint32_t, std::uint32_t> replica_failures;
};

/// One write of a placement record.
struct RecordWrite {
    JobIndex job = kInvalidIndex;     ///< job of the record
    std::uint32_t record_number = 0;  ///< number of the record within the job
    std::string job_id;               ///< id of the job
    std::uint64_t revision = 0;       ///< condition: revision of the record; 0: it does not exist
    std::uint64_t open_revision = 0;  ///< condition: revision of the job under `open/`
    bool urgent = false;     ///< of a service or a critical job, whose start waits for this write
    PlacementRecord record;  ///< value to write
};

/// The write of a job's terminal state after its last task is done.
struct TerminalStateWrite {
    JobIndex job = kInvalidIndex;               ///< the job
    std::string job_id;                         ///< id of the job
    std::uint64_t open_revision = 0;            ///< condition: revision of the job under `open/`
    std::vector<std::uint32_t> record_numbers;  ///< records removed in the same transaction
    /// The stored value includes the job's description, as tasks may still be on machines.
    bool include_description = false;
};

}  // namespace lichendrift::core
