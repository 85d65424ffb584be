#pragma once

#include <memory>

#include "control/cleaner.h"
#include "control/leader.h"
#include "control/user_api.h"
#include "net/malformed_message_counter.h"

namespace lichendrift::control {

// One controller node: election, the users' interface, beats and the link to its peers.
// Everything it does to the world goes through the runtime.
class Controller : private LeaderHost, private CleanerHost {
  public:
    Controller(net::Runtime& runtime, PlanExecutor& planner, Settings settings);
    ~Controller() override;

    void start();
    // Gives up all that it holds, so that others need not wait for its leases to end.
    void hand_over();
    // Requests of users, workers and health checks.
    void handle(const net::HttpRequest& request, net::Respond respond);
    // Requests of the other controllers.
    void handle_peer(const net::HttpRequest& request, net::Respond respond);
    // Users' requests, here or passed on, wait for reports, health checks and peers.
    static bool can_wait(const net::HttpRequest& request);

    [[nodiscard]] bool leading() const override { return leader_ != nullptr; }
    [[nodiscard]] bool knows_machine(const std::string& name) const {
        return leader_ && leader_->knows_machine(name);
    }
    [[nodiscard]] bool cleans_up() const { return cleaner_.holds_duty(); }
    [[nodiscard]] std::uint64_t suspicious_records() const { return cleaner_.suspicious_records(); }
    [[nodiscard]] std::uint64_t token() const { return leader_ ? leader_->token() : 0; }

  private:
    struct Known {  // the leader as far as known
        std::string member;
        std::uint64_t token = 0;
        std::uint64_t revision = 0;
        bool store_good = false;  // by its own word
        Millis last_announcement_at = 0;
        Millis seen_at = 0;  // when the state service showed it
    };

    // Election.
    void look();
    void looked(store::Outcome outcome, const wire::Item& item);
    void watch_leader(std::uint64_t since);
    void campaign_soon(Millis minimum, std::uint64_t leader_revision);
    void campaign(std::uint64_t leader_revision);
    void stand(std::uint64_t lease, Millis sent, std::uint64_t leader_revision, std::uint64_t token,
               std::uint64_t token_revision);
    void won(std::uint64_t token, std::uint64_t revision, std::uint64_t lease, Millis sent);
    void renew();
    void extend(Millis sent);

    // LeaderHost.
    bool has_leader_lease() override;
    Millis leader_lease_valid_until() override { return valid_until_; }
    bool may_start_tasks() override;
    bool may_renew_leases() override;
    void step_down(events::StepDownReason reason, std::uint64_t seen_token = 0) override;
    void log(const events::Event& event) override;
    void on_machine_types(const std::vector<core::MachineType>& types) override;
    void on_job_counts(std::vector<wire::JobCounts> counts, bool all) override;

    void on_heartbeat(const std::string& body, net::Respond respond);
    [[nodiscard]] bool leader_is_good() const;
    [[nodiscard]] int max_forwards() const;
    void pass_on(const net::HttpRequest& request, net::Respond respond);
    // Here if this controller leads, or else by the leader. `may_retry`: once more if the leader
    // changes.
    void take_report(const core::Report& report, net::Respond respond, bool may_retry);
    void forward(const core::Report& report, net::Respond respond, bool may_retry);
    void unanswered(const net::Respond& respond) const;
    // For a worker that would try the silent leader next: the controller behind it.
    [[nodiscard]] const Peer* past_silent_leader() const;
    [[nodiscard]] bool leader_is_quiet() const;
    void send_report(const Peer& to, const char* target, const core::Report& report,
                     Millis deadline,
                     std::function<void(std::optional<wire::HeartbeatAnswer>)> done);
    void relay(const core::Report& report, net::Respond respond, std::size_t tries);
    void pass_relayed(const core::Report& report, const net::Respond& respond);
    // Messages of the other controllers.
    void on_peer_report(const std::string& body, const net::Respond& respond, bool relayed);
    void on_passed_request(const std::string& body, net::Respond respond);
    void on_cancellations(const std::string& body, const net::Respond& respond);
    void on_cancellation_query(const std::string& body, const net::Respond& respond);
    void on_announcement(const std::string& body, const net::Respond& respond);
    void on_version(const std::string& body, const net::Respond& respond);
    void refuse_malformed(const net::Respond& respond);
    void fetch_types();
    void ask_versions();
    [[nodiscard]] bool peers_are_current() const override;
    void ask_features();
    [[nodiscard]] bool peers_fence_duties() const override;
    void on_features(const std::string& body, const net::Respond& respond);
    [[nodiscard]] bool has_features() const { return settings_.features.fenced_duties; }
    void announce(const std::vector<wire::JobCounts>& counts, bool all);
    // Cancellations that the state service does not tell this node of.
    void announce_cancelled(const wire::Cancellation& cancellation);
    void send_cancelled(std::size_t peer);
    // Up to when this node surely knows every cancellation that any node has told.
    [[nodiscard]] Millis cancellations_known_at() const {
        return std::max(job_watcher_.read_at(), peers_know_at_);
    }
    void watch_over_cancellations();
    void ask_for_cancellations();
    void on_cancellation_news(const wire::CancellationNews& news);
    [[nodiscard]] const Peer* peer(const std::string& member) const;
    [[nodiscard]] std::string prefix() const;

    net::Runtime& runtime_;
    PlanExecutor& planner_;
    Settings settings_;
    store::StoreClient store_;
    cloud::CloudClient cloud_;
    JobWatcher job_watcher_;
    UserApi users_;
    Cleaner cleaner_;
    bool ending_ = false;  // has handed over and takes nothing up again
    std::shared_ptr<Leader> leader_;
    std::uint64_t lease_ = 0;
    Millis valid_until_ = 0;
    bool campaigning_ = false;
    bool renewing_ = false;
    std::uint64_t election_ = 0;  // number of the current wait; older timers and watches end
    Known known_;
    std::uint64_t highest_token_ = 0;
    Millis announced_at_ = 0;
    int forwarding_ = 0;
    Millis forward_tried_ = -100000;
    Millis relay_failed_at_ = -100000;
    std::size_t relay_at_ = 0;  // the peer that worked last
    int passing_ = 0;
    struct Outbox {  // of cancellations, for one peer
        std::vector<wire::Cancellation> waiting;
        int under_way = 0;
    };
    std::vector<Outbox> outboxes_;
    std::vector<bool> peer_is_current_;  // told its version, and it is not older than this one
    std::vector<bool> peer_fences_;      // told that it has fenced duties switched on
    Millis peers_know_at_ = 0;           // up to when all peers together vouch for cancellations
    bool renewals_held_ = false;
    net::MalformedMessageCounter malformed_workers_{"a worker"};
    net::MalformedMessageCounter malformed_peers_{"a peer"};
    bool asking_types_ = false;
};

}  // namespace lichendrift::control
