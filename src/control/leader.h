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

/// What a leader uses. All of it belongs to the controller and outlives the leader.
struct LeaderDependencies {
    net::Runtime& runtime;      ///< time, timers and requests
    PlanExecutor& planner;      ///< makes plans
    const Settings& settings;   ///< the platform's settings
    store::StoreClient& store;  ///< the state service
    cloud::CloudClient& cloud;  ///< the cloud
    JobWatcher& job_watcher;    ///< this controller's copy of the open jobs
    LeaderHost& host;           ///< the controller
};

/// Why a heartbeat gets no commands. The worker's lease is not renewed then.
enum class HeartbeatRefusal : std::uint8_t {
    HigherTokenSeen,        ///< the worker has seen a later leader; this one has stepped down
    RenewalsSuspended,      ///< cancellations may be unknown here, so no lease is renewed
    TerminalStatesUnknown,  ///< failover is too early to say which of its tasks may go on
};

/// One term of leadership. Made when the election is won and dropped when the term is over; joins
/// the parts that read the state of earlier terms, write records, send commands, provision
/// machines and plan. Used on the loop's thread only.
class Leader {
  public:
    /// `token`: the term's first fencing token. `leader_revision`: revision of the leader record.
    Leader(const LeaderDependencies& dependencies, std::uint64_t token,
           std::uint64_t leader_revision);

    /// Begins the term. `known_types`: the machine types that the controller knows already.
    void start(const std::vector<core::MachineType>& known_types);

    /// Ends the term: nothing is written or sent afterwards by what is still in flight. May be
    /// called from inside a callback of the leader, which has to live on until that returns.
    void stop();

    /// Takes a worker's report in and returns the answer to its heartbeat.
    tl::expected<wire::HeartbeatAnswer, HeartbeatRefusal> on_heartbeat(const core::Report& report);

    /// The term's first fencing token.
    [[nodiscard]] std::uint64_t token() const { return term_.token; }

    /// Whether the state of earlier terms is read, so that this leader acts.
    [[nodiscard]] bool ready() const { return ready_; }

    /// Whether the machine belongs to the cluster.
    [[nodiscard]] bool knows_machine(const std::string& name);

  private:
    void follow_jobs();
    void on_job_opened(const core::JobDescription& job, std::uint64_t revision);
    void on_job_over(const std::string& job_id, TerminalState state);
    void on_state_read();
    void tick();
    void on_time_passed();
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
