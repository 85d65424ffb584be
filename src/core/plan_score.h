// The score of a machine for a task, term by term (KEP-5732, phase 3; docs/design.md).
#pragma once

#include "core/plan_types.h"

namespace lichendrift::core {

/// Which machines have an image and how long fetching it takes, including fetches that the plan
/// adds.
class ImageFetches {
  public:
    /// Keeps a reference to the snapshot, which has to outlive it.
    explicit ImageFetches(const Snapshot& snapshot)
        : snapshot_(snapshot), planned_(snapshot.machines.size()) {}

    /// Adds a fetch of the image by a task that the plan starts on the machine.
    void plan_fetch(MachinePosition machine, ImageIndex image) {
        planned_[machine].push_back(image);
    }
    /// Whether the machine has the image.
    [[nodiscard]] bool present(MachinePosition machine, ImageIndex image) const {
        return contains(snapshot_.machines[machine].images, image);
    }
    /// Whether the machine fetches the image now or will because of this plan.
    [[nodiscard]] bool fetching(MachinePosition machine, ImageIndex image) const {
        return contains(snapshot_.machines[machine].fetching_images, image) ||
               contains(planned_[machine], image);
    }
    /// Seconds until the machine would have the job's image, if it shares the machine's fetch rate
    /// with the fetches in progress; 0 if the image is present.
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

/// Scores machines for the next task of a job; the highest score wins. Defined in the header so
/// that the terms can be inlined, as a trial placement scores thousands of machines.
class MachineScore {
  public:
    /// Keeps references to both arguments, which have to outlive it.
    MachineScore(const Snapshot& snapshot, const ImageFetches& fetches)
        : snapshot_(snapshot), fetches_(fetches) {
        for (const auto& type : snapshot.types) {
            max_hourly_ = std::max(max_hourly_, type.hourly);
        }
    }
    /// Returns the score of a machine in points; `available` is the capacity that the task can use.
    [[nodiscard]] double compute(const JobSpec& spec, MachinePosition machine,
                                 const Resources& available) const {
        double score = 0;
        score += image_locality(spec, machine);
        score -= warm_capacity_use(spec, machine);
        score -= unused_share(spec, machine, available);
        score -= price(spec, machine);
        return score;
    }

  private:
    // Points added if the machine has or fetches the image; otherwise, for classes with a start
    // objective, points subtracted for the time of a fetch. Differs from KEP-5732, because a fetch
    // can take longer than a start objective (docs/design.md, "What was changed, and why").
    [[nodiscard]] double image_locality(const JobSpec& spec, MachinePosition machine) const {
        if (fetches_.present(machine, spec.image)) return spec.weights.image;
        if (fetches_.fetching(machine, spec.image)) return spec.weights.fetching;
        if (!spec.has_start_objective) return 0;
        return -spec.weights.fetch * fetches_.fetch_s(spec, machine);
    }
    // Points subtracted for a job without a start objective on a machine that has the image of a
    // class with one: the free capacity there is kept for that class (docs/design.md, exception 3).
    [[nodiscard]] double warm_capacity_use(const JobSpec& spec, MachinePosition machine) const {
        if (spec.has_start_objective) return 0;
        const auto& images = snapshot_.machines[machine].images;
        const bool warm = std::any_of(images.begin(), images.end(), [&](ImageIndex image) {
            return contains(snapshot_.start_objective_images, image);
        });
        return warm ? spec.weights.warm : 0;
    }
    // Points subtracted for the share of the machine that would stay free, so that the tightest fit
    // wins (KEP-5732, phase 3, NodeResourcesFit).
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
    // Points subtracted for the machine's price as a share of the highest price of any type, so
    // that of equal candidates the cheaper one wins. KEP-5732 has no such term: it scores only how
    // tightly a candidate fits (docs/design.md, "What was changed, and why").
    [[nodiscard]] double price(const JobSpec& spec, MachinePosition machine) const {
        return spec.weights.price * hourly_price(snapshot_, snapshot_.machines[machine]) /
               max_hourly_;
    }

    static constexpr double kMinHourly = 1e-9;  // keeps the divisor above 0

    const Snapshot& snapshot_;
    const ImageFetches& fetches_;
    double max_hourly_ = kMinHourly;
};

/// A machine with its score, in a heap with the highest score on top.
struct ScoredMachine {
    double score = 0;               ///< points, colocation penalty subtracted
    MachinePosition machine = 0;    ///< the machine
    Resources available;            ///< capacity that the next task can use
    double colocation_penalty = 0;  ///< points subtracted for other replicas of the service
    /// Orders by score; of equal scores the machine that comes first in the snapshot is greater.
    bool operator<(const ScoredMachine& other) const {
        return score != other.score ? score < other.score : machine > other.machine;
    }
};

/// Moves the machine with the highest score from the top of the heap to the back of the vector, and
/// returns it.
inline ScoredMachine& pop_best(std::vector<ScoredMachine>& heap) {
    std::pop_heap(heap.begin(), heap.end());
    return heap.back();
}

}  // namespace lichendrift::core
