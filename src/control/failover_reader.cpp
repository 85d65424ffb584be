// Reads the state that earlier leaders left in the state service.
#include "control/failover_reader.h"

#include <charconv>
#include <utility>

#include "core/state_keys.h"
#include "wire/stored_values.h"

namespace lichendrift::control {

namespace {

constexpr Millis kReadRetryDelayMs = 200;

}  // namespace

template <typename F>
void FailoverReader::retry_later(F read) {
    term_.runtime.after(kReadRetryDelayMs, term_.callbacks.bind(std::move(read)));
}

void FailoverReader::read_open_jobs() {
    job_watcher_.refresh(term_.callbacks.bind([this](bool ok) { on_open_jobs(ok); }));
}

void FailoverReader::on_open_jobs(bool ok) {
    if (!ok) return retry_later([this] { read_open_jobs(); });
    open_jobs_read_ = true;
    const auto now = term_.runtime.now();
    term_.cluster->with_lock([&](core::Cluster& cluster) {
        cluster.await_records();
        for (const auto& [id, job] : job_watcher_.open_jobs()) {
            cluster.add_job(job.description, job.revision, now, false,
                            term_.age_of(job.description));
        }
    });
    callbacks_.on_open_jobs_read();
    read_placement_records("");
}

void FailoverReader::read_placement_records(const std::string& since) {
    term_.store.list(
        store::RequestPriority::Leadership, std::string(core::keys::kPlacementRecords), since,
        term_.callbacks.bind([this, since](store::Outcome outcome, const wire::ItemPage& page) {
            on_placement_records(since, outcome, page);
        }));
}

void FailoverReader::on_placement_records(const std::string& since, store::Outcome outcome,
                                          const wire::ItemPage& page) {
    if (outcome != store::Outcome::Ok) {
        return retry_later([this, since] { read_placement_records(since); });
    }
    for (const auto& item : page.items) {
        if (auto record = parse_stored_record(item)) {
            records_.push_back(std::move(*record));
        } else {
            term_.host.log(events::RecordUnreadable{item.key});
        }
    }
    if (page.more && !page.items.empty() && !page.items.back().key.empty()) {
        return read_placement_records(page.items.back().key);
    }
    find_closed_jobs();
    read_terminal_state(0);
}

std::optional<FailoverReader::StoredRecord> FailoverReader::parse_stored_record(
    const wire::Item& item) {
    constexpr auto kPrefixSize = core::keys::kPlacementRecords.size();
    const auto slash = item.key.rfind('/');
    StoredRecord stored;
    stored.job_id = item.key.substr(kPrefixSize, slash - kPrefixSize);
    const char* end = item.key.data() + item.key.size();
    const auto number = std::from_chars(item.key.data() + slash + 1, end, stored.record_number);
    auto record = wire::parse_placement_value(item.value);
    if (!record || number.ptr != end) return std::nullopt;
    stored.record = std::move(*record);
    stored.revision = item.revision;
    return stored;
}

void FailoverReader::find_closed_jobs() {
    term_.cluster->with_lock([&](core::Cluster& cluster) {
        for (const auto& record : records_) {
            if (cluster.has_job(record.job_id)) continue;
            // Records are sorted by key, so those of one job are adjacent.
            if (!closed_jobs_.empty() && closed_jobs_.back() == record.job_id) continue;
            closed_jobs_.push_back(record.job_id);
        }
    });
}

void FailoverReader::read_terminal_state(std::size_t index) {
    if (index >= closed_jobs_.size()) return callbacks_.on_state_read();
    term_.store.get(
        store::RequestPriority::Leadership, core::keys::terminal_state(closed_jobs_[index]),
        term_.callbacks.bind([this, index](store::Outcome outcome, const wire::Item& item) {
            on_terminal_state(index, outcome, item);
        }));
}

void FailoverReader::on_terminal_state(std::size_t index, store::Outcome outcome,
                                       const wire::Item& item) {
    if (outcome != store::Outcome::Ok && outcome != store::Outcome::Missing) {
        return retry_later([this, index] { read_terminal_state(index); });
    }
    if (outcome == store::Outcome::Ok) {
        const auto state = wire::parse_terminal_state_value(closed_jobs_[index], item.value);
        // The job's description is stored with the terminal state if tasks of the job may still be
        // on machines.
        if (state && state->job) {
            const auto now = term_.runtime.now();
            term_.cluster->with_lock(
                [&](core::Cluster& cluster) { cluster.add_job(*state->job, 0, now, true); });
        }
    }
    read_terminal_state(index + 1);
}

std::size_t FailoverReader::load_placement_records() {
    const auto now = term_.runtime.now();
    const auto records = std::exchange(records_, {});
    term_.cluster->with_lock([&](core::Cluster& cluster) {
        for (const auto& stored : records) {
            if (cluster.has_job(stored.job_id)) {
                cluster.load_record(stored.job_id, stored.record_number, stored.record,
                                    stored.revision, now);
            } else {
                // The job's tasks are all done, or it was never accepted. Either way none of its
                // tasks can be on a machine, so the record is removed.
                cluster.add_orphan(
                    core::keys::placement_record(stored.job_id, stored.record_number));
            }
        }
        cluster.on_records_loaded();
    });
    return records.size();
}

}  // namespace lichendrift::control
