// Commands for workers, in the answers to heartbeats or sent directly, and the fencing tokens that
// they carry.
#include "core/cluster.h"

namespace lichendrift::core {

namespace {

// Pauses before the next direct command to the same machine, by the result of the last one.
constexpr Millis kExecutedPause = 150;
constexpr Millis kNotExecutedPause = 400;
constexpr Millis kNoAnswerPause = 3000;
constexpr std::size_t kMaxReaps = 200;     // in one message, with the halts for unknown jobs
constexpr std::size_t kMaxCommands = 400;  // in one message
constexpr Millis kSilentMargin = 500;      // beyond one and a half intervals between heartbeats

Millis pause_after(Cluster::DirectResult result) {
    switch (result) {
        case Cluster::DirectResult::Executed:
            return kExecutedPause;
        case Cluster::DirectResult::NotExecuted:
            return kNotExecutedPause;
        case Cluster::DirectResult::NoAnswer:
            break;
    }
    return kNoAnswerPause;
}

}  // namespace

// "When a task is off a machine", copies: a message that halts or reaps a task carries a higher
// token than the runs that were sent to the machine directly before. So the worker refuses late
// duplicates of these runs before their attempts end.
std::vector<Command> Cluster::commands_for(MachineIndex index, const CommandMessage& message) {
    std::vector<Command> out;
    Machine& machine = machines_[index];
    const bool duplicates_refused = !ends_attempts(machine, message) || raise_token(machine);
    if (duplicates_refused) append_reaps(machine, message, out);
    for (const auto allocation_index : machine.allocations) {
        if (out.size() >= kMaxCommands) break;
        append_command(allocations_[allocation_index], message, out);
    }
    return out;
}

// Whether the message will halt or reap a task.
bool Cluster::ends_attempts(const Machine& machine, const CommandMessage& message) const {
    const auto to_reap = tasks_to_reap_.find(machine.name);
    const bool ends_reported =
        to_reap != tasks_to_reap_.end() &&
        std::any_of(to_reap->second.begin(), to_reap->second.end(), [&](const TaskReport& task) {
            return !message.direct || task.phase != TaskPhase::Exited;
        });
    if (ends_reported || !settings_.guards.halt_raises_token) return ends_reported;
    return std::any_of(machine.allocations.begin(), machine.allocations.end(),
                       [&](AllocationIndex index) { return allocations_[index].stop_requested; });
}

// An attempt is only reaped in the answer to a heartbeat, with a token under which the worker
// refuses late duplicates of the attempt's run.
void Cluster::append_reaps(Machine& machine, const CommandMessage& message,
                           std::vector<Command>& out) {
    if (!machine.synced) return;
    const auto it = tasks_to_reap_.find(machine.name);
    if (it == tasks_to_reap_.end()) return;
    for (const auto& task : it->second) {
        if (out.size() >= kMaxReaps) break;
        if (task.phase != TaskPhase::Exited) {
            out.push_back({Command::Kind::Halt, task.job, task.task, task.attempt, 0});
            continue;
        }
        if (message.direct || awaits_durable_result(task)) continue;
        out.push_back({Command::Kind::Reap, task.job, task.task, task.attempt, 0});
    }
    if (!message.direct) tasks_to_reap_.erase(it);
}

// Whether the task is done, but not durably so: its worker must not forget the result before. A
// replica has no result; it is run again.
bool Cluster::awaits_durable_result(const TaskReport& task) const {
    const auto found = job_ids_.find(task.job);
    if (found == job_ids_.end() || task.exit_reason != ExitReason::Done) return false;
    const Job& job = jobs_.at(found->second);
    return !job.terminal && !job.spec.service && task.task < job.spec.count &&
           job.done_flags[task.task] != 2;
}

void Cluster::append_command(Allocation& allocation, const CommandMessage& message,
                             std::vector<Command>& out) {
    Machine& machine = machines_[allocation.machine];
    if (allocation.session != machine.session) return;
    const Job& job = jobs_.at(allocation.job);
    if (allocation.stop_requested && !is_unsent(allocation)) {
        out.push_back(
            {Command::Kind::Halt, job.id, allocation.task, allocation.attempt, allocation.grace_s});
        if (!message.direct) allocation.halt_seq = message.heartbeat_seq;
        return;
    }
    const bool unconfirmed =
        allocation.state == Allocation::State::Sent && allocation.direct_unconfirmed;
    if (allocation.state != Allocation::State::Ready && !unconfirmed) return;
    const bool is_ready = machine.lifecycle == Machine::Lifecycle::Up && machine.synced;
    if (job.terminal || allocation.stop_requested || !message.may_start || !is_ready) return;
    out.push_back({Command::Kind::Run, job.id, allocation.task, allocation.attempt, 0});
    allocation.state = Allocation::State::Sent;
    if (message.direct) {
        ++allocation.direct_runs_in_flight;
        allocation.direct_token = machine.token;
        machine.direct_run_sent = true;
    } else {
        allocation.heartbeat_seq = message.heartbeat_seq;
    }
    if (allocation.created_at == 0) allocation.created_at = message.now;
}

std::vector<Command> Cluster::heartbeat_commands(const std::string& name, std::uint64_t seq,
                                                 bool may_start, Millis now) {
    const auto it = machine_ids_.find(name);
    // A late duplicate of an old heartbeat gets no commands: its worker no longer waits for an
    // answer.
    if (it == machine_ids_.end() || machines_[it->second].seq != seq) return {};
    if (!machines_[it->second].synced) machines_[it->second].token_sent_seq = seq;
    return commands_for(it->second, {false, seq, may_start, now});
}

std::vector<std::string> Cluster::machines_with_commands(bool may_start, std::size_t limit,
                                                         Millis now) {
    // Only machines where a task was placed or stopped are visited, not the whole fleet.
    std::vector<std::string> out;
    for (auto it = pending_machines_.begin();
         it != pending_machines_.end() && out.size() < limit;) {
        ++entries_visited_;
        const Machine& machine = machines_[*it];
        const auto [sendable, recheck] = pending_commands(machine, may_start);
        if (sendable && machine.lifecycle == Machine::Lifecycle::Up && machine.synced &&
            !machine.direct_in_flight && machine.next_direct_at <= now) {
            out.push_back(machine.name);
        }
        it = recheck ? std::next(it) : pending_machines_.erase(it);
    }
    return out;
}

Cluster::PendingCommands Cluster::pending_commands(const Machine& machine, bool may_start) {
    PendingCommands pending;
    for (const auto index : machine.allocations) {
        ++entries_visited_;
        const Allocation& allocation = allocations_[index];
        const bool run = allocation.state == Allocation::State::Ready && !allocation.stop_requested;
        const bool halt =
            allocation.stop_requested && allocation.state == Allocation::State::Present &&
            allocation.phase != TaskPhase::Saving && allocation.phase != TaskPhase::Exited;
        pending.recheck |= run || halt || allocation.state == Allocation::State::Planned ||
                           allocation.stop_requested;
        pending.sendable |= allocation.session == machine.session && ((run && may_start) || halt);
    }
    return pending;
}

Cluster::DirectCommand Cluster::direct_commands(const std::string& name, bool may_start,
                                                Millis now) {
    DirectCommand direct;
    auto it = machine_ids_.find(name);
    if (it == machine_ids_.end()) return direct;
    Machine& machine = machines_[it->second];
    direct.machine = name;
    direct.endpoint = machine.endpoint;
    direct.session = machine.session;
    if (direct.endpoint.empty()) return direct;
    machine.direct_in_flight = true;
    direct.commands = commands_for(it->second, {true, 0, may_start, now});
    direct.token = machine.token;
    return direct;
}

std::uint64_t Cluster::token_for(const std::string& name) const {
    auto it = machine_ids_.find(name);
    return it == machine_ids_.end() ? settings_.token : machines_[it->second].token;
}

// "When a task is off a machine", copies. Once the worker no longer knows the attempt, a late
// duplicate of its run, even of one that was answered, would start it again. The next message to
// the machine carries a higher token than the runs that were sent there directly, and the worker
// refuses duplicates of these from then on. Returns false if the term has no token left.
bool Cluster::raise_token(Machine& machine) const {
    if (!machine.direct_run_sent || !settings_.guards.reap_raises_token) return true;
    if (machine.token + 1 >= settings_.token + kFencingTokensPerTerm) return false;
    ++machine.token;
    machine.direct_run_sent = false;
    return true;
}

bool Cluster::direct_in_flight(const std::string& name) const {
    auto it = machine_ids_.find(name);
    return it != machine_ids_.end() && machines_[it->second].direct_in_flight;
}

void Cluster::direct_result(const DirectCommand& direct, DirectResult result, Millis now) {
    const auto it = machine_ids_.find(direct.machine);
    if (it == machine_ids_.end()) return;
    Machine& machine = machines_[it->second];
    machine.direct_in_flight = false;
    // Commands reach the machine. Whether answers to its heartbeats do as well shows in whether its
    // next lease expires.
    if (result == DirectResult::Executed) on_command_effect(it->second);
    machine.next_direct_at = now + pause_after(result);
    for (const auto& command : direct.commands) {
        if (command.kind == Command::Kind::Run) on_run_result(it->second, command, result, now);
    }
}

// "When a task is off a machine", unconfirmed: a direct run without a response may still be
// delivered and executed; one that was refused has started nothing.
void Cluster::on_run_result(MachineIndex index, const Command& run, DirectResult result,
                            Millis now) {
    // Copied, because the end of one attempt may also release others of its gang.
    const auto allocated = machines_[index].allocations;
    for (const auto allocation_index : allocated) {
        Allocation& allocation = allocations_[allocation_index];
        if (allocation.job == kInvalidIndex || allocation.attempt != run.attempt ||
            allocation.task != run.task || jobs_.at(allocation.job).id != run.job) {
            continue;
        }
        if (allocation.direct_runs_in_flight > 0) --allocation.direct_runs_in_flight;
        if (result == DirectResult::NoAnswer && settings_.guards.unconfirmed_runs_stay_allocated) {
            allocation.direct_unconfirmed = true;
        }
        const bool no_other_run = !allocation.direct_unconfirmed &&
                                  allocation.direct_runs_in_flight == 0 &&
                                  allocation.heartbeat_seq == 0;
        if (result == DirectResult::NotExecuted && no_other_run &&
            allocation.state == Allocation::State::Sent) {
            on_run_not_executed(allocation_index, now);
        }
    }
}

std::vector<std::string> Cluster::machines_to_probe(std::size_t limit, Millis now) {
    std::vector<std::string> out;
    // Resumes where the last call ended. Callers take a few machines at a time; when each call
    // started at the first machine, a failover visited half of the fleet for each machine polled.
    for (std::size_t left = machines_.size(); left > 0 && out.size() < limit; --left) {
        if (next_probe_ >= machines_.size()) next_probe_ = 0;
        const auto& machine = machines_[next_probe_++];
        ++entries_visited_;
        if (machine.lifecycle == Machine::Lifecycle::Gone || machine.endpoint.empty()) continue;
        if (machine.direct_in_flight || machine.next_direct_at > now) continue;
        // A silent machine is polled as well: only the path from it to here may have failed.
        const bool silent =
            machine.lifecycle == Machine::Lifecycle::Up &&
            now - machine.last_heartbeat_at > settings_.report_ms * 3 / 2 + kSilentMargin;
        if (machine.synced && !silent && machine.unreachable_since == 0) continue;
        out.push_back(machine.name);
    }
    return out;
}

}  // namespace lichendrift::core
