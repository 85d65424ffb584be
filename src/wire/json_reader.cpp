// Typed reading of JSON objects with RapidJSON.
#include "wire/json_reader.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cmath>

namespace lichendrift::wire::json {

bool read(const Value& value, std::string& out) {
    if (!value.IsString()) return false;
    out.assign(value.GetString(), value.GetStringLength());
    return true;
}

bool read(const Value& value, std::string_view& out) {
    if (!value.IsString()) return false;
    out = {value.GetString(), value.GetStringLength()};
    return true;
}

bool read(const Value& value, bool& out) {
    if (!value.IsBool()) return false;
    out = value.GetBool();
    return true;
}

bool read(const Value& value, double& out) {
    if (!value.IsNumber()) return false;
    out = value.GetDouble();
    return std::isfinite(out);
}

bool read(const Value& value, std::uint32_t& out) {
    if (!value.IsUint()) return false;
    out = value.GetUint();
    return true;
}

bool read(const Value& value, std::uint64_t& out) {
    if (!value.IsUint64()) return false;
    out = value.GetUint64();
    return true;
}

bool read(const Value& value, std::int64_t& out) {
    if (!value.IsInt64()) return false;
    out = value.GetInt64();
    return true;
}

bool read(const Value& value, std::tuple<double&, double&, double&>& out) {
    constexpr rapidjson::SizeType kCount = 3;
    return value.IsArray() && value.Size() == kCount && read(value[0], std::get<0>(out)) &&
           read(value[1], std::get<1>(out)) && read(value[2], std::get<2>(out));
}

bool read(const Value& value, std::vector<std::string>& out) {
    if (!value.IsArray()) return false;
    const auto list = value.GetArray();
    if (!std::all_of(list.begin(), list.end(), [](const Value& entry) { return entry.IsString(); }))
        return false;
    for (const auto& entry : list) out.emplace_back(entry.GetString(), entry.GetStringLength());
    return true;
}

std::string text_of(const Value& value) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    value.Accept(writer);
    return {buffer.GetString(), buffer.GetSize()};
}

ObjectReader::ObjectReader(const Value& object, std::optional<ParseError>& error)
    : object_(object), error_(error) {
    if (!object_.IsObject()) fail(ParseFault::NotAnObject, {});
}

const Value* ObjectReader::find(std::string_view name) const {
    if (error_) return nullptr;
    const Value key(rapidjson::StringRef(name.data(), name.size()));
    const auto it = object_.FindMember(key);
    return it == object_.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}

std::optional<std::vector<std::string>> ObjectReader::strings(std::string_view name) const {
    const auto* list = find(name);
    if (list == nullptr || !list->IsArray()) return std::nullopt;
    std::vector<std::string> strings;
    for (const auto& entry : list->GetArray()) {
        if (entry.IsString()) strings.emplace_back(entry.GetString(), entry.GetStringLength());
    }
    return strings;
}

Document::Document(std::string_view body) {
    constexpr unsigned kFlags = rapidjson::kParseIterativeFlag | rapidjson::kParseFullPrecisionFlag;
    document_.Parse<kFlags>(body.data(), body.size());
    if (document_.HasParseError()) {
        error_ = ParseError{ParseFault::NotJson, {}};
    } else if (!document_.IsObject()) {
        error_ = ParseError{ParseFault::NotAnObject, {}};
    }
}

}  // namespace lichendrift::wire::json
