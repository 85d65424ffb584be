// This node's copy of the open jobs, kept up to date from the state service.
#include "control/job_watcher.h"

#include <algorithm>
#include <utility>

#include "core/state_keys.h"
#include "wire/stored_values.h"

namespace lichendrift::control {

namespace {

namespace keys = core::keys;

constexpr const char* kWatchedPrefix = "o";  // of open jobs and of terminal states

constexpr std::size_t kMaxWaiting = 500;
constexpr Millis kRefreshSpacing = 120;  // refreshes that come closer share one read
constexpr Millis kLongAgo = -100'000;    // before any time of the runtime

// Without users the copy would fall behind what the state service remembers of changes.
constexpr Millis kIdleCheckInterval = 3000;
constexpr Millis kMaxIdle = 2500;

constexpr Millis kReloadDelay = 400;
constexpr Millis kReloadJitter = 400;

constexpr Millis kWatchBlock = 8000;  // how long the state service may hold a watch open
constexpr Millis kWatchPause = 60;
constexpr Millis kWatchRetryDelay = 400;

}  // namespace

JobWatcher::JobWatcher(net::Runtime& runtime, store::StoreClient& store)
    : runtime_(runtime), store_(store), refresh_sent_at_(kLongAgo) {}

void JobWatcher::start() {
    load();
    keep_within_history();
}

// ---- the first read of all open jobs, and another one if the history is too short ----

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
                    const auto jitter = static_cast<Millis>(runtime_.random() % kReloadJitter);
                    runtime_.after(kReloadDelay + jitter, [this] { load(); });
                });
}

void JobWatcher::on_load_page(const wire::ItemPage& page, PartialLoad so_far) {
    // Changes since the first page are read again by the next watch.
    if (so_far.revision == 0) so_far.revision = page.revision;
    for (const auto& item : page.items) {
        const auto job_id = item.key.substr(keys::kOpenJobs.size());
        if (auto text = wire::parse_job_value(job_id, item.value)) {
            so_far.jobs[job_id] = {std::move(*text), item.revision};
        }
    }
    if (page.more && !page.items.empty()) {
        return load_page(page.items.back().key, std::move(so_far));
    }
    on_loaded(std::move(so_far));
}

void JobWatcher::on_loaded(PartialLoad complete) {
    const auto before = std::exchange(open_, std::move(complete.jobs));
    // Read page by page, a job may have ended since its page; a terminal state never changes.
    std::erase_if(open_, [&](const auto& job) { return terminal_states_.contains(job.first); });
    revision_ = complete.revision;
    read_at_ = std::max(read_at_, load_sent_at_);
    cancellations_.set_complete_after(complete.revision);
    loaded_ = true;
    ever_loaded_ = true;
    loading_ = false;
    if (listener_) {
        for (const auto& [job_id, job] : open_) listener_->on_open(job.text, job.revision);
        for (const auto& [job_id, job] : before) {
            if (!open_.contains(job_id)) listener_->on_terminal(job_id, TerminalState::Aborted);
        }
    }
    serve_waiting();
}

// The state service has forgotten changes that the copy needs.
void JobWatcher::reload() {
    if (loading_) return;
    loaded_ = false;
    load();
}

// ---- refreshes ----

void JobWatcher::refresh(OnRefreshed done) {
    if (!store_.responsive() || waiting_.size() >= kMaxWaiting) {
        runtime_.after(0, [done = std::move(done)] { done(false); });
        return;
    }
    waiting_.push_back(std::move(done));
    serve_waiting();
}

void JobWatcher::serve_waiting() {
    if (waiting_.empty()) return;
    if (!loaded_) {
        for (const auto& done : std::exchange(waiting_, {})) done(false);
        return;
    }
    if (refresh_in_flight_ || refresh_scheduled_) return;
    const auto since_last = runtime_.now() - refresh_sent_at_;
    if (since_last >= kRefreshSpacing) return send_refresh();
    refresh_scheduled_ = true;
    runtime_.after(kRefreshSpacing - since_last, [this] {
        refresh_scheduled_ = false;
        serve_waiting();
    });
}

