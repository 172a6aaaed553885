#include "scheduling/placement.hpp"

#include <algorithm>
#include <cmath>

namespace cottonway {

namespace {
double reserved_share(Milli reserved, Milli size) {
    return size > 0 ? static_cast<double>(reserved) / static_cast<double>(size) : 0.0;
}
}  // namespace

std::ptrdiff_t place(const std::vector<const Candidate*>& candidates, const Resources& request,
                     const PlacementSettings& settings, std::mt19937_64& random) {
    // 1. Filter the machines that can hold the task.
    auto can_hold = [&](const Candidate* candidate) {
        return request.fits(candidate->size - candidate->reserved);
    };
    const auto fitting_count =
        static_cast<std::size_t>(std::count_if(candidates.begin(), candidates.end(), can_hold));
    if (fitting_count == 0) return -1;

    // 2. Drop machines that are reserved beyond the thresholds. If none remains, choose any fitting machine.
    struct LoadedCandidate {
        const Candidate* candidate;
        double cores_share, ram_share;  // reserved shares of the machine
    };
    std::vector<LoadedCandidate> below_thresholds;
    below_thresholds.reserve(fitting_count);
    // Each term of the score is divided by its largest value over all candidates.
    struct LargestTerms {
        double cores_share = 0, ram_share = 0, free_ram = 0, ram_size = 0, tasks = 0;
    } largest;
    for (const auto* candidate : candidates) {
        const LoadedCandidate loaded{candidate,
                                     reserved_share(candidate->reserved.cores, candidate->size.cores),
                                     reserved_share(candidate->reserved.ram, candidate->size.ram)};
        largest.cores_share = std::max(largest.cores_share, loaded.cores_share);
        largest.ram_share = std::max(largest.ram_share, loaded.ram_share);
        largest.free_ram =
            std::max(largest.free_ram, static_cast<double>(candidate->size.ram - candidate->reserved.ram));
        largest.ram_size = std::max(largest.ram_size, static_cast<double>(candidate->size.ram));
        largest.tasks = std::max(largest.tasks, static_cast<double>(candidate->tasks));
        if (loaded.cores_share <= settings.cores_threshold && loaded.ram_share <= settings.ram_threshold &&
            can_hold(candidate))
            below_thresholds.push_back(loaded);
    }
    if (below_thresholds.empty()) {
        auto to_skip = std::uniform_int_distribution<std::size_t>(0, fitting_count - 1)(random);
        for (const auto* candidate : candidates)
            if (can_hold(candidate) && to_skip-- == 0) return static_cast<std::ptrdiff_t>(candidate->index);
    }

    // 3. Take a random sample of about the square root of the remaining machines.
    const auto sample_size =
        static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(below_thresholds.size()))));
    std::vector<LoadedCandidate> sample;
    sample.reserve(sample_size);
    std::sample(below_thresholds.begin(), below_thresholds.end(), std::back_inserter(sample), sample_size,
                random);

    // 4. Score the sample.
    auto scaled = [](double value, double maximum) { return maximum > 0 ? value / maximum : value; };

    // 5. Add jitter and choose the lowest score.
    std::uniform_real_distribution<double> jitter(0, std::max(settings.jitter, 1e-9));
    const Candidate* best = nullptr;
    double best_score = 0;
    for (const auto& [candidate, cores_share, ram_share] : sample) {
        const double score =
            settings.cores_weight * scaled(cores_share, largest.cores_share) +
            settings.ram_weight * scaled(ram_share, largest.ram_share) -
            settings.free_ram_weight *
                scaled(static_cast<double>(candidate->size.ram - candidate->reserved.ram), largest.free_ram) -
            settings.size_weight * scaled(static_cast<double>(candidate->size.ram), largest.ram_size) +
            settings.tasks_weight * scaled(static_cast<double>(candidate->tasks), largest.tasks) -
            (candidate->has_image ? settings.image_weight : 0.0) + candidate->penalty + jitter(random);
        if (!best || score < best_score) {
            best = candidate;
            best_score = score;
        }
    }
    return static_cast<std::ptrdiff_t>(best->index);
}

std::ptrdiff_t place(const std::vector<Candidate>& candidates, const Resources& request,
                     const PlacementSettings& settings, std::mt19937_64& random) {
    std::vector<const Candidate*> pointers;
    pointers.reserve(candidates.size());
    for (const auto& candidate : candidates) pointers.push_back(&candidate);
    return place(pointers, request, settings, random);
}

}  // namespace cottonway
