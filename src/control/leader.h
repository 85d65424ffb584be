#pragma once

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "control/command_dispatcher.h"
#include "control/failover_reader.h"
#include "control/fleet_sync.h"
#include "control/image_hint_store.h"
#include "control/job_count_publisher.h"
#include "control/plan_loop.h"
#include "control/record_writer.h"
#include "wire/peer_messages.h"

namespace lichendrift::control {

/// Services that a leader uses. The controller owns them all, and all outlive the leader.
struct LeaderDependencies {
    net::Runtime& runtime;      ///< clock, timers and outgoing requests
    PlanExecutor& planner;      ///< runs the planner
    const Settings& settings;   ///< from the settings file
    store::StoreClient& store;  ///< client of the state service
    cloud::CloudClient& cloud;  ///< client of the cloud's API
    JobWatcher& job_watcher;    ///< this controller's copy of the open jobs
    LeaderHost& host;           ///< the controller
};

/// Why a heartbeat is refused. A refusal carries no commands and does not renew the worker's lease.
enum class HeartbeatRefusal : std::uint8_t {
    LeaderSuperseded,   ///< the worker has seen a later leader, so this one has stepped down
    RenewalsSuspended,  ///< this controller may have missed cancellations, so it renews no lease
    TerminalStatesUnknown,  ///< early in a failover: a task's job may be open or may have ended
};

/// One term of leadership: created when this controller wins the election, dropped when the term
/// ends. Connects the parts that read the state of earlier terms, write records, send commands,
/// provision machines and plan. Used on the event loop's thread only.
class Leader {
  public:
    /// `token`: the term's first fencing token. `leader_revision`: revision of the leader record
    /// that began the term.
    Leader(const LeaderDependencies& dependencies, std::uint64_t token,
           std::uint64_t leader_revision);

    /// Begins the term. `known_types`: the machine types that the controller knows already; may be
    /// empty.
    void start(const std::vector<core::MachineType>& known_types);

    /// Ends the term: requests still in flight cause no further writes or requests. May be called
    /// from inside a callback of the leader; the leader has to exist until that callback returns.
    void stop();

    /// Applies a worker's report and returns the answer to its heartbeat.
    tl::expected<wire::HeartbeatAnswer, HeartbeatRefusal> on_heartbeat(const core::Report& report);

    /// The term's first fencing token.
    [[nodiscard]] std::uint64_t token() const { return term_.token; }

    /// Whether failover is complete: the state of earlier terms is read, and this leader plans and
    /// sends commands.
    [[nodiscard]] bool ready() const { return ready_; }

    /// Whether the machine belongs to the cluster.
    [[nodiscard]] bool knows_machine(const std::string& name);

  private:
    void watch_jobs();
    void on_job_opened(const core::JobDescription& job, std::uint64_t revision);
    void on_job_ended(const std::string& job_id, TerminalState state);
    void on_state_read();
    void tick();
    void tick_cluster();
    void on_cluster_changed();
    void on_plan_ready(const core::Plan& plan);
    void write_records();
    void dispatch_commands();
    void request_plan();
    [[nodiscard]] tl::expected<wire::HeartbeatAnswer, HeartbeatRefusal> heartbeat_before_ready(
        const core::Report& report) const;

    Term term_;
    JobWatcher& job_watcher_;
    FailoverReader failover_;
    RecordWriter records_;
    ImageHintStore image_hints_;
    CommandDispatcher dispatcher_;
    FleetSync fleet_;
    PlanLoop plans_;
    JobCountPublisher job_counts_;
    bool ready_ = false;
};

}  // namespace lichendrift::control
