#pragma once
// What is known of jobs: the records of those that are not over, and of any other that was asked after what a
// poll needs. Holds state and decides nothing but how jobs stand that need one another.

#include <cstdint>
#include <list>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "replica/pipelines.hpp"
#include "settings/settings.hpp"
#include "state/records.hpp"

namespace cottonway {

/// What is known of a job's record: enough to answer a poll once its mark is confirmed.
struct JobView {
    Stage stage = Stage::Queued;
    int tasks = 0;
    int done = 0;
    int running = 0;
    Revision mark = 0;
    std::int64_t ended_ms = 0;  // by the time of day, if its record tells

    static JobView of(const Value& record, Revision mark);
    /// What users are told of it once one before it is cancelled, whatever its record says.
    JobView as_cancelled() const;
    bool final() const { return stage != Stage::Queued; }
};

/// A job that is not over, as the store has it.
struct LiveJob {
    Value record;
    Revision mark = 0;
    std::string domain;
    std::string team;
    std::int64_t since_ms = 0;  // when it began to count (see Job)
    bool open = true;           // waits for no other job
    Resources need;             // of one task
    int tasks = 0;
    int done = 0;
    int running = 0;
    std::string image;
    bool spot = false;
    bool cancelled = false;
    bool held = false;  // its owner takes it to be broken
    std::map<std::size_t, std::pair<Value, Revision>> parts;
};

class JobBook {
  public:
    explicit JobBook(const Settings& settings) : settings_(settings) {}

    /// News of a job's record. False if it is older than what is known.
    bool take(const std::string& ref, const Value& value, Revision mark, Micros now);
    /// News of a further part; null: it is gone. True if the job is live and this is new.
    bool take_part(const std::string& ref, std::size_t part, const Value* value, Revision mark);

    const std::map<std::string, LiveJob>& live() const { return live_; }
    const LiveJob* find(const std::string& ref) const;
    /// Remembers what was read of a job; what was asked after long ago is forgotten.
    void remember(const std::string& ref, const JobView& view);
    const JobView* known(const std::string& ref) const;
    std::size_t views() const { return views_.size(); }

    Pipelines& pipelines() { return pipelines_; }
    const Pipelines& pipelines() const { return pipelines_; }
    /// What has become of a job that another one needs.
    Pipelines::Known fate(const std::string& ref) const;
    /// Takes in how the job stands among those that need one another.
    void settle(const std::string& ref);

    /// Whether the job fits into its team's guarantee together with the team's earlier unfinished jobs.
    bool within_guarantee(const std::string& ref, Micros now);
    /// What the guarantees are weighed by has changed.
    void weigh_again() { guarantees_due_ = true; }

    /// When a domain last ran tasks with an image, 0: not lately.
    Micros image_seen(const std::string& image, const std::string& domain) const;
    void forget_images(Micros before);

  private:
    const Settings& settings_;
    std::map<std::string, LiveJob> live_;
    Pipelines pipelines_;
    std::map<std::pair<std::string, std::string>, Micros> image_seen_;  // image and domain
    std::set<std::string> guaranteed_;
    bool guarantees_due_ = true;
    Micros guarantees_at_ = 0;
    std::list<std::string> recent_;
    std::unordered_map<std::string, std::pair<JobView, std::list<std::string>::iterator>> views_;
};

}  // namespace cottonway
