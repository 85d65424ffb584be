// How a new leader reads what its predecessors left.
#include <charconv>

#include "control/leader.h"

namespace lichendrift::control {

namespace {

constexpr Millis kIntentsPause = 20;  // until it is looked again whether all intents are read

}  // namespace

void Leader::load_jobs() {
    job_watcher_.refresh([self = shared_from_this()](bool ok) {
        if (self->stopped_) return;
        if (!ok) {
            self->runtime_.after(200, [self] {
                if (!self->stopped_) self->load_jobs();
            });
            return;
        }
        self->jobs_read_ = true;
        const auto now = self->runtime_.now();
        self->with([&](core::Cluster& c) {
            c.records_to_come();
            for (const auto& [id, job] : self->job_watcher_.open_jobs()) {
                c.add_job(job.text, job.revision, now, false, self->age_of(job.text));
            }
        });
        self->job_watcher_.start_watching(
            {[self](const core::JobText& text, std::uint64_t revision) {
                 if (self->stopped_) return;
                 self->with([&](core::Cluster& c) {
                     c.add_job(text, revision, self->runtime_.now(), false, self->age_of(text));
                 });
                 self->host_.log(events::JobOpened{text.id, text.cls, text.count});
                 self->changed();
             },
             [self](const std::string& id, TerminalState state) {
                 if (self->stopped_) return;
                 self->with([&](core::Cluster& c) {
                     c.job_over(id, state == TerminalState::Aborted, self->runtime_.now());
                 });
                 self->changed();
             }});
        self->load_places("");
    });
}

void Leader::load_places(const std::string& since) {
    store_.list(
        store::RequestPriority::Leadership, "place/", since,
        [self = shared_from_this(), since](store::Outcome outcome, const wire::ItemPage& page) {
            if (self->stopped_) return;
            if (outcome != store::Outcome::Ok) {
                self->runtime_.after(200, [self, since] {
                    if (!self->stopped_) self->load_places(since);
                });
                return;
            }
            std::string last;
            for (const auto& item : page.items) {
                last = item.key;
                const auto slash = item.key.rfind('/');
                Place place;
                place.job = item.key.substr(6, slash - 6);
                const char* end = item.key.data() + item.key.size();
                const auto number =
                    std::from_chars(item.key.data() + slash + 1, end, place.record_number);
                auto record = wire::parse_placement_value(item.value);
                if (!record || number.ptr != end) {
                    self->host_.log(events::RecordUnreadable{item.key});
                    continue;
                }
                place.record = std::move(*record);
                place.revision = item.revision;
                self->places_.push_back(std::move(place));
            }
            if (page.more && !last.empty()) return self->load_places(last);
            for (const auto& place : self->places_) {
                const bool known =
                    self->with([&](core::Cluster& c) { return c.has_job(place.job); });
                if (!known && (self->closed_.empty() || self->closed_.back() != place.job)) {
                    self->closed_.push_back(place.job);
                }
            }
            self->load_over(0);
        });
}

void Leader::load_over(std::size_t at) {
    if (at >= closed_.size()) {
        records_read_ = true;
        return loaded();
    }
    const auto id = closed_[at];
    store_.get(store::RequestPriority::Leadership, "over/" + id,
               [self = shared_from_this(), id, at](store::Outcome outcome, const wire::Item& item) {
                   if (self->stopped_) return;
                   if (outcome == store::Outcome::Ok) {
                       auto over = wire::parse_terminal_state_value(id, item.value);
                       if (over && over->job) {
                           self->with([&](core::Cluster& c) {
                               c.add_job(*over->job, 0, self->runtime_.now(), true);
                           });
                       }
                   } else if (outcome != store::Outcome::Missing) {
                       self->runtime_.after(200, [self, at] {
                           if (!self->stopped_) self->load_over(at);
                       });
                       return;
                   }
                   self->load_over(at + 1);
               });
}

void Leader::loaded() {
    if (stopped_ || ready_ || !records_read_) return;
    // A machine that an earlier leader meant to release must not get work.
    if (!duties_->inherited_known()) {
        duties_->pump();
        runtime_.after(kIntentsPause, [self = shared_from_this()] { self->loaded(); });
        return;
    }
    const auto now = runtime_.now();
    with([&](core::Cluster& c) {
        for (const auto& place : places_) {
            if (c.has_job(place.job)) {
                c.load_record(place.job, place.record_number, place.record, place.revision, now);
            } else {
                // All its tasks are done, or it was never accepted: nothing can be on a machine.
                c.add_orphan("place/" + place.job + "/" + std::to_string(place.record_number));
            }
        }
        c.records_loaded();
    });
    host_.log(events::FailoverComplete{job_watcher_.open_jobs().size(), places_.size()});
    places_.clear();
    places_.shrink_to_fit();
    load_hints();
    ready_ = true;
    duties_->records_known();
    hints_at_ = now;
    ready_at_ = now;
    tick();
}

}  // namespace lichendrift::control
