/// How the tasks of a job are divided into its placement records `place/ID/NUMBER`.
#pragma once

#include <array>
#include <cstdint>

/// Layout 0 is that of the first versions: record K holds the tasks from K * tasks_per_record on,
/// and tasks_per_record follows from the limit on values in the settings. The finer layouts hold a
/// fixed number of tasks and use numbers of their own, which layout 0 never reaches: whoever reads
/// a record can tell its layout from its number alone, and a version that knows of layout 0 only
/// never writes over one of them. Numbers and spans are part of the stored format and must not be
/// changed. See docs/design.md, "Layouts of placement records".
namespace lichendrift::core {

/// Record numbers of one layout; layout L begins at L times this.
inline constexpr std::uint32_t kRecordNumbersPerLayout = 1'000'000;
/// Tasks in a record of layout 1, 2 and 3.
inline constexpr std::array<std::uint32_t, 3> kTasksPerFineRecord = {24, 8, 1};
/// The finest layout that this version writes.
inline constexpr auto kFinestLayout = static_cast<std::uint32_t>(kTasksPerFineRecord.size());

/// The layout that a record's number belongs to; above kFinestLayout: of a later version.
[[nodiscard]] constexpr std::uint32_t layout_of(std::uint32_t number) {
    return number / kRecordNumbersPerLayout;
}

/// How many tasks a record of a layout holds.
[[nodiscard]] constexpr std::uint32_t tasks_in_record(std::uint32_t layout,
                                                      std::uint32_t tasks_per_record) {
    return layout == 0 ? tasks_per_record : kTasksPerFineRecord.at(layout - 1);
}

/// The number of the record that holds a task.
[[nodiscard]] constexpr std::uint32_t record_number(std::uint32_t layout, std::uint32_t task,
                                                    std::uint32_t tasks_per_record) {
    return layout * kRecordNumbersPerLayout + task / tasks_in_record(layout, tasks_per_record);
}

/// The first task that a record holds.
[[nodiscard]] constexpr std::uint32_t first_task(std::uint32_t number,
                                                 std::uint32_t tasks_per_record) {
    return number % kRecordNumbersPerLayout * tasks_in_record(layout_of(number), tasks_per_record);
}

}  // namespace lichendrift::core
