// Messages of users: submissions and answers.
#include "wire/json.h"
#include "wire/json_messages.h"

namespace lichendrift::wire {

using namespace json;

bool valid_job_id(std::string_view id) {
    constexpr std::string_view kPrefix = "job-";
    if (id.size() <= kPrefix.size() || id.size() > kPrefix.size() + 20) return false;
    if (id.substr(0, kPrefix.size()) != kPrefix) return false;
    return id.find_first_not_of("0123456789", kPrefix.size()) == std::string_view::npos;
}

JobOrError parse_submission(std::string_view body) {
    rapidjson::Document doc;
    doc.Parse<kFlags>(body.data(), body.size());
    if (doc.HasParseError()) return "the body is not JSON";
    if (!doc.IsObject()) return "the body is not an object";
    core::JobText job;
    std::string text;
    auto bad = [](const char* name) {
        return JobOrError(std::string("field '") + name + "' is missing or invalid");
    };
    if (!get(doc, "nameId", job.id) || !valid_job_id(job.id)) return bad("nameId");
    if (!get(doc, "classe", job.cls) || !good_name(job.cls)) return bad("classe");
    if (!get(doc, "ufficio", job.team) || !good_name(job.team)) return bad("ufficio");
    // The protocol page names two kinds; the platform's own check submits a third, see
    // docs/questions.md.
    if (!get(doc, "genere", text) || (text != "sweep" && text != "ensemble" && text != "service")) {
        return bad("genere");
    }
    job.service = text == "service";
    job.gang = text == "ensemble";
    if (!get(doc, "urgenza", text)) return bad("urgenza");
    if (text == "critical")
        job.priority = core::Priority::Critical;
    else if (text == "high")
        job.priority = core::Priority::High;
    else if (text == "normal")
        job.priority = core::Priority::Normal;
    else if (text == "low")
        job.priority = core::Priority::Low;
    else
        return bad("urgenza");
    std::uint64_t count = 0;
    if (!get(doc, "prove", count) || count == 0 || count > 100'000) return bad("prove");
    job.count = static_cast<std::uint32_t>(count);
    auto amount = [&](const char* name, double& out) {
        return get(doc, name, out) && out >= 0 && out < 1e12;
    };
    if (!amount("cpus", job.cpus)) return bad("cpus");
    if (!amount("gpus", job.gpus)) return bad("gpus");
    if (!amount("memGb", job.mem_gb)) return bad("memGb");
    if (!get(doc, "fascicolo", job.image) || !good_name(job.image)) return bad("fascicolo");
    if (!amount("imageGb", job.image_gb)) return bad("imageGb");
    if (const auto* types = member(doc, "modelli")) {
        if (!types->IsArray()) return bad("modelli");
        job.types.emplace();
        for (const auto& type : types->GetArray()) {
            if (!type.IsString() || job.types->size() >= 64) return bad("modelli");
            job.types->emplace_back(type.GetString(), type.GetStringLength());
            if (!good_name(job.types->back())) return bad("modelli");
        }
    }
    if (member(doc, "sede") != nullptr) {
        if (!get(doc, "sede", text) || !good_name(text)) return bad("sede");
        job.zone = text;
    }
    if (!get(doc, "oneZone", job.one_zone)) return bad("oneZone");
    if (!get(doc, "apart", job.apart)) return bad("apart");
    if (!get(doc, "inPrestito", job.spot)) return bad("inPrestito");
    if (!amount("durataS", job.estimate_s)) return bad("durataS");
    if (!amount("salvataggioOgniS", job.checkpoint_s)) return bad("salvataggioOgniS");
    if (!amount("salvataggioS", job.save_s)) return bad("salvataggioS");
    if (member(doc, "scadenzaS") != nullptr) {
        double deadline = 0;
        if (!amount("scadenzaS", deadline)) return bad("scadenzaS");
        job.deadline_s = deadline;
    }
    return job;
}

std::string job_answer(std::string_view id, std::string_view state) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    field(w, "nameId", id);
    field(w, "stato", state);
    w.EndObject();
    return text_of(b);
}

std::string job_answer(std::string_view id, std::string_view state, std::uint32_t done,
                       std::uint32_t running) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    field(w, "nameId", id);
    field(w, "stato", state);
    key(w, "done");
    w.Uint(done);
    key(w, "running");
    w.Uint(running);
    w.EndObject();
    return text_of(b);
}

std::string error_body(std::string_view reason) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    field(w, "error", reason);
    w.EndObject();
    return text_of(b);
}

}  // namespace lichendrift::wire
