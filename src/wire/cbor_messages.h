#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/types.h"

// What the controllers say to each other, in CBOR.
namespace lichendrift::wire {

struct BeatAnswer {
    std::uint64_t token = 0;
    std::vector<core::Order> orders;
};

struct JobCounts {
    std::string id;
    std::uint32_t done = 0;
    std::uint32_t running = 0;
};

// The leader's word to the others, about once a second.
struct Announcement {
    std::string member;
    std::uint64_t token = 0;
    std::vector<JobCounts> counts;
};

std::string encode_report(const core::Report& report);
std::optional<core::Report> decode_report(std::string_view bytes);
std::string encode_beat_answer(const BeatAnswer& answer);
std::optional<BeatAnswer> decode_beat_answer(std::string_view bytes);
std::string encode_announcement(const Announcement& announcement);
std::optional<Announcement> decode_announcement(std::string_view bytes);

}  // namespace lichendrift::wire
