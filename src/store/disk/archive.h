// Files with a checksum for each entry in one zstd-compressed tar archive.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "store/disk/engine.h"

struct archive;

namespace badgershore::store {

std::string Sha256(std::string_view bytes);  // hex

// Writes FILE.partial and renames it to FILE when Finish has synced it: a file under its own name
// is whole. The last entry, SHA256SUMS, has a line for each of the others.
class ArchiveWriter {
 public:
  explicit ArchiveWriter(std::string file);
  ~ArchiveWriter();
  void Add(const std::string& name, std::string_view bytes);
  void Finish();

 private:
  void Entry(const std::string& name, std::string_view bytes);
  [[noreturn]] void Fail(const std::string& what) const;
  std::string file_, sums_;
  archive* archive_ = nullptr;
};

// Hands out each entry and then compares all with SHA256SUMS; a DiskError names the entry that
// differs, is missing or was not meant to be there. Nothing of it may be used before it returns.
void ReadArchive(
    const std::string& file,
    const std::function<void(const std::string& name, const std::string& bytes)>& each);

// A snapshot of an image, and back. Restoring needs an empty or absent directory and leaves it so
// unless all of the snapshot was good.
void WriteSnapshot(const StateImage& image, const std::string& file);
StateImage ReadSnapshot(const std::string& file);
void Restore(const std::string& file, const std::string& dir);

}  // namespace badgershore::store
