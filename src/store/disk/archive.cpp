#include "store/disk/archive.h"

#include <archive.h>
#include <archive_entry.h>
#include <fcntl.h>
#include <openssl/evp.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <map>

#include "wire/store_messages.h"

namespace badgershore::store {
namespace {

const std::string kChecksumsEntry = "SHA256SUMS";
const std::string kHeadEntry = "head.json";
constexpr size_t kMaxChunkBytes = 1 << 20;
constexpr size_t kMaxEntryBytes = 64 << 20;

// Throws a DiskError if fsync fails.
void SyncPath(const std::string& path, int flags) {
  const int fd = ::open(path.c_str(), flags | O_CLOEXEC);
  const bool synced = fd >= 0 && ::fsync(fd) == 0;
  const int error = errno;
  if (fd >= 0) ::close(fd);
  // EINVAL: the file system does not support syncing directories.
  if (synced || (fd >= 0 && error == EINVAL)) return;
  throw DiskError(path + ": can't be synced: " + std::strerror(error));
}

std::string PartialPath(const std::string& file) { return file + ".partial"; }

}  // namespace

std::string Sha256(std::string_view bytes) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  EVP_Digest(bytes.data(), bytes.size(), digest, &size, EVP_sha256(), nullptr);
  std::string hex;
  char digits[3];
  for (unsigned int i = 0; i < size; ++i) {
    std::snprintf(digits, sizeof(digits), "%02x", digest[i]);
    hex += digits;
  }
  return hex;
}

ArchiveWriter::ArchiveWriter(std::string file) : file_(std::move(file)) {
  archive_ = archive_write_new();
  archive_write_set_format_pax_restricted(archive_);
  if (archive_write_add_filter_zstd(archive_) != ARCHIVE_OK ||
      archive_write_open_filename(archive_, PartialPath(file_).c_str()) != ARCHIVE_OK) {
    const std::string reason = archive_error_string(archive_);
    archive_write_free(archive_);
    throw DiskError(file_ + ": " + reason);
  }
}

ArchiveWriter::~ArchiveWriter() {
  if (!archive_) return;
  archive_write_free(archive_);
  std::remove(PartialPath(file_).c_str());
}

void ArchiveWriter::Fail(const std::string& context) const {
  const char* reason = archive_error_string(archive_);
  throw DiskError(file_ + ": " + context + ": " + (reason ? reason : "can't be written"));
}

void ArchiveWriter::WriteEntry(const std::string& name, std::string_view bytes) {
  archive_entry* entry = archive_entry_new();
  archive_entry_set_pathname(entry, name.c_str());
  archive_entry_set_size(entry, static_cast<int64_t>(bytes.size()));
  archive_entry_set_filetype(entry, AE_IFREG);
  archive_entry_set_perm(entry, 0600);
  const bool ok = archive_write_header(archive_, entry) == ARCHIVE_OK &&
                  archive_write_data(archive_, bytes.data(), bytes.size()) ==
                      static_cast<la_ssize_t>(bytes.size()) &&
                  archive_write_finish_entry(archive_) == ARCHIVE_OK;
  archive_entry_free(entry);
  if (!ok) Fail(name);
}

void ArchiveWriter::Add(const std::string& name, std::string_view bytes) {
  WriteEntry(name, bytes);
  checksums_ += Sha256(bytes) + "  " + name + "\n";
}

void ArchiveWriter::Finish() {
  WriteEntry(kChecksumsEntry, checksums_);
  if (archive_write_close(archive_) != ARCHIVE_OK) Fail("closing");
  SyncPath(PartialPath(file_), O_RDONLY);
  archive_write_free(std::exchange(archive_, nullptr));
  std::error_code error;
  std::filesystem::rename(PartialPath(file_), file_, error);
  if (error) throw DiskError(file_ + ": " + error.message());
  const auto parent = std::filesystem::absolute(file_).parent_path();
  SyncPath(parent.string(), O_RDONLY | O_DIRECTORY);
}

