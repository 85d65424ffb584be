#include "control/controller.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace lichendrift::control {

namespace {

constexpr Millis kGrant = 3000;
constexpr Millis kRenew = 800;
// The grant is counted from when its renewal was sent; drift and rounding are taken off.
constexpr Millis kGrantMargin = 150;
constexpr Millis kForwardDeadline = 2500;
// Of the sockets, for reports under way to the leader. Each machine has one report in flight, and
// an answer takes milliseconds, so this stands for thousands of machines unless nobody answers.
constexpr std::size_t kForwardSockets = 5;  // one of so many
constexpr int kMostPassed = 100;
constexpr Millis kPassDeadline = 1800;
constexpr Millis kAloneFor = 2500;
constexpr Millis kLeaderFresh = 2500;
constexpr Millis kForwardAgain = 1000;
constexpr Millis kRelayDeadline = 1200;
constexpr Millis kRelayAgain = 700;
constexpr std::size_t kMostRelays = 2;
constexpr int kMostTellings = 4;  // of cancellations under way to one sibling
constexpr std::size_t kMostToTell = 1000;
constexpr Millis kTellDeadline = 1500;
constexpr Millis kAskEvery = 500;  // the siblings for cancellations, while the copy is old
constexpr Millis kCopyIsOld = 1200;
constexpr Millis kRunOnCopy = 1200;           // no run is sent on a copy that is older
constexpr std::size_t kMostCancelled = 2000;  // in one answer
constexpr Millis kVouchMargin = 1000;
constexpr Millis kLeastVouched = 3000;
constexpr Millis kVersionDeadline = 1500;
constexpr Millis kAskVersionsEvery = 2000;
constexpr store::StoreClient::Share kLeaderShare = {0.5, 0.65};
// Together the controllers keep below the limits, as their clocks and bursts differ.
constexpr store::StoreClient::Share kSharedOut = {0.92, 0.95};
constexpr double kOtherShare = 0.2;  // at most

std::size_t bytes_of(double kilobytes) { return static_cast<std::size_t>(kilobytes * 1024); }

// Smaller rates and transactions are always allowed, so those to come are kept from the start.
store::StoreSettings store_settings(const Settings& s) {
    const auto next = s.guards.current_version ? s.state_next : NextStateLimits{};
    return {s.state,
            std::min(s.state_rps, next.rps.value_or(s.state_rps)),
            std::min(s.state_write_rps, next.write_rps.value_or(s.state_write_rps)),
            std::min(s.state_txn_ops, next.txn_ops.value_or(s.state_txn_ops)),
            bytes_of(s.state_value_kb),
            bytes_of(next.value_kb.value_or(s.state_value_kb))};
}

// Followers only write what users ask of them; most changes are the leader's.
store::StoreClient::Share other_share(const Settings& s) {
    if (s.size <= 1) return kLeaderShare;
    const auto others = static_cast<double>(s.size - 1);
    return {std::min(kOtherShare, (kSharedOut.requests - kLeaderShare.requests) / others),
            std::min(kOtherShare, (kSharedOut.changes - kLeaderShare.changes) / others)};
}

}  // namespace

Controller::Controller(net::Port& port, Settings settings)
    : port_(port),
      settings_(std::move(settings)),
      store_(port, store_settings(settings_)),
      cloud_(port, settings_.cloud, settings_.cloud_rps),
      feed_(port, store_),
      users_(port, settings_, store_, feed_) {
    store_.set_share(other_share(settings_));
    outboxes_.resize(settings_.siblings.size());
    peer_is_current_.resize(settings_.siblings.size());
    feed_.on_cancelled([this](const wire::Cancellation& word) { tell_cancelled(word); });
}

Controller::~Controller() {
    if (leader_) leader_->stop();
}

void Controller::start() {
    log_info("started");
    if (settings_.lease_s * 1000 + kVouchMargin + kLeastVouched >= settings_.cancel_s * 1000) {
        log_info(
            "lease_s leaves no time below cancel_s: cut off for long, a leader may keep work "
            "that was cancelled elsewhere for longer than cancel_s");
    }
    feed_.start();
    look();
    fetch_types();
    if (settings_.guards.current_version) ask_versions();
}

std::string Controller::prefix() const {
    return fmt::format("member={} role={} token={}", settings_.member,
                       leader_ ? (leader_->ready() ? "leader" : "taking-over") : "follower",
                       leader_ ? leader_->token() : known_.token);
}

