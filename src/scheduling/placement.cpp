#include "scheduling/placement.hpp"

#include <algorithm>
#include <cmath>

namespace cottonway {

namespace {
double share(Milli reserved, Milli size) {
    return size > 0 ? static_cast<double>(reserved) / static_cast<double>(size) : 0.0;
}
}  // namespace

std::ptrdiff_t place(const std::vector<const Candidate*>& candidates, const Resources& need,
                     const PlacementSettings& settings, std::mt19937_64& random) {
    // 1. Machines that can hold the task.
    auto holds = [&](const Candidate* c) { return need.fits(c->size - c->reserved); };
    const auto fits = static_cast<std::size_t>(std::count_if(candidates.begin(), candidates.end(), holds));
    if (fits == 0) return -1;

    // 2. Set aside those that are reserved beyond the thresholds; if none remain, any fitting one.
    struct Weighed {
        const Candidate* of;
        double cores, ram;  // shares that are reserved
    };
    std::vector<Weighed> rest;
    rest.reserve(fits);
    // Each term of a score is divided by its largest value among all the controller's machines.
    struct Largest {
        double cores = 0, ram = 0, free = 0, size = 0, tasks = 0;
    } top;
    for (const auto* c : candidates) {
        const Weighed w{c, share(c->reserved.cores, c->size.cores), share(c->reserved.ram, c->size.ram)};
        top.cores = std::max(top.cores, w.cores);
        top.ram = std::max(top.ram, w.ram);
        top.free = std::max(top.free, static_cast<double>(c->size.ram - c->reserved.ram));
        top.size = std::max(top.size, static_cast<double>(c->size.ram));
        top.tasks = std::max(top.tasks, static_cast<double>(c->tasks));
        if (w.cores <= settings.cores_threshold && w.ram <= settings.ram_threshold && holds(c))
            rest.push_back(w);
    }
    if (rest.empty()) {
        auto left = std::uniform_int_distribution<std::size_t>(0, fits - 1)(random);
        for (const auto* c : candidates)
            if (holds(c) && left-- == 0) return static_cast<std::ptrdiff_t>(c->index);
    }

    // 3. A random sample of about the square root of the rest.
    const auto sample_size = static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(rest.size()))));
    std::vector<Weighed> sample;
    sample.reserve(sample_size);
    std::sample(rest.begin(), rest.end(), std::back_inserter(sample), sample_size, random);

    // 4. Scores.
    auto scaled = [](double v, double by) { return by > 0 ? v / by : v; };

    // 5. Jitter, and the lowest.
    std::uniform_real_distribution<double> jitter(0, std::max(settings.jitter, 1e-9));
    const Candidate* best = nullptr;
    double lowest = 0;
    for (const auto& [c, cores, ram] : sample) {
        const double score =
            settings.cores_weight * scaled(cores, top.cores) + settings.ram_weight * scaled(ram, top.ram) -
            settings.free_ram_weight * scaled(static_cast<double>(c->size.ram - c->reserved.ram), top.free) -
            settings.size_weight * scaled(static_cast<double>(c->size.ram), top.size) +
            settings.tasks_weight * scaled(static_cast<double>(c->tasks), top.tasks) -
            (c->has_image ? settings.image_weight : 0.0) + c->penalty + jitter(random);
        if (!best || score < lowest) {
            best = c;
            lowest = score;
        }
    }
    return static_cast<std::ptrdiff_t>(best->index);
}

std::ptrdiff_t place(const std::vector<Candidate>& candidates, const Resources& need,
                     const PlacementSettings& settings, std::mt19937_64& random) {
    std::vector<const Candidate*> all;
    all.reserve(candidates.size());
    for (const auto& c : candidates) all.push_back(&c);
    return place(all, need, settings, random);
}

}  // namespace cottonway
