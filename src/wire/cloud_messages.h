// JSON messages exchanged with the cloud: machine types, provisioning, releases and lists of
// machines. A parser returns nullopt for a malformed message; the client counts it and treats it as
// a missing answer.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/types.h"
#include "duty/duty.h"

namespace lichendrift::wire {

/// Parses the machine types that the cloud offers.
[[nodiscard]] std::optional<std::vector<core::MachineType>> parse_machine_types(
    std::string_view body);
/// Encodes machine types in the same form, with only their names, resources and zones.
[[nodiscard]] std::string machine_types_value(const std::vector<core::MachineType>& types);

/// Body of a request to provision machines. `epoch`: epoch of the duty under which they are
/// provisioned, sent in an additional field; 0: the field is left out.
[[nodiscard]] std::string provision_body(const duty::ProvisionRequest& request, duty::Epoch epoch);
/// Parses the names of the machines that a request provisioned.
[[nodiscard]] std::optional<std::vector<std::string>> parse_provisioned(std::string_view body);
/// Whether the body of a refusal says that the cloud has no capacity for the requested machine type
/// and zone, as spot or on-demand machines.
[[nodiscard]] bool is_no_capacity(std::string_view body);

/// Body of a request to release the machines `names`. `epoch` as for provision_body.
[[nodiscard]] std::string release_body(const std::vector<std::string>& names, duty::Epoch epoch);

/// A page of the cloud's list of machines.
struct Listing {
    std::vector<core::ListedMachine> machines;  ///< ordered by name
    bool more = false;                          ///< whether there is a further page
};
/// Parses a page of the cloud's list of machines.
[[nodiscard]] std::optional<Listing> parse_listing(std::string_view body);

}  // namespace lichendrift::wire