void Controller::log_info(const std::string& text) {
    if (spdlog::should_log(spdlog::level::info)) {
        port_.log_context(prefix());
        spdlog::info("{}", text);
    }
}

void Controller::log_debug(const std::string& text) {
    if (spdlog::should_log(spdlog::level::debug)) {
        port_.log_context(prefix());
        spdlog::debug("{}", text);
    }
}

// ---- election ----

void Controller::look() {
    const auto number = ++election_;
    store_.get(store::Lane::Leadership, "leader",
               [this, number](store::Outcome outcome, const wire::Item& item) {
                   if (number == election_ && !leader_ && !campaigning_) looked(outcome, item);
               });
}

void Controller::looked(store::Outcome outcome, const wire::Item& item) {
    if (outcome == store::Outcome::Missing) return campaign_soon(0, 0);
    auto mark = outcome == store::Outcome::Ok ? wire::parse_leader_value(item.value) : std::nullopt;
    if (!mark) {
        const auto number = election_;
        port_.after(300 + static_cast<Millis>(port_.random() % 200), [this, number] {
            if (number == election_ && !leader_) look();
        });
        return;
    }
    known_ = {mark->member, mark->token, item.rev, false, 0, port_.now()};
    highest_token_ = std::max(highest_token_, mark->token);
    // Our own mark from before a restart: nobody else acts under it, so it need not run out.
    if (mark->member == settings_.member) return campaign_soon(0, item.rev);
    log_info("leader is " + mark->member);
    watch_leader(item.rev);
}

void Controller::watch_leader(std::uint64_t since) {
    const auto number = election_;
    store_.watch(store::Lane::Leadership, "leader", since, 10000,
                 [this, number, since](store::Outcome outcome, const wire::ItemPage& page) {
                     if (number != election_ || leader_) return;
                     if (outcome != store::Outcome::Ok) return looked(store::Outcome::Unknown, {});
                     bool gone = false;
                     auto next = std::max(since, page.revision);
                     for (const auto& item : page.items) {
                         if (item.key != "leader") continue;
                         gone = item.value.empty();
                         if (auto mark = wire::parse_leader_value(item.value); !gone && mark) {
                             known_ = {mark->member, mark->token, item.rev, false, 0, port_.now()};
                             highest_token_ = std::max(highest_token_, mark->token);
                             log_info("leader is " + mark->member);
                         }
                     }
                     if (gone) return campaign_soon(0, 0);
                     watch_leader(next);
                 });
}

void Controller::campaign_soon(Millis least, std::uint64_t leader_rev) {
    const auto number = ++election_;
    // A random wait keeps the nodes from standing at the same moment again and again.
    const auto wait = least + static_cast<Millis>(port_.random() % 120);
    port_.after(wait, [this, number, leader_rev] {
        if (number == election_ && !leader_ && !campaigning_) campaign(leader_rev);
    });
}

void Controller::campaign(std::uint64_t leader_rev) {
    campaigning_ = true;
    store_.get(store::Lane::Leadership, "token",
               [this, leader_rev](store::Outcome outcome, const wire::Item& item) {
                   std::uint64_t token = 0;
                   if (outcome == store::Outcome::Ok) {
                       auto mark = wire::parse_leader_value(item.value);
                       if (!mark) outcome = store::Outcome::Unknown;
                       if (mark) token = mark->token;
                   }
                   if (outcome != store::Outcome::Ok && outcome != store::Outcome::Missing) {
                       campaigning_ = false;
                       return looked(store::Outcome::Unknown, {});
                   }
                   const auto rev = outcome == store::Outcome::Ok ? item.rev : 0;
                   store_.grant(
                       kGrant, [this, leader_rev, token, rev](store::Outcome granted,
                                                              std::uint64_t grant, Millis sent) {
                           if (granted != store::Outcome::Ok) {
                               campaigning_ = false;
                               return looked(store::Outcome::Unknown, {});
                           }
                           // The next block of tokens; the key holds the last one of a block.
                           const auto highest = std::max(token, highest_token_);
                           stand(grant, sent, leader_rev,
                                 (highest / core::kTokensOfALead + 1) * core::kTokensOfALead, rev);
                       });
               });
}

