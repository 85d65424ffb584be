#pragma once

// RAII owner of a file descriptor.

#include <unistd.h>

#include <utility>

namespace lichendrift::net {

/// Owns a file descriptor and closes it on destruction. Movable, not copyable.
class Fd {
  public:
    /// Owns no descriptor.
    Fd() = default;
    /// Takes ownership of a descriptor. A negative one, as a failed system call returns it, means
    /// no descriptor.
    explicit Fd(int descriptor) : descriptor_(descriptor) {}
    /// Takes ownership of the descriptor of `other`, which then owns none.
    Fd(Fd&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
    /// Closes the owned descriptor and takes ownership of that of `other`.
    Fd& operator=(Fd&& other) noexcept {
        if (this != &other) {
            reset();
            descriptor_ = std::exchange(other.descriptor_, -1);
        }
        return *this;
    }
    Fd(const Fd&) = delete;
    Fd& operator=(const Fd&) = delete;
    ~Fd() { reset(); }

    /// Closes the owned descriptor, if any.
    void reset() {
        if (descriptor_ >= 0) ::close(std::exchange(descriptor_, -1));
    }
    /// The descriptor, still owned by this object; negative if there is none.
    [[nodiscard]] int get() const { return descriptor_; }
    /// Whether this object owns a descriptor.
    [[nodiscard]] bool valid() const { return descriptor_ >= 0; }

  private:
    int descriptor_ = -1;
};

}  // namespace lichendrift::net
