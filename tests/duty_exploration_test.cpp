// Model checking of the machine duties: explores all interleavings, up to a depth, of controllers
// that become leader one after the other, with requests that are lost, late or time out at any
// point. The controllers run the daemon's own duty::MachineDutyHolder. The model does not rely on
// their clocks: a replaced leader goes on acting until a condition fails, as if it were paused
// after every reading of the clock.
#include <gtest/gtest.h>

#include <array>
#include <map>
#include <memory>
#include <unordered_set>

#include "duty/machine_duty_holder.h"

namespace lichendrift::duty {
namespace {

constexpr Millis kNow = 6000;         // later than the end of any delay that starts at 0
constexpr std::size_t kMachines = 1;  // one is enough: machines do not affect each other here

struct Limits {
    std::size_t controllers = 2;
    std::uint64_t terms = 2;
    std::size_t releases = 1;  // maximum number of releases that each leader decides on
    int depth = 13;
    bool duties_held = true;  // start in the state where the first leader holds both duties
};

// Guards to switch off; the tests switch off one at a time.
struct DisabledGuards {
    bool conditional_writes = false;
    bool intent_before_request = false;
    bool inherit_intents = false;
    bool keep_release_intents = false;  // an intent is kept until the cloud confirms the release
};

struct Record {
    StoredValue value;
    std::uint64_t revision = 0;
    bool operator==(const Record&) const = default;
};

struct Node {
    std::shared_ptr<const MachineDutyHolder> holder;  // shared between states, copied on change
    std::uint64_t term = 0;
    std::uint64_t lease_revision = 0;
    std::array<bool, kMachines> unusable{};  // to be released by this node or an inherited intent
    std::size_t releases = 0;
    bool operator==(const Node& other) const {
        return term == other.term && unusable == other.unusable && releases == other.releases &&
               (holder == nullptr) == (other.holder == nullptr) &&
               (!holder || *holder == *other.holder);
    }
};

// A request in flight.
struct Message {
    std::size_t node = 0;
    std::uint64_t term = 0;
    bool awaited = true;  // whether the sender still waits for the answer
    std::shared_ptr<const Action> action;
};

struct State {
    std::uint64_t revision = 0;
    std::uint64_t leader = 0;  // revision of the leader key; 0: no leader
    std::uint64_t terms = 0;   // number of elections so far
    std::map<std::string, Record> records;
    std::array<std::uint64_t, kMachines> used_by{};  // last term that placed work on the machine
    std::array<bool, kMachines> gone{};
    std::vector<Node> nodes;
    std::vector<Message> messages;
    std::string violated_rule;

    bool operator==(const State& other) const {
        if (revision != other.revision || leader != other.leader || terms != other.terms ||
            used_by != other.used_by || gone != other.gone || records != other.records ||
            nodes != other.nodes || messages.size() != other.messages.size()) {
            return false;
        }
        for (std::size_t i = 0; i < messages.size(); ++i) {
            const auto& left = messages[i];
            const auto& right = other.messages[i];
            if (left.node != right.node || left.term != right.term ||
                left.awaited != right.awaited || left.action->index() != right.action->index()) {
                return false;
            }
        }
        return true;
    }
};

struct Hash {
    std::size_t operator()(const State& state) const {
        std::size_t hash = state.revision * 31 + state.leader * 7 + state.terms;
        const auto mix = [&hash](std::size_t value) { hash = hash * 1'000'003 + value; };
        for (const auto& message : state.messages)
            mix(message.node * 64 + message.action->index() * 2 + (message.awaited ? 1 : 0));
        for (std::size_t i = 0; i < kMachines; ++i)
            mix(state.used_by[i] * 2 + (state.gone[i] ? 1 : 0));
        for (const auto& node : state.nodes)
            mix(node.term * 8 + node.releases * 4 + (node.unusable[0] ? 1 : 0));
        return hash;
    }
};

std::string machine_name(std::size_t index) { return "host-" + std::to_string(index); }

class Explorer {
  public:
    Explorer(Limits limits, DisabledGuards disabled) : limits_(limits), disabled_(disabled) {}