void Controller::stand(std::uint64_t grant, Millis sent, std::uint64_t leader_rev,
                       std::uint64_t token, std::uint64_t token_rev) {
    const auto last = token + core::kTokensOfALead - 1;
    store_.txn(store::Lane::Leadership, {{"leader", leader_rev}, {"token", token_rev}},
               {{"leader", wire::leader_value({settings_.member, token}), grant},
                {"token", wire::leader_value({settings_.member, last}), 0}},
               [this, grant, sent, token](const store::TxnResult& result) {
                   if (result.outcome == store::Outcome::Ok) {
                       campaigning_ = false;
                       return won(token, result.revision, grant, sent);
                   }
                   // In doubt it is left to run out: taking it up again would need care that a
                   // rare case does not earn. The mark is ours, so look() replaces it at once.
                   store_.drop_grant(grant);
                   campaigning_ = false;
                   const auto number = ++election_;
                   port_.after(50 + static_cast<Millis>(port_.random() % 150), [this, number] {
                       if (number == election_ && !leader_) look();
                   });
               });
}

void Controller::won(std::uint64_t token, std::uint64_t rev, std::uint64_t grant, Millis sent) {
    ++election_;
    grant_ = grant;
    known_ = {settings_.member, token, rev, false, 0, port_.now()};
    highest_token_ = std::max(highest_token_, token);
    store_.set_share(kLeaderShare);
    cloud_.set_share(0.8);
    valid_until_ = sent + kGrant - kGrantMargin;
    leader_ = std::make_shared<Leader>(port_, settings_, store_, cloud_, feed_,
                                       static_cast<LeaderHost&>(*this), token, rev);
    log_info("won the election");
    siblings_know_at_ = 0;
    renewals_held_ = false;
    leader_->start(users_.types());
    announce({}, false);
    renew();
    watch_over_cancellations();
}

void Controller::renew() {
    const auto number = election_;
    port_.after(kRenew, [this, number] {
        if (number != election_ || !leader_) return;
        renew();
        if (renewing_) return;
        renewing_ = true;
        store_.touch(grant_, [this, number](store::Outcome outcome, std::uint64_t, Millis sent) {
            renewing_ = false;
            if (number != election_ || !leader_) return;
            if (outcome == store::Outcome::Ok) return extend(sent);
            if (outcome == store::Outcome::Missing) step_down("the grant has run out");
        });
    });
}

void Controller::extend(Millis sent) {
    const bool was = may_start();
    valid_until_ = std::max(valid_until_, sent + kGrant - kGrantMargin);
    if (!was) log_info("grant renewed, starts go on");
}

bool Controller::may_start() { return leader_ && port_.read_clock() < valid_until_; }

void Controller::step_down(const std::string& reason) {
    if (!leader_) return;
    log_info("steps down: " + reason);
    leader_->stop();
    // The leader may be the caller: it must live until its own call is over.
    port_.after(0, [old = std::move(leader_)] {});
    leader_.reset();
    store_.drop_grant(grant_);
    store_.set_share(other_share(settings_));
    cloud_.set_share(0.1);
    known_ = {};
    look();
}

// ---- beats ----

bool Controller::can_wait(const net::HttpRequest& request) {
    return request.target.starts_with("/v2/") || request.target == "/peer/user";
}

void Controller::handle(const net::HttpRequest& request, net::Respond respond) {
    const std::string_view target =
        std::string_view(request.target).substr(0, request.target.find('?'));
    if (target == "/healthz") {
        if (request.method != "GET") return respond({405, wire::error_body("use GET")});
        // A node that can pass requests on serves users as well as any other: being taken out of
        // turn would cost them more. One that reaches neither state service nor leader must go,
        // or users would be refused here for as long as the cut lasts.
        if (!feed_.ever_loaded() && !leader_is_good()) {
            return respond({503, wire::error_body("not ready")});
        }
        const bool deaf = known_.heard_at > 0 && port_.now() - known_.heard_at > kLeaderFresh;
        if (!leader_ && store_.failing_for() > kAloneFor && deaf) {
            return respond({503, wire::error_body("cut off")});
        }
        return respond({200, "{}"});
    }
    if (target == "/agent/beat") {
        if (request.method != "POST") return respond({405, wire::error_body("use POST")});
        return beat(request.body, std::move(respond));
    }
    if (!store_.responsive() && leader_is_good()) return pass_on(request, std::move(respond));
    users_.handle(request, std::move(respond));
}

