#pragma once
// `cottonway verify`: reads the state service and reports damaged records.

#include "config/settings.hpp"

namespace cottonway::cli {

/// Prints the findings as JSON or as lines on standard output. Uses a tenth of the configured request rate.
/// Returns the exit code: 0 if nothing is damaged, 1 if something is, 2 if the state service cannot be read.
int verify_store(Settings settings, bool json);

}  // namespace cottonway::cli
