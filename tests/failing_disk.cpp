// A library to preload into a program (LD_PRELOAD) to inject disk faults. The file named by
// FAILING_DISK_CONTROL contains an errno value and optionally the name of a call: calls that change
// files below FAILING_DISK_DIRECTORY then fail with that error. If the file is absent or empty,
// they succeed. A failing write writes half of its data.
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/types.h>
#include <unistd.h>

namespace {

template <typename Function>
Function NextSymbol(const char* name) {
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

using Open = int (*)(const char*, int, ...);

// The errno that `call` has to fail with; 0: none.
int CurrentFault(const char* call) {
  static const char* control = getenv("FAILING_DISK_CONTROL");
  if (!control) return 0;
  static const Open open_file = NextSymbol<Open>("open");
  const int file = open_file(control, O_RDONLY | O_CLOEXEC);
  if (file < 0) return 0;
  char text[64] = "";
  const ssize_t size = read(file, text, sizeof(text) - 1);
  close(file);
  int error = 0;
  char call_filter[32] = "";
  if (size <= 0 || sscanf(text, "%d %31s", &error, call_filter) < 1) return 0;
  return call_filter[0] == '\0' || strcmp(call_filter, call) == 0 ? error : 0;
}

bool IsBelow(const char* path) {
  static const char* directory = getenv("FAILING_DISK_DIRECTORY");
  return directory && strncmp(path, directory, strlen(directory)) == 0;
}

bool IsBelow(int file) {
  char link[64], path[4096];
  snprintf(link, sizeof(link), "/proc/self/fd/%d", file);
  const ssize_t size = readlink(link, path, sizeof(path) - 1);
  if (size <= 0) return false;
  path[size] = '\0';
  return IsBelow(path);
}

// Tells the test that a fault has taken effect.
void RecordFailure() {
  char marker[4096];
  snprintf(marker, sizeof(marker), "%s.failed", getenv("FAILING_DISK_CONTROL"));
  static const Open next = NextSymbol<Open>("open");
  const int file = next(marker, O_CREAT | O_WRONLY, 0600);
  if (file >= 0) close(file);
}

template <typename Target>
bool ShouldFail(const char* call, Target target) {
  const int saved = errno;
  const int fault = IsBelow(target) ? CurrentFault(call) : 0;
  if (fault != 0) RecordFailure();
  errno = fault != 0 ? fault : saved;
  return fault != 0;
}

}  // namespace

extern "C" {

ssize_t write(int file, const void* data, size_t size) {
  static const auto next = NextSymbol<ssize_t (*)(int, const void*, size_t)>("write");
  if (!ShouldFail("write", file)) return next(file, data, size);
  const int fault = errno;
  if (size > 1) (void)!next(file, data, size / 2);
  errno = fault;
  return -1;
}

ssize_t pwrite(int file, const void* data, size_t size, off_t at) {
  static const auto next = NextSymbol<ssize_t (*)(int, const void*, size_t, off_t)>("pwrite");
  if (!ShouldFail("pwrite", file)) return next(file, data, size, at);
  const int fault = errno;
  if (size > 1) (void)!next(file, data, size / 2, at);
  errno = fault;
  return -1;
}

int fsync(int file) {
  static const auto next = NextSymbol<int (*)(int)>("fsync");
  return ShouldFail("fsync", file) ? -1 : next(file);
}

int fdatasync(int file) {
  static const auto next = NextSymbol<int (*)(int)>("fdatasync");
  return ShouldFail("fdatasync", file) ? -1 : next(file);
}

int ftruncate(int file, off_t size) {
  static const auto next = NextSymbol<int (*)(int, off_t)>("ftruncate");
  return ShouldFail("ftruncate", file) ? -1 : next(file, size);
}

int rename(const char* from, const char* to) {
  static const auto next = NextSymbol<int (*)(const char*, const char*)>("rename");
  return ShouldFail("rename", to) ? -1 : next(from, to);
}

int open(const char* path, int flags, ...) {
  static const Open next = NextSymbol<Open>("open");
  va_list rest;
  va_start(rest, flags);
  const mode_t mode = (flags & O_CREAT) != 0 ? va_arg(rest, mode_t) : 0;
  va_end(rest);
  return (flags & O_CREAT) != 0 && ShouldFail("open", path) ? -1 : next(path, flags, mode);
}

}  // extern "C"
