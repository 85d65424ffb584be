#pragma once

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <memory>

#include "net/malformed_message_counter.h"
#include "net/runtime.h"
#include "wire/json_messages.h"

namespace lichendrift::store {

using core::Millis;

// Requests of a smaller lane go first when the pace is short.
enum class RequestPriority : std::uint8_t { Leadership, Submit, Place, Read };

enum class Outcome : std::uint8_t {
    Ok,
    Missing,      // no such key, lease or old enough revision (404, 410)
    Conflict,     // a condition failed
    Unavailable,  // certainly not executed
    Rejected,     // certainly not executed, and the same again never will be (400)
    Unknown,      // may have been executed, or may still be
};

struct StoreSettings {
    std::string address;
    double rps = 50;
    double write_rps = 20;
    std::size_t transaction_operations = 8;
    std::size_t value_bytes = 8192;
    // The limit on values that will hold from some moment on, without notice. Rates and operations
    // need no such pair: those above are the smaller ones of both times from the start.
    std::size_t next_value_bytes = 8192;
};

/// The part of the service's rate limits that one controller may use.
struct RateShare {
    double requests = 0.2;  ///< of the limit on requests, 0 to 1
    double writes = 0.2;    ///< of the limit on written keys, 0 to 1
};

struct TransactionResult {
    Outcome outcome = Outcome::Unknown;
    std::uint64_t revision = 0;
    std::vector<std::string> failed;
};

// Client of the state service: paced so that the nodes together stay under its limits, every
// request with a deadline, every queue bounded.
class StoreClient {
  public:
    StoreClient(net::Runtime& runtime, StoreSettings settings);

    void set_share(RateShare share) { share_ = share; }

    using OnItem = std::function<void(Outcome, wire::Item)>;
    using OnPage = std::function<void(Outcome, wire::ItemPage)>;
    using OnTransaction = std::function<void(TransactionResult)>;
    using OnLease = std::function<void(Outcome, std::uint64_t, Millis sent)>;

    void get(RequestPriority priority, const std::string& key, OnItem done);
    void list(RequestPriority priority, const std::string& prefix, const std::string& since,
              OnPage done);
    void transact(RequestPriority priority, const std::vector<wire::Condition>& when,
                  const std::vector<wire::Change>& then, OnTransaction done);
    void create_lease(Millis ttl, OnLease done);
    void renew_lease(std::uint64_t lease, OnLease done);
    void release_lease(std::uint64_t lease);
    void watch(RequestPriority priority, const std::string& prefix, std::uint64_t since,
               Millis block, OnPage done);

    // False while requests go unanswered or are refused: new work is better refused at once.
    [[nodiscard]] bool responsive() const;
    // Since when nothing but failures came back; 0: the last answer was good.
    [[nodiscard]] Millis failing_for() const;
    // Whether that many changes could be sent now without making anything else wait.
    [[nodiscard]] bool can_write_at_once(std::size_t writes);
    [[nodiscard]] std::size_t max_transaction_operations() const {
        return settings_.transaction_operations;
    }
    // What a value may have as far as is known now.
    [[nodiscard]] std::size_t max_value_bytes() const { return settings_.value_bytes; }
    // What a value may have at any time to come.
    [[nodiscard]] std::size_t max_value_bytes_from_now_on() const {
        return std::min(settings_.value_bytes, settings_.next_value_bytes);
    }
    // The service has refused something for its size: smaller limits hold now.
    [[nodiscard]] bool limits_lowered() const { return limits_lowered_; }

  private:
    struct Pending {
        net::HttpRequest request;
        double writes = 0;
        Millis expires = 0;
        Millis timeout = 0;
        net::OnReply done;
    };
    void send(RequestPriority priority, net::HttpRequest request, std::size_t writes,
              Millis timeout, net::OnReply done);
    void pump();
    void launch(Pending pending);
    void refill();
    void note(int status);
    void probe();
    void note_rejected(std::size_t largest_value, std::size_t operations);

    net::Runtime& runtime_;
    StoreSettings settings_;
    RateShare share_;
    double tokens_ = 0;
    double write_tokens_ = 0;
    Millis filled_at_ = 0;
    Millis pause_until_ = 0;
    std::array<std::deque<Pending>, 4> queues_;
    bool timer_ = false;
    net::MalformedMessageCounter malformed_{"the state service"};
    bool probing_ = false;
    bool limits_lowered_ = false;
    Millis rejection_reported_at_ = -100'000;
    Millis last_good_ = 0;
    Millis first_bad_ = 0;                               // 0: no failure since the last good answer
    std::deque<std::pair<std::uint64_t, Millis>> open_;  // requests under way, oldest first
    std::uint64_t next_open_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace lichendrift::store
