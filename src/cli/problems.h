// What is wrong with a file of the operators.
#pragma once

#include <string>
#include <vector>

namespace lichendrift::cli {

/// One problem of a settings or features file.
struct Problem {
    std::string where;  ///< path of the key, such as `settings.teams[0].cpus`, or file and position
    std::string what;   ///< what is expected there, or what the key is
    /// The problem as one line.
    [[nodiscard]] std::string text() const { return where + ": " + what; }
};

/// All problems of a file, in the order of reading.
using Problems = std::vector<Problem>;

}  // namespace lichendrift::cli
