#pragma once
// One controller as a real process: started, killed, paused and resumed by its id.

#include <sys/types.h>

#include <string>

namespace cottonway::soak {

class ControllerProcess {
  public:
    /// `log`: the file that its standard error is appended to.
    ControllerProcess(std::string binary, std::string settings, std::string log)
        : binary_(std::move(binary)), settings_(std::move(settings)), log_(std::move(log)) {}
    ~ControllerProcess() { kill(); }
    ControllerProcess(const ControllerProcess&) = delete;
    ControllerProcess& operator=(const ControllerProcess&) = delete;

    /// Throws std::system_error where it can't be started.
    void start();
    /// Ends it at once and waits until it is gone.
    void kill();
    void pause();
    void resume();
    bool is_running() const { return pid_ > 0; }
    /// Whether it has ended by itself since it was started; then it counts as not running.
    bool reap_if_exited();

  private:
    std::string binary_;
    std::string settings_;
    std::string log_;
    pid_t pid_ = -1;
};

}  // namespace cottonway::soak
