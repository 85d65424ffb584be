// Unit tests of the life cycle of an intent and of the batches of the queue.
#include <gtest/gtest.h>

#include "duty/intent_queue.h"
#include "duty/intent_slot.h"

namespace lichendrift::duty {
namespace {

constexpr Epoch kEpoch = 4;
constexpr std::uint64_t kNonce = 7;
constexpr std::uint64_t kRevision = 12;
constexpr Millis kMuchLater = 100'000;
const char* const kKey = "intent/0";

const WriteResult kWritten{WriteOutcome::Written, kRevision, {}};
const WriteResult kUnanswered{WriteOutcome::Unknown, 0, {}};
const WriteResult kRecordChanged{WriteOutcome::Conflict, 0, {kKey}};
const WriteResult kLeaseLost{WriteOutcome::Conflict, 0, {"leader"}};

IntentSlot writing_slot() {
    IntentSlot slot;
    slot.begin_intent(kEpoch, kNonce, {{"host-1", "host-2"}, {}}, 0);
    return slot;
}

IntentSlot open_slot() {
    auto slot = writing_slot();
    EXPECT_EQ(slot.on_written(kWritten, kKey, 0), IntentSlot::WriteEffect::Durable);
    return slot;
}

IntentSlot completed_slot() {
    auto slot = open_slot();
    slot.on_released(slot.begin_release(0).size(), CloudOutcome::Done, 0);
    EXPECT_TRUE(slot.complete_if_done());
    return slot;
}

IntentReadResult read_back(std::uint64_t nonce) {
    return {ReadOutcome::Found, {kEpoch, nonce, {}, {}}, kRevision};
}

TEST(IntentSlot, IsOpenOnceItsRecordIsWritten) {
    const auto slot = open_slot();
    EXPECT_TRUE(slot.has_open_stored_intent());
    EXPECT_EQ(slot.revision(), kRevision);
    EXPECT_EQ(slot.content(), (Intent{kEpoch, kNonce, {"host-1", "host-2"}, {}}));
}

TEST(IntentSlot, UnansweredWriteIsSentAgainUnchanged) {
    auto slot = writing_slot();
    const auto content = slot.content();
    EXPECT_EQ(slot.on_written(kUnanswered, kKey, 0), IntentSlot::WriteEffect::None);
    EXPECT_FALSE(slot.due_in_state(IntentSlot::State::Unconfirmed, 0));
    EXPECT_TRUE(slot.due_in_state(IntentSlot::State::Unconfirmed, kMuchLater));
    slot.begin_rewrite();
    EXPECT_EQ(slot.content(), content);
}

TEST(IntentSlot, ChangedRecordIsReadBackAndIdentifiedByItsNonce) {
    auto slot = writing_slot();
    EXPECT_EQ(slot.on_written(kRecordChanged, kKey, 0), IntentSlot::WriteEffect::None);
    EXPECT_TRUE(slot.due_in_state(IntentSlot::State::ReadDue, 0));
    slot.begin_read();
    auto other = slot;
    EXPECT_EQ(slot.on_read(read_back(kNonce), 0), IntentSlot::ReadEffect::Durable);
    EXPECT_TRUE(slot.has_open_stored_intent());
    EXPECT_EQ(other.on_read(read_back(kNonce - 1), 0), IntentSlot::ReadEffect::None);
    EXPECT_EQ(other.state(), IntentSlot::State::Unconfirmed);
    EXPECT_EQ(other.revision(), kRevision);
}

TEST(IntentSlot, FailedReadIsRetried) {
    auto slot = writing_slot();
    EXPECT_EQ(slot.on_written(kRecordChanged, kKey, 0), IntentSlot::WriteEffect::None);
    slot.begin_read();
    EXPECT_EQ(slot.on_read({}, 0), IntentSlot::ReadEffect::None);
    EXPECT_TRUE(slot.due_in_state(IntentSlot::State::ReadDue, kMuchLater));
}

TEST(IntentSlot, ConflictOnAnotherKeyReportsThatTheFenceFailed) {
    auto slot = writing_slot();
    EXPECT_EQ(slot.on_written(kLeaseLost, kKey, 0), IntentSlot::WriteEffect::FenceFailed);
    EXPECT_EQ(slot.state(), IntentSlot::State::Unconfirmed);
}

TEST(IntentSlot, TooLargeBatchIsTakenBackAndTheSlotIsFree) {
    auto slot = writing_slot();
    EXPECT_EQ(slot.on_written({WriteOutcome::Rejected, 0, {}}, kKey, 0),
              IntentSlot::WriteEffect::TooLarge);
    EXPECT_EQ(slot.take_back_batch(0).releases.size(), 2U);
    EXPECT_EQ(slot.state(), IntentSlot::State::Free);
}

TEST(IntentSlot, UnansweredReleaseStaysOpenAndIsRetried) {
    auto slot = open_slot();
    const auto machines = slot.begin_release(0);
    EXPECT_EQ(machines.size(), 2U);
    EXPECT_TRUE(slot.on_released(machines.size(), CloudOutcome::NoAnswer, 0).empty());
    EXPECT_FALSE(slot.complete_if_done());
    EXPECT_FALSE(slot.release_due(0));
    EXPECT_TRUE(slot.release_due(kMuchLater));
}

TEST(IntentSlot, RecordOfCompletedIntentIsOverwrittenByTheNextIntent) {
    auto slot = completed_slot();
    EXPECT_EQ(slot.state(), IntentSlot::State::Completed);
    slot.begin_intent(kEpoch, kNonce + 1, {{"host-3"}, {}}, 0);
    EXPECT_EQ(slot.state(), IntentSlot::State::Writing);
    EXPECT_EQ(slot.revision(), kRevision);
}

TEST(IntentSlot, RemovalFreesTheSlotOrReadsTheRecordBack) {
    auto removed = completed_slot();
    removed.begin_removal();
    auto changed = removed;
    auto unanswered = removed;
    EXPECT_EQ(removed.on_removed(kWritten, kKey, 0), IntentSlot::RemovalEffect::None);
    EXPECT_EQ(removed, IntentSlot{});
    EXPECT_EQ(unanswered.on_removed(kUnanswered, kKey, 0), IntentSlot::RemovalEffect::None);
    EXPECT_EQ(unanswered.state(), IntentSlot::State::Completed);
    EXPECT_EQ(changed.on_removed(kRecordChanged, kKey, 0),
              IntentSlot::RemovalEffect::RecordChanged);
    changed.begin_read();
    EXPECT_EQ(changed.on_read({ReadOutcome::Missing, {}, 0}, 0), IntentSlot::ReadEffect::None);
    EXPECT_EQ(changed.state(), IntentSlot::State::Free);
}

TEST(IntentSlot, InheritedProvisioningRequestIsRetriedAndNotWithdrawn) {
    const ProvisionRequest request{"r-1", "box", "a", false, 2};
    auto slot = IntentSlot::inherited({kKey, kRevision, false, {kEpoch, kNonce, {}, {request}}}, 0);
    EXPECT_TRUE(slot.has_open_stored_intent());
    EXPECT_EQ(slot.withdraw_outdated(kMuchLater), 0U);
    auto* provision = slot.due_provision(0);
    ASSERT_NE(provision, nullptr);
    EXPECT_EQ(provision->request(), request);
    provision->begin_attempt();
    EXPECT_FALSE(slot.complete_if_done());
    slot.on_provisioned(request.id, CloudOutcome::NoCapacity, 0);
    EXPECT_TRUE(slot.complete_if_done());
    EXPECT_EQ(slot.state(), IntentSlot::State::Completed);
}

TEST(IntentQueue, CollectsNonUrgentReleasesForOneSecond) {
    IntentQueue queue;
    queue.add_release("host-1", false, 0);
    EXPECT_FALSE(queue.releases_due(999));
    EXPECT_TRUE(queue.releases_due(1000));
    queue.add_release("host-2", true, 0);
    EXPECT_TRUE(queue.releases_due(0));
}

TEST(IntentQueue, BatchesRespectTheLimitsOfRequestAndRecord) {
    IntentQueue queue;
    for (std::size_t i = 0; i < kMaxReleasesPerRequest + 1; ++i) queue.add_release("host", true, 0);
    EXPECT_EQ(queue.take_releases(100'000).releases.size(), kMaxReleasesPerRequest);
    queue.add_release("host", true, 0);
    EXPECT_EQ(queue.take_releases(1).releases.size(), 1U)
        << "a batch must hold one release even if it exceeds the limit";
    EXPECT_TRUE(queue.has_releases());
}

TEST(IntentQueue, RejectedBatchIsRequeuedInHalves) {
    IntentQueue queue;
    for (const auto* machine : {"host-1", "host-2", "host-3", "host-4"}) {
        queue.add_release(machine, false, 0);
    }
    queue.requeue_rejected(queue.take_releases(100'000), 0);
    EXPECT_EQ(queue.take_releases(100'000).releases,
              (std::vector<std::string>{"host-1", "host-2"}));
    EXPECT_EQ(queue.take_releases(100'000).releases,
              (std::vector<std::string>{"host-3", "host-4"}));
}

}  // namespace
}  // namespace lichendrift::duty
