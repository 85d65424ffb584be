// Users' requests that meet an operation in flight on the same controller. The state service may
// have carried out that operation before the request came, so its result alone must not answer the
// request.
#include <gtest/gtest.h>

#include <cstdlib>

#include "simulation/messages.h"
#include "simulation/simulation.h"

namespace lichendrift::simulation {
namespace {

const std::string kJobId = "job-000001";
const std::string kJobTarget = "/v2/runs/" + kJobId;
const std::string kTerminalStateTarget = "/store/over/" + kJobId;

std::string submission_body(double cpus = 1) {
    return R"({"nameId":")" + kJobId +
           R"(","classe":"c","ufficio":"core","genere":"sweep","urgenza":"normal","prove":2,)"
           R"("cpus":)" +
           std::to_string(cpus) +
           R"(,"gpus":0.0,"memGb":1.0,"fascicolo":"i","imageGb":1.0,"oneZone":false,)"
           R"("apart":false,"inPrestito":true,"durataS":60.0,"salvataggioOgniS":0.0,)"
           R"("salvataggioS":0.0})";
}

std::string state_in(const net::HttpReply& reply) {
    if (reply.status != 200 && reply.status != 201) return std::to_string(reply.status);
    return parsed(reply.body)["stato"].GetString();
}

// Two controllers cannot reach each other, so one does not learn of a cancellation that the other
// confirms before it reads the state service.
class AnswerFreshness : public ::testing::Test {
  protected:
    static constexpr Millis kAnswerDelayMs = 400;

