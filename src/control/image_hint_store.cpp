// Reads and writes the image hints in the state service.
#include "control/image_hint_store.h"

#include <algorithm>

#include "core/state_keys.h"
#include "wire/stored_values.h"

namespace lichendrift::control {

namespace {

constexpr Millis kPartCheckIntervalMs = 8000;  // between two checks of one part
constexpr Millis kMinCheckIntervalMs = 500;    // between two checks of any parts
constexpr std::size_t kBytesPerMachine = 90;   // assumed size of one machine's hints

}  // namespace

void ImageHintStore::read() {
    part_checked_at_ = term_.runtime.now();
    term_.store.list(
        store::RequestPriority::Place, std::string(core::keys::kImageHints), "",
        term_.callbacks.bind([this](store::Outcome outcome, const wire::ItemPage& page) {
            on_hints_read(outcome, page);
        }));
}

void ImageHintStore::on_hints_read(store::Outcome outcome, const wire::ItemPage& page) {
    if (outcome != store::Outcome::Ok) return;
    const auto now = term_.runtime.now();
    for (const auto& item : page.items) {
        const auto hints = wire::parse_image_hints_value(item.value);
        if (!hints) continue;
        term_.cluster->with_lock(
            [&](core::Cluster& cluster) { cluster.load_image_hints(*hints, now); });
    }
}

void ImageHintStore::write_due() {
    if (!term_.host.has_leader_lease()) return;
    // The hints are split into parts, because one value holds no more than a hundred machines. One
    // part is checked and written at a time.
    const auto value_bytes = term_.store.max_value_bytes_after_reduction() * 3 / 4;
    const auto machines_per_part = std::max<std::size_t>(1, value_bytes / kBytesPerMachine);
    const auto parts = term_.cluster->with_lock(
        [&](core::Cluster& cluster) { return 1 + cluster.machine_count() / machines_per_part; });
    const auto now = term_.runtime.now();
    const auto interval =
        std::max(kMinCheckIntervalMs, kPartCheckIntervalMs / static_cast<Millis>(parts));
    if (now - part_checked_at_ < interval || !term_.store.can_write_immediately(1)) return;
    part_checked_at_ = now;
    part_ = (part_ + 1) % parts;
    const auto hints = term_.cluster->with_lock(
        [&](core::Cluster& cluster) { return cluster.image_hints(part_, parts); });
    auto value = wire::image_hints_value(hints, value_bytes);
    if (value == written_values_[part_]) return;
    written_values_[part_] = value;
    term_.store.transact(store::RequestPriority::Read, {term_.leadership_condition()},
                         {{core::keys::image_hints(part_), std::move(value), 0}},
                         term_.callbacks.bind([this](const store::TransactionResult& result) {
                             term_.step_down_if_replaced(result);
                         }));
}

}  // namespace lichendrift::control
