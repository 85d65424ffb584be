#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "control/term.h"
#include "wire/state_messages.h"

namespace lichendrift::control {

/// Stores the image hints (which machines have which images) in the state service, so that the next
/// leader can place tasks on machines that already have their images. Losing hints only makes some
/// tasks start later.
class ImageHintStore {
  public:
    /// `term` must outlive this object.
    explicit ImageHintStore(Term& term) : term_(term) {}

    /// Reads the hints of earlier terms into the cluster state. A failed read is not retried.
    void read();

    /// Writes the next part of the hints if its check is due and it has changed. Does nothing
    /// unless the leader's lease is valid.
    void write_due();

  private:
    void on_hints_read(store::Outcome outcome, const wire::ItemPage& page);

    Term& term_;
    Millis part_checked_at_ = 0;                         // time of the last check of any part
    std::size_t part_ = 0;                               // index of the part that was checked last
    std::map<std::size_t, std::string> written_values_;  // last written value of each part
};

}  // namespace lichendrift::control
