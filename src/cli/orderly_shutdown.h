#pragma once

// What SIGTERM and SIGINT do while duties are fenced.

#include "control/controller.h"
#include "net/event_loop.h"

namespace lichendrift::cli {

/// On SIGTERM or SIGINT has the controller hand over what it holds, so that its successors need not
/// wait for its leases to expire; then stops the loop. One at a time in a process; constructed and
/// destroyed on the loop thread.
class OrderlyShutdown {
  public:
    /// Installs the signal handlers. `loop` and `controller` must outlive it. If the system has no
    /// descriptors left, the signals keep ending the process at once.
    OrderlyShutdown(net::EventLoop& loop, control::Controller& controller);

  private:
    void on_signal();

    net::EventLoop& loop_;
    control::Controller& controller_;
    net::Fd signal_event_;
};

}  // namespace lichendrift::cli