    AnswerFreshness() : simulation_(fault_free_options(41)) {
        simulation_.advance(4000);
        const auto leader = simulation_.leader();
        if (!leader) throw std::runtime_error("no leader");
        asked_ = *leader == 0 ? 1 : 0;
        other_ = 1 - asked_;
        simulation_.partition(node_name(asked_), node_name(other_), 600'000, false);
        simulation_.observe([this](std::size_t node, const net::HttpRequest& request) {
            if (node == asked_ && request.target == kTerminalStateTarget) ++terminal_state_reads_;
        });
    }
    // The state service carries out the next such request of the asked controller at once and
    // answers it kAnswerDelayMs later. `what`: the request's target or a part of its body.
    void delay_next_answer(const std::string& what) {
        simulation_.delay_state_answers(
            [this, what, delayed = false](const std::string& from,
                                          const net::HttpRequest& request) mutable -> Millis {
                const bool matches =
                    request.target == what || request.body.find(what) != std::string::npos;
                if (delayed || from != node_name(asked_) || !matches) return 0;
                delayed = true;
                return kAnswerDelayMs;
            });
    }
    void pause(Millis ms) { simulation_.advance(simulation_.now() + ms); }
    net::HttpReply submit(std::size_t node, double cpus = 1) {
        return simulation_.send_and_wait(node, {"POST", "/v2/runs", submission_body(cpus)});
    }
    net::HttpReply poll(std::size_t node) {
        return simulation_.send_and_wait(node, {"GET", kJobTarget, ""});
    }
    net::HttpReply cancel(std::size_t node) {
        return simulation_.send_and_wait(node, {"POST", kJobTarget + "/cancel", ""});
    }
    // The asked controller has a read of the job's terminal state in flight that was carried out
    // before the job was submitted, and another controller has confirmed the job's cancellation.
    void cancel_elsewhere_during_a_read() {
        delay_next_answer(kTerminalStateTarget);
        simulation_.send(asked_, {"GET", kJobTarget, ""},
                         [this](const net::HttpReply& reply) { early_ = reply; });
        pause(60);
        ASSERT_EQ(terminal_state_reads_, 1U);
        ASSERT_EQ(submit(other_).status, 201);
        ASSERT_EQ(state_in(cancel(other_)), "aborted");
        ASSERT_FALSE(early_);
    }
    // The state service no longer keeps the changes that the asked controller's copy lacks.
    void reload_the_copy() {
        simulation_.compact_changes();
        ASSERT_EQ(state_in(poll(asked_)), "503");  // the copy is being loaded
        pause(50);
        ASSERT_FALSE(early_);
    }

    Simulation simulation_;
    std::size_t asked_ = 0;
    std::size_t other_ = 0;
    std::size_t terminal_state_reads_ = 0;  // of the asked controller
    std::optional<net::HttpReply> early_;   // the answer to the request that sent the operation
};

// Guards against 404 for an accepted job: a question joined a read of the job's terminal state that
// had been carried out before the job was submitted.
TEST_F(AnswerFreshness, QuestionAfterACancellationIsNotAnsweredFromAnEarlierRead) {
    cancel_elsewhere_during_a_read();
    const auto asked_at = simulation_.now();
    EXPECT_EQ(state_in(poll(asked_)), "aborted");
    // It neither waits for the slow answer nor reads the state again.
    EXPECT_LT(simulation_.now() - asked_at, 200);
    EXPECT_EQ(terminal_state_reads_, 1U);
    pause(kAnswerDelayMs);
    ASSERT_TRUE(early_);
    EXPECT_EQ(state_in(poll(asked_)), "aborted");
}

// The same for a repeated cancellation, which looks at the cache after the refresh.
TEST_F(AnswerFreshness, CancellationAfterACancellationIsNotAnsweredFromAnEarlierRead) {
    cancel_elsewhere_during_a_read();
    EXPECT_EQ(state_in(cancel(asked_)), "aborted");
}

// Guards against 422 for an accepted job: the same for a repeated submission that fits no machine.
TEST_F(AnswerFreshness, InfeasibleRepeatIsNotRefusedByAnEarlierRead) {
    cancel_elsewhere_during_a_read();
    EXPECT_EQ(state_in(submit(asked_, kMachineCpus + 1)), "aborted");
}

// Guards against 404 for an accepted job after the copy of the open jobs was loaded anew: it then
// lacks the terminal states that were stored since the read in flight.
TEST_F(AnswerFreshness, QuestionAfterAReloadIsNotAnsweredFromAnEarlierRead) {
    cancel_elsewhere_during_a_read();
    reload_the_copy();
    EXPECT_EQ(state_in(poll(asked_)), "aborted");
    pause(kAnswerDelayMs);
    ASSERT_TRUE(early_);
    EXPECT_EQ(state_in(poll(asked_)), "aborted");
}

// Guards against the same for a repeated cancellation.
TEST_F(AnswerFreshness, CancellationAfterAReloadIsNotAnsweredFromAnEarlierRead) {
    cancel_elsewhere_during_a_read();
    reload_the_copy();
    EXPECT_EQ(state_in(cancel(asked_)), "aborted");
}

// Many questions about a job that nobody submitted share one read of its terminal state.
TEST_F(AnswerFreshness, QuestionsAboutAnUnknownJobShareOneRead) {
    delay_next_answer(kTerminalStateTarget);
    std::size_t not_found = 0;
    const auto before = simulation_.now();
    for (int i = 0; i < 20; ++i) {
        simulation_.send(asked_, {"GET", kJobTarget, ""}, [&](const net::HttpReply& reply) {
            not_found += reply.status == 404 ? 1 : 0;
        });
        pause(15);
    }
    simulation_.advance(before + kAnswerDelayMs + 30);
    EXPECT_EQ(not_found, 20U);
    EXPECT_EQ(terminal_state_reads_, 1U);
}

// Guards against "pending" for a cancelled job: a repeated submission joined one whose transaction
// had been carried out before the job was cancelled.
TEST_F(AnswerFreshness, RepeatAfterACancellationIsNotAnsweredFromAnEarlierTransaction) {
    delay_next_answer(kJobId);
    simulation_.send(asked_, {"POST", "/v2/runs", submission_body()},
                     [this](const net::HttpReply& reply) { early_ = reply; });
    pause(30);
    ASSERT_TRUE(simulation_.store().contains("open/" + kJobId));
    ASSERT_EQ(state_in(cancel(other_)), "aborted");
    ASSERT_FALSE(early_);
    const auto repeated_at = simulation_.now();
    EXPECT_EQ(state_in(submit(asked_)), "aborted");
    EXPECT_LT(simulation_.now() - repeated_at, 200);
    pause(kAnswerDelayMs);
    ASSERT_TRUE(early_);
    EXPECT_EQ(state_in(*early_), "aborted");
}

// Guards against the same after the copy of the open jobs was loaded anew: it then lacks the end of
// the job. CloseQuestions showed it on one of 1,645 days (seed 99144).
TEST_F(AnswerFreshness, RepeatAfterAReloadIsNotAnsweredFromAnEarlierTransaction) {
    delay_next_answer(kJobId);
    simulation_.send(asked_, {"POST", "/v2/runs", submission_body()},
                     [this](const net::HttpReply& reply) { early_ = reply; });
    pause(30);
    ASSERT_EQ(state_in(cancel(other_)), "aborted");
    reload_the_copy();
    EXPECT_EQ(state_in(submit(asked_)), "aborted");
}

// A submission that is repeated while its transaction is under way is written once.
TEST_F(AnswerFreshness, RepeatDuringASlowTransactionIsNotWrittenAgain) {
    std::size_t writes = 0;
    simulation_.observe([&](std::size_t node, const net::HttpRequest& request) {
        if (node != asked_ || request.target != "/txn") return;
        writes += request.body.find("open/" + kJobId) == std::string::npos ? 0 : 1;
    });
    simulation_.slow_state(300, 2000);
    std::size_t accepted = 0;
    for (int i = 0; i < 5; ++i) {
        simulation_.send(
            asked_, {"POST", "/v2/runs", submission_body()},
            [&](const net::HttpReply& reply) { accepted += state_in(reply) == "pending" ? 1 : 0; });
        pause(20);
    }
    pause(2000);
    EXPECT_EQ(accepted, 5U);
    EXPECT_EQ(writes, 1U);
}

// While the leader loads its copy of the open jobs anew, its watch brings a job that was accepted
// after the load's page was read.
class CopyReload : public ::testing::TestWithParam<int> {
  protected:
    CopyReload() : simulation_(fault_free_options(42)) {
        simulation_.advance(5200);
        const auto leader = simulation_.leader();
        if (!leader) throw std::runtime_error("no leader");
        leader_ = *leader;
        reload_the_copy();
        simulation_.advance(simulation_.now() + 50);
        submit(1);
    }
    [[nodiscard]] Millis load_ms() const { return 300 + 40 * static_cast<Millis>(GetParam()); }
    // The state service no longer keeps a change that the leader's copy lacks. The leader notices
    // at its next read, and the answer to its load takes load_ms().
    void reload_the_copy() {
        simulation_.serve("test", "state:1",
                          {"POST", "/txn", R"({"when":[],"then":[{"set":"token2","value":{}}]})"},
                          simulation_.now(), [](const net::HttpResponse&) {});
        simulation_.compact_changes();
        simulation_.delay_state_answers(
            [this](const std::string& from, const net::HttpRequest& request) -> Millis {
                const bool loads = request.target.starts_with("/store?prefix=open/");
                if (from != node_name(leader_) || !loads) return 0;
                ++loads_;
                return load_ms();
            });
        simulation_.send(leader_, {"GET", kJobTarget, ""}, [](const net::HttpReply&) {});
    }
    void submit(std::size_t number) {
        auto job = batch_job(numbered_job_id(number), 1, 5);
        job.via = (leader_ + 1) % 3;
        simulation_.jobs().push_back(job);
        simulation_.submit(simulation_.jobs().back());
    }

