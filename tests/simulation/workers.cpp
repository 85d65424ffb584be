// The simulated workers: reports, commands, leases, tasks and gangs.
#include <algorithm>
#include <cmath>

#include "simulation/messages.h"
#include "simulation/simulation.h"

namespace lichendrift::simulation {

std::string Simulation::report(Worker& worker) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    const auto text = [&](const char* key, const std::string& value) {
        w.Key(key);
        w.String(value.c_str());
    };
    text("banco", worker.name);
    text("endpoint", worker.endpoint);
    text("modello", worker.type);
    text("sede", worker.zone);
    w.Key("inPrestito");
    w.Bool(worker.spot);
    w.Key("turno");
    w.Uint64(worker.session);
    w.Key("protocollo");
    w.Uint64(++worker.seq);
    w.Key("delega");
    w.Uint64(worker.token);
    if (worker.interrupted_at >= 0) {
        w.Key("preavvisoS");
        w.Double(std::max(0.0, static_cast<double>(worker.interrupted_at - now_) / 1000));
    }
    w.Key("prove");
    w.StartArray();
    for (const auto& t : worker.tasks) {
        w.StartObject();
        text("prova", t.job + "/" + std::to_string(t.task));
        w.Key("tentativo");
        w.Uint64(t.attempt);
        text("stato", t.state);
        if (t.state == "exited") {
            text("esito", t.exit_reason);
            w.Key("stored");
            w.Bool(t.stored);
        }
        w.EndObject();
    }
    w.EndArray();
    w.EndObject();
    return b.GetString();
}

void Simulation::execute_commands(Worker& worker, const std::string& body, Millis sent) {
    const auto doc = parsed(body);
    if (!doc.HasMember("ordini")) return;
    for (const auto& o : doc["ordini"].GetArray()) {
        const std::string op = o["ordine"].GetString();
        const std::string name = o["prova"].GetString();
        const auto attempt = o["tentativo"].GetUint64();
        if (op == "run") {
            start_task(worker, name, attempt, sent);
        } else if (op == "halt") {
            halt_task(worker, name, attempt, o["tolleranzaS"].GetDouble());
        } else {
            std::erase_if(worker.tasks, [&](const Task& t) {
                return t.state == "exited" && t.attempt == attempt &&
                       t.job + "/" + std::to_string(t.task) == name;
            });
        }
    }
}

void Simulation::start_task(Worker& worker, const std::string& name, std::uint64_t attempt,
                            Millis sent) {
    const auto slash = name.rfind('/');
    Task t;
    t.job = name.substr(0, slash);
    t.task = static_cast<std::uint32_t>(std::stoul(name.substr(slash + 1)));
    t.attempt = attempt;
    double cpus = kMachineCpus;
    bool busy = false;
    for (const auto& other : worker.tasks) {
        if (other.job == t.job && other.task == t.task) {
            if (other.attempt == attempt) return;
            busy |= other.state != "exited";
        }
        if (other.state == "exited") continue;
        if (const auto* j = job(other.job)) cpus -= j->cpus;
    }
    const Job* j = job(t.job);
    worker.changed = true;
    t.state = "exited";
    if (j == nullptr || !j->submitted) {
        t.exit_reason = "unknown";
    } else if (busy) {
        t.exit_reason = "busy";
    } else if (j->cpus > cpus + 1e-9) {
        t.exit_reason = "full";
    } else {
        check_start(worker, *j, t.task, sent);
        ++job(t.job)->starts;
        t.state = "pulling";
        t.image_ready_at = now_ + 300 + static_cast<Millis>(random_below(1500));
        worker.tasks.push_back(t);
        return;
    }
    worker.tasks.push_back(t);
}

double Simulation::progress_of(const Task& task) {
    const auto ran = task.run_since > 0 ? static_cast<double>(now_ - task.run_since) / 1000 : 0;
    return task.restored_progress_s + ran;
}

void Simulation::save_progress(const Task& task, bool all) {
    Job& j = *job(task.job);
    if (j.checkpoint_s <= 0 || task.run_since == 0) return;
    const double p = progress_of(task);
    const double kept = all ? p : std::floor(p / j.checkpoint_s) * j.checkpoint_s;
    auto& saved = j.progress[j.kind == "ensemble" ? 0 : task.task];
    saved = std::max(saved, kept);
}

void Simulation::exit_task(Worker& worker, Task& task, const std::string& exit_reason,
                           bool stored) {
    if (exit_reason != "done") save_progress(task, stored);
    task.state = "exited";
    task.exit_reason = exit_reason;
    task.stored = stored;
    worker.changed = true;
    if (exit_reason != "done") return;
    Job& j = *job(task.job);
    if (j.is_service()) return;
    j.done_tasks.insert(task.task);
    if (j.cancel_at_end && j.done_tasks.size() == j.count && j.cancel_requested_at < 0) cancel(j);
}

