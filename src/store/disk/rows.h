// Rows of the state service's database: one RocksDB record each, prefixed with a format number.
// Row keys: "m" for the metadata, "r" for the owner's metadata, "k" + key for a value, "l" + lease
// id for a lease, "c" + the last revision of a batch for its changes. Numbers in row keys are
// big-endian, so that they sort numerically.
#pragma once

#include <rocksdb/slice.h>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <ostream>
#include <sstream>
#include <streambuf>
#include <string>
#include <string_view>
#include <vector>

#include "store/disk/disk_error.h"

namespace badgershore::store {

// The format number. A later version that changes the format increments it and still reads the
// earlier formats.
constexpr uint8_t kFormat = 1;

struct MetaRow {
  uint64_t epoch = 0, last_lease = 0, compacted = 0, writes = 0;
  template <class A>
  void serialize(A& a) {
    a(epoch, last_lease, compacted, writes);
  }
};
struct ItemRow {
  uint64_t stamp = 0, lease = 0;
  std::string value;
  template <class A>
  void serialize(A& a) {
    a(stamp, lease, value);
  }
};
struct LeaseRow {
  int64_t life = 0;
  template <class A>
  void serialize(A& a) {
    a(life);
  }
};
struct ChangeRow {
  uint64_t stamp = 0;
  std::string key, value;
  bool deleted = false;
  template <class A>
  void serialize(A& a) {
    a(stamp, key, value, deleted);
  }
};
// The changes of one batch, in one record keyed by its last revision.
struct ChangesRow {
  std::vector<ChangeRow> changes;
  template <class A>
  void serialize(A& a) {
    a(changes);
  }
};

inline const std::string kMetadataKey = "m";
inline const std::string kOwnerMetadataKey = "r";

inline std::string BigEndian(uint64_t v) {
  std::string out(8, '\0');
  for (int i = 7; i >= 0; --i, v >>= 8) out[static_cast<size_t>(i)] = static_cast<char>(v);
  return out;
}
inline uint64_t FromBigEndian(std::string_view s) {
  uint64_t v = 0;
  for (char c : s) v = v << 8 | static_cast<unsigned char>(c);
  return v;
}

// A reusable string stream buffer; constructing a string stream per record costs more than encoding
// the record.
class StringSink : public std::streambuf {
 public:
  std::string text;

 private:
  std::streamsize xsputn(const char* data, std::streamsize n) override {
    text.append(data, static_cast<size_t>(n));
    return n;
  }
  int overflow(int c) override {
    text.push_back(static_cast<char>(c));
    return c;
  }
};

template <typename Row>
std::string Pack(const Row& row) {
  thread_local StringSink sink;
  thread_local std::ostream out(&sink);
  sink.text.clear();
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(kFormat, row);
  }
  return sink.text;
}

template <typename Row>
Row Unpack(const rocksdb::Slice& key, const rocksdb::Slice& value) {
  Row row;
  uint8_t format = 0;
  try {
    std::istringstream in(value.ToString());
    cereal::PortableBinaryInputArchive archive(in);
    archive(format);
    if (format == kFormat) {
      archive(row);
      return row;
    }
  } catch (const std::exception&) {
    format = 0;
  }
  const std::string name = "record " + key.ToString(true);
  if (format == 0) throw DataDamagedError(name + " can't be decoded; restore a snapshot");
  throw DiskError(name + " has format " + std::to_string(format) + "; this version reads format " +
                  std::to_string(kFormat));
}

}  // namespace badgershore::store
