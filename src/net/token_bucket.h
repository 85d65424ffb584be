#pragma once

// Token bucket arithmetic; callers keep the time.

#include <algorithm>

namespace lichendrift::net {

/// A token bucket for rate limiting: sending takes tokens, and the caller adds new ones as time
/// passes, up to a capacity. Not thread-safe.
class TokenBucket {
  public:
    /// `tokens`: initial number of tokens.
    explicit TokenBucket(double tokens) : tokens_(tokens) {}

    /// Adds tokens; those beyond `capacity` are discarded.
    void add(double tokens, double capacity) { tokens_ = std::min(tokens_ + tokens, capacity); }

    /// Takes tokens. The balance may become negative; the caller decides how far.
    void take(double tokens) { tokens_ -= tokens; }

    /// Current balance; negative if more tokens were taken than were available.
    [[nodiscard]] double tokens() const { return tokens_; }

  private:
    double tokens_;
};

}  // namespace lichendrift::net
