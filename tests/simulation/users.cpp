// The simulated users: submissions, polls and cancellations.
#include "simulation/messages.h"
#include "simulation/simulation.h"

namespace lichendrift::simulation {

std::string Simulation::description(const Job& j) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    const auto text = [&](const char* key, const std::string& value) {
        w.Key(key);
        w.String(value.c_str());
    };
    const auto number = [&](const char* key, double value) {
        w.Key(key);
        w.Double(value);
    };
    const auto flag = [&](const char* key, bool value) {
        w.Key(key);
        w.Bool(value);
    };
    text("nameId", j.id);
    text("classe", j.cls);
    text("ufficio", j.team);
    text("genere", j.kind);
    text("urgenza", j.priority);
    w.Key("prove");
    w.Uint(j.count);
    number("cpus", j.cpus);
    number("gpus", 0);
    number("memGb", j.mem);
    text("fascicolo", "img");
    number("imageGb", 1);
    if (j.zone) text("sede", *j.zone);
    flag("oneZone", j.one_zone);
    flag("apart", j.apart);
    flag("inPrestito", j.spot);
    number("durataS", j.is_service() ? 0 : j.run_s * 1.3);
    number("salvataggioOgniS", j.checkpoint_s);
    number("salvataggioS", j.save_s);
    w.EndObject();
    return b.GetString();
}

void Simulation::submit(Job& j) {
    j.submitted = true;
    const auto id = j.id;
    const auto node = j.via ? *j.via : static_cast<std::size_t>(random_below(nodes_.size()));
    j.via.reset();
    call("user", node_name(node) + ":1", {"POST", "/v2/runs", description(j)}, 5000,
         [this, id](const net::HttpReply& reply) {
             Job& current = *job(id);
             if (reply.status == 201 || reply.status == 200) {
                 if (current.accepted_at < 0) current.accepted_at = now_;
                 const std::string state = parsed(reply.body)["stato"].GetString();
                 if (current.cancel_confirmed_at >= 0 && state != "aborted") fail("went_back", id);
                 return;
             }
             if (reply.status == 400 || reply.status == 422) {
                 if (current.accepted_at >= 0) fail("forgotten", id + " refused after acceptance");
                 return;
             }
             if (now_ < current.submit_deadline) {
                 at(now_ + 1000, [this, id] { submit(*job(id)); });
             }
         });
}

void Simulation::cancel(Job& j, std::optional<std::size_t> node) {
    const auto id = j.id;
    if (j.cancel_requested_at < 0) j.cancel_requested_at = now_;
    const auto at_node = node ? *node : static_cast<std::size_t>(random_below(nodes_.size()));
    call("user", node_name(at_node) + ":1", {"POST", "/v2/runs/" + id + "/cancel", ""}, 5000,
         [this, id](const net::HttpReply& reply) {
             Job& current = *job(id);
             if (reply.status == 200) {
                 const std::string state = parsed(reply.body)["stato"].GetString();
                 if (state == "aborted") {
                     if (current.done_reported) fail("went_back", id + " cancelled after done");
                     if (current.cancel_confirmed_at < 0) current.cancel_confirmed_at = now_;
                 } else if (state == "done") {
                     if (current.cancel_confirmed_at >= 0)
                         fail("went_back", id + " done after cancelled");
                     current.done_reported = true;
                 } else {
                     fail("went_back", id + " answers a cancel with " + state);
                 }
                 return;
             }
             if (reply.status == 404 && current.accepted_at >= 0)
                 fail("forgotten", id + " at cancel");
             if (reply.status != 404) at(now_ + 1000, [this, id] { cancel(*job(id)); });
         });
}

void Simulation::cancel_running_jobs(std::size_t count, Millis hang_ms) {
    std::size_t hung = 0;
    for (auto& j : jobs_) {
        if (count == 0) break;
        if (j.accepted_at < 0 || j.cancel_requested_at >= 0 || j.done_reported) continue;
        bool runs = false;
        for (auto& [name, w] : workers_) {
            for (const auto& t : w.tasks) {
                if (t.job != j.id || t.state != "running") continue;
                runs = true;
                // Two hangs in a row would last longer than any bound that is checked.
                if (hang_ms > 0 && w.hung_until + 3000 < now_ && ++hung <= 8) {
                    w.hung_until = now_ + hang_ms;
                    fault_until(w.hung_until);
                }
            }
        }
        if (!runs) continue;
        --count;
        at(now_ + static_cast<Millis>(random_below(200)), [this, id = j.id] { cancel(*job(id)); });
    }
}

// Sends a request that must be answered with this status and state. A 503 and no response at all
// are allowed as well.
void Simulation::expect(std::size_t node, net::HttpRequest request, int status,
                        const std::string& state) {
    const auto request_line = request.method + " " + request.target;
    call("user", node_name(node) + ":1", std::move(request), 5000,
         [this, request_line, status, state](const net::HttpReply& reply) {
             if (reply.status == 0 || reply.status == 503) return;
             if (reply.status != status) {
                 return fail("odd_answer", request_line + " gets " + std::to_string(reply.status));
             }
             if (!state.empty() && parsed(reply.body)["stato"].GetString() != state) {
                 fail("odd_answer", request_line + " gets " + reply.body);
             }
         });
}

