// Two zones cannot reach each other. A question about a job that is not submitted yet waits for a
// slow answer of the state service; meanwhile the job is accepted and its cancellation confirmed by
// another controller. Then the user asks the first controller.
#include "region.h"

using namespace review;

namespace {

constexpr int kJobs = 5;
constexpr double kSlowAnswerS = 0.4;  // "now and then a few hundred" milliseconds

}  // namespace

int main(int, char** argv) {
    static Region region(valpadana(), argv[1]);
    auto& record = region.record;
    // Of each job's `over/ID` the first read is carried out at once, and its answer is slow.
    static std::mutex mutex;
    static std::set<std::string> slowed;
    region.state.after = [&](std::size_t node, const Request& request) {
        if (!request.target.starts_with("/store/over/job-")) return;
        {
            std::scoped_lock lock(mutex);
            if (!slowed.insert(request.target).second) return;
        }
        record.line("state the answer to %s of node %zu takes %.1f s", request.target.c_str(),
                    node, kSlowAnswerS);
        sleep_s(kSlowAnswerS);
    };
    region.nodes.start_all();
    const auto has_leader = [] { return region.leader().has_value(); };
    if (!region.nodes.wait_healthy(15) || !wait_until(has_leader, 15)) {
        finish(region, 2, "the controllers do not become ready");
    }
    Job job{"job-000001", "rielabora-punteggi", "banca-quesiti"};
    job.cpus = 10, job.gpus = 1, job.memory_gb = 36, job.run_s = 60;
    for (std::size_t n = 0; n < 3; ++n) {
        if (!region.submit_until_accepted(n, job)) finish(region, 2, "no submission is accepted");
    }
    // The controllers of torino and milano; the one that is asked is a follower.
    const std::size_t asked = region.leader() == 0 ? 1 : 0, other = 1 - asked;
    if (with_trouble()) region.nodes.cut(asked, other, true);
    sleep_s(3);
    int broken = 0;
    for (int i = 0; i < kJobs; ++i) {
        sleep_s(1);
        job.id = "job-00" + std::to_string(1000 + i * 37);
        std::thread early([&] { region.poll(asked, job.id); });
        sleep_s(0.06);
        const auto accepted = region.submit(other, job);
        const auto cancelled = region.cancel(other, job.id);
        const bool told = accepted.status == 201 && cancelled.status == 200 &&
                          field(cancelled.body, "stato") == "aborted";
        const double told_at = now_s();
        const auto answer = region.poll(asked, job.id);
        early.join();
        if (!told) finish(region, 2, "a job is not accepted and cancelled at once");
        const bool holds = answer.status == 200 ? field(answer.body, "stato") == "aborted"
                                                : answer.status != 404;
        record.line("check %s, asked after the user was told that it is cancelled, is answered "
                    "%.3f s later: %d, the rule %s",
                    job.id.c_str(), now_s() - told_at, answer.status, holds ? "holds" : "is broken");
        broken += holds ? 0 : 1;
    }
    if (with_trouble()) region.nodes.cut(asked, other, false);
    if (region.nodes.any_ended()) finish(region, 2, "a controller has ended");
    const auto count = std::to_string(broken) + " of " + std::to_string(kJobs);
    if (broken > 0) finish(region, 1, count + " accepted and cancelled jobs get 404");
    finish(region, 0, "no accepted job gets 404");
}
