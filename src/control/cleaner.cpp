#include "control/cleaner.h"

#include <algorithm>

#include "control/fenced_store.h"

namespace lichendrift::control {

namespace {

constexpr Millis kLease = 30'000;  // nothing urgent waits for this duty
constexpr Millis kLeaseMargin = 1000;
constexpr Millis kRenewEvery = 10'000;
constexpr Millis kLookEvery = 8000;
constexpr Millis kLookSpread = 4000;
constexpr Millis kClaimRetry = 500;
constexpr Millis kLeaderStandsAfter = 60'000;  // if no follower takes the duty
constexpr Millis kRoundPause = 300'000;
constexpr std::size_t kMaxJobs = 20;  // of a page, whose terminal states are read
constexpr std::string_view kPlacements = "place/";
constexpr std::string_view kHints = "images/";

std::string job_of(const std::string& key) {
    const auto slash = key.rfind('/');
    if (slash == std::string::npos || slash < kPlacements.size()) return "";
    return key.substr(kPlacements.size(), slash - kPlacements.size());
}

}  // namespace

Cleaner::Cleaner(net::Runtime& runtime, const Settings& settings, store::StoreClient& store,
                 cloud::CloudClient& cloud, JobWatcher& job_watcher, CleanerHost& host)
    : runtime_(runtime),
      settings_(settings),
      store_(store),
      cloud_(cloud),
      job_watcher_(job_watcher),
      host_(host) {}

void Cleaner::start() {
    if (settings_.features.cleanup == CleanupMode::Off) return;
    look();
}

// ---- who holds the duty ----

void Cleaner::look() {
    if (stopped_) return;
    runtime_.after(kLookEvery + static_cast<Millis>(runtime_.random() % kLookSpread),
                   [this] { look(); });
    if (claim_) {
        if (host_.leading() && !should_stand()) hand_over();
        return;
    }
    if (!job_watcher_.loaded() || !store_.can_write_at_once(1)) return;
    store_.get(store::RequestPriority::Read, std::string(duty::kCleanupLeaseKey),
               [this](store::Outcome outcome, const wire::Item&) {
                   if (outcome == store::Outcome::Ok) vacant_since_ = -1;
                   if (outcome != store::Outcome::Missing || claim_) return;
                   if (vacant_since_ < 0) vacant_since_ = runtime_.now();
                   if (should_stand()) ask_lease();
               });
}

// The leader has enough to do: it stands only if nobody else does.
bool Cleaner::should_stand() const {
    if (!host_.leading() || settings_.peers.empty()) return true;
    return vacant_since_ >= 0 && runtime_.now() - vacant_since_ > kLeaderStandsAfter;
}

void Cleaner::ask_lease() {
    store_.create_lease(kLease, [this](store::Outcome outcome, std::uint64_t lease, Millis sent) {
        if (outcome == store::Outcome::Ok && !claim_ && !stopped_) take_lease(lease, sent);
    });
}

void Cleaner::take_lease(std::uint64_t lease, Millis sent) {
    const std::string key(duty::kCleanupLeaseKey);
    store_.transact(store::RequestPriority::Read, {{key, 0}},
                    {{key, wire::leader_value({settings_.member, 0}), lease}},
                    [this, lease, sent](const store::TransactionResult& result) {
                        if (result.outcome == store::Outcome::Ok && !claim_ && !stopped_) {
                            return won(lease, sent, result.revision);
                        }
                        store_.release_lease(lease);
                    });
}

void Cleaner::won(std::uint64_t lease, Millis sent, std::uint64_t revision) {
    ++term_;
    lease_ = lease;
    valid_until_ = sent + kLease - kLeaseMargin;
    duty::Claim::Setup setup;
    setup.duty = duty::Duty::Cleanup;
    setup.holder = settings_.member;
    setup.nonce = runtime_.random() >> 1U;
    setup.lease = {std::string(duty::kCleanupLeaseKey), revision};
    setup.fencing = true;
    claim_.emplace(std::move(setup));
    placements_since_.clear();
    hints_due_ = false;
    round_begins_ = runtime_.now();
    renew();
    claim();
}

void Cleaner::claim() {
    if (!claim_) return;
    if (claim_->state() == duty::Claim::State::Lost) return lose(events::DutyEnd::Lost);
    if (claim_->held()) {
        host_.log(events::DutyAcquired{duty::name_of(duty::Duty::Cleanup), claim_->epoch()});
        return next_page_soon();
    }
    if (claim_->begin_read()) return read_duty();
    write_duty();
}

void Cleaner::read_duty() {
    store_.get(store::RequestPriority::Read, duty::record_key(duty::Duty::Cleanup),
               [this, term = term_](store::Outcome outcome, const wire::Item& item) {
                   if (!claim_ || term != term_) return;
                   const auto read = duty_read_result(outcome, item);
                   if (read.outcome == duty::ReadOutcome::Damaged) {
                       host_.log(events::RecordUnreadable{item.key});
                       lose(events::DutyEnd::GivenUp);
                       return;
                   }
                   claim_->on_read(read);
                   if (read.outcome == duty::ReadOutcome::Failed) {
                       runtime_.after(kClaimRetry, [this, term] {
                           if (term == term_) claim();
                       });
                       return;
                   }
                   claim();
               });
}

void Cleaner::write_duty() {
    auto write = claim_->begin_write(host_.peers_fence_duties());
    if (!write) {
        runtime_.after(kLookEvery, [this, term = term_] {
            if (term == term_ && claim_ && !claim_->held()) claim();
        });
        return;
    }
    send_write(store_, store::RequestPriority::Read, *write,
               [this, term = term_](const duty::WriteResult& result) {
                   if (!claim_ || term != term_) return;
                   claim_->on_written(result);
                   runtime_.after(result.outcome == duty::WriteOutcome::Written ? 0 : kClaimRetry,
                                  [this, term] {
                                      if (term == term_) claim();
                                  });
               });
}

void Cleaner::renew() {
    runtime_.after(kRenewEvery, [this, term = term_] {
        if (!claim_ || term != term_) return;
        renew();
        store_.renew_lease(
            lease_, [this, term](store::Outcome outcome, std::uint64_t, Millis sent) {
                if (!claim_ || term != term_) return;
                if (outcome == store::Outcome::Ok) {
                    valid_until_ = std::max(valid_until_, sent + kLease - kLeaseMargin);
                } else if (outcome == store::Outcome::Missing) {
                    lose(events::DutyEnd::Lost);
                }
            });
    });
}

void Cleaner::lose(events::DutyEnd how) {
    if (!claim_) return;
    host_.log(
        events::DutyEnded{duty::name_of(duty::Duty::Cleanup), how, claim_->epoch(), removed_});
    claim_.reset();
    ++term_;
    vacant_since_ = -1;
}

void Cleaner::hand_over() {
    if (!claim_) return;
    lose(events::DutyEnd::HandedOver);
    store_.release_lease(lease_);
}

void Cleaner::stop() {
    stopped_ = true;
    hand_over();
}

std::optional<duty::Permit> Cleaner::permit() {
    if (!claim_ || runtime_.read_clock() >= valid_until_) return std::nullopt;
    return claim_->permit(valid_until_);
}

// ---- what is of no use any more ----

void Cleaner::next_page_soon() {
    runtime_.after(static_cast<Millis>(settings_.features.cleanup_page_s * 1000),
                   [this, term = term_] {
                       if (claim_ && term == term_) next_page();
                   });
}

void Cleaner::next_page() {
    const bool rests = runtime_.now() < round_begins_ || !store_.can_write_at_once(2) || !permit();
    if (rests) return next_page_soon();
    if (hints_due_) return read_hints();
    read_placements();
}

void Cleaner::end_round() {
    placements_since_.clear();
    hints_due_ = false;
    round_begins_ = runtime_.now() + kRoundPause;
    next_page_soon();
}

void Cleaner::read_placements() {
    store_.list(store::RequestPriority::Read, std::string(kPlacements), placements_since_,
                [this, term = term_](store::Outcome outcome, const wire::ItemPage& read) {
                    if (!claim_ || term != term_) return;
                    if (outcome != store::Outcome::Ok) return next_page_soon();
                    // A job leaves `open/` and gets its terminal state in one transaction: one that
                    // is not open by a copy from after this page has one, or never was a job.
                    job_watcher_.refresh([this, term, read](bool fresh) {
                        if (!claim_ || term != term_) return;
                        if (!fresh) return next_page_soon();
                        choose_placements(read);
                    });
                });
}

void Cleaner::choose_placements(const wire::ItemPage& read) {
    auto page = std::make_shared<Page>();
    bool whole = true;
    for (const auto& item : read.items) {
        const auto job = job_of(item.key);
        if (job_watcher_.find_open(job) == nullptr) {
            const bool known =
                std::find(page->jobs.begin(), page->jobs.end(), job) != page->jobs.end();
            if (!known && page->jobs.size() >= kMaxJobs) {
                whole = false;
                break;
            }
            if (!known) page->jobs.push_back(job);
            const auto record = wire::parse_placement_value(item.value);
            auto content = duty::PlacementContent::Unreadable;
            if (record) {
                content = record->placed.empty() ? duty::PlacementContent::NoAllocations
                                                 : duty::PlacementContent::Allocations;
            }
            page->entries.push_back({item.key, item.revision, content});
        }
        placements_since_ = item.key;
    }
    hints_due_ = whole && !read.more;
    read_terminal_states(page, 0);
}

void Cleaner::read_terminal_states(const std::shared_ptr<Page>& page, std::size_t at) {
    if (at >= page->jobs.size()) {
        check_placements(*page);
        return next_page_soon();
    }
    store_.get(store::RequestPriority::Read, "over/" + page->jobs[at],
               [this, term = term_, page, at](store::Outcome outcome, const wire::Item& item) {
                   if (!claim_ || term != term_) return;
                   const auto& id = page->jobs[at];
                   auto& state = page->states[id];
                   state = duty::KnownJobState::Open;  // what is not known now is left alone
                   if (outcome == store::Outcome::Missing) state = duty::KnownJobState::Unknown;
                   if (outcome == store::Outcome::Ok) {
                       const auto over = wire::parse_terminal_state_value(id, item.value);
                       state = over && !over->job ? duty::KnownJobState::TerminalNothingPlaced
                                                  : duty::KnownJobState::TerminalMaybePlaced;
                       page->proofs[id] = {item.key, item.revision};
                   }
                   read_terminal_states(page, at + 1);
               });
}

void Cleaner::check_placements(const Page& page) {
    duty::RemovalPlan plan;
    const auto limit = store_.max_transaction_operations();
    for (const auto& entry : page.entries) {
        const auto id = job_of(entry.key);
        const auto verdict = duty::decide(entry, page.states.at(id));
        if (verdict == duty::CleanupDecision::Suspicious) {
            ++suspicious_;
            host_.log(events::CleanupSuspicious{entry.key});
        }
        if (verdict != duty::CleanupDecision::Remove) continue;
        plan.records.push_back({entry.key, entry.revision});
        const auto& proof = page.proofs.at(id);
        if (std::find(plan.proofs.begin(), plan.proofs.end(), proof) == plan.proofs.end()) {
            plan.proofs.push_back(proof);
        }
        if (plan.records.size() < limit) continue;
        remove(std::exchange(plan, {}));
    }
    remove(std::move(plan));
}

void Cleaner::read_hints() {
    store_.list(store::RequestPriority::Read, std::string(kHints), "",
                [this, term = term_](store::Outcome outcome, const wire::ItemPage& page) {
                    if (!claim_ || term != term_) return;
                    if (outcome != store::Outcome::Ok || page.items.empty()) return end_round();
                    std::vector<duty::HintEntry> hints;
                    for (const auto& item : page.items) {
                        const auto value = wire::parse_image_hints_value(item.value);
                        duty::HintEntry entry{item.key, item.revision, value.has_value(), {}};
                        for (const auto& [machine, images] : value.value_or(wire::ImageHints{})) {
                            entry.machines.push_back(machine);
                        }
                        hints.push_back(std::move(entry));
                    }
                    cloud_.list([this, term, hints](cloud::Result result,
                                                    const std::vector<core::ListedMachine>&,
                                                    const std::set<std::string>& listed) {
                        if (!claim_ || term != term_) return;
                        if (result == cloud::Result::Ok) check_hints(hints, listed);
                        end_round();
                    });
                });
}

void Cleaner::check_hints(const std::vector<duty::HintEntry>& hints,
                          const std::set<std::string>& listed) {
    duty::RemovalPlan plan;
    for (const auto& entry : hints) {
        if (duty::decide(entry, listed) != duty::CleanupDecision::Remove) continue;
        if (plan.records.size() >= store_.max_transaction_operations()) break;
        plan.records.push_back({entry.key, entry.revision});
    }
    remove(std::move(plan));
}

void Cleaner::remove(duty::RemovalPlan plan) {
    if (plan.records.empty()) return;
    const auto first = plan.records.front().key;
    const auto count = plan.records.size();
    if (settings_.features.cleanup == CleanupMode::Report) {
        for (const auto& record : plan.records) {
            host_.log(events::CleanupWouldRemove{record.key});
        }
        return;
    }
    const auto allowed = permit();
    if (!allowed || !allowed->fenced()) return;
    send_write(store_, store::RequestPriority::Read, duty::removal_write(*allowed, plan),
               [this, term = term_, first, count](const duty::WriteResult& result) {
                   if (!claim_ || term != term_) return;
                   if (result.outcome == duty::WriteOutcome::Written) {
                       removed_ += count;
                       host_.log(events::CleanupRemoved{count, first});
                   }
                   const bool replaced = result.outcome == duty::WriteOutcome::Conflict &&
                                         (result.failed_on(std::string(duty::kCleanupLeaseKey)) ||
                                          result.failed_on(claim_->key()));
                   if (replaced) lose(events::DutyEnd::Lost);
               });
}

}  // namespace lichendrift::control
