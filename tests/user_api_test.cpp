// Tests of the HTTP API for users, with malformed requests and during outages.
#include <gtest/gtest.h>

#include "simulation/simulation.h"

namespace lichendrift::simulation {
namespace {

std::string submission(const std::string& change_from = "", const std::string& change_to = "") {
    std::string body =
        R"({"nameId":"job-000001","classe":"c","ufficio":"core","genere":"sweep",)"
        R"("urgenza":"normal","prove":2,"cpus":1.0,"gpus":0.0,"memGb":1.0,"fascicolo":"i",)"
        R"("imageGb":1.0,"modelli":null,"sede":null,"oneZone":false,"apart":false,)"
        R"("inPrestito":true,"durataS":5.0,"salvataggioOgniS":0.0,"salvataggioS":0.0,)"
        R"("scadenzaS":null,"unheardOf":[1]})";
    if (!change_from.empty()) {
        const auto at = body.find(change_from);
        EXPECT_NE(at, std::string::npos) << change_from;
        body.replace(at, change_from.size(), change_to);
    }
    return body;
}

class UserApi : public ::testing::Test {
  protected:
    UserApi()
        : simulation_([] {
              Options options;
              options.faults = false;
              options.jobs = 0;
              return options;
          }()) {
        simulation_.advance(4000);
    }
    int submit(const std::string& body) {
        return simulation_.send_and_wait(0, {"POST", "/v2/runs", body}).status;
    }
    net::HttpReply get(const std::string& target, std::size_t node = 1) {
        return simulation_.send_and_wait(node, {"GET", target, ""});
    }
    Simulation simulation_;
};

TEST_F(UserApi, CreatesAJobOnceAndAnswersRepeatedSubmissions) {
    EXPECT_EQ(submit(submission()), 201);
    EXPECT_EQ(submit(submission()), 200);
    EXPECT_EQ(get("/v2/runs/job-000001").status, 200);
    EXPECT_EQ(get("/v2/runs/job-000002").status, 404);
    EXPECT_EQ(get("/v2/runs/nothing").status, 404);
}

TEST_F(UserApi, MalformedSubmissionsGet400) {
    for (const char* body : {"", "{", "[]", "3", "{}", "\"job\"", "null"}) {
        EXPECT_EQ(submit(body), 400) << body;
    }
    const std::pair<const char*, const char*> changes[] = {
        {"job-000001", "j-1"},
        {"job-000001", "job-"},
        {"job-000001", "job-1x"},
        {"\"prove\":2", "\"prove\":0"},
        {"\"prove\":2", "\"prove\":-1"},
        {"\"prove\":2", "\"prove\":100001"},
        {"\"prove\":2", "\"prove\":1.5"},
        {"\"prove\":2,", ""},
        {"\"cpus\":1.0", "\"cpus\":-1"},
        {"\"cpus\":1.0", "\"cpus\":1e999"},
        {"\"cpus\":1.0", "\"cpus\":\"1\""},
        {"sweep", "swoop"},
        {"normal", "urgent"},
        {"\"oneZone\":false", "\"oneZone\":0"},
        {"\"modelli\":null", "\"modelli\":[1]"},
        {"\"sede\":null", "\"sede\":\"\""},
        {"\"scadenzaS\":null", "\"scadenzaS\":-5"},
    };
    for (const auto& [from, to] : changes) EXPECT_EQ(submit(submission(from, to)), 400) << to;
    // Deeply nested input must not overflow the stack.
    EXPECT_EQ(submit(std::string(60'000, '[')), 400);
    EXPECT_EQ(submit(submission()), 201);
}

TEST_F(UserApi, InfeasibleJobsGet422) {
    EXPECT_EQ(submit(submission("\"core\"", "\"nobody\"")), 422);
    EXPECT_EQ(submit(submission("\"cpus\":1.0", "\"cpus\":9.0")), 422);
    EXPECT_EQ(submit(submission("\"modelli\":null", "\"modelli\":[\"other\"]")), 422);
    EXPECT_EQ(submit(submission("\"sede\":null", "\"sede\":\"z\"")), 422);
    // All tasks of a gang count against the team's limit of 40 CPUs; of an array job, one task.
    auto gang = submission("\"prove\":2", "\"prove\":41");
    EXPECT_EQ(submit(gang), 201);
    gang.replace(gang.find("sweep"), 5, "ensemble");
    gang.replace(gang.find("job-000001"), 10, "job-000009");
    EXPECT_EQ(submit(gang), 422);
}

TEST_F(UserApi, UnknownPathsGet404AndWrongMethodsGet405) {
    EXPECT_EQ(get("/nothing").status, 404);
    EXPECT_EQ(get("/v2/runs").status, 405);
    EXPECT_EQ(get("/v2/runs/job-000001/cancel").status, 405);
    EXPECT_EQ(simulation_.send_and_wait(0, {"DELETE", "/v2/runs/job-000001", ""}).status, 405);
    EXPECT_EQ(get("/v2/runs/job-000001/x").status, 404);
    EXPECT_EQ(get("/healthz").status, 200);
}

TEST_F(UserApi, MalformedHeartbeatsGet400AndChangeNothing) {
    for (const char* body : {"", "{}", "[]", R"({"banco":1})"}) {
        EXPECT_EQ(simulation_.send_and_wait(0, {"POST", "/agent/beat", body}).status, 400) << body;
    }
    EXPECT_EQ(simulation_.violation(), "");
}

TEST_F(UserApi, CancellationIsFinalOnEveryNode) {
    EXPECT_EQ(submit(submission()), 201);
    const auto reply = simulation_.send_and_wait(2, {"POST", "/v2/runs/job-000001/cancel", ""});
    EXPECT_EQ(reply.status, 200);
    EXPECT_NE(reply.body.find("aborted"), std::string::npos);
    for (std::size_t n = 0; n < 3; ++n) {
        EXPECT_NE(get("/v2/runs/job-000001", n).body.find("aborted"), std::string::npos);
        EXPECT_EQ(simulation_.send_and_wait(n, {"POST", "/v2/runs", submission()}).status, 200);
    }
    EXPECT_EQ(simulation_.send_and_wait(0, {"POST", "/v2/runs/job-000077/cancel", ""}).status, 404);
}

TEST_F(UserApi, RepeatedSubmissionOfACompletedJobAnswersDoneAfterRestarts) {
    EXPECT_EQ(submit(submission()), 201);
    // The simulated workers run only jobs that the simulation has in its list.
    Job j;
    j.id = "job-000001";
    j.count = 2;
    j.run_s = 3;
    j.submitted = true;
    j.accepted_at = simulation_.now();
    simulation_.jobs().push_back(j);
    simulation_.advance(simulation_.now() + 30'000);
    for (std::size_t n = 0; n < 3; ++n) simulation_.crash(n, 500);
    simulation_.advance(simulation_.now() + 10'000);
    const auto reply = simulation_.send_and_wait(1, {"POST", "/v2/runs", submission()});
    EXPECT_EQ(reply.status, 200);
    EXPECT_NE(reply.body.find("done"), std::string::npos);
    EXPECT_EQ(simulation_.violation(), "");
}

TEST_F(UserApi, SingleNodeRefusedByTheStateServiceForwardsRequests) {
    const auto leader = simulation_.leader();
    ASSERT_TRUE(leader);
    const auto other = (*leader + 1) % 3;
    simulation_.refuse_state_requests(other, 20'000);
    simulation_.advance(simulation_.now() + 6000);
    EXPECT_EQ(simulation_.send_and_wait(other, {"POST", "/v2/runs", submission()}).status, 201);
    EXPECT_EQ(get("/v2/runs/job-000001", other).status, 200);
    // It forwards requests, so it stays in rotation, even after a restart during the refusal.
    EXPECT_EQ(get("/healthz", other).status, 200);
    simulation_.crash(other, 300);
    simulation_.advance(simulation_.now() + 3000);
    EXPECT_EQ(get("/healthz", other).status, 200);
    EXPECT_EQ(get("/v2/runs/job-000001", other).status, 200);
}

TEST_F(UserApi, NodeCutOffFromStateServiceAndPeersIsUnhealthy) {
    const auto leader = simulation_.leader();
    ASSERT_TRUE(leader);
    const auto other = (*leader + 1) % 3;
    simulation_.partition("n" + std::to_string(other), "state", 20'000, true);
    simulation_.partition("n" + std::to_string(other), "n", 20'000, true);
    simulation_.advance(simulation_.now() + 9000);
    EXPECT_EQ(get("/healthz", other).status, 503);
    simulation_.advance(simulation_.now() + 20'000);
    EXPECT_EQ(get("/healthz", other).status, 200);
}

TEST_F(UserApi, AcceptsSubmissionsSoonAfterAStateServiceOutage) {
    simulation_.state_outage(4000);
    simulation_.advance(simulation_.now() + 1500);
    // Refused submissions send no requests to the state service, so the node itself has to detect
    // that the service has recovered.
    for (std::size_t n = 0; n < 3; ++n) {
        EXPECT_EQ(simulation_.send_and_wait(n, {"POST", "/v2/runs", submission()}).status, 503);
    }
    simulation_.advance(simulation_.now() + 4500);
    for (std::size_t n = 0; n < 3; ++n) {
        const auto reply = simulation_.send_and_wait(n, {"POST", "/v2/runs", submission()});
        EXPECT_TRUE(reply.status == 201 || reply.status == 200) << n << ": " << reply.status;
        EXPECT_EQ(get("/healthz", n).status, 200) << n;
    }
}

TEST_F(UserApi, RefusesSubmissionsAtOnceDuringAStateServiceOutage) {
    simulation_.state_outage(20'000);
    simulation_.advance(simulation_.now() + 1500);
    const auto before = simulation_.now();
    EXPECT_EQ(submit(submission()), 503);
    EXPECT_LT(simulation_.now() - before, 200);
}

}  // namespace
}  // namespace lichendrift::simulation