    Simulation simulation_;
    std::size_t leader_ = 0;
    int loads_ = 0;  // of the leader's copy
};

// Guards against tasks that are stopped for nothing: the leader took a job that the load did not
// show for cancelled, though it knew that the job had been accepted since.
TEST_P(CopyReload, JobAcceptedDuringALoadIsNotStopped) {
    EXPECT_EQ(simulation_.run(), "");
    EXPECT_EQ(simulation_.jobs().front().starts, 1U);
    EXPECT_EQ(loads_, 1);
}

// Guards against 404 for an accepted job: after the load the next change let the copy skip the job.
TEST_P(CopyReload, JobAcceptedDuringALoadIsKnown) {
    simulation_.advance(simulation_.now() + load_ms() - 40);
    submit(2);
    simulation_.advance(simulation_.now() + 200);
    EXPECT_EQ(simulation_.send_and_wait(leader_, {"GET", kJobTarget, ""}).status, 200);
    EXPECT_EQ(loads_, 1);
}
INSTANTIATE_TEST_SUITE_P(Loads, CopyReload, ::testing::Range(0, 8));

// Seeded days on which users ask at all controllers within milliseconds, from before a job is
// submitted until after its end, while answers of the state service are slow and controllers cannot
// reach each other.
class CloseQuestions : public ::testing::TestWithParam<int> {
  public:
    static constexpr std::size_t kJobs = 40;
    static constexpr Millis kJobIntervalMs = 900;

