#pragma once
// What operators ask of a running controller from the command line. Standard output holds JSON and nothing
// else; what went wrong is told on standard error, and by the exit code.

#include <string>
#include <vector>

#include "config/settings.hpp"
#include "protocol/protocol.hpp"

namespace cottonway::cli {

/// The answer to one request; status 0: none.
struct Response {
    int status = 0;
    Json body;
};
Response send_request(const Endpoint& to, const std::string& method, const std::string& path,
                      const Json& body);

/// Sends one request and prints the answer's body. Returns the process's exit code: 0 for an answer below
/// 300, 1 for any other, or none.
int request_and_print(const Endpoint& to, const std::string& method, const std::string& path,
                      const Json& body);
/// Submits a job, or the jobs of a list one after another, each as soon as those before it are accepted;
/// prints the answer, or a list of them.
int submit_jobs(const Endpoint& to, const Json& jobs);
/// Prints a job, or a list of them.
int show_jobs(const Endpoint& to, const std::vector<std::string>& refs);

/// Checks the operators' policy and prints it as it was understood; against the platform's settings unless
/// `config` is empty. Throws std::runtime_error with one line that names the key and the reason.
int check_policy(const std::string& file, const std::string& config);
/// Prints the policy that a controller goes by, and how the file of its node stands to it.
int show_policy(const Endpoint& to);
/// Prints what a file would change, as a JSON patch. Returns 0 if nothing, 1 if something or no answer.
int diff_policy(const std::string& file, const Endpoint& to);

}  // namespace cottonway::cli
