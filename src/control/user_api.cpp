#include "control/user_api.h"

#include <cmath>

#include "events/format.h"
#include "wire/stored_values.h"
#include "wire/user_messages.h"

namespace lichendrift::control {

namespace {

constexpr std::string_view kRuns = "/v2/runs";
constexpr std::size_t kMaxQueued = 300;
constexpr std::size_t kBatchBytes = 40'000;
constexpr int kMaxBatches = 2;
constexpr int kRetryAfterS = 1;
constexpr std::size_t kMaxLoggedBody = 400;
constexpr Millis kReportInterval = 3000;

const char* state_name(TerminalState state) {
    return state == TerminalState::Aborted ? "aborted" : "done";
}

}  // namespace

UserApi::UserApi(net::Runtime& runtime, const Settings& settings, store::StoreClient& store,
                 JobWatcher& job_watcher)
    : runtime_(runtime), settings_(settings), store_(store), job_watcher_(job_watcher) {}

void UserApi::set_counts(const std::vector<wire::JobCounts>& counts, bool all) {
    if (all) counts_.clear();
    for (const auto& job : counts) counts_[job.id] = {job.done, job.running};
}

void UserApi::refuse(const net::Respond& respond, const char* reason) {
    ++refused_;
    // Counted, and told once in a while: a flood of refusals must not become a flood of lines.
    if (runtime_.now() - refusals_reported_at_ > kReportInterval) {
        refusals_reported_at_ = runtime_.now();
        events::log(events::RequestsRefused{refused_, reason});
    }
    respond({503, wire::error_body(reason), kRetryAfterS});
}

void UserApi::handle(const net::HttpRequest& request, net::Respond respond) {
    const std::string_view target =
        std::string_view(request.target).substr(0, request.target.find('?'));
    if (target == kRuns) {
        if (request.method != "POST") return respond({405, wire::error_body("use POST")});
        return submit(request.body, std::move(respond));
    }
    if (!target.starts_with(kRuns) || target[kRuns.size()] != '/') {
        return respond({404, wire::error_body("no such path")});
    }
    auto rest = target.substr(kRuns.size() + 1);
    constexpr std::string_view kCancel = "/cancel";
    const bool cancelling = rest.ends_with(kCancel);
    if (cancelling) rest.remove_suffix(kCancel.size());
    if (rest.empty() || rest.find('/') != std::string_view::npos) {
        return respond({404, wire::error_body("no such path")});
    }
    const std::string id(rest);
    if (request.method != (cancelling ? "POST" : "GET")) {
        return respond({405, wire::error_body(cancelling ? "use POST" : "use GET")});
    }
    // An id that is not of the form was never accepted.
    if (!wire::valid_job_id(id)) return respond({404, wire::error_body("no such job")});
    if (cancelling) return cancel(id, std::move(respond), 3);
    poll(id, std::move(respond), false);
}

std::string UserApi::check(const core::JobText& job) const {
    const core::Team* team = nullptr;
    for (const auto& t : settings_.teams) {
        if (t.name == job.team) team = &t;
    }
    if (team == nullptr) return "unknown team";
    const auto up = [](double v) { return static_cast<std::int64_t>(std::ceil(v * 1000 - 1e-6)); };
    const core::Resources need{up(job.cpus), up(job.gpus), up(job.mem_gb)};
    bool fits = false;
    for (const auto& type : types_) {
        if (job.types &&
            std::find(job.types->begin(), job.types->end(), type.name) == job.types->end()) {
            continue;
        }
        if (job.zone &&
            std::find(type.zones.begin(), type.zones.end(), *job.zone) == type.zones.end()) {
            continue;
        }
        fits |= type.room.covers(need);
    }
    if (!fits) return "a task fits no allowed machine type";
    const auto all = need.times(job.gang || job.service ? job.count : 1);
    if ((team->limit.cpus > 0 && all.cpus > team->limit.cpus) ||
        (team->limit.gpus > 0 && all.gpus > team->limit.gpus)) {
        return "more than the team's limit";
    }
    return "";
}

void UserApi::submit(const std::string& body, net::Respond respond) {
    auto parsed = wire::parse_submission(body);
    if (!parsed) {
        const auto reason = wire::error_text(parsed.error());
        events::log(events::SubmissionMalformed{reason, body.substr(0, kMaxLoggedBody)});
        return respond({400, wire::error_body(reason)});
    }
    auto& job = *parsed;
    if (auto terminal_state = job_watcher_.terminal_state(job.id)) {
        return respond({200, wire::job_answer(job.id, state_name(*terminal_state))});
    }
    if (job_watcher_.find_open(job.id) != nullptr) return poll(job.id, std::move(respond), true);
    if (!store_.responsive()) return refuse(respond, "the state service does not answer");
    if (types_.empty()) return refuse(respond, "machine types are not known yet");
    if (auto reason = check(job); !reason.empty()) {
        // A job that was accepted once is never refused: prices, types and teams may change.
        const auto id = job.id;
        job_watcher_.refresh([this, id, reason, respond = std::move(respond)](bool ok) mutable {
            if (!ok) return refuse(respond, "the state service does not answer");
            if (job_watcher_.find_open(id) != nullptr) return answer_open(id, respond);
            job_watcher_.read_terminal_state(id, [this, id, reason, respond](const auto& state) {
                if (state) return respond({200, wire::job_answer(id, state_name(*state))});
                if (state.error() != LookupError::NotFound) {
                    return refuse(respond, "the state service does not answer");
                }
                respond({422, wire::error_body(reason)});
            });
        });
        return;
    }
    if (auto it = doubles_.find(job.id); it != doubles_.end()) {
        if (it->second.size() >= 8) return refuse(respond, "too many repeats under way");
        it->second.push_back(std::move(respond));
        return;
    }
    if (queue_.size() >= kMaxQueued) return refuse(respond, "too many submissions at once");
    job.submitted_ms = runtime_.wall_ms();
    Submission submission;
    submission.value = wire::job_value(job);
    if (!fits(submission)) {
        return respond({400, wire::error_body("the job's description is too long")});
    }
    doubles_.try_emplace(job.id);
    submission.job = std::move(job);
    submission.responds.push_back(std::move(respond));
    queue_.push_back(std::move(submission));
    flush();
}

void UserApi::flush() {
    while (batches_ < kMaxBatches && !queue_.empty()) {
        std::vector<Submission> batch;
        std::vector<wire::Condition> when;
        std::vector<wire::Change> then;
        std::size_t bytes = 0;
        while (!queue_.empty() && batch.size() < store_.max_transaction_operations() &&
               bytes < kBatchBytes) {
            auto& next = queue_.front();
            when.push_back({"open/" + next.job.id, 0});
            when.push_back({"over/" + next.job.id, 0});
            then.push_back({"open/" + next.job.id, next.value, 0});
            bytes += next.value.size() + 200;
            batch.push_back(std::move(next));
            queue_.pop_front();
        }
        ++batches_;
        store_.transact(
            store::RequestPriority::Submit, when, then,
            [this, batch = std::move(batch)](const store::TransactionResult& result) mutable {
                --batches_;
                written(std::move(batch), result);
                flush();
            });
    }
}

void UserApi::written(std::vector<Submission> batch, const store::TransactionResult& result) {
    for (auto& submission : batch) {
        const auto id = submission.job.id;
        const bool clash =
            std::any_of(result.failed.begin(), result.failed.end(), [&](const auto& key) {
                return key.size() > 5 && key.compare(5, std::string::npos, id) == 0;
            });
        if (result.outcome == store::Outcome::Conflict && !clash) {
            // Only another job of the batch was known already.
            queue_.push_front(std::move(submission));
            continue;
        }
        auto responds = std::move(submission.responds);
        if (auto node = doubles_.extract(id); !node.empty()) {
            for (auto& respond : node.mapped()) responds.push_back(std::move(respond));
        }
        if (result.outcome == store::Outcome::Ok) {
            job_watcher_.on_open_written(submission.job, result.revision);
            for (std::size_t i = 0; i < responds.size(); ++i) {
                responds[i]({i == 0 ? 201 : 200, wire::job_answer(id, "pending")});
            }
        } else if (clash) {
            for (auto& respond : responds) poll(id, std::move(respond), true);
        } else if (result.outcome == store::Outcome::Rejected && !fits(submission)) {
            for (auto& respond : responds) {
                respond({400, wire::error_body("the job's description is too long")});
            }
        } else {
            for (auto& respond : responds) refuse(respond, "the state service does not answer");
        }
    }
}

// Its terminal state may be stored with its description, and has to fit as well.
bool UserApi::fits(const Submission& submission) const {
    constexpr std::size_t kTerminalState = 32;
    return submission.value.size() + kTerminalState <= store_.max_value_bytes();
}

void UserApi::answer_open(const std::string& id, const net::Respond& respond) const {
    std::uint32_t done = 0;
    std::uint32_t running = 0;
    if (auto it = counts_.find(id); it != counts_.end()) std::tie(done, running) = it->second;
    respond({200, wire::job_answer(id, running > 0 ? "running" : "pending", done, running)});
}

void UserApi::poll(const std::string& id, net::Respond respond, bool submission) {
    if (auto aborted = job_watcher_.terminal_state(id)) {
        return respond({200, wire::job_answer(id, state_name(*aborted))});
    }
    if (!settings_.guards.fresh_reads && job_watcher_.find_open(id) != nullptr) {
        return answer_open(id, respond);
    }
    job_watcher_.refresh([this, id, submission, respond = std::move(respond)](bool ok) {
        if (!ok) return refuse(respond, "the state service does not answer");
        if (job_watcher_.find_open(id) != nullptr) return answer_open(id, respond);
        job_watcher_.read_terminal_state(id, [this, id, submission, respond](const auto& state) {
            if (state) return respond({200, wire::job_answer(id, state_name(*state))});
            if (state.error() != LookupError::NotFound || submission) {
                return refuse(respond, "the state service does not answer");
            }
            respond({404, wire::error_body("no such job")});
        });
    });
}

void UserApi::cancel(const std::string& id, net::Respond respond, int tries) {
    if (auto aborted = job_watcher_.terminal_state(id)) {
        return respond({200, wire::job_answer(id, state_name(*aborted))});
    }
    job_watcher_.refresh([this, id, tries, respond = std::move(respond)](bool ok) mutable {
        if (!ok) return refuse(respond, "the state service does not answer");
        const auto* open = job_watcher_.find_open(id);
        if (open == nullptr) return poll(id, std::move(respond), false);
        // The job's description stays with the final word: its tasks count until they are gone.
        store_.transact(
            store::RequestPriority::Submit, {{"open/" + id, open->revision}, {"over/" + id, 0}},
            {{"open/" + id, "", 0},
             {"over/" + id,
              wire::terminal_state_value_within(true, open->text,
                                                store_.max_value_bytes_from_now_on()),
              0}},
            [this, id, tries,
             respond = std::move(respond)](const store::TransactionResult& result) mutable {
                if (result.outcome == store::Outcome::Ok) {
                    job_watcher_.on_terminal_state_written(id, TerminalState::Aborted,
                                                           result.revision);
                    return respond({200, wire::job_answer(id, "aborted")});
                }
                if (result.outcome == store::Outcome::Conflict && tries > 0) {
                    return cancel(id, std::move(respond), tries - 1);
                }
                refuse(respond, "the state service does not answer");
            });
    });
}

}  // namespace lichendrift::control
