#pragma once

#include <cstdint>

#include "control/settings.h"
#include "core/cluster.h"

namespace lichendrift::control {

/// Converts the checked settings file into the settings of core::Cluster for one term, for instance
/// seconds into milliseconds. `token`: the term's first fencing token.
[[nodiscard]] core::ClusterSettings cluster_settings(const Settings& settings, std::uint64_t token);

}  // namespace lichendrift::control
