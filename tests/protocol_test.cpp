// Parsing of message bodies: every malformed body is refused, and none crashes the process.

#include "protocol/protocol.hpp"

#include <gtest/gtest.h>

#include <limits>

namespace cottonway::test {
namespace {

Json valid_job() {
    return {{"ref", "req-000412"}, {"pattern", "train"}, {"crew", "red"},   {"weave", "group"},
            {"rank", "high"},      {"threads", 16},      {"cores", 8.0},    {"cards", 1.0},
            {"ram_gb", 64.0},      {"bolt", "img-07"},   {"pull_gb", 6.2},  {"looms", {"g8"}},
            {"mill", nullptr},     {"one_zone", true},   {"spread", false}, {"remnant", true},
            {"reckon_s", 240.0},   {"knot_s", 30.0},     {"bind_s", 4.0},   {"due_s", 900.0}};
}

TEST(Wire, ParsesAJob) {
    auto parsed = wire::parse_job(valid_job());
    ASSERT_TRUE(parsed.spec) << parsed.error;
    EXPECT_EQ(parsed.spec->kind, JobKind::Gang);
    EXPECT_EQ(parsed.spec->priority_class, PriorityClass::High);
    EXPECT_EQ(parsed.spec->request.ram, 64'000);
    EXPECT_EQ(parsed.spec->deadline, 900 * kSecond);
    EXPECT_FALSE(parsed.spec->zone);
    EXPECT_EQ(wire::parse_job(wire::job_value(*parsed.spec)).spec->tasks, 16);
}

TEST(Wire, OptionalFieldsMayBeOmitted) {
    Json job = valid_job();
    for (const char* key : {"looms", "mill", "due_s"}) job.erase(key);
    job["a field of next year"] = 1;
    EXPECT_TRUE(wire::parse_job(job).spec);
}

TEST(Wire, ParsesDependencies) {
    Json job = valid_job();
    for (const Json& none : {Json(nullptr), Json::array()}) {
        job["warp"] = none;
        EXPECT_TRUE(wire::parse_job(job).spec->dependencies.empty());
    }
    job["warp"] = {"req-000398", "req-000405", "req-000398"};
    EXPECT_EQ(wire::parse_job(job).spec->dependencies,
              (std::vector<std::string>{"req-000398", "req-000405"}));
    EXPECT_EQ(wire::parse_job(wire::job_value(*wire::parse_job(job).spec)).spec->dependencies.size(), 2u);
    for (const Json& invalid : {Json("req-000398"), Json({"job-1"}), Json({1}), Json({{"a", 1}}), Json(7),
                                Json(std::vector<std::string>(1001, "req-000398"))}) {
        job["warp"] = invalid;
        EXPECT_EQ(wire::parse_job(job).error, "warp") << invalid.dump().substr(0, 40);
    }
}

TEST(Wire, RefusesEveryInvalidField) {
    const double inf = std::numeric_limits<double>::infinity(),
                 nan = std::numeric_limits<double>::quiet_NaN();
    const std::vector<std::pair<const char*, Json>> invalid{
        {"ref", "job-1"}, {"ref", "req-"},      {"ref", "req-12345x"}, {"ref", 7},
        {"pattern", ""},  {"crew", nullptr},    {"weave", "knot"},     {"rank", "urgent"},
        {"threads", 0},   {"threads", 100'001}, {"threads", 1.5},      {"threads", -1},
        {"cores", -1.0},  {"cores", nan},       {"cores", inf},        {"cores", "8"},
        {"cards", true},  {"ram_gb", nullptr},  {"bolt", 3},           {"pull_gb", -0.1},
        {"looms", "g8"},  {"looms", {1, 2}},    {"mill", 5},           {"one_zone", 1},
        {"spread", "no"}, {"remnant", nullptr}, {"reckon_s", nullptr}, {"knot_s", -1.0},
        {"bind_s", inf},  {"due_s", "soon"}};
    for (const auto& [key, value] : invalid) {
        Json job = valid_job();
        job[key] = value;
        EXPECT_FALSE(wire::parse_job(job).spec) << key << " = " << value.dump();
    }
    const Json complete = valid_job();
    for (const auto& item : complete.items()) {
        if (item.key() == "looms" || item.key() == "mill" || item.key() == "due_s") continue;
        Json job = complete;
        job.erase(item.key());
        EXPECT_FALSE(wire::parse_job(job).spec) << "without " << item.key();
    }
    EXPECT_FALSE(wire::parse_job(Json::array({1, 2})).spec);
}

TEST(Wire, RefusesMalformedBytes) {
    const std::string complete = wire::encode(valid_job());
    ASSERT_TRUE(wire::decode(complete));
    for (std::size_t size = 0; size < complete.size(); ++size)
        EXPECT_FALSE(wire::decode(complete.substr(0, size))) << size;
    EXPECT_FALSE(wire::decode(complete + "x"));
    EXPECT_FALSE(wire::decode("\xc1"));
    EXPECT_FALSE(wire::decode(std::string(60'000, '\x91'))) << "too deep";
    EXPECT_FALSE(wire::decode(std::string("\xdd\xff\xff\xff\xff", 5))) << "a list longer than the bytes";
}

TEST(Wire, RefusesInvalidReports) {
    const Json valid_report{
        {"frame", "n-000231"},
        {"addr", "10.1.0.1:9000"},
        {"loom_type", "g8"},
        {"mill", "a"},
        {"remnant", true},
        {"shift", 1},
        {"tally", 8},
        {"shuttle", 41},
        {"threads", {{{"thread", "req-000412/3"}, {"try", 2}, {"stage", "exited"}, {"cause", "done"}}}}};
    auto parsed = wire::parse_report(valid_report);
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed->tasks.at(0).task, 3);
    EXPECT_EQ(parsed->tasks.at(0).cause, ExitCause::Done);
    for (const char* key : {"frame", "addr", "loom_type", "mill", "shift", "tally"}) {
        Json report = valid_report;
        report.erase(key);
        EXPECT_FALSE(wire::parse_report(report)) << "without " << key;
    }
    for (const char* name : {"req-000412", "req-000412/", "req-000412/x", "req-000412/99999999999"}) {
        Json report = valid_report;
        report["threads"][0]["thread"] = name;
        EXPECT_FALSE(wire::parse_report(report)) << name;
    }
}

TEST(Wire, RequestsAreRoundedUp) {
    Json job = valid_job();
    job["cores"] = 0.0004;
    EXPECT_EQ(wire::parse_job(job).spec->request.cores, 1);
    job["cores"] = 0.3;
    EXPECT_EQ(wire::parse_job(job).spec->request.cores, 300);
}

}  // namespace
}  // namespace cottonway::test
