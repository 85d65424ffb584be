#pragma once

/// @file
/// Services that the classes of the cleanup duty use.

#include "cloud/cloud_client.h"
#include "control/job_watcher.h"
#include "control/settings.h"
#include "events/event.h"
#include "store/store_client.h"

namespace lichendrift::control {

/// The controller as seen by its cleaner.
class CleanerHost {
  public:
    virtual ~CleanerHost() = default;
    /// Whether this controller is the leader.
    [[nodiscard]] virtual bool leading() const = 0;
    /// Whether every controller is known to have fenced duties switched on.
    [[nodiscard]] virtual bool peers_fence_duties() const = 0;
    /// Logs an event with the controller's context.
    virtual void log(const events::Event& event) = 0;
};

/// Services that a cleaner uses. All must outlive every callback.
struct CleanerServices {
    net::Runtime& runtime;      ///< clock, timers and random numbers
    const Settings& settings;   ///< settings of this controller
    store::StoreClient& store;  ///< client of the state service
    cloud::CloudClient& cloud;  ///< client of the cloud's API, for the list of machines
    JobWatcher& job_watcher;    ///< this controller's copy of the open jobs
    CleanerHost& host;          ///< the controller
};

}  // namespace lichendrift::control
