#pragma once

/// @file
/// What the classes of the cleanup duty work with.

#include "cloud/cloud_client.h"
#include "control/job_watcher.h"
#include "control/settings.h"
#include "events/event.h"
#include "store/store_client.h"

namespace lichendrift::control {

/// What a cleaner needs of its controller.
class CleanerHost {
  public:
    virtual ~CleanerHost() = default;
    /// Whether this controller is the leader.
    [[nodiscard]] virtual bool leading() const = 0;
    /// Whether every controller is known to have fenced duties switched on.
    [[nodiscard]] virtual bool peers_fence_duties() const = 0;
    /// Writes an event to the log.
    virtual void log(const events::Event& event) = 0;
};

/// What a cleaner works with. All outlive every callback.
struct CleanerServices {
    net::Runtime& runtime;      ///< time and random numbers
    const Settings& settings;   ///< of this controller
    store::StoreClient& store;  ///< the state service
    cloud::CloudClient& cloud;  ///< for the list of machines
    JobWatcher& job_watcher;    ///< for the open jobs
    CleanerHost& host;          ///< the controller
};

}  // namespace lichendrift::control
