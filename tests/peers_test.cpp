// Tests of what a controller knows of its peers: the order in which workers try them, and their
// capabilities.
#include "control/peers.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "control/peer_capabilities.h"
#include "wire/peer_messages.h"

namespace lichendrift::control {
namespace {

/// Peers that answer every request after 1 ms with the reply that the test has set for their
/// address.
class ScriptedPeers : public net::Runtime {
  public:
    Millis now() override { return now_; }
    Millis read_clock() override { return now_; }
    std::int64_t wall_ms() override { return now_; }
    std::uint64_t random() override { return 0; }
    void call(const std::string& address, net::HttpRequest request, Millis /*deadline*/,
              net::OnReply on_reply) override {
        ++requests[address + request.target];
        after(1, [on_reply = std::move(on_reply), reply = replies[address]] { on_reply(reply); });
    }
    net::TimerId after(Millis delay, std::function<void()> fn) override {
        timers_.emplace(now_ + delay, std::move(fn));
        return 0;
    }
    void cancel(net::TimerId /*id*/) override {}
    void advance_by(Millis duration) {
        const auto end = now_ + duration;
        while (!timers_.empty() && timers_.begin()->first <= end) {
            auto timer = timers_.extract(timers_.begin());
            now_ = timer.key();
            timer.mapped()();
        }
        now_ = end;
    }

    std::map<std::string, net::HttpReply> replies;  // by address; not set: no answer
    std::map<std::string, int> requests;            // by address and path

  private:
    Millis now_ = 1000;
    std::multimap<Millis, std::function<void()>> timers_;
};

Settings settings_of(const std::string& member, const std::vector<std::string>& peers) {
    Settings settings;
    settings.member = member;
    for (const auto& peer : peers) settings.peers.push_back({peer, "", peer + ":1"});
    settings.size = peers.size() + 1;
    return settings;
}

std::vector<std::string> names_of(const std::vector<const Peer*>& peers) {
    std::vector<std::string> names;
    names.reserve(peers.size());
    for (const auto* peer : peers) names.push_back(peer->member);
    return names;
}

TEST(Peers, WorkersTryPeersByNameWithWraparound) {
    ScriptedPeers runtime;
    using Names = std::vector<std::string>;
    const auto first = settings_of("a", {"c", "b"});
    EXPECT_EQ(names_of(Peers(runtime, first).in_order_after_self()), (Names{"b", "c"}));
    const auto middle = settings_of("b", {"d", "a", "c"});
    EXPECT_EQ(names_of(Peers(runtime, middle).in_order_after_self()), (Names{"c", "d", "a"}));
    const auto last = settings_of("c", {"b", "a"});
    EXPECT_EQ(names_of(Peers(runtime, last).in_order_after_self()), (Names{"a", "b"}));
    const auto alone = settings_of("a", {});
    EXPECT_TRUE(Peers(runtime, alone).in_order_after_self().empty());
}

class PeerCapabilitiesTest : public ::testing::Test {
  protected:
    PeerCapabilitiesTest() { settings.features.fenced_duties = true; }
    void start() {
        capabilities.start();
        runtime.advance_by(kFirstReplyMs);
    }
    void advance_to_next_query() { runtime.advance_by(kQueryIntervalMs); }

    static constexpr Millis kFirstReplyMs = 100;
    static constexpr Millis kQueryIntervalMs = 2000;
    static constexpr int kOk = net::http_status::kOk;
    static constexpr auto kFenced = static_cast<std::uint64_t>(wire::Feature::FencedDuties);

    ScriptedPeers runtime;
    Settings settings = settings_of("a", {"b", "c"});
    Peers peers{runtime, settings};
    std::vector<std::size_t> logged;  // kinds of the events
    PeerCapabilities capabilities{runtime, settings, peers, [this](const events::Event& event) {
                                      logged.push_back(event.index());
                                  }};
};

TEST_F(PeerCapabilitiesTest, AllAreCurrentOnceEveryPeerHasConfirmed) {
    runtime.replies["b:1"] = {kOk, wire::encode_version(wire::kProtocolVersion)};
    start();
    EXPECT_FALSE(capabilities.all_current());
    EXPECT_TRUE(logged.empty());
    runtime.replies["c:1"] = {kOk, wire::encode_version(wire::kProtocolVersion + 1)};
    advance_to_next_query();
    EXPECT_TRUE(capabilities.all_current());
    ASSERT_EQ(logged.size(), 1U);
    EXPECT_EQ(logged[0], events::Event(events::AllControllersCurrent{}).index());
    // A peer that has confirmed is not queried again.
    advance_to_next_query();
    EXPECT_EQ(runtime.requests["b:1/peer/version"], 1);
    EXPECT_EQ(runtime.requests["c:1/peer/version"], 2);
}

TEST_F(PeerCapabilitiesTest, OlderVersionsMalformedAnswersAndRefusalsConfirmNothing) {
    runtime.replies["b:1"] = {kOk, wire::encode_version(wire::kProtocolVersion - 1)};
    runtime.replies["c:1"] = {kOk, "no version"};
    start();
    EXPECT_FALSE(capabilities.all_current());
    runtime.replies["b:1"] = {net::http_status::kNotFound,
                              wire::encode_version(wire::kProtocolVersion)};
    runtime.replies["c:1"] = {kOk, wire::encode_version(wire::kProtocolVersion)};
    advance_to_next_query();
    EXPECT_FALSE(capabilities.all_current());
}

TEST_F(PeerCapabilitiesTest, DutiesAreFencedOnceEveryPeerHasTheFeature) {
    runtime.replies["b:1"] = {kOk, wire::encode_features(kFenced)};
    runtime.replies["c:1"] = {kOk, wire::encode_features(0)};
    start();
    EXPECT_FALSE(capabilities.all_fence_duties());
    runtime.replies["c:1"] = {kOk, wire::encode_features(kFenced)};
    advance_to_next_query();
    EXPECT_TRUE(capabilities.all_fence_duties());
}

TEST_F(PeerCapabilitiesTest, FeaturesAreNotQueriedIfSwitchedOffLocally) {
    settings.features.fenced_duties = false;
    runtime.replies["b:1"] = {kOk, wire::encode_features(kFenced)};
    runtime.replies["c:1"] = {kOk, wire::encode_features(kFenced)};
    start();
    EXPECT_FALSE(capabilities.all_fence_duties());
    EXPECT_EQ(runtime.requests["b:1/peer/features"], 0);
}

}  // namespace
}  // namespace lichendrift::control
