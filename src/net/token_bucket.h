#pragma once

// The arithmetic of a token bucket, without a clock of its own.

#include <algorithm>

namespace lichendrift::net {

/// A token bucket: what is sent takes tokens, time brings new ones up to a capacity. Any one
/// thread at a time.
class TokenBucket {
  public:
    /// A bucket with so many tokens to begin with.
    explicit TokenBucket(double tokens) : tokens_(tokens) {}

    /// Adds tokens; what exceeds `capacity` is lost.
    void add(double tokens, double capacity) { tokens_ = std::min(tokens_ + tokens, capacity); }

    /// Takes tokens. The bucket may go below zero: the caller decides how far.
    void take(double tokens) { tokens_ -= tokens; }

    /// Tokens in the bucket; negative while it is in debt.
    [[nodiscard]] double tokens() const { return tokens_; }

  private:
    double tokens_;
};

}  // namespace lichendrift::net
