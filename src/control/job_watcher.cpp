#include "control/job_watcher.h"

#include <utility>

namespace lichendrift::control {

namespace {

constexpr std::string_view kOpen = "open/";
constexpr std::string_view kOver = "over/";
constexpr std::size_t kMaxFinals = 20'000;
constexpr std::size_t kMaxCancellations = 4000;
constexpr std::size_t kMaxWaiting = 500;
constexpr Millis kAskSpacing = 120;  // polls that come closer share one read

}  // namespace

JobWatcher::JobWatcher(net::Runtime& runtime, store::StoreClient& store)
    : runtime_(runtime), store_(store) {}

void JobWatcher::start() {
    load("", {}, 0);
    keep_up();
}

void JobWatcher::keep_up() {
    // Without users the copy would fall behind what the state service keeps of changes.
    runtime_.after(3000, [this] {
        if (loaded_ && !asking_ && waiting_.empty() && runtime_.now() - requested_at_ > 2500) {
            barrier([](bool) {});
        }
        keep_up();
    });
}

void JobWatcher::load(const std::string& since, std::map<std::string, Open> so_far,
                      std::uint64_t revision) {
    loading_ = true;
    if (revision == 0) load_sent_ = runtime_.now();
    store_.list(store::RequestPriority::Place, std::string(kOpen), since,
                [this, so_far = std::move(so_far), revision](store::Outcome outcome,
                                                             const wire::ItemPage& page) mutable {
                    if (outcome != store::Outcome::Ok) {
                        runtime_.after(400 + static_cast<Millis>(runtime_.random() % 400),
                                       [this] { load("", {}, 0); });
                        return;
                    }
                    // Changes since the first page are read again by the watch.
                    if (revision == 0) revision = page.revision;
                    std::string last;
                    for (auto& item : page.items) {
                        last = item.key;
                        const auto id = item.key.substr(kOpen.size());
                        if (auto text = wire::parse_job_value(id, item.value)) {
                            so_far[id] = {std::move(*text), item.revision};
                        }
                    }
                    if (page.more && !last.empty()) {
                        load(last, std::move(so_far), revision);
                        return;
                    }
                    loaded_at(std::move(so_far), revision);
                });
}

void JobWatcher::loaded_at(std::map<std::string, Open> jobs, std::uint64_t revision) {
    const auto before = std::move(open_);
    open_ = std::move(jobs);
    // Read page by page, a job may have ended since its page; a final word never changes.
    std::erase_if(open_, [&](const auto& job) { return finals_.contains(job.first); });
    revision_ = revision;
    read_at_ = std::max(read_at_, load_sent_);
    // What was told before this read, by an earlier run of this node too, is in it.
    cancellations_from_ = revision;
    loaded_ = true;
    ever_loaded_ = true;
    loading_ = false;
    if (listener_) {
        for (const auto& [id, job] : open_) listener_->on_open(job.text, job.revision);
        for (const auto& [id, job] : before) {
            // Which final word it was is read when somebody asks; its tasks end either way.
            if (!open_.contains(id)) listener_->on_over(id, true);
        }
    }
    ask();
}

const JobWatcher::Open* JobWatcher::open(const std::string& id) const {
    auto it = open_.find(id);
    return it == open_.end() ? nullptr : &it->second;
}

std::optional<bool> JobWatcher::terminal_state(const std::string& id) const {
    auto it = finals_.find(id);
    if (it == finals_.end()) return std::nullopt;
    return it->second;
}

void JobWatcher::remember_final(const std::string& id, bool aborted, std::uint64_t revision) {
    if (!finals_.emplace(id, aborted).second) return;
    final_order_.push_back(id);
    if (aborted) {
        cancellations_.push_back({revision, id});
        if (cancellations_.size() > kMaxCancellations) {
            cancellations_from_ = std::max(cancellations_from_, cancellations_.front().revision);
            cancellations_.pop_front();
        }
    }
    if (final_order_.size() > kMaxFinals) {
        finals_.erase(final_order_.front());
        final_order_.pop_front();
    }
}

void JobWatcher::wrote_open(const core::JobText& text, std::uint64_t revision) {
    // The watch may have told of this, and of what came after, already.
    if (revision <= revision_ || finals_.contains(text.id)) return;
    open_[text.id] = {text, revision};
    if (listener_) listener_->on_open(text, revision);
}

void JobWatcher::wrote_final(const std::string& id, bool aborted, std::uint64_t revision) {
    remember_final(id, aborted, revision);
    open_.erase(id);
    if (listener_) listener_->on_over(id, aborted);
    if (aborted && announce_cancelled_) announce_cancelled_({revision, id});
}

JobWatcher::Cancellations JobWatcher::cancelled_after(std::uint64_t revision,
                                                      std::size_t limit) const {
    Cancellations out;
    for (auto it = cancellations_.rbegin(); it != cancellations_.rend() && out.size() < limit;
         ++it) {
        if (it->revision > revision) out.push_back(*it);
    }
    return out;
}

void JobWatcher::learn_cancelled(const wire::Cancellation& cancellation) {
    // A final word never changes, so it can be believed whoever passes it on.
    if (finals_.contains(cancellation.id)) return;
    remember_final(cancellation.id, true, cancellation.revision);
    open_.erase(cancellation.id);
    if (listener_) listener_->on_over(cancellation.id, true);
}

void JobWatcher::apply(const wire::ItemPage& page) {
    for (const auto& item : page.items) {
        if (item.revision <= revision_) continue;
        if (item.key.starts_with(kOpen)) {
            const auto id = item.key.substr(kOpen.size());
            if (item.value.empty()) {
                open_.erase(id);
                continue;
            }
            // An answer of the state service can come after news of what followed it.
            if (finals_.contains(id)) continue;
            if (auto text = wire::parse_job_value(id, item.value)) {
                if (listener_) listener_->on_open(*text, item.revision);
                open_[id] = {std::move(*text), item.revision};
            }
        } else if (item.key.starts_with(kOver) && !item.value.empty()) {
            const auto id = item.key.substr(kOver.size());
            if (auto over = wire::parse_over_value(id, item.value)) {
                remember_final(id, over->aborted, item.revision);
                open_.erase(id);
                if (listener_) listener_->on_over(id, over->aborted);
            }
        }
    }
    revision_ = std::max(revision_, page.revision);
}

void JobWatcher::barrier(std::function<void(bool)> done) {
    if (!store_.responsive() || waiting_.size() >= kMaxWaiting) {
        runtime_.after(0, [done = std::move(done)] { done(false); });
        return;
    }
    waiting_.push_back(std::move(done));
    ask();
}

void JobWatcher::ask() {
    if (!loaded_ || asking_ || ask_timer_ || waiting_.empty()) {
        if (!loaded_ && !waiting_.empty()) answer(std::exchange(waiting_, {}), false);
        return;
    }
    const auto now = runtime_.now();
    if (now - requested_at_ < kAskSpacing) {
        ask_timer_ = true;
        runtime_.after(kAskSpacing - (now - requested_at_), [this] {
            ask_timer_ = false;
            ask();
        });
        return;
    }
    issue();
}

void JobWatcher::issue() {
    asking_ = true;
    requested_at_ = runtime_.now();
    auto waiting = std::move(waiting_);
    waiting_.clear();
    const auto sent = requested_at_;
    store_.watch(store::RequestPriority::Read, "o", revision_, 0,
                 [this, sent, waiting = std::move(waiting)](store::Outcome outcome,
                                                            const wire::ItemPage& page) mutable {
                     asking_ = false;
                     if (outcome == store::Outcome::Ok) {
                         apply(page);
                         read_at_ = std::max(read_at_, sent);
                     } else if (outcome == store::Outcome::Missing && !loading_) {
                         loaded_ = false;
                         load("", {}, 0);
                     }
                     answer(waiting, outcome == store::Outcome::Ok);
                     ask();
                 });
}

void JobWatcher::answer(const std::vector<std::function<void(bool)>>& waiting, bool ok) {
    for (auto& done : waiting) done(ok);
}

void JobWatcher::lookup_final(const std::string& id,
                              std::function<void(store::Outcome, std::optional<bool>)> done) {
    auto [it, fresh] = lookups_.try_emplace(id);
    it->second.push_back(std::move(done));
    if (!fresh) return;
    store_.get(store::RequestPriority::Read, std::string(kOver) + id,
               [this, id](store::Outcome outcome, const wire::Item& item) {
                   std::optional<bool> cancellation;
                   if (outcome == store::Outcome::Ok) {
                       if (auto over = wire::parse_over_value(id, item.value)) {
                           cancellation = over->aborted;
                           remember_final(id, over->aborted, item.revision);
                       } else {
                           outcome = store::Outcome::Unknown;
                       }
                   }
                   auto node = lookups_.extract(id);
                   for (auto& waiting : node.mapped()) waiting(outcome, cancellation);
               });
}

void JobWatcher::follow(Listener listener) {
    listener_ = std::move(listener);
    ++follow_number_;
    long_watch();
}

void JobWatcher::unfollow() {
    listener_.reset();
    ++follow_number_;
}

void JobWatcher::long_watch() {
    const auto number = follow_number_;
    const auto sent = runtime_.now();
    store_.watch(store::RequestPriority::Place, "o", revision_, 8000,
                 [this, number, sent](store::Outcome outcome, const wire::ItemPage& page) {
                     if (number != follow_number_) return;
                     Millis pause = 60;
                     if (outcome == store::Outcome::Ok) {
                         apply(page);
                         read_at_ = std::max(read_at_, sent);
                     } else {
                         pause = 400;
                         if (outcome == store::Outcome::Missing && !loading_) {
                             loaded_ = false;
                             load("", {}, 0);
                         }
                     }
                     runtime_.after(pause, [this, number] {
                         if (number == follow_number_) long_watch();
                     });
                 });
}

}  // namespace lichendrift::control
