#pragma once

#include "control/term.h"

namespace lichendrift::control {

/// Publishes the counts of done and running tasks of each job. The controller announces them to its
/// peers, so that every controller can show them to users.
class JobCountPublisher {
  public:
    /// `term` must outlive the publisher.
    explicit JobCountPublisher(Term& term) : term_(term) {}

    /// Publishes the counts that have changed if the interval has passed since the last time. At
    /// regular intervals it publishes all counts instead.
    void publish_if_due();

  private:
    Term& term_;
    Millis published_at_ = 0;
    int publication_count_ = 0;
};

}  // namespace lichendrift::control
