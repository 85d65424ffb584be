#include "control/leader.h"

#include <algorithm>
#include <charconv>

#include "control/policy.h"

namespace lichendrift::control {

namespace {

constexpr Millis kTick = 250;
constexpr Millis kPlanSpacing = 60;
constexpr Millis kLongestSpacing = 1500;
constexpr Millis kPlanPause = 3;  // times as long as the last plan took
constexpr int kCountsFull = 10;   // every so many tellings of counts, all are told
constexpr Millis kHintsEvery = 8000;
constexpr Millis kHintPause = 500;      // between two records of images
constexpr std::size_t kHintBytes = 90;  // of a machine in such a record
constexpr Millis kListWait = 6000;
constexpr Millis kRentSpacing = 700;
constexpr Millis kRentTrouble = 1500;
constexpr std::uint32_t kMostRent = 50;  // the protocol's limit for one request
constexpr Millis kDirectDeadline = 1500;
constexpr std::size_t kMostDirect = 24;
constexpr std::size_t kRecordBytes = 40'000;
constexpr int kMostChunkWrites = 2;   // transactions under way
constexpr int kMostUrgentWrites = 2;  // beyond these, of records that starts of replicas wait for

}  // namespace

Leader::Leader(net::Port& port, const Settings& settings, store::StoreClient& store,
               cloud::CloudClient& cloud, Feed& feed, LeaderHost& host, std::uint64_t token,
               std::uint64_t leader_rev)
    : port_(port),
      settings_(settings),
      store_(store),
      cloud_(cloud),
      feed_(feed),
      host_(host),
      token_(token),
      leader_rev_(leader_rev) {
    core::ClusterSettings cs;
    cs.teams = settings.teams;
    cs.token = token;
    cs.report_ms = static_cast<Millis>(settings.report_s * 1000);
    cs.lease_ms = static_cast<Millis>(settings.lease_s * 1000);
    cs.cancel_ms = static_cast<Millis>(settings.cancel_s * 1000);
    cs.gang_peer_s = settings.gang_peer_s;
    cs.guards = settings.guards;
    cs.policy = std::make_shared<OperatorPolicy>(settings.policy);
    for (const auto& o : settings.objectives) {
        using Kind = core::Aim::Kind;
        if (o.kind == "wait") cs.aims.push_back({Kind::Start, o.cls, o.within_s});
        if (o.kind == "finished") cs.aims.push_back({Kind::Finish, o.cls, o.within_s});
        if (o.kind == "guarantee") cs.aims.push_back({Kind::Guarantee, "", o.within_s});
    }
    // A placed task takes about 50 bytes of its record; the margin is for long machine names.
    // The version in production computes it like this: it is a part of the stored format.
    auto kilobytes = settings.state_value_kb;
    if (!settings.guards.stable_layout && settings.guards.current_version) {
        kilobytes = settings.state_next.value_kb.value_or(kilobytes);
    }
    cs.chunk_tasks = std::max(8U, static_cast<std::uint32_t>(kilobytes * 1024 / 80));
    for (const auto& zone : settings.zones) shared_->zones.intern(zone);
    shared_->cluster = std::make_unique<core::Cluster>(cs, shared_->types, shared_->zones);
}

void Leader::start(const std::vector<core::MachineType>& known_types) {
    if (!known_types.empty()) {
        with([&](core::Cluster& c) { c.set_types(known_types); });
        types_known_ = true;
    }
    load_jobs();
}

void Leader::stop() {
    stopped_ = true;
    feed_.unfollow();
}

void Leader::load_jobs() {
    feed_.barrier([self = shared_from_this()](bool ok) {
        if (self->stopped_) return;
        if (!ok) {
            self->port_.after(200, [self] {
                if (!self->stopped_) self->load_jobs();
            });
            return;
        }
        self->jobs_read_ = true;
        const auto now = self->port_.now();
        self->with([&](core::Cluster& c) {
            c.records_to_come();
            for (const auto& [id, job] : self->feed_.all_open()) {
                c.add_job(job.text, job.rev, now, false, self->age_of(job.text));
            }
        });
        self->feed_.follow(
            {[self](const core::JobText& text, std::uint64_t rev) {
                 if (self->stopped_) return;
                 self->with([&](core::Cluster& c) {
                     c.add_job(text, rev, self->port_.now(), false, self->age_of(text));
                 });
                 self->host_.log_info("job " + text.id + " (" + text.cls + ") is open, " +
                                      std::to_string(text.count) + " tasks");
                 self->changed();
             },
             [self](const std::string& id, bool aborted) {
                 if (self->stopped_) return;
                 self->with([&](core::Cluster& c) { c.job_over(id, aborted, self->port_.now()); });
                 self->changed();
             }});
        self->load_places("");
    });
}

void Leader::load_places(const std::string& since) {
    store_.list(
        store::Lane::Leadership, "place/", since,
        [self = shared_from_this(), since](store::Outcome outcome, const wire::ItemPage& page) {
            if (self->stopped_) return;
            if (outcome != store::Outcome::Ok) {
                self->port_.after(200, [self, since] {
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
                const auto number = std::from_chars(item.key.data() + slash + 1, end, place.chunk);
                auto record = wire::parse_place_value(item.value);
                if (!record || number.ptr != end) {
                    self->host_.log_info("record " + item.key + " is not readable");
                    continue;
                }
                place.record = std::move(*record);
                place.rev = item.rev;
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
    if (at >= closed_.size()) return loaded();
    const auto id = closed_[at];
    store_.get(store::Lane::Leadership, "over/" + id,
               [self = shared_from_this(), id, at](store::Outcome outcome, const wire::Item& item) {
                   if (self->stopped_) return;
                   if (outcome == store::Outcome::Ok) {
                       auto over = wire::parse_over_value(id, item.value);
                       if (over && over->job) {
                           self->with([&](core::Cluster& c) {
                               c.add_job(*over->job, 0, self->port_.now(), true);
                           });
                       }
                   } else if (outcome != store::Outcome::Missing) {
                       self->port_.after(200, [self, at] {
                           if (!self->stopped_) self->load_over(at);
                       });
                       return;
                   }
                   self->load_over(at + 1);
               });
}

void Leader::loaded() {
    const auto now = port_.now();
    with([&](core::Cluster& c) {
        for (const auto& place : places_) {
            if (c.has_job(place.job)) {
                c.load_record(place.job, place.chunk, place.record, place.rev, now);
            } else {
                // All its tasks are done, or it was never accepted: nothing can be on a machine.
                c.add_orphan("place/" + place.job + "/" + std::to_string(place.chunk));
            }
        }
        c.records_loaded();
    });
    host_.log_info("take-over complete: " + std::to_string(feed_.all_open().size()) +
                   " open jobs, " + std::to_string(places_.size()) + " records");
    places_.clear();
    places_.shrink_to_fit();
    load_hints();
    ready_ = true;
    hints_at_ = now;
    ready_at_ = now;
    tick();
}

void Leader::load_hints() {
    // Without them a new leader would fetch again what is there, and late starts follow.
    store_.list(store::Lane::Place, "images/", "",
                [self = shared_from_this()](store::Outcome outcome, const wire::ItemPage& page) {
                    if (self->stopped_ || outcome != store::Outcome::Ok) return;
                    for (const auto& item : page.items) {
                        const auto hints = wire::parse_image_hints_value(item.value);
                        if (!hints) continue;
                        self->with([&](core::Cluster& c) {
                            c.load_image_hints(*hints, self->port_.now());
                        });
                    }
                });
}

void Leader::write_hints() {
    // In several records, as one would hold no more than a hundred machines; one at a time, each
    // every 8 s, and only if it changed.
    const auto value_bytes = store_.lasting_value_bytes() * 3 / 4;
    const auto parts = with([&](core::Cluster& c) {
        return 1 + c.machine_count() / std::max<std::size_t>(1, value_bytes / kHintBytes);
    });
    const auto now = port_.now();
    const auto pause = std::max(kHintPause, kHintsEvery / static_cast<Millis>(parts));
    if (now - hints_at_ < pause || !store_.has_room_for(1)) return;
    hints_at_ = now;
    hint_part_ = (hint_part_ + 1) % parts;
    auto value = wire::image_hints_value(
        with([&](core::Cluster& c) { return c.image_hints(hint_part_, parts); }), value_bytes);
    if (value == hints_[hint_part_]) return;
    hints_[hint_part_] = value;
    store_.txn(store::Lane::Read, {mine()},
               {{"images/" + std::to_string(hint_part_), std::move(value), 0}},
               [self = shared_from_this()](const store::TxnResult& result) {
                   if (!self->stopped_) self->lost(result);
               });
}

void Leader::tick() {
    if (stopped_) return;
    const auto now = port_.now();
    if (now - types_at_ > (types_known_ ? 20000 : 1000)) poll_types();
    const auto list_every =
        std::max<Millis>(3000, static_cast<Millis>(settings_.cloud_list_lag_s * 1000));
    if (now - listed_at_ > list_every) poll_list();
    const bool sure = host_.may_start();
    const auto lines = with([&](core::Cluster& c) { return c.tick(now, sure); });
    for (const auto& line : lines) host_.log_info(line);
    for (const auto& line : with([](core::Cluster& c) { return c.policy_complaints(); })) {
        host_.log_info(line);
    }
    if (!lines.empty()) changed();
    if (now - planned_at_ > 1000) ask_plan();
    if (now - counted_at_ > 800) {
        counted_at_ = now;
        // Only what changed, so that telling costs by change and not by the number of jobs.
        const bool all = counts_told_++ % kCountsFull == 0;
        std::vector<wire::JobCounts> counts;
        for (const auto& [id, n] : with([&](core::Cluster& c) { return c.job_counts(all); })) {
            if (counts.size() < 1000) counts.push_back({id, n.done, n.running});
        }
        host_.counts_found(std::move(counts), all);
    }
    if (host_.may_start()) write_hints();
    write();
    return_machines();
    dispatch();
    sync_machines();
    port_.after(kTick, [self = shared_from_this()] { self->tick(); });
}

void Leader::poll_types() {
    if (asking_types_) return;
    asking_types_ = true;
    types_at_ = port_.now();
    cloud_.types([self = shared_from_this()](cloud::Answer answer,
                                             const std::vector<core::MachineType>& types) {
        self->asking_types_ = false;
        if (self->stopped_ || answer != cloud::Answer::Ok) return;
        self->with([&](core::Cluster& c) { c.set_types(types); });
        if (!self->types_known_) self->ask_plan();
        self->types_known_ = true;
        self->host_.types_found(types);
    });
}

void Leader::poll_list() {
    if (listing_) return;
    listing_ = true;
    listed_at_ = port_.now();
    cloud_.list([self = shared_from_this()](cloud::Answer answer,
                                            const std::vector<core::ListedMachine>& machines,
                                            const std::set<std::string>& names) {
        self->listing_ = false;
        if (self->stopped_) return;
        const auto now = self->port_.now();
        self->with([&](core::Cluster& c) {
            c.on_list(machines, now);
            if (answer == cloud::Answer::Ok) c.on_list_complete(names, now);
        });
        if (answer == cloud::Answer::Ok && !self->listed_) {
            // Plans made before know neither these machines nor which zone is cut off.
            self->rented_at_ = now;
            self->listed_ = true;
        }
        self->sync_machines();
    });
}

void Leader::sync_machines() {
    // Raises the token at machines whose reports still carry an older one, so that commands of
    // earlier leaders, late copies included, end there.
    if (calls_open_ >= kMostDirect) return;
    const auto now = port_.now();
    const auto most = kMostDirect - calls_open_;
    for (const auto& name : with([&](core::Cluster& c) { return c.machines_to_ask(most, now); })) {
        direct(name);
    }
}

void Leader::changed() {
    write();
    dispatch();
    ask_plan();
}

std::optional<wire::BeatAnswer> Leader::beat(const core::Report& report) {
    if (report.token >= token_ + core::kTokensOfALead) {
        host_.step_down("a worker has seen token " + std::to_string(report.token));
        return std::nullopt;
    }
    if (!ready_) return beat_before_ready(report);
    const auto now = port_.now();
    // A lease that nobody can vouch for ends: work on that machine may have been called off.
    const bool may_renew = host_.may_renew_leases();
    const bool may_start = host_.may_run();
    core::BeatOutcome outcome;
    wire::BeatAnswer answer{token_, {}};
    with([&](core::Cluster& c) {
        outcome = c.on_report(report, true, now);
        // A late copy gets no orders: nobody waits for its answer.
        if (may_renew && outcome.fresh && !c.calling(report.machine)) {
            answer.orders = c.beat_orders(report.machine, report.seq, may_start, now);
        }
        answer.token = c.token_for(report.machine);
    });
    if (outcome.changed) changed();
    if (!may_renew) return std::nullopt;
    return answer;
}

// Before the records are read nothing may be concluded; the answer raises the token. Yet a state
// service that goes out now would keep this leader from reading them, and it would renew leases
// under work that was called off: what is known to be over is stopped by name.
std::optional<wire::BeatAnswer> Leader::beat_before_ready(const core::Report& report) const {
    if (!host_.may_renew_leases()) return std::nullopt;
    wire::BeatAnswer answer{token_, {}};
    if (!settings_.guards.cancels_known) return answer;
    for (const auto& task : report.tasks) {
        if (task.phase == core::TaskPhase::Exited || feed_.open(task.job) != nullptr) continue;
        // Read since this lead began, the copy holds every job that an earlier one started.
        if (!jobs_read_ && !feed_.final_word(task.job)) return std::nullopt;
        answer.orders.push_back({core::Order::Kind::Halt, task.job, task.task, task.attempt, 0});
    }
    return answer;
}

bool Leader::lost(const store::TxnResult& result) {
    if (result.outcome != store::Outcome::Conflict) return false;
    if (std::find(result.failed.begin(), result.failed.end(), "leader") == result.failed.end()) {
        return false;
    }
    host_.step_down("another leader has won");
    return true;
}

void Leader::write() {
    if (!ready_ || !host_.may_start()) return;
    write_finals();
    write_chunks();
    write_orphans();
}

// The limits that hold later count as soon as no controller can come that would not understand what
// is written within them, and at once when the state service shows that they hold.
core::Cluster::RecordLimits Leader::record_limits() const {
    const bool may_refine =
        settings_.guards.current_version && (host_.peers_are_current() || store_.limits_fell());
    return {store_.txn_ops(), kRecordBytes,
            may_refine ? store_.lasting_value_bytes() : store_.value_bytes(), may_refine,
            chunk_writes_ >= kMostChunkWrites};
}

void Leader::write_chunks() {
    if (chunk_writes_ >= kMostChunkWrites + kMostUrgentWrites) return;
    const auto now = port_.now();
    const bool lazy = store_.has_room_for(store_.txn_ops());
    auto writes =
        with([&](core::Cluster& c) { return c.next_chunk_writes(record_limits(), lazy, now); });
    if (writes.empty()) return;
    // What waits for its pace must not hold up the start of a replica.
    const auto lane = writes.front().urgent ? store::Lane::Submit : store::Lane::Place;
    std::vector<wire::Condition> when{mine()};
    std::vector<wire::Change> then;
    for (const auto& w : writes) {
        const auto key = "place/" + w.job_id + "/" + std::to_string(w.chunk);
        when.push_back({key, w.rev});
        // A record that becomes durable after its job is over, late or from a copy that lags, would
        // be followed by starts.
        if (settings_.guards.record_of_open) when.push_back({"open/" + w.job_id, w.open_rev});
        then.push_back({key, wire::place_value(w.record), 0});
    }
    ++chunk_writes_;
    store_.txn(
        lane, when, then,
        [self = shared_from_this(), writes = std::move(writes)](const store::TxnResult& result) {
            --self->chunk_writes_;
            if (self->stopped_ || self->lost(result)) return;
            const auto at = self->port_.now();
            for (const auto& w : writes) {
                const auto key = "place/" + w.job_id + "/" + std::to_string(w.chunk);
                const bool clash = result.outcome == store::Outcome::Unknown ||
                                   std::find(result.failed.begin(), result.failed.end(), key) !=
                                       result.failed.end();
                if (clash) {
                    // In doubt, or an earlier write in doubt came late: read back first.
                    self->reread(w);
                    continue;
                }
                const bool over = std::find(result.failed.begin(), result.failed.end(),
                                            "open/" + w.job_id) != result.failed.end();
                self->with([&](core::Cluster& c) {
                    if (result.outcome == store::Outcome::Conflict) {
                        return c.chunk_refused(w, over, at);
                    }
                    c.chunk_written(w, result.outcome == store::Outcome::Ok, result.revision, at);
                });
                // Which final word it is comes with the next read.
                if (over) self->feed_.barrier([](bool) {});
            }
            self->write();
            self->dispatch();
        });
}

void Leader::reread(const core::ChunkWrite& write) {
    store_.get(store::Lane::Place, "place/" + write.job_id + "/" + std::to_string(write.chunk),
               [self = shared_from_this(), write](store::Outcome outcome, const wire::Item& item) {
                   if (self->stopped_) return;
                   const auto now = self->port_.now();
                   if (outcome == store::Outcome::Missing) {
                       self->with([&](core::Cluster& c) { c.chunk_reread(write, 0, 0, now); });
                   } else if (auto record = outcome == store::Outcome::Ok
                                                ? wire::parse_place_value(item.value)
                                                : std::nullopt) {
                       self->with([&](core::Cluster& c) {
                           c.chunk_reread(write, item.rev, record->nonce, now);
                       });
                   } else {
                       self->port_.after(300, [self, write] {
                           if (!self->stopped_) self->reread(write);
                       });
                       return;
                   }
                   self->write();
                   self->dispatch();
               });
}

void Leader::write_finals() {
    while (final_writes_ < 3) {
        const auto now = port_.now();
        core::JobText text;
        auto write = with([&](core::Cluster& c) {
            auto w = c.next_final_write(store_.txn_ops() - 2, now);
            if (w && w->with_job) text = c.jobs().at(w->job).text;
            return w;
        });
        if (!write) return;
        std::vector<wire::Condition> when{
            mine(), {"open/" + write->job_id, write->open_rev}, {"over/" + write->job_id, 0}};
        std::vector<wire::Change> then{
            {"open/" + write->job_id, "", 0},
            {"over/" + write->job_id,
             write->with_job ? wire::over_value_within(false, text, store_.lasting_value_bytes())
                             : wire::over_value(false, nullptr),
             0}};
        for (auto chunk : write->chunks) {
            then.push_back({"place/" + write->job_id + "/" + std::to_string(chunk), "", 0});
        }
        ++final_writes_;
        store_.txn(store::Lane::Place, when, then,
                   [self = shared_from_this(), write = *write](const store::TxnResult& result) {
                       --self->final_writes_;
                       if (self->stopped_ || self->lost(result)) return;
                       const bool ok = result.outcome == store::Outcome::Ok;
                       self->with([&](core::Cluster& c) {
                           c.final_written(write, ok, self->port_.now());
                       });
                       if (ok) {
                           self->host_.log_info("job " + write.job_id + " done");
                           self->feed_.wrote_final(write.job_id, false, result.revision);
                       }
                       self->write();
                   });
    }
}

void Leader::write_orphans() {
    if (orphan_write_) return;
    auto keys = with([&](core::Cluster& c) { return c.next_orphans(store_.txn_ops()); });
    if (keys.empty()) return;
    std::vector<wire::Change> then;
    then.reserve(keys.size());
    for (const auto& key : keys) then.push_back({key, "", 0});
    orphan_write_ = true;
    store_.txn(store::Lane::Read, {mine()}, then,
               [self = shared_from_this(), keys](const store::TxnResult& result) {
                   self->orphan_write_ = false;
                   if (self->stopped_ || self->lost(result)) return;
                   self->with([&](core::Cluster& c) {
                       c.orphans_removed(keys, result.outcome == store::Outcome::Ok);
                   });
               });
}

void Leader::return_machines() {
    // A request that is held on its way would be carried out long after another leads.
    if (returning_ || !host_.may_start()) return;
    const auto now = port_.now();
    auto names = with([&](core::Cluster& c) { return c.next_returns(100, now); });
    if (names.empty()) return;
    returning_ = true;
    cloud_.give_back(names, host_.sure_until(),
                     [self = shared_from_this(), names](cloud::Answer answer) {
                         self->returning_ = false;
                         if (self->stopped_) return;
                         self->with([&](core::Cluster& c) {
                             c.returned(names, answer == cloud::Answer::Ok, self->port_.now());
                         });
                         if (answer == cloud::Answer::Ok) {
                             self->host_.log_info("returned " + std::to_string(names.size()) +
                                                  " machines, " + names.front());
                             self->changed();
                         }
                     });
}

void Leader::dispatch() {
    if (!ready_ || calls_open_ >= kMostDirect) return;
    const bool may_start = host_.may_run();
    const auto now = port_.now();
    const auto most = kMostDirect - calls_open_;
    for (const auto& name :
         with([&](core::Cluster& c) { return c.machines_with_orders(may_start, most, now); })) {
        direct(name);
    }
}

void Leader::direct(const std::string& machine) {
    const auto now = port_.now();
    const bool may_start = host_.may_run();
    auto orders = with([&](core::Cluster& c) { return c.direct_orders(machine, may_start, now); });
    if (orders.endpoint.empty()) return;
    // A machine that was never heard is in its first session, or says so in its answer.
    if (orders.session == 0) orders.session = 1;
    ++calls_open_;
    port_.call(orders.endpoint,
               {"POST", "/do", wire::direct_body(orders.token, orders.session, orders.orders)},
               kDirectDeadline, [self = shared_from_this(), orders](const net::HttpReply& reply) {
                   --self->calls_open_;
                   if (self->stopped_) return;
                   const auto at = self->port_.now();
                   using Result = core::Cluster::DirectResult;
                   auto report = reply.status == 200 || reply.status == 409
                                     ? wire::parse_report(reply.body)
                                     : std::nullopt;
                   if (reply.status == 200 && !report) self->malformed_.note(at);
                   if (report && report->machine != orders.machine) report.reset();
                   const auto result = reply.status == 200 ? Result::Executed
                                       : reply.status == 409 || reply.status == 400 ||
                                               (reply.status == 0 && !reply.sent)
                                           ? Result::NotExecuted
                                           : Result::NoAnswer;
                   core::BeatOutcome outcome;
                   self->with([&](core::Cluster& c) {
                       c.direct_result(orders, result, at);
                       if (report) outcome = c.on_report(*report, false, at);
                   });
                   if (outcome.superseded) {
                       return self->host_.step_down("a worker has seen a higher token");
                   }
                   if (outcome.changed) self->changed();
                   // The next ones that were kept waiting by the bound on calls under way.
                   if (self->calls_open_ + 1 == kMostDirect) {
                       self->dispatch();
                       self->sync_machines();
                   }
               });
}

void Leader::ask_plan() {
    if (stopped_ || !ready_ || !types_known_) return;
    if (planning_) {
        plan_wanted_ = true;
        return;
    }
    const auto now = port_.now();
    // Planning gets a bounded part of the time: on a slow or busy machine plans come less often,
    // rather than beats and renewals late.
    const auto spacing = std::clamp(plan_took_ * kPlanPause, kPlanSpacing, kLongestSpacing);
    if (now - planned_at_ < spacing) {
        if (plan_timer_) return;
        plan_timer_ = true;
        port_.after(spacing - (now - planned_at_), [self = shared_from_this()] {
            self->plan_timer_ = false;
            self->ask_plan();
        });
        return;
    }
    planned_at_ = now;
    planning_ = true;
    plan_wanted_ = false;
    const auto wall = port_.wall_ms();
    port_.plan(
        [shared = shared_, now, wall] {
            std::scoped_lock lock(shared->mutex);
            return shared->cluster->snapshot(now, wall);
        },
        [self = shared_from_this()](const core::Plan& plan) {
            self->planning_ = false;
            if (self->stopped_) return;
            self->plan_took_ = self->port_.now() - self->planned_at_;
            self->planned_at_ = self->port_.now();
            self->planned(plan);
            if (self->plan_wanted_) self->ask_plan();
        });
}

void Leader::planned(const core::Plan& plan) {
    if (!host_.may_start()) return;
    const auto now = port_.now();
    const auto applied = with([&](core::Cluster& c) { return c.apply(plan, now); });
    for (const auto& line : applied.lines) host_.log_info(line);
    if (applied.starts + applied.stops > 0) {
        write();
        dispatch();
    }
    // Before the first list most machines are not known yet, and renting would double them.
    if (!listed_ && now - ready_at_ < kListWait) return;
    // Demand comes in bits; renting at every plan would use up the cloud's pace.
    // A plan made before the last rental was answered does not know its machines.
    if (renting_ == 0 && now >= rent_pause_ && plan.taken_at >= rented_at_ &&
        !applied.rents.empty()) {
        rent_pause_ = now + kRentSpacing;
        for (auto r : applied.rents) {
            for (; r.number > kMostRent; r.number -= kMostRent) {
                auto part = r;
                part.number = kMostRent;
                rent(part);
            }
            rent(r);
        }
    }
}

void Leader::rent(const core::Rent& rent) {
    std::string type;
    std::string zone;
    with([&](core::Cluster&) {
        type = shared_->types.name(rent.type);
        zone = shared_->zones.name(rent.zone);
    });
    // Token and counter: no request name is ever used twice, by any node.
    const auto request = "r-" + std::to_string(token_) + "-" + std::to_string(++rentals_);
    host_.log_info("rent " + std::to_string(rent.number) + " " + type + " in " + zone +
                   (rent.spot ? " (spot) as " : " as ") + request);
    ++renting_;
    ask_rent(request, type, zone, rent, 6);
}

void Leader::rent_again(const std::string& request, const std::string& type,
                        const std::string& zone, const core::Rent& rent, int tries) {
    port_.after(1000, [=, self = shared_from_this()] {
        if (!self->stopped_) self->ask_rent(request, type, zone, rent, tries);
    });
}

void Leader::ask_rent(const std::string& request, const std::string& type, const std::string& zone,
                      core::Rent rent, int tries) {
    if (!host_.may_start()) {
        if (tries > 0) return rent_again(request, type, zone, rent, tries - 1);
        --renting_;
        return;
    }
    const auto number = rent.number;
    cloud_.rent(request, type, zone, rent.spot, number, host_.sure_until(),
                [self = shared_from_this(), request, type, zone, rent, tries, number](
                    cloud::Answer answer, const std::vector<std::string>& names) {
                    if (self->stopped_) return;
                    const auto now = self->port_.now();
                    if (answer == cloud::Answer::NoAnswer && tries > 0) {
                        return self->rent_again(request, type, zone, rent, tries - 1);
                    }
                    --self->renting_;
                    self->rented_at_ = now;
                    if (answer == cloud::Answer::Trouble) self->rent_pause_ = now + kRentTrouble;
                    self->with([&](core::Cluster& c) {
                        if (answer == cloud::Answer::Ok) {
                            c.on_rented(type, zone, rent.spot, names, now);
                        }
                        if (answer == cloud::Answer::NoCapacity ||
                            (answer == cloud::Answer::Ok && names.size() < number)) {
                            c.on_refused(rent.type, rent.zone, rent.spot, now);
                        }
                    });
                    self->host_.log_info(
                        "rental " + request + ": " + std::to_string(names.size()) + " machines" +
                        (answer == cloud::Answer::NoCapacity ? ", no capacity" : ""));
                    self->ask_plan();
                });
}

}  // namespace lichendrift::control
