// Queries for the versions and features of the other controllers.
#include "control/peer_capabilities.h"

#include <algorithm>
#include <utility>

#include "wire/peer_messages.h"

namespace lichendrift::control {

namespace {

constexpr Millis kQueryDeadlineMs = 1500;
constexpr Millis kQueryIntervalMs = 2000;
constexpr auto kFencedDuties = static_cast<std::uint64_t>(wire::Feature::FencedDuties);

std::optional<bool> is_current_version(const std::string& answer) {
    const auto version = wire::decode_version(answer);
    if (!version) return std::nullopt;
    return *version >= wire::kProtocolVersion;
}

std::optional<bool> has_fenced_duties(const std::string& answer) {
    const auto features = wire::decode_features(answer);
    if (!features) return std::nullopt;
    return (*features & kFencedDuties) != 0;
}

}  // namespace

PeerCapabilities::PeerCapabilities(net::Runtime& runtime, const Settings& settings, Peers& peers,
                                   EventLog log)
    : runtime_(runtime),
      settings_(settings),
      peers_(peers),
      log_(std::move(log)),
      current_version_{peer_path::kVersionQuery, wire::encode_version(wire::kProtocolVersion),
                       is_current_version, events::AllControllersCurrent{},
                       std::vector<bool>(peers.all().size())},
      fenced_duties_{peer_path::kFeaturesQuery, wire::encode_features(kFencedDuties),
                     has_fenced_duties, events::AllControllersFenceDuties{},
                     std::vector<bool>(peers.all().size())} {}

void PeerCapabilities::start() {
    if (answers_version_queries()) query_unconfirmed_peers(current_version_);
    if (answers_feature_queries()) query_unconfirmed_peers(fenced_duties_);
}

bool PeerCapabilities::Capability::confirmed_by_all() const {
    return std::all_of(confirmed_by.begin(), confirmed_by.end(),
                       [](bool confirmed) { return confirmed; });
}

bool PeerCapabilities::all_current() const {
    return answers_version_queries() && current_version_.confirmed_by_all();
}

bool PeerCapabilities::all_fence_duties() const {
    return answers_feature_queries() && fenced_duties_.confirmed_by_all();
}

void PeerCapabilities::query_unconfirmed_peers(Capability& capability) {
    for (std::size_t i = 0; i < capability.confirmed_by.size(); ++i) {
        if (capability.confirmed_by[i]) continue;
        peers_.call(peers_.all()[i], capability.path, capability.query, kQueryDeadlineMs,
                    [this, &capability, i](const net::HttpReply& reply) {
                        on_reply(capability, i, reply);
                    });
    }
    if (capability.confirmed_by_all()) return;
    runtime_.after(kQueryIntervalMs, [this, &capability] { query_unconfirmed_peers(capability); });
}

void PeerCapabilities::on_reply(Capability& capability, std::size_t peer,
                                const net::HttpReply& reply) {
    if (capability.confirmed_by[peer]) return;
    const auto confirmed = peers_.decode_reply(reply, capability.parse_confirmation);
    if (!confirmed || !*confirmed) return;
    capability.confirmed_by[peer] = true;
    if (capability.confirmed_by_all()) log_(capability.all_confirmed);
}

void PeerCapabilities::on_version_query(const std::string& body, const net::Respond& respond) {
    if (!wire::decode_version(body)) return peers_.refuse_malformed(respond);
    respond(peer_response(net::http_status::kOk, wire::encode_version(wire::kProtocolVersion)));
}

void PeerCapabilities::on_features_query(const std::string& body, const net::Respond& respond) {
    if (!wire::decode_features(body)) return peers_.refuse_malformed(respond);
    respond(peer_response(net::http_status::kOk, wire::encode_features(kFencedDuties)));
}

}  // namespace lichendrift::control