bool Controller::leader_is_good() const {
    return !leader_ && known_.store_good && port_.now() - known_.heard_at < kLeaderFresh;
}

void Controller::pass_on(const net::HttpRequest& request, net::Respond respond) {
    const auto* leader = sibling(known_.member);
    if (leader == nullptr || passing_ >= kMostPassed) {
        return respond({503, wire::error_body("the state service does not answer"), 1});
    }
    ++passing_;
    port_.call(
        leader->address,
        {"POST", "/peer/user",
         wire::encode_passed_request({request.method, request.target, request.body})},
        kPassDeadline, [this, respond = std::move(respond)](const net::HttpReply& reply) {
            --passing_;
            auto answer =
                reply.status == 200 ? wire::decode_passed_answer(reply.body) : std::nullopt;
            if (!answer) {
                return respond({503, wire::error_body("the state service does not answer"), 1});
            }
            respond({answer->status, answer->body, answer->retry_after_s});
        });
}

void Controller::beat(const std::string& body, net::Respond respond) {
    auto report = wire::parse_report(body);
    if (!report) {
        malformed_workers_.note(port_.now());
        return respond({400, wire::error_body("malformed report")});
    }
    highest_token_ = std::max(highest_token_, report->token);
    take_report(*report, std::move(respond), true);
}

void Controller::take_report(const core::Report& report, net::Respond respond, bool may_retry) {
    if (!leader_) return forward(report, std::move(respond), may_retry);
    auto answer = leader_->beat(report);
    if (!answer) return respond({503, wire::error_body("not the leader"), 1});
    respond({200, wire::orders_body(answer->token, answer->orders)});
}

int Controller::most_forwards() const {
    constexpr std::size_t kLeast = 100;
    return static_cast<int>(std::max(kLeast, settings_.max_connections / kForwardSockets));
}

const Sibling* Controller::sibling(const std::string& member) const {
    for (const auto& s : settings_.siblings) {
        if (s.member == member) return &s;
    }
    return nullptr;
}

bool Controller::leader_is_quiet() const {
    return port_.now() - std::max(known_.heard_at, known_.seen_at) > kLeaderFresh;
}

void Controller::forward(const core::Report& report, net::Respond respond, bool may_retry) {
    const auto* leader = sibling(known_.member);
    if (leader == nullptr) return respond({503, wire::error_body("no leader is known"), 1});
    if (forwarding_ >= most_forwards()) {
        return respond({503, wire::error_body("too many reports under way"), 1});
    }
    // A leader that has gone quiet is not worth waiting for at each report: its answer would come
    // after the deadline, and a worker that waits loses time of its lease.
    const bool quiet = leader_is_quiet();
    if (quiet && port_.now() - forward_tried_ < kForwardAgain) {
        return relay(report, std::move(respond), 0);
    }
    forward_tried_ = port_.now();
    const bool short_of_time = quiet || !may_retry;
    send_report(*leader, "/peer/beat", report, short_of_time ? kRelayDeadline : kForwardDeadline,
                [this, report, respond, asked = known_.token,
                 may_retry](std::optional<wire::BeatAnswer> answer) mutable {
                    if (answer) {
                        return respond({200, wire::orders_body(answer->token, answer->orders)});
                    }
                    // Another leader has come while the old one was waited for.
                    if (may_retry && (leader_ || known_.token != asked)) {
                        return take_report(report, std::move(respond), false);
                    }
                    // After a second try the worker's own deadline leaves no time for more.
                    if (!may_retry) return unanswered(respond);
                    relay(report, std::move(respond), 0);
                });
}

void Controller::send_report(const Sibling& to, const char* target, const core::Report& report,
                             Millis deadline,
                             std::function<void(std::optional<wire::BeatAnswer>)> done) {
    ++forwarding_;
    port_.call(to.address, {"POST", target, wire::encode_report(report)}, deadline,
               [this, token = report.token, done = std::move(done)](const net::HttpReply& reply) {
                   --forwarding_;
                   auto answer =
                       reply.status == 200 ? wire::decode_beat_answer(reply.body) : std::nullopt;
                   if (reply.status == 200 && !answer) malformed_siblings_.note(port_.now());
                   // An answer with a lower token would be dropped and keep the worker here.
                   if (answer && answer->token < token) answer.reset();
                   done(std::move(answer));
               });
}

