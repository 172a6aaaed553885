#include "core/placement.hpp"

#include <algorithm>
#include <cmath>

namespace cottonway {

namespace {
double share(Milli booked, Milli size) {
    return size > 0 ? static_cast<double>(booked) / static_cast<double>(size) : 0.0;
}
}  // namespace

std::ptrdiff_t place(const std::vector<Candidate>& candidates, const Resources& need,
                     const PlacementSettings& settings, std::mt19937_64& random) {
    // 1. Machines that can hold the task.
    std::vector<const Candidate*> fitting;
    for (const auto& c : candidates)
        if (need.fits(c.size - c.booked)) fitting.push_back(&c);
    if (fitting.empty()) return -1;

    // 2. Set aside those that are booked beyond the thresholds; if none remain, any fitting one.
    std::vector<const Candidate*> rest;
    for (const auto* c : fitting)
        if (share(c->booked.cores, c->size.cores) <= settings.cores_threshold &&
            share(c->booked.ram, c->size.ram) <= settings.ram_threshold)
            rest.push_back(c);
    if (rest.empty()) {
        std::uniform_int_distribution<std::size_t> any(0, fitting.size() - 1);
        return static_cast<std::ptrdiff_t>(fitting[any(random)]->index);
    }

    // 3. A random sample of about the square root of the rest.
    auto sample_size = static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(rest.size()))));
    std::vector<const Candidate*> sample;
    std::sample(rest.begin(), rest.end(), std::back_inserter(sample), sample_size, random);

    // 4. Scores, each term divided by its largest value among all the controller's machines.
    struct Largest {
        double cores = 0, ram = 0, free = 0, size = 0, tasks = 0;
    } top;
    for (const auto& c : candidates) {
        top.cores = std::max(top.cores, share(c.booked.cores, c.size.cores));
        top.ram = std::max(top.ram, share(c.booked.ram, c.size.ram));
        top.free = std::max(top.free, static_cast<double>(c.size.ram - c.booked.ram));
        top.size = std::max(top.size, static_cast<double>(c.size.ram));
        top.tasks = std::max(top.tasks, static_cast<double>(c.tasks));
    }
    auto scaled = [](double v, double by) { return by > 0 ? v / by : v; };

    // 5. Jitter, and the lowest.
    std::uniform_real_distribution<double> jitter(0, std::max(settings.jitter, 1e-9));
    const Candidate* best = nullptr;
    double lowest = 0;
    for (const auto* c : sample) {
        const double score =
            settings.cores_weight * scaled(share(c->booked.cores, c->size.cores), top.cores) +
            settings.ram_weight * scaled(share(c->booked.ram, c->size.ram), top.ram) -
            settings.free_ram_weight * scaled(static_cast<double>(c->size.ram - c->booked.ram), top.free) -
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

}  // namespace cottonway
