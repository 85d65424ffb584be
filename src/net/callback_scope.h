#pragma once

// The one way in which clients of the runtime keep callbacks from reaching a destroyed object.

#include <memory>
#include <utility>

namespace lichendrift::net {

/// Bounds the lifetime of callbacks that capture `this`: a callback made by `bind` does nothing
/// once the scope is gone or was ended. Keep it as the last member of the object that the callbacks
/// use, so that it goes first, or end it when the object stops. Loop thread only, but a callback
/// may be destroyed on any thread.
///
/// Objects with one owner (clients of services, timers of a server, a leader) use a scope; objects
/// that are shared between callbacks (connections) derive from `std::enable_shared_from_this` and
/// let each callback hold a pointer to them.
class CallbackScope {
  public:
    CallbackScope() = default;
    CallbackScope(const CallbackScope&) = delete;
    CallbackScope& operator=(const CallbackScope&) = delete;
    ~CallbackScope() = default;

    /// `callback`, as long as this scope is active; afterwards a function that does nothing.
    template <typename Callback>
    [[nodiscard]] auto bind(Callback callback) const {
        return [alive = std::weak_ptr<const bool>(alive_),
                callback = std::move(callback)](auto&&... arguments) mutable {
            if (!alive.expired()) callback(std::forward<decltype(arguments)>(arguments)...);
        };
    }

    /// From now on no callback of this scope does anything.
    void end() { alive_.reset(); }

    /// Whether end() was not called yet.
    [[nodiscard]] bool active() const { return alive_ != nullptr; }

  private:
    std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

}  // namespace lichendrift::net
