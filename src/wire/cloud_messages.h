// JSON messages of the cloud: machine types, provisioning, releases and listings. A parser returns
// nothing for a malformed message: the client counts it and treats it as no answer.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/types.h"
#include "duty/duty.h"

namespace lichendrift::wire {

/// The machine types that the cloud offers.
[[nodiscard]] std::optional<std::vector<core::MachineType>> parse_machine_types(
    std::string_view body);
/// Machine types in the same form, with what placement needs of them.
[[nodiscard]] std::string machine_types_value(const std::vector<core::MachineType>& types);

/// Request for machines. `epoch`: of the duty under which they are provisioned, in an additional
/// field; 0: left out.
[[nodiscard]] std::string provision_body(const duty::ProvisionRequest& request, duty::Epoch epoch);
/// The names of the machines that were provisioned.
[[nodiscard]] std::optional<std::vector<std::string>> parse_provisioned(std::string_view body);
/// Whether the refusal says that the cloud has no machine of the type, zone and kind.
[[nodiscard]] bool is_no_capacity(std::string_view body);

/// Request to release machines. `epoch` as for provision_body.
[[nodiscard]] std::string release_body(const std::vector<std::string>& names, duty::Epoch epoch);

/// A page of the cloud's list of machines.
struct Listing {
    std::vector<core::ListedMachine> machines;  ///< in the order of their names
    bool more = false;                          ///< whether further machines follow
};
/// A page of the list.
[[nodiscard]] std::optional<Listing> parse_listing(std::string_view body);

}  // namespace lichendrift::wire
