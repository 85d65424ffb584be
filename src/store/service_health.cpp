// The estimate of the state service's health.
#include "store/service_health.h"

#include "net/http_status.h"

namespace lichendrift::store {

namespace {

constexpr Millis kMaxFailingTime = 300;  // longer, and the service counts as not responsive
constexpr Millis kMaxAnswerTime = 700;

}  // namespace

ServiceHealth::RequestNumber ServiceHealth::on_sent(Millis now) {
    open_requests_.push_back({.number = ++last_number_, .sent_at = now});
    return last_number_;
}

void ServiceHealth::on_ended(RequestNumber number) {
    std::erase_if(open_requests_,
                  [number](const OpenRequest& request) { return request.number == number; });
}

void ServiceHealth::on_status(int status, Millis now) {
    if (status != 0 && status != net::http_status::kUnavailable) {
        failing_since_.reset();
    } else if (!failing_since_) {
        failing_since_ = now;
    }
}

Millis ServiceHealth::failing_for(Millis now) const {
    return failing_since_ ? now - *failing_since_ : 0;
}

bool ServiceHealth::is_responsive(Millis now) const {
    if (failing_for(now) > kMaxFailingTime) return false;
    return open_requests_.empty() || now - open_requests_.front().sent_at < kMaxAnswerTime;
}

}  // namespace lichendrift::store
