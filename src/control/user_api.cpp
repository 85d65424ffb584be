// The HTTP API for users: submission, status and cancellation of jobs.
#include "control/user_api.h"

#include <optional>

#include "core/state_keys.h"
#include "net/http_status.h"
#include "wire/stored_values.h"
#include "wire/user_messages.h"

namespace lichendrift::control {

namespace {

namespace http_status = net::http_status;

constexpr std::string_view kRunsPath = "/v2/runs";
constexpr std::string_view kCancelSuffix = "/cancel";
constexpr int kCancelRetries = 3;  // if the job's keys change between the read and the write

enum class Action : std::uint8_t { Submit, Poll, Cancel };

// The action and the job that a request target stands for.
struct Route {
    Action action = Action::Submit;
    std::string job_id;
};

std::optional<Route> parse_route(std::string_view target) {
    auto path = target.substr(0, target.find('?'));
    if (path == kRunsPath) return Route{};
    if (!path.starts_with(kRunsPath) || path[kRunsPath.size()] != '/') return std::nullopt;
    path.remove_prefix(kRunsPath.size() + 1);
    const bool cancels = path.ends_with(kCancelSuffix);
    if (cancels) path.remove_suffix(kCancelSuffix.size());
    if (path.empty() || path.find('/') != std::string_view::npos) return std::nullopt;
    return Route{cancels ? Action::Cancel : Action::Poll, std::string(path)};
}

}  // namespace

UserApi::UserApi(net::Runtime& runtime, const Settings& settings, store::StoreClient& store,
                 JobWatcher& job_watcher)
    : store_(store),
      job_watcher_(job_watcher),
      refusals_(runtime),
      lookup_(settings, job_watcher, refusals_),
      submissions_(runtime, settings, store, job_watcher, lookup_, refusals_) {}

void UserApi::handle(const net::HttpRequest& request, net::Respond respond) {
    const auto route = parse_route(request.target);
    if (!route) return respond_error(respond, http_status::kNotFound, "no such path");
    const std::string method = route->action == Action::Poll ? "GET" : "POST";
    if (request.method != method) {
        return respond_error(respond, http_status::kMethodNotAllowed, "use " + method);
    }
    if (route->action == Action::Submit) {
        return submissions_.submit(request.body, std::move(respond));
    }
    // An id in another format was never accepted, so no lookup is needed.
    if (!wire::valid_job_id(route->job_id)) return respond_no_such_job(respond);
    if (route->action == Action::Cancel) {
        return cancel(route->job_id, std::move(respond), kCancelRetries);
    }
    lookup_.answer(route->job_id, std::move(respond), respond_no_such_job);
}

// ---- cancellations ----

void UserApi::cancel(const std::string& job_id, net::Respond respond, int retries) {
    if (const auto state = job_watcher_.terminal_state(job_id)) {
        return respond_terminal(respond, job_id, *state);
    }
    job_watcher_.refresh([this, job_id, retries, respond = std::move(respond)](bool fresh) {
        if (!fresh) return refusals_.refuse(respond, RefusalReason::StateServiceUnavailable);
        write_cancellation(job_id, respond, retries);
    });
}

void UserApi::write_cancellation(const std::string& job_id, net::Respond respond, int retries) {
    const auto* open = job_watcher_.find_open(job_id);
    if (open == nullptr) return lookup_.answer(job_id, std::move(respond), respond_no_such_job);
    // The terminal state keeps the description, which is needed as long as tasks of the job may
    // still be on machines.
    const auto value = wire::terminal_state_value_within(true, open->description,
                                                         store_.max_value_bytes_after_reduction());
    const auto open_key = core::keys::open_job(job_id);
    const auto terminal_key = core::keys::terminal_state(job_id);
    store_.transact(store::RequestPriority::Submit, {{open_key, open->revision}, {terminal_key, 0}},
                    {{open_key, "", 0}, {terminal_key, value, 0}},
                    [this, job_id, retries,
                     respond = std::move(respond)](const store::TransactionResult& result) mutable {
                        if (result.outcome == store::Outcome::Ok) {
                            job_watcher_.on_terminal_state_written(job_id, TerminalState::Aborted,
                                                                   result.revision);
                            return respond_terminal(respond, job_id, TerminalState::Aborted);
                        }
                        if (result.outcome == store::Outcome::Conflict && retries > 0) {
                            return cancel(job_id, std::move(respond), retries - 1);
                        }
                        refusals_.refuse(respond, RefusalReason::StateServiceUnavailable);
                    });
}

}  // namespace lichendrift::control
