#pragma once
// The units of time and of resources: whole microseconds and whole thousandths of an amount.

#include <cstdint>

namespace cottonway {

using Micros = std::int64_t;
constexpr Micros kMillisecond = 1'000;
constexpr Micros kSecond = 1'000'000;

/// Thousandths of a core, a GPU or a gigabyte. Sums of integers are exact, which the checks of limits rely
/// on.
using Milli = std::int64_t;

struct Resources {
    Milli cores = 0;
    Milli gpus = 0;
    Milli ram = 0;

    bool fits(const Resources& available) const {
        return cores <= available.cores && gpus <= available.gpus && ram <= available.ram;
    }
    Resources& operator+=(const Resources& other) {
        cores += other.cores;
        gpus += other.gpus;
        ram += other.ram;
        return *this;
    }
    Resources& operator-=(const Resources& other) {
        cores -= other.cores;
        gpus -= other.gpus;
        ram -= other.ram;
        return *this;
    }
    friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
    friend Resources operator+(Resources a, const Resources& b) { return a += b; }
};

}  // namespace cottonway