    // Explores all states up to the depth; returns the first broken rule, or an empty text.
    std::string run() {
        State first;
        first.nodes.resize(limits_.controllers);
        // Fencing began before the start: both duties have a record.
        first.revision = 2;
        first.records["duty/provisioning"] = {DutyRecord{"n", 1, 1}, 1};
        first.records["duty/reclaiming"] = {DutyRecord{"n", 1, 1}, 2};
        if (limits_.duties_held) acquire_duties(first);
        std::vector<State> frontier{first};
        for (int depth = 0; depth < limits_.depth && !frontier.empty(); ++depth) {
            std::vector<State> next;
            for (const auto& state : frontier) {
                for (auto& successor : successors(state)) {
                    if (!successor.violated_rule.empty()) return successor.violated_rule;
                    if (seen_.insert(successor).second) next.push_back(std::move(successor));
                }
            }
            frontier = std::move(next);
        }
        return "";
    }
    [[nodiscard]] std::size_t states() const { return seen_.size(); }

  private:
    void acquire_duties(State& state) const {
        elect(state, 0);
        while (!state.nodes[0].holder->fenced()) {
            step(state, 0);
            while (!state.messages.empty()) deliver(state, 0);
        }
    }

    std::vector<State> successors(const State& state) {
        std::vector<State> out;
        // The leader lease expires, and its holder does not notice.
        if (state.leader != 0) out.emplace_back(state).leader = 0;
        for (std::size_t n = 0; n < state.nodes.size(); ++n) {
            if (!state.nodes[n].holder) {
                if (state.leader == 0 && state.terms < limits_.terms)
                    elect(out.emplace_back(state), n);
                continue;
            }
            crash(out.emplace_back(state), n);
            if (!step(out.emplace_back(state), n)) out.pop_back();
            for (std::size_t m = 0; m < kMachines; ++m) {
                if (!place(out.emplace_back(state), n, m)) out.pop_back();
                if (!decide_release(out.emplace_back(state), n, m)) out.pop_back();
            }
        }
        for (std::size_t i = 0; i < state.messages.size(); ++i) {
            deliver(out.emplace_back(state), i);
            if (state.messages[i].awaited && !time_out(out.emplace_back(state), i)) out.pop_back();
        }
        return out;
    }

    void elect(State& state, std::size_t node_index) const {
        state.leader = ++state.revision;
        Node node;
        node.term = ++state.terms;
        node.lease_revision = state.leader;
        MachineDutyHolder::Setup setup;
        setup.member = "n" + std::to_string(node_index);
        setup.term = 100 + node.term;
        setup.lease = {"leader", state.leader};
        setup.fencing = true;
        setup.conditional_writes = !disabled_.conditional_writes;
        setup.guards = {!disabled_.intent_before_request, !disabled_.inherit_intents};
        node.holder = std::make_shared<MachineDutyHolder>(setup);
        state.nodes[node_index] = node;
    }

    static void crash(State& state, std::size_t node_index) { state.nodes[node_index] = {}; }

    // Replaces the holder of a node, which other states may share, by a copy and returns the copy.
    static std::shared_ptr<MachineDutyHolder> mutable_holder(State& state, std::size_t node_index) {
        auto holder = std::make_shared<MachineDutyHolder>(*state.nodes[node_index].holder);
        state.nodes[node_index].holder = holder;
        return holder;
    }

    // Sends the actions that are due; returns whether there were any. Reads are answered at once,
    // but their results can be outdated when the holder acts on them, as other events come in
    // between.
    bool step(State& state, std::size_t node_index) const {
        MachineDutyHolder::Inputs inputs;
        inputs.now = kNow;
        inputs.lease_valid = true;
        inputs.placement_records_loaded = true;
        inputs.may_begin_fencing = true;
        inputs.background_writes_allowed = true;
        auto actions = mutable_holder(state, node_index)->due_actions(inputs);
        for (auto& action : actions) {
            state.messages.push_back({node_index, state.nodes[node_index].term, true,
                                      std::make_shared<Action>(std::move(action))});
            if (is_read(*state.messages.back().action)) deliver(state, state.messages.size() - 1);
        }
        return !actions.empty();
    }

    static bool is_read(const Action& action) {
        return std::holds_alternative<ReadDuty>(action) ||
               std::holds_alternative<ReadIntents>(action) ||
               std::holds_alternative<ReadIntent>(action);
    }