void Simulation::send_unusual_request() {
    const auto node = static_cast<std::size_t>(random_below(nodes_.size()));
    const auto unknown = numbered_job_id(900'000 + random_below(90'000));
    Job bad = jobs_.empty() ? batch_job(unknown, 1, 5) : jobs_[random_below(jobs_.size())];
    Job* known = jobs_.empty() ? nullptr : &jobs_[random_below(jobs_.size())];
    bad.id = unknown;
    switch (random_below(6)) {
        case 0:
            bad.cpus = kMachineCpus + 1;
            return expect(node, {"POST", "/v2/runs", description(bad)}, 422, "");
        case 1:
            bad.team = "nobody";
            return expect(node, {"POST", "/v2/runs", description(bad)}, 422, "");
        case 2: {
            auto body = description(bad);
            static const char* const kFields[] = {"\"classe\"", "\"prove\"", "\"cpus\"",
                                                  "\"genere\""};
            body.replace(body.find(kFields[random_below(4)]) + 1, 1, "x");
            return expect(node, {"POST", "/v2/runs", body}, 400, "");
        }
        case 3:
            return expect(node, {"POST", "/v2/runs/" + unknown + "/cancel", ""}, 404, "");
        case 4:
            if (known == nullptr || !known->done_reported) return;
            return expect(node, {"POST", "/v2/runs/" + known->id + "/cancel", ""}, 200, "done");
        default:
            if (known == nullptr || known->accepted_at < 0) return;
            return expect(node, {"POST", "/v2/runs", description(*known)}, 200,
                          known->cancel_confirmed_at >= 0 ? "aborted"
                          : known->done_reported          ? "done"
                                                          : "");
    }
}

void Simulation::poll(Job& j) {
    const auto id = j.id;
    const bool accepted = j.accepted_at >= 0;
    const bool cancelled = j.cancel_confirmed_at >= 0;
    const bool done = j.done_reported;
    call("user", node_name(random_below(nodes_.size())) + ":1", {"GET", "/v2/runs/" + id, ""}, 2000,
         [this, id, accepted, cancelled, done](const net::HttpReply& reply) {
             Job& current = *job(id);
             if (reply.status == 404) {
                 if (accepted) fail("forgotten", id + " gets 404");
                 return;
             }
             if (reply.status != 200) return;
             current.last_answered_at = now_;
             if (!current.submitted) fail("invented", id);
             const std::string state = parsed(reply.body)["stato"].GetString();
             if (state == "done") {
                 if (current.is_service() || current.done_tasks.size() < current.count)
                     fail("not_done", id);
                 if (cancelled) fail("went_back", id + " done after cancelled");
                 current.done_reported = true;
             } else if (state == "aborted") {
                 if (current.cancel_requested_at < 0)
                     fail("went_back", id + " cancelled by nobody");
                 if (done) fail("went_back", id + " cancelled after done");
                 if (current.cancel_confirmed_at < 0) current.cancel_confirmed_at = now_;
             } else if (cancelled || done) {
                 fail("went_back", id + " is " + state + " again");
             }
         });
}

void Simulation::ask_often(const std::string& job_id, Millis from, Millis until) {
    if (from >= until) return;
    job(job_id)->asked_often = true;
    at(from, [this, job_id, until] {
        ask_once(job_id);
        ask_often(job_id, now_ + 20 + static_cast<Millis>(random_below(60)), until);
    });
}

void Simulation::ask_once(const std::string& job_id) {
    Job& j = *job(job_id);
    if (now_ >= j.submit_at) j.submitted = true;
    const auto choice = random_below(4);
    if (choice == 0 && j.submitted) return repeat_submission(j);
    if (choice == 1 && j.cancel_requested_at >= 0) return cancel(j);
    poll(j);
}

// The answer must not be older than what the user knew when the request was sent.
void Simulation::repeat_submission(const Job& j) {
    const auto node = random_below(nodes_.size());
    const bool accepted = j.accepted_at >= 0;
    const std::string final_state = j.cancel_confirmed_at >= 0 ? "aborted"
                                    : j.done_reported          ? "done"
                                                               : "";
    call("user", node_name(node) + ":1", {"POST", "/v2/runs", description(j)}, 5000,
         [this, id = j.id, accepted, final_state](const net::HttpReply& reply) {
             if (reply.status == 400 || reply.status == 422) {
                 if (accepted) fail("forgotten", id + " refused after acceptance");
                 return;
             }
             if (reply.status != 200 && reply.status != 201) return;
             if (job(id)->accepted_at < 0) job(id)->accepted_at = now_;
             const std::string state = parsed(reply.body)["stato"].GetString();
             if (!final_state.empty() && state != final_state) {
                 fail("went_back", id + " is " + state + " after " + final_state);
             }
         });
}

void Simulation::user_tick(Job& j) {
    if (!j.submitted && !j.asked_often && now_ >= j.submit_at) {
        j.submit_deadline = now_ + 60000;
        submit(j);
    }
    if (j.cancel_at >= 0 && j.cancel_requested_at < 0 && now_ >= j.cancel_at &&
        j.accepted_at >= 0) {
        cancel(j);
    }
    const auto phase = static_cast<Millis>(std::hash<std::string>{}(j.id) % 20) * 100;
    if (now_ % 2000 == phase) poll(j);
}

}  // namespace lichendrift::simulation