// The way to the leader may be closed from here and open from another node, as when two zones can't
// reach each other: the report goes round by a sibling.
void Controller::relay(const core::Report& report, net::Respond respond, std::size_t tries) {
    std::vector<const Sibling*> others;
    for (const auto& s : settings_.siblings) {
        if (s.member != known_.member) others.push_back(&s);
    }
    // While nobody leads each report would otherwise ask all the others.
    const bool vain = port_.now() - relay_failed_at_ < kRelayAgain;
    // A leader that was heard just now has rather ended: little time is spent on the way round.
    const bool quiet = leader_is_quiet();
    const auto most = std::min(quiet ? kMostRelays : 1, others.size());
    if (tries >= most || vain) {
        if (!vain) relay_failed_at_ = port_.now();
        return unanswered(respond);
    }
    const auto at = (relay_at_ + tries) % others.size();
    send_report(*others[at], "/peer/relay", report, quiet ? kRelayDeadline : kRelayDeadline / 2,
                [this, report, respond, tries, at](std::optional<wire::BeatAnswer> answer) mutable {
                    if (!answer) return relay(report, std::move(respond), tries + 1);
                    relay_at_ = at;
                    respond({200, wire::orders_body(answer->token, answer->orders)});
                });
}

// Another node's report that could not reach the leader; it goes to the leader from here or not at
// all, so that it can't go round in circles.
void Controller::pass_relayed(const core::Report& report, const net::Respond& respond) {
    const auto* leader = sibling(known_.member);
    if (leader == nullptr || leader_is_quiet() || forwarding_ >= most_forwards()) {
        return respond({503, "", 0, false, true});
    }
    send_report(*leader, "/peer/beat", report, kRelayDeadline,
                [respond](std::optional<wire::BeatAnswer> answer) {
                    if (!answer) return respond({503, "", 0, false, true});
                    respond({200, wire::encode_beat_answer(*answer), 0, false, true});
                });
}

void Controller::unanswered(const net::Respond& respond) const {
    // With the way between the nodes refused the worker may still reach the leader itself. A leader
    // that has ended must not be named, as its worker would lose seconds of its lease there: one
    // that is quiet for longer than its grant lasts, while the state service still shows it, is up.
    const auto quiet = port_.now() - std::max(known_.heard_at, known_.seen_at);
    if (store_.responsive() && quiet > kGrant + 1000 && sibling(known_.member) != nullptr) {
        return respond({421, wire::redirect_body(known_.member), 1});
    }
    if (const auto* next = past_silent_leader()) {
        return respond({421, wire::redirect_body(next->member), 1});
    }
    respond({503, wire::error_body("no leader answers"), 1});
}

// After a 503 a worker tries the next controller. If that is the silent leader, it waits there
// until its deadline, and with the time spent here its lease ends just after the next leader has
// come. So it is sent on to the controller behind.
const Sibling* Controller::past_silent_leader() const {
    std::vector<std::string> ring{settings_.member};
    for (const auto& peer : settings_.siblings) ring.push_back(peer.member);
    std::sort(ring.begin(), ring.end());
    const auto self = std::find(ring.begin(), ring.end(), settings_.member) - ring.begin();
    const auto after = [&](std::ptrdiff_t steps) {
        return ring[static_cast<std::size_t>(self + steps) % ring.size()];
    };
    if (ring.size() < 3 || !leader_is_quiet() || after(1) != known_.member) return nullptr;
    return sibling(after(2));
}

