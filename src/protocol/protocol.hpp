#pragma once
// Parsing and building of the messages exchanged with users, workers and the cloud. The protocol has its own
// vocabulary (looms, threads, shuttles); only this file translates it to the terms used in the code.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/json.hpp"
#include "base/units.hpp"

namespace cottonway {

enum class JobKind { Array, Gang, Service };
enum class PriorityClass { Production = 0, High = 1, Normal = 2, Low = 3 };

struct JobSpec {
    std::string ref;
    std::string job_class;
    std::string team;
    JobKind kind = JobKind::Array;
    PriorityClass priority_class = PriorityClass::Normal;
    int tasks = 0;
    Resources request;                              // per task
    std::optional<std::vector<std::string>> types;  // allowed machine types; none: all
    std::optional<std::string> zone;                // the only allowed zone; none: all
    bool one_zone = false;                          // all tasks run in the same zone
    bool spread = false;                            // at most half of the tasks, rounded up, run in one zone
    bool spot = false;                              // tasks may run on spot machines
    std::string image;
    Milli image_gb = 0;
    Micros estimated_duration = 0;
    Micros checkpoint_interval = 0;  // 0: the job has no checkpoints
    Micros save_duration = 0;        // time that a task needs to save a checkpoint when it is stopped
    std::optional<Micros> deadline;
    std::vector<std::string> dependencies;  // refs of jobs that must be done before this one starts
};

enum class Phase { Fetching, WaitingForGang, Running, Saving, Exited };
enum class ExitCause {
    Done,
    Stopped,
    GangPeersGone,
    GangIncomplete,
    Error,
    NoCapacity,
    AlreadyPresent,
    UnknownJob
};

struct ReportedTask {
    std::string job;
    int task = 0;
    std::int64_t attempt = 0;
    Phase phase = Phase::Running;
    ExitCause cause = ExitCause::Stopped;
    bool saved = false;  // a checkpoint was saved on exit
};

struct Report {
    std::string machine;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    std::uint64_t session = 0;                  // of the worker, which counts its sessions
    std::uint64_t seq = 0;                      // sequence number of the report
    std::uint64_t token = 0;                    // the highest fencing token that the worker has seen
    std::optional<Micros> interruption_notice;  // time until the cloud takes the machine
    std::vector<ReportedTask> tasks;
};

enum class OrderKind { Launch, Stop, Clear };

struct Order {
    OrderKind kind = OrderKind::Launch;
    std::string job;
    int task = 0;
    std::int64_t attempt = 0;
    Micros grace = 0;  // time that a stopped task has for saving a checkpoint
};

struct MachineType {
    std::string name;
    Resources size;
    Milli cache_gb = 0;
    double fetch_gb_per_s = 0;
    double price = 0;
    double spot_price = 0;
    Micros boot_duration = 0;
    std::vector<std::string> zones;
};

enum class CloudState { Starting, Running, Failed };

struct CloudMachine {
    std::string name;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    CloudState state = CloudState::Starting;
    Micros age = 0;  // time since the machine was rented
};

namespace wire {

/// Decodes MessagePack. Returns nothing if the bytes are malformed, nested too deeply or followed by further
/// bytes.
std::optional<Json> decode(std::string_view bytes);
std::string encode(const Json& value);

/// Returns true for "req-" followed by 6 to 18 digits.
bool is_valid_ref(std::string_view ref);

/// The result of parsing a submitted job: the job, or the name of the invalid field in `error`.
struct JobResult {
    std::optional<JobSpec> spec;
    std::string error;
};
JobResult parse_job(const Json& body);
Json job_value(const JobSpec& spec);
/// Returns the job's ref (such as "req-000412"), even if the rest of the body is invalid.
std::optional<std::string> parse_ref(const Json& body);

std::optional<Report> parse_report(const Json& body);
Json report_answer(std::uint64_t token, const std::vector<Order>& orders);
Json direct_orders(std::uint64_t token, std::uint64_t session, const std::vector<Order>& orders);
Json redirect(const std::string& node);
Json job_answer(const std::string& ref, std::string_view stage);
Json job_state(const std::string& ref, std::string_view stage, int done, int running);

std::optional<std::vector<MachineType>> parse_machine_types(const Json& body);
struct MachinePage {
    std::vector<CloudMachine> machines;
    bool has_more = false;
};
std::optional<MachinePage> parse_machines(const Json& body);
Json rent_request(const std::string& name, const std::string& type, const std::string& zone, bool spot,
                  int machine_count);
std::optional<std::vector<std::string>> parse_rented(const Json& body);
Json delete_request(const std::vector<std::string>& machines);

// Accessors for a map that never throw. They return nothing if the key is missing or its value is null or of
// another type.
const Json* find(const Json& map, const char* key);
std::optional<std::string> text(const Json& map, const char* key);
std::optional<std::uint64_t> count(const Json& map, const char* key);
std::optional<double> number(const Json& map, const char* key);
std::optional<bool> flag(const Json& map, const char* key);

}  // namespace wire
}  // namespace cottonway
