#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/types.h"
#include "duty/duty.h"

// The JSON of users, workers, cloud and state service. The only place that knows the field names
// of the protocol. A parser returns nothing when the message is malformed; fields that are not
// known are ignored.
namespace lichendrift::wire {

// Users.
bool valid_job_id(std::string_view id);
using JobOrError = std::variant<core::JobText, std::string>;
JobOrError parse_submission(std::string_view body);
std::string job_answer(std::string_view id, std::string_view state);
std::string job_answer(std::string_view id, std::string_view state, std::uint32_t done,
                       std::uint32_t running);
std::string error_body(std::string_view reason);

// Workers.
std::optional<core::Report> parse_report(std::string_view body);
std::string commands_body(std::uint64_t token, const std::vector<core::Command>& commands);
// Tells a worker which node to report to.
std::string redirect_body(const std::string& member);
std::string direct_body(std::uint64_t token, std::uint64_t session,
                        const std::vector<core::Command>& commands);

// Cloud.
std::optional<std::vector<core::MachineType>> parse_types(std::string_view body);
// `epoch`: of the duty under which it is asked, in an additional field; 0: left out.
std::string provision_body(const duty::ProvisionRequest& order, duty::Epoch epoch);
std::optional<std::vector<std::string>> parse_provisioned(std::string_view body);
std::string release_body(const std::vector<std::string>& names, duty::Epoch epoch);
struct Listing {
    std::vector<core::ListedMachine> machines;
    bool more = false;
};
std::optional<Listing> parse_listing(std::string_view body);
bool is_no_capacity(std::string_view body);

// State service.
struct Condition {
    std::string key;
    std::uint64_t revision = 0;
};
struct Change {
    std::string key;
    std::string value;        // JSON; empty: remove
    std::uint64_t lease = 0;  // 0: none
};
std::string transaction_body(const std::vector<Condition>& when, const std::vector<Change>& then);
struct Item {
    std::string key;
    std::string value;  // JSON; empty in a change: removed
    std::uint64_t revision = 0;
};
std::optional<Item> parse_item(std::string_view body);
std::optional<std::uint64_t> parse_revision(std::string_view body);
struct ItemPage {
    std::vector<Item> items;
    bool more = false;
    std::uint64_t revision = 0;
};
std::optional<ItemPage> parse_items(std::string_view body);
std::optional<ItemPage> parse_changes(std::string_view body);
std::optional<std::vector<std::string>> parse_failed(std::string_view body);
std::string lease_body(std::uint64_t ttl_ms);
std::optional<std::uint64_t> parse_lease(std::string_view body);

// Values of our own in the state service.
std::string job_value(const core::JobText& job);
std::optional<core::JobText> parse_job_value(std::string_view id, std::string_view value);
std::string placement_value(const core::PlacementRecord& record);
std::optional<core::PlacementRecord> parse_placement_value(std::string_view value);
struct TerminalState {
    bool aborted = false;
    std::optional<core::JobText> job;
};
std::string terminal_state_value(bool aborted, const core::JobText* job);
// The same within a limit: of a description that is too long, what its tasks need while they are
// still on machines, without the lists of where it might have run.
std::string terminal_state_value_within(bool aborted, const core::JobText& job,
                                        std::size_t max_bytes);
std::optional<TerminalState> parse_terminal_state_value(std::string_view id,
                                                        std::string_view value);
struct LeaderRecord {
    std::string member;
    std::uint64_t token = 0;
};
std::string leader_value(const LeaderRecord& leader_record);
std::optional<LeaderRecord> parse_leader_value(std::string_view value);
using ImageHints = std::vector<std::pair<std::string, std::vector<std::string>>>;
std::string image_hints_value(const ImageHints& hints, std::size_t max_bytes);
std::optional<ImageHints> parse_image_hints_value(std::string_view value);
std::string duty_value(const duty::DutyRecord& record);
std::optional<duty::DutyRecord> parse_duty_value(std::string_view value);
std::string intent_value(const duty::Intent& intent);
// Always something: of a damaged one, what can be made out.
duty::StoredIntent parse_intent(const Item& item);
std::string types_value(const std::vector<core::MachineType>& types);

}  // namespace lichendrift::wire
