#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

// Runs the program in real processes, for the tests over loopback.
namespace lichendrift::simulation {

// Starts the program; its output is written to `log_file`.
pid_t spawn_program(const std::vector<std::string>& arguments, const std::string& log_level,
                    const std::string& log_file);

// A loopback address that only this test process uses, so that tests can run in parallel without
// searching for a free port.
std::string own_address(unsigned host, unsigned port);

// Kills a process that the test started, even if it is stopped, and waits until it has ended.
void end_process(pid_t pid);

}  // namespace lichendrift::simulation
