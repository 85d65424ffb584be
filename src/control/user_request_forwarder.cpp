// Forwarding of users' requests to the leader.
#include "control/user_request_forwarder.h"

#include <utility>

#include "wire/peer_messages.h"

namespace lichendrift::control {

namespace {

constexpr int kMaxRequestsInFlight = 100;
constexpr Millis kForwardDeadlineMs = 1800;

}  // namespace

UserRequestForwarder::UserRequestForwarder(const store::StoreClient& store, Peers& peers,
                                           const LeaderElection& election, UserApi& users)
    : store_(store), peers_(peers), election_(election), users_(users) {}

bool UserRequestForwarder::should_forward() const {
    return !store_.responsive() && election_.leader_reaches_store();
}

void UserRequestForwarder::forward(const net::HttpRequest& request, net::Respond respond) {
    const auto* leader = peers_.find(election_.observed().member);
    if (leader == nullptr || requests_in_flight_ >= kMaxRequestsInFlight) {
        return users_.handle(request, std::move(respond));
    }
    ++requests_in_flight_;
    peers_.call(*leader, peer_path::kUserRequest,
                wire::encode_forwarded_request({request.method, request.target, request.body}),
                kForwardDeadlineMs,
                [this, request, respond = std::move(respond)](const net::HttpReply& reply) {
                    --requests_in_flight_;
                    const auto answer = reply.status == net::http_status::kOk
                                            ? wire::decode_forwarded_answer(reply.body)
                                            : std::nullopt;
                    // This controller may know that the job has ended, which never changes.
                    if (!answer) return users_.handle(request, respond);
                    respond({answer->status, answer->body, answer->retry_after_s});
                });
}

void UserRequestForwarder::on_forwarded_request(const std::string& body, net::Respond respond) {
    const auto request = wire::decode_forwarded_request(body);
    if (!request) return peers_.refuse_malformed(respond);
    users_.handle(
        {request->method, request->target, request->body},
        [respond = std::move(respond)](const net::HttpResponse& answer) {
            respond(peer_response(
                net::http_status::kOk,
                wire::encode_forwarded_answer({answer.status, answer.retry_after_s, answer.body})));
        });
}

}  // namespace lichendrift::control
