// Trace digests, which show whether two builds behave alike.
#include "simulation/trace.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace lichendrift::simulation {

Trace::Trace() : state_(XXH3_createState()) { XXH3_128bits_reset(state_.get()); }

Trace::~Trace() = default;

void Trace::FreeState::operator()(XXH3_state_s* state) const { XXH3_freeState(state); }

void Trace::add(std::int64_t at_ms, std::string_view kind, std::string_view peer,
                std::string_view target, std::string_view body, std::int64_t number) {
    ++events_;
    add_number(at_ms);
    add_text(kind);
    add_text(peer);
    add_text(target);
    add_text(body);
    add_number(number);
}

void Trace::add_text(std::string_view text) {
    add_number(static_cast<std::int64_t>(text.size()));
    XXH3_128bits_update(state_.get(), text.data(), text.size());
}

void Trace::add_number(std::int64_t number) {
    XXH3_128bits_update(state_.get(), &number, sizeof number);
}

std::string Trace::digest() const {
    const auto hash = XXH3_128bits_digest(state_.get());
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return text.data();
}

Trace::Reporter& Trace::reporter() {
    static Reporter reporter;
    return reporter;
}

}  // namespace lichendrift::simulation
