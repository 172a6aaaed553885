#pragma once
// The interface between the core and its environment: clocks, timers, and calls that may never be answered.
// The program implements it with Asio, the tests with a simulator, so that the core itself does no I/O.

#include <algorithm>
#include <functional>
#include <random>
#include <string>

#include "base/json.hpp"
#include "base/units.hpp"

namespace cottonway {

/// Statuses of a Reply besides those of HTTP.
constexpr int kNoAnswer = 0;  // the request may have been executed, or may still be executed
constexpr int kNotSent = -1;  // no connection was established: the request was not and will not be executed

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

/// A clock of the time in which the process was able to receive messages. While a process is suspended or
/// gets no CPU time, messages to it wait unread, so that silence in that time does not mean that a peer
/// failed. This clock therefore advances by a bounded amount in each iteration of the event loop. Use it to
/// detect silent peers; leases and other promises that end at a time use the steady clock instead.
class ListeningClock {
  public:
    /// Called in each iteration of the event loop. Returns for how long the process was stalled before it, or
    /// 0.
    Micros advance(Micros steady) {
        const Micros elapsed = last_steady_ == 0 ? 0 : steady - last_steady_;
        last_steady_ = steady;
        now_ += std::min(elapsed, kMaxAdvance);
        return elapsed >= kMinReportedStall ? elapsed : 0;
    }
    Micros now() const { return now_; }

  private:
    static constexpr Micros kMaxAdvance = 300 * kMillisecond;
    static constexpr Micros kMinReportedStall = kSecond;
    Micros last_steady_ = 0;
    Micros now_ = kSecond;
};

class Runtime {
  public:
    virtual ~Runtime() = default;
    /// Returns the time of the steady clock.
    virtual Micros now() = 0;
    /// Returns the time of the ListeningClock, by which silent peers are detected. Timeouts of calls use it
    /// as well.
    virtual Micros listening_time() = 0;
    /// Returns the wall-clock time in milliseconds since the epoch.
    virtual std::int64_t wall_clock_ms() = 0;
    virtual void call(Call call, ReplyHandler done) = 0;
    virtual void after(Micros delay, std::function<void()> callback) = 0;
    virtual std::mt19937_64& random() = 0;
};

}  // namespace cottonway
