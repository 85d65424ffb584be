// The users' HTTP interface: submissions, polls and cancellations of jobs.
#include "control/user_api.h"

#include <optional>

#include "control/feasibility.h"
#include "core/state_keys.h"
#include "events/format.h"
#include "net/http_status.h"
#include "wire/stored_values.h"
#include "wire/user_messages.h"

namespace lichendrift::control {

namespace {

namespace http_status = net::http_status;

constexpr std::string_view kRunsPath = "/v2/runs";
constexpr std::string_view kCancelSuffix = "/cancel";
constexpr int kRetryAfterS = 1;
constexpr int kCancelRetries = 3;  // after conflicts with other changes of the job
constexpr std::size_t kMaxLoggedBodyBytes = 400;
constexpr Millis kRefusalLogInterval = 3000;
constexpr Millis kLongAgo = -100'000;  // before any time of the runtime

enum class Action : std::uint8_t { Submit, Poll, Cancel };

// What a request's target asks for.
struct Route {
    Action action = Action::Submit;
    std::string job_id;
};

std::optional<Route> route_of(std::string_view target) {
    auto path = target.substr(0, target.find('?'));
    if (path == kRunsPath) return Route{};
    if (!path.starts_with(kRunsPath) || path[kRunsPath.size()] != '/') return std::nullopt;
    path.remove_prefix(kRunsPath.size() + 1);
    const bool cancels = path.ends_with(kCancelSuffix);
    if (cancels) path.remove_suffix(kCancelSuffix.size());
    if (path.empty() || path.find('/') != std::string_view::npos) return std::nullopt;
    return Route{cancels ? Action::Cancel : Action::Poll, std::string(path)};
}

void respond_error(const net::Respond& respond, int status, std::string_view reason) {
    respond({status, wire::error_body(reason)});
}

void respond_no_such_job(const net::Respond& respond) {
    respond_error(respond, http_status::kNotFound, "no such job");
}

void respond_too_large(const net::Respond& respond) {
    respond_error(respond, http_status::kBadRequest, "the job's description is too long");
}

void respond_terminal(const net::Respond& respond, const std::string& job_id, TerminalState state) {
    const auto* name = state == TerminalState::Aborted ? "aborted" : "done";
    respond({http_status::kOk, wire::job_answer(job_id, name)});
}

}  // namespace

UserApi::UserApi(net::Runtime& runtime, const Settings& settings, store::StoreClient& store,
                 JobWatcher& job_watcher)
    : runtime_(runtime),
      settings_(settings),
      store_(store),
      job_watcher_(job_watcher),
      batcher_(store, job_watcher),
      refusals_logged_at_(kLongAgo) {}

void UserApi::set_counts(const std::vector<wire::JobCounts>& counts, bool all) {
    if (all) counts_.clear();
    for (const auto& job : counts) counts_[job.id] = {job.done, job.running};
}

void UserApi::handle(const net::HttpRequest& request, net::Respond respond) {
    const auto route = route_of(request.target);
    if (!route) return respond_error(respond, http_status::kNotFound, "no such path");
    const std::string method = route->action == Action::Poll ? "GET" : "POST";
    if (request.method != method) {
        return respond_error(respond, http_status::kMethodNotAllowed, "use " + method);
    }
    if (route->action == Action::Submit) return submit(request.body, std::move(respond));
    // An id that is not of the form was never accepted.
    if (!wire::valid_job_id(route->job_id)) return respond_no_such_job(respond);
    if (route->action == Action::Cancel) {
        return cancel(route->job_id, std::move(respond), kCancelRetries);
    }
    poll(route->job_id, std::move(respond), respond_no_such_job);
}

// ---- submissions ----

void UserApi::submit(const std::string& body, net::Respond respond) {
    auto parsed = wire::parse_submission(body);
    if (!parsed) {
        const auto reason = wire::error_text(parsed.error());
        events::log(events::SubmissionMalformed{reason, body.substr(0, kMaxLoggedBodyBytes)});
        return respond_error(respond, http_status::kBadRequest, reason);
    }
    auto& job = *parsed;
    if (const auto state = job_watcher_.terminal_state(job.id)) {
        return respond_terminal(respond, job.id, *state);
    }
    if (job_watcher_.find_open(job.id) != nullptr) {
        return poll(job.id, std::move(respond), [this](const net::Respond& unanswered) {
            refuse(unanswered, RefusalReason::StateServiceUnavailable);
        });
    }
    if (!store_.responsive()) return refuse(respond, RefusalReason::StateServiceUnavailable);
    if (types_.empty()) return refuse(respond, RefusalReason::MachineTypesUnknown);
    if (const auto feasible = check_feasibility(job, settings_.teams, types_); !feasible) {
        // A job that was accepted once is never refused: prices, types and teams may change.
        return answer_fresh(job.id, std::move(respond),
                            [reason = feasible.error()](const net::Respond& unanswered) {
                                respond_error(unanswered, http_status::kUnprocessable,
                                              control::text(reason));
                            });
    }
    store_job(std::move(job), respond);
}

void UserApi::store_job(core::JobDescription job, const net::Respond& respond) {
    job.submitted_ms = runtime_.wall_ms();
    const auto job_id = job.id;
    const auto queued =
        batcher_.enqueue(std::move(job), [this, job_id, respond](SubmissionResult result) {
            on_submission_result(job_id, respond, result);
        });
    if (!queued) on_enqueue_error(respond, queued.error());
}

void UserApi::on_submission_result(const std::string& job_id, const net::Respond& respond,
                                   SubmissionResult result) {
    const auto unavailable = [this](const net::Respond& unanswered) {
        refuse(unanswered, RefusalReason::StateServiceUnavailable);
    };
    switch (result) {
        case SubmissionResult::Created:
            return respond({http_status::kCreated, wire::job_answer(job_id, "pending")});
        case SubmissionResult::Duplicate:
            return respond({http_status::kOk, wire::job_answer(job_id, "pending")});
        case SubmissionResult::AlreadyKnown:
            return poll(job_id, respond, unavailable);
        case SubmissionResult::TooLarge:
            return respond_too_large(respond);
        case SubmissionResult::Unavailable:
            return unavailable(respond);
    }
}

void UserApi::on_enqueue_error(const net::Respond& respond, EnqueueError error) {
    switch (error) {
        case EnqueueError::TooManyDuplicates:
            return refuse(respond, RefusalReason::TooManyDuplicates);
        case EnqueueError::QueueFull:
            return refuse(respond, RefusalReason::TooManySubmissions);
        case EnqueueError::TooLarge:
            return respond_too_large(respond);
    }
}

// ---- polls ----

void UserApi::poll(const std::string& job_id, net::Respond respond, OnUnknownJob on_unknown) {
    if (const auto state = job_watcher_.terminal_state(job_id)) {
        return respond_terminal(respond, job_id, *state);
    }
    if (!settings_.guards.fresh_reads && job_watcher_.find_open(job_id) != nullptr) {
        return answer_open(job_id, respond);
    }
    answer_fresh(job_id, std::move(respond), std::move(on_unknown));
}

void UserApi::answer_fresh(const std::string& job_id, net::Respond respond,
                           OnUnknownJob on_unknown) {
    job_watcher_.refresh([this, job_id, respond = std::move(respond),
                          on_unknown = std::move(on_unknown)](bool fresh) {
        if (!fresh) return refuse(respond, RefusalReason::StateServiceUnavailable);
        answer_from_fresh_copy(job_id, respond, on_unknown);
    });
}

void UserApi::answer_from_fresh_copy(const std::string& job_id, net::Respond respond,
                                     OnUnknownJob on_unknown) {
    if (job_watcher_.find_open(job_id) != nullptr) return answer_open(job_id, respond);
    job_watcher_.read_terminal_state(job_id,
                                     [this, job_id, respond = std::move(respond),
                                      on_unknown = std::move(on_unknown)](const auto& state) {
                                         if (state)
                                             return respond_terminal(respond, job_id, *state);
                                         if (state.error() == LookupError::NotFound)
                                             return on_unknown(respond);
                                         refuse(respond, RefusalReason::StateServiceUnavailable);
                                     });
}

void UserApi::answer_open(const std::string& job_id, const net::Respond& respond) const {
    const auto counted = counts_.find(job_id);
    const auto counts = counted == counts_.end() ? TaskCounts{} : counted->second;
    const auto* state = counts.running > 0 ? "running" : "pending";
    respond({http_status::kOk, wire::job_answer(job_id, state, counts.done, counts.running)});
}

// ---- cancellations ----

void UserApi::cancel(const std::string& job_id, net::Respond respond, int retries) {
    if (const auto state = job_watcher_.terminal_state(job_id)) {
        return respond_terminal(respond, job_id, *state);
    }
    job_watcher_.refresh([this, job_id, retries, respond = std::move(respond)](bool fresh) {
        if (!fresh) return refuse(respond, RefusalReason::StateServiceUnavailable);
        write_cancellation(job_id, respond, retries);
    });
}

void UserApi::write_cancellation(const std::string& job_id, net::Respond respond, int retries) {
    const auto* open = job_watcher_.find_open(job_id);
    if (open == nullptr) return poll(job_id, std::move(respond), respond_no_such_job);
    // The description stays with the terminal state: the job's tasks count until they have ended.
    const auto value =
        wire::terminal_state_value_within(true, open->text, store_.max_value_bytes_from_now_on());
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
                        refuse(respond, RefusalReason::StateServiceUnavailable);
                    });
}

// ---- refusals ----

void UserApi::refuse(const net::Respond& respond, RefusalReason reason) {
    ++refusals_;
    // Counted, and logged at a bounded rate: a flood of refusals must not become a flood of lines.
    if (runtime_.now() - refusals_logged_at_ > kRefusalLogInterval) {
        refusals_logged_at_ = runtime_.now();
        events::log(events::RequestsRefused{refusals_, text(reason)});
    }
    respond({http_status::kUnavailable, wire::error_body(text(reason)), kRetryAfterS});
}

std::string_view UserApi::text(RefusalReason reason) {
    switch (reason) {
        case RefusalReason::StateServiceUnavailable:
            return "the state service does not answer";
        case RefusalReason::MachineTypesUnknown:
            return "machine types are not known yet";
        case RefusalReason::TooManyDuplicates:
            return "too many repeats under way";
        case RefusalReason::TooManySubmissions:
            return "too many submissions at once";
    }
    return "";
}

}  // namespace lichendrift::control
