#pragma once

// Ownership of a file descriptor.

#include <unistd.h>

#include <utility>

namespace lichendrift::net {

/// Owns a file descriptor and closes it.
class Fd {
  public:
    /// Owns none.
    Fd() = default;
    /// Takes over a descriptor; a negative one, as a failed system call returns, is none.
    explicit Fd(int descriptor) : descriptor_(descriptor) {}
    /// Takes over the descriptor of another.
    Fd(Fd&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
    /// Closes its own and takes over that of another.
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

    /// Closes it.
    void reset() {
        if (descriptor_ >= 0) ::close(std::exchange(descriptor_, -1));
    }
    /// The descriptor; negative: none.
    [[nodiscard]] int get() const { return descriptor_; }
    /// Whether it owns one.
    [[nodiscard]] bool valid() const { return descriptor_ >= 0; }

  private:
    int descriptor_ = -1;
};

}  // namespace lichendrift::net