    // Places work on a machine. Placement is a write that is conditional on the leader key, and
    // uses only machines that are not to be released.
    static bool place(State& state, std::size_t node_index, std::size_t machine_index) {
        const auto& node = state.nodes[node_index];
        const bool allowed = node.holder->inherited_intents_loaded() &&
                             state.leader == node.lease_revision && !node.unusable[machine_index] &&
                             !state.gone[machine_index] &&
                             state.used_by[machine_index] != node.term;
        if (allowed) state.used_by[machine_index] = node.term;
        return allowed;
    }

    bool decide_release(State& state, std::size_t node_index, std::size_t machine_index) const {
        auto& node = state.nodes[node_index];
        if (!node.holder->inherited_intents_loaded() || node.unusable[machine_index] ||
            node.releases >= limits_.releases) {
            return false;
        }
        ++node.releases;
        node.unusable[machine_index] = true;
        mutable_holder(state, node_index)->queue_release(machine_name(machine_index), true, 0);
        return true;
    }

    [[nodiscard]] bool awaits_answer(const State& state, const Message& message) const {
        return message.awaited && state.nodes[message.node].holder &&
               state.nodes[message.node].term == message.term;
    }

    // Executes a request now, however long ago it was sent.
    void deliver(State& state, std::size_t index) const {
        const auto message = state.messages[index];
        state.messages.erase(state.messages.begin() + static_cast<std::ptrdiff_t>(index));
        std::visit([&](const auto& action) { this->execute(state, message, action); },
                   *message.action);
    }

    // The sender stops waiting, while the request stays in flight and may still be executed.
    bool time_out(State& state, std::size_t index) const {
        const auto message = state.messages[index];
        if (!awaits_answer(state, message)) return false;
        state.messages[index].awaited = false;
        const auto holder = mutable_holder(state, message.node);
        const auto& action = *message.action;
        const WriteResult unknown;
        if (const auto* write = std::get_if<WriteDuty>(&action)) {
            holder->on_duty_written(write->duty, unknown, 0);
        } else if (const auto* intent = std::get_if<WriteIntent>(&action)) {
            holder->on_intent_written(intent->slot, unknown, 0);
        } else if (const auto* removal = std::get_if<RemoveIntents>(&action)) {
            holder->on_intents_removed(removal->slots, unknown, 0);
        } else if (const auto* release = std::get_if<RequestRelease>(&action)) {
            const auto outcome =
                disabled_.keep_release_intents ? CloudOutcome::Done : CloudOutcome::NoAnswer;
            holder->on_released(release->slot, release->request.machines().size(), outcome, 0);
        } else {
            return false;  // losing a read or a provisioning request changes nothing in this model
        }
        return true;
    }

    static WriteResult apply(State& state, const FencedWrite& write) {
        WriteResult result{WriteOutcome::Conflict, 0, {}};
        for (const auto& condition : write.conditions()) {
            std::uint64_t revision = condition.key == "leader" ? state.leader : 0;
            if (const auto it = state.records.find(condition.key); it != state.records.end()) {
                revision = it->second.revision;
            }
            if (revision != condition.revision) result.failed_keys.push_back(condition.key);
        }
        if (!result.failed_keys.empty()) return result;
        ++state.revision;
        for (const auto& change : write.changes()) {
            if (const auto* record = std::get_if<DutyRecord>(&change.value)) {
                const auto before = std::get<DutyRecord>(state.records[change.key].value).epoch;
                if (record->epoch <= before) state.violated_rule = "an epoch decreased";
            }
            if (std::holds_alternative<std::monostate>(change.value)) {
                state.records.erase(change.key);
            } else {
                state.records[change.key] = {change.value, state.revision};
            }
        }
        return {WriteOutcome::Written, state.revision, {}};
    }

