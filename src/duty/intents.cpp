#include "duty/intents.h"

#include <algorithm>
#include <charconv>

namespace lichendrift::duty {

namespace {

constexpr std::size_t kMaxReleases = 100;  // the protocol's limit for one request
constexpr std::size_t kMaxProvisions = 16;
constexpr std::size_t kMaxWriting = 2;
constexpr std::size_t kRecordBytes = 80;  // of an intent without its lists
constexpr std::size_t kNameBytes = 3;     // of a machine beyond its name
constexpr std::size_t kOrderBytes = 40;   // of a rental beyond its names
constexpr Millis kBatchWait = 1000;       // for which machines nobody waits for are collected
constexpr Millis kWriteRetry = 300;
constexpr Millis kReadRetry = 300;
constexpr Millis kReleaseRetry = 3000;
constexpr Millis kProvisionRetry = 1000;
constexpr Millis kSlowProvisionRetry = 5000;
constexpr Millis kRemovalWait = 2000;  // a record may be of use for the next intent
constexpr Millis kWithdrawAfter = 8000;
constexpr int kQuickTries = 6;  // of a rental, at kRentalRetry
constexpr int kMaxInheritedTries = 30;

}  // namespace

// ---- what earlier holders left ----

void IntentLedger::load(const StoredIntent& stored, Millis now) {
    std::uint32_t number = 0;
    const char* from = stored.key.data() + std::min(kIntentPrefix.size(), stored.key.size());
    const char* end = stored.key.data() + stored.key.size();
    const auto parsed = std::from_chars(from, end, number);
    const bool named = from != end && parsed.ptr == end && parsed.ec == std::errc{};
    if (stored.damaged || !named) {
        ++counters_.damaged;
        // Left in place: its number is not used again.
        if (named) slots_[number].state = Slot::State::Damaged;
        return;
    }
    if (!guards_.inherit) {
        slots_[number] = {};
        slots_[number].state = Slot::State::Settled;
        slots_[number].revision = stored.revision;
        return;
    }
    Slot& slot = slots_[number];
    slot = {};
    slot.state = Slot::State::Open;
    slot.epoch = stored.intent.epoch;
    slot.nonce = stored.intent.nonce;
    slot.revision = stored.revision;
    slot.inherited = true;
    slot.since = now;
    slot.releases = stored.intent.releases;
    for (const auto& order : stored.intent.provisions) {
        ProvisionState provision;
        provision.order = order;
        provision.unanswered = true;
        provision.wanted_at = now;
        slot.provisions.push_back(std::move(provision));
    }
    releasing_.insert(slot.releases.begin(), slot.releases.end());
    ++counters_.inherited;
    settle_if_done(slot);
}

// ---- wishes ----

void IntentLedger::want_release(const std::string& machine, bool urgent, Millis now) {
    if (!releasing_.insert(machine).second) return;
    releases_.push_back({machine, urgent, now});
}

void IntentLedger::want_provision(ProvisionRequest order, Millis now) {
    ProvisionState provision;
    provision.order = std::move(order);
    provision.wanted_at = now;
    provisions_.push_back(std::move(provision));
}

void IntentLedger::open_unfenced(Millis now) {
    withdraw_old_provisions(now);
    if (!releases_.empty()) {
        Slot& slot = slots_[free_slot(false)];
        slot = {};
        slot.state = Slot::State::Open;
        slot.since = now;
        fill_with_releases(slot, std::string::npos);
    }
    if (provisions_.empty()) return;
    Slot& slot = slots_[free_slot(false)];
    slot = {};
    slot.state = Slot::State::Open;
    slot.since = now;
    fill_with_provisions(slot, std::string::npos);
}

void IntentLedger::close_unfenced() {
    for (auto& [number, slot] : slots_) {
        if (slot.state != Slot::State::Open || slot.revision != 0 || slot.releasing) continue;
        const bool asking = std::any_of(slot.provisions.begin(), slot.provisions.end(),
                                        [](const auto& provision) { return provision.asking; });
        if (asking) continue;
        for (auto& machine : slot.releases) {
            releases_.push_back({std::move(machine), true, slot.since});
        }
        for (auto& provision : slot.provisions) {
            if (!provision.settled) provisions_.push_back(std::move(provision));
        }
        slot = {};
    }
}

// ---- writing ----

std::uint32_t IntentLedger::free_slot(bool overwrite) const {
    std::uint32_t number = 0;
    for (const auto& [used, slot] : slots_) {
        if (used > number) break;  // a gap
        if (slot.state == Slot::State::Free) return used;
        if (overwrite && slot.state == Slot::State::Settled) return used;
        number = used + 1;
    }
    return number;
}

std::optional<std::uint32_t> IntentLedger::unconfirmed_slot(Millis now) const {
    for (const auto& [number, slot] : slots_) {
        if (slot.state == Slot::State::Unconfirmed && slot.retry_at <= now) return number;
    }
    return std::nullopt;
}

bool IntentLedger::releases_due(Millis now) const {
    if (releases_.size() >= kMaxReleases) return true;
    return std::any_of(releases_.begin(), releases_.end(), [&](const WantedRelease& wanted) {
        return wanted.urgent || now - wanted.since >= kBatchWait;
    });
}

void IntentLedger::fill_with_releases(Slot& slot, std::size_t value_bytes) {
    const auto limit = max_in_batch_ == 0 ? kMaxReleases : max_in_batch_;
    std::size_t bytes = kRecordBytes;
    while (!releases_.empty() && slot.releases.size() < limit) {
        const auto size = releases_.front().machine.size() + kNameBytes;
        if (!slot.releases.empty() && bytes + size > value_bytes) break;
        bytes += size;
        slot.releases.push_back(std::move(releases_.front().machine));
        releases_.pop_front();
    }
}

void IntentLedger::fill_with_provisions(Slot& slot, std::size_t value_bytes) {
    const auto limit =
        max_in_batch_ == 0 ? kMaxProvisions : std::min(kMaxProvisions, max_in_batch_);
    std::size_t bytes = kRecordBytes;
    while (!provisions_.empty() && slot.provisions.size() < limit) {
        const auto& order = provisions_.front().order;
        const auto size =
            order.request.size() + order.type.size() + order.zone.size() + kOrderBytes;
        if (!slot.provisions.empty() && bytes + size > value_bytes) break;
        bytes += size;
        slot.provisions.push_back(std::move(provisions_.front()));
        provisions_.pop_front();
    }
}

IntentLedger::Write IntentLedger::write_of(std::uint32_t number, const Permit& permit) {
    Slot& slot = slots_.at(number);
    slot.state = Slot::State::Writing;
    Intent intent{slot.epoch, slot.nonce, slot.releases, {}};
    for (const auto& provision : slot.provisions) intent.provisions.push_back(provision.order);
    FencedWrite write(permit);
    write.require({intent_key(number), slot.revision});
    write.set(intent_key(number), std::move(intent));
    return {number, std::move(write)};
}

std::optional<IntentLedger::Write> IntentLedger::next_write(const Permit& provisioning,
                                                            const Permit& reclaiming,
                                                            const Limits& limits, Millis now) {
    withdraw_old_provisions(now);
    const auto writing = std::count_if(slots_.begin(), slots_.end(), [](const auto& entry) {
        return entry.second.state == Slot::State::Writing;
    });
    if (static_cast<std::size_t>(writing) >= kMaxWriting) return std::nullopt;
    if (const auto again = unconfirmed_slot(now)) {
        const bool provisions = !slots_.at(*again).provisions.empty();
        return write_of(*again, provisions ? provisioning : reclaiming);
    }
    const bool provisions = !provisions_.empty();
    if (!provisions && !releases_due(now)) return std::nullopt;
    const auto number = free_slot(true);
    // A settled record is overwritten, which saves its removal.
    const auto revision = slots_[number].revision;
    Slot& slot = slots_[number];
    slot = {};
    slot.revision = revision;
    slot.since = now;
    slot.nonce = ++nonces_;
    const Permit& permit = provisions ? provisioning : reclaiming;
    slot.epoch = permit.epoch();
    if (provisions) {
        fill_with_provisions(slot, limits.value_bytes);
    } else {
        fill_with_releases(slot, limits.value_bytes);
    }
    auto write = write_of(number, permit);
    if (!guards_.durable_first) slot.state = Slot::State::Open;
    return write;
}

IntentLedger::AfterWrite IntentLedger::on_written(std::uint32_t number, const WriteResult& result,
                                                  Millis now) {
    Slot& slot = slots_[number];
    if (slot.state != Slot::State::Writing) return AfterWrite::Fine;
    switch (result.outcome) {
        case WriteOutcome::Written:
            slot.state = Slot::State::Open;
            slot.revision = result.revision;
            ++counters_.written;
            return AfterWrite::Fine;
        case WriteOutcome::Conflict:
            slot.retry_at = now;
            slot.was_removing = false;
            if (result.failed_on(intent_key(number))) {
                // An earlier write of ours came through, this one's or one before it.
                slot.state = Slot::State::ToRead;
                return AfterWrite::Fine;
            }
            slot.state = Slot::State::Unconfirmed;
            return AfterWrite::FenceFailed;
        case WriteOutcome::Rejected:
            give_up_batch(slot, now);
            return AfterWrite::Fine;
        case WriteOutcome::Refused:
        case WriteOutcome::Unknown:
            slot.state = Slot::State::Unconfirmed;
            slot.retry_at = now + kWriteRetry;
            return AfterWrite::Fine;
    }
    return AfterWrite::Fine;
}

// Smaller limits came into force: what was to be written is divided anew.
void IntentLedger::give_up_batch(Slot& slot, Millis now) {
    const auto entries = std::max(slot.releases.size(), slot.provisions.size());
    max_in_batch_ = std::max<std::size_t>(1, entries / 2);
    for (auto it = slot.releases.rbegin(); it != slot.releases.rend(); ++it) {
        releases_.push_front({std::move(*it), true, slot.since});
    }
    for (auto it = slot.provisions.rbegin(); it != slot.provisions.rend(); ++it) {
        provisions_.push_front(std::move(*it));
    }
    const auto revision = slot.revision;
    slot = {};
    slot.revision = revision;
    slot.state = revision == 0 ? Slot::State::Free : Slot::State::Settled;
    slot.retry_at = now + kRemovalWait;
}

// What its holder has not asked for yet it may take back, as nobody else can have asked for it.
void IntentLedger::withdraw_old_provisions(Millis now) {
    const auto old = [&](const ProvisionState& provision) {
        return !provision.asking && !provision.unanswered && !provision.settled &&
               now - provision.wanted_at > kWithdrawAfter;
    };
    counters_.withdrawn += std::erase_if(provisions_, old);
    for (auto& [number, slot] : slots_) {
        if (slot.state != Slot::State::Open || slot.provisions.empty()) continue;
        for (auto& provision : slot.provisions) {
            if (!old(provision)) continue;
            provision.settled = true;
            ++counters_.withdrawn;
        }
        settle_if_done(slot);
    }
}

std::optional<std::uint32_t> IntentLedger::next_read(Millis now) {
    for (auto& [number, slot] : slots_) {
        if (slot.state != Slot::State::ToRead || slot.retry_at > now) continue;
        slot.state = Slot::State::Reading;
        return number;
    }
    return std::nullopt;
}

void IntentLedger::on_read(std::uint32_t number, ReadOutcome outcome, const Intent& intent,
                           std::uint64_t revision, Millis now) {
    Slot& slot = slots_[number];
    if (slot.state != Slot::State::Reading) return;
    if (outcome == ReadOutcome::Failed) {
        slot.state = Slot::State::ToRead;
        slot.retry_at = now + kReadRetry;
        return;
    }
    if (outcome == ReadOutcome::Damaged) {
        // Somebody else's hand: what it was to hold is written elsewhere.
        ++counters_.damaged;
        const bool removing = slot.was_removing;
        if (!removing) give_up_batch(slot, now);
        slot = {};
        slot.state = Slot::State::Damaged;
        return;
    }
    const bool found = outcome == ReadOutcome::Found;
    const bool ours = found && intent.epoch == slot.epoch && intent.nonce == slot.nonce;
    slot.revision = found ? revision : 0;
    if (slot.was_removing) {
        slot.state = found ? Slot::State::Settled : Slot::State::Free;
        slot.retry_at = now + kRemovalWait;
    } else if (ours) {
        slot.state = Slot::State::Open;
        ++counters_.written;
    } else {
        slot.state = Slot::State::Unconfirmed;
        slot.retry_at = now;
    }
}

// ---- removing ----

std::optional<IntentLedger::Removal> IntentLedger::next_removal(const Permit& provisioning,
                                                                std::size_t operations,
                                                                Millis now) {
    Removal removal{{}, FencedWrite(provisioning)};
    for (auto& [number, slot] : slots_) {
        if (slot.state == Slot::State::Removing) return std::nullopt;
        const bool due = slot.state == Slot::State::Settled && slot.retry_at <= now;
        if (!due || removal.slots.size() >= operations) continue;
        removal.slots.push_back(number);
        removal.write.require({intent_key(number), slot.revision});
        removal.write.remove(intent_key(number));
    }
    if (removal.slots.empty()) return std::nullopt;
    for (auto number : removal.slots) slots_.at(number).state = Slot::State::Removing;
    return removal;
}

IntentLedger::AfterWrite IntentLedger::on_removed(const std::vector<std::uint32_t>& slots,
                                                  const WriteResult& result, Millis now) {
    bool ours = false;
    for (auto number : slots) {
        Slot& slot = slots_[number];
        if (slot.state != Slot::State::Removing) continue;
        if (result.outcome == WriteOutcome::Written) {
            slot = {};
            continue;
        }
        const bool changed = result.failed_on(intent_key(number));
        ours |= changed;
        // Without an answer the record may be gone; whoever uses the slot next learns of it.
        slot.state = changed ? Slot::State::ToRead : Slot::State::Settled;
        slot.was_removing = true;
        slot.retry_at = changed ? now : now + kRemovalWait;
    }
    const bool fence = result.outcome == WriteOutcome::Conflict && !ours;
    return fence ? AfterWrite::FenceFailed : AfterWrite::Fine;
}

// ---- requests ----

std::optional<IntentLedger::Release> IntentLedger::next_release(const Permit& provisioning,
                                                                Millis now) {
    // One at a time: the cloud's pace is short.
    const bool asking = std::any_of(slots_.begin(), slots_.end(),
                                    [](const auto& entry) { return entry.second.releasing; });
    if (asking) return std::nullopt;
    for (auto& [number, slot] : slots_) {
        const bool due = slot.state == Slot::State::Open && !slot.releases.empty() &&
                         slot.retry_at <= now &&
                         (slot.revision != 0 || !provisioning.fenced() || !guards_.durable_first);
        if (!due) continue;
        slot.releasing = true;
        slot.retry_at = now + kReleaseRetry;
        const auto count = std::min(slot.releases.size(), kMaxReleases);
        const auto end = slot.releases.begin() + static_cast<std::ptrdiff_t>(count);
        return Release{number, FencedRelease(provisioning, {slot.releases.begin(), end})};
    }
    return std::nullopt;
}

void IntentLedger::on_released(std::uint32_t number, std::size_t machines, CloudOutcome outcome,
                               Millis now) {
    Slot& slot = slots_[number];
    slot.releasing = false;
    // Without the cloud's word the machines may still be there, and the request under way.
    if (outcome != CloudOutcome::Done) return;
    const auto count = static_cast<std::ptrdiff_t>(std::min(machines, slot.releases.size()));
    drop_releasing({slot.releases.begin(), slot.releases.begin() + count});
    slot.releases.erase(slot.releases.begin(), slot.releases.begin() + count);
    slot.retry_at = now;
    settle_if_done(slot);
    if (slot.state == Slot::State::Settled) slot.retry_at = now + kRemovalWait;
}

void IntentLedger::drop_releasing(const std::vector<std::string>& machines) {
    for (const auto& machine : machines) releasing_.erase(machine);
}

std::optional<IntentLedger::Provision> IntentLedger::next_provision(const Permit& provisioning,
                                                                    Millis now) {
    for (auto& [number, slot] : slots_) {
        const bool open = slot.state == Slot::State::Open &&
                          (slot.revision != 0 || !provisioning.fenced() || !guards_.durable_first);
        if (!open) continue;
        for (auto& provision : slot.provisions) {
            if (provision.asking || provision.settled || provision.retry_at > now) continue;
            provision.asking = true;
            ++provision.tries;
            return Provision{number, FencedProvision(provisioning, provision.order)};
        }
    }
    return std::nullopt;
}

void IntentLedger::on_provisioned(std::uint32_t number, const std::string& request,
                                  CloudOutcome outcome, Millis now) {
    Slot& slot = slots_[number];
    for (auto& provision : slot.provisions) {
        if (provision.order.request != request || !provision.asking) continue;
        provision.asking = false;
        provision.unanswered |= outcome == CloudOutcome::NoAnswer;
        const bool answered = outcome == CloudOutcome::Done || outcome == CloudOutcome::NoCapacity;
        // What may have been rented without an answer shows in the list of machines.
        const auto limit = slot.inherited ? kMaxInheritedTries : kQuickTries;
        provision.settled = answered || !provision.unanswered || provision.tries > limit;
        provision.retry_at =
            now + (provision.tries > kQuickTries ? kSlowProvisionRetry : kProvisionRetry);
    }
    settle_if_done(slot);
    if (slot.state == Slot::State::Settled) slot.retry_at = now + kRemovalWait;
}

void IntentLedger::settle_if_done(Slot& slot) {
    if (slot.state != Slot::State::Open || !slot.releases.empty()) return;
    const bool open = std::any_of(slot.provisions.begin(), slot.provisions.end(),
                                  [](const auto& provision) { return !provision.settled; });
    if (open) return;
    ++counters_.settled;
    slot.provisions.clear();
    slot.state = slot.revision == 0 ? Slot::State::Free : Slot::State::Settled;
}

// ---- what is open ----

bool IntentLedger::provisioning_in_flight() const {
    if (!provisions_.empty()) return true;
    return std::any_of(slots_.begin(), slots_.end(), [](const auto& entry) {
        return std::any_of(entry.second.provisions.begin(), entry.second.provisions.end(),
                           [](const auto& provision) {
                               return !provision.settled && provision.tries <= kQuickTries;
                           });
    });
}

std::size_t IntentLedger::open_count() const {
    return static_cast<std::size_t>(
        std::count_if(slots_.begin(), slots_.end(), [](const auto& entry) {
            return entry.second.state == Slot::State::Open && entry.second.revision != 0;
        }));
}

std::optional<IntentLedger::Oldest> IntentLedger::oldest_open() const {
    std::optional<Oldest> oldest;
    for (const auto& [number, slot] : slots_) {
        if (slot.state != Slot::State::Open || slot.revision == 0) continue;
        if (oldest && oldest->since <= slot.since) continue;
        oldest = Oldest{number, slot.since, slot.releases.size(), {}, {}};
        if (!slot.releases.empty()) {
            oldest->first_machine = slot.releases.front();
        } else if (!slot.provisions.empty()) {
            oldest->provision_request = slot.provisions.front().order.request;
        }
    }
    return oldest;
}

}  // namespace lichendrift::duty
