#include "cli/client.hpp"

#include <iostream>

#include "net/http_client.hpp"
#include "policy/policy.hpp"

namespace cottonway::cli {

namespace {

void print_json(const Json& value) {
    std::cout << value.dump(2, ' ', false, Json::error_handler_t::replace) << "\n";
}

/// Prints an error unless the request succeeded; returns true if it failed.
bool report_error(const Endpoint& controller, const std::string& subject, const Response& response) {
    if (response.status > 0 && response.status < 300) return false;
    std::cerr << "cottonway: " << subject << ": ";
    if (response.status == 0)
        std::cerr << "no response from " << controller.host << ":" << controller.port << "\n";
    else
        std::cerr << "status " << response.status << (response.status == 503 ? ", retry later" : "") << "\n";
    return true;
}

}  // namespace

Response send_request(const Endpoint& controller, const std::string& method, const std::string& path,
                      const Json& body) {
    asio::io_context io(1);
    net::HttpClient client(io, 1, 1);
    Response response;
    client.call(controller, method, path, body.is_null() ? std::string() : wire::encode(body), 5 * kSecond,
                [&](const net::ClientReply& reply) {
                    response.status = reply.status;
                    if (!reply.body.empty()) response.body = wire::decode(reply.body).value_or(Json());
                });
    io.run();
    return response;
}

int request_and_print(const Endpoint& controller, const std::string& method, const std::string& path,
                      const Json& body) {
    const Response response = send_request(controller, method, path, body);
    if (response.status != 0) print_json(response.body);
    return report_error(controller, path, response) ? 1 : 0;
}

int submit_jobs(const Endpoint& controller, const Json& jobs) {
    if (!jobs.is_array()) return request_and_print(controller, "POST", "/v1/jobs", jobs);
    Json responses = Json::array();
    int exit_code = 0;
    for (const auto& job : jobs) {
        const Response response = send_request(controller, "POST", "/v1/jobs", job);
        if (response.status != 0) responses.push_back(response.body);
        if (!report_error(controller, wire::parse_ref(job).value_or("a job without an id"), response))
            continue;
        exit_code = 1;
        break;
    }
    print_json(responses);
    return exit_code;
}

int show_jobs(const Endpoint& controller, const std::vector<std::string>& refs) {
    Json responses = Json::array();
    int exit_code = 0;
    for (const auto& ref : refs) {
        const Response response = send_request(controller, "GET", "/v1/jobs/" + ref, Json());
        if (report_error(controller, ref, response)) exit_code = 1;
        if (response.status == 200) responses.push_back(response.body);
    }
    if (refs.size() > 1)
        print_json(responses);
    else if (!responses.empty())
        print_json(responses[0]);
    return exit_code;
}

namespace {
/// Returns the policy entry of a controller's status; prints an error and returns nullopt if there is none.
std::optional<Json> fetch_policy(const Endpoint& controller) {
    const Response response = send_request(controller, "GET", "/status", Json());
    if (report_error(controller, "/status", response)) return std::nullopt;
    const Json* policy_entry = wire::find(response.body, "policy");
    if (policy_entry && policy_entry->is_object() && policy_entry->contains("value")) return *policy_entry;
    std::cerr << "cottonway: " << controller.host << ":" << controller.port
              << " runs a version without policies\n";
    return std::nullopt;
}
}  // namespace

int check_policy(const std::string& file, const std::string& config) {
    std::optional<Settings> settings;
    if (!config.empty()) settings = load_settings(config, "");
    print_json(policy::describe(policy::load(file, settings ? &*settings : nullptr)));
    return 0;
}

int show_policy(const Endpoint& controller) {
    const auto entry = fetch_policy(controller);
    if (!entry) return 1;
    print_json(*entry);
    return 0;
}

int diff_policy(const std::string& file, const Endpoint& controller) {
    const Json file_policy = policy::describe(policy::load(file, nullptr));
    const auto entry = fetch_policy(controller);
    if (!entry) return 1;
    const Json changes = Json::diff(entry->at("value"), file_policy);
    print_json(changes);
    return changes.empty() ? 0 : 1;
}

}  // namespace cottonway::cli
