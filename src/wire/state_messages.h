// JSON messages of the state service: transactions, items, changes and leases. A parser returns
// nothing for a malformed message: the client counts it and takes the outcome as unknown.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lichendrift::wire {

/// A key with the revision that it must have for a transaction to be applied.
struct Condition {
    std::string key;             ///< the key
    std::uint64_t revision = 0;  ///< of its last change; 0: the key must not exist
};

/// A key that a transaction writes or removes.
struct Change {
    std::string key;          ///< the key
    std::string value;        ///< JSON; empty: remove the key
    std::uint64_t lease = 0;  ///< that the key is attached to; 0: none
};

/// Transaction (compare-and-swap) that applies `changes` if all `conditions` hold.
[[nodiscard]] std::string transaction_body(const std::vector<Condition>& conditions,
                                           const std::vector<Change>& changes);
/// The revision that an applied transaction gave its changes.
[[nodiscard]] std::optional<std::uint64_t> parse_revision(std::string_view body);
/// The keys whose conditions did not hold.
[[nodiscard]] std::optional<std::vector<std::string>> parse_failed_keys(std::string_view body);

/// A key with its value.
struct Item {
    std::string key;             ///< the key
    std::string value;           ///< JSON; empty in a change: the key was removed
    std::uint64_t revision = 0;  ///< of its last change
};
/// The answer to a read of one key.
[[nodiscard]] std::optional<Item> parse_item(std::string_view body);

/// Items of a list, or changes that a watch saw.
struct ItemPage {
    std::vector<Item> items;     ///< in the service's order
    bool more = false;           ///< whether the list goes on
    std::uint64_t revision = 0;  ///< of the whole store at the time of the answer
};
/// A page of a list.
[[nodiscard]] std::optional<ItemPage> parse_items(std::string_view body);
/// What a watch saw; it may be nothing.
[[nodiscard]] std::optional<ItemPage> parse_changes(std::string_view body);

/// Request for a lease.
[[nodiscard]] std::string lease_body(std::uint64_t ttl_ms);
/// The id of a new lease.
[[nodiscard]] std::optional<std::uint64_t> parse_lease_id(std::string_view body);

}  // namespace lichendrift::wire
