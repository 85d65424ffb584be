// A local copy of the open jobs that follows the changes in the state service.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "control/cancellation_log.h"
#include "control/terminal_state.h"
#include "control/terminal_state_cache.h"
#include "control/terminal_state_reader.h"
#include "net/runtime.h"
#include "store/store_client.h"
#include "wire/peer_messages.h"

namespace lichendrift::control {

/// Keeps a local copy of the open jobs and a cache of terminal states, which are looked up without
/// a request to the state service.
///
/// Freshness: the copy may be out of date at any time. The state service is linearizable: a read
/// returns all changes up to its revision, so it contains every change that was applied before the
/// read was sent. refresh() sends a read and calls back once its answer is applied. An answer given
/// after a refresh is therefore never older than an earlier answer of any node.
///
/// One transaction removes a job's "open/" key and writes its "over/" key. An accepted job that is
/// missing from a fresh copy therefore has a terminal state.
///
/// Loop thread only; callbacks run on that thread too.
class JobWatcher {
  public:
    /// An open job as read from the state service.
    struct OpenJob {
        core::JobDescription description;  ///< the job as submitted
        /// Revision of its key; transactions that change the job are conditional on it.
        std::uint64_t revision = 0;
    };
    /// Callbacks for the changes of jobs while this node leads. They run during an update, so the
    /// copy may be incomplete.
    struct Listener {
        /// A job is open; may be called again for the same job. Arguments: description and revision
        /// of its key.
        std::function<void(const core::JobDescription&, std::uint64_t)> on_open;
        /// A job has ended; may be called again for the same job. Aborted also stands for a job
        /// that is missing from a full read, whose terminal state is unknown: its tasks have to be
        /// stopped in either case.
        std::function<void(const std::string& job_id, TerminalState)> on_terminal;
    };
    /// Gets true once the copy is fresh, or false if it cannot be refreshed now.
    using OnRefreshed = std::function<void(bool fresh)>;
    /// Gets the terminal state of a job, or the error.
    using OnTerminalState = TerminalStateReader::OnResult;
    /// Gets each cancellation that this node has stored.
    using OnCancellation = std::function<void(const wire::Cancellation&)>;

    /// Both references must outlive the watcher.
    JobWatcher(net::Runtime& runtime, store::StoreClient& store);
    /// Reads all open jobs, then refreshes the copy regularly, before the state service discards
    /// the changes since the copy's revision.
    void start();

    /// Calls back once the copy contains all changes that the state service had applied before
    /// this call. Calls in quick succession share one read. `done` is called from inside this call
    /// only if the copy is not loaded.
    void refresh(OnRefreshed done);
    /// Whether the copy contains all jobs that were open at revision().
    [[nodiscard]] bool loaded() const { return loaded_; }
    /// Whether the copy has been loaded at least once since the process started.
    [[nodiscard]] bool ever_loaded() const { return ever_loaded_; }
    /// The open job with this id, or nullptr. Valid until the next update of the copy.
    [[nodiscard]] const OpenJob* find_open(const std::string& job_id) const;
    /// The terminal state of a job, if it is cached.
    [[nodiscard]] std::optional<TerminalState> terminal_state(const std::string& job_id) const {
        return terminal_states_.find(job_id);
    }
    /// All open jobs, by id.
    [[nodiscard]] const std::map<std::string, OpenJob>& open_jobs() const { return open_; }
    /// The revision of the state service up to which changes are applied to the copy.
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    /// Send time (steady clock) of the newest read that is applied to the copy; 0: none yet. The
    /// copy contains all changes up to this time.
    [[nodiscard]] Millis read_at() const { return read_at_; }

    /// Adds a job that this node has stored at `revision`.
    void on_open_written(const core::JobDescription& description, std::uint64_t revision);
    /// Records a terminal state that this node has stored at `revision`.
    void on_terminal_state_written(const std::string& job_id, TerminalState state,
                                   std::uint64_t revision);
    /// Records a cancellation that a peer has announced.
    void on_peer_cancellation(const wire::Cancellation& cancellation);
    /// Sets the callback for cancellations that this node stores; it announces them to the peers.
    void set_cancellation_listener(OnCancellation on_cancellation) {
        on_cancellation_ = std::move(on_cancellation);
    }
    /// The newest known cancellations, for peers that cannot read the state service.
    [[nodiscard]] const CancellationLog& cancellations() const { return cancellations_; }

    /// Gets the terminal state of a job that is not open in a copy that was refreshed for this
    /// request. A cached state is passed to `done` inside this call; otherwise it is read from the
    /// state service. Concurrent reads for the same job share one request, and end as soon as the
    /// state becomes known in another way.
    void read_terminal_state(const std::string& job_id, OnTerminalState done);

    /// Follows changes continuously by long polling, in addition to refresh(), and reports them to
    /// the listener.
    void start_watching(Listener listener);
    /// Stops following changes; the listener is not called any more.
    void stop_watching();

  private:
    /// The open jobs read so far by a load, page by page.
    struct PartialLoad {
        std::map<std::string, OpenJob> jobs;
        std::uint64_t revision = 0;  // of the first page; 0: no page read yet
    };
    void load();
    void load_page(const std::string& after_key, PartialLoad so_far);
    void on_load_page(const wire::ItemPage& page, PartialLoad so_far);
    void on_loaded(PartialLoad complete);
    void reload();

    void refresh_when_idle();
    void process_waiting_refreshes();
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
    std::uint64_t loads_ = 0;  // completed since the process started
    Millis load_sent_at_ = 0;
    std::uint64_t revision_ = 0;
    Millis read_at_ = 0;
    std::map<std::string, OpenJob> open_;
    TerminalStateCache terminal_states_;
    CancellationLog cancellations_;
    OnCancellation on_cancellation_;

    std::vector<OnRefreshed> waiting_refreshes_;
    bool refresh_in_flight_ = false;
    bool refresh_scheduled_ = false;
    Millis refresh_sent_at_;

    std::optional<Listener> listener_;
    std::uint64_t watch_generation_ = 0;  // to ignore answers to earlier watches

    TerminalStateReader terminal_state_reader_;
};

}  // namespace lichendrift::control
