// The HTTP API for users: submission, status and cancellation of jobs.
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
constexpr std::size_t kMaxLookupsBefore503 = 50;
constexpr int kCancelRetries = 3;  // if the job's keys change between the read and the write
constexpr std::size_t kMaxLoggedBodyBytes = 400;
constexpr Millis kRefusalLogIntervalMs = 3000;
constexpr Millis kLongAgo = -100'000;  // earlier than any time of the runtime's clock

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
    respond({http_status::kOk, wire::job_state_body(job_id, name)});
}

}  // namespace

UserApi::UserApi(net::Runtime& runtime, const Settings& settings, store::StoreClient& store,
                 JobWatcher& job_watcher)
    : runtime_(runtime),
      settings_(settings),
      store_(store),
      job_watcher_(job_watcher),
      batcher_(store, job_watcher),
      refusal_logged_at_(kLongAgo) {}

void UserApi::update_task_counts(const std::vector<wire::JobCounts>& counts, bool complete) {
    if (complete) task_counts_.clear();
    for (const auto& job : counts) task_counts_[job.id] = {job.done, job.running};
}

void UserApi::handle(const net::HttpRequest& request, net::Respond respond) {
    const auto route = parse_route(request.target);
    if (!route) return respond_error(respond, http_status::kNotFound, "no such path");
    const std::string method = route->action == Action::Poll ? "GET" : "POST";
    if (request.method != method) {
        return respond_error(respond, http_status::kMethodNotAllowed, "use " + method);
    }
    if (route->action == Action::Submit) return submit(request.body, std::move(respond));
    // An id in another format was never accepted, so no lookup is needed.
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
        return poll(job.id, std::move(respond), [this](const net::Respond& responder) {
            refuse(responder, RefusalReason::StateServiceUnavailable);
        });
    }
    if (!store_.responsive()) return refuse(respond, RefusalReason::StateServiceUnavailable);
    if (types_.empty()) {
        return postpone_unless_known(job.id, respond, RefusalReason::MachineTypesUnknown);
    }
    if (const auto feasible = check_feasibility(job, settings_.teams, types_); !feasible) {
        return refuse_unless_known(
            job.id, std::move(respond), [reason = feasible.error()](const net::Respond& refused) {
                respond_error(refused, http_status::kUnprocessable, control::text(reason));
            });
    }
    if (batcher_.in_flight(job.id)) return store_unless_known(std::move(job), std::move(respond));
    store_job(std::move(job), respond);
}

// Refuses a submission for a reason that holds for new jobs only. The job may have been accepted
// earlier, under other limits, machine types or teams, by any controller. A repeated submission of
// such a job is answered with the job's state, so the state is looked up first.
void UserApi::refuse_unless_known(const std::string& job_id, net::Respond respond,
                                  OnUnknownJob refuse_new) {
    answer_after_refresh(job_id, std::move(respond), std::move(refuse_new));
}

// The same for a reason that will pass: a new job gets status 503, and its user tries again. Under
// overload most submissions are of new jobs, so the number of lookups is limited; without one, a
// known job gets status 503 as well.
void UserApi::postpone_unless_known(const std::string& job_id, const net::Respond& respond,
                                    RefusalReason reason) {
    if (lookups_before_503_ >= kMaxLookupsBefore503) return refuse(respond, reason);
    ++lookups_before_503_;
    const auto respond_and_count = [this, respond](const net::HttpResponse& response) {
        --lookups_before_503_;
        respond(response);
    };
    refuse_unless_known(job_id, respond_and_count, [this, reason](const net::Respond& postponed) {
        refuse(postponed, reason);
    });
}

// Answers a repeated submission whose job is in flight. Its transaction may have been carried out
// before the repeat came, and the job may have ended since, so the job is looked up first. If it is
// unknown, the transaction is carried out later than the lookup.
void UserApi::store_unless_known(core::JobDescription job, net::Respond respond) {
    const auto job_id = job.id;
    answer_after_refresh(
        job_id, std::move(respond),
        [this, job = std::move(job)](const net::Respond& responder) { store_job(job, responder); });
}

void UserApi::store_job(core::JobDescription job, const net::Respond& respond) {
    job.submitted_ms = runtime_.wall_ms();
    const auto job_id = job.id;
    const auto queued =
        batcher_.enqueue(std::move(job), [this, job_id, respond](SubmissionResult result) {
            on_submission_result(job_id, respond, result);
        });
    if (!queued) on_enqueue_error(job_id, respond, queued.error());
}

