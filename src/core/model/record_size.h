// Upper bounds of the size of durable records in the state service, in bytes of JSON text.
#pragma once

#include <cstddef>
#include <string>

#include "core/model/types.h"

namespace badgershore {

// Size of the text as a JSON string without its quotes.
size_t JsonTextBytes(const std::string& text);

// The part of a machine page's value that one machine takes.
size_t MachineItemBytes(const MachineRecord& machine);

// The part of a progress page's value that a chunk with `tasks` tasks of the job takes.
size_t ProgressItemBytes(const std::string& job, int tasks);

// The whole value of a record.
size_t MaxRecordBytes(const Record& record);

}  // namespace badgershore
