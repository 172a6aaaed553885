#include "fakes/live_worker.hpp"

#include <algorithm>

namespace cottonway::fakes {

namespace {

// These values are prescribed by the worker protocol.
constexpr Micros kReportTimeout = 4 * kSecond;
constexpr Micros kControllerSwitchDelay = kSecond;
constexpr Micros kMinReportInterval = 500 * kMillisecond;
constexpr std::size_t kMaxConnections = 2;

}  // namespace

LiveWorker::LiveWorker(asio::io_context& io, std::unique_ptr<Worker> worker,
                       std::vector<Controller> controllers, Options options)
    : io_(io),
      worker_(std::move(worker)),
      controllers_(std::move(controllers)),
      options_(std::move(options)),
      client_(io, kMaxConnections, kMaxConnections),
      server_(io, parse_endpoint(worker_->addr()), {},
              [this](const net::Request& request, const net::Responder& respond) {
                  on_command(request, respond);
              }) {
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
    const bool has_changes_to_send =
        worker_->has_unreported_changes && now - last_report_at_ >= kMinReportInterval;
    if (report_in_flight_ || (now < next_report_at_ && !has_changes_to_send)) return;
    send_report(now);
}

void LiveWorker::send_report(Micros now) {
    report_in_flight_ = true;
    last_report_at_ = now;
    next_report_at_ = now + options_.report_interval;
    client_.call(controllers_[controller_index_].address, "POST", "/v1/report",
                 wire::encode(worker_->report(now)), kReportTimeout,
                 [this, session = worker_->session(), now](const net::ClientReply& reply) {
                     on_report_reply(reply, session, now);
                 });
}

void LiveWorker::on_report_reply(const net::ClientReply& reply, std::uint64_t session, Micros sent_at) {
    report_in_flight_ = false;
    const std::size_t next_index = (controller_index_ + 1) % controllers_.size();
    const auto body = wire::decode(reply.body);
    if (reply.status == 200 && options_.is_answer_lost())
        return switch_controller(next_index, kControllerSwitchDelay);
    if (reply.status == 200 && body)
        return worker_->on_report_answered(*body, session, sent_at, net::steady_micros());
    const auto shard_holder = reply.status == 421 && body ? wire::text(*body, "overseer") : std::nullopt;
    const auto named_controller = std::find_if(
        controllers_.begin(), controllers_.end(),
        [&shard_holder](const Controller& controller) { return shard_holder == controller.name; });
    const auto named_index = static_cast<std::size_t>(named_controller - controllers_.begin());
    if (named_controller != controllers_.end() && named_index != controller_index_)
        return switch_controller(named_index, 0);
    switch_controller(next_index, kControllerSwitchDelay);
}

void LiveWorker::switch_controller(std::size_t controller, Micros pause) {
    controller_index_ = controller;
    next_report_at_ = net::steady_micros() + pause;
    last_report_at_ = next_report_at_ - kMinReportInterval;
}

}  // namespace cottonway::fakes
