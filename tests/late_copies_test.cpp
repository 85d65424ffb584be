// Late copies of direct run commands that were executed and answered long ago. A worker that no
// longer knows the attempt would start it once more: on two machines at once if the task was moved,
// or after its cancellation. docs/design.md, "Copies", says where the acceptance of a command ends.
#include <gtest/gtest.h>

#include <cstdlib>
#include <string>
#include <vector>

#include "simulation/simulation.h"

namespace lichendrift::simulation {
namespace {

constexpr Millis kEndAt = 14'000;  // the attempts begin to end
constexpr Millis kNoticeMs = 60'000;
constexpr Millis kCopiesUntil = kEndAt + 45'000;
constexpr Millis kCopyInterval = 200;
// Each command has been executed and answered by then.
constexpr Millis kMinCopyAge = 100;
constexpr Millis kLongerThanALease = 10'000;
constexpr double kLongRunS = 200;

// How the attempts on the machine end.
enum class End : std::uint8_t {
    Moved,      // the machine gets a spot notice, and the tasks run elsewhere
    Cancelled,  // the user cancels the job
    Completed,  // the tasks complete; of a service, replicas end and are started again
};
constexpr End kEnds[] = {End::Moved, End::Cancelled, End::Completed};

// Array, gang and service, as the simulated users name them.
constexpr const char* kKinds[] = {"sweep", "ensemble", "service"};

// What comes back, within a second or a little later.
enum class Comeback : std::uint8_t {
    Nothing,
    LeaderAtOnce,
    AllControllersAtOnce,
    AnotherLeader,
    LeaderAndAnotherDuringTheElection,
    MachineWithinItsLease,
    MachineAfterItsLease,
    AgentInItsSession,
    AgentWithoutMemory,
    LeaderAndAgentInItsSession,
    LeaderAndAgentWithoutMemory,
};

// When it goes away, relative to the end of the attempts.
constexpr Millis kMoments[] = {-3000, -300, 100, 600, 1500, 4000};

struct Order {
    const char* kind = kKinds[0];
    End end = End::Moved;
    Comeback comeback = Comeback::Nothing;
    Millis moment = 0;
};

struct Result {
    std::string violation;
    std::uint64_t starts_by_copies = 0;
};

class LateCopies {
  public:
    LateCopies(const Order& order, const Options& options) : order_(order), simulation_(options) {
        simulation_.record_direct_commands();
        add_job();
        simulation_.at(kEndAt, [this] { end_attempts(); });
        simulation_.at(kEndAt + order.moment, [this] { go_away(); });
        for (Millis t = kEndAt + kCopyInterval; t < kCopiesUntil; t += kCopyInterval) {
            simulation_.at(t, [this] { deliver_copies(); });
        }
    }
    Result run() {
        simulation_.advance(kCopiesUntil + 10'000);
        return {simulation_.violation(), simulation_.starts_by_copies()};
    }

  private:
    void add_job() {
        auto job = batch_job("job-000001", 4, kLongRunS);
        if (std::string(order_.kind) == "service") job = service("job-000001", 4, 0);
        job.kind = order_.kind;
        job.apart = false;
        if (order_.end == End::Completed) {
            job.run_s = 6;
            job.replica_s = 6;
        }
        job.cpus = 2;
        simulation_.jobs().push_back(job);
    }
    // The first machine with tasks of the job at the time of the end.
    Worker* machine() {
        if (machine_.empty()) {
            for (const auto& [name, worker] : simulation_.workers()) {
                if (machine_.empty() && !worker.gone && !worker.tasks.empty()) machine_ = name;
            }
        }
        const auto found = simulation_.workers().find(machine_);
        return found == simulation_.workers().end() || found->second.gone ? nullptr
                                                                          : &found->second;
    }
    void end_attempts() {
        auto* worker = machine();
        if (order_.end == End::Cancelled) simulation_.cancel(simulation_.jobs().front());
        if (order_.end == End::Moved && worker != nullptr) {
            worker->interrupted_at = simulation_.now() + kNoticeMs;
            worker->changed = true;
        }
    }
    void go_away() {
        const auto leader = simulation_.leader();
        auto* worker = machine();
        if (!leader || worker == nullptr) return;
        switch (order_.comeback) {
            case Comeback::Nothing:
                return;
            case Comeback::LeaderAtOnce:
                return simulation_.crash(*leader, 200);
            case Comeback::AllControllersAtOnce:
                for (std::size_t n = 0; n < simulation_.node_count(); ++n)
                    simulation_.crash(n, 300);
                return;
            case Comeback::AnotherLeader:
                return simulation_.crash(*leader, 20'000);
            case Comeback::LeaderAndAnotherDuringTheElection:
                simulation_.crash(*leader, 100);
                return simulation_.at(simulation_.now() + 400,
                                      [this, other = (*leader + 1) % simulation_.node_count()] {
                                          simulation_.crash(other, 100);
                                      });
            case Comeback::MachineWithinItsLease:
                worker->hung_until = simulation_.now() + 900;
                return;
            case Comeback::MachineAfterItsLease:
                // The agent finds that its lease has run out, and begins its next session.
                worker->last_acknowledged_sent_at = simulation_.now() - kLongerThanALease;
                return;
            case Comeback::AgentInItsSession:
                return simulation_.restart_agent(*worker, Simulation::AgentMemory::Kept);
            case Comeback::AgentWithoutMemory:
                return simulation_.restart_agent(*worker, Simulation::AgentMemory::Lost);
            case Comeback::LeaderAndAgentInItsSession:
                simulation_.crash(*leader, 200);
                return simulation_.restart_agent(*worker, Simulation::AgentMemory::Kept);
            case Comeback::LeaderAndAgentWithoutMemory:
                simulation_.crash(*leader, 200);
                return simulation_.restart_agent(*worker, Simulation::AgentMemory::Lost);
        }
    }
    void deliver_copies() {
        // An agent that knows neither token nor session executes any command until a controller has
        // answered it. No controller can keep a copy from it in that time.
        const auto* worker = machine();
        if (worker != nullptr && worker->token == 0) return;
        simulation_.replay_direct_commands(kMinCopyAge);
    }

    Order order_;
    Simulation simulation_;
    std::string machine_;
};

Options options_for_copies(std::uint64_t seed) {
    auto options = fault_free_options(seed);
    options.machines = 5;
    options.nodes = seed % 2 == 0 ? 5 : 3;
    options.busy_ms = 60'000;
    return options;
}

std::string text(const Order& order) {
    return std::string(order.kind) + ", end " + std::to_string(static_cast<int>(order.end)) +
           ", moment " + std::to_string(order.moment);
}

// Plays all orders of events with this comeback and returns the results that are not clean.
std::vector<std::string> broken_orders(Comeback comeback, const Options& options,
                                       bool copies_may_start) {
    std::vector<std::string> broken;
    for (const auto* kind : kKinds) {
        for (const auto end : kEnds) {
            for (const auto moment : kMoments) {
                const Order order{kind, end, comeback, moment};
                const auto result = LateCopies(order, options).run();
                if (!result.violation.empty()) {
                    broken.push_back(text(order) + ": " + result.violation);
                } else if (result.starts_by_copies > 0 && !copies_may_start) {
                    broken.push_back(text(order) + ": a copy starts a task");
                }
            }
        }
    }
    return broken;
}

constexpr std::uint64_t kFirstSeed = 61;

// LATE_COPIES_SEEDS sets the number of seeds of each case, for long runs by hand.
std::uint64_t seeds() {
    constexpr std::uint64_t kSeeds = 2;
    // NOLINTNEXTLINE(concurrency-mt-unsafe): no other thread runs.
    const char* const wanted = std::getenv("LATE_COPIES_SEEDS");
    return wanted == nullptr ? kSeeds : std::strtoull(wanted, nullptr, 10);
}

struct ComebackCase {
    const char* name;
    Comeback comeback;
    bool copies_may_start = false;  // on the machine that counts as running the attempt
};

// Prints the name of the case in lists of tests instead of its bytes.
void PrintTo(const ComebackCase& test_case, std::ostream* out) { *out << test_case.name; }

class LateCopiesOfRuns : public ::testing::TestWithParam<ComebackCase> {};

// Guards against a task on two machines at once and against a cancelled task that runs again, when
// a controller or a machine is back within a second and late copies of executed runs arrive.
TEST_P(LateCopiesOfRuns, StartNothing) {
    for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + seeds(); ++seed) {
        const auto broken = broken_orders(GetParam().comeback, options_for_copies(seed),
                                          GetParam().copies_may_start);
        EXPECT_TRUE(broken.empty())
            << "seed " << seed << ": " << broken.size() << " orders, the first: " << broken.front();
    }
}
INSTANTIATE_TEST_SUITE_P(
    Comebacks, LateCopiesOfRuns,
    ::testing::Values(
        ComebackCase{"Nothing", Comeback::Nothing},
        ComebackCase{"LeaderAtOnce", Comeback::LeaderAtOnce},
        ComebackCase{"AllControllersAtOnce", Comeback::AllControllersAtOnce},
        ComebackCase{"AnotherLeader", Comeback::AnotherLeader},
        ComebackCase{"LeaderAndAnotherDuringTheElection",
                     Comeback::LeaderAndAnotherDuringTheElection},
        ComebackCase{"MachineWithinItsLease", Comeback::MachineWithinItsLease},
        ComebackCase{"MachineAfterItsLease", Comeback::MachineAfterItsLease},
        ComebackCase{"AgentInItsSession", Comeback::AgentInItsSession, true},
        ComebackCase{"AgentWithoutMemory", Comeback::AgentWithoutMemory, true},
        ComebackCase{"LeaderAndAgentInItsSession", Comeback::LeaderAndAgentInItsSession, true},
        ComebackCase{"LeaderAndAgentWithoutMemory", Comeback::LeaderAndAgentWithoutMemory, true}),
    [](const auto& param) { return std::string(param.param.name); });

// A guard without which copies start tasks after some orders of events with this comeback.
struct MissingGuardCase {
    const char* name;
    Comeback comeback;
    void (*remove_guard)(Options&);
    bool copies_may_start = false;
};

// Prints the name of the case in lists of tests instead of its bytes.
void PrintTo(const MissingGuardCase& test_case, std::ostream* out) { *out << test_case.name; }

class LateCopiesWithoutAGuard : public ::testing::TestWithParam<MissingGuardCase> {};

TEST_P(LateCopiesWithoutAGuard, AreDetected) {
    auto options = options_for_copies(kFirstSeed);
    GetParam().remove_guard(options);
    const auto& test_case = GetParam();
    EXPECT_FALSE(broken_orders(test_case.comeback, options, test_case.copies_may_start).empty());
}

void let_reaps_keep_the_token(Options& options) { options.guards.reap_raises_token = false; }
void let_workers_accept_any_token(Options& options) { options.workers_check_tokens = false; }
void let_workers_accept_any_session(Options& options) { options.workers_check_sessions = false; }
void let_halts_keep_the_token(Options& options) { options.guards.halt_raises_token = false; }
void release_lost_attempts_at_once(Options& options) {
    options.guards.lost_attempts_await_token = false;
}

INSTANTIATE_TEST_SUITE_P(
    Comebacks, LateCopiesWithoutAGuard,
    ::testing::Values(
        // Within a term only the token that rises with a reap refuses the copies.
        MissingGuardCase{"NothingAndNoHigherToken", Comeback::Nothing, let_reaps_keep_the_token},
        MissingGuardCase{"MachineWithinItsLeaseAndNoHigherToken", Comeback::MachineWithinItsLease,
                         let_reaps_keep_the_token},
        // Across terms the block of tokens of the new term does.
        MissingGuardCase{"LeaderAtOnceAndAnyToken", Comeback::LeaderAtOnce,
                         let_workers_accept_any_token},
        MissingGuardCase{"AllControllersAtOnceAndAnyToken", Comeback::AllControllersAtOnce,
                         let_workers_accept_any_token},
        MissingGuardCase{"AnotherLeaderAndAnyToken", Comeback::AnotherLeader,
                         let_workers_accept_any_token},
        MissingGuardCase{"LeaderAndAnotherDuringTheElectionAndAnyToken",
                         Comeback::LeaderAndAnotherDuringTheElection, let_workers_accept_any_token},
        // In a later session of the worker its session does.
        MissingGuardCase{"MachineAfterItsLeaseAndAnySession", Comeback::MachineAfterItsLease,
                         let_workers_accept_any_session},
        // An agent that restarts may lose an attempt without a reap and without a new session.
        MissingGuardCase{"AgentInItsSessionAndNoHigherTokenWithHalts", Comeback::AgentInItsSession,
                         let_halts_keep_the_token, true},
        MissingGuardCase{"AgentWithoutMemoryAndNoHigherTokenWithHalts",
                         Comeback::AgentWithoutMemory, let_halts_keep_the_token, true},
        MissingGuardCase{"AgentInItsSessionAndLostAttemptsReleased", Comeback::AgentInItsSession,
                         release_lost_attempts_at_once, true}),
    [](const auto& param) { return std::string(param.param.name); });

}  // namespace
}  // namespace lichendrift::simulation