void JobWatcher::send_refresh() {
    refresh_in_flight_ = true;
    refresh_sent_at_ = runtime_.now();
    store_.watch(store::RequestPriority::Read, kWatchedPrefix, revision_, 0,
                 [this, sent_at = refresh_sent_at_, waiting = std::exchange(waiting_, {})](
                     store::Outcome outcome, const wire::ItemPage& page) {
                     refresh_in_flight_ = false;
                     const bool fresh = outcome == store::Outcome::Ok;
                     if (fresh) apply(page, sent_at);
                     if (outcome == store::Outcome::Missing) reload();
                     for (const auto& done : waiting) done(fresh);
                     serve_waiting();
                 });
}

void JobWatcher::keep_within_history() {
    runtime_.after(kIdleCheckInterval, [this] {
        const bool idle =
            !refresh_in_flight_ && waiting_.empty() && runtime_.now() - refresh_sent_at_ > kMaxIdle;
        if (loaded_ && idle) refresh([](bool) {});
        keep_within_history();
    });
}

// ---- the leader's watch ----

void JobWatcher::start_watching(Listener listener) {
    listener_ = std::move(listener);
    ++watch_number_;
    watch_next();
}

void JobWatcher::stop_watching() {
    listener_.reset();
    ++watch_number_;
}

void JobWatcher::watch_next() {
    store_.watch(store::RequestPriority::Place, kWatchedPrefix, revision_, kWatchBlock,
                 [this, number = watch_number_, sent_at = runtime_.now()](
                     store::Outcome outcome, const wire::ItemPage& page) {
                     if (number != watch_number_) return;
                     const bool ok = outcome == store::Outcome::Ok;
                     if (ok) apply(page, sent_at);
                     if (outcome == store::Outcome::Missing) reload();
                     runtime_.after(ok ? kWatchPause : kWatchRetryDelay, [this, number] {
                         if (number == watch_number_) watch_next();
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
    // An answer of the state service can arrive after a peer's announcement of what followed it.
    if (terminal_states_.contains(job_id)) return;
    if (auto text = wire::parse_job_value(job_id, item.value)) {
        if (listener_) listener_->on_open(*text, item.revision);
        open_[job_id] = {std::move(*text), item.revision};
    }
}

void JobWatcher::apply_terminal_state(const wire::Item& item) {
    if (item.value.empty()) return;
    const auto job_id = item.key.substr(keys::kTerminalStates.size());
    if (const auto over = wire::parse_terminal_state_value(job_id, item.value)) {
        const auto state = over->aborted ? TerminalState::Aborted : TerminalState::Done;
        record_terminal_state(job_id, state, item.revision);
        end_job(job_id, state);
    }
}

void JobWatcher::on_open_written(const core::JobDescription& text, std::uint64_t revision) {
    // A read may have brought this, and what came after it, already.
    if (revision <= revision_ || terminal_states_.contains(text.id)) return;
    open_[text.id] = {text, revision};
    if (listener_) listener_->on_open(text, revision);
}

void JobWatcher::on_terminal_state_written(const std::string& job_id, TerminalState state,
                                           std::uint64_t revision) {
    record_terminal_state(job_id, state, revision);
    end_job(job_id, state);
    if (state == TerminalState::Aborted && on_cancellation_) on_cancellation_({revision, job_id});
}

void JobWatcher::on_peer_cancellation(const wire::Cancellation& cancellation) {
    // A terminal state never changes, so it is true whichever peer sends it.
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
    return true;
}

// ---- terminal states of jobs that are not open ----

void JobWatcher::read_terminal_state(const std::string& job_id, OnTerminalState done) {
    auto [lookup, first] = lookups_.try_emplace(job_id);
    lookup->second.push_back(std::move(done));
    if (!first) return;
    store_.get(store::RequestPriority::Read, keys::terminal_state(job_id),
               [this, job_id](store::Outcome outcome, const wire::Item& item) {
                   tl::expected<TerminalState, LookupError> result = tl::unexpected(
                       outcome == store::Outcome::Missing ? LookupError::NotFound
                                                          : LookupError::Unavailable);
                   const auto over = outcome == store::Outcome::Ok
                                         ? wire::parse_terminal_state_value(job_id, item.value)
                                         : std::nullopt;
                   if (over) {
                       result = over->aborted ? TerminalState::Aborted : TerminalState::Done;
                       record_terminal_state(job_id, *result, item.revision);
                   }
                   const auto waiting = lookups_.extract(job_id);
                   for (const auto& callback : waiting.mapped()) callback(result);
               });
}

}  // namespace lichendrift::control
