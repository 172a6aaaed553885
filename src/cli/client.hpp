#pragma once
// What operators ask of a running controller from the command line.

#include <string>

#include "settings/settings.hpp"
#include "wire/wire.hpp"

namespace cottonway::cli {

/// Sends one request and prints the answer as JSON. Returns the process's exit code.
int request(const Endpoint& to, const std::string& method, const std::string& path, const Value& body);
/// Submits a job, or the jobs of a list one after another, each as soon as those before it are accepted.
int submit(const Endpoint& to, const Value& jobs);

}  // namespace cottonway::cli
