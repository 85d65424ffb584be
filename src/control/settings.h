#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "control/features.h"
#include "core/types.h"

namespace lichendrift::control {

/// Another controller (a `sibling` in the settings file).
struct Peer {
    std::string member;    ///< its name, unique among the controllers
    std::string location;  ///< where it runs; not used
    std::string address;   ///< host:port on which it accepts requests from controllers
};

/// One of the operators' service-level objectives.
struct Objective {
    std::string kind;     ///< `wait`, `finished`, `deadline` or `guarantee`
    std::string cls;      ///< class of jobs that it applies to; empty: all
    double within_s = 0;  ///< bound on the time that `kind` names, in seconds
    double share = 0;     ///< fraction of the cases that must meet it, 0 to 1
    double times = 0;     ///< factor on the time that `kind` names
};

/// Limits of the state service that come into force later, without notice. A limit that is not set
/// stays as it is.
struct NextStateLimits {
    std::optional<double> rps;                          ///< requests per second
    std::optional<double> write_rps;                    ///< written keys per second
    std::optional<double> value_kb;                     ///< size of a value, kilobytes
    std::optional<std::size_t> transaction_operations;  ///< writes in one transaction
};

/// Defaults of Settings, for files without these fields and for tests.
namespace default_settings {

inline constexpr double kGangWaitS = 40;      ///< Settings::gang_wait_s
inline constexpr double kCancelS = 40;        ///< Settings::cancel_s
inline constexpr double kStateWriteRps = 30;  ///< Settings::state_write_rps
inline constexpr double kStateValueKb = 8;    ///< Settings::state_value_kb
/// Settings::state_transaction_operations
inline constexpr std::size_t kStateTransactionOperations = 8;
inline constexpr double kMemMb = 64;  ///< Settings::mem_mb

}  // namespace default_settings

/// The validated contents of the platform's settings file. All controllers have the same settings
/// except for their own name, location, addresses and peers.
struct Settings {
    std::string member;                 ///< name of this controller
    std::string location;               ///< where it runs; not used
    std::string listen;                 ///< host:port for users, workers and health checks
    std::string peer_bind;              ///< host:port for the other controllers
    std::vector<Peer> peers;            ///< the other controllers
    std::string cloud;                  ///< host:port of the cloud
    std::string state;                  ///< host:port of the state service
    std::size_t size = 1;               ///< number of controllers, this one included
    std::vector<std::string> zones;     ///< names of the zones that machines are in
    double skew_ms = 0;                 ///< bound on the error of the wall clock, milliseconds
    std::vector<core::Team> teams;      ///< teams with their guarantees and limits
    std::vector<Objective> objectives;  ///< service-level objectives

    double report_s = 2;  ///< interval between two heartbeats of a worker, seconds
    double lease_s = 10;  ///< how long tasks run after their worker last got an answer, seconds
    /// How long a task waits for its gang to be complete before it exits, seconds.
    double gang_wait_s = default_settings::kGangWaitS;
    double gang_peer_s = 4;  ///< time within which a gang notices a lost task, seconds
    /// Time after a job's cancellation from which none of its tasks runs, seconds.
    double cancel_s = default_settings::kCancelS;

    // The state service's limits, for all controllers together.
    double state_rps = 100;                                     ///< requests per second
    double state_write_rps = default_settings::kStateWriteRps;  ///< written keys per second
    double state_value_kb = default_settings::kStateValueKb;    ///< size of a value, kilobytes
    /// Keys that one transaction may write.
    std::size_t state_transaction_operations = default_settings::kStateTransactionOperations;
    NextStateLimits state_next;  ///< announced future limits

    double cloud_rps = 4;         ///< the cloud's limit: requests per second
    double cloud_list_lag_s = 3;  ///< usual age of the cloud's list of machines, seconds

    double core_share = 1;  ///< fraction of one CPU core that this process may use
    double mem_mb = default_settings::kMemMb;  ///< memory that this process may use, megabytes
    std::size_t max_connections = 1000;        ///< sockets that this process may use

    /// Guards of the safety argument, which tests switch off one at a time; not in the file.
    core::SafetyGuards guards;
    /// From the operators' features file.
    Features features;
    /// Validated text of the operators' policy; empty: the built-in policy applies.
    std::string policy;
};

}  // namespace lichendrift::control
