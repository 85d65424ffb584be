// What the leader writes to the state service: placement records, terminal states, image hints.
#include <algorithm>

#include "control/leader.h"

namespace lichendrift::control {

namespace {

constexpr Millis kHintsEvery = 8000;
constexpr Millis kHintPause = 500;      // between two records of images
constexpr std::size_t kHintBytes = 90;  // of a machine in such a record
constexpr std::size_t kRecordBytes = 40'000;
constexpr int kMaxRecordWrites = 2;  // transactions under way
constexpr int kMaxUrgentRecordWrites =
    2;  // beyond these, of records that starts of replicas wait for

}  // namespace

bool Leader::lost(const store::TransactionResult& result) {
    if (result.outcome != store::Outcome::Conflict) return false;
    if (std::find(result.failed.begin(), result.failed.end(), "leader") == result.failed.end()) {
        return false;
    }
    host_.step_down(events::StepDownReason::AnotherLeaderElected);
    return true;
}

void Leader::write() {
    if (!ready_ || !host_.has_leader_lease()) return;
    write_finals();
    write_placement_records();
    write_orphans();
}

// The limits that hold later count as soon as no controller can come that would not understand what
// is written within them, and at once when the state service shows that they hold.
core::Cluster::RecordLimits Leader::record_limits() const {
    const bool may_refine =
        settings_.guards.current_version && (host_.peers_are_current() || store_.limits_lowered());
    return {store_.max_transaction_operations(), kRecordBytes,
            may_refine ? store_.max_value_bytes_from_now_on() : store_.max_value_bytes(),
            may_refine, record_writes_in_flight_ >= kMaxRecordWrites};
}

void Leader::write_placement_records() {
    if (record_writes_in_flight_ >= kMaxRecordWrites + kMaxUrgentRecordWrites) return;
    const auto now = runtime_.now();
    const bool lazy = store_.can_write_at_once(store_.max_transaction_operations());
    auto writes =
        with([&](core::Cluster& c) { return c.next_record_writes(record_limits(), lazy, now); });
    if (writes.empty()) return;
    // What waits for its pace must not hold up the start of a replica.
    const auto priority =
        writes.front().urgent ? store::RequestPriority::Submit : store::RequestPriority::Place;
    std::vector<wire::Condition> when{mine()};
    std::vector<wire::Change> then;
    for (const auto& w : writes) {
        const auto key = "place/" + w.job_id + "/" + std::to_string(w.record_number);
        when.push_back({key, w.revision});
        // A record that becomes durable after its job is over, late or from a copy that lags, would
        // be followed by starts.
        if (settings_.guards.record_of_open) when.push_back({"open/" + w.job_id, w.open_revision});
        then.push_back({key, wire::placement_value(w.record), 0});
    }
    ++record_writes_in_flight_;
    store_.transact(priority, when, then,
                    [self = shared_from_this(),
                     writes = std::move(writes)](const store::TransactionResult& result) {
                        --self->record_writes_in_flight_;
                        if (self->stopped_ || self->lost(result)) return;
                        const auto at = self->runtime_.now();
                        for (const auto& w : writes) {
                            const auto key =
                                "place/" + w.job_id + "/" + std::to_string(w.record_number);
                            const bool clash = result.outcome == store::Outcome::Unknown ||
                                               std::find(result.failed.begin(), result.failed.end(),
                                                         key) != result.failed.end();
                            if (clash) {
                                // In doubt, or an earlier write in doubt came late: read back
                                // first.
                                self->reread(w);
                                continue;
                            }
                            const bool over = std::find(result.failed.begin(), result.failed.end(),
                                                        "open/" + w.job_id) != result.failed.end();
                            self->with([&](core::Cluster& c) {
                                if (result.outcome == store::Outcome::Conflict) {
                                    return c.on_record_refused(w, over, at);
                                }
                                c.on_record_written(w, result.outcome == store::Outcome::Ok,
                                                    result.revision, at);
                            });
                            // Which final word it is comes with the next read.
                            if (over) self->job_watcher_.refresh([](bool) {});
                        }
                        self->write();
                        self->dispatch();
                    });
}

void Leader::reread(const core::RecordWrite& write) {
    store_.get(store::RequestPriority::Place,
               "place/" + write.job_id + "/" + std::to_string(write.record_number),
               [self = shared_from_this(), write](store::Outcome outcome, const wire::Item& item) {
                   if (self->stopped_) return;
                   const auto now = self->runtime_.now();
                   if (outcome == store::Outcome::Missing) {
                       self->with([&](core::Cluster& c) { c.on_record_reread(write, 0, 0, now); });
                   } else if (auto record = outcome == store::Outcome::Ok
                                                ? wire::parse_placement_value(item.value)
                                                : std::nullopt) {
                       self->with([&](core::Cluster& c) {
                           c.on_record_reread(write, item.revision, record->nonce, now);
                       });
                   } else {
                       self->runtime_.after(300, [self, write] {
                           if (!self->stopped_) self->reread(write);
                       });
                       return;
                   }
                   self->write();
                   self->dispatch();
               });
}

void Leader::write_finals() {
    while (final_writes_ < 3) {
        const auto now = runtime_.now();
        core::JobText text;
        auto write = with([&](core::Cluster& c) {
            auto w = c.next_final_write(store_.max_transaction_operations() - 2, now);
            if (w && w->with_job) text = c.jobs().at(w->job).text;
            return w;
        });
        if (!write) return;
        std::vector<wire::Condition> when{
            mine(), {"open/" + write->job_id, write->open_revision}, {"over/" + write->job_id, 0}};
        std::vector<wire::Change> then{
            {"open/" + write->job_id, "", 0},
            {"over/" + write->job_id,
             write->with_job ? wire::terminal_state_value_within(
                                   false, text, store_.max_value_bytes_from_now_on())
                             : wire::terminal_state_value(false, nullptr),
             0}};
        for (auto record_number : write->record_numbers) {
            then.push_back({"place/" + write->job_id + "/" + std::to_string(record_number), "", 0});
        }
        ++final_writes_;
        store_.transact(
            store::RequestPriority::Place, when, then,
            [self = shared_from_this(), write = *write](const store::TransactionResult& result) {
                --self->final_writes_;
                if (self->stopped_ || self->lost(result)) return;
                const bool ok = result.outcome == store::Outcome::Ok;
                self->with(
                    [&](core::Cluster& c) { c.final_written(write, ok, self->runtime_.now()); });
                if (ok) {
                    self->host_.log(events::JobCompleted{write.job_id});
                    self->job_watcher_.on_terminal_state_written(write.job_id, TerminalState::Done,
                                                                 result.revision);
                }
                self->write();
            });
    }
}

void Leader::write_orphans() {
    if (orphan_write_) return;
    auto keys =
        with([&](core::Cluster& c) { return c.next_orphans(store_.max_transaction_operations()); });
    if (keys.empty()) return;
    std::vector<wire::Change> then;
    then.reserve(keys.size());
    for (const auto& key : keys) then.push_back({key, "", 0});
    orphan_write_ = true;
    store_.transact(store::RequestPriority::Read, {mine()}, then,
                    [self = shared_from_this(), keys](const store::TransactionResult& result) {
                        self->orphan_write_ = false;
                        if (self->stopped_ || self->lost(result)) return;
                        self->with([&](core::Cluster& c) {
                            c.orphans_removed(keys, result.outcome == store::Outcome::Ok);
                        });
                    });
}

void Leader::load_hints() {
    // Without them a new leader would fetch again what is there, and late starts follow.
    store_.list(store::RequestPriority::Place, "images/", "",
                [self = shared_from_this()](store::Outcome outcome, const wire::ItemPage& page) {
                    if (self->stopped_ || outcome != store::Outcome::Ok) return;
                    for (const auto& item : page.items) {
                        const auto hints = wire::parse_image_hints_value(item.value);
                        if (!hints) continue;
                        self->with([&](core::Cluster& c) {
                            c.load_image_hints(*hints, self->runtime_.now());
                        });
                    }
                });
}

void Leader::write_hints() {
    // In several records, as one would hold no more than a hundred machines; one at a time, each
    // every 8 s, and only if it changed.
    const auto value_bytes = store_.max_value_bytes_from_now_on() * 3 / 4;
    const auto parts = with([&](core::Cluster& c) {
        return 1 + c.machine_count() / std::max<std::size_t>(1, value_bytes / kHintBytes);
    });
    const auto now = runtime_.now();
    const auto pause = std::max(kHintPause, kHintsEvery / static_cast<Millis>(parts));
    if (now - hints_at_ < pause || !store_.can_write_at_once(1)) return;
    hints_at_ = now;
    hint_part_ = (hint_part_ + 1) % parts;
    auto value = wire::image_hints_value(
        with([&](core::Cluster& c) { return c.image_hints(hint_part_, parts); }), value_bytes);
    if (value == hints_[hint_part_]) return;
    hints_[hint_part_] = value;
    store_.transact(store::RequestPriority::Read, {mine()},
                    {{"images/" + std::to_string(hint_part_), std::move(value), 0}},
                    [self = shared_from_this()](const store::TransactionResult& result) {
                        if (!self->stopped_) self->lost(result);
                    });
}

}  // namespace lichendrift::control
