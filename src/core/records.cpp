// The records of the state service: what is to be written, and what came of it.
#include "core/cluster.h"

namespace lichendrift::core {

namespace {

constexpr Millis kLazyDelay = 8000;
constexpr Millis kRefusedPause = 2000;
constexpr Millis kLazyAtMost = 20000;  // beyond that delay, even if other writes wait

}  // namespace

void Cluster::load_record(const std::string& job_id, std::uint32_t chunk, const PlaceRecord& record,
                          std::uint64_t rev, Millis now) {
    auto found = job_ids_.find(job_id);
    if (found == job_ids_.end()) return;
    Job& job = jobs_[found->second];
    job.chunks[chunk].rev = rev;
    job.chunks[chunk].nonce = record.nonce;
    auto tried = [&](std::uint32_t task) {
        while (job.next_fresh <= task) job.again.insert(job.next_fresh++);
    };
    for (auto [first, last] : record.done) {
        for (auto task = first; task <= last && task < job.spec.count; ++task) {
            if (job.done_flags[task] == 0) ++job.done;
            job.done_flags[task] = 2;
            tried(task);
            job.again.erase(task);
        }
    }
    if (job.done == job.spec.count) all_done_.insert(found->second);
    for (const auto& placed : record.placed) {
        if (placed.task >= job.spec.count) continue;
        job.started_at = now;
        tried(placed.task);
        job.again.erase(placed.task);
        Hold hold;
        hold.job = found->second;
        hold.task = placed.task;
        hold.attempt = placed.attempt;
        hold.machine = machine_for(placed.machine, "", "", false, now);
        hold.session = placed.session;
        // An earlier leader may have started it: only a report can tell.
        hold.state = Hold::State::Seen;
        hold.since = now;
        hold.stop = job.over;
        new_hold(hold);
    }
}

void Cluster::records_loaded() {
    records_to_come_ = false;
    std::vector<JobIx> over;
    for (const auto& [ix, job] : jobs_) {
        if (job.over) over.push_back(ix);
    }
    for (auto ix : over) drop_if_gone(ix);
}

void Cluster::mark_dirty(Job& job, std::uint32_t task) {
    const auto number = task / settings_.chunk_tasks;
    job.chunks[number].dirty = true;
    dirty_.emplace(job_ids_[job.id], number);
}

// A record for each task that ends would be most of all changes of a large array, and the state
// service allows few. Until it is durable, the worker keeps the result.
void Cluster::mark_lazy(Job& job, std::uint32_t task, Millis now) {
    const auto number = task / settings_.chunk_tasks;
    Chunk& chunk = job.chunks[number];
    if (chunk.lazy_at != 0) return;
    chunk.lazy_at = now + kLazyDelay;
    lazy_.emplace(chunk.lazy_at, job_ids_[job.id], number);
}

std::vector<ChunkWrite> Cluster::next_chunk_writes(std::size_t most, std::size_t most_bytes,
                                                   bool lazy, Millis now) {
    std::vector<ChunkWrite> out;
    std::size_t bytes = 0;
    // Put off for ever, reports would grow by every result that their workers still keep.
    const auto due_now = lazy ? now : now - kLazyAtMost;
    while (dirty_.size() < most && !lazy_.empty() && std::get<0>(*lazy_.begin()) <= due_now) {
        const auto [due, jix, number] = *lazy_.begin();
        lazy_.erase(lazy_.begin());
        auto found = jobs_.find(jix);
        if (found == jobs_.end()) continue;
        Chunk& chunk = found->second.chunks[number];
        if (chunk.lazy_at != due) continue;  // written since, with something else
        chunk.lazy_at = 0;
        chunk.dirty = true;
        dirty_.emplace(jix, number);
    }
    for (auto it = dirty_.begin(); it != dirty_.end() && out.size() < most && bytes < most_bytes;) {
        const auto [jix, number] = *it;
        auto found = jobs_.find(jix);
        if (found == jobs_.end() || found->second.over) {
            it = dirty_.erase(it);
            continue;
        }
        Job& job = found->second;
        Chunk& chunk = job.chunks[number];
        if (!chunk.dirty) {
            it = dirty_.erase(it);
            continue;
        }
        if (chunk.writing || chunk.retry_at > now || job.finishing || job.done == job.spec.count) {
            ++it;
            continue;
        }
        it = dirty_.erase(it);
        {
            ChunkWrite write;
            write.job = jix;
            write.chunk = number;
            write.job_id = job.id;
            write.rev = chunk.rev;
            write.open_rev = job.open_rev;
            write.record.term = settings_.token;
            write.record.nonce = settings_.token * 1'000'000 + ++nonces_;
            const auto first = number * settings_.chunk_tasks;
            const auto last = std::min(first + settings_.chunk_tasks, job.spec.count);
            for (auto held = job.holds.lower_bound(first);
                 held != job.holds.end() && held->first < last; ++held) {
                const Hold& h = holds_[held->second];
                write.record.placed.push_back(
                    {h.task, h.attempt, machines_[h.machine].name, h.session});
            }
            for (auto t = first; t < last; ++t) {
                if (job.done_flags[t] == 0) continue;
                if (!write.record.done.empty() && write.record.done.back().second + 1 == t) {
                    write.record.done.back().second = t;
                } else {
                    write.record.done.emplace_back(t, t);
                }
            }
            bytes += 200 + write.record.placed.size() * 60 + write.record.done.size() * 14;
            chunk.writing = true;
            chunk.dirty = false;
            chunk.lazy_at = 0;
            out.push_back(std::move(write));
        }
    }
    return out;
}

void Cluster::chunk_written(const ChunkWrite& write, bool ok, std::uint64_t rev, Millis now) {
    auto it = jobs_.find(write.job);
    if (it == jobs_.end()) return;
    Job& job = it->second;
    Chunk& chunk = job.chunks[write.chunk];
    chunk.writing = false;
    if (!ok) {
        chunk.dirty = true;
        dirty_.emplace(write.job, write.chunk);
        chunk.retry_at = now + 300;
        return;
    }
    chunk.rev = rev;
    chunk.nonce = write.record.nonce;
    for (auto [first, last] : write.record.done) {
        for (auto t = first; t <= last; ++t) job.done_flags[t] = 2;
    }
    for (const auto& placed : write.record.placed) {
        auto [from, to] = job.holds.equal_range(placed.task);
        for (auto h = from; h != to; ++h) {
            Hold& hold = holds_[h->second];
            if (hold.attempt == placed.attempt && hold.state == Hold::State::Planned) {
                hold.state = Hold::State::Ready;
            }
        }
    }
    if (job.spec.gang) {
        // A gang in several records starts only once all of them are durable.
        bool all = true;
        for (auto& [number, other] : job.chunks) all &= !other.dirty && !other.writing;
        for (auto& [task, hix] : job.holds) {
            Hold& h = holds_[hix];
            if (!all && h.state == Hold::State::Ready) h.state = Hold::State::Planned;
            if (all && h.state == Hold::State::Planned) h.state = Hold::State::Ready;
        }
    }
}

// A job that is over, as the state service has it, is kept out of the next batches, which would
// fail whole for it, until the final word is known here. The others of its batch need not wait.
void Cluster::chunk_refused(const ChunkWrite& write, bool job_over, Millis now) {
    chunk_written(write, false, 0, now);
    if (auto it = jobs_.find(write.job); it != jobs_.end()) {
        it->second.chunks[write.chunk].retry_at = now + (job_over ? kRefusedPause : 0);
    }
}

void Cluster::chunk_reread(const ChunkWrite& write, std::uint64_t rev, std::uint64_t nonce,
                           Millis now) {
    if (nonce == write.record.nonce) {
        chunk_written(write, true, rev, now);
        return;
    }
    chunk_written(write, false, 0, now);
    if (auto it = jobs_.find(write.job); it != jobs_.end()) {
        it->second.chunks[write.chunk].rev = rev;
        it->second.chunks[write.chunk].retry_at = now;
    }
}

std::optional<FinalWrite> Cluster::next_final_write(std::size_t most_chunks, Millis now) {
    for (auto it = all_done_.begin(); it != all_done_.end();) {
        ++work_;
        const auto jix = *it;
        auto found = jobs_.find(jix);
        if (found == jobs_.end() || found->second.over) {
            it = all_done_.erase(it);
            continue;
        }
        ++it;
        Job& job = found->second;
        if (job.finishing || job.finish_retry_at > now) continue;
        job.finishing = true;
        FinalWrite write;
        write.job = jix;
        write.job_id = job.id;
        write.open_rev = job.open_rev;
        write.with_job = !job.holds.empty();
        if (job.holds.empty()) {
            for (auto& [number, chunk] : job.chunks) {
                if (chunk.rev == 0 || chunk.writing) continue;
                if (write.chunks.size() < most_chunks) write.chunks.push_back(number);
            }
        }
        return write;
    }
    return std::nullopt;
}

void Cluster::final_written(const FinalWrite& write, bool ok, Millis now) {
    auto it = jobs_.find(write.job);
    if (it == jobs_.end()) return;
    it->second.finishing = false;
    if (!ok) {
        it->second.finish_retry_at = now + 300;
        return;
    }
    for (auto number : write.chunks) it->second.chunks[number].rev = 0;
    for (auto& [number, chunk] : it->second.chunks) chunk.dirty = false;
    const auto id = write.job_id;
    job_over(id, false, now);
}

std::vector<std::string> Cluster::next_orphans(std::size_t most) {
    if (!orphans_writing_.empty() || orphans_.empty()) return {};
    const auto n = std::min(most, orphans_.size());
    orphans_writing_.assign(orphans_.end() - static_cast<std::ptrdiff_t>(n), orphans_.end());
    orphans_.resize(orphans_.size() - n);
    return orphans_writing_;
}

void Cluster::orphans_removed(const std::vector<std::string>& keys, bool ok) {
    orphans_writing_.clear();
    if (!ok) orphans_.insert(orphans_.begin(), keys.begin(), keys.end());
}

}  // namespace lichendrift::core
