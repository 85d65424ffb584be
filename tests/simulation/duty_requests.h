#pragma once

/// @file
/// Predicates for controller requests that belong to fenced duties.

#include "net/runtime.h"

namespace lichendrift::simulation {

/// A request to the cloud to release machines.
inline bool is_release(const net::HttpRequest& request) {
    return request.target == "/rentals/return";
}

/// A request to the cloud to provision machines.
inline bool is_provision(const net::HttpRequest& request) {
    return request.target == "/rentals" && request.method == "POST";
}

/// A transaction that writes an intent.
inline bool writes_intent(const net::HttpRequest& request) {
    return request.target == "/txn" && request.body.find("\"set\":\"intent/") != std::string::npos;
}

}  // namespace lichendrift::simulation
