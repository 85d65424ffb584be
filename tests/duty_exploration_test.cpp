// All interleavings, up to a depth, of controllers that lead one after the other, with requests
// that are lost, late or time out at any point. The controllers run the daemon's own
// duty::MachineDutyHolder. Their clocks are not trusted at all: one that was replaced goes on
// acting until a condition tells it, as if it had frozen after every look at the clock.
#include <gtest/gtest.h>

#include <array>
#include <map>
#include <memory>
#include <unordered_set>

#include "duty/machine_duty_holder.h"

namespace lichendrift::duty {
namespace {

constexpr Millis kActsAt = 6000;      // later than any pause that begins at 0
constexpr std::size_t kMachines = 1;  // machines do not act on each other here

struct Limits {
    std::size_t controllers = 2;
    std::uint64_t terms = 2;
    std::size_t wishes = 1;  // releases wanted by each leader
    int depth = 13;
    bool begun = true;  // from where the first leader holds both duties
};

// What is switched off, one at a time.
struct Broken {
    bool conditions = false;
    bool durable_first = false;
    bool inherit = false;
    bool kept = false;
};

struct Record {
    StoredValue value;
    std::uint64_t revision = 0;
    bool operator==(const Record&) const = default;
};

struct Node {
    std::shared_ptr<const MachineDutyHolder> holder;  // copied on change
    std::uint64_t term = 0;
    std::uint64_t lease_revision = 0;
    std::array<bool, kMachines> unusable{};  // wanted back here, or named by an inherited intent
    std::size_t wishes = 0;
    bool operator==(const Node& o) const {
        return term == o.term && unusable == o.unusable && wishes == o.wishes &&
               (holder == nullptr) == (o.holder == nullptr) && (!holder || *holder == *o.holder);
    }
};

// A request under way.
struct Message {
    std::size_t node = 0;
    std::uint64_t term = 0;
    bool awaited = true;  // its sender still waits for the answer
    std::shared_ptr<const Action> action;
};

struct State {
    std::uint64_t revision = 0;
    std::uint64_t leader = 0;  // revision of the leader key; 0: there is none
    std::uint64_t terms = 0;
    std::map<std::string, Record> records;
    std::array<std::uint64_t, kMachines> used_by{};  // the term that placed work there last
    std::array<bool, kMachines> gone{};
    std::vector<Node> nodes;
    std::vector<Message> messages;
    std::string broken;

    bool operator==(const State& o) const {
        if (revision != o.revision || leader != o.leader || terms != o.terms ||
            used_by != o.used_by || gone != o.gone || records != o.records || nodes != o.nodes ||
            messages.size() != o.messages.size()) {
            return false;
        }
        for (std::size_t i = 0; i < messages.size(); ++i) {
            const auto& a = messages[i];
            const auto& b = o.messages[i];
            if (a.node != b.node || a.term != b.term || a.awaited != b.awaited ||
                a.action->index() != b.action->index()) {
                return false;
            }
        }
        return true;
    }
};

struct Hash {
    std::size_t operator()(const State& s) const {
        std::size_t h = s.revision * 31 + s.leader * 7 + s.terms;
        const auto mix = [&h](std::size_t v) { h = h * 1'000'003 + v; };
        for (const auto& m : s.messages)
            mix(m.node * 64 + m.action->index() * 2 + (m.awaited ? 1 : 0));
        for (std::size_t i = 0; i < kMachines; ++i) mix(s.used_by[i] * 2 + (s.gone[i] ? 1 : 0));
        for (const auto& n : s.nodes) mix(n.term * 8 + n.wishes * 4 + (n.unusable[0] ? 1 : 0));
        return h;
    }
};

std::string machine(std::size_t i) { return "host-" + std::to_string(i); }

class Explorer {
  public:
    Explorer(Limits limits, Broken broken) : limits_(limits), broken_(broken) {}

    // The first broken rule, or nothing after all states up to the depth.
    std::string run() {
        State first;
        first.nodes.resize(limits_.controllers);
        // Fencing has been switched on before.
        first.revision = 2;
        first.records["duty/provisioning"] = {DutyRecord{"n", 1, 1}, 1};
        first.records["duty/reclaiming"] = {DutyRecord{"n", 1, 1}, 2};
        if (limits_.begun) begin(first);
        std::vector<State> frontier{first};
        for (int depth = 0; depth < limits_.depth && !frontier.empty(); ++depth) {
            std::vector<State> next;
            for (const auto& state : frontier) {
                for (auto& successor : successors(state)) {
                    if (!successor.broken.empty()) return successor.broken;
                    if (seen_.insert(successor).second) next.push_back(std::move(successor));
                }
            }
            frontier = std::move(next);
        }
        return "";
    }
    [[nodiscard]] std::size_t states() const { return seen_.size(); }

  private:
    void begin(State& s) const {
        elect(s, 0);
        while (!s.nodes[0].holder->fenced()) {
            step(s, 0);
            while (!s.messages.empty()) deliver(s, 0);
        }
    }

