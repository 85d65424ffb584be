// Token buckets for requests and writes to the state service.
#include "store/rate_limiter.h"

#include <algorithm>

namespace lichendrift::store {

namespace {

constexpr double kBurstSeconds = 0.5;   // capacity of a bucket as time at its rate
constexpr double kMinRequestBurst = 2;  // minimum capacity of the request bucket
constexpr double kSpareRequests = 2;    // tokens needed to send a request and leave one
constexpr double kLeadershipDebt = 3;   // overdraft; a late lease renewal costs more than a 429

double min_tokens(RequestPriority priority) {
    return priority == RequestPriority::Leadership ? -kLeadershipDebt : 0;
}

}  // namespace

RateLimiter::RateLimiter(const StoreSettings& settings, Millis now)
    : max_requests_per_s_(settings.max_requests_per_s),
      max_writes_per_s_(settings.max_writes_per_s),
      min_write_capacity_(settings.max_transaction_operations),
      requests_(request_rate() * kBurstSeconds),
      writes_(write_rate() * kBurstSeconds),
      refilled_at_(now) {}

void RateLimiter::refill(Millis now) {
    const double elapsed_s = static_cast<double>(now - refilled_at_) / 1000.0;
    refilled_at_ = now;
    requests_.add(elapsed_s * request_rate(),
                  std::max(request_rate() * kBurstSeconds, kMinRequestBurst));
    writes_.add(elapsed_s * write_rate(),
                std::max(write_rate() * kBurstSeconds, static_cast<double>(min_write_capacity_)));
}

bool RateLimiter::allows_request(RequestPriority priority, Millis now) const {
    if (requests_.tokens() - 1 < min_tokens(priority)) return false;
    return priority == RequestPriority::Leadership || now >= paused_until_;
}

bool RateLimiter::allows_writes(RequestPriority priority, std::size_t writes) const {
    return writes == 0 || writes_.tokens() - static_cast<double>(writes) >= min_tokens(priority);
}

bool RateLimiter::has_spare_capacity(std::size_t writes) const {
    return requests_.tokens() >= kSpareRequests && writes_.tokens() >= static_cast<double>(writes);
}

void RateLimiter::take(std::size_t writes) {
    requests_.take(1);
    writes_.take(static_cast<double>(writes));
}

}  // namespace lichendrift::store
