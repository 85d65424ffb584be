#pragma once

#include <memory>
#include <mutex>
#include <set>
#include <unordered_map>

#include "cloud/cloud_client.h"
#include "control/job_watcher.h"
#include "control/leader_host.h"
#include "control/machine_duties.h"
#include "control/plan_executor.h"
#include "control/settings.h"
#include "core/cluster.h"
#include "events/event.h"
#include "net/malformed_message_counter.h"
#include "wire/peer_messages.h"

namespace lichendrift::control {

// One term of leadership: the cluster's picture, planning, records, commands, rentals. Made when
// the election is won and dropped when it is lost.
class Leader : public std::enable_shared_from_this<Leader>, private MachineDutiesListener {
  public:
    Leader(net::Runtime& runtime, PlanExecutor& planner, const Settings& settings,
           store::StoreClient& store, cloud::CloudClient& cloud, JobWatcher& job_watcher,
           LeaderHost& host, std::uint64_t token, std::uint64_t leader_revision);

    void start(const std::vector<core::MachineType>& known_types);
    void stop();
    // Empty: a higher token was seen and this leader must step down, or it must not renew leases.
    std::optional<wire::HeartbeatAnswer> on_heartbeat(const core::Report& report);
    [[nodiscard]] std::uint64_t token() const { return token_; }
    [[nodiscard]] bool ready() const { return ready_; }
    [[nodiscard]] bool knows_machine(const std::string& name);

  private:
    // The cluster is shared with the planner's thread; sections under the lock stay short and do
    // no logging and no socket calls.
    struct Shared {
        std::mutex mutex;
        core::Names types;
        core::Names zones;
        std::unique_ptr<core::Cluster> cluster;
    };
    template <typename F>
    auto with(F f) {
        std::scoped_lock lock(shared_->mutex);
        return f(*shared_->cluster);
    }

    void load_jobs();
    void load_places(const std::string& since);
    void load_over(std::size_t at);
    void loaded();
    void tick();
    void load_hints();
    void write_hints();
    void poll_types();
    void poll_list();
    void sync_machines();
    void write();
    [[nodiscard]] core::Cluster::RecordLimits record_limits() const;
    void write_placement_records();
    void write_finals();
    void write_orphans();
    void reread(const core::RecordWrite& write);
    void release_machines();
    void dispatch();
    void direct(const std::string& machine);
    void ask_plan();
    void planned(const core::Plan& plan);
    void request_provision(const core::Provision& provision);
    // MachineDutiesListener.
    void on_releases_inherited(const std::vector<std::string>& machines) override;
    void on_released(const std::vector<std::string>& machines) override;
    void on_provisioned(const duty::ProvisionRequest& order,
                        const std::vector<std::string>& machines, bool refused,
                        cloud::Result answer) override;
    void on_lease_lost() override;
    void changed();
    // Every write carries it, so that a late one of a leader that has lost fails.
    wire::Condition mine() const {
        if (!settings_.guards.leader_condition) return {"no-such-key", 0};
        return {"leader", leader_revision_};
    }
    bool lost(const store::TransactionResult& result);
    [[nodiscard]] std::optional<wire::HeartbeatAnswer> heartbeat_before_ready(
        const core::Report& report) const;
    [[nodiscard]] Millis age_of(const core::JobText& job) {
        return runtime_.wall_ms() - job.submitted_ms;
    }

    net::Runtime& runtime_;
    PlanExecutor& planner_;
    const Settings& settings_;
    store::StoreClient& store_;
    cloud::CloudClient& cloud_;
    JobWatcher& job_watcher_;
    LeaderHost& host_;
    std::uint64_t token_;
    std::uint64_t leader_revision_;
    std::shared_ptr<Shared> shared_ = std::make_shared<Shared>();
    bool stopped_ = false;
    bool jobs_read_ = false;  // what was open when this lead had begun
    bool ready_ = false;
    Millis ready_at_ = 0;
    Millis hints_at_ = 0;
    std::size_t hint_part_ = 0;
    std::map<std::size_t, std::string> hints_;  // as written last
    bool listed_ = false;
    bool types_known_ = false;
    bool planning_ = false;
    bool plan_wanted_ = false;
    bool plan_timer_ = false;
    Millis planned_at_ = -10000;
    Millis plan_took_ = 0;
    int counts_announced_ = 0;
    int record_writes_in_flight_ = 0;
    int final_writes_ = 0;
    bool orphan_write_ = false;
    bool listing_ = false;
    Millis listed_at_ = -100000;
    Millis types_at_ = -100000;
    bool asking_types_ = false;
    Millis counted_at_ = 0;
    Millis provision_pause_until_ = 0;
    Millis provisioned_at_ = -10000;  // the last rental's answer, or the first list
    std::uint64_t provisions_ = 0;
    net::MalformedMessageCounter malformed_{"a worker's direct answer"};
    std::size_t calls_open_ = 0;  // direct commands under way
    struct Place {
        std::string job;
        std::uint32_t record_number = 0;
        core::PlacementRecord record;
        std::uint64_t revision = 0;
    };
    std::shared_ptr<MachineDuties> duties_;
    bool records_read_ = false;  // of placements; what remains are intents
    std::vector<Place> places_;
    std::vector<std::string> closed_;  // jobs with records that are not open any more
};

}  // namespace lichendrift::control