    static Options options(std::uint64_t seed) {
        auto options = fault_free_options(seed);
        options.nodes = seed % 3 == 0 ? 5 : 3;
        options.busy_ms = static_cast<Millis>(kJobs) * kJobIntervalMs + 10'000;
        options.settle_ms = 60'000;
        return options;
    }
    static void add_jobs(Simulation& simulation, std::mt19937_64& rng) {
        for (std::size_t n = 1; n <= kJobs; ++n) {
            auto job = batch_job(numbered_job_id(n), 1, 1 + static_cast<double>(rng() % 3),
                                 4000 + static_cast<Millis>(n) * kJobIntervalMs);
            if (rng() % 3 != 0) job.cancel_at = job.submit_at + static_cast<Millis>(rng() % 300);
            job.cancel_at_end = rng() % 3 == 0;
            simulation.jobs().push_back(job);
            simulation.ask_often(job.id, job.submit_at - 400, job.submit_at + 6000);
        }
    }
    static void add_faults(Simulation& simulation, std::mt19937_64& rng) {
        simulation.delay_state_answers(
            [&rng](const std::string&, const net::HttpRequest&) -> Millis {
                return rng() % 6 == 0 ? 100 + static_cast<Millis>(rng() % 600) : 0;
            });
        const auto nodes = simulation.node_count();
        for (Millis t = 5000; t < static_cast<Millis>(kJobs) * kJobIntervalMs; t += 3000) {
            const auto one = rng() % nodes;
            const auto other = (one + 1 + rng() % (nodes - 1)) % nodes;
            simulation.at(t, [&simulation, one, other] {
                simulation.partition(node_name(one), node_name(other), 2500, false);
            });
            if (rng() % 3 == 0) simulation.at(t + 1000, [&] { simulation.compact_changes(); });
        }
    }
    static void add_restarts_and_refusals(Simulation& simulation, std::mt19937_64& rng) {
        const auto nodes = simulation.node_count();
        for (Millis t = 6500; t < static_cast<Millis>(kJobs) * kJobIntervalMs; t += 4000) {
            const auto node = rng() % nodes;
            const auto span = 200 + static_cast<Millis>(rng() % 2500);
            if (rng() % 2 == 0) {
                simulation.at(t, [&simulation, node, span] { simulation.crash(node, span); });
            } else {
                simulation.at(t, [&simulation, node, span] {
                    simulation.refuse_state_requests(node, 2 * span);
                });
            }
        }
    }
    // CLOSE_QUESTION_DAYS sets the number of days of each case, for long runs by hand.
    static std::uint64_t days() {
        constexpr std::uint64_t kDays = 20;
        // NOLINTNEXTLINE(concurrency-mt-unsafe): no other thread runs.
        const char* const wanted = std::getenv("CLOSE_QUESTION_DAYS");
        return wanted == nullptr ? kDays : std::strtoull(wanted, nullptr, 10);
    }
};

// Guards against answers that are older than what another controller has told the user.
TEST_P(CloseQuestions, GetNoOlderAnswer) {
    for (std::uint64_t i = 0; i < days(); ++i) {
        const auto seed = 90'000 + static_cast<std::uint64_t>(GetParam()) * days() + i;
        std::mt19937_64 rng(seed);
        Simulation simulation(options(seed));
        add_jobs(simulation, rng);
        add_faults(simulation, rng);
        EXPECT_EQ(simulation.run(), "") << "seed " << seed;
    }
}

// The same while controllers restart, or are refused by the state service and forward requests.
TEST_P(CloseQuestions, GetNoOlderAnswerBesideRestarts) {
    for (std::uint64_t i = 0; i < days(); ++i) {
        const auto seed = 95'000 + static_cast<std::uint64_t>(GetParam()) * days() + i;
        std::mt19937_64 rng(seed);
        Simulation simulation(options(seed));
        add_jobs(simulation, rng);
        add_faults(simulation, rng);
        add_restarts_and_refusals(simulation, rng);
        EXPECT_EQ(simulation.run(), "") << "seed " << seed;
    }
}
INSTANTIATE_TEST_SUITE_P(Days, CloseQuestions, ::testing::Range(0, 4));

}  // namespace
}  // namespace lichendrift::simulation
