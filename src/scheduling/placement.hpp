#pragma once
// Chooses a machine for one task in five steps: filter the machines that fit, drop those that are too full,
// sample some, score the sample, take the best. Pure; the caller passes a seeded random generator.

#include <random>
#include <vector>

#include "base/units.hpp"
#include "config/settings.hpp"

namespace cottonway {

struct Candidate {
    std::size_t index = 0;  // chosen by the caller to identify the machine
    Resources size;
    Resources reserved;
    int tasks = 0;
    bool has_image = false;      // the machine has the image or is fetching it
    bool image_ready = false;    // the machine has the image
    double machine_penalty = 0;  // for the caller: the part of `penalty` that depends on the machine alone,
                                 // not on where the job's other tasks are
    double penalty = 0;          // added to the score unchanged
};

/// Returns the `index` of the chosen candidate, or -1 if none can hold the task.
std::ptrdiff_t place(const std::vector<const Candidate*>& candidates, const Resources& request,
                     const PlacementSettings& settings, std::mt19937_64& random);
std::ptrdiff_t place(const std::vector<Candidate>& candidates, const Resources& request,
                     const PlacementSettings& settings, std::mt19937_64& random);

}  // namespace cottonway
