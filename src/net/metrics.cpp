#include "net/metrics.hpp"

namespace cottonway::net {

void Metrics::add(const std::string& name, Micros took, int status) {
    Series& s = series_[name];
    s.micros(static_cast<double>(took));
    ++s.count;
    ++s.by_status[status];
}

Json Metrics::value() const {
    Json out = Json::object();
    for (const auto& [name, s] : series_) {
        Json v{{"count", s.count}};
        for (const auto& [status, n] : s.by_status) v["status_" + std::to_string(status)] = n;
        for (const auto& [label, q] : {std::pair{"p50_ms", 0.5}, {"p95_ms", 0.95}, {"p99_ms", 0.99}}) {
            double left = q * static_cast<double>(s.count);
            for (auto&& bin : boost::histogram::indexed(s.micros, boost::histogram::coverage::all)) {
                left -= *bin;
                if (left > 0) continue;
                v[label] = std::round(bin.bin().upper()) / 1000.0;
                break;
            }
        }
        out[name] = std::move(v);
    }
    return out;
}

}  // namespace cottonway::net