    std::vector<State> successors(const State& s) {
        std::vector<State> out;
        // The lease ends: its holder does not learn of it.
        if (s.leader != 0) out.emplace_back(s).leader = 0;
        for (std::size_t n = 0; n < s.nodes.size(); ++n) {
            if (!s.nodes[n].holder) {
                if (s.leader == 0 && s.terms < limits_.terms) elect(out.emplace_back(s), n);
                continue;
            }
            crash(out.emplace_back(s), n);
            if (!step(out.emplace_back(s), n)) out.pop_back();
            for (std::size_t m = 0; m < kMachines; ++m) {
                if (!place(out.emplace_back(s), n, m)) out.pop_back();
                if (!wish(out.emplace_back(s), n, m)) out.pop_back();
            }
        }
        for (std::size_t i = 0; i < s.messages.size(); ++i) {
            deliver(out.emplace_back(s), i);
            if (s.messages[i].awaited && !time_out(out.emplace_back(s), i)) out.pop_back();
        }
        return out;
    }

    void elect(State& s, std::size_t n) const {
        s.leader = ++s.revision;
        Node node;
        node.term = ++s.terms;
        node.lease_revision = s.leader;
        MachineDutyHolder::Setup setup;
        setup.member = "n" + std::to_string(n);
        setup.term = 100 + node.term;
        setup.lease = {"leader", s.leader};
        setup.fencing = true;
        setup.conditions = !broken_.conditions;
        setup.guards = {!broken_.durable_first, !broken_.inherit};
        node.holder = std::make_shared<MachineDutyHolder>(setup);
        s.nodes[n] = node;
    }

    static void crash(State& s, std::size_t n) { s.nodes[n] = {}; }

    static std::shared_ptr<MachineDutyHolder> changed(State& s, std::size_t n) {
        auto holder = std::make_shared<MachineDutyHolder>(*s.nodes[n].holder);
        s.nodes[n].holder = holder;
        return holder;
    }

    // Carries out what is due. Reads are answered at once: what they find may be old by the time at
    // which it is acted on, as other events come in between.
    bool step(State& s, std::size_t n) const {
        MachineDutyHolder::Moment moment;
        moment.now = kActsAt;
        moment.lease_valid = true;
        moment.records_known = true;
        moment.may_activate = true;
        moment.room_for_writes = true;
        auto actions = changed(s, n)->due(moment);
        for (auto& action : actions) {
            s.messages.push_back(
                {n, s.nodes[n].term, true, std::make_shared<Action>(std::move(action))});
            if (is_read(*s.messages.back().action)) deliver(s, s.messages.size() - 1);
        }
        return !actions.empty();
    }

    static bool is_read(const Action& action) {
        return std::holds_alternative<ReadDuty>(action) ||
               std::holds_alternative<ReadIntents>(action) ||
               std::holds_alternative<ReadIntent>(action);
    }

    // Placement is a write under the leader's condition, and only on what is not on its way back.
    static bool place(State& s, std::size_t n, std::size_t m) {
        const auto& node = s.nodes[n];
        const bool may = node.holder->inherited_known() && s.leader == node.lease_revision &&
                         !node.unusable[m] && !s.gone[m] && s.used_by[m] != node.term;
        if (may) s.used_by[m] = node.term;
        return may;
    }

    bool wish(State& s, std::size_t n, std::size_t m) const {
        auto& node = s.nodes[n];
        if (!node.holder->inherited_known() || node.unusable[m] || node.wishes >= limits_.wishes) {
            return false;
        }
        ++node.wishes;
        node.unusable[m] = true;
        changed(s, n)->queue_release(machine(m), true, 0);
        return true;
    }

    [[nodiscard]] bool listens(const State& s, const Message& message) const {
        return message.awaited && s.nodes[message.node].holder &&
               s.nodes[message.node].term == message.term;
    }

    // It takes effect now, however long ago it was sent.
    void deliver(State& s, std::size_t i) const {
        const auto message = s.messages[i];
        s.messages.erase(s.messages.begin() + static_cast<std::ptrdiff_t>(i));
        std::visit([&](const auto& action) { this->execute(s, message, action); }, *message.action);
    }

    // Its sender gives up, and the request stays under way.
    bool time_out(State& s, std::size_t i) const {
        const auto message = s.messages[i];
        if (!listens(s, message)) return false;
        s.messages[i].awaited = false;
        const auto holder = changed(s, message.node);
        const auto& action = *message.action;
        const WriteResult unknown;
        if (const auto* write = std::get_if<WriteDuty>(&action)) {
            holder->on_duty_written(write->duty, unknown, 0);
        } else if (const auto* intent = std::get_if<WriteIntent>(&action)) {
            holder->on_intent_written(intent->slot, unknown, 0);
        } else if (const auto* removal = std::get_if<RemoveIntents>(&action)) {
            holder->on_intents_removed(removal->slots, unknown, 0);
        } else if (const auto* release = std::get_if<RequestRelease>(&action)) {
            const auto outcome = broken_.kept ? CloudOutcome::Done : CloudOutcome::NoAnswer;
            holder->on_released(release->slot, release->request.machines().size(), outcome, 0);
        } else {
            return false;  // a read that is lost changes nothing
        }
        return true;
    }

