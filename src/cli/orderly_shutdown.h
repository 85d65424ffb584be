#pragma once

// Graceful shutdown on SIGTERM and SIGINT, used while duties are fenced.

#include "control/controller.h"
#include "net/event_loop.h"

namespace lichendrift::cli {

/// On SIGTERM or SIGINT makes the controller give up its leases, so that its successors need not
/// wait until they expire, then stops the loop. At most one instance may exist at a time in a
/// process. Constructed and destroyed on the loop thread.
class OrderlyShutdown {
  public:
    /// Installs the signal handlers. `loop` and `controller` must outlive the object. If no file
    /// descriptor is available, no handler is installed and the signals end the process at once.
    OrderlyShutdown(net::EventLoop& loop, control::Controller& controller);

  private:
    void on_signal();

    net::EventLoop& loop_;
    control::Controller& controller_;
    net::Fd signal_event_;
};

}  // namespace lichendrift::cli
