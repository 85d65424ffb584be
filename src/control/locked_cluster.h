#pragma once

#include <mutex>
#include <string>
#include <vector>

#include "core/cluster.h"

namespace lichendrift::control {

/// The cluster of one term behind its lock. Two threads use it: the loop's thread for everything,
/// the planner's thread for snapshots only.
///
/// Sections under the lock are short: they neither log nor start requests or timers, and they do
/// not call with_lock() again. What they decide is returned and carried out after them.
class LockedCluster {
  public:
    /// `zones`: the platform's zones, in the order of the settings file.
    LockedCluster(const core::ClusterSettings& settings, const std::vector<std::string>& zones)
        : zones_(names_of(zones)), cluster_(settings, types_, zones_) {}

    /// Calls `fn` with the cluster under the lock and returns what it returns.
    template <typename F>
    auto with_lock(F fn) {
        std::scoped_lock lock(mutex_);
        return fn(cluster_);
    }

    /// Name of a machine type that a plan names by its index.
    [[nodiscard]] std::string type_name(core::TypeIndex type) {
        std::scoped_lock lock(mutex_);
        return types_.name(type);
    }

    /// Name of a zone that a plan names by its index.
    [[nodiscard]] std::string zone_name(core::ZoneIndex zone) {
        std::scoped_lock lock(mutex_);
        return zones_.name(zone);
    }

    /// Index of a machine type; a new one if the name is not known yet.
    [[nodiscard]] core::TypeIndex type_index(const std::string& name) {
        std::scoped_lock lock(mutex_);
        return types_.intern(name);
    }

    /// Index of a zone; a new one if the name is not known yet.
    [[nodiscard]] core::ZoneIndex zone_index(const std::string& name) {
        std::scoped_lock lock(mutex_);
        return zones_.intern(name);
    }

  private:
    static core::NameTable names_of(const std::vector<std::string>& names) {
        core::NameTable interned;
        for (const auto& name : names) interned.intern(name);
        return interned;
    }

    std::mutex mutex_;
    core::NameTable types_;
    core::NameTable zones_;
    core::Cluster cluster_;
};

}  // namespace lichendrift::control
