#pragma once

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <string>

#include "core/types.h"

// Shared by the parts of the simulation: message parsing, host names, sizes and limits.
namespace lichendrift::simulation {

inline constexpr double kMachineCpus = 8;       // CPUs of a machine
inline constexpr double kGangPeerTimeoutS = 3;  // time in which a gang detects a lost task
inline constexpr double kGangWaitS = 15;        // time for which a gang waits for its last task
inline constexpr std::size_t kMaxTransactionOperations = 8;  // most writes in one transaction
using Doc = rapidjson::Document;
using Buffer = rapidjson::StringBuffer;
using Writer = rapidjson::Writer<Buffer>;

// Parses a JSON object; returns an empty object if the text is anything else.
inline Doc parsed(const std::string& body) {
    Doc doc;
    doc.Parse(body.c_str(), body.size());
    if (doc.HasParseError() || !doc.IsObject()) doc.SetObject();
    return doc;
}

// Whether a JSON text is in UTF-8, as it has to be.
inline bool is_utf8_json(const std::string& text) {
    const bool is_ascii = std::all_of(text.begin(), text.end(),
                                      [](char c) { return static_cast<unsigned char>(c) < 0x80; });
    if (is_ascii) return true;
    Doc doc;
    doc.Parse<rapidjson::kParseValidateEncodingFlag>(text.c_str(), text.size());
    return !doc.HasParseError();
}

inline std::string json(const rapidjson::Value& v) {
    Buffer b;
    Writer w(b);
    v.Accept(w);
    return b.GetString();
}

// Value of a query parameter of a request target, or an empty string.
inline std::string query(const std::string& target, const std::string& name) {
    const auto at = target.find(name + "=");
    if (at == std::string::npos) return "";
    const auto from = at + name.size() + 1;
    return target.substr(from, target.find('&', from) - from);
}

inline std::string node_name(std::size_t n) { return "n" + std::to_string(n); }

inline std::string host_of(const std::string& address) {
    return address.substr(0, address.find(':'));
}

}  // namespace lichendrift::simulation
