#pragma once

#include <optional>
#include <string>
#include <vector>

#include "control/features.h"
#include "core/types.h"

namespace lichendrift::control {

struct Peer {
    std::string member;
    std::string location;
    std::string address;
};

struct Objective {
    std::string kind;
    std::string cls;
    double within_s = 0;
    double share = 0;
    double times = 0;
};

// Limits of the state service that come into force later, without notice. What is not set stays as
// it is.
struct NextStateLimits {
    std::optional<double> rps;
    std::optional<double> write_rps;
    std::optional<double> value_kb;
    std::optional<std::size_t> transaction_operations;
};

// The platform's settings file, checked.
struct Settings {
    std::string member;
    std::string location;
    std::string listen;
    std::string peer_bind;
    std::vector<Peer> peers;
    std::string cloud;
    std::string state;
    std::size_t size = 1;
    std::vector<std::string> zones;
    double skew_ms = 0;
    std::vector<core::Team> teams;
    std::vector<Objective> objectives;
    double report_s = 2;
    double lease_s = 10;
    double gang_wait_s = 40;
    double gang_peer_s = 4;
    double cancel_s = 40;
    double state_rps = 100;
    double state_write_rps = 30;
    double state_value_kb = 8;
    std::size_t state_transaction_operations = 8;
    NextStateLimits state_next;
    double cloud_rps = 4;
    double cloud_list_lag_s = 3;
    double core_share = 1;
    double mem_mb = 64;
    std::size_t max_connections = 1000;
    core::Guards guards;  // not in the file
    Features features;    // of the operators' features file
    std::string policy;   // the operators' policy, checked; empty: the built-in one
};

}  // namespace lichendrift::control
