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

const std::string kSums = "SHA256SUMS";
const std::string kHead = "head.json";
constexpr size_t kPieceBytes = 1 << 20;
constexpr size_t kMostEntryBytes = 64 << 20;

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

std::string Partial(const std::string& file) { return file + ".partial"; }

}  // namespace

std::string Sha256(std::string_view bytes) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  EVP_Digest(bytes.data(), bytes.size(), digest, &size, EVP_sha256(), nullptr);
  std::string hex;
  char two[3];
  for (unsigned int i = 0; i < size; ++i) {
    std::snprintf(two, sizeof(two), "%02x", digest[i]);
    hex += two;
  }
  return hex;
}

ArchiveWriter::ArchiveWriter(std::string file) : file_(std::move(file)) {
  archive_ = archive_write_new();
  archive_write_set_format_pax_restricted(archive_);
  if (archive_write_add_filter_zstd(archive_) != ARCHIVE_OK ||
      archive_write_open_filename(archive_, Partial(file_).c_str()) != ARCHIVE_OK) {
    const std::string why = archive_error_string(archive_);
    archive_write_free(archive_);
    throw DiskError(file_ + ": " + why);
  }
}

ArchiveWriter::~ArchiveWriter() {
  if (!archive_) return;
  archive_write_free(archive_);
  std::remove(Partial(file_).c_str());
}

void ArchiveWriter::Fail(const std::string& what) const {
  const char* why = archive_error_string(archive_);
  throw DiskError(file_ + ": " + what + ": " + (why ? why : "can't be written"));
}

void ArchiveWriter::Entry(const std::string& name, std::string_view bytes) {
  archive_entry* entry = archive_entry_new();
  archive_entry_set_pathname(entry, name.c_str());
  archive_entry_set_size(entry, static_cast<int64_t>(bytes.size()));
  archive_entry_set_filetype(entry, AE_IFREG);
  archive_entry_set_perm(entry, 0600);
  const bool good = archive_write_header(archive_, entry) == ARCHIVE_OK &&
                    archive_write_data(archive_, bytes.data(), bytes.size()) ==
                        static_cast<la_ssize_t>(bytes.size()) &&
                    archive_write_finish_entry(archive_) == ARCHIVE_OK;
  archive_entry_free(entry);
  if (!good) Fail(name);
}

void ArchiveWriter::Add(const std::string& name, std::string_view bytes) {
  Entry(name, bytes);
  sums_ += Sha256(bytes) + "  " + name + "\n";
}

void ArchiveWriter::Finish() {
  Entry(kSums, sums_);
  if (archive_write_close(archive_) != ARCHIVE_OK) Fail("closing");
  SyncPath(Partial(file_), O_RDONLY);
  archive_write_free(std::exchange(archive_, nullptr));
  std::error_code error;
  std::filesystem::rename(Partial(file_), file_, error);
  if (error) throw DiskError(file_ + ": " + error.message());
  const auto parent = std::filesystem::absolute(file_).parent_path();
  SyncPath(parent.string(), O_RDONLY | O_DIRECTORY);
}

