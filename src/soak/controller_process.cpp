#include "soak/controller_process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <system_error>

extern char** environ;

namespace cottonway::soak {

void ControllerProcess::start() {
    if (is_running()) return;
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_file_.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
    // Keeps the process from inheriting the test's sockets.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::string config = "--config";
    char* const arguments[] = {binary_.data(), config.data(), settings_file_.data(), nullptr};
    const int error = posix_spawn(&pid_, binary_.c_str(), &actions, nullptr, arguments, environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error == 0) return;
    pid_ = -1;
    throw std::system_error(error, std::generic_category(), binary_);
}

void ControllerProcess::kill() {
    if (!is_running()) return;
    ::kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
}

void ControllerProcess::pause() {
    if (is_running()) ::kill(pid_, SIGSTOP);
}

void ControllerProcess::resume() {
    if (is_running()) ::kill(pid_, SIGCONT);
}

bool ControllerProcess::reap_if_exited() {
    if (!is_running() || waitpid(pid_, nullptr, WNOHANG) != pid_) return false;
    pid_ = -1;
    return true;
}

}  // namespace cottonway::soak
