#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include "control/term.h"
#include "net/malformed_message_counter.h"

namespace lichendrift::control {

/// Sends commands directly to workers, beside those in the answers to heartbeats. The number of
/// calls in flight is bounded. Used once failover is complete.
class CommandDispatcher {
  public:
    /// `on_cluster_changed`: a worker's answer carried a report that is worth acting on.
    CommandDispatcher(Term& term, std::function<void()> on_cluster_changed)
        : term_(term), on_cluster_changed_(std::move(on_cluster_changed)) {}

    /// Calls the machines that have commands due.
    void dispatch();

    /// Calls machines whose reports still carry an older fencing token, so that commands of earlier
    /// leaders, late copies included, end there.
    void raise_tokens();

  private:
    void call(const std::string& machine);
    void on_answer(const core::Cluster::DirectCommand& commands, const net::HttpReply& reply);

    Term& term_;
    std::function<void()> on_cluster_changed_;
    net::MalformedMessageCounter malformed_{"a worker's direct answer"};
    std::size_t calls_in_flight_ = 0;
};

}  // namespace lichendrift::control
