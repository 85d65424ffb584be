#include "simulation/processes.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>

namespace lichendrift::simulation {

pid_t spawn_program(const std::vector<std::string>& arguments, const std::string& log_level,
                    const std::string& log_file) {
    const pid_t pid = ::fork();
    if (pid != 0) return pid;
    const int out = ::open(log_file.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0600);
    ::dup2(out, 1);
    ::dup2(out, 2);
    ::setenv("LOG_LEVEL", log_level.c_str(), 1);  // NOLINT(concurrency-mt-unsafe): after the fork
    std::vector<char*> argv{const_cast<char*>(LICHENDRIFT_PROGRAM)};
    for (const auto& argument : arguments) argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    ::execv(LICHENDRIFT_PROGRAM, argv.data());
    ::_exit(127);
}

std::string own_address(unsigned host, unsigned port) {
    constexpr unsigned kNetworks = 250;
    const auto pid = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(1 + pid % kNetworks) + "." +
           std::to_string(pid / kNetworks % kNetworks) + "." + std::to_string(host) + ":" +
           std::to_string(port);
}

void end_process(pid_t pid) {
    if (pid <= 0) return;
    ::kill(pid, SIGKILL);
    int status = 0;
    ::waitpid(pid, &status, 0);
}

}  // namespace lichendrift::simulation
