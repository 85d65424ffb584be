#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>

#include "duty/claim.h"

namespace lichendrift::duty {

// What the cloud made of a request.
enum class CloudOutcome : std::uint8_t {
    Done,
    NoCapacity,
    Unavailable,  // certainly not executed
    NoAnswer,     // may have been executed, or may still be
};

// Each guard is on; the tests switch one off at a time to prove that its loss is seen.
struct IntentGuards {
    bool durable_first = true;  // no request before its intent is durable
    bool inherit = true;        // intents of earlier holders are read and finished
    friend bool operator==(const IntentGuards&, const IntentGuards&) = default;
};

// The machines that a holder rents and releases. Before anything is asked of the cloud its intent
// is durable; who holds the duty next finds it and finishes it, and gives none of these machines
// any work. So a request of a replaced holder, however late it takes effect, names only machines
// that nobody uses, or machines that are rented already. Pure: wishes and results go in, writes
// and requests to do come out.
class IntentLedger {
  public:
    explicit IntentLedger(IntentGuards guards = {}) : guards_(guards) {}

    // Limits of what is written.
    struct Limits {
        std::size_t value_bytes = 8192;
        std::size_t operations = 8;
    };
    struct Counters {
        std::uint64_t written = 0;  // intents that became durable
        std::uint64_t settled = 0;
        std::uint64_t inherited = 0;  // of earlier holders
        std::uint64_t damaged = 0;
        std::uint64_t withdrawn = 0;  // rentals given up before they were asked for
    };

    // An intent that an earlier holder left.
    void load(const StoredIntent& stored, Millis now);

    // Wishes. A machine that is on its way back already is taken once.
    void want_release(const std::string& machine, bool urgent, Millis now);
    void want_provision(ProvisionRequest order, Millis now);

    // Moves on what is wanted without a fence: nothing is stored, requests are due at once.
    void open_unfenced(Millis now);
    // The fence is on: what was wanted without it and is not under way gets an intent.
    void close_unfenced();

    // The next write that is due. Its result is handed in under its slot.
    struct Write {
        std::uint32_t slot = 0;
        FencedWrite write;
    };
    [[nodiscard]] std::optional<Write> next_write(const Permit& provisioning,
                                                  const Permit& reclaiming, const Limits& limits,
                                                  Millis now);
    enum class AfterWrite : std::uint8_t { Fine, FenceFailed };
    AfterWrite on_written(std::uint32_t slot, const WriteResult& result, Millis now);

    // A slot whose record has to be read back, as a write to it is in doubt.
    [[nodiscard]] std::optional<std::uint32_t> next_read(Millis now);
    void on_read(std::uint32_t slot, ReadOutcome outcome, const Intent& intent,
                 std::uint64_t revision, Millis now);

    // Records of settled intents, removed when there is time for it.
    struct Removal {
        std::vector<std::uint32_t> slots;
        FencedWrite write;
    };
    [[nodiscard]] std::optional<Removal> next_removal(const Permit& provisioning,
                                                      std::size_t operations, Millis now);
    AfterWrite on_removed(const std::vector<std::uint32_t>& slots, const WriteResult& result,
                          Millis now);

    // The next request for the cloud that is due.
    struct Release {
        std::uint32_t slot = 0;
        FencedRelease request;
    };
    [[nodiscard]] std::optional<Release> next_release(const Permit& provisioning, Millis now);
    void on_released(std::uint32_t slot, std::size_t machines, CloudOutcome outcome, Millis now);
    struct Provision {
        std::uint32_t slot = 0;
        FencedProvision request;
    };
    [[nodiscard]] std::optional<Provision> next_provision(const Permit& provisioning, Millis now);
    void on_provisioned(std::uint32_t slot, const std::string& request, CloudOutcome outcome,
                        Millis now);

    // Whether rentals wait for their answer: more are better decided when it is known.
    [[nodiscard]] bool provisioning_in_flight() const;
    // Intents whose request is still to be made or answered.
    [[nodiscard]] std::size_t open_count() const;
    // What the oldest open intent is about.
    struct Oldest {
        std::uint32_t slot = 0;
        Millis since = 0;
        std::size_t releases = 0;
        std::string first_machine;      // to release; empty: none
        std::string provision_request;  // if there is nothing to release
    };
    [[nodiscard]] std::optional<Oldest> oldest_open() const;
    [[nodiscard]] const Counters& counters() const { return counters_; }
    // Whether this machine is wanted back or named by an open intent.
    [[nodiscard]] bool releasing(const std::string& machine) const {
        return releasing_.contains(machine);
    }

    friend bool operator==(const IntentLedger& a, const IntentLedger& b) {
        return a.slots_ == b.slots_ && a.releases_ == b.releases_ && a.provisions_ == b.provisions_;
    }

  private:
    struct ProvisionState {
        ProvisionRequest order;
        bool asking = false;
        bool settled = false;
        bool unanswered = false;  // an earlier try may have been executed, or may still be
        int tries = 0;
        Millis wanted_at = 0;
        Millis retry_at = 0;
        friend bool operator==(const ProvisionState&, const ProvisionState&) = default;
    };
    struct Slot {
        enum class State : std::uint8_t {
            Free,
            Writing,
            Unconfirmed,  // the write is sent again: it may have been executed
            ToRead,       // another revision than expected: the record tells whose write it was
            Reading,
            Open,     // durable, or unfenced: may be asked for
            Settled,  // answered; the record may be overwritten or removed
            Removing,
            Damaged,
        };
        State state = State::Free;
        Epoch epoch = 0;
        std::uint64_t nonce = 0;
        std::uint64_t revision = 0;  // of the record; 0: there is none
        bool was_removing = false;   // what the read back is for
        bool inherited = false;
        Millis since = 0;
        Millis retry_at = 0;
        std::vector<std::string> releases;
        bool releasing = false;  // the request is under way
        std::vector<ProvisionState> provisions;
        friend bool operator==(const Slot&, const Slot&) = default;
    };
    struct WantedRelease {
        std::string machine;
        bool urgent = false;
        Millis since = 0;
        friend bool operator==(const WantedRelease&, const WantedRelease&) = default;
    };

    // `overwrite`: one with the record of a settled intent will do.
    [[nodiscard]] std::uint32_t free_slot(bool overwrite) const;
    [[nodiscard]] std::optional<std::uint32_t> unconfirmed_slot(Millis now) const;
    [[nodiscard]] bool releases_due(Millis now) const;
    void fill_with_releases(Slot& slot, std::size_t value_bytes);
    void fill_with_provisions(Slot& slot, std::size_t value_bytes);
    [[nodiscard]] Write write_of(std::uint32_t number, const Permit& permit);
    void settle_if_done(Slot& slot);
    void give_up_batch(Slot& slot, Millis now);
    void withdraw_old_provisions(Millis now);
    void drop_releasing(const std::vector<std::string>& machines);

    IntentGuards guards_;
    std::map<std::uint32_t, Slot> slots_;
    std::deque<WantedRelease> releases_;
    std::deque<ProvisionState> provisions_;
    std::set<std::string> releasing_;
    std::uint64_t nonces_ = 0;
    std::size_t max_in_batch_ = 0;  // 0: the protocol's limit; less once a batch was too large
    Counters counters_;
};

}  // namespace lichendrift::duty