    void execute(State& state, const Message& message, const WriteDuty& action) const {
        const auto result = apply(state, action.write);
        if (awaits_answer(state, message))
            mutable_holder(state, message.node)->on_duty_written(action.duty, result, 0);
    }
    void execute(State& state, const Message& message, const WriteIntent& action) const {
        const auto result = apply(state, action.write);
        if (awaits_answer(state, message))
            mutable_holder(state, message.node)->on_intent_written(action.slot, result, 0);
    }
    void execute(State& state, const Message& message, const RemoveIntents& action) const {
        const auto result = apply(state, action.write);
        if (awaits_answer(state, message))
            mutable_holder(state, message.node)->on_intents_removed(action.slots, result, 0);
    }
    void execute(State& state, const Message& message, const ReadDuty& action) const {
        const auto& record = state.records.at(record_key(action.duty));
        if (!awaits_answer(state, message)) return;
        mutable_holder(state, message.node)
            ->on_duty_read(
                action.duty,
                {ReadOutcome::Found, std::get<DutyRecord>(record.value), record.revision}, 0);
    }
    void execute(State& state, const Message& message, const ReadIntent& action) const {
        if (!awaits_answer(state, message)) return;
        const auto it = state.records.find(intent_key(action.slot));
        IntentReadResult result{ReadOutcome::Missing, {}, 0};
        if (it != state.records.end()) {
            result = {ReadOutcome::Found, std::get<Intent>(it->second.value), it->second.revision};
        }
        mutable_holder(state, message.node)->on_intent_read(action.slot, result, 0);
    }
    void execute(State& state, const Message& message, const ReadIntents& /*all*/) const {
        if (!awaits_answer(state, message)) return;
        IntentPage page;
        for (const auto& [key, record] : state.records) {
            if (!key.starts_with(kIntentPrefix)) continue;
            page.intents.push_back({key, record.revision, false, std::get<Intent>(record.value)});
        }
        const auto releases = mutable_holder(state, message.node)->on_intents_read(page, 0);
        for (std::size_t m = 0; m < kMachines; ++m) {
            const bool releases_machine =
                std::find(releases.begin(), releases.end(), machine_name(m)) != releases.end();
            if (releases_machine) state.nodes[message.node].unusable[m] = true;
        }
    }
    void execute(State& state, const Message& message, const RequestRelease& action) const {
        for (std::size_t m = 0; m < kMachines; ++m) {
            const auto& names = action.request.machines();
            if (std::find(names.begin(), names.end(), machine_name(m)) == names.end()) continue;
            if (!state.gone[m] && state.used_by[m] > message.term) {
                state.violated_rule = "a replaced holder releases a machine in use";
            }
            state.gone[m] = true;
        }
        if (!awaits_answer(state, message)) return;
        mutable_holder(state, message.node)
            ->on_released(action.slot, action.request.machines().size(), CloudOutcome::Done, 0);
    }
    void execute(State&, const Message&, const RequestProvision&) const {}

    Limits limits_;
    DisabledGuards disabled_;
    std::unordered_set<State, Hash> seen_;
};

// Starts before the first election, to cover elections and the claims to the duties.
TEST(DutyExploration, ElectionsAndClaims) {
    Explorer explorer({3, 3, 1, 12, false}, {});
    EXPECT_EQ(explorer.run(), "");
    EXPECT_GT(explorer.states(), 10'000U);
    RecordProperty("states", static_cast<int>(explorer.states()));
}

TEST(DutyExploration, TwoControllersTakeOverFromEachOther) {
    Explorer explorer({2, 2, 2, 14}, {});
    EXPECT_EQ(explorer.run(), "");
    EXPECT_GT(explorer.states(), 10'000U);
    RecordProperty("states", static_cast<int>(explorer.states()));
}

TEST(DutyExploration, TwoOfThreeControllersAreReplaced) {
    Explorer explorer({3, 3, 1, 12}, {});
    EXPECT_EQ(explorer.run(), "");
    EXPECT_GT(explorer.states(), 10'000U);
    RecordProperty("states", static_cast<int>(explorer.states()));
}

// Without any one of the guards, the exploration finds a broken rule.
TEST(DutyExploration, EachGuardIsNeeded) {
    const std::string released = "a replaced holder releases a machine in use";
    const std::vector<std::pair<DisabledGuards, std::string>> cases{
        {{true, false, false, false}, released},
        {{false, true, false, false}, released},
        {{false, false, true, false}, released},
        {{false, false, false, true}, released},
    };
    for (const auto& [disabled, expected] : cases) {
        Explorer explorer({2, 2, 1, 14}, disabled);
        EXPECT_EQ(explorer.run(), expected)
            << "guards switched off (conditional_writes, intent_before_request, inherit_intents, "
               "keep_release_intents): "
            << disabled.conditional_writes << disabled.intent_before_request
            << disabled.inherit_intents << disabled.keep_release_intents;
    }
}

}  // namespace
}  // namespace lichendrift::duty
