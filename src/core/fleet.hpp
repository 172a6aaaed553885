#pragma once
// The leader's dealings with the cloud: which machines are there, which to rent and which to return.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/host.hpp"
#include "core/owner.hpp"

namespace cottonway {

class Controller;

class Fleet {
  public:
    explicit Fleet(Controller& controller);
    /// Called about once a second by every controller; only the leader acts.
    void tick();
    Value status() const;

  private:
    struct Rental {
        std::string name;
        std::string type;
        std::string zone;
        bool spot = false;
        int count = 0;
        bool in_flight = false;
        Micros not_before = 0;
    };
    /// Rented and not reporting yet.
    struct Booting {
        std::string type;
        std::string zone;
        bool spot = false;
    };
    struct Shape {
        std::string type;
        std::string zone;
        bool spot = false;
        auto operator<=>(const Shape&) const = default;
    };

    /// Cores that are there or coming, and cores that are wanted; ordinary machines also by themselves, since
    /// some work may not use spot ones.
    struct Balance {
        Milli ordinary = 0;
        Milli total = 0;
        Milli wanted_ordinary = 0;
        Milli wanted_total = 0;
    };
    void weigh();
    void log_balance();
    void list(const std::string& since);
    void on_listed(const CloudMachine& m);
    void rent();
    void order(const Shape& shape, int count);
    void send(Rental& rental);
    void drain();
    void reclaim();
    void remove();
    bool call(Call call, ReplyHandler done);

    Controller& controller_;
    RateBudget budget_;
    Micros pause_until_ = 0;
    Micros listed_at_ = 0;
    Micros types_at_ = 0;
    bool listing_ = false;
    bool deleting_ = false;
    bool was_leading_ = false;
    Micros leading_since_ = 0;
    std::uint64_t term_ = 0;
    std::uint64_t counter_ = 0;
    std::map<std::string, Rental> rentals_;
    std::map<std::string, Booting> booting_;
    std::map<Shape, Micros> refused_until_;
    std::map<Shape, int> refusals_;
    std::set<std::string> deleted_;
    std::map<std::string, Micros> doomed_;  // never reported: to be deleted
    Balance balance_;
    double peak_ordinary_ = 0;
    double peak_total_ = 0;
    Micros weighed_at_ = 0;
    Micros logged_at_ = 0;
};

}  // namespace cottonway
