#include "cli/client.hpp"

#include <iostream>

#include "net/http_client.hpp"
#include "policy/policy.hpp"

namespace cottonway::cli {

namespace {

void print(const Json& value) {
    std::cout << value.dump(2, ' ', false, Json::error_handler_t::replace) << "\n";
}

/// Tells what went wrong; true if something did.
bool complain(const Endpoint& to, const std::string& what, const Response& a) {
    if (a.status > 0 && a.status < 300) return false;
    std::cerr << "cottonway: " << what << ": ";
    if (a.status == 0)
        std::cerr << "no answer from " << to.host << ":" << to.port << "\n";
    else
        std::cerr << "answered " << a.status << (a.status == 503 ? ", to be asked again later" : "") << "\n";
    return true;
}

}  // namespace

Response send_request(const Endpoint& to, const std::string& method, const std::string& path,
                      const Json& body) {
    asio::io_context io(1);
    net::HttpClient client(io, 1, 1);
    Response answer;
    client.call(to, method, path, body.is_null() ? std::string() : wire::encode(body), 5 * kSecond,
                [&](const net::ClientReply& r) {
                    answer.status = r.status;
                    if (!r.body.empty()) answer.body = wire::decode(r.body).value_or(Json());
                });
    io.run();
    return answer;
}

int request_and_print(const Endpoint& to, const std::string& method, const std::string& path,
                      const Json& body) {
    const Response a = send_request(to, method, path, body);
    if (a.status != 0) print(a.body);
    return complain(to, path, a) ? 1 : 0;
}

int submit_jobs(const Endpoint& to, const Json& jobs) {
    if (!jobs.is_array()) return request_and_print(to, "POST", "/v1/jobs", jobs);
    Json answers = Json::array();
    int code = 0;
    for (const auto& job : jobs) {
        const Response a = send_request(to, "POST", "/v1/jobs", job);
        if (a.status != 0) answers.push_back(a.body);
        if (!complain(to, wire::ref_of(job).value_or("a job without an id"), a)) continue;
        code = 1;
        break;
    }
    print(answers);
    return code;
}

int show_jobs(const Endpoint& to, const std::vector<std::string>& refs) {
    Json answers = Json::array();
    int code = 0;
    for (const auto& ref : refs) {
        const Response a = send_request(to, "GET", "/v1/jobs/" + ref, Json());
        if (complain(to, ref, a)) code = 1;
        if (a.status == 200) answers.push_back(a.body);
    }
    if (refs.size() > 1)
        print(answers);
    else if (!answers.empty())
        print(answers[0]);
    return code;
}

namespace {
/// The entry of a controller's status; nothing, with the reason told, if there is none.
std::optional<Json> policy_of(const Endpoint& to) {
    const Response a = send_request(to, "GET", "/status", Json());
    if (complain(to, "/status", a)) return std::nullopt;
    const Json* found = wire::find(a.body, "policy");
    if (found && found->is_object() && found->contains("value")) return *found;
    std::cerr << "cottonway: " << to.host << ":" << to.port << " is of a version without policies\n";
    return std::nullopt;
}
}  // namespace

int check_policy(const std::string& file, const std::string& config) {
    std::optional<Settings> settings;
    if (!config.empty()) settings = load_settings(config, "");
    print(policy::describe(policy::load(file, settings ? &*settings : nullptr)));
    return 0;
}

int show_policy(const Endpoint& to) {
    const auto entry = policy_of(to);
    if (!entry) return 1;
    print(*entry);
    return 0;
}

int diff_policy(const std::string& file, const Endpoint& to) {
    const Json ours = policy::describe(policy::load(file, nullptr));
    const auto entry = policy_of(to);
    if (!entry) return 1;
    const Json changes = Json::diff(entry->at("value"), ours);
    print(changes);
    return changes.empty() ? 0 : 1;
}

}  // namespace cottonway::cli
