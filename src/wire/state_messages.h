// JSON messages exchanged with the state service: transactions, items, changes and leases. A parser
// returns nullopt for a malformed message; the client counts it and treats the outcome of the
// request as unknown.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lichendrift::wire {

/// A condition of a transaction: a key and the revision that it must have.
struct Condition {
    std::string key;             ///< the key
    std::uint64_t revision = 0;  ///< revision of the key's last change; 0: it must not exist
};

/// A change of a transaction: a key that is written or removed.
struct Change {
    std::string key;          ///< the key
    std::string value;        ///< JSON; empty: remove the key
    std::uint64_t lease = 0;  ///< lease that the key is attached to; 0: none
};

/// Body of a transaction (compare-and-swap) that applies `changes` if all `conditions` hold.
[[nodiscard]] std::string transaction_body(const std::vector<Condition>& conditions,
                                           const std::vector<Change>& changes);
/// Parses the revision at which a transaction was applied.
[[nodiscard]] std::optional<std::uint64_t> parse_revision(std::string_view body);
/// Parses the keys whose conditions did not hold, from the answer to a transaction that was
/// not applied.
[[nodiscard]] std::optional<std::vector<std::string>> parse_failed_keys(std::string_view body);

/// A key with its value, in a listing or in a change that a watch reports.
struct Item {
    std::string key;             ///< the key
    std::string value;           ///< JSON; empty in a change: the key was removed
    std::uint64_t revision = 0;  ///< revision of the key's last change
};
/// Parses the answer to a read of one key. `key` stays empty if the answer does not contain it.
[[nodiscard]] std::optional<Item> parse_item(std::string_view body);

/// A page of a listing, or the changes that a watch reports.
struct ItemPage {
    std::vector<Item> items;     ///< in the order of the answer
    bool more = false;           ///< whether there is a further page
    std::uint64_t revision = 0;  ///< revision of the whole store at the time of the answer
};
/// Parses a page of a listing.
[[nodiscard]] std::optional<ItemPage> parse_items(std::string_view body);
/// Parses the answer to a watch, which may contain no changes.
[[nodiscard]] std::optional<ItemPage> parse_changes(std::string_view body);

/// Body of a request for a lease that expires `ttl_ms` milliseconds after its last renewal.
[[nodiscard]] std::string lease_body(std::uint64_t ttl_ms);
/// Parses the id of a new lease.
[[nodiscard]] std::optional<std::uint64_t> parse_lease_id(std::string_view body);

}  // namespace lichendrift::wire