void Controller::handle_peer(const net::HttpRequest& request, net::Respond respond) {
    if (request.method != "POST") return respond({405, "", 0, false, true});
    if (request.target == "/peer/beat" || request.target == "/peer/relay") {
        auto report = wire::decode_report(request.body);
        if (!report) {
            malformed_siblings_.note(port_.now());
            return respond({400, "", 0, false, true});
        }
        if (!leader_ && request.target == "/peer/relay") {
            return pass_relayed(*report, respond);
        }
        if (!leader_) return respond({503, "", 0, false, true});
        auto answer = leader_->beat(*report);
        if (!answer) return respond({503, "", 0, false, true});
        return respond({200, wire::encode_beat_answer(*answer), 0, false, true});
    }
    if (request.target == "/peer/user") {
        auto passed = wire::decode_passed_request(request.body);
        if (!passed) {
            malformed_siblings_.note(port_.now());
            return respond({400, "", 0, false, true});
        }
        // Handled here and never passed on again, so that it can't go round.
        return users_.handle({passed->method, passed->target, passed->body},
                             [respond = std::move(respond)](const net::HttpResponse& answer) {
                                 respond({200,
                                          wire::encode_passed_answer(
                                              {answer.status, answer.retry_after_s, answer.body}),
                                          0, false, true});
                             });
    }
    if (request.target == "/peer/version" && settings_.guards.current_version) {
        if (!wire::decode_version(request.body)) {
            malformed_siblings_.note(port_.now());
            return respond({400, "", 0, false, true});
        }
        return respond({200, wire::encode_version(wire::kProtocolVersion), 0, false, true});
    }
    if (request.target == "/peer/cancelled") {
        auto news = wire::decode_cancellation_news(request.body);
        if (!news) {
            malformed_siblings_.note(port_.now());
            return respond({400, "", 0, false, true});
        }
        hear_cancelled(*news);
        return respond({200, "", 0, false, true});
    }
    if (request.target == "/peer/cancellations") {
        const auto since = wire::decode_cancellation_query(request.body);
        if (!since) {
            malformed_siblings_.note(port_.now());
            return respond({400, "", 0, false, true});
        }
        wire::CancellationNews news{feed_.cancellations_from(),
                                    feed_.cancelled_after(*since, kMostCancelled)};
        // Cut short, it says nothing of the rest.
        if (news.cancelled.size() >= kMostCancelled) {
            news.from = std::numeric_limits<std::uint64_t>::max();
        }
        return respond({200, wire::encode_cancellation_news(news), 0, false, true});
    }
    if (request.target == "/peer/leader") {
        auto word = wire::decode_announcement(request.body);
        if (!word) {
            malformed_siblings_.note(port_.now());
            return respond({400, "", 0, false, true});
        }
        highest_token_ = std::max(highest_token_, word->token);
        if (leader_ && word->token > leader_->token()) step_down("a higher token is announced");
        if (!leader_ && word->token >= known_.token) {
            known_.member = word->member;
            known_.token = word->token;
            known_.store_good = word->store_good;
            known_.heard_at = port_.now();
            users_.set_counts(word->counts, word->all);
        }
        return respond({200, "", 0, false, true});
    }
    respond({404, "", 0, false, true});
}

void Controller::announce(const std::vector<wire::JobCounts>& counts, bool all) {
    if (!leader_) return;
    announced_at_ = port_.now();
    const auto body = wire::encode_announcement(
        {settings_.member, leader_->token(), store_.responsive() && may_start(), all, counts});
    for (const auto& s : settings_.siblings) {
        port_.call(s.address, {"POST", "/peer/leader", body}, 1500, [](const net::HttpReply&) {});
    }
}

// ---- versions ----

// While a peer may be of a version that does not know of it, nothing is stored in a new way: that
// peer may lead at any moment. One that answered stays known, as no older version follows it.
void Controller::ask_versions() {
    for (std::size_t i = 0; i < peer_is_current_.size(); ++i) {
        if (peer_is_current_[i]) continue;
        port_.call(settings_.siblings[i].address,
                   {"POST", "/peer/version", wire::encode_version(wire::kProtocolVersion)},
                   kVersionDeadline, [this, i](const net::HttpReply& reply) {
                       if (reply.status != 200 || peer_is_current_[i]) return;
                       const auto version = wire::decode_version(reply.body);
                       if (!version) return malformed_siblings_.note(port_.now());
                       if (*version < wire::kProtocolVersion) return;
                       peer_is_current_[i] = true;
                       if (peers_are_current()) log_info("all controllers are of this version");
                   });
    }
    if (!peers_are_current()) port_.after(kAskVersionsEvery, [this] { ask_versions(); });
}

bool Controller::peers_are_current() const {
    return settings_.guards.current_version &&
           std::all_of(peer_is_current_.begin(), peer_is_current_.end(),
                       [](bool current) { return current; });
}

// ---- cancellations that the leader cannot read ----

// A leader that the state service refuses alone goes on renewing the leases of its workers, while
// another node tells users that jobs are cancelled. If then the state service is out for all, no
// other leader can come: so the news goes from node to node as well.
void Controller::tell_cancelled(const wire::Cancellation& word) {
    if (!settings_.guards.cancels_told) return;
    for (std::size_t i = 0; i < outboxes_.size(); ++i) {
        // What finds no room is told when it is asked for.
        if (outboxes_[i].waiting.size() < kMostToTell) outboxes_[i].waiting.push_back(word);
        send_cancelled(i);
    }
}

