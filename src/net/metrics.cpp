#include "net/metrics.hpp"

namespace cottonway::net {

void Metrics::record(const std::string& name, Micros duration, int status) {
    Series& series = series_[name];
    series.micros(static_cast<double>(duration));
    ++series.count;
    ++series.by_status[status];
}

Json Metrics::to_json() const {
    Json out = Json::object();
    for (const auto& [name, series] : series_) {
        Json entry{{"count", series.count}};
        for (const auto& [status, status_count] : series.by_status)
            entry["status_" + std::to_string(status)] = status_count;
        for (const auto& [percentile, quantile] :
             {std::pair{"p50_ms", 0.5}, {"p95_ms", 0.95}, {"p99_ms", 0.99}}) {
            double remaining = quantile * static_cast<double>(series.count);
            for (auto&& bin : boost::histogram::indexed(series.micros, boost::histogram::coverage::all)) {
                remaining -= *bin;
                if (remaining > 0) continue;
                entry[percentile] = std::round(bin.bin().upper()) / 1000.0;
                break;
            }
        }
        out[name] = std::move(entry);
    }
    return out;
}

}  // namespace cottonway::net