    static WriteResult apply(State& s, const FencedWrite& write) {
        WriteResult result{WriteOutcome::Conflict, 0, {}};
        for (const auto& condition : write.conditions()) {
            std::uint64_t revision = condition.key == "leader" ? s.leader : 0;
            if (const auto it = s.records.find(condition.key); it != s.records.end()) {
                revision = it->second.revision;
            }
            if (revision != condition.revision) result.failed.push_back(condition.key);
        }
        if (!result.failed.empty()) return result;
        ++s.revision;
        for (const auto& change : write.changes()) {
            if (const auto* record = std::get_if<DutyRecord>(&change.value)) {
                const auto before = std::get<DutyRecord>(s.records[change.key].value).epoch;
                if (record->epoch <= before) s.broken = "an epoch went back";
            }
            if (std::holds_alternative<std::monostate>(change.value)) {
                s.records.erase(change.key);
            } else {
                s.records[change.key] = {change.value, s.revision};
            }
        }
        return {WriteOutcome::Written, s.revision, {}};
    }

    void execute(State& s, const Message& from, const WriteDuty& action) const {
        const auto result = apply(s, action.write);
        if (listens(s, from)) changed(s, from.node)->on_duty_written(action.duty, result, 0);
    }
    void execute(State& s, const Message& from, const WriteIntent& action) const {
        const auto result = apply(s, action.write);
        if (listens(s, from)) changed(s, from.node)->on_intent_written(action.slot, result, 0);
    }
    void execute(State& s, const Message& from, const RemoveIntents& action) const {
        const auto result = apply(s, action.write);
        if (listens(s, from)) changed(s, from.node)->on_intents_removed(action.slots, result, 0);
    }
    void execute(State& s, const Message& from, const ReadDuty& action) const {
        const auto& record = s.records.at(record_key(action.duty));
        if (!listens(s, from)) return;
        changed(s, from.node)
            ->on_duty_read(
                action.duty,
                {ReadOutcome::Found, std::get<DutyRecord>(record.value), record.revision}, 0);
    }
    void execute(State& s, const Message& from, const ReadIntent& action) const {
        if (!listens(s, from)) return;
        const auto it = s.records.find(intent_key(action.slot));
        IntentReadResult result{ReadOutcome::Missing, {}, 0};
        if (it != s.records.end()) {
            result = {ReadOutcome::Found, std::get<Intent>(it->second.value), it->second.revision};
        }
        changed(s, from.node)->on_intent_read(action.slot, result, 0);
    }
    void execute(State& s, const Message& from, const ReadIntents& /*all*/) const {
        if (!listens(s, from)) return;
        IntentPage page;
        for (const auto& [key, record] : s.records) {
            if (!key.starts_with(kIntentPrefix)) continue;
            page.intents.push_back({key, record.revision, false, std::get<Intent>(record.value)});
        }
        const auto named = changed(s, from.node)->on_intents_read(page, 0);
        for (std::size_t m = 0; m < kMachines; ++m) {
            const bool is = std::find(named.begin(), named.end(), machine(m)) != named.end();
            if (is) s.nodes[from.node].unusable[m] = true;
        }
    }
    void execute(State& s, const Message& from, const RequestRelease& action) const {
        for (std::size_t m = 0; m < kMachines; ++m) {
            const auto& names = action.request.machines();
            if (std::find(names.begin(), names.end(), machine(m)) == names.end()) continue;
            if (!s.gone[m] && s.used_by[m] > from.term) {
                s.broken = "a replaced holder releases a machine in use";
            }
            s.gone[m] = true;
        }
        if (!listens(s, from)) return;
        changed(s, from.node)
            ->on_released(action.slot, action.request.machines().size(), CloudOutcome::Done, 0);
    }
    void execute(State&, const Message&, const RequestProvision&) const {}

    Limits limits_;
    Broken broken_;
    std::unordered_set<State, Hash> seen_;
};

// From the first election on: who comes to hold the duties.
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

TEST(DutyExploration, ThreeControllersTwoOfThemReplaced) {
    Explorer explorer({3, 3, 1, 12}, {});
    EXPECT_EQ(explorer.run(), "");
    EXPECT_GT(explorer.states(), 10'000U);
    RecordProperty("states", static_cast<int>(explorer.states()));
}

// The exploration sees the loss of each guard.
TEST(DutyExploration, EachGuardIsNeeded) {
    const std::string released = "a replaced holder releases a machine in use";
    const std::vector<std::pair<Broken, std::string>> cases{
        {{true, false, false, false}, released},
        {{false, true, false, false}, released},
        {{false, false, true, false}, released},
        {{false, false, false, true}, released},
    };
    for (const auto& [broken, expected] : cases) {
        Explorer explorer({2, 2, 1, 14}, broken);
        EXPECT_EQ(explorer.run(), expected) << "off: " << broken.conditions << broken.durable_first
                                            << broken.inherit << broken.kept;
    }
}

}  // namespace
}  // namespace lichendrift::duty
