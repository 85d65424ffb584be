// This node's copy of the open jobs, kept up to date from the state service.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

#include "control/cancellation_log.h"
#include "control/terminal_state.h"
#include "control/terminal_state_cache.h"
#include "net/runtime.h"
#include "store/store_client.h"
#include "wire/peer_messages.h"

namespace lichendrift::control {

using core::Millis;

/// Why the terminal state of a job could not be read.
enum class LookupError : std::uint8_t {
    NotFound,     ///< the state service has none: the job is open, or never existed
    Unavailable,  ///< no usable answer
};

/// The open jobs and the terminal states that this node knows, without asking anyone.
///
/// Freshness: the copy may be old at any time. The state service is linearizable and answers a
/// read with all changes up to the revision that it gives, so a read that is sent after a moment
/// contains everything applied before it. refresh() sends such a read and calls back after its
/// answer is applied. So no user gets an answer that is older than one given before by any node.
/// A job leaves "open/" and gets its "over/" key in one transaction; a job that was once accepted
/// and is not in a fresh copy therefore has a terminal state.
///
/// All methods are called, and call back, on the event loop's thread.
class JobWatcher {
  public:
    /// An open job as stored.
    struct OpenJob {
        core::JobDescription text;   ///< its description
        std::uint64_t revision = 0;  ///< of its key, the condition of later transactions
    };
    /// Gets every change while a leader is active. Called while the copy is being updated.
    struct Listener {
        /// A job is open; may repeat a job that is known. Arguments: description, revision.
        std::function<void(const core::JobDescription&, std::uint64_t)> on_open;
        /// A job has ended; may repeat. If only its absence is known, Aborted is given: its tasks
        /// have to end either way.
        std::function<void(const std::string& job_id, TerminalState)> on_terminal;
    };
    /// Gets true once a fresh copy is applied, false if none can be had soon.
    using OnRefreshed = std::function<void(bool fresh)>;
    /// Gets a terminal state that was read from the state service.
    using OnTerminalState = std::function<void(const tl::expected<TerminalState, LookupError>&)>;
    /// Gets a cancellation that this node has stored.
    using OnCancellation = std::function<void(const wire::Cancellation&)>;

    /// Both references have to outlive the watcher.
    JobWatcher(net::Runtime& runtime, store::StoreClient& store);
    /// Reads all open jobs and keeps the copy within what the state service remembers of changes.
    void start();

    /// Calls back once everything that the state service had applied when this was called is in
    /// the copy. Calls in quick succession share one read. Never calls back from inside, unless
    /// the copy is not loaded.
    void refresh(OnRefreshed done);
    /// Whether the copy is complete as of some revision.
    [[nodiscard]] bool loaded() const { return loaded_; }
    /// Whether it has been complete since the start of the process.
    [[nodiscard]] bool ever_loaded() const { return ever_loaded_; }
    /// The open job of this id, or nullptr. Valid until the next callback.
    [[nodiscard]] const OpenJob* find_open(const std::string& job_id) const;
    /// The terminal state of a job, if this node has it cached.
    [[nodiscard]] std::optional<TerminalState> terminal_state(const std::string& job_id) const {
        return terminal_states_.find(job_id);
    }
    /// The open jobs by id.
    [[nodiscard]] const std::map<std::string, OpenJob>& open_jobs() const { return open_; }
    /// The revision that the copy has reached.
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    /// When the newest read was sent that is applied to the copy (steady clock); 0: none yet.
    [[nodiscard]] Millis read_at() const { return read_at_; }

    /// This node has stored a new job at `revision`.
    void on_open_written(const core::JobDescription& text, std::uint64_t revision);
    /// This node has stored a terminal state at `revision`.
    void on_terminal_state_written(const std::string& job_id, TerminalState state,
                                   std::uint64_t revision);
    /// A peer has announced a cancellation.
    void on_peer_cancellation(const wire::Cancellation& cancellation);
    /// Sets who gets the cancellations that this node stores, to announce them to its peers.
    void set_cancellation_listener(OnCancellation on_cancellation) {
        on_cancellation_ = std::move(on_cancellation);
    }
    /// The cancellations that this node knows, for peers that cannot read the state service.
    [[nodiscard]] const CancellationLog& cancellations() const { return cancellations_; }

    /// Reads the terminal state of a job that is not open from the state service.
    void read_terminal_state(const std::string& job_id, OnTerminalState done);

    /// Watches for changes at once instead of on request, and reports them to the listener.
    void start_watching(Listener listener);
    /// Ends start_watching(); the listener is not called any more.
    void stop_watching();

  private:
    /// Open jobs read page by page.
    struct PartialLoad {
        std::map<std::string, OpenJob> jobs;
        std::uint64_t revision = 0;  // of the first page; 0: none yet
    };
    void load();
    void load_page(const std::string& after_key, PartialLoad so_far);
    void on_load_page(const wire::ItemPage& page, PartialLoad so_far);
    void on_loaded(PartialLoad complete);
    void reload();

    void keep_within_history();
    void serve_waiting();
    void send_refresh();

    void watch_next();
    void apply(const wire::ItemPage& page, Millis sent_at);
    void apply_open(const wire::Item& item);
    void apply_terminal_state(const wire::Item& item);
    void end_job(const std::string& job_id, TerminalState state);
    bool record_terminal_state(const std::string& job_id, TerminalState state,
                               std::uint64_t revision);

    net::Runtime& runtime_;
    store::StoreClient& store_;

    bool loaded_ = false;
    bool ever_loaded_ = false;
    bool loading_ = false;
    Millis load_sent_at_ = 0;
    std::uint64_t revision_ = 0;
    Millis read_at_ = 0;
    std::map<std::string, OpenJob> open_;
    TerminalStateCache terminal_states_;
    CancellationLog cancellations_;
    OnCancellation on_cancellation_;

    std::vector<OnRefreshed> waiting_;
    bool refresh_in_flight_ = false;
    bool refresh_scheduled_ = false;
    Millis refresh_sent_at_;

    std::optional<Listener> listener_;
    std::uint64_t watch_number_ = 0;  // tells callbacks of an earlier start_watching() apart

    std::unordered_map<std::string, std::vector<OnTerminalState>> lookups_;  // in flight, by job
};

}  // namespace lichendrift::control
