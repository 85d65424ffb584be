// Health estimate of the state service.
#include "store/service_health.h"

#include "net/http_status.h"

namespace lichendrift::store {

namespace {

constexpr Millis kMaxFailingTime = 300;  // the service is unresponsive after failing for longer
constexpr Millis kMaxResponseTime = 700;

}  // namespace

ServiceHealth::RequestId ServiceHealth::on_sent(Millis now) {
    pending_requests_.push_back({.id = ++last_id_, .sent_at = now});
    return last_id_;
}

void ServiceHealth::on_ended(RequestId id) {
    std::erase_if(pending_requests_,
                  [id](const PendingRequest& request) { return request.id == id; });
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
    return pending_requests_.empty() || now - pending_requests_.front().sent_at < kMaxResponseTime;
}

}  // namespace lichendrift::store
