#include "cloud/cloud_client.h"

#include <algorithm>

namespace lichendrift::cloud {

namespace {

constexpr Millis kTimeout = 4000;
constexpr std::size_t kMaxListed = 100'000;  // only bounds the memory that a broken list takes
constexpr std::size_t kPageMachines = 500;   // the protocol's limit
constexpr int kMaxPageTries = 40;
constexpr Millis kPagePause = 250;

Result result_of(const net::HttpReply& reply) {
    if (reply.status == 200) return Result::Ok;
    if (reply.status == 503 && wire::is_no_capacity(reply.body)) return Result::NoCapacity;
    if (reply.status == 409) return Result::StaleEpoch;
    return reply.status == 0 && reply.sent ? Result::NoResponse : Result::Unavailable;
}

}  // namespace

CloudClient::CloudClient(net::Runtime& runtime, std::string address, double rps)
    : runtime_(runtime), address_(std::move(address)), rps_(rps) {
    filled_at_ = runtime_.now();
}

void CloudClient::call(net::HttpRequest request, Millis deadline, net::OnReply done) {
    const auto now = runtime_.now();
    const double rate = share_ * rps_;
    tokens_ = std::min(tokens_ + rate * static_cast<double>(now - filled_at_) / 1000.0,
                       std::max(2.0, rate * 1.5));
    filled_at_ = now;
    if (tokens_ < 1) {
        runtime_.after(0, [done = std::move(done)] { done({0, {}, false}); });
        return;
    }
    tokens_ -= 1;
    runtime_.call(address_, std::move(request), deadline, std::move(done));
}

void CloudClient::types(OnTypes done) {
    call({"GET", "/flavors", ""}, kTimeout,
         [this, done = std::move(done)](const net::HttpReply& reply) {
             if (result_of(reply) != Result::Ok) return done(result_of(reply), {});
             auto types = wire::parse_types(reply.body);
             if (!types) return malformed_.note(runtime_.now()), done(Result::Unavailable, {});
             done(Result::Ok, std::move(*types));
         });
}

void CloudClient::provision(const duty::FencedProvision& provision, OnProvisioned done) {
    call({"POST", "/rentals", wire::provision_body(provision.order(), provision.epoch()),
          provision.not_after()},
         kTimeout, [this, done = std::move(done)](const net::HttpReply& reply) {
             if (result_of(reply) != Result::Ok) return done(result_of(reply), {});
             auto names = wire::parse_provisioned(reply.body);
             if (!names) return malformed_.note(runtime_.now()), done(Result::NoResponse, {});
             done(Result::Ok, std::move(*names));
         });
}

void CloudClient::release(const duty::FencedRelease& release, OnDone done) {
    call({"POST", "/rentals/return", wire::release_body(release.machines(), release.epoch()),
          release.not_after()},
         kTimeout,
         [done = std::move(done)](const net::HttpReply& reply) { done(result_of(reply)); });
}

void CloudClient::list(OnListing done) {
    auto listing = std::make_shared<Listing>();
    listing->done = std::move(done);
    listing->tries_left = kMaxPageTries;
    list_page(listing);
}

void CloudClient::list_page(const std::shared_ptr<Listing>& listing) {
    std::string target = "/rentals?limit=" + std::to_string(kPageMachines);
    const auto since = listing->machines.empty() ? "" : listing->machines.back().name;
    if (!since.empty()) target += "&since=" + since;
    call({"GET", std::move(target), ""}, kTimeout,
         [this, listing, since,
          alive = std::weak_ptr<bool>(alive_)](const net::HttpReply& reply) mutable {
             if (alive.expired()) return;
             // A large fleet has more pages than the pace allows at once.
             const bool paced = reply.status == 429 || (reply.status == 0 && !reply.sent);
             if (paced && listing->tries_left-- > 0) {
                 runtime_.after(kPagePause, [this, listing, alive] {
                     if (!alive.expired()) list_page(listing);
                 });
                 return;
             }
             auto page =
                 result_of(reply) == Result::Ok ? wire::parse_listing(reply.body) : std::nullopt;
             if (!page && reply.status == 200) malformed_.note(runtime_.now());
             if (!page) return listing->done(Result::Unavailable, std::move(listing->machines), {});
             const bool go_on =
                 page->more && !page->machines.empty() && page->machines.back().name > since;
             for (auto& m : page->machines) listing->machines.push_back(std::move(m));
             if (go_on && listing->machines.size() < kMaxListed) return list_page(listing);
             // Cut short, it says nothing of those that it lacks.
             if (go_on) return listing->done(Result::Unavailable, std::move(listing->machines), {});
             std::set<std::string> names;
             for (const auto& m : listing->machines) names.insert(m.name);
             listing->done(Result::Ok, std::move(listing->machines), std::move(names));
         });
}

}  // namespace lichendrift::cloud
