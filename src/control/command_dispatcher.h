#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include "control/term.h"
#include "net/malformed_message_counter.h"

namespace lichendrift::control {

/// Sends commands directly to workers, in addition to those in the answers to heartbeats. The
/// number of calls in flight is bounded. Used only after failover is complete.
class CommandDispatcher {
  public:
    /// `on_cluster_changed` is called when the report in a worker's answer changed the cluster
    /// state in a way that calls for a new plan.
    CommandDispatcher(Term& term, std::function<void()> on_cluster_changed)
        : term_(term), on_cluster_changed_(std::move(on_cluster_changed)) {}

    /// Sends the commands that are due, one call for each machine.
    void dispatch();

    /// Calls machines that are silent, unreachable, or whose newest report carries an older fencing
    /// token, to get a report. The call also raises the worker's token, so that it refuses the
    /// commands of earlier leaders, delayed copies included.
    void request_reports();

  private:
    void call(const std::string& machine);
    void on_answer(const core::Cluster::DirectCommand& commands, const net::HttpReply& reply);

    Term& term_;
    std::function<void()> on_cluster_changed_;
    net::MalformedMessageCounter malformed_answers_{"a worker's direct answer"};
    std::size_t calls_in_flight_ = 0;
};

}  // namespace lichendrift::control
