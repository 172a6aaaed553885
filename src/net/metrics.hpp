#pragma once
// Histograms of the durations of calls and requests (with Boost.Histogram: Debian has no HDR histogram for
// C++).

#include <boost/histogram.hpp>
#include <map>
#include <string>

#include "base/units.hpp"
#include "protocol/protocol.hpp"

namespace cottonway::net {

class Metrics {
  public:
    /// Records a call or request with its duration and status.
    void record(const std::string& name, Micros duration, int status);
    /// Returns counts, counts by status and percentiles of each series.
    Json to_json() const;

  private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(Axis()));
    struct Series {
        Histogram micros = boost::histogram::make_histogram(Axis(60, 10.0, 60e6));
        std::uint64_t count = 0;
        std::map<int, std::uint64_t> by_status;
    };
    std::map<std::string, Series> series_;
};

}  // namespace cottonway::net
