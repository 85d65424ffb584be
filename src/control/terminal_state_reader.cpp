// Reads of the terminal states of single jobs from the state service.
#include "control/terminal_state_reader.h"

#include <optional>
#include <utility>

#include "core/state_keys.h"
#include "events/format.h"
#include "wire/stored_values.h"

namespace lichendrift::control {

TerminalStateReader::TerminalStateReader(net::Runtime& runtime, store::StoreClient& store,
                                         OnFound on_found)
    : runtime_(runtime), store_(store), on_found_(std::move(on_found)) {}

void TerminalStateReader::read(const std::string& job_id, const CopyVersion& copy, OnResult done) {
    auto& read = reads_[job_id];
    // A load brings no terminal states. Those stored between an earlier read and the load are
    // unknown here, so the earlier read says nothing about the time of this call.
    if (!read || read->loads != copy.loads) read = send(job_id, copy);
    read->callbacks.push_back(std::move(done));
    read->last_request_at = runtime_.now();
    read->copy_read_at = copy.read_at;
}

std::shared_ptr<TerminalStateReader::Read> TerminalStateReader::send(const std::string& job_id,
                                                                     const CopyVersion& copy) {
    auto read = std::make_shared<Read>();
    read->sent_at = runtime_.now();
    read->loads = copy.loads;
    store_.get(store::RequestPriority::Read, core::keys::terminal_state(job_id),
               [this, job_id, read](store::Outcome outcome, const wire::Item& item) {
                   const auto newest = reads_.find(job_id);
                   if (newest != reads_.end() && newest->second == read) reads_.erase(newest);
                   on_reply(job_id, *read, outcome, item);
               });
    return read;
}

void TerminalStateReader::on_reply(const std::string& job_id, Read& read, store::Outcome outcome,
                                   const wire::Item& item) {
    tl::expected<TerminalState, LookupError> result = tl::unexpected(
        outcome == store::Outcome::Missing ? LookupError::NotFound : LookupError::Unavailable);
    const auto stored = outcome == store::Outcome::Ok
                            ? wire::parse_terminal_state_value(job_id, item.value)
                            : std::nullopt;
    if (stored) {
        result = stored->aborted ? TerminalState::Aborted : TerminalState::Done;
        on_found_(job_id, *result, item.revision);
    }
    if (outcome == store::Outcome::Missing && !read.callbacks.empty()) log_not_found(job_id, read);
    for (const auto& callback : std::exchange(read.callbacks, {})) callback(result);
}

// Deferred, because the caller may be in the middle of an update, and a cancellation is announced
// to the peers before users are told of it.
void TerminalStateReader::end(const std::string& job_id, TerminalState state) {
    const auto ended = reads_.extract(job_id);
    if (!ended) return;
    runtime_.after(0, [state, callbacks = std::exchange(ended.mapped()->callbacks, {})] {
        for (const auto& callback : callbacks) callback(state);
    });
}

void TerminalStateReader::log_not_found(const std::string& job_id, const Read& read) const {
    const auto now = runtime_.now();
    events::TerminalStateNotFound event;
    event.job = job_id;
    event.requests = read.callbacks.size();
    event.read_age_ms = now - read.sent_at;
    event.last_request_age_ms = now - read.last_request_at;
    event.copy_age_ms = now - read.copy_read_at;
    events::log(event);
}

}  // namespace lichendrift::control
