#pragma once

#include <mutex>
#include <string>
#include <vector>

#include "core/cluster.h"

namespace lichendrift::control {

/// The cluster state of one term, protected by a mutex. Two threads use it: the event loop's thread
/// for everything, the planner's thread for snapshots only.
///
/// Critical sections must be short. They must not log, start requests or timers, or call
/// with_lock() again: they return what to do, and the caller does it after the lock is released.
class LockedCluster {
  public:
    /// `zones`: names of the zones, in the order of the settings file.
    LockedCluster(const core::ClusterSettings& settings, const std::vector<std::string>& zones)
        : zones_(intern_all(zones)), cluster_(settings, types_, zones_) {}

    /// Calls `fn` with the cluster state while holding the lock, and returns its result.
    template <typename F>
    auto with_lock(F fn) {
        std::scoped_lock lock(mutex_);
        return fn(cluster_);
    }

    /// Name of the machine type with this index. Plans refer to types by index.
    [[nodiscard]] std::string type_name(core::TypeIndex type) {
        std::scoped_lock lock(mutex_);
        return types_.name(type);
    }

    /// Name of the zone with this index. Plans refer to zones by index.
    [[nodiscard]] std::string zone_name(core::ZoneIndex zone) {
        std::scoped_lock lock(mutex_);
        return zones_.name(zone);
    }

    /// Index of the machine type; assigns a new one if the name is not known yet.
    [[nodiscard]] core::TypeIndex type_index(const std::string& name) {
        std::scoped_lock lock(mutex_);
        return types_.intern(name);
    }

    /// Index of the zone; assigns a new one if the name is not known yet.
    [[nodiscard]] core::ZoneIndex zone_index(const std::string& name) {
        std::scoped_lock lock(mutex_);
        return zones_.intern(name);
    }

  private:
    static core::NameTable intern_all(const std::vector<std::string>& names) {
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
