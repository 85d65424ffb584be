#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "control/term.h"
#include "wire/state_messages.h"

namespace lichendrift::control {

/// Keeps the image hints, which machine has which images, in the state service, so that the next
/// leader places tasks where their images are. They are hints only: losing some costs late starts.
class ImageHintStore {
  public:
    /// `term` outlives the store.
    explicit ImageHintStore(Term& term) : term_(term) {}

    /// Reads the hints of earlier terms into the cluster, as far as that succeeds at once.
    void read();

    /// Writes the next part of the hints if it is due and has changed; nothing without the
    /// leader's lease.
    void write_due();

  private:
    void on_hints_read(store::Outcome outcome, const wire::ItemPage& page);

    Term& term_;
    Millis part_checked_at_ = 0;
    std::size_t part_ = 0;                       // the one that was checked last
    std::map<std::size_t, std::string> values_;  // as written last, by part
};

}  // namespace lichendrift::control
