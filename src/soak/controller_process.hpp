#pragma once
// A controller that runs as a child process.

#include <sys/types.h>

#include <string>

namespace cottonway::soak {

/// Starts, kills, pauses and resumes the process.
class ControllerProcess {
  public:
    /// `log_file`: file that the process's standard output and standard error are appended to.
    ControllerProcess(std::string binary, std::string settings_file, std::string log_file)
        : binary_(std::move(binary)),
          settings_file_(std::move(settings_file)),
          log_file_(std::move(log_file)) {}
    ~ControllerProcess() { kill(); }
    ControllerProcess(const ControllerProcess&) = delete;
    ControllerProcess& operator=(const ControllerProcess&) = delete;

    /// Throws std::system_error if the process cannot be started.
    void start();
    /// Sends SIGKILL and waits until the process has ended.
    void kill();
    void pause();
    void resume();
    bool is_running() const { return pid_ > 0; }
    /// Returns true if the process has ended by itself, and reaps it; it then counts as not running.
    bool reap_if_exited();

  private:
    std::string binary_;
    std::string settings_file_;
    std::string log_file_;
    pid_t pid_ = -1;
};

}  // namespace cottonway::soak
