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
constexpr uint8_t kRowFormat = 1;

struct MetadataRow {
  uint64_t revision = 0, last_lease_id = 0, compacted_revision = 0, write_count = 0;
  template <class A>
  void serialize(A& a) {
    a(revision, last_lease_id, compacted_revision, write_count);
  }
};
struct ItemRow {
  uint64_t version = 0, lease = 0;
  std::string value;
  template <class A>
  void serialize(A& a) {
    a(version, lease, value);
  }
};
struct LeaseRow {
  int64_t time_to_live_us = 0;
  template <class A>
  void serialize(A& a) {
    a(time_to_live_us);
  }
};
struct ChangeRow {
  uint64_t revision = 0;
  std::string key, value;
  bool deleted = false;
  template <class A>
  void serialize(A& a) {
    a(revision, key, value, deleted);
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

inline std::string ToBigEndian(uint64_t v) {
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
class StringStreamBuffer : public std::streambuf {
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
std::string EncodeRow(const Row& row) {
  thread_local StringStreamBuffer sink;
  thread_local std::ostream out(&sink);
  sink.text.clear();
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(kRowFormat, row);
  }
  return sink.text;
}

template <typename Row>
Row DecodeRow(const rocksdb::Slice& key, const rocksdb::Slice& value) {
  Row row;
  uint8_t format = 0;
  try {
    std::istringstream in(value.ToString());
    cereal::PortableBinaryInputArchive archive(in);
    archive(format);
    if (format == kRowFormat) {
      archive(row);
      return row;
    }
  } catch (const std::exception&) {
    format = 0;
  }
  const std::string name = "record " + key.ToString(true);
  if (format == 0) throw DataCorruptionError(name + " can't be decoded; restore a snapshot");
  throw DiskError(name + " has format " + std::to_string(format) + "; this version reads format " +
                  std::to_string(kRowFormat));
}

}  // namespace badgershore::store
