// Durable records as JSON values. The field names are part of the stored format.
#pragma once

#include <string>

#include "core/model/types.h"
#include "wire/json.h"

namespace badgershore::wire {

void PutRecord(Writer* w, const Record& record);
// Reads the record type that belongs to the key's prefix. Returns an empty record if the value is
// invalid.
Record ReadRecord(const std::string& key, const Value& value);

}  // namespace badgershore::wire
