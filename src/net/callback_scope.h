#pragma once

// Prevents callbacks from reaching an object that has been destroyed.

#include <memory>
#include <utility>

namespace lichendrift::net {

/// Bounds the lifetime of callbacks that capture `this`: a callback made by `bind` does nothing
/// once the scope is destroyed or ended. Make it the last member of the object that the callbacks
/// use, so that it is destroyed first, or end it when the object stops. Loop thread only, but a
/// callback may be destroyed on any thread.
///
/// Objects with a single owner (service clients, servers with timers, a leader) use a scope.
/// Objects that callbacks share ownership of (connections) derive from
/// `std::enable_shared_from_this` instead, and each callback holds a pointer to them.
class CallbackScope {
  public:
    CallbackScope() = default;
    CallbackScope(const CallbackScope&) = delete;
    CallbackScope& operator=(const CallbackScope&) = delete;
    ~CallbackScope() = default;

    /// Wraps `callback` in a function that calls it while this scope is active and does nothing
    /// afterwards.
    template <typename Callback>
    [[nodiscard]] auto bind(Callback callback) const {
        return [alive = std::weak_ptr<const bool>(alive_),
                callback = std::move(callback)](auto&&... arguments) mutable {
            if (!alive.expired()) callback(std::forward<decltype(arguments)>(arguments)...);
        };
    }

    /// Disables all callbacks made by this scope.
    void end() { alive_.reset(); }

    /// False after `end` was called.
    [[nodiscard]] bool active() const { return alive_ != nullptr; }

  private:
    std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

}  // namespace lichendrift::net
