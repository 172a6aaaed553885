#pragma once
// Units used all over the project: whole microseconds and whole thousandths of an amount.

#include <cstdint>

namespace cottonway {

using Micros = std::int64_t;
constexpr Micros kMillisecond = 1'000;
constexpr Micros kSecond = 1'000'000;

/// Thousandths of a core, a GPU or a gigabyte. Sums stay exact, which a limit check relies on.
using Milli = std::int64_t;

struct Resources {
    Milli cores = 0;
    Milli gpus = 0;
    Milli ram = 0;

    bool fits(const Resources& room) const {
        return cores <= room.cores && gpus <= room.gpus && ram <= room.ram;
    }
    Resources& operator+=(const Resources& o) {
        cores += o.cores;
        gpus += o.gpus;
        ram += o.ram;
        return *this;
    }
    Resources& operator-=(const Resources& o) {
        cores -= o.cores;
        gpus -= o.gpus;
        ram -= o.ram;
        return *this;
    }
    friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
    friend Resources operator+(Resources a, const Resources& b) { return a += b; }
};

}  // namespace cottonway