void ReadArchive(
    const std::string& file,
    const std::function<void(const std::string& name, const std::string& bytes)>& on_entry) {
  archive* reader = archive_read_new();
  const std::unique_ptr<archive, int (*)(archive*)> owner(reader, archive_read_free);
  archive_read_support_format_tar(reader);
  archive_read_support_filter_zstd(reader);
  const auto fail = [&](const std::string& name, const std::string& context) {
    throw DiskError(file + (name.empty() ? "" : ": " + name) + ": " + context);
  };
  const auto reason = [&] {
    const char* text = archive_error_string(reader);
    return std::string(text ? text : "can't be read");
  };
  if (archive_read_open_filename(reader, file.c_str(), 1 << 16) != ARCHIVE_OK) fail("", reason());
  std::map<std::string, std::string> digests;
  std::string checksums;
  archive_entry* entry = nullptr;
  int state = ARCHIVE_OK;
  while ((state = archive_read_next_header(reader, &entry)) == ARCHIVE_OK) {
    const char* path = archive_entry_pathname(entry);
    const std::string name = path ? path : "";
    if (!checksums.empty()) fail(name, "entry after " + kChecksumsEntry);
    if (archive_entry_filetype(entry) != AE_IFREG) fail(name, "not a regular file");
    std::string bytes;
    char buffer[1 << 16];
    la_ssize_t n = 0;
    while ((n = archive_read_data(reader, buffer, sizeof(buffer))) > 0) {
      bytes.append(buffer, static_cast<size_t>(n));
      if (bytes.size() > kMaxEntryBytes) fail(name, "entry is too large");
    }
    if (n < 0) fail(name, reason());
    if (name == kChecksumsEntry) {
      checksums = bytes;
      if (checksums.empty()) break;
      continue;
    }
    if (!digests.emplace(name, Sha256(bytes)).second) fail(name, "duplicate entry");
    on_entry(name, bytes);
  }
  if (state != ARCHIVE_EOF && state != ARCHIVE_OK) fail("", reason());
  if (checksums.empty()) fail(kChecksumsEntry, "missing; the archive is incomplete");
  size_t offset = 0;
  while (offset < checksums.size()) {
    const size_t end = checksums.find('\n', offset);
    if (end == std::string::npos || end < offset + 67) fail(kChecksumsEntry, "malformed");
    const std::string checksum = checksums.substr(offset, 64),
                      name = checksums.substr(offset + 66, end - offset - 66);
    auto it = digests.find(name);
    if (it == digests.end()) fail(name, "missing");
    if (it->second != checksum) fail(name, "checksum mismatch");
    digests.erase(it);
    offset = end + 1;
  }
  if (!digests.empty()) fail(digests.begin()->first, "not listed in " + kChecksumsEntry);
}

void WriteSnapshot(const StateImage& image, const std::string& file) {
  ArchiveWriter out(file);
  out.Add(kHeadEntry, wire::FormatHeaderLine(image) + "\n");
  std::string chunk;
  int number = 0;
  const auto line = [&](const std::string& text) {
    chunk += text + "\n";
    if (chunk.size() < kMaxChunkBytes) return;
    char name[32];
    std::snprintf(name, sizeof(name), "records/%06d.jsonl", number++);
    out.Add(name, chunk);
    chunk.clear();
  };
  for (const auto& [key, item] : image.items) line(wire::FormatItemLine(key, item));
  for (const auto& [id, time_to_live] : image.leases) line(wire::FormatLeaseLine(id, time_to_live));
  for (const ChangeLogEntry& row : image.change_log) line(wire::FormatChangeLine(row));
  if (!chunk.empty()) out.Add("records/last.jsonl", chunk);
  out.Finish();
}

StateImage ReadSnapshot(const std::string& file) {
  StateImage image;
  bool has_head = false;
  ReadArchive(file, [&](const std::string& name, const std::string& bytes) {
    has_head = has_head || name == kHeadEntry;
    size_t offset = 0;
    for (int number = 1; offset < bytes.size(); ++number) {
      const size_t end = std::min(bytes.find('\n', offset), bytes.size());
      if (!wire::ReadLine(std::string_view(bytes).substr(offset, end - offset), &image)) {
        throw DiskError(file + ": " + name + ":" + std::to_string(number) + ": invalid record");
      }
      offset = end + 1;
    }
  });
  if (!has_head) throw DiskError(file + ": " + kHeadEntry + ": missing");
  return image;
}

void Restore(const std::string& file, const std::string& dir) {
  if (!Engine::IsEmptyOrAbsent(dir))
    throw DiskError(dir + ": directory is not empty; nothing was restored");
  const StateImage image = ReadSnapshot(file);
  // Restores into a temporary directory and renames it, so that an interrupted restore leaves no
  // incomplete database at `dir`.
  std::string staging_dir = dir;
  while (staging_dir.size() > 1 && staging_dir.back() == '/') staging_dir.pop_back();
  staging_dir += ".restoring";
  std::filesystem::remove_all(staging_dir);
  {
    Engine engine(staging_dir, Engine::OpenMode::kReadWrite);
    engine.Initialize(image);
  }
  std::error_code error;
  std::filesystem::remove(dir, error);  // it is empty if it exists
  std::filesystem::rename(staging_dir, dir, error);
  if (error) throw DiskError(dir + ": " + error.message());
  SyncPath(std::filesystem::absolute(dir).parent_path().string(), O_RDONLY | O_DIRECTORY);
}

}  // namespace badgershore::store
