// A local copy of the open jobs that follows the changes in the state service.
#include "control/job_watcher.h"

#include <algorithm>
#include <utility>

#include "core/state_keys.h"
#include "wire/stored_values.h"

namespace lichendrift::control {

namespace {

namespace keys = core::keys;

constexpr const char* kWatchedPrefix = "o";  // shared by "open/" and "over/"

constexpr std::size_t kMaxWaitingRefreshes = 500;
constexpr Millis kRefreshIntervalMs = 120;  // refreshes requested within it share one read
constexpr Millis kLongAgo = -100'000;       // earlier than any time of the runtime's clock

// An idle copy is refreshed as well: the state service keeps only recent changes, and a copy that
// is older than those would have to be loaded again.
constexpr Millis kIdleCheckIntervalMs = 3000;
constexpr Millis kMaxIdleMs = 2500;

constexpr Millis kReloadDelayMs = 400;
constexpr Millis kReloadJitterMs = 400;

constexpr Millis kWatchBlockMs = 8000;  // longest wait of the state service for a change
constexpr Millis kWatchPauseMs = 60;
constexpr Millis kWatchRetryDelayMs = 400;

}  // namespace

JobWatcher::JobWatcher(net::Runtime& runtime, store::StoreClient& store)
    : runtime_(runtime),
      store_(store),
      refresh_sent_at_(kLongAgo),
      terminal_state_reader_(
          runtime, store,
          [this](const std::string& job_id, TerminalState state, std::uint64_t revision) {
              record_terminal_state(job_id, state, revision);
          }) {}

void JobWatcher::start() {
    load();
    refresh_when_idle();
}

// ---- full reads of the open jobs: at the start, and after changes were missed ----

void JobWatcher::load() {
    load_sent_at_ = runtime_.now();
    load_page("", {});
}

void JobWatcher::load_page(const std::string& after_key, PartialLoad so_far) {
    loading_ = true;
    store_.list(store::RequestPriority::Place, std::string(keys::kOpenJobs), after_key,
                [this, so_far = std::move(so_far)](store::Outcome outcome,
                                                   const wire::ItemPage& page) mutable {
                    if (outcome == store::Outcome::Ok) return on_load_page(page, std::move(so_far));
                    const auto jitter = static_cast<Millis>(runtime_.random() % kReloadJitterMs);
                    runtime_.after(kReloadDelayMs + jitter, [this] { load(); });
                });
}

void JobWatcher::on_load_page(const wire::ItemPage& page, PartialLoad so_far) {
    // The copy takes the first page's revision: changes during the load are read by the next watch.
    if (so_far.revision == 0) so_far.revision = page.revision;
    for (const auto& item : page.items) {
        const auto job_id = item.key.substr(keys::kOpenJobs.size());
        if (auto description = wire::parse_job_value(job_id, item.value)) {
            so_far.jobs[job_id] = {std::move(*description), item.revision};
        }
    }
    if (page.more && !page.items.empty()) {
        return load_page(page.items.back().key, std::move(so_far));
    }
    on_loaded(std::move(so_far));
}

void JobWatcher::on_loaded(PartialLoad complete) {
    const auto previous = std::exchange(open_, std::move(complete.jobs));
    // Watches may have brought changes since the pages were read. Jobs that were opened later are
    // kept; those with a cached terminal state, which never changes, are removed.
    for (const auto& [job_id, job] : previous) {
        if (job.revision > complete.revision) open_.emplace(job_id, job);
    }
    std::erase_if(open_, [&](const auto& job) { return terminal_states_.contains(job.first); });
    revision_ = std::max(revision_, complete.revision);
    read_at_ = std::max(read_at_, load_sent_at_);
    cancellations_.set_complete_after(complete.revision);
    loaded_ = true;
    ever_loaded_ = true;
    loading_ = false;
    ++loads_;
    if (listener_) {
        for (const auto& [job_id, job] : open_) listener_->on_open(job.description, job.revision);
        for (const auto& [job_id, job] : previous) {
            if (!open_.contains(job_id)) listener_->on_terminal(job_id, TerminalState::Aborted);
        }
    }
    process_waiting_refreshes();
}

// Called when the state service no longer has all changes since the copy's revision.
void JobWatcher::reload() {
    if (loading_) return;
    loaded_ = false;
    load();
}

// ---- refreshes ----

void JobWatcher::refresh(OnRefreshed done) {
    if (!store_.responsive() || waiting_refreshes_.size() >= kMaxWaitingRefreshes) {
        runtime_.after(0, [done = std::move(done)] { done(false); });
        return;
    }
    waiting_refreshes_.push_back(std::move(done));
    process_waiting_refreshes();
}

void JobWatcher::process_waiting_refreshes() {
    if (waiting_refreshes_.empty()) return;
    if (!loaded_) {
        for (const auto& done : std::exchange(waiting_refreshes_, {})) done(false);
        return;
    }
    if (refresh_in_flight_ || refresh_scheduled_) return;
    const auto since_last = runtime_.now() - refresh_sent_at_;
    if (since_last >= kRefreshIntervalMs) return send_refresh();
    refresh_scheduled_ = true;
    runtime_.after(kRefreshIntervalMs - since_last, [this] {
        refresh_scheduled_ = false;
        process_waiting_refreshes();
    });
}

void JobWatcher::send_refresh() {
    refresh_in_flight_ = true;
    refresh_sent_at_ = runtime_.now();
    store_.watch(
        store::RequestPriority::Read, kWatchedPrefix, revision_, 0,
        [this, sent_at = refresh_sent_at_, callbacks = std::exchange(waiting_refreshes_, {})](
            store::Outcome outcome, const wire::ItemPage& page) {
            refresh_in_flight_ = false;
            const bool fresh = outcome == store::Outcome::Ok;
            if (fresh) apply(page, sent_at);
            if (outcome == store::Outcome::Missing) reload();
            for (const auto& done : callbacks) done(fresh);
            process_waiting_refreshes();
        });
}

void JobWatcher::refresh_when_idle() {
    runtime_.after(kIdleCheckIntervalMs, [this] {
        const bool idle = !refresh_in_flight_ && waiting_refreshes_.empty() &&
                          runtime_.now() - refresh_sent_at_ > kMaxIdleMs;
        if (loaded_ && idle) refresh([](bool) {});
        refresh_when_idle();
    });
}

// ---- the leader's watch ----

void JobWatcher::start_watching(Listener listener) {
    listener_ = std::move(listener);
    ++watch_generation_;
    watch_next();
}

void JobWatcher::stop_watching() {
    listener_.reset();
    ++watch_generation_;
}

void JobWatcher::watch_next() {
    store_.watch(store::RequestPriority::Place, kWatchedPrefix, revision_, kWatchBlockMs,
                 [this, generation = watch_generation_, sent_at = runtime_.now()](
                     store::Outcome outcome, const wire::ItemPage& page) {
                     if (generation != watch_generation_) return;
                     const bool ok = outcome == store::Outcome::Ok;
                     if (ok) apply(page, sent_at);
                     if (outcome == store::Outcome::Missing) reload();
                     runtime_.after(ok ? kWatchPauseMs : kWatchRetryDelayMs, [this, generation] {
                         if (generation == watch_generation_) watch_next();
                     });
                 });
}

// ---- changes to the copy ----

void JobWatcher::apply(const wire::ItemPage& page, Millis sent_at) {
    for (const auto& item : page.items) {
        if (item.revision <= revision_) continue;
        if (item.key.starts_with(keys::kOpenJobs)) {
            apply_open(item);
        } else if (item.key.starts_with(keys::kTerminalStates)) {
            apply_terminal_state(item);
        }
    }
    revision_ = std::max(revision_, page.revision);
    read_at_ = std::max(read_at_, sent_at);
}

void JobWatcher::apply_open(const wire::Item& item) {
    const auto job_id = item.key.substr(keys::kOpenJobs.size());
    if (item.value.empty()) {
        open_.erase(job_id);
        return;
    }
    // This change may be older than a cancellation that a peer has already announced.
    if (terminal_states_.contains(job_id)) return;
    if (auto description = wire::parse_job_value(job_id, item.value)) {
        if (listener_) listener_->on_open(*description, item.revision);
        open_[job_id] = {std::move(*description), item.revision};
    }
}

void JobWatcher::apply_terminal_state(const wire::Item& item) {
    if (item.value.empty()) return;
    const auto job_id = item.key.substr(keys::kTerminalStates.size());
    if (const auto stored = wire::parse_terminal_state_value(job_id, item.value)) {
        const auto state = stored->aborted ? TerminalState::Aborted : TerminalState::Done;
        record_terminal_state(job_id, state, item.revision);
        end_job(job_id, state);
    }
}

void JobWatcher::on_open_written(const core::JobDescription& description, std::uint64_t revision) {
    // A read may already have delivered this change and later ones.
    if (revision <= revision_ || terminal_states_.contains(description.id)) return;
    open_[description.id] = {description, revision};
    if (listener_) listener_->on_open(description, revision);
}

void JobWatcher::on_terminal_state_written(const std::string& job_id, TerminalState state,
                                           std::uint64_t revision) {
    record_terminal_state(job_id, state, revision);
    end_job(job_id, state);
    if (state == TerminalState::Aborted && on_cancellation_) on_cancellation_({revision, job_id});
}

void JobWatcher::on_peer_cancellation(const wire::Cancellation& cancellation) {
    // Terminal states never change, so an announcement is valid whichever peer sends it.
    if (record_terminal_state(cancellation.id, TerminalState::Aborted, cancellation.revision)) {
        end_job(cancellation.id, TerminalState::Aborted);
    }
}

const JobWatcher::OpenJob* JobWatcher::find_open(const std::string& job_id) const {
    const auto it = open_.find(job_id);
    return it == open_.end() ? nullptr : &it->second;
}

void JobWatcher::end_job(const std::string& job_id, TerminalState state) {
    open_.erase(job_id);
    if (listener_) listener_->on_terminal(job_id, state);
}

bool JobWatcher::record_terminal_state(const std::string& job_id, TerminalState state,
                                       std::uint64_t revision) {
    if (!terminal_states_.insert(job_id, state)) return false;
    if (state == TerminalState::Aborted) cancellations_.append({revision, job_id});
    terminal_state_reader_.end(job_id, state);
    return true;
}

// ---- terminal states of jobs that are not open ----

void JobWatcher::read_terminal_state(const std::string& job_id, OnTerminalState done) {
    if (const auto state = terminal_states_.find(job_id)) return done(*state);
    terminal_state_reader_.read(job_id, {loads_, read_at_}, std::move(done));
}

}  // namespace lichendrift::control