void Simulation::halt_task(Worker& worker, const std::string& name, std::uint64_t attempt,
                           double grace) {
    for (auto& t : worker.tasks) {
        if (t.attempt != attempt || t.job + "/" + std::to_string(t.task) != name) continue;
        if (t.state == "exited") continue;
        const Job& j = *job(t.job);
        if (t.state == "running" && j.checkpoint_s > 0 && grace >= j.save_s) {
            t.state = "saving";
            t.save_until = now_ + static_cast<Millis>(j.save_s * 1000);
            worker.changed = true;
        } else if (t.state != "saving" || grace == 0) {
            exit_task(worker, t, "halted", false);
        }
    }
}

void Simulation::serve_worker(Worker& worker, const net::HttpRequest& request, Millis sent,
                              const net::Respond& respond) {
    if (worker.gone || !worker.up) return;
    ++direct_calls_;
    if (request.target == "/show") return respond({200, report(worker)});
    const auto doc = parsed(request.body);
    if (!doc.HasMember("delega") || !doc.HasMember("turno")) return respond({400, "{}"});
    const auto token = doc["delega"].GetUint64();
    const bool superseded = options_.workers_check_tokens && token < worker.token;
    const bool other_session =
        options_.workers_check_sessions && doc["turno"].GetUint64() != worker.session;
    if (superseded || other_session) return respond({409, report(worker)});
    if (token > worker.token) worker.changed = true;
    worker.token = std::max(worker.token, token);
    execute_commands(worker, request.body, sent);
    respond({200, report(worker)});
}

void Simulation::heartbeat(Worker& worker) {
    worker.in_flight = true;
    worker.changed = false;
    worker.last_heartbeat = now_;
    worker.next_heartbeat =
        now_ + static_cast<Millis>(options_.report_s * 1000 *
                                   (0.75 + 0.5 * static_cast<double>(random_below(1000)) / 1000));
    const auto name = worker.name;
    const auto sent = now_;
    const auto session = worker.session;
    const auto body = report(worker);
    if (messages_are_lossy() && random_chance(options_.delayed_copy_share)) {
        const auto late =
            1000 + static_cast<Millis>(random_below(static_cast<std::uint64_t>(
                       random_chance(0.5) ? options_.lease_s * 1000 : options_.lease_s * 6000)));
        fault_until(now_ + late);
        at(now_ + late, [this, name, body] {
            call(name, node_name(random_below(nodes_.size())) + ":1", {"POST", "/agent/beat", body},
                 4000, [](const net::HttpReply&) {});
        });
    }
    if (worker.outbound_blocked_until > now_) {
        at(now_ + 500, [this, name] {
            Worker& w = workers_.at(name);
            w.in_flight = false;
            w.node = (w.node + 1) % nodes_.size();
            w.next_heartbeat = now_ + 1000;
        });
        return;
    }
    call(name, node_name(worker.node) + ":1", {"POST", "/agent/beat", body}, 4000,
         [this, name, sent, session, restarts = worker.agent_restarts](const net::HttpReply& got) {
             Worker& w = workers_.at(name);
             if (w.gone || w.agent_restarts != restarts) return;
             auto reply = got;
             if (w.inbound_blocked_until > now_) reply = {0, "", true};
             const auto handle_reply = [this, name, sent, session, reply,
                                        responded_at = reply_sent_] {
                 Worker& current = workers_.at(name);
                 current.in_flight = false;
                 if (current.gone || current.session != session) return;
                 if (reply.status != 200) {
                     const auto doc = parsed(reply.body);
                     current.node = (current.node + 1) % nodes_.size();
                     current.next_heartbeat = now_ + 1000;
                     if (reply.status == 421 && doc.HasMember("riferireA")) {
                         const std::string to = doc["riferireA"].GetString();
                         current.node = static_cast<std::size_t>(to.at(1) - '0');
                         current.next_heartbeat = now_ + static_cast<Millis>(random_below(500));
                     }
                     return;
                 }
                 if (now_ - sent > 4000) return;
                 const auto doc = parsed(reply.body);
                 if (!doc.HasMember("delega") || doc["delega"].GetUint64() < current.token) return;
                 if (doc["delega"].GetUint64() > current.token) current.changed = true;
                 current.token = doc["delega"].GetUint64();
                 current.last_acknowledged_sent_at =
                     std::max(current.last_acknowledged_sent_at, sent);
                 execute_commands(current, reply.body, responded_at);
             };
             if (w.hung_until > now_) {
                 w.deferred.push_back(handle_reply);
             } else {
                 handle_reply();
             }
         });
}

