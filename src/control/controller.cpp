// Connects the components of a controller and dispatches requests to them.
#include "control/controller.h"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <utility>

#include "control/limits.h"
#include "events/format.h"
#include "net/http_status.h"
#include "wire/user_messages.h"

namespace lichendrift::control {

namespace {

namespace http_status = net::http_status;

constexpr const char* kHealthPath = "/healthz";
constexpr const char* kHeartbeatPath = "/agent/beat";
constexpr const char* kUserPathPrefix = "/v2/";

constexpr double kBytesPerKilobyte = 1024;
constexpr double kMsPerSecond = 1000;
// Fractions of the cloud's rate limit that a controller uses as the leader and as a follower.
constexpr double kLeaderCloudShare = 0.8;
constexpr double kFollowerCloudShare = 0.1;
// A follower reports itself as unhealthy once the state service has failed for longer than this and
// the leader's announcements have ceased.
constexpr Millis kMaxIsolationMs = 2500;
constexpr Millis kMachineTypesRetryMs = 1000;
constexpr std::uint64_t kMachineTypesRetryJitterMs = 1000;

std::size_t kilobytes_to_bytes(double kilobytes) {
    return static_cast<std::size_t>(kilobytes * kBytesPerKilobyte);
}

// Announced future limits on rates and transactions apply from the start where they are lower than
// the current ones: staying below a limit is always allowed.
store::StoreSettings store_settings(const Settings& settings) {
    const auto next = settings.guards.current_version ? settings.state_next : NextStateLimits{};
    store::StoreSettings result;
    result.address = settings.state;
    result.max_requests_per_s = std::min(settings.state_rps, next.rps.value_or(settings.state_rps));
    result.max_writes_per_s =
        std::min(settings.state_write_rps, next.write_rps.value_or(settings.state_write_rps));
    result.max_transaction_operations =
        std::min(settings.state_transaction_operations,
                 next.transaction_operations.value_or(settings.state_transaction_operations));
    result.max_value_bytes = kilobytes_to_bytes(settings.state_value_kb);
    result.next_max_value_bytes =
        kilobytes_to_bytes(next.value_kb.value_or(settings.state_value_kb));
    return result;
}

net::HttpResponse error(int status, const char* reason) {
    return {status, wire::error_body(reason)};
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
      peers_(runtime, settings_),
      capabilities_(runtime, settings_, peers_, event_log()),
      cancellations_(runtime, settings_, job_watcher_, peers_, event_log()),
      election_(runtime, settings_, store_, static_cast<ElectionListener&>(*this), event_log()),
      announcements_(store_, peers_, election_, users_,
                     [this](std::uint64_t token) {
                         step_down(events::StepDownReason::HigherTokenAnnounced, token);
                     }),
      heartbeats_(HeartbeatRouter::Dependencies{runtime, settings_, store_, peers_, election_,
                                                [this] { return leader_.get(); }}),
      user_requests_(store_, peers_, election_, users_),
      cleaner_(
          {runtime, settings_, store_, cloud_, job_watcher_, static_cast<CleanerHost&>(*this)}) {
    store_.set_share(follower_share(settings_));
}

Controller::~Controller() {
    if (leader_) leader_->stop();
}

void Controller::start() {
    log(events::ControllerStarted{});
    if (settings_.lease_s * kMsPerSecond + kCancellationMarginMs + kMinRenewalWindowMs >=
        settings_.cancel_s * kMsPerSecond) {
        log(events::LeaseMarginTooSmall{settings_.lease_s, settings_.cancel_s});
    }
    job_watcher_.start();
    election_.follow();
    fetch_machine_types();
    capabilities_.start();
    cleaner_.start();
}

void Controller::hand_over() {
    election_.stop();
    cleaner_.stop();
    step_down(events::StepDownReason::Shutdown);
}

// ---- requests ----

bool Controller::can_wait(const net::HttpRequest& request) {
    return request.target.starts_with(kUserPathPrefix) || request.target == peer_path::kUserRequest;
}

void Controller::handle(const net::HttpRequest& request, net::Respond respond) {
    const std::string_view path =
        std::string_view(request.target).substr(0, request.target.find('?'));
    if (path == kHealthPath) {
        if (request.method != "GET") {
            return respond(error(http_status::kMethodNotAllowed, "use GET"));
        }
        return respond(check_health());
    }
    if (path == kHeartbeatPath) {
        if (request.method != "POST") {
            return respond(error(http_status::kMethodNotAllowed, "use POST"));
        }
        return heartbeats_.on_worker_heartbeat(request.body, std::move(respond));
    }
    if (user_requests_.should_forward()) {
        return user_requests_.forward(request, std::move(respond));
    }
    users_.handle(request, std::move(respond));
}

void Controller::handle_peer(const net::HttpRequest& request, net::Respond respond) {
    if (request.method != "POST") return respond(peer_response(http_status::kMethodNotAllowed));
    const auto& path = request.target;
    const auto& body = request.body;
    if (path == peer_path::kHeartbeat) return heartbeats_.on_forwarded_heartbeat(body, respond);
    if (path == peer_path::kRelay) return heartbeats_.on_relay_request(body, respond);
    if (path == peer_path::kUserRequest) {
        return user_requests_.on_forwarded_request(body, std::move(respond));
    }
    if (path == peer_path::kCancellationAnnouncement) {
        return cancellations_.on_announcement(body, respond);
    }
    if (path == peer_path::kCancellationQuery) return cancellations_.on_query(body, respond);
    if (path == peer_path::kLeaderAnnouncement) {
        return announcements_.on_announcement(body, respond);
    }
    if (path == peer_path::kVersionQuery && capabilities_.answers_version_queries()) {
        return capabilities_.on_version_query(body, respond);
    }
    if (path == peer_path::kFeaturesQuery && capabilities_.answers_feature_queries()) {
        return capabilities_.on_features_query(body, respond);
    }
    respond(peer_response(http_status::kNotFound));
}

// A controller that can forward requests serves users as well as any other, and taking it out of
// rotation would cost them more. One that reaches neither the state service nor the leader must be
// taken out: it would refuse users for as long as the partition lasts.
net::HttpResponse Controller::check_health() const {
    if (!job_watcher_.ever_loaded() && !election_.leader_reaches_store()) {
        return error(http_status::kUnavailable, "not ready");
    }
    if (!leader_ && store_.failing_for() > kMaxIsolationMs && election_.announcements_ceased()) {
        return error(http_status::kUnavailable, "cut off");
    }
    return {http_status::kOk, "{}"};
}

// ---- leadership ----

void Controller::on_elected(const ElectedTerm& term) {
    store_.set_share(kLeaderShare);
    cloud_.set_share(kLeaderCloudShare);
    leader_ =
        std::make_shared<Leader>(LeaderDependencies{runtime_, planner_, settings_, store_, cloud_,
                                                    job_watcher_, static_cast<LeaderHost&>(*this)},
                                 term.token, term.leader_revision);
    log(events::LeaderElected{});
    leader_->start(users_.types());
    announcements_.announce({}, false);
    election_.schedule_leader_lease_renewals();
    cancellations_.begin_term();
}

void Controller::on_leader_lease_expired() {
    step_down(events::StepDownReason::LeaderLeaseExpired);
}

void Controller::step_down(events::StepDownReason reason, std::uint64_t seen_token) {
    if (!leader_) return;
    log(events::LeaderSteppedDown{reason, seen_token});
    leader_->stop();
    // This may be called from a method of the leader, so the leader is destroyed in a later event.
    runtime_.after(0, [ended = std::move(leader_)] {});
    leader_.reset();
    cancellations_.end_term();
    election_.resign();
    store_.set_share(follower_share(settings_));
    cloud_.set_share(kFollowerCloudShare);
    election_.follow();
}

void Controller::on_job_counts(std::vector<wire::JobCounts> counts, bool all) {
    users_.update_task_counts(counts, all);
    announcements_.announce(counts, all);
}

void Controller::on_machine_types(const std::vector<core::MachineType>& types) {
    users_.set_types(types);
}

// Followers need the machine types too: every controller validates submissions against them, also
// before the leader has read them.
void Controller::fetch_machine_types() {
    cloud_.types([this](cloud::Result result, std::vector<core::MachineType> types) {
        if (result == cloud::Result::Ok && !types.empty()) {
            return users_.set_types(std::move(types));
        }
        const auto jitter = static_cast<Millis>(runtime_.random() % kMachineTypesRetryJitterMs);
        runtime_.after(kMachineTypesRetryMs + jitter, [this] {
            if (!users_.types_known()) fetch_machine_types();
        });
    });
}

// ---- logging ----

EventLog Controller::event_log() {
    return [this](const events::Event& event) { log(event); };
}

std::string Controller::log_context() const {
    if (!leader_) {
        return fmt::format("member={} role=follower token={}", settings_.member,
                           election_.observed().token);
    }
    return fmt::format("member={} role={} token={}", settings_.member,
                       leader_->ready() ? "leader" : "taking-over", leader_->token());
}

void Controller::log(const events::Event& event) {
    if (!events::is_logged(event)) return;
    runtime_.log_context(log_context());
    events::log(event);
}

}  // namespace lichendrift::control
