// The clients of the state service and of the cloud, and their pace.
#include <gtest/gtest.h>

#include <map>

#include "cloud/cloud_client.h"
#include "store/store_client.h"

namespace lichendrift::store {
namespace {

// A state service that answers each request after 5 ms.
class Prompt : public net::Runtime {
  public:
    core::Millis now() override { return now_; }
    core::Millis read_clock() override { return now_; }
    std::int64_t wall_ms() override { return now_; }
    std::uint64_t random() override { return 4; }
    void call(const std::string&, net::HttpRequest request, core::Millis,
              net::OnReply on_reply) override {
        const bool transact = request.target == "/txn";
        after(5, [on_reply = std::move(on_reply), transact] {
            on_reply(
                {200, transact ? R"({"registro":7})" : R"({"path":"k","value":{},"timbro":1})"});
        });
    }
    net::TimerId after(core::Millis delay, std::function<void()> fn) override {
        timers_.emplace(now_ + delay, std::move(fn));
        return 0;
    }
    void cancel(net::TimerId) override {}
    void advance(core::Millis until) {
        while (!timers_.empty() && timers_.begin()->first <= until) {
            auto node = timers_.extract(timers_.begin());
            now_ = node.key();
            node.mapped()();
        }
        now_ = until;
    }

  private:
    core::Millis now_ = 1000;
    std::multimap<core::Millis, std::function<void()>> timers_;
};

// A cloud that lists its machines in pages.
class ListingCloud : public Prompt {
  public:
    explicit ListingCloud(std::size_t machines) : machines_(machines) {}
    void call(const std::string&, net::HttpRequest request, core::Millis,
              net::OnReply on_reply) override {
        const auto at = request.target.find("since=host-");
        const auto first =
            at == std::string::npos ? 0 : std::stoul(request.target.substr(at + 11)) - 100'000 + 1;
        const auto last = std::min(first + 500, machines_);
        std::string items;
        for (auto m = first; m < last; ++m) {
            items += (items.empty() ? "" : ",") + std::string(R"({"nameId":"host-)") +
                     std::to_string(100'000 + m) +
                     R"(","endpoint":"10.0.0.1:1","modello":"g8","sede":"a","inPrestito":true,)" +
                     R"("stato":"running","ageS":5.0})";
        }
        const auto body = R"({"banchi":[)" + items +
                          (last < machines_ ? R"(],"more":true})" : R"(],"more":false})");
        ++pages_;
        after(80, [on_reply = std::move(on_reply), body] { on_reply({200, body}); });
    }
    [[nodiscard]] std::size_t pages() const { return pages_; }

  private:
    std::size_t machines_;
    std::size_t pages_ = 0;
};

// The pages of a large fleet are more than the pace allows at once: the list came to an end at the
// page that it refused, and so never, and nothing was rented on it.
TEST(Cloud, ListOfFourThousandMachinesWaitsForThePace) {
    ListingCloud runtime(4000);
    cloud::CloudClient client(runtime, "cloud:1", 5);
    client.set_share(0.3);
    std::size_t listed = 0;
    client.list([&](cloud::Result answer, const auto& machines, const auto& names) {
        EXPECT_EQ(answer, cloud::Result::Ok);
        EXPECT_EQ(machines.size(), names.size());
        listed = names.size();
    });
    runtime.advance(20'000);
    EXPECT_EQ(listed, 4000U);
    EXPECT_EQ(runtime.pages(), 8U);
}

// Thousands of short tasks use up all changes that a leader may make. Its reads waited behind the
// changes and expired, and each question that came to it was refused for more than a minute.
TEST(Store, ReadsGoOnWhileChangesWaitForThePace) {
    Prompt runtime;
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
    int answered = 0;
    for (core::Millis t = 1200; t < 21'200; t += 200) {
        runtime.advance(t);
        requested += 2;
        const auto got = [&](Outcome outcome, const wire::Item&) {
            answered += outcome == Outcome::Ok ? 1 : 0;
        };
        client.get(RequestPriority::Read, "k", got);
        client.get(RequestPriority::Place, "k", got);
    }
    runtime.advance(23'000);
    EXPECT_EQ(answered, requested);
    // And the pace is kept: ten changes a second and a transaction to begin with.
    EXPECT_GT(written, 150U);
    EXPECT_LE(written, 20U * 22 / 2 + 16);
}

}  // namespace
}  // namespace lichendrift::store