void Simulation::restart_agent(Worker& worker, AgentMemory memory) {
    for (const auto& task : worker.tasks) {
        if (task.state == "running" || task.state == "saving") save_progress(task, false);
    }
    worker.tasks.clear();
    worker.deferred.clear();
    worker.in_flight = false;
    worker.changed = true;
    worker.last_acknowledged_sent_at = now_;
    ++worker.agent_restarts;
    if (memory == AgentMemory::Kept) return;
    worker.session = 1;
    worker.seq = 0;
    worker.token = 0;
}

void Simulation::worker_tick(Worker& worker) {
    if (worker.gone) return;
    if (worker.interrupted_at >= 0 && now_ >= worker.interrupted_at) return lose_worker(worker);
    if (!worker.up) {
        if (worker.never_boots || now_ < worker.up_at) return;
        worker.up = true;
        worker.last_acknowledged_sent_at = now_;
    }
    if (worker.hung_until > now_) return;
    if (now_ - worker.last_acknowledged_sent_at > static_cast<Millis>(options_.lease_s * 1000)) {
        for (auto& t : worker.tasks) {
            if (t.state == "running" || t.state == "saving") save_progress(t, false);
        }
        worker.tasks.clear();
        ++worker.session;
        worker.last_acknowledged_sent_at = now_;
        worker.changed = true;
        worker.in_flight = false;
    }
    for (auto deferred = std::move(worker.deferred); auto& fn : deferred) fn();
    worker.deferred.clear();
    for (auto& t : worker.tasks) {
        if (t.state == "exited") continue;
        Job& j = *job(t.job);
        const bool gang = j.kind == "ensemble";
        if (t.state == "pulling" && now_ >= t.image_ready_at) {
            if (j.done_tasks.contains(t.task)) {
                exit_task(worker, t, "done", false);
                continue;
            }
            t.state = gang ? "gathering" : "running";
            t.gang_incomplete_since = now_;
            t.restored_progress_s = j.progress[gang ? 0 : t.task];
            if (!gang) t.run_since = now_;
            if (!gang && j.first_run_at < 0) j.first_run_at = now_;
            worker.changed = true;
        }
        if (t.state == "gathering") {
            if (now_ - t.gang_incomplete_since > static_cast<Millis>(kGangWaitS * 1000)) {
                exit_task(worker, t, "alone", false);
                continue;
            }
            std::uint32_t ready = 0;
            for (auto& [name, other] : workers_) {
                for (auto& o : other.tasks) {
                    ready += o.job == t.job && o.attempt == t.attempt && o.state == "gathering";
                }
            }
            if (ready == j.count) {
                for (auto& [name, other] : workers_) {
                    for (auto& o : other.tasks) {
                        if (o.job == t.job && o.attempt == t.attempt && o.state == "gathering") {
                            o.state = "running";
                            o.run_since = now_;
                            o.gang_incomplete_since = now_;
                            other.changed = true;
                            if (j.first_run_at < 0) j.first_run_at = now_;
                        }
                    }
                }
            }
        }
        // A gang completes only while all its tasks are running.
        bool gang_complete = true;
        if (gang && (t.state == "running" || t.state == "saving")) {
            std::uint32_t running = 0;
            std::uint32_t present = 0;
            for (auto& [name, other] : workers_) {
                if (other.hung_until > now_) continue;
                for (auto& o : other.tasks) {
                    running += o.job == t.job && o.attempt == t.attempt && o.state == "running";
                    present += o.job == t.job && o.attempt == t.attempt &&
                               (o.state == "running" || o.state == "saving" ||
                                (o.state == "exited" && o.exit_reason == "done"));
                }
            }
            gang_complete = running == j.count;
            if (present == j.count) {
                t.gang_incomplete_since = now_;
            } else if (now_ - t.gang_incomplete_since >
                       static_cast<Millis>(kGangPeerTimeoutS * 1000)) {
                exit_task(worker, t, "peers", false);
                continue;
            }
        }
        if (t.state == "saving" && now_ >= t.save_until) {
            exit_task(worker, t, "halted", true);
            continue;
        }
        if (t.state == "running") {
            if ((worker.fails_tasks || j.always_fails) && now_ - t.run_since > 1000) {
                exit_task(worker, t, "error", false);
            } else if (j.is_service()) {
                const bool ends = j.replica_s > 0 && progress_of(t) >= j.replica_s;
                if (ends) exit_task(worker, t, j.replicas_crash ? "error" : "done", false);
            } else if (gang_complete && progress_of(t) >= j.run_s) {
                if (gang) {
                    for (auto& [name, other] : workers_) {
                        for (auto& o : other.tasks) {
                            if (o.job == t.job && o.attempt == t.attempt && o.state == "running") {
                                exit_task(other, o, "done", false);
                            }
                        }
                    }
                } else {
                    exit_task(worker, t, "done", false);
                }
            }
        }
    }
    const bool due =
        now_ >= worker.next_heartbeat || (worker.changed && now_ - worker.last_heartbeat >= 500);
    if (!worker.in_flight && due) heartbeat(worker);
}

}  // namespace lichendrift::simulation
