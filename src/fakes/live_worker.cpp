#include "fakes/live_worker.hpp"

#include <algorithm>

namespace cottonway::fakes {

namespace {

// By the protocol.
constexpr Micros kAnswerPatience = 4 * kSecond;
constexpr Micros kNextControllerAfter = kSecond;
constexpr Micros kLeastInterval = 500 * kMillisecond;
constexpr std::size_t kConnections = 2;

}  // namespace

LiveWorker::LiveWorker(asio::io_context& io, std::unique_ptr<Worker> worker,
                       std::vector<Controller> controllers, Options options)
    : io_(io),
      worker_(std::move(worker)),
      controllers_(std::move(controllers)),
      options_(std::move(options)),
      client_(io, kConnections, kConnections),
      server_(io, parse_endpoint(worker_->addr()), {},
              [this](const net::Request& r, const net::Responder& respond) { on_command(r, respond); }) {
    server_.start();
}

void LiveWorker::on_command(const net::Request& request, const net::Responder& respond) {
    const Json body = wire::decode(request.body).value_or(Json());
    const Delivery delivery = request.method == "POST" ? options_.command_delivery() : Delivery::Delivered;
    if (delivery == Delivery::Lost) return;
    if (delivery == Delivery::Late) {
        auto timer =
            std::make_shared<asio::steady_timer>(io_, std::chrono::microseconds(options_.late_command_delay));
        timer->async_wait([this, timer, path = request.path, body](asio::error_code ec) {
            if (!ec) worker_->handle("POST", path, body, net::steady_micros());
        });
        return;
    }
    const Reply reply = worker_->handle(request.method, request.path, body, net::steady_micros());
    respond({reply.status, wire::encode(reply.body), "application/msgpack", 0});
}

void LiveWorker::tick() {
    const Micros now = net::steady_micros();
    worker_->advance(now);
    const bool changed = worker_->has_unreported_changes && now - sent_ >= kLeastInterval;
    if (in_flight_ || (now < next_ && !changed)) return;
    report(now);
}

void LiveWorker::report(Micros now) {
    in_flight_ = true;
    sent_ = now;
    next_ = now + options_.report_every;
    client_.call(controllers_[target_].address, "POST", "/v1/report", wire::encode(worker_->report(now)),
                 kAnswerPatience, [this, session = worker_->session(), now](const net::ClientReply& r) {
                     answered(r, session, now);
                 });
}

void LiveWorker::answered(const net::ClientReply& reply, std::uint64_t session, Micros sent) {
    in_flight_ = false;
    const std::size_t next = (target_ + 1) % controllers_.size();
    const auto body = wire::decode(reply.body);
    if (reply.status == 200 && options_.is_answer_lost()) return turn_to(next, kNextControllerAfter);
    if (reply.status == 200 && body)
        return worker_->on_report_answered(*body, session, sent, net::steady_micros());
    const auto holder = reply.status == 421 && body ? wire::text(*body, "overseer") : std::nullopt;
    const auto named = std::find_if(controllers_.begin(), controllers_.end(),
                                    [&holder](const Controller& c) { return holder == c.name; });
    const auto index = static_cast<std::size_t>(named - controllers_.begin());
    if (named != controllers_.end() && index != target_) return turn_to(index, 0);
    turn_to(next, kNextControllerAfter);
}

void LiveWorker::turn_to(std::size_t controller, Micros pause) {
    target_ = controller;
    next_ = net::steady_micros() + pause;
    sent_ = next_ - kLeastInterval;
}

}  // namespace cottonway::fakes
