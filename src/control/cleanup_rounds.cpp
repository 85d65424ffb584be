// Scans the stored records for the cleanup duty and removes those that are no longer needed.
#include "control/cleanup_rounds.h"

#include <algorithm>

#include "control/fenced_store.h"
#include "core/state_keys.h"
#include "wire/stored_values.h"

namespace lichendrift::control {

namespace keys = core::keys;

namespace {

constexpr Millis kRoundPauseMs = 300'000;
constexpr std::size_t kMaxJobsPerPage = 20;  // each costs a read of its terminal state
constexpr std::size_t kWritesPerPage = 2;    // a page begins only if the rate limit allows these

// The job id in a key `place/ID/K`; empty if the key has another form.
std::string job_id_from_key(const std::string& key) {
    const auto slash = key.rfind('/');
    if (slash == std::string::npos || slash < keys::kPlacementRecords.size()) return "";
    return key.substr(keys::kPlacementRecords.size(), slash - keys::kPlacementRecords.size());
}

duty::PlacementContent placement_content(const wire::Item& item) {
    const auto record = wire::parse_placement_value(item.value);
    if (!record) return duty::PlacementContent::Unreadable;
    return record->placed.empty() ? duty::PlacementContent::NoAllocations
                                  : duty::PlacementContent::Allocations;
}

duty::HintEntry hint_entry(const wire::Item& item) {
    const auto hints = wire::parse_image_hints_value(item.value);
    duty::HintEntry entry{item.key, item.revision, hints.has_value(), {}};
    if (!hints) return entry;
    for (const auto& [machine, images] : *hints) entry.machines.push_back(machine);
    return entry;
}

}  // namespace

CleanupRounds::CleanupRounds(const CleanerServices& services, std::shared_ptr<CleanupTenure> tenure,
                             CleanupCounters& counters)
    : services_(services),
      tenure_(std::move(tenure)),
      counters_(counters),
      next_round_at_(services.runtime.now()) {}

void CleanupRounds::schedule_next_page() {
    const auto delay_ms = static_cast<Millis>(services_.settings.features.cleanup_page_s * 1000);
    services_.runtime.after(delay_ms, [self = shared_from_this()] {
        if (self->active()) self->begin_next_page();
    });
}

void CleanupRounds::begin_next_page() {
    const bool must_wait = services_.runtime.now() < next_round_at_ ||
                           !services_.store.can_write_immediately(kWritesPerPage) ||
                           !tenure_->permit();
    if (must_wait) return schedule_next_page();
    if (hints_due_) return read_hints();
    read_placements();
}

void CleanupRounds::end_round() {
    last_placement_key_.clear();
    hints_due_ = false;
    next_round_at_ = services_.runtime.now() + kRoundPauseMs;
    schedule_next_page();
}

// ---- placement records ----

void CleanupRounds::read_placements() {
    services_.store.list(
        store::RequestPriority::Read, std::string(keys::kPlacementRecords), last_placement_key_,
        [self = shared_from_this()](store::Outcome outcome, const wire::ItemPage& records) {
            if (!self->active()) return;
            if (outcome != store::Outcome::Ok) return self->schedule_next_page();
            self->update_job_watcher(records);
        });
}

// One transaction removes a job's key under `open/` and writes its terminal state. So a job that is
// missing from a copy of the open jobs read after this page has a terminal state or never existed.
void CleanupRounds::update_job_watcher(const wire::ItemPage& records) {
    services_.job_watcher.refresh([self = shared_from_this(), records](bool up_to_date) {
        if (!self->active()) return;
        if (!up_to_date) return self->schedule_next_page();
        self->select_placements(records);
    });
}

void CleanupRounds::select_placements(const wire::ItemPage& records) {
    page_ = {};
    bool all_selected = true;
    for (const auto& item : records.items) {
        all_selected = select_placement(item);
        if (!all_selected) break;
        last_placement_key_ = item.key;
    }
    hints_due_ = all_selected && !records.more;
    read_terminal_state(0);
}

// Adds a record to the page unless its job is open. Returns false if the page is full.
bool CleanupRounds::select_placement(const wire::Item& item) {
    const auto id = job_id_from_key(item.key);
    if (services_.job_watcher.find_open(id) != nullptr) return true;
    const auto known = std::find_if(page_.jobs.begin(), page_.jobs.end(),
                                    [&](const PageJob& job) { return job.id == id; });
    const auto index = static_cast<std::size_t>(known - page_.jobs.begin());
    if (known == page_.jobs.end()) {
        if (page_.jobs.size() >= kMaxJobsPerPage) return false;
        page_.jobs.push_back({id, duty::KnownJobState::Open, {}});
    }
    page_.placements.push_back({{item.key, item.revision, placement_content(item)}, index});
    return true;
}

void CleanupRounds::read_terminal_state(std::size_t job_index) {
    if (job_index >= page_.jobs.size()) {
        clean_placements();
        return schedule_next_page();
    }
    services_.store.get(
        store::RequestPriority::Read, keys::terminal_state(page_.jobs[job_index].id),
        [self = shared_from_this(), job_index](store::Outcome outcome, const wire::Item& item) {
            if (!self->active()) return;
            self->on_terminal_state_read(job_index, outcome, item);
            self->read_terminal_state(job_index + 1);
        });
}

// If the read fails the job keeps the state Open, so that its records are kept.
void CleanupRounds::on_terminal_state_read(std::size_t job_index, store::Outcome outcome,
                                           const wire::Item& item) {
    auto& job = page_.jobs[job_index];
    if (outcome == store::Outcome::Missing) job.state = duty::KnownJobState::Unknown;
    if (outcome != store::Outcome::Ok) return;
    const auto terminal = wire::parse_terminal_state_value(job.id, item.value);
    job.state = terminal && !terminal->job ? duty::KnownJobState::TerminalNothingPlaced
                                           : duty::KnownJobState::TerminalMaybePlaced;
    job.terminal_state = {item.key, item.revision};
}

void CleanupRounds::clean_placements() {
    duty::RemovalPlan plan;
    for (const auto& [entry, job_index] : page_.placements) {
        const auto& job = page_.jobs[job_index];
        const auto decision = duty::cleanup_decision(entry, job.state);
        if (decision == duty::CleanupDecision::Suspicious) {
            ++counters_.suspicious;
            services_.host.log(events::CleanupSuspicious{entry.key});
        }
        if (decision != duty::CleanupDecision::Remove) continue;
        plan.records.push_back({entry.key, entry.revision});
        const auto& precondition = job.terminal_state;
        if (std::find(plan.preconditions.begin(), plan.preconditions.end(), precondition) ==
            plan.preconditions.end()) {
            plan.preconditions.push_back(precondition);
        }
        if (plan.records.size() < services_.store.max_transaction_operations()) continue;
        remove(std::exchange(plan, {}));
    }
    remove(plan);
}

// ---- image hints ----

void CleanupRounds::read_hints() {
    services_.store.list(
        store::RequestPriority::Read, std::string(keys::kImageHints), "",
        [self = shared_from_this()](store::Outcome outcome, const wire::ItemPage& records) {
            if (!self->active()) return;
            if (outcome != store::Outcome::Ok || records.items.empty()) return self->end_round();
            std::vector<duty::HintEntry> hints;
            for (const auto& item : records.items) hints.push_back(hint_entry(item));
            self->list_machines(std::move(hints));
        });
}

void CleanupRounds::list_machines(std::vector<duty::HintEntry> hints) {
    services_.cloud.list([self = shared_from_this(), hints = std::move(hints)](
                             cloud::Result result,
                             const std::vector<core::ListedMachine>& /*machines*/,
                             const std::set<std::string>& listed) {
        if (!self->active()) return;
        if (result == cloud::Result::Ok) self->clean_hints(hints, listed);
        self->end_round();
    });
}

void CleanupRounds::clean_hints(const std::vector<duty::HintEntry>& hints,
                                const std::set<std::string>& listed) {
    duty::RemovalPlan plan;
    for (const auto& entry : hints) {
        if (duty::cleanup_decision(entry, listed) != duty::CleanupDecision::Remove) continue;
        if (plan.records.size() >= services_.store.max_transaction_operations()) break;
        plan.records.push_back({entry.key, entry.revision});
    }
    remove(plan);
}

// ---- removal ----

void CleanupRounds::remove(const duty::RemovalPlan& plan) {
    if (plan.records.empty()) return;
    if (services_.settings.features.cleanup == CleanupMode::Report) {
        for (const auto& record : plan.records) {
            services_.host.log(events::CleanupWouldRemove{record.key});
        }
        return;
    }
    const auto permit = tenure_->permit();
    if (!permit || !permit->fenced()) return;
    send_write(services_.store, store::RequestPriority::Read, duty::removal_write(*permit, plan),
               [self = shared_from_this(), count = plan.records.size(),
                first_key = plan.records.front().key](const duty::WriteResult& result) {
                   if (!self->active()) return;
                   if (result.outcome == duty::WriteOutcome::Written) {
                       self->counters_.removed += count;
                       self->services_.host.log(events::CleanupRemoved{count, first_key});
                   }
                   self->tenure_->end_if_replaced(result);
               });
}

}  // namespace lichendrift::control
