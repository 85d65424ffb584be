// Tests of the clients of the state service and the cloud: rate limits, health and size limits.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cloud/cloud_client.h"
#include "store/service_health.h"
#include "store/size_limits.h"
#include "store/store_client.h"

namespace lichendrift::store {
namespace {

// Runtime in virtual time that replies to each request with the body that `respond` returns.
class VirtualRuntime : public net::Runtime {
  public:
    core::Millis now() override { return now_; }
    core::Millis read_clock() override { return now_; }
    std::int64_t wall_ms() override { return now_; }
    std::uint64_t random() override { return 4; }
    void call(const std::string& /*address*/, net::HttpRequest request, core::Millis /*timeout*/,
              net::OnReply on_reply) override {
        ++requests_;
        after(response_time(), [on_reply = std::move(on_reply), body = respond(request)] {
            on_reply({200, body});
        });
    }
    net::TimerId after(core::Millis delay, std::function<void()> callback) override {
        timers_.emplace(now_ + delay, std::move(callback));
        return 0;
    }
    void cancel(net::TimerId /*id*/) override {}
    void advance(core::Millis until) {
        while (!timers_.empty() && timers_.begin()->first <= until) {
            auto timer = timers_.extract(timers_.begin());
            now_ = timer.key();
            timer.mapped()();
        }
        now_ = until;
    }
    [[nodiscard]] std::size_t requests() const { return requests_; }

  private:
    virtual core::Millis response_time() = 0;
    virtual std::string respond(const net::HttpRequest& request) = 0;

    core::Millis now_ = 1000;
    std::multimap<core::Millis, std::function<void()>> timers_;
    std::size_t requests_ = 0;
};

// A state service that has every key and executes every transaction.
class RespondingStateService : public VirtualRuntime {
    core::Millis response_time() override { return 5; }
    std::string respond(const net::HttpRequest& request) override {
        if (request.target == "/txn") return R"({"registro":7})";
        return R"({"path":"k","value":{},"timbro":1})";
    }
};

// A cloud that lists its machines, host-100000 and so on, in pages.
class ListingCloud : public VirtualRuntime {
  public:
    explicit ListingCloud(std::size_t machines) : machines_(machines) {}

  private:
    static constexpr std::size_t kPageMachines = 500;
    static constexpr std::size_t kFirstNumber = 100'000;

    core::Millis response_time() override { return 80; }
    std::string respond(const net::HttpRequest& request) override {
        const std::string since = "since=host-";
        const auto at = request.target.find(since);
        const auto first =
            at == std::string::npos
                ? 0
                : std::stoul(request.target.substr(at + since.size())) - kFirstNumber + 1;
        const auto end = std::min(first + kPageMachines, machines_);
        std::string items;
        for (auto machine = first; machine < end; ++machine) {
            items += (items.empty() ? "" : ",") + std::string(R"({"nameId":"host-)") +
                     std::to_string(kFirstNumber + machine) +
                     R"(","endpoint":"10.0.0.1:1","modello":"g8","sede":"a","inPrestito":true,)" +
                     R"("stato":"running","ageS":5.0})";
        }
        return R"({"banchi":[)" + items +
               (end < machines_ ? R"(],"more":true})" : R"(],"more":false})");
    }

