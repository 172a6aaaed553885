#pragma once
// The commands that operators send to a running controller. Standard output holds only JSON; errors are
// printed on standard error and set the exit code.

#include <string>
#include <vector>

#include "config/settings.hpp"
#include "protocol/protocol.hpp"

namespace cottonway::cli {

/// A controller's response to one request.
struct Response {
    int status = 0;  // 0: no response
    Json body;
};
/// Sends one request and waits for the response.
Response send_request(const Endpoint& controller, const std::string& method, const std::string& path,
                      const Json& body);

/// Sends one request and prints the response's body. Returns the process's exit code: 0 for a status below
/// 300, 1 for any other status or no response.
int request_and_print(const Endpoint& controller, const std::string& method, const std::string& path,
                      const Json& body);
/// Submits a job, or the jobs of a list in order, stopping at the first that is not accepted. Prints the
/// response, or a list of the responses. Returns the exit code.
int submit_jobs(const Endpoint& controller, const Json& jobs);
/// Prints a job, or a list of jobs. Returns the exit code.
int show_jobs(const Endpoint& controller, const std::vector<std::string>& refs);

/// Checks the operators' policy, against the platform's settings unless `config` is empty, and prints it in
/// parsed form. Throws std::runtime_error with one line that names the key and the reason.
int check_policy(const std::string& file, const std::string& config);
/// Prints the policy that a controller applies, and how the policy file on its node relates to it. Returns
/// the exit code.
int show_policy(const Endpoint& controller);
/// Prints as a JSON patch what a file would change in a controller's policy. Returns 0 if it changes nothing,
/// 1 if it changes something or there is no response.
int diff_policy(const std::string& file, const Endpoint& controller);

}  // namespace cottonway::cli
