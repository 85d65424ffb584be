#pragma once

#include <cstdint>

#include "control/settings.h"
#include "core/cluster.h"

namespace lichendrift::control {

/// The cluster's settings for one term: the platform's settings file, checked, in the cluster's
/// units. `token`: the term's first fencing token.
[[nodiscard]] core::ClusterSettings cluster_settings(const Settings& settings, std::uint64_t token);

}  // namespace lichendrift::control
