// Users' submissions of jobs: which are accepted, which are refused.
#include "control/submission_handler.h"

#include <utility>

#include "control/feasibility.h"
#include "events/format.h"
#include "net/http_status.h"
#include "wire/user_messages.h"

namespace lichendrift::control {

namespace {

namespace http_status = net::http_status;

constexpr std::size_t kMaxLookupsBefore503 = 50;
constexpr std::size_t kMaxLoggedBodyBytes = 400;

void respond_too_large(const net::Respond& respond) {
    respond_error(respond, http_status::kBadRequest, "the job's description is too long");
}

}  // namespace

SubmissionHandler::SubmissionHandler(net::Runtime& runtime, const Settings& settings,
                                     store::StoreClient& store, JobWatcher& job_watcher,
                                     JobLookup& lookup, TemporaryRefusals& refusals)
    : runtime_(runtime),
      settings_(settings),
      store_(store),
      job_watcher_(job_watcher),
      lookup_(lookup),
      refusals_(refusals),
      batcher_(store, job_watcher) {}

void SubmissionHandler::submit(const std::string& body, net::Respond respond) {
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
        return answer_known(job.id, std::move(respond));
    }
    if (!store_.responsive())
        return refusals_.refuse(respond, RefusalReason::StateServiceUnavailable);
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

// Answers for a job that is open in the copy or has a key in the state service.
void SubmissionHandler::answer_known(const std::string& job_id, net::Respond respond) {
    lookup_.answer(job_id, std::move(respond), [this](const net::Respond& unknown) {
        refusals_.refuse(unknown, RefusalReason::StateServiceUnavailable);
    });
}

// Refuses a submission for a reason that holds for new jobs only. The job may have been accepted
// earlier, under other limits, machine types or teams, by any controller. A repeated submission of
// such a job is answered with the job's state, so the state is looked up first.
void SubmissionHandler::refuse_unless_known(const std::string& job_id, net::Respond respond,
                                            JobLookup::OnUnknownJob refuse_new) {
    lookup_.answer_after_refresh(job_id, std::move(respond), std::move(refuse_new));
}

// The same for a reason that will pass: a new job gets status 503, and its user tries again. Under
// overload most submissions are of new jobs, so the number of lookups is limited; without one, a
// known job gets status 503 as well.
void SubmissionHandler::postpone_unless_known(const std::string& job_id,
                                              const net::Respond& respond, RefusalReason reason) {
    if (lookups_before_503_ >= kMaxLookupsBefore503) return refusals_.refuse(respond, reason);
    ++lookups_before_503_;
    const auto respond_and_count = [this, respond](const net::HttpResponse& response) {
        --lookups_before_503_;
        respond(response);
    };
    refuse_unless_known(job_id, respond_and_count, [this, reason](const net::Respond& postponed) {
        refusals_.refuse(postponed, reason);
    });
}

// Answers a repeated submission whose job is in flight. Its transaction may have been carried out
// before the repeat came, and the job may have ended since, so the job is looked up first. If it is
// unknown, the transaction is carried out later than the lookup.
void SubmissionHandler::store_unless_known(core::JobDescription job, net::Respond respond) {
    const auto job_id = job.id;
    lookup_.answer_after_refresh(
        job_id, std::move(respond),
        [this, job = std::move(job)](const net::Respond& responder) { store_job(job, responder); });
}

void SubmissionHandler::store_job(core::JobDescription job, const net::Respond& respond) {
    job.submitted_ms = runtime_.wall_ms();
    const auto job_id = job.id;
    const auto queued =
        batcher_.enqueue(std::move(job), [this, job_id, respond](SubmissionResult result) {
            on_submission_result(job_id, respond, result);
        });
    if (!queued) on_enqueue_error(job_id, respond, queued.error());
}

void SubmissionHandler::on_submission_result(const std::string& job_id, const net::Respond& respond,
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
            return answer_known(job_id, respond);
        case SubmissionResult::TooLarge:
            return refuse_unless_known(job_id, respond, respond_too_large);
        case SubmissionResult::Unavailable:
            // Only new jobs need a write.
            return postpone_unless_known(job_id, respond, RefusalReason::StateServiceUnavailable);
    }
}

void SubmissionHandler::on_enqueue_error(const std::string& job_id, const net::Respond& respond,
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

}  // namespace lichendrift::control
