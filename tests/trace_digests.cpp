// With LICHENDRIFT_TRACE_DIGESTS=FILE in the environment, appends one line to FILE for each
// simulation that the tests run: test, number of the simulation within the test, seed, number of
// controllers, number of events, digest of the events. To verify that a change does not alter
// behaviour, compare the lines of a build with the change to those of a build without it.
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "simulation/trace.h"

namespace lichendrift::simulation {
namespace {

class TraceDigests : public ::testing::Environment {
  public:
    void SetUp() override {
        // NOLINTNEXTLINE(concurrency-mt-unsafe): no other thread runs yet.
        const char* path = std::getenv("LICHENDRIFT_TRACE_DIGESTS");
        if (path == nullptr) return;
        Trace::reporter() = [path = std::string(path), this](const Trace::Summary& summary) {
            const auto* test = ::testing::UnitTest::GetInstance()->current_test_info();
            const auto name = test == nullptr
                                  ? std::string("none")
                                  : std::string(test->test_suite_name()) + "." + test->name();
            if (name != test_) number_ = 0;
            test_ = name;
            std::ostringstream line;
            line << name << " #" << number_++ << " seed " << summary.seed << " controllers "
                 << summary.controllers << " events " << summary.events << " digest "
                 << summary.digest << '\n';
            std::ofstream(path, std::ios::app) << line.str();
        };
    }
    void TearDown() override { Trace::reporter() = nullptr; }

  private:
    std::string test_;
    std::size_t number_ = 0;
};
// GoogleTest takes ownership.
// NOLINTNEXTLINE(cppcoreguidelines-owning-memory)
[[maybe_unused]] auto* const kTraceDigests = ::testing::AddGlobalTestEnvironment(new TraceDigests);

}  // namespace
}  // namespace lichendrift::simulation