void UserApi::on_submission_result(const std::string& job_id, const net::Respond& respond,
                                   SubmissionResult result) {
    // The job may have ended while the transaction's answer was under way.
    if (const auto state = job_watcher_.terminal_state(job_id)) {
        return respond_terminal(respond, job_id, *state);
    }
    switch (result) {
        case SubmissionResult::Created:
            return respond({http_status::kCreated, wire::job_state_body(job_id, "pending")});
        case SubmissionResult::Duplicate:
            return respond({http_status::kOk, wire::job_state_body(job_id, "pending")});
        case SubmissionResult::AlreadyKnown:
            return poll(job_id, respond, [this](const net::Respond& responder) {
                refuse(responder, RefusalReason::StateServiceUnavailable);
            });
        case SubmissionResult::TooLarge:
            return refuse_unless_known(job_id, respond, respond_too_large);
        case SubmissionResult::Unavailable:
            // Only new jobs need a write.
            return postpone_unless_known(job_id, respond, RefusalReason::StateServiceUnavailable);
    }
}

void UserApi::on_enqueue_error(const std::string& job_id, const net::Respond& respond,
                               EnqueueError error) {
    switch (error) {
        case EnqueueError::TooManyDuplicates:
            return postpone_unless_known(job_id, respond, RefusalReason::TooManyDuplicates);
        case EnqueueError::QueueFull:
            return postpone_unless_known(job_id, respond, RefusalReason::TooManySubmissions);
        case EnqueueError::TooLarge:
            return refuse_unless_known(job_id, respond, respond_too_large);
    }
}

// ---- status requests ----

void UserApi::poll(const std::string& job_id, net::Respond respond, OnUnknownJob on_unknown) {
    if (const auto state = job_watcher_.terminal_state(job_id)) {
        return respond_terminal(respond, job_id, *state);
    }
    if (!settings_.guards.fresh_reads && job_watcher_.find_open(job_id) != nullptr) {
        return answer_open_job(job_id, respond);
    }
    answer_after_refresh(job_id, std::move(respond), std::move(on_unknown));
}

void UserApi::answer_after_refresh(const std::string& job_id, net::Respond respond,
                                   OnUnknownJob on_unknown) {
    job_watcher_.refresh([this, job_id, respond = std::move(respond),
                          on_unknown = std::move(on_unknown)](bool fresh) {
        if (!fresh) return refuse(respond, RefusalReason::StateServiceUnavailable);
        answer_from_refreshed_copy(job_id, respond, on_unknown);
    });
}

void UserApi::answer_from_refreshed_copy(const std::string& job_id, net::Respond respond,
                                         OnUnknownJob on_unknown) {
    if (answer_from_copy(job_id, respond)) return;
    job_watcher_.read_terminal_state(
        job_id, [this, job_id, respond = std::move(respond),
                 on_unknown = std::move(on_unknown)](const auto& state) {
            if (state) return respond_terminal(respond, job_id, *state);
            if (state.error() == LookupError::Unavailable) {
                return refuse(respond, RefusalReason::StateServiceUnavailable);
            }
            // The job may have been accepted while the read was in flight.
            if (!answer_from_copy(job_id, respond)) on_unknown(respond);
        });
}

// Answers with what the copy knows of the job, and returns whether it knows the job at all.
bool UserApi::answer_from_copy(const std::string& job_id, const net::Respond& respond) const {
    if (const auto state = job_watcher_.terminal_state(job_id)) {
        respond_terminal(respond, job_id, *state);
        return true;
    }
    if (job_watcher_.find_open(job_id) == nullptr) return false;
    answer_open_job(job_id, respond);
    return true;
}

void UserApi::answer_open_job(const std::string& job_id, const net::Respond& respond) const {
    const auto it = task_counts_.find(job_id);
    const auto counts = it == task_counts_.end() ? TaskCounts{} : it->second;
    const auto* state = counts.running > 0 ? "running" : "pending";
    respond({http_status::kOk, wire::job_state_body(job_id, state, counts.done, counts.running)});
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
                        refuse(respond, RefusalReason::StateServiceUnavailable);
                    });
}

// ---- responses with status 503 ----

void UserApi::refuse(const net::Respond& respond, RefusalReason reason) {
    ++refusals_;
    // Every refusal is counted, but the log is rate limited, so that overload does not flood it.
    if (runtime_.now() - refusal_logged_at_ > kRefusalLogIntervalMs) {
        refusal_logged_at_ = runtime_.now();
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
