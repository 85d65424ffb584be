#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

// Real processes of the program, for the tests over loopback.
namespace lichendrift::simulation {

// Starts the program with arguments; its output goes to a file.
pid_t spawn_program(const std::vector<std::string>& arguments, const std::string& log_level,
                    const std::string& log_file);

// A loopback address of this test process alone, so that tests that run side by side never meet:
// no port has to be searched for.
std::string own_address(unsigned host, unsigned port);

// Ends the process that the test started, however it is.
void end_process(pid_t pid);

}  // namespace lichendrift::simulation
