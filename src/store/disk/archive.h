// zstd-compressed tar archives with a SHA-256 checksum for each entry.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "store/disk/engine.h"

struct archive;

namespace badgershore::store {

std::string Sha256(std::string_view bytes);  // hex

// Writes FILE.partial, which Finish syncs and renames to FILE, so that a file named FILE is always
// complete. The last entry, SHA256SUMS, has a line for each of the others.
class ArchiveWriter {
 public:
  explicit ArchiveWriter(std::string file);
  ~ArchiveWriter();
  void Add(const std::string& name, std::string_view bytes);
  void Finish();

 private:
  void WriteEntry(const std::string& name, std::string_view bytes);
  [[noreturn]] void Fail(const std::string& context) const;
  std::string file_, checksums_;
  archive* archive_ = nullptr;
};

// Passes each entry to `on_entry` and then verifies all of them against SHA256SUMS. Throws a
// DiskError that names an entry with another checksum, a missing one or one that is not listed. The
// entries must not be used before ReadArchive returns.
void ReadArchive(
    const std::string& file,
    const std::function<void(const std::string& name, const std::string& bytes)>& on_entry);

// Writes an image to a snapshot file, and reads it back. Restore needs an empty or absent directory
// and leaves it unchanged unless the whole snapshot is valid.
void WriteSnapshot(const StateImage& image, const std::string& file);
StateImage ReadSnapshot(const std::string& file);
void Restore(const std::string& file, const std::string& dir);

}  // namespace badgershore::store
