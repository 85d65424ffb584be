#pragma once

#include <string>
#include <vector>

namespace lichendrift::cli {

// What is wrong with a file, each with the path of its key.
using Problems = std::vector<std::string>;

}  // namespace lichendrift::cli
