// Problems found in a settings or features file.
#pragma once

#include <string>
#include <vector>

namespace lichendrift::cli {

/// One problem of a settings or features file.
struct Problem {
    std::string where;  ///< path of the key, such as `settings.teams[0].cpus`, or file and position
    std::string message;  ///< what is wrong or what was expected
    /// The problem as one line of text: `WHERE: MESSAGE`.
    [[nodiscard]] std::string text() const { return where + ": " + message; }
};

/// All problems of a file, in the order in which they were found.
using Problems = std::vector<Problem>;

}  // namespace lichendrift::cli
