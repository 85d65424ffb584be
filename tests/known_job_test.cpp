// Repeated submissions of jobs that were accepted earlier. Such a job has passed every check that a
// new job has to pass, and none of them may refuse it later, whatever has changed since.
#include <gtest/gtest.h>

#include "simulation/messages.h"
#include "simulation/simulation.h"

namespace lichendrift::simulation {
namespace {

constexpr std::size_t kNodes = 3;
constexpr double kNextValueKb = 1;
constexpr int kSmallJobTypes = 1;
// So many names of machine types make a description longer than kNextValueKb.
constexpr int kLargeJobTypes = 60;
const std::string kJobId = "job-000001";

std::string machine_types(int count) {
    std::string list = R"("box")";
    for (int n = 1; n < count; ++n) {
        list += R"(,"box-of-another-generation-)" + std::to_string(n) + R"(")";
    }
    return list;
}

std::string submission_body(const std::string& id, int types, const std::string& cls = "c") {
    return R"({"nameId":")" + id + R"(","classe":")" + cls +
           R"(","ufficio":"core","genere":"sweep","urgenza":"normal","prove":2,"cpus":1.0,)"
           R"("gpus":0.0,"memGb":1.0,"fascicolo":"i","imageGb":1.0,"modelli":[)" +
           machine_types(types) +
           R"(],"oneZone":false,"apart":false,"inPrestito":true,"durataS":3.0,)"
           R"("salvataggioOgniS":0.0,"salvataggioS":0.0})";
}

std::string state_in(const net::HttpReply& reply) {
    if (reply.status != 200 && reply.status != 201) return std::to_string(reply.status);
    return parsed(reply.body)["stato"].GetString();
}

Options options_with_limits(bool announced) {
    auto options = fault_free_options(51);
    options.nodes = kNodes;
    options.next.value_kb = kNextValueKb;
    options.limits_announced = announced;
    return options;
}

class KnownJob : public ::testing::Test {
  protected:
    explicit KnownJob(const Options& options = options_with_limits(true)) : simulation_(options) {
        simulation_.advance(4000);
        simulation_.observe([this](std::size_t, const net::HttpRequest& request) {
            if (request.target.starts_with("/store/over/")) ++terminal_state_reads_;
        });
    }
    void pause(Millis ms) { simulation_.advance(simulation_.now() + ms); }
    std::size_t leader() const { return simulation_.leader().value_or(0); }
    std::size_t follower() const { return (leader() + 1) % kNodes; }

