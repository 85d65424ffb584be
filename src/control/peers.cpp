// Requests to the other controllers.
#include "control/peers.h"

#include <algorithm>
#include <utility>

namespace lichendrift::control {

net::HttpResponse peer_response(int status, std::string body) {
    net::HttpResponse response;
    response.status = status;
    response.body = std::move(body);
    response.cbor = true;
    return response;
}

Peers::Peers(net::Runtime& runtime, const Settings& settings)
    : runtime_(runtime), settings_(settings) {}

const Peer* Peers::find(const std::string& member) const {
    for (const auto& peer : settings_.peers) {
        if (peer.member == member) return &peer;
    }
    return nullptr;
}

std::vector<const Peer*> Peers::all_except(const std::string& member) const {
    std::vector<const Peer*> others;
    for (const auto& peer : settings_.peers) {
        if (peer.member != member) others.push_back(&peer);
    }
    return others;
}

std::vector<const Peer*> Peers::in_order_after_self() const {
    std::vector<const Peer*> ring;
    for (const auto& peer : settings_.peers) ring.push_back(&peer);
    std::sort(ring.begin(), ring.end(),
              [](const Peer* left, const Peer* right) { return left->member < right->member; });
    const auto first = std::find_if(ring.begin(), ring.end(), [this](const Peer* peer) {
        return settings_.member < peer->member;
    });
    std::rotate(ring.begin(), first, ring.end());
    return ring;
}

void Peers::call(const Peer& peer, const char* path, std::string body, Millis deadline_ms,
                 net::OnReply on_reply) {
    runtime_.call(peer.address, {"POST", path, std::move(body)}, deadline_ms, std::move(on_reply));
}

void Peers::refuse_malformed(const net::Respond& respond) {
    note_malformed();
    respond(peer_response(net::http_status::kBadRequest));
}

}  // namespace lichendrift::control
