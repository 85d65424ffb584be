#pragma once

#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

#include "net/runtime.h"
#include "store/store_client.h"
#include "wire/cbor_messages.h"

namespace lichendrift::control {

using core::Millis;

// This node's copy of the open jobs and of final words. The copy may be old; barrier() brings it
// up to a moment after its call, so that no user gets an answer older than one given before.
class JobWatcher {
  public:
    struct Open {
        core::JobText text;
        std::uint64_t revision = 0;
    };
    struct Listener {
        std::function<void(const core::JobText&, std::uint64_t)> on_open;
        std::function<void(const std::string&, bool aborted)> on_over;
    };

    JobWatcher(net::Runtime& runtime, store::StoreClient& store);
    void start();

    // Calls back with true once everything that the state service had applied at the time of the
    // call is known here, with false if that can't be had soon.
    void barrier(std::function<void(bool)> done);
    [[nodiscard]] bool loaded() const { return loaded_; }
    [[nodiscard]] bool ever_loaded() const { return ever_loaded_; }
    [[nodiscard]] const Open* open(const std::string& id) const;
    [[nodiscard]] std::optional<bool> terminal_state(const std::string& id) const;  // aborted?
    [[nodiscard]] const std::map<std::string, Open>& all_open() const { return open_; }

    // What this node wrote itself, known before the watch tells.
    void wrote_open(const core::JobText& text, std::uint64_t revision);
    void wrote_final(const std::string& id, bool aborted, std::uint64_t revision);

    // The cancellations that this node has learned of, so that one that can't read the state
    // service learns of them from its peers.
    using Cancellations = std::vector<wire::Cancellation>;
    [[nodiscard]] Cancellations cancelled_after(std::uint64_t revision, std::size_t limit) const;
    // No cancellation of a later revision that any run of this node may have told is missing above.
    [[nodiscard]] std::uint64_t cancellations_from() const { return cancellations_from_; }
    void learn_cancelled(const wire::Cancellation& cancellation);
    void on_cancelled(std::function<void(const wire::Cancellation&)> tell) {
        announce_cancelled_ = std::move(tell);
    }
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    // When the newest read was sent that brought this copy up to its moment; 0: none yet.
    [[nodiscard]] Millis read_at() const { return read_at_; }

    // Reads the final word of a job that is not open from the state service.
    void lookup_final(const std::string& id,
                      std::function<void(store::Outcome, std::optional<bool>)> done);

    // The leader follows every change at once; the others ask when a user does.
    void follow(Listener listener);
    void unfollow();

  private:
    void load(const std::string& since, std::map<std::string, Open> so_far, std::uint64_t revision);
    void loaded_at(std::map<std::string, Open> jobs, std::uint64_t revision);
    void apply(const wire::ItemPage& page);
    void ask();
    void issue();
    static void answer(const std::vector<std::function<void(bool)>>& waiting, bool ok);
    void long_watch();
    void keep_up();
    void remember_final(const std::string& id, bool aborted, std::uint64_t revision);

    net::Runtime& runtime_;
    store::StoreClient& store_;
    bool loaded_ = false;
    bool ever_loaded_ = false;
    bool loading_ = false;
    std::uint64_t revision_ = 0;
    std::map<std::string, Open> open_;
    std::unordered_map<std::string, bool> finals_;
    std::deque<std::string> final_order_;
    std::deque<wire::Cancellation> cancellations_;  // as they were learned of
    std::uint64_t cancellations_from_ = std::numeric_limits<std::uint64_t>::max();
    std::function<void(const wire::Cancellation&)> announce_cancelled_;
    Millis read_at_ = 0;
    Millis load_sent_ = 0;
    std::vector<std::function<void(bool)>> waiting_;
    bool asking_ = false;
    bool ask_timer_ = false;
    Millis requested_at_ = -100000;
    std::optional<Listener> listener_;
    std::uint64_t follow_number_ = 0;
    std::unordered_map<std::string,
                       std::vector<std::function<void(store::Outcome, std::optional<bool>)>>>
        lookups_;
};

}  // namespace lichendrift::control
