// Records in the state service: which of them have to be written, and the outcomes of the writes.
#include "core/cluster.h"
#include "core/record_layout.h"
#include "core/state_keys.h"

namespace lichendrift::core {

namespace {

constexpr Millis kDeferredWriteDelay = 8000;
constexpr Millis kJobNotOpenRetryDelay = 2000;
// Added to kDeferredWriteDelay: a deferred write is then made even if other writes wait.
constexpr Millis kMaxExtraDeferral = 20000;

constexpr Millis kWriteRetryDelay = 300;  // after a write that failed
// Size of the key and the conditions of a record in a transaction.
constexpr std::size_t kKeyBytes = 200;
constexpr std::uint64_t kNoncesPerToken = 1'000'000;
constexpr std::uint8_t kUrgentRank = 0;

std::size_t digits(std::uint64_t number) {
    std::size_t count = 1;
    for (; number >= 10; number /= 10) ++count;
    return count;
}

// An upper bound on the size of the value of the record.
std::size_t value_bytes(const PlacementRecord& record) {
    constexpr std::size_t kFixedBytes = 64;       // names of the fields, term and nonce
    constexpr std::size_t kPunctuationBytes = 8;  // brackets, commas and quotes of one entry
    std::size_t bytes = kFixedBytes;
    for (const auto& placed : record.placed) {
        bytes += kPunctuationBytes + digits(placed.task) + digits(placed.attempt) +
                 placed.machine.size() + digits(placed.session);
    }
    for (const auto& [first, last] : record.done) bytes += 2 + digits(first) + digits(last);
    return bytes;
}

}  // namespace

void Cluster::load_record(const std::string& job_id, std::uint32_t record_number,
                          const PlacementRecord& record, std::uint64_t revision, Millis now) {
    auto found = job_ids_.find(job_id);
    if (found == job_ids_.end()) return;
    Job& job = jobs_[found->second];
    job.records[record_number].revision = revision;
    job.records[record_number].nonce = record.nonce;
    job.layout = std::max(job.layout, std::min(layout_of(record_number), kFinestLayout));
    for (auto [first, last] : record.done) {
        // A leader of a version without services may have recorded the exit of a replica as its
        // completion.
        if (job.spec.service) break;
        for (auto task = first; task <= last && task < job.spec.count; ++task) {
            if (job.done_flags[task] == 0) ++job.done;
            job.done_flags[task] = 2;
            remove_from_waiting(job, task);
        }
    }
    if (job.done == job.spec.count) all_done_.insert(found->second);
    for (const auto& placed : record.placed) {
        if (placed.task >= job.spec.count) continue;
        const auto machine = find_or_add_machine(placed.machine, "", "", false, now);
        // Records of two layouts both name the attempt if a leader ended while it was changing the
        // layout.
        if (has_attempt(job, placed, machine)) continue;
        job.started_at = now;
        remove_from_waiting(job, placed.task);
        Allocation allocation;
        allocation.job = found->second;
        allocation.task = placed.task;
        allocation.attempt = placed.attempt;
        allocation.machine = machine;
        allocation.session = placed.session;
        // An earlier leader may have started it; only a report can show whether it did.
        allocation.state = Allocation::State::Present;
        allocation.created_at = now;
        allocation.stop_requested = job.terminal;
        add_allocation(allocation);
    }
}

bool Cluster::has_attempt(const Job& job, const PlacedTask& placed, MachineIndex machine) const {
    const auto [from, to] = job.allocations.equal_range(placed.task);
    return std::any_of(from, to, [&](const auto& entry) {
        const Allocation& allocation = allocations_[entry.second];
        return allocation.attempt == placed.attempt && allocation.machine == machine;
    });
}

void Cluster::on_records_loaded() {
    awaiting_records_ = false;
    std::vector<JobIndex> terminal;
    for (auto& [index, job] : jobs_) {
        if (job.terminal) terminal.push_back(index);
        const bool has_earlier_layout =
            !job.records.empty() && layout_of(job.records.begin()->first) < job.layout;
        if (!job.terminal && has_earlier_layout) rewrite_records(index);
    }
    for (auto index : terminal) forget_if_finished(index);
}

// ---- layouts, see core/record_layout.h ----

std::uint32_t Cluster::record_number_of(const Job& job, std::uint32_t task) const {
    return record_number(job.layout, task, settings_.tasks_per_record);
}

void Cluster::refine_layout(JobIndex index) {
    Job& job = jobs_.at(index);
    ++job.layout;
    rewrite_records(index);
}

// Marks all that is known of a job to be written to records of its current layout. The records of
// earlier layouts are removed once these are durable. A leader that ends in between leaves records
// of both layouts, which together name every existing allocation. They may also name attempts that
// have ended, but the reports of the machines show that those are gone, so no task runs twice.
void Cluster::rewrite_records(JobIndex index) {
    Job& job = jobs_.at(index);
    bool has_earlier_layout = false;
    for (auto& [number, record] : job.records) {
        if (layout_of(number) >= job.layout) continue;
        record.dirty = false;
        record.deferred_write_at = 0;
        has_earlier_layout |= record.revision != 0 || record.writing;
    }
    std::set<std::uint32_t> needed;
    for (const auto& [task, allocation] : job.allocations)
        needed.insert(record_number_of(job, task));
    for (std::uint32_t task = 0; task < job.spec.count && job.done > 0; ++task) {
        if (job.done_flags[task] != 0) needed.insert(record_number_of(job, task));
    }
    job.records_to_move.clear();
    for (auto number : needed) {
        job.records[number].dirty = true;
        dirty_.insert(record_key(index, number));
        if (has_earlier_layout) job.records_to_move.insert(number);
    }
    if (has_earlier_layout) remove_superseded_records(index);
}

void Cluster::remove_superseded_records(JobIndex index) {
    Job& job = jobs_.at(index);
    if (!job.records_to_move.empty()) return;
    for (auto it = job.records.begin(); it != job.records.end();) {
        // A write in flight may still create the record, which is removed once the outcome is
        // known.
        if (layout_of(it->first) >= job.layout || it->second.writing) {
            ++it;
            continue;
        }
        if (it->second.revision != 0) {
            orphans_.push_back(keys::placement_record(job.id, it->first));
        }
        it = job.records.erase(it);
    }
}

// ---- writing ----

Cluster::RecordKey Cluster::record_key(JobIndex index, std::uint32_t number) const {
    const JobSpec& spec = jobs_.at(index).spec;
    if (spec.service) return {kUrgentRank, index, number};
    const auto levels_below_critical =
        static_cast<std::uint8_t>(Priority::Critical) - static_cast<std::uint8_t>(spec.priority);
    return {static_cast<std::uint8_t>(kUrgentRank + levels_below_critical), index, number};
}

void Cluster::mark_dirty(Job& job, std::uint32_t task) {
    const auto number = record_number_of(job, task);
    job.records[number].dirty = true;
    dirty_.insert(record_key(job_ids_[job.id], number));
}

// Defers the write of a record that only adds completed tasks. Writing it for each task that ends
// would be most of the writes for a large array, and the state service allows few. Until the result
// is durable, the worker keeps it.
void Cluster::defer_write(Job& job, std::uint32_t task, Millis now) {
    const auto number = record_number_of(job, task);
    RecordState& record = job.records[number];
    if (record.deferred_write_at != 0) return;
    record.deferred_write_at = now + kDeferredWriteDelay;
    deferred_writes_.emplace(record.deferred_write_at, job_ids_[job.id], number);
}

// The write of the current value of a record.
RecordWrite Cluster::make_record_write(JobIndex index, std::uint32_t number) {
    const Job& job = jobs_.at(index);
    const auto found = job.records.find(number);
    RecordWrite write;
    write.job = index;
    write.record_number = number;
    write.job_id = job.id;
    write.revision = found == job.records.end() ? 0 : found->second.revision;
    write.open_revision = job.open_revision;
    write.urgent = record_key(index, number).rank == kUrgentRank;
    write.record.term = settings_.token;
    write.record.nonce = settings_.token * kNoncesPerToken + ++nonces_;
    const auto first = first_task(number, settings_.tasks_per_record);
    const auto span = tasks_in_record(layout_of(number), settings_.tasks_per_record);
    const auto last = std::min(first + span, job.spec.count);
    for (auto entry = job.allocations.lower_bound(first);
         entry != job.allocations.end() && entry->first < last; ++entry) {
        const Allocation& allocation = allocations_[entry->second];
        write.record.placed.push_back({allocation.task, allocation.attempt,
                                       machines_[allocation.machine].name, allocation.session});
    }
    auto& done = write.record.done;
    for (auto task = first; task < last; ++task) {
        if (job.done_flags[task] == 0) continue;
        if (!done.empty() && done.back().second + 1 == task) {
            done.back().second = task;
        } else {
            done.emplace_back(task, task);
        }
    }
    return write;
}

// Adds the records with a deferred write that are due by `due_now` to the records to write.
void Cluster::mark_due_deferred_writes(std::size_t limit, Millis due_now) {
    while (dirty_.size() < limit && !deferred_writes_.empty() &&
           std::get<0>(*deferred_writes_.begin()) <= due_now) {
        const auto [due, job_index, number] = *deferred_writes_.begin();
        deferred_writes_.erase(deferred_writes_.begin());
        auto found = jobs_.find(job_index);
        if (found == jobs_.end()) continue;
        const auto record = found->second.records.find(number);
        // It was written since together with other changes, or belongs to an earlier layout.
        if (record == found->second.records.end() || record->second.deferred_write_at != due)
            continue;
        record->second.deferred_write_at = 0;
        record->second.dirty = true;
        dirty_.insert(record_key(job_index, number));
    }
}

std::vector<RecordWrite> Cluster::next_record_writes(const RecordLimits& limits,
                                                     bool include_deferred, Millis now) {
    std::vector<RecordWrite> out;
    std::size_t bytes = 0;
    // The delay of deferred writes is bounded: reports grow with each result that the workers still
    // keep.
    mark_due_deferred_writes(limits.records, include_deferred ? now : now - kMaxExtraDeferral);
    for (auto it = dirty_.begin();
         it != dirty_.end() && out.size() < limits.records && bytes < limits.bytes;) {
        const auto [rank, job_index, number] = *it;
        // Urgent records are not written together with others, so that they never wait for them.
        if ((limits.urgent_only || (!out.empty() && out.front().urgent)) && rank != kUrgentRank) {
            break;
        }
        auto found = jobs_.find(job_index);
        if (found == jobs_.end() || found->second.terminal) {
            it = dirty_.erase(it);
            continue;
        }
        Job& job = found->second;
        const auto entry = job.records.find(number);
        if (entry == job.records.end() || !entry->second.dirty) {
            it = dirty_.erase(it);
            continue;
        }
        RecordState& record = entry->second;
        if (record.writing || record.retry_at > now || job.writing_terminal_state ||
            job.done == job.spec.count) {
            ++it;
            continue;
        }
        it = dirty_.erase(it);
        auto write = make_record_write(job_index, number);
        const auto size = value_bytes(write.record);
        if (size > limits.value_bytes && limits.may_refine_layout && job.layout < kFinestLayout) {
            // The new records of the job come later in the list.
            refine_layout(job_index);
            it = dirty_.lower_bound({rank, job_index, number});
            continue;
        }
        // Records beyond the size of this transaction are written by the next one.
        bytes += kKeyBytes + size;
        record.writing = true;
        record.dirty = false;
        record.deferred_write_at = 0;
        out.push_back(std::move(write));
    }
    return out;
}

void Cluster::on_record_written(const RecordWrite& write, bool ok, std::uint64_t revision,
                                Millis now) {
    auto it = jobs_.find(write.job);
    if (it == jobs_.end()) return;
    Job& job = it->second;
    RecordState& record = job.records[write.record_number];
    record.writing = false;
    // A record of an earlier layout is not written again: the records of the current layout have
    // the same content and are being written.
    const bool superseded = layout_of(write.record_number) < job.layout;
    if (!ok && superseded) return remove_superseded_records(write.job);
    if (!ok) {
        record.dirty = true;
        dirty_.insert(record_key(write.job, write.record_number));
        record.retry_at = now + kWriteRetryDelay;
        return;
    }
    record.revision = revision;
    record.nonce = write.record.nonce;
    for (auto [first, last] : write.record.done) {
        for (auto task = first; task <= last; ++task) job.done_flags[task] = 2;
    }
    make_ready(job, write.record.placed);
    if (job.spec.gang) hold_back_incomplete_gang(job);
    job.records_to_move.erase(write.record_number);
    if (job.layout > 0 && job.records.begin()->first < job.layout * kRecordNumbersPerLayout) {
        remove_superseded_records(write.job);
    }
}

// Run commands for the attempts that a durable record names may be sent from now on.
void Cluster::make_ready(const Job& job, const std::vector<PlacedTask>& placed_tasks) {
    for (const auto& placed : placed_tasks) {
        const auto [from, to] = job.allocations.equal_range(placed.task);
        for (auto entry = from; entry != to; ++entry) {
            Allocation& allocation = allocations_[entry->second];
            if (allocation.attempt == placed.attempt &&
                allocation.state == Allocation::State::Planned) {
                allocation.state = Allocation::State::Ready;
            }
        }
    }
}

// A gang with several records starts only once all of them are durable.
void Cluster::hold_back_incomplete_gang(const Job& job) {
    const bool all_durable =
        std::none_of(job.records.begin(), job.records.end(),
                     [](const auto& entry) { return entry.second.dirty || entry.second.writing; });
    for (const auto& [task, allocation_index] : job.allocations) {
        Allocation& allocation = allocations_[allocation_index];
        if (!is_unsent(allocation)) continue;
        allocation.state = all_durable ? Allocation::State::Ready : Allocation::State::Planned;
    }
}

// If the job is no longer open in the state service, its records are kept out of the next
// transactions for a while, until its terminal state is known here: each of them would fail as a
// whole. The other records of the failed transaction are written again at once.
void Cluster::on_record_refused(const RecordWrite& write, bool job_not_open, Millis now) {
    on_record_written(write, false, 0, now);
    if (auto* record = find_record(write))
        record->retry_at = now + (job_not_open ? kJobNotOpenRetryDelay : 0);
}

void Cluster::on_record_reread(const RecordWrite& write, std::uint64_t revision,
                               std::uint64_t nonce, Millis now) {
    if (nonce == write.record.nonce) {
        on_record_written(write, true, revision, now);
        return;
    }
    if (auto* record = find_record(write)) record->revision = revision;
    on_record_written(write, false, 0, now);
    if (auto* record = find_record(write)) record->retry_at = now;
}

RecordState* Cluster::find_record(const RecordWrite& write) {
    const auto job = jobs_.find(write.job);
    if (job == jobs_.end()) return nullptr;
    const auto record = job->second.records.find(write.record_number);
    return record == job->second.records.end() ? nullptr : &record->second;
}

std::optional<TerminalStateWrite> Cluster::next_terminal_state_write(std::size_t max_records,
                                                                     Millis now) {
    for (auto it = all_done_.begin(); it != all_done_.end();) {
        ++entries_visited_;
        const auto job_index = *it;
        auto found = jobs_.find(job_index);
        if (found == jobs_.end() || found->second.terminal) {
            it = all_done_.erase(it);
            continue;
        }
        ++it;
        Job& job = found->second;
        if (job.writing_terminal_state || job.terminal_state_retry_at > now) continue;
        job.writing_terminal_state = true;
        TerminalStateWrite write;
        write.job = job_index;
        write.job_id = job.id;
        write.open_revision = job.open_revision;
        write.include_description = !job.allocations.empty();
        if (job.allocations.empty()) {
            for (auto& [number, record] : job.records) {
                if (record.revision == 0 || record.writing) continue;
                if (write.record_numbers.size() < max_records)
                    write.record_numbers.push_back(number);
            }
        }
        return write;
    }
    return std::nullopt;
}

void Cluster::on_terminal_state_written(const TerminalStateWrite& write, bool ok, Millis now) {
    auto it = jobs_.find(write.job);
    if (it == jobs_.end()) return;
    it->second.writing_terminal_state = false;
    if (!ok) {
        it->second.terminal_state_retry_at = now + kWriteRetryDelay;
        return;
    }
    for (auto number : write.record_numbers) it->second.records[number].revision = 0;
    for (auto& [number, record] : it->second.records) record.dirty = false;
    const auto id = write.job_id;
    on_job_terminal(id, false, now);
}

std::vector<std::string> Cluster::next_orphans(std::size_t limit) {
    if (!orphans_being_removed_.empty() || orphans_.empty()) return {};
    const auto count = std::min(limit, orphans_.size());
    orphans_being_removed_.assign(orphans_.end() - static_cast<std::ptrdiff_t>(count),
                                  orphans_.end());
    orphans_.resize(orphans_.size() - count);
    return orphans_being_removed_;
}

void Cluster::on_orphans_removed(const std::vector<std::string>& keys, bool ok) {
    orphans_being_removed_.clear();
    if (!ok) orphans_.insert(orphans_.begin(), keys.begin(), keys.end());
}

}  // namespace lichendrift::core
