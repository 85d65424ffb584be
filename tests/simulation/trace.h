#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct XXH3_state_s;

namespace lichendrift::simulation {

// Computes a digest over all messages that controllers send and receive in one simulation and all
// changes of the key-value store, each with its virtual time. Two builds that behave alike have
// equal digests for the same test and seed. Log messages are not included.
class Trace {
  public:
    Trace();
    ~Trace();
    Trace(const Trace&) = delete;
    Trace& operator=(const Trace&) = delete;

    // Adds one event. The length of each field is hashed too, so that the boundaries between fields
    // are unambiguous.
    void add(std::int64_t at_ms, std::string_view kind, std::string_view peer,
             std::string_view target, std::string_view body, std::int64_t number = 0);
    [[nodiscard]] std::string digest() const;
    [[nodiscard]] std::size_t events() const { return events_; }

    // Passed to the reporter when a simulation ends.
    struct Summary {
        std::uint64_t seed = 0;
        std::size_t controllers = 0;
        std::size_t events = 0;
        std::string digest;
    };
    using Reporter = std::function<void(const Summary&)>;
    // Set once, before any simulation starts; while it is unset, simulations keep no trace.
    static Reporter& reporter();

  private:
    void add_text(std::string_view text);
    void add_number(std::int64_t number);

    struct FreeState {
        void operator()(XXH3_state_s* state) const;
    };
    std::unique_ptr<XXH3_state_s, FreeState> state_;
    std::size_t events_ = 0;
};

}  // namespace lichendrift::simulation