void Controller::send_cancelled(std::size_t sibling) {
    auto& box = outboxes_[sibling];
    if (box.waiting.empty() || box.under_way >= kMostTellings) return;
    ++box.under_way;
    port_.call(settings_.siblings[sibling].address,
               {"POST", "/peer/cancelled",
                wire::encode_cancellation_news({0, std::exchange(box.waiting, {})})},
               kTellDeadline, [this, sibling](const net::HttpReply&) {
                   --outboxes_[sibling].under_way;
                   send_cancelled(sibling);
               });
}

void Controller::hear_cancelled(const wire::CancellationNews& news) {
    for (const auto& word : news.cancelled) {
        if (wire::valid_job_id(word.id)) feed_.heard_cancelled(word);
    }
}

void Controller::watch_over_cancellations() {
    const auto number = election_;
    port_.after(kAskEvery, [this, number] {
        if (number != election_ || !leader_) return;
        watch_over_cancellations();
        const auto age = port_.read_clock() - feed_.read_at();
        // Without users nothing else brings the copy up in time.
        if (age > kAskEvery) feed_.barrier([](bool) {});
        if (age > kCopyIsOld) ask_for_cancellations();
    });
}

void Controller::ask_for_cancellations() {
    if (!settings_.guards.cancels_told) return;
    // What a sibling tells later than now has cancel_s from then on; so once all have answered,
    // everything told before now is known. One that has forgotten, or is not there, covers nothing.
    const auto sent = port_.read_clock();
    const auto since = feed_.revision();
    auto left = std::make_shared<std::size_t>(settings_.siblings.size());
    if (settings_.siblings.empty()) siblings_know_at_ = sent;
    for (const auto& s : settings_.siblings) {
        port_.call(s.address,
                   {"POST", "/peer/cancellations", wire::encode_cancellation_query(since)},
                   kTellDeadline, [this, sent, since, left](const net::HttpReply& reply) {
                       if (reply.status != 200) return;
                       const auto news = wire::decode_cancellation_news(reply.body);
                       if (!news) return malformed_siblings_.note(port_.now());
                       hear_cancelled(*news);
                       if (news->from > since || --*left > 0) return;
                       siblings_know_at_ = std::max(siblings_know_at_, sent);
                   });
    }
}

// A leader that stood still in an outage wakes with its grant alive and a copy from before: it
// would start what was cancelled meanwhile.
bool Controller::may_run() {
    if (!may_start()) return false;
    return !settings_.guards.runs_on_fresh_copy ||
           port_.read_clock() - cancellations_known_at() <= kRunOnCopy;
}

// The last word on cancellations that needs no message: a lease that is renewed now ends lease_s
// from now at the latest, and that must be within cancel_s of any confirmation not known here.
bool Controller::may_renew_leases() {
    if (!settings_.guards.cancels_known) return true;
    const auto spare = static_cast<Millis>((settings_.cancel_s - settings_.lease_s) * 1000);
    const auto bound = std::max(spare - kVouchMargin, kLeastVouched);
    const bool may = port_.read_clock() - cancellations_known_at() <= bound;
    if (may == renewals_held_) {
        renewals_held_ = !may;
        log_info(may ? "leases are renewed again"
                     : "no lease is renewed: jobs may have been cancelled that are not known here");
    }
    return may;
}

void Controller::counts_found(std::vector<wire::JobCounts> counts, bool all) {
    users_.set_counts(counts, all);
    announce(counts, all);
}

void Controller::types_found(const std::vector<core::MachineType>& types) {
    users_.set_types(types);
}

void Controller::fetch_types() {
    if (asking_types_) return;
    asking_types_ = true;
    cloud_.types([this](cloud::Answer answer, std::vector<core::MachineType> types) {
        asking_types_ = false;
        if (answer == cloud::Answer::Ok && !types.empty()) {
            users_.set_types(std::move(types));
            return;
        }
        port_.after(1000 + static_cast<Millis>(port_.random() % 1000), [this] {
            if (!users_.types_known()) fetch_types();
        });
    });
}

}  // namespace lichendrift::control
