// Helpers around rapidjson for checked reading and for writing.
#pragma once

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cmath>
#include <optional>
#include <string>
#include <string_view>

#include "core/model/time.h"

namespace badgershore::wire {

using Value = rapidjson::Value;

inline bool ParseObject(std::string_view text, rapidjson::Document* doc) {
  doc->Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  return !doc->HasParseError() && doc->IsObject();
}

// Returns the member, or null if it is absent or null.
inline const Value* Find(const Value& object, const char* name) {
  if (!object.IsObject()) return nullptr;
  auto it = object.FindMember(name);
  return it == object.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}
// Returns the member if it is an array, else null.
inline const Value* List(const Value& object, const char* name) {
  const Value* list = Find(object, name);
  return list && list->IsArray() ? list : nullptr;
}
inline std::string Text(const Value& object, const char* name) {
  const Value* v = Find(object, name);
  return v && v->IsString() ? std::string(v->GetString(), v->GetStringLength()) : std::string();
}
inline double Number(const Value& object, const char* name, double otherwise = 0) {
  const Value* v = Find(object, name);
  return v && v->IsNumber() ? v->GetDouble() : otherwise;
}
inline uint64_t Count(const Value& object, const char* name) {
  const Value* v = Find(object, name);
  if (!v) return 0;
  if (v->IsUint64()) return v->GetUint64();
  // Clients may send integers as floating-point numbers.
  return v->IsDouble() && v->GetDouble() >= 0 && v->GetDouble() < 1.8e19
             ? static_cast<uint64_t>(v->GetDouble())
             : 0;
}
inline bool Flag(const Value& object, const char* name) {
  const Value* v = Find(object, name);
  return v && v->IsBool() && v->GetBool();
}
inline int64_t Thousandths(double v) { return std::llround(v * 1000); }

class Writer {
 public:
  Writer& Begin() { return w_.StartObject(), *this; }
  Writer& End() { return w_.EndObject(), *this; }
  Writer& BeginList() { return w_.StartArray(), *this; }
  Writer& EndList() { return w_.EndArray(), *this; }
  Writer& Key(const char* k) { return w_.Key(k), *this; }
  Writer& Put(const char* k, const std::string& v) { return Key(k), Str(v), *this; }
  Writer& Put(const char* k, const char* v) { return Key(k), w_.String(v), *this; }
  Writer& Put(const char* k, uint64_t v) { return Key(k), w_.Uint64(v), *this; }
  Writer& Put(const char* k, int64_t v) { return Key(k), w_.Int64(v), *this; }
  Writer& Put(const char* k, int v) { return Key(k), w_.Int(v), *this; }
  Writer& Put(const char* k, double v) { return Key(k), w_.Double(v), *this; }
  Writer& Put(const char* k, bool v) { return Key(k), w_.Bool(v), *this; }
  Writer& Real(double v) { return w_.Double(v), *this; }
  Writer& Int(int64_t v) { return w_.Int64(v), *this; }
  Writer& Str(const std::string& v) {
    return w_.String(v.data(), static_cast<rapidjson::SizeType>(v.size())), *this;
  }
  // Writes JSON text that is known to be valid.
  Writer& RawText(const std::string& v) {
    return w_.RawValue(v.data(), v.size(), rapidjson::kObjectType), *this;
  }
  Writer& Raw(const Value& v) { return v.Accept(w_), *this; }
  std::string Done() const { return {buffer_.GetString(), buffer_.GetSize()}; }

 private:
  rapidjson::StringBuffer buffer_;
  rapidjson::Writer<rapidjson::StringBuffer> w_{buffer_};
};

}  // namespace badgershore::wire