void ReadArchive(
    const std::string& file,
    const std::function<void(const std::string& name, const std::string& bytes)>& each) {
  archive* a = archive_read_new();
  const std::unique_ptr<archive, int (*)(archive*)> owner(a, archive_read_free);
  archive_read_support_format_tar(a);
  archive_read_support_filter_zstd(a);
  const auto fail = [&](const std::string& name, const std::string& what) {
    throw DiskError(file + (name.empty() ? "" : ": " + name) + ": " + what);
  };
  const auto why = [&] {
    const char* text = archive_error_string(a);
    return std::string(text ? text : "can't be read");
  };
  if (archive_read_open_filename(a, file.c_str(), 1 << 16) != ARCHIVE_OK) fail("", why());
  std::map<std::string, std::string> found;
  std::string sums;
  archive_entry* entry = nullptr;
  int state = ARCHIVE_OK;
  while ((state = archive_read_next_header(a, &entry)) == ARCHIVE_OK) {
    const char* path = archive_entry_pathname(entry);
    const std::string name = path ? path : "";
    if (!sums.empty()) fail(name, "entry after " + kSums);
    if (archive_entry_filetype(entry) != AE_IFREG) fail(name, "not a regular file");
    std::string bytes;
    char buffer[1 << 16];
    la_ssize_t n = 0;
    while ((n = archive_read_data(a, buffer, sizeof(buffer))) > 0) {
      bytes.append(buffer, static_cast<size_t>(n));
      if (bytes.size() > kMostEntryBytes) fail(name, "entry is too large");
    }
    if (n < 0) fail(name, why());
    if (name == kSums) {
      sums = bytes;
      if (sums.empty()) break;
      continue;
    }
    if (!found.emplace(name, Sha256(bytes)).second) fail(name, "duplicate entry");
    each(name, bytes);
  }
  if (state != ARCHIVE_EOF && state != ARCHIVE_OK) fail("", why());
  if (sums.empty()) fail(kSums, "missing; the archive is incomplete");
  size_t at = 0;
  while (at < sums.size()) {
    const size_t end = sums.find('\n', at);
    if (end == std::string::npos || end < at + 67) fail(kSums, "malformed");
    const std::string sum = sums.substr(at, 64), name = sums.substr(at + 66, end - at - 66);
    auto it = found.find(name);
    if (it == found.end()) fail(name, "missing");
    if (it->second != sum) fail(name, "checksum mismatch");
    found.erase(it);
    at = end + 1;
  }
  if (!found.empty()) fail(found.begin()->first, "not listed in " + kSums);
}

void WriteSnapshot(const StateImage& image, const std::string& file) {
  ArchiveWriter out(file);
  out.Add(kHead, wire::FormatHeadLine(image) + "\n");
  std::string piece;
  int number = 0;
  const auto line = [&](const std::string& text) {
    piece += text + "\n";
    if (piece.size() < kPieceBytes) return;
    char name[32];
    std::snprintf(name, sizeof(name), "records/%06d.jsonl", number++);
    out.Add(name, piece);
    piece.clear();
  };
  for (const auto& [key, item] : image.items) line(wire::FormatItemLine(key, item));
  for (const auto& [id, life] : image.leases) line(wire::FormatLeaseLine(id, life));
  for (const ChangeLogEntry& row : image.change_log) line(wire::FormatChangeLine(row));
  if (!piece.empty()) out.Add("records/last.jsonl", piece);
  out.Finish();
}

StateImage ReadSnapshot(const std::string& file) {
  StateImage image;
  bool head = false;
  ReadArchive(file, [&](const std::string& name, const std::string& bytes) {
    head = head || name == kHead;
    size_t at = 0;
    for (int number = 1; at < bytes.size(); ++number) {
      const size_t end = std::min(bytes.find('\n', at), bytes.size());
      if (!wire::ReadLine(std::string_view(bytes).substr(at, end - at), &image)) {
        throw DiskError(file + ": " + name + ":" + std::to_string(number) + ": invalid record");
      }
      at = end + 1;
    }
  });
  if (!head) throw DiskError(file + ": " + kHead + ": missing");
  return image;
}

void Restore(const std::string& file, const std::string& dir) {
  if (!Engine::IsEmptyOrAbsent(dir))
    throw DiskError(dir + ": directory is not empty; nothing was restored");
  const StateImage image = ReadSnapshot(file);
  // Restores into a temporary directory and renames it, so that an interrupted restore leaves no
  // incomplete database at `dir`.
  std::string beside = dir;
  while (beside.size() > 1 && beside.back() == '/') beside.pop_back();
  beside += ".restoring";
  std::filesystem::remove_all(beside);
  {
    Engine engine(beside, Engine::OpenMode::kReadWrite);
    engine.Initialize(image);
  }
  std::error_code error;
  std::filesystem::remove(dir, error);  // it is empty if it exists
  std::filesystem::rename(beside, dir, error);
  if (error) throw DiskError(dir + ": " + error.message());
  SyncPath(std::filesystem::absolute(dir).parent_path().string(), O_RDONLY | O_DIRECTORY);
}

}  // namespace badgershore::store
