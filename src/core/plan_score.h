// The score of a machine for a task, term by term (KEP-5732, phase 3; docs/design.md).
#pragma once

#include "core/plan_types.h"

namespace lichendrift::core {

/// Where images are and how long fetching one takes, with the fetches that the plan adds.
class ImageFetches {
  public:
    /// Keeps a reference to the snapshot.
    explicit ImageFetches(const Snapshot& snapshot)
        : snapshot_(snapshot), planned_(snapshot.machines.size()) {}

    /// A task of the plan fetches the image there.
    void plan_fetch(MachinePosition machine, ImageIndex image) {
        planned_[machine].push_back(image);
    }
    /// Whether the machine has the image.
    [[nodiscard]] bool present(MachinePosition machine, ImageIndex image) const {
        return contains(snapshot_.machines[machine].images, image);
    }
    /// Whether the image is being fetched there, or will be by this plan.
    [[nodiscard]] bool fetching(MachinePosition machine, ImageIndex image) const {
        return contains(snapshot_.machines[machine].fetching_images, image) ||
               contains(planned_[machine], image);
    }
    /// Seconds until the machine would have the job's image; fetches under way share the rate.
    [[nodiscard]] double fetch_s(const JobSpec& spec, MachinePosition machine) const {
        if (present(machine, spec.image)) return 0;
        const auto& view = snapshot_.machines[machine];
        const auto rate = std::max(kMinFetchGbPerS, snapshot_.types[view.type].fetch_gb_s);
        const auto others = view.fetching_images.size() + planned_[machine].size();
        return spec.image_gb * (1.0 + static_cast<double>(others)) / rate;
    }

  private:
    static constexpr double kMinFetchGbPerS = 0.01;

    const Snapshot& snapshot_;
    std::vector<std::vector<ImageIndex>> planned_;
};

/// Scores machines for the next task of a job; the highest score wins. Defined here, as a trial
/// scores thousands of machines and the terms are to be inlined.
class MachineScore {
  public:
    /// Keeps references to both.
    MachineScore(const Snapshot& snapshot, const ImageFetches& fetches)
        : snapshot_(snapshot), fetches_(fetches) {
        for (const auto& type : snapshot.types) {
            max_hourly_ = std::max(max_hourly_, type.hourly);
        }
    }
    /// The score of a machine of which `available` is what the task can use.
    [[nodiscard]] double of(const JobSpec& spec, MachinePosition machine,
                            const Resources& available) const {
        double score = 0;
        score += image_locality(spec, machine);
        score -= warm_capacity_use(spec, machine);
        score -= unused_share(spec, machine, available);
        score -= price(spec, machine);
        return score;
    }

  private:
    // Points for the image on the machine or on its way. Changed from KEP-5732 (docs/design.md,
    // "What was changed, and why"): a fetch can take longer than a start objective.
    [[nodiscard]] double image_locality(const JobSpec& spec, MachinePosition machine) const {
        if (fetches_.present(machine, spec.image)) return spec.weights.image;
        if (fetches_.fetching(machine, spec.image)) return spec.weights.fetching;
        if (!spec.has_start_objective) return 0;
        return -spec.weights.fetch * fetches_.fetch_s(spec, machine);
    }
    // Points off for using a machine with the image of a class with a start objective: its free
    // capacity is for that class (docs/design.md, exception 3).
    [[nodiscard]] double warm_capacity_use(const JobSpec& spec, MachinePosition machine) const {
        if (spec.has_start_objective) return 0;
        const auto& images = snapshot_.machines[machine].images;
        const bool warm = std::any_of(images.begin(), images.end(), [&](ImageIndex image) {
            return contains(snapshot_.start_objective_images, image);
        });
        return warm ? spec.weights.warm : 0;
    }
    // Points off for the share of the machine that would stay free: the tightest fit wins
    // (KEP-5732, phase 3, NodeResourcesFit).
    [[nodiscard]] double unused_share(const JobSpec& spec, MachinePosition machine,
                                      const Resources& available) const {
        const auto share = [](std::int64_t left, std::int64_t all) {
            return all > 0 ? static_cast<double>(left) / static_cast<double>(all) : 0.0;
        };
        const auto& capacity = snapshot_.machines[machine].capacity;
        const double left = spec.need.gpus > 0
                                ? share(available.gpus - spec.need.gpus, capacity.gpus)
                                : share(available.cpus - spec.need.cpus, capacity.cpus);
        return spec.weights.fit * left;
    }
    // Points off for the machine's price as a share of the highest one. Changed from KEP-5732
    // (docs/design.md, "What was changed, and why").
    [[nodiscard]] double price(const JobSpec& spec, MachinePosition machine) const {
        return spec.weights.price * hourly_price(snapshot_, snapshot_.machines[machine]) /
               max_hourly_;
    }

    static constexpr double kMinHourly = 1e-9;  // of the highest price, which divides

    const Snapshot& snapshot_;
    const ImageFetches& fetches_;
    double max_hourly_ = kMinHourly;
};

/// A machine with its score, in a heap with the highest score on top.
struct ScoredMachine {
    double score = 0;               ///< points, less the crowding
    MachinePosition machine = 0;    ///< the machine
    Resources available;            ///< what of it the next task can use
    double colocation_penalty = 0;  ///< points taken off for other replicas of the service
    /// By score; among equals the machine that comes first in the snapshot is the greater.
    bool operator<(const ScoredMachine& other) const {
        return score != other.score ? score < other.score : machine > other.machine;
    }
};

/// Takes the machine with the highest score out of a heap, to its back.
inline ScoredMachine& pop_best(std::vector<ScoredMachine>& heap) {
    std::pop_heap(heap.begin(), heap.end());
    return heap.back();
}

}  // namespace lichendrift::core
