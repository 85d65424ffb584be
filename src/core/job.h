/// The state of one job and of its placement records.
#pragma once

#include <map>
#include <set>

#include "core/planner.h"
#include "core/types.h"

namespace lichendrift::core {

/// What the objectives ask for a class of jobs, seconds from the submission.
struct ClassObjectives {
    std::vector<double> start_within_s;   ///< until its tasks are started
    std::vector<double> finish_within_s;  ///< until the job is done
};

/// One placement record of a job. Its number tells the layout; see core/record_layout.h.
struct RecordState {
    std::uint64_t revision = 0;  ///< of the stored record; 0: none
    std::uint64_t nonce = 0;     ///< of the newest write that is known to be durable
    bool dirty = false;          ///< to be written
    bool writing = false;        ///< a write is under way
    Millis retry_at = 0;         ///< not written before
    Millis lazy_at = 0;          ///< when a write that only adds done tasks is due; 0: none
};

/// What the leader knows of one job.
struct Job {
    std::string id;                   ///< as given by its user
    JobSpec spec;                     ///< what placement looks at
    JobDescription description;       ///< as submitted
    std::uint64_t open_revision = 0;  ///< of its record under `open/`
    bool terminal = false;            ///< cancelled or done: only waits for its tasks to be gone
    bool cancelled = false;           ///< cancelled; its tasks are halted
    bool writing_terminal_state = false;   ///< its terminal state is being written
    Millis terminal_state_retry_at = 0;    ///< its terminal state is not written before
    std::uint32_t done = 0;                ///< number of tasks that have completed
    std::uint32_t reported_done = 0;       ///< as given out last by job_counts()
    std::uint32_t reported_running = 0;    ///< as given out last by job_counts()
    std::vector<std::uint8_t> done_flags;  ///< by task; 0: not done, 1: done, 2: durably so
    std::uint32_t next_unplaced = 0;       ///< tasks from here on were never placed
    std::set<std::uint32_t> requeued;      ///< tasks before next_unplaced that wait
    std::multimap<std::uint32_t, AllocationIndex> allocations;  ///< by task
    std::map<std::uint32_t, RecordState> records;               ///< placement records by number
    Millis waiting_since = 0;                                   ///< since when it waits
    Millis started_at = std::numeric_limits<Millis>::min();     ///< when a task was placed last
    Millis retry_at = 0;               ///< back-off: nothing of it is placed before
    std::uint32_t failures = 0;        ///< since its last success
    std::set<MachineIndex> failed_on;  ///< machines on which tasks of it have failed
    bool in_guarantee = false;         ///< within the guarantee of its team
    std::uint32_t layout = 0;          ///< of its placement records; never goes back
    /// Records of the present layout that have to be durable before those of earlier layouts may
    /// be removed.
    std::set<std::uint32_t> records_to_move;
    std::map<std::uint32_t, std::uint32_t> replica_failures;  ///< of a service, in a row, by task
};

/// One write of a placement record.
struct RecordWrite {
    JobIndex job = kInvalidIndex;     ///< whose record
    std::uint32_t record_number = 0;  ///< which of its records
    std::string job_id;               ///< id of the job
    std::uint64_t revision = 0;       ///< condition: revision of the record; 0: there is none
    std::uint64_t open_revision = 0;  ///< condition: revision of the job under `open/`
    bool urgent = false;     ///< of a service or a critical job: its start waits for this write
    PlacementRecord record;  ///< the value
};

/// The write of a job's terminal state after its last task is done.
struct TerminalStateWrite {
    JobIndex job = kInvalidIndex;               ///< which job
    std::string job_id;                         ///< its id
    std::uint64_t open_revision = 0;            ///< condition: revision of the job under `open/`
    std::vector<std::uint32_t> record_numbers;  ///< records removed in the same transaction
    bool with_job = false;  ///< tasks may still be on machines: the terminal state keeps the job
};

}  // namespace lichendrift::core
