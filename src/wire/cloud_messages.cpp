// Messages exchanged with the cloud: machine types, provisioning, releases and lists of machines.
#include "wire/cloud_messages.h"

#include "wire/field_names.h"
#include "wire/json_reader.h"
#include "wire/json_writer.h"

namespace lichendrift::wire {

namespace {

constexpr double kThousandthsPerUnit = 1000;
// Thousandths, added to an amount before it is truncated, because a decimal amount may have no
// exact binary representation.
constexpr double kRounding = 1e-6;

std::int64_t to_thousandths(double amount) {
    return static_cast<std::int64_t>(amount * kThousandthsPerUnit + kRounding);
}

double from_thousandths(std::int64_t amount) {
    return static_cast<double>(amount) / kThousandthsPerUnit;
}

core::MachineType read_type(json::ObjectReader& in) {
    core::MachineType type;
    double cpus = 0;
    double gpus = 0;
    double memory_gb = 0;
    in.required(field::kTypeName, type.name);
    in.required(field::kCpus, cpus);
    in.required(field::kMemoryGb, memory_gb);
    in.optional(field::kGpus, gpus);
    type.capacity = {to_thousandths(cpus), to_thousandths(gpus), to_thousandths(memory_gb)};
    in.optional(field::kLocalDiskGb, type.local_gb);
    in.optional(field::kFetchGbPerS, type.fetch_gb_s);
    in.optional(field::kHourlyPrice, type.hourly);
    if (!in.optional(field::kSpotHourlyPrice, type.spot_hourly)) type.spot_hourly = type.hourly;
    in.optional(field::kBootS, type.boot_s);
    type.zones = in.strings(field::kZones).value_or(std::vector<std::string>{});
    return type;
}

core::ListedMachine read_machine(json::ObjectReader& in) {
    core::ListedMachine machine;
    std::string_view state;
    in.required(field::kId, machine.name);
    in.required(field::kMachineType, machine.type);
    in.required(field::kZone, machine.zone);
    in.required(field::kState, state);
    in.optional(field::kEndpoint, machine.endpoint);
    in.optional(field::kSpot, machine.spot);
    in.optional(field::kAgeS, machine.age_s);
    machine.state =
        text::find(text::kMachineStates, state).value_or(core::ListedMachine::State::Starting);
    return machine;
}

// The epoch is an extension of the operators' protocol, for a cloud that refuses requests of an
// earlier epoch.
void write_epoch(json::Writer& out, duty::Epoch epoch) {
    if (epoch != 0) out.field(field::kEpoch, epoch);
}

void write_type(json::Writer& out, const core::MachineType& type) {
    out.field(field::kTypeName, type.name);
    out.field(field::kCpus, from_thousandths(type.capacity.cpus));
    out.field(field::kGpus, from_thousandths(type.capacity.gpus));
    out.field(field::kMemoryGb, from_thousandths(type.capacity.mem));
    out.field(field::kZones, type.zones);
}

}  // namespace

std::optional<std::vector<core::MachineType>> parse_machine_types(std::string_view body) {
    json::Document document(body);
    std::vector<core::MachineType> types;
    document.root().required_objects(field::kMachineTypes, [&](json::ObjectReader& entry) {
        types.push_back(read_type(entry));
    });
    return document.if_valid(std::move(types));
}

std::string machine_types_value(const std::vector<core::MachineType>& types) {
    return json::object_text([&](json::Writer& out) {
        out.array_field(field::kMachineTypes, [&] {
            for (const auto& type : types) out.object([&] { write_type(out, type); });
        });
    });
}

std::string provision_body(const duty::ProvisionRequest& request, duty::Epoch epoch) {
    return json::object_text([&](json::Writer& out) {
        out.field(field::kRequestId, request.id);
        out.field(field::kMachineType, request.type);
        out.field(field::kZone, request.zone);
        out.field(field::kSpot, request.spot);
        out.field(field::kMachineCount, request.count);
        write_epoch(out, epoch);
    });
}

std::optional<std::vector<std::string>> parse_provisioned(std::string_view body) {
    json::Document document(body);
    std::vector<std::string> names;
    document.root().required(field::kMachines, names);
    return document.if_valid(std::move(names));
}

std::string release_body(const std::vector<std::string>& names, duty::Epoch epoch) {
    return json::object_text([&](json::Writer& out) {
        out.field(field::kMachines, names);
        write_epoch(out, epoch);
    });
}

std::optional<Listing> parse_listing(std::string_view body) {
    json::Document document(body);
    auto in = document.root();
    Listing listing;
    in.optional(field::kMore, listing.more);
    in.required_objects(field::kMachines, [&](json::ObjectReader& entry) {
        listing.machines.push_back(read_machine(entry));
    });
    return document.if_valid(std::move(listing));
}

bool is_no_capacity(std::string_view body) {
    json::Document document(body);
    std::string_view error;
    return document.root().optional(field::kError, error) && error == text::kNoCapacity;
}

}  // namespace lichendrift::wire
