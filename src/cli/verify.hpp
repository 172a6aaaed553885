#pragma once
// `cottonway verify`: reads the store and reports what is damaged in it.

#include "config/settings.hpp"

namespace cottonway::cli {

/// Prints the findings, as JSON or as lines, on standard output. Takes a tenth of the store's requests.
/// Returns the exit code: 0 nothing is damaged, 1 something is, 2 the store could not be read.
int verify_store(Settings settings, bool json);

}  // namespace cottonway::cli
