/// How the tasks of a job are divided into its placement records `place/ID/NUMBER`.
#pragma once

#include <array>
#include <cstdint>

/// Layout 0 is that of the first versions: record K holds the tasks from K * tasks_per_record on,
/// and tasks_per_record follows from the limit on values in the settings. A record of a finer
/// layout holds a fixed number of tasks, and its number is in a range that layout 0 never reaches.
/// So the number of a record alone tells its layout, and a version that only knows layout 0 never
/// overwrites a record of a finer one. The ranges of numbers and the tasks per record are part of
/// the stored format and must not be changed. See docs/design.md, "Layouts of placement records".
namespace lichendrift::core {

/// Size of the range of record numbers of a layout; the range of layout L begins at L times this.
inline constexpr std::uint32_t kRecordNumbersPerLayout = 1'000'000;
/// Tasks per record in the layouts 1, 2 and 3.
inline constexpr std::array<std::uint32_t, 3> kTasksPerFineRecord = {24, 8, 1};
/// The finest layout that this version writes.
inline constexpr auto kFinestLayout = static_cast<std::uint32_t>(kTasksPerFineRecord.size());

/// The layout of the record with this number. A layout above kFinestLayout is one of a later
/// version.
[[nodiscard]] constexpr std::uint32_t layout_of(std::uint32_t number) {
    return number / kRecordNumbersPerLayout;
}

/// Number of tasks in a record of a layout. `tasks_per_record`: that of layout 0.
[[nodiscard]] constexpr std::uint32_t tasks_in_record(std::uint32_t layout,
                                                      std::uint32_t tasks_per_record) {
    return layout == 0 ? tasks_per_record : kTasksPerFineRecord.at(layout - 1);
}

/// Number of the record that holds a task. `tasks_per_record`: that of layout 0.
[[nodiscard]] constexpr std::uint32_t record_number(std::uint32_t layout, std::uint32_t task,
                                                    std::uint32_t tasks_per_record) {
    return layout * kRecordNumbersPerLayout + task / tasks_in_record(layout, tasks_per_record);
}

/// The first task in the record with this number. `tasks_per_record`: that of layout 0.
[[nodiscard]] constexpr std::uint32_t first_task(std::uint32_t number,
                                                 std::uint32_t tasks_per_record) {
    return number % kRecordNumbersPerLayout * tasks_in_record(layout_of(number), tasks_per_record);
}

}  // namespace lichendrift::core
