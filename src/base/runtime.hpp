#pragma once
// What the core needs of the world: a clock, timers, and calls that are answered some time or never. The
// program implements it with Asio, the tests with a simulated world, so that the core itself does no I/O.

#include <algorithm>
#include <functional>
#include <random>
#include <string>

#include "base/json.hpp"
#include "base/units.hpp"

namespace cottonway {

/// Statuses besides those of HTTP.
constexpr int kNoAnswer = 0;  // the request may have been executed, or may still be
constexpr int kNotSent = -1;  // no connection came about: the request was not and will not be executed

struct Reply {
    int status = kNoAnswer;
    Json body;
    std::string bytes{};  // peers only
};

enum class Target { State, Cloud, Worker, Peer };

struct Call {
    Target target = Target::State;
    std::string address;  // workers and peers only
    std::string method;
    std::string path;
    Json body;          // null: none
    std::string bytes;  // peers only: a packed message
    Micros timeout = 2 * kSecond;
};

using ReplyHandler = std::function<void(const Reply&)>;

/// A clock of the time spent listening. A process that stood still, or got no processor time, has not
/// listened meanwhile: that nothing was heard then tells nothing, since what was sent to it still waits to be
/// read. So this clock advances by a bounded amount each turn of the loop. What is promised or proven by time
/// passing goes by the steady clock instead.
class ListeningClock {
  public:
    /// Called at every turn; returns for how long the process stood still before it, 0 if it did not.
    Micros advance(Micros steady) {
        const Micros passed = last_ == 0 ? 0 : steady - last_;
        last_ = steady;
        now_ += std::min(passed, kLongestTurn);
        return passed >= kStoodStill ? passed : 0;
    }
    Micros now() const { return now_; }

  private:
    static constexpr Micros kLongestTurn = 300 * kMillisecond;
    static constexpr Micros kStoodStill = kSecond;
    Micros last_ = 0;
    Micros now_ = kSecond;
};

class Runtime {
  public:
    virtual ~Runtime() = default;
    virtual Micros now() = 0;
    /// What is merely unheard is judged by this one (see ListeningClock). Time-outs of calls go by it as
    /// well.
    virtual Micros listening_time() = 0;
    /// Milliseconds of the time of day.
    virtual std::int64_t wall_clock_ms() = 0;
    virtual void call(Call call, ReplyHandler done) = 0;
    virtual void after(Micros delay, std::function<void()> run) = 0;
    virtual std::mt19937_64& random() = 0;
};

}  // namespace cottonway
