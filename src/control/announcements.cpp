// Announcements from the leader to the other controllers.
#include "control/announcements.h"

#include <utility>

#include "wire/peer_messages.h"

namespace lichendrift::control {

namespace {

constexpr Millis kDeadlineMs = 1500;

}  // namespace

LeaderAnnouncements::LeaderAnnouncements(const store::StoreClient& store, Peers& peers,
                                         LeaderElection& election, UserApi& users,
                                         OnHigherToken on_higher_token)
    : store_(store),
      peers_(peers),
      election_(election),
      users_(users),
      on_higher_token_(std::move(on_higher_token)) {}

void LeaderAnnouncements::announce(const std::vector<wire::JobCounts>& counts, bool all) {
    if (!election_.leading()) return;
    const auto& self = election_.observed();
    const auto body = wire::encode_announcement(
        {self.member, self.token, store_.responsive() && election_.has_leader_lease(), all,
         counts});
    for (const auto& peer : peers_.all()) {
        peers_.call(peer, peer_path::kLeaderAnnouncement, body, kDeadlineMs,
                    [](const net::HttpReply&) {});
    }
}

void LeaderAnnouncements::on_announcement(const std::string& body, const net::Respond& respond) {
    const auto announcement = wire::decode_announcement(body);
    if (!announcement) return peers_.refuse_malformed(respond);
    election_.observe_token(announcement->token);
    if (election_.leading() && announcement->token > election_.observed().token) {
        on_higher_token_(announcement->token);
    }
    if (election_.accept_announcement(*announcement)) {
        users_.update_task_counts(announcement->counts, announcement->complete);
    }
    respond(peer_response(net::http_status::kOk));
}

}  // namespace lichendrift::control
