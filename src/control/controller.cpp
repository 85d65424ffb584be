// One controller: requests of users and health checks, logging.
#include "control/controller.h"

#include <fmt/format.h>

#include <algorithm>

#include "control/limits.h"
#include "events/format.h"

namespace lichendrift::control {

namespace {

constexpr int kMaxForwardedRequests = 100;
constexpr Millis kPassDeadline = 1800;
constexpr Millis kAloneFor = 2500;
std::size_t bytes_of(double kilobytes) { return static_cast<std::size_t>(kilobytes * 1024); }
// Smaller rates and transactions are always allowed, so those to come are kept from the start.
store::StoreSettings store_settings(const Settings& s) {
    const auto next = s.guards.current_version ? s.state_next : NextStateLimits{};
    return {s.state,
            std::min(s.state_rps, next.rps.value_or(s.state_rps)),
            std::min(s.state_write_rps, next.write_rps.value_or(s.state_write_rps)),
            std::min(s.state_transaction_operations,
                     next.transaction_operations.value_or(s.state_transaction_operations)),
            bytes_of(s.state_value_kb),
            bytes_of(next.value_kb.value_or(s.state_value_kb))};
}

}  // namespace

Controller::Controller(net::Runtime& runtime, PlanExecutor& planner, Settings settings)
    : runtime_(runtime),
      planner_(planner),
      settings_(std::move(settings)),
      store_(runtime, store_settings(settings_)),
      cloud_(runtime, settings_.cloud, settings_.cloud_rps),
      job_watcher_(runtime, store_),
      users_(runtime, settings_, store_, job_watcher_),
      cleaner_(
          {runtime, settings_, store_, cloud_, job_watcher_, static_cast<CleanerHost&>(*this)}) {
    store_.set_share(follower_share(settings_));
    outboxes_.resize(settings_.peers.size());
    peer_is_current_.resize(settings_.peers.size());
    peer_fences_.resize(settings_.peers.size());
    job_watcher_.set_cancellation_listener(
        [this](const wire::Cancellation& cancellation) { announce_cancelled(cancellation); });
}

Controller::~Controller() {
    if (leader_) leader_->stop();
}

void Controller::start() {
    log(events::ControllerStarted{});
    if (settings_.lease_s * 1000 + kCancellationMargin + kMinRenewalTime >=
        settings_.cancel_s * 1000) {
        log(events::LeaseMarginTooSmall{settings_.lease_s, settings_.cancel_s});
    }
    job_watcher_.start();
    look();
    fetch_types();
    if (settings_.guards.current_version) ask_versions();
    if (has_features()) ask_features();
    cleaner_.start();
}

void Controller::hand_over() {
    ending_ = true;
    ++election_;
    cleaner_.stop();
    step_down(events::StepDownReason::Shutdown);
}

std::string Controller::prefix() const {
    return fmt::format("member={} role={} token={}", settings_.member,
                       leader_ ? (leader_->ready() ? "leader" : "taking-over") : "follower",
                       leader_ ? leader_->token() : known_.token);
}

void Controller::log(const events::Event& event) {
    if (!events::is_logged(event)) return;
    runtime_.log_context(prefix());
    events::log(event);
}

bool Controller::can_wait(const net::HttpRequest& request) {
    return request.target.starts_with("/v2/") || request.target == "/peer/user";
}

void Controller::handle(const net::HttpRequest& request, net::Respond respond) {
    const std::string_view target =
        std::string_view(request.target).substr(0, request.target.find('?'));
    if (target == "/healthz") {
        if (request.method != "GET") return respond({405, wire::error_body("use GET")});
        // A node that can pass requests on serves users as well as any other: being taken out of
        // turn would cost them more. One that reaches neither state service nor leader must go,
        // or users would be refused here for as long as the cut lasts.
        if (!job_watcher_.ever_loaded() && !leader_is_good()) {
            return respond({503, wire::error_body("not ready")});
        }
        const bool leader_silent = known_.last_announcement_at > 0 &&
                                   runtime_.now() - known_.last_announcement_at > kLeaderFresh;
        if (!leader_ && store_.failing_for() > kAloneFor && leader_silent) {
            return respond({503, wire::error_body("cut off")});
        }
        return respond({200, "{}"});
    }
    if (target == "/agent/beat") {
        if (request.method != "POST") return respond({405, wire::error_body("use POST")});
        return on_heartbeat(request.body, std::move(respond));
    }
    if (!store_.responsive() && leader_is_good()) return pass_on(request, std::move(respond));
    users_.handle(request, std::move(respond));
}

void Controller::pass_on(const net::HttpRequest& request, net::Respond respond) {
    const auto* leader = peer(known_.member);
    if (leader == nullptr || passing_ >= kMaxForwardedRequests) {
        return respond({503, wire::error_body("the state service does not answer"), 1});
    }
    ++passing_;
    runtime_.call(
        leader->address,
        {"POST", "/peer/user",
         wire::encode_forwarded_request({request.method, request.target, request.body})},
        kPassDeadline, [this, respond = std::move(respond)](const net::HttpReply& reply) {
            --passing_;
            auto answer =
                reply.status == 200 ? wire::decode_forwarded_answer(reply.body) : std::nullopt;
            if (!answer) {
                return respond({503, wire::error_body("the state service does not answer"), 1});
            }
            respond({answer->status, answer->body, answer->retry_after_s});
        });
}

bool Controller::leader_is_good() const {
    return !leader_ && known_.store_good &&
           runtime_.now() - known_.last_announcement_at < kLeaderFresh;
}

const Peer* Controller::peer(const std::string& member) const {
    for (const auto& s : settings_.peers) {
        if (s.member == member) return &s;
    }
    return nullptr;
}

void Controller::on_job_counts(std::vector<wire::JobCounts> counts, bool all) {
    users_.set_counts(counts, all);
    announce(counts, all);
}

void Controller::on_machine_types(const std::vector<core::MachineType>& types) {
    users_.set_types(types);
}

void Controller::fetch_types() {
    if (asking_types_) return;
    asking_types_ = true;
    cloud_.types([this](cloud::Result answer, std::vector<core::MachineType> types) {
        asking_types_ = false;
        if (answer == cloud::Result::Ok && !types.empty()) {
            users_.set_types(std::move(types));
            return;
        }
        runtime_.after(1000 + static_cast<Millis>(runtime_.random() % 1000), [this] {
            if (!users_.types_known()) fetch_types();
        });
    });
}

}  // namespace lichendrift::control
