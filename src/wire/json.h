#pragma once

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cmath>
#include <string>
#include <string_view>

// Reading and writing of JSON that all kinds of messages share. A reader returns false for a field
// that is missing, null or of another type.
namespace lichendrift::wire::json {

using Value = rapidjson::Value;
using Buffer = rapidjson::StringBuffer;
using Writer = rapidjson::Writer<Buffer>;

inline constexpr std::size_t kMaxName = 200;

// Nesting is bounded: a hostile body must not run the stack out.
inline constexpr unsigned kFlags =
    rapidjson::kParseIterativeFlag | rapidjson::kParseFullPrecisionFlag;

inline bool parse(rapidjson::Document& doc, std::string_view body) {
    doc.Parse<kFlags>(body.data(), body.size());
    return !doc.HasParseError() && doc.IsObject();
}

inline const Value* member(const Value& object, const char* name) {
    auto it = object.FindMember(name);
    return it == object.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}

inline bool get(const Value& object, const char* name, std::string& out) {
    const auto* v = member(object, name);
    if (v == nullptr || !v->IsString()) return false;
    out.assign(v->GetString(), v->GetStringLength());
    return true;
}

inline bool get(const Value& object, const char* name, bool& out) {
    const auto* v = member(object, name);
    if (v == nullptr || !v->IsBool()) return false;
    out = v->GetBool();
    return true;
}

inline bool get(const Value& object, const char* name, double& out) {
    const auto* v = member(object, name);
    if (v == nullptr || !v->IsNumber()) return false;
    out = v->GetDouble();
    return std::isfinite(out);
}

inline bool get(const Value& object, const char* name, std::uint64_t& out) {
    const auto* v = member(object, name);
    if (v == nullptr || !v->IsUint64()) return false;
    out = v->GetUint64();
    return true;
}

inline void key(Writer& w, const char* name) { w.Key(name); }

inline void string(Writer& w, std::string_view text) {
    w.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}

inline void field(Writer& w, const char* name, std::string_view text) {
    key(w, name);
    string(w, text);
}

inline std::string text_of(const Buffer& b) { return {b.GetString(), b.GetSize()}; }

inline std::string json_of(const Value& value) {
    Buffer b;
    Writer w(b);
    value.Accept(w);
    return text_of(b);
}

inline bool good_name(const std::string& name) { return !name.empty() && name.size() <= kMaxName; }

}  // namespace lichendrift::wire::json
