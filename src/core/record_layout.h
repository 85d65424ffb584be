#pragma once

#include <array>
#include <cstdint>

// How the tasks of a job are divided into its placement records `place/ID/NUMBER`.
//
// Layout 0 is that of the first versions: record K allocations the tasks from K * chunk_tasks on,
// and chunk_tasks follows from the limit on values in the settings. The finer layouts hold a fixed
// number of tasks and use numbers of their own, which layout 0 never reaches: whoever reads a
// record can tell its layout from its number alone, and a version that knows of layout 0 only never
// writes over one of them. Numbers and spans are part of the stored format and must not be changed.
namespace lichendrift::core {

inline constexpr std::uint32_t kNumbersOfALayout = 1'000'000;
inline constexpr std::array<std::uint32_t, 3> kFineSpans = {24, 8, 1};
inline constexpr auto kFinestLayout = static_cast<std::uint32_t>(kFineSpans.size());

// The layout that a record's number belongs to; above kFinestLayout: of a later version.
[[nodiscard]] constexpr std::uint32_t layout_of(std::uint32_t number) {
    return number / kNumbersOfALayout;
}

// How many tasks a record of a layout allocations.
[[nodiscard]] constexpr std::uint32_t span_of(std::uint32_t layout,
                                              std::uint32_t tasks_per_record) {
    return layout == 0 ? tasks_per_record : kFineSpans.at(layout - 1);
}

// The record that allocations a task.
[[nodiscard]] constexpr std::uint32_t record_number(std::uint32_t layout, std::uint32_t task,
                                                    std::uint32_t tasks_per_record) {
    return layout * kNumbersOfALayout + task / span_of(layout, tasks_per_record);
}

// The first task that a record allocations.
[[nodiscard]] constexpr std::uint32_t first_task(std::uint32_t number,
                                                 std::uint32_t tasks_per_record) {
    return number % kNumbersOfALayout * span_of(layout_of(number), tasks_per_record);
}

}  // namespace lichendrift::core
