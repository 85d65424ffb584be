// Sends the leader's commands directly to workers.
#include "control/command_dispatcher.h"

#include <optional>

#include "net/http_status.h"
#include "wire/worker_messages.h"

namespace lichendrift::control {

namespace {

namespace status = net::http_status;
using DirectResult = core::Cluster::DirectResult;

constexpr Millis kCallTimeoutMs = 1500;
constexpr std::size_t kMaxCallsInFlight = 24;

DirectResult direct_result(const net::HttpReply& reply) {
    if (reply.status == status::kOk) return DirectResult::Executed;
    const bool not_sent = reply.status == 0 && !reply.sent;
    if (reply.status == status::kConflict || reply.status == status::kBadRequest || not_sent) {
        return DirectResult::NotExecuted;
    }
    return DirectResult::NoAnswer;
}

}  // namespace

void CommandDispatcher::request_reports() {
    if (calls_in_flight_ >= kMaxCallsInFlight) return;
    const auto now = term_.runtime.now();
    const auto limit = kMaxCallsInFlight - calls_in_flight_;
    const auto machines = term_.cluster->with_lock(
        [&](core::Cluster& cluster) { return cluster.machines_to_probe(limit, now); });
    for (const auto& machine : machines) call(machine);
}

void CommandDispatcher::dispatch() {
    if (calls_in_flight_ >= kMaxCallsInFlight) return;
    const bool may_start = term_.host.may_start_tasks();
    const auto now = term_.runtime.now();
    const auto limit = kMaxCallsInFlight - calls_in_flight_;
    const auto machines = term_.cluster->with_lock([&](core::Cluster& cluster) {
        return cluster.machines_with_commands(may_start, limit, now);
    });
    for (const auto& machine : machines) call(machine);
}

void CommandDispatcher::call(const std::string& machine) {
    const auto now = term_.runtime.now();
    const bool may_start = term_.host.may_start_tasks();
    auto commands = term_.cluster->with_lock(
        [&](core::Cluster& cluster) { return cluster.direct_commands(machine, may_start, now); });
    if (commands.endpoint.empty()) return;
    // A machine that has not reported yet is assumed to be in its first session. If it is not, its
    // answer says so.
    if (commands.session == 0) commands.session = 1;
    ++calls_in_flight_;
    term_.runtime.call(
        commands.endpoint,
        {"POST", "/do",
         wire::direct_commands_body(commands.token, commands.session, commands.commands)},
        kCallTimeoutMs, term_.callbacks.bind([this, commands](const net::HttpReply& reply) {
            on_answer(commands, reply);
        }));
}

void CommandDispatcher::on_answer(const core::Cluster::DirectCommand& commands,
                                  const net::HttpReply& reply) {
    --calls_in_flight_;
    const auto now = term_.runtime.now();
    std::optional<core::Report> report;
    if (reply.status == status::kOk || reply.status == status::kConflict) {
        report = wire::parse_report(reply.body);
    }
    if (reply.status == status::kOk && !report) malformed_answers_.note(now);
    if (report && report->machine != commands.machine) report.reset();
    core::ReportOutcome outcome;
    term_.cluster->with_lock([&](core::Cluster& cluster) {
        cluster.direct_result(commands, direct_result(reply), now);
        if (report) outcome = cluster.on_report(*report, false, now);
    });
    if (outcome.superseded) {
        return term_.host.step_down(events::StepDownReason::HigherTokenAtWorker);
    }
    if (outcome.changed) on_cluster_changed_();
    // Until this call ended, the bound on calls in flight held back other calls.
    if (calls_in_flight_ + 1 == kMaxCallsInFlight) {
        dispatch();
        request_reports();
    }
}

}  // namespace lichendrift::control
