#pragma once

#include "control/term.h"

namespace lichendrift::control {

/// Gives the controller the counts of done and running tasks to announce to its peers, which show
/// them to users.
class JobCountPublisher {
  public:
    /// `term` outlives the publisher.
    explicit JobCountPublisher(Term& term) : term_(term) {}

    /// Publishes what changed if the last time is long enough ago; all counts once in a while.
    void publish_due();

  private:
    Term& term_;
    Millis published_at_ = 0;
    int publications_ = 0;
};

}  // namespace lichendrift::control