    net::HttpReply submit(std::size_t node, const std::string& body) {
        return simulation_.send_and_wait(node, {"POST", "/v2/runs", body});
    }
    std::string submit_large(std::size_t node, const std::string& id = kJobId) {
        return state_in(submit(node, submission_body(id, kLargeJobTypes)));
    }
    // The job is accepted, and its tasks complete.
    void complete(const std::string& body) {
        ASSERT_EQ(submit(leader(), body).status, 201);
        Job job = batch_job(kJobId, 2, 3);
        job.submitted = true;
        job.accepted_at = simulation_.now();
        simulation_.jobs().push_back(job);
        pause(20'000);
        const auto reply = simulation_.send_and_wait(0, {"GET", "/v2/runs/" + kJobId, ""});
        ASSERT_EQ(state_in(reply), "done");
        // Its simulated user asks no more, so that only the test's requests bring it up.
        simulation_.jobs().clear();
    }
    // Afterwards no controller has the job or its end in memory.
    void restart_all() {
        for (std::size_t node = 0; node < kNodes; ++node) simulation_.crash(node, 500);
        pause(8000);
        ASSERT_TRUE(simulation_.leader());
    }
    // Submits new jobs to one controller without waiting until it has queued as many as it may.
    void fill_queue(std::size_t node) {
        constexpr std::size_t kQueuedAndInFlight = 300 + 2 * kMaxTransactionOperations;
        simulation_.delay_state_answers([](const std::string&, const net::HttpRequest& request) {
            return request.target == "/txn" ? Millis{1000} : Millis{0};
        });
        for (std::size_t n = 0; n < kQueuedAndInFlight; ++n) {
            const auto body = submission_body(numbered_job_id(1000 + n), kSmallJobTypes);
            simulation_.send_counted(node, {"POST", "/v2/runs", body});
        }
        pause(10);
    }

    Simulation simulation_;
    std::size_t terminal_state_reads_ = 0;
};

class KnownJobWithoutWrites : public KnownJob {
  protected:
    KnownJobWithoutWrites()
        : KnownJob([] {
              auto options = options_with_limits(false);
              options.next = {};
              options.next.write_rps = 0;
              return options;
          }()) {}
};

class KnownJobUnannouncedLimits : public KnownJob {
  protected:
    KnownJobUnannouncedLimits() : KnownJob(options_with_limits(false)) {}
};

// Guards against 400 for an accepted job whose description is longer than the state service's
// lowered limit: by the leader and by followers, which learn of the limit by a rejected transaction
// and then refuse without one.
TEST_F(KnownJob, CompletedJobAboveTheLoweredLimitIsAnsweredByEveryController) {
    complete(submission_body(kJobId, kLargeJobTypes));
    restart_all();
    simulation_.apply_next_limits();
    for (int round = 0; round < 3; ++round) {
        for (std::size_t node = 0; node < kNodes; ++node) {
            EXPECT_EQ(submit_large(node), "done") << "controller " << node << ", round " << round;
        }
    }
    EXPECT_EQ(simulation_.violation(), "");
}

// The same where the limit falls without an announcement in the settings.
TEST_F(KnownJobUnannouncedLimits, CompletedJobIsAnsweredByEveryController) {
    complete(submission_body(kJobId, kLargeJobTypes));
    restart_all();
    simulation_.apply_next_limits();
    for (int round = 0; round < 3; ++round) {
        for (std::size_t node = 0; node < kNodes; ++node) {
            const auto state = submit_large(node);
            EXPECT_TRUE(state == "done" || state == "503") << state;
        }
    }
    for (std::size_t node = 0; node < kNodes; ++node) EXPECT_EQ(submit_large(node), "done");
}

// The same for a cancelled job.
TEST_F(KnownJob, CancelledJobAboveTheLoweredLimitIsAnswered) {
    ASSERT_EQ(submit_large(leader()), "pending");
    const auto cancelled =
        simulation_.send_and_wait(0, {"POST", "/v2/runs/" + kJobId + "/cancel", ""});
    ASSERT_EQ(state_in(cancelled), "aborted");
    restart_all();
    simulation_.apply_next_limits();
    for (int round = 0; round < 2; ++round) {
        for (std::size_t node = 0; node < kNodes; ++node) EXPECT_EQ(submit_large(node), "aborted");
    }
}

// The same for a follower that the state service refuses and that forwards the repeat.
TEST_F(KnownJob, ForwardedRepeatAboveTheLoweredLimitIsAnswered) {
    complete(submission_body(kJobId, kLargeJobTypes));
    restart_all();
    simulation_.apply_next_limits();
    const auto node = follower();
    simulation_.refuse_state_requests(node, 30'000);
    pause(6000);
    EXPECT_EQ(submit_large(node), "done");
    EXPECT_EQ(submit_large(node), "done");
    EXPECT_EQ(submit_large(node, "job-000002"), "400");
}

// Guards against 503 for an accepted job by a follower that knows of its end and forwards the
// repeat to a leader that does not answer.
TEST_F(KnownJob, ForwardedRepeatWithoutAnAnswerIsAnsweredFromMemory) {
    complete(submission_body(kJobId, kSmallJobTypes));
    const auto node = follower();
    const auto poll = simulation_.send_and_wait(node, {"GET", "/v2/runs/" + kJobId, ""});
    ASSERT_EQ(state_in(poll), "done");
    simulation_.refuse_state_requests(node, 30'000);
    pause(6000);
    ASSERT_EQ(submit(node, submission_body("job-000003", kSmallJobTypes)).status, 201);
    simulation_.partition(node_name(node), node_name(leader()), 20'000, false);
    EXPECT_EQ(state_in(submit(node, submission_body(kJobId, kSmallJobTypes))), "done");
    EXPECT_EQ(submit(node, submission_body("job-000002", kSmallJobTypes)).status, 503);
}

// The same for a repeat that shares its transaction with new jobs.
TEST_F(KnownJob, RepeatInABatchWithNewJobsAboveTheLoweredLimitIsAnswered) {
    complete(submission_body(kJobId, kLargeJobTypes));
    restart_all();
    simulation_.apply_next_limits();
    const auto node = follower();
    // Two transactions in flight, so that what comes next is queued and sent in one.
    for (std::size_t n = 0; n < 2; ++n) {
        const auto body = submission_body(numbered_job_id(500 + n), kSmallJobTypes);
        simulation_.send_counted(node, {"POST", "/v2/runs", body});
    }
    std::optional<net::HttpReply> small;
    simulation_.send(node, {"POST", "/v2/runs", submission_body("job-000600", kSmallJobTypes)},
                     [&](const net::HttpReply& reply) { small = reply; });
    EXPECT_EQ(submit_large(node), "done");
    pause(1000);
    ASSERT_TRUE(small);
    // Its transaction was rejected together with the long description: it is to be sent again.
    EXPECT_TRUE(small->status == 201 || small->status == 503) << small->status;
}

// The same for a job that is open and not yet in the copy of the controller that gets the repeat.
TEST_F(KnownJob, OpenJobUnknownToTheCopyIsAnsweredAboveTheLoweredLimit) {
    const auto node = follower();
    // The controller has learnt of the limit by the time the job is accepted elsewhere.
    const auto larger = submission_body("job-000002", kLargeJobTypes);
    simulation_.apply_next_limits();
    ASSERT_EQ(submit(node, larger).status, 400);
    simulation_.lift_next_limits();
    ASSERT_EQ(submit_large(leader()), "pending");
    EXPECT_EQ(submit_large(node), "pending");
}

// A new job that is too large is refused by each controller, before and after it knows the limit.
TEST_F(KnownJob, NewJobAboveTheLoweredLimitGets400) {
    simulation_.apply_next_limits();
    for (int round = 0; round < 2; ++round) {
        for (std::size_t node = 0; node < kNodes; ++node) {
            EXPECT_EQ(submit_large(node), "400") << "controller " << node << ", round " << round;
        }
    }
    const auto poll = simulation_.send_and_wait(0, {"GET", "/v2/runs/" + kJobId, ""});
    EXPECT_EQ(poll.status, 404);
}

// A job that is too large is neither accepted nor refused while the state service cannot say
// whether it is known.
TEST_F(KnownJob, LargeRepeatGets503WhileTheStateServiceIsOut) {
    complete(submission_body(kJobId, kLargeJobTypes));
    restart_all();
    simulation_.apply_next_limits();
    ASSERT_EQ(submit_large(follower()), "done");
    simulation_.crash(follower(), 300);
    pause(4000);
    simulation_.state_outage(5000);
    EXPECT_EQ(submit_large(follower()), "503");
    pause(8000);
    EXPECT_EQ(submit_large(follower()), "done");
}

// Guards against 400 for accepted jobs after the state service rejected a transaction for another
// reason than its size, which lowered the controller's own limit.
TEST_F(KnownJob, RepeatAfterATransactionRejectedForItsEncodingIsAnswered) {
    constexpr int kTypes = 30;
    const auto node = follower();
    const auto body = submission_body(kJobId, kTypes);
    // "qualità" in ISO 8859-1 is no JSON.
    const auto malformed = submission_body("job-000002", kTypes, "qualit\xE0");
    for (int tries = 0; tries < 3; ++tries) {
        const auto status = submit(node, malformed).status;
        EXPECT_TRUE(status == 400 || status == 503) << status;
    }
    ASSERT_EQ(submit(leader(), body).status, 201);
    EXPECT_EQ(state_in(submit(node, body)), "pending");
}

// Guards against 503 for an accepted job by a controller that does not know the machine types yet,
// which only new jobs need.
TEST_F(KnownJob, RepeatWhileTheMachineTypesAreUnknownIsAnswered) {
    complete(submission_body(kJobId, kSmallJobTypes));
    simulation_.cloud_outage(60'000);
    restart_all();
    for (std::size_t node = 0; node < kNodes; ++node) {
        EXPECT_EQ(state_in(submit(node, submission_body(kJobId, kSmallJobTypes))), "done");
        EXPECT_EQ(submit(node, submission_body("job-000002", kSmallJobTypes)).status, 503);
    }
}

// Guards against 422 for an accepted job that would not be accepted any more.
TEST_F(KnownJob, RepeatThatFitsNoMachineTypeAnyMoreIsAnswered) {
    complete(submission_body(kJobId, kSmallJobTypes));
    restart_all();
    auto body = submission_body(kJobId, kSmallJobTypes);
    body.replace(body.find("\"cpus\":1.0"), 10, "\"cpus\":9.0");
    for (std::size_t node = 0; node < kNodes; ++node)
        EXPECT_EQ(state_in(submit(node, body)), "done");
}

// Guards against 503 for an accepted job by a controller that has more new jobs queued than it may.
TEST_F(KnownJob, RepeatAtAFullQueueIsAnswered) {
    complete(submission_body(kJobId, kSmallJobTypes));
    restart_all();
    const auto node = follower();
    fill_queue(node);
    EXPECT_EQ(submit(node, submission_body("job-000002", kSmallJobTypes)).status, 503);
    EXPECT_EQ(state_in(submit(node, submission_body(kJobId, kSmallJobTypes))), "done");
}

// Guards against 503 for an accepted job while the state service takes no writes, which only new
// jobs need.
TEST_F(KnownJobWithoutWrites, RepeatIsAnswered) {
    complete(submission_body(kJobId, kSmallJobTypes));
    restart_all();
    simulation_.apply_next_limits();
    for (std::size_t node = 0; node < kNodes; ++node) {
        EXPECT_EQ(state_in(submit(node, submission_body(kJobId, kSmallJobTypes))), "done");
        EXPECT_EQ(submit(node, submission_body("job-000002", kSmallJobTypes)).status, 503);
    }
}

// The lookups of refused submissions are limited under overload.
TEST_F(KnownJob, FloodOfNewJobsCausesALimitedNumberOfLookups) {
    constexpr std::size_t kFlood = 400;
    constexpr std::size_t kMaxLookups = 50;
    const auto node = follower();
    fill_queue(node);
    terminal_state_reads_ = 0;
    for (std::size_t n = 0; n < kFlood; ++n) {
        const auto body = submission_body(numbered_job_id(5000 + n), kSmallJobTypes);
        simulation_.send_counted(node, {"POST", "/v2/runs", body});
    }
    pause(100);
    EXPECT_GT(terminal_state_reads_, 0U);
    EXPECT_LE(terminal_state_reads_, kMaxLookups);
}

// A new job that fits is stored without any read of the state service.
TEST_F(KnownJob, NewJobsCauseNoLookups) {
    terminal_state_reads_ = 0;
    for (std::size_t n = 0; n < 20; ++n) {
        const auto body = submission_body(numbered_job_id(700 + n), kSmallJobTypes);
        ASSERT_EQ(submit(n % kNodes, body).status, 201);
    }
    EXPECT_EQ(terminal_state_reads_, 0U);
}

}  // namespace
}  // namespace lichendrift::simulation
