// The leader and the cloud: types, listings, rentals and releases.
#include "control/leader.h"

namespace lichendrift::control {

namespace {

constexpr Millis kRentTrouble = 1500;

}  // namespace

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