    std::size_t machines_;
};

// Guards against giving up a machine list when a page is rejected by the rate limit. The list of a
// large fleet has more pages than one burst allows; it was never complete, and no machine was
// provisioned.
TEST(Cloud, ListOfFourThousandMachinesRetriesRateLimitedPages) {
    ListingCloud runtime(4000);
    cloud::CloudClient client(runtime, "cloud:1", 5);
    client.set_share(0.3);
    std::size_t listed = 0;
    client.list([&](cloud::Result result, const auto& machines, const auto& names) {
        EXPECT_EQ(result, cloud::Result::Ok);
        EXPECT_EQ(machines.size(), names.size());
        listed = names.size();
    });
    runtime.advance(20'000);
    EXPECT_EQ(listed, 4000U);
    EXPECT_EQ(runtime.requests(), 8U);
}

// Guards against reads that wait behind rate-limited writes. Thousands of short tasks use up a
// leader's write rate; its reads expired in the queue, and all user lookups were refused for more
// than a minute.
TEST(Store, ReadsAreSentWhileWritesWaitForTheRateLimit) {
    RespondingStateService runtime;
    StoreClient client(runtime, {"state:1", 100, 20, 8, 8192});
    client.set_share({0.5, 0.5});
    std::size_t written = 0;
    std::function<void()> write = [&] {
        client.transact(RequestPriority::Place, {}, std::vector<wire::Change>(8, {"k", "{}", 0}),
                        [&](const TransactionResult& result) {
                            written += result.outcome == Outcome::Ok ? 8 : 0;
                            write();
                        });
    };
    for (int i = 0; i < 5; ++i) write();
    int requested = 0;
    int read = 0;
    const auto on_item = [&](Outcome outcome, const wire::Item&) {
        read += outcome == Outcome::Ok ? 1 : 0;
    };
    for (core::Millis until = 1200; until < 21'200; until += 200) {
        runtime.advance(until);
        requested += 2;
        client.get(RequestPriority::Read, "k", on_item);
        client.get(RequestPriority::Place, "k", on_item);
    }
    runtime.advance(23'000);
    EXPECT_EQ(read, requested);
    // The write rate limit holds: ten writes per second, plus an initial transaction.
    EXPECT_GT(written, 150U);
    EXPECT_LE(written, 20U * 22 / 2 + 16);
}

// The service applies an announced limit without further notice. Rejections lower the value size to
// the announced limit, then by half each time; with small values, they lower the number of
// operations.
TEST(Store, RejectedTransactionsLowerTheLimits) {
    SizeLimits limits({"state:1", 100, 20, 8, 8192, 4096});
    EXPECT_FALSE(limits.lowered());
    EXPECT_EQ(limits.max_value_bytes(), 8192U);
    EXPECT_EQ(limits.max_value_bytes_after_reduction(), 4096U);
    limits.on_rejected({.operations = 8, .largest_value_bytes = 8000}, 0);
    EXPECT_TRUE(limits.lowered());
    EXPECT_EQ(limits.max_value_bytes(), 4096U);
    limits.on_rejected({.operations = 8, .largest_value_bytes = 4000}, 0);
    EXPECT_EQ(limits.max_value_bytes(), 2000U);
    EXPECT_EQ(limits.max_value_bytes_after_reduction(), 2000U);
    EXPECT_EQ(limits.max_transaction_operations(), 8U);
    limits.on_rejected({.operations = 8, .largest_value_bytes = 100}, 0);
    EXPECT_EQ(limits.max_value_bytes(), 2000U);
    EXPECT_EQ(limits.max_transaction_operations(), 4U);
}

TEST(Store, ServiceIsResponsiveUnlessRequestsFailOrStayPending) {
    ServiceHealth health;
    EXPECT_TRUE(health.is_responsive(1000));
    const auto pending = health.on_sent(1000);
    EXPECT_TRUE(health.is_responsive(1699));
    EXPECT_FALSE(health.is_responsive(1700));
    health.on_ended(pending);
    health.on_status(503, 2000);
    health.on_status(0, 2200);
    EXPECT_TRUE(health.is_failing());
    EXPECT_TRUE(health.is_responsive(2300));
    EXPECT_FALSE(health.is_responsive(2301));
    EXPECT_EQ(health.failing_for(2301), 301);
    health.on_status(404, 2400);
    EXPECT_FALSE(health.is_failing());
    EXPECT_EQ(health.failing_for(2400), 0);
    EXPECT_TRUE(health.is_responsive(2400));
}

}  // namespace
}  // namespace lichendrift::store
