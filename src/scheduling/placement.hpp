#pragma once
// The five steps of placement as a pure function: candidates, a need and a seeded generator in, a choice out.

#include <random>
#include <vector>

#include "base/units.hpp"
#include "config/settings.hpp"

namespace cottonway {

struct Candidate {
    std::size_t index = 0;  // the caller's
    Resources size;
    Resources reserved;
    int tasks = 0;
    bool has_image = false;      // or is fetching it
    bool image_ready = false;    // has it
    double machine_penalty = 0;  // the caller's: of the machine alone, before what the job's other tasks add
    double penalty = 0;          // added to the score as it is
};

/// The chosen candidate's `index`, or -1 if none can hold the task.
std::ptrdiff_t place(const std::vector<const Candidate*>& candidates, const Resources& need,
                     const PlacementSettings& settings, std::mt19937_64& random);
std::ptrdiff_t place(const std::vector<Candidate>& candidates, const Resources& need,
                     const PlacementSettings& settings, std::mt19937_64& random);

}  // namespace cottonway
