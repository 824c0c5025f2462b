#include "store/disk/log_check.h"

#include <boost/crc.hpp>
#include <cstring>
#include <string_view>

namespace badgershore::store {
namespace {

constexpr size_t kBlockBytes = 32768, kHeaderBytes = 7;
enum Type : unsigned char { kZero = 0, kFull = 1, kFirst = 2, kMiddle = 3, kLast = 4 };

uint32_t Fixed32(const char* bytes) {
  uint32_t v = 0;
  for (int i = 3; i >= 0; --i) v = v << 8 | static_cast<unsigned char>(bytes[i]);
  return v;
}

using Crc32c = boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true>;

uint32_t MaskedCrc(const Crc32c& crc) {
  const uint32_t c = crc.checksum();
  return ((c >> 15) | (c << 17)) + 0xa282ead8U;
}

uint32_t MaskedCrc(const char* data, size_t n) {
  Crc32c crc;
  crc.process_bytes(data, n);
  return MaskedCrc(crc);
}

struct Fragment {
  enum class State { kValid, kPadding, kPastEnd, kInvalid } state = State::kInvalid;
  unsigned char type = 0;
  size_t size = 0;  // including its header
};

Fragment ReadFragment(const std::string& bytes, size_t offset) {
  Fragment fragment;
  if (offset + kHeaderBytes > bytes.size()) {
    fragment.state = Fragment::State::kPastEnd;
    return fragment;
  }
  const char* header = bytes.data() + offset;
  const size_t length = static_cast<unsigned char>(header[4]) |
                        static_cast<size_t>(static_cast<unsigned char>(header[5])) << 8;
  fragment.type = static_cast<unsigned char>(header[6]);
  fragment.size = kHeaderBytes + length;
  if (fragment.type == kZero && length == 0 && Fixed32(header) == 0) {
    fragment.state = Fragment::State::kPadding;
  } else if (offset % kBlockBytes + fragment.size > kBlockBytes || fragment.type < kFull ||
             fragment.type > kLast) {
    fragment.state = Fragment::State::kInvalid;
  } else if (offset + fragment.size > bytes.size()) {
    fragment.state = Fragment::State::kPastEnd;
  } else if (MaskedCrc(header + 6, length + 1) == Fixed32(header)) {
    fragment.state = Fragment::State::kValid;
  }
  return fragment;
}

bool AllZero(const std::string& bytes, size_t from) {
  return bytes.find_first_not_of('\0', from) == std::string::npos;
}

// Whether the record and the rest of the log end in zeros, as blocks that were never written do.
bool EndsInZeros(const std::string& bytes, size_t from, size_t size) {
  const size_t end = std::min(bytes.size(), from + size);
  if (!AllZero(bytes, end)) return false;
  return end > from && bytes[end - 1] == '\0' && bytes[end - 2] == '\0';
}

bool DifferInOneByte(size_t a, size_t b) {
  const size_t bits = a ^ b;
  return bits != 0 && ((bits & 0xff) == 0 || (bits >> 8) == 0);
}

// Whether the fragment at `offset`, whose length extends past the end of the log, is valid with
// one byte of that length changed. If so, the length is corrupt and the fragment is not a torn
// write.
bool IsValidAtAnotherLength(const std::string& bytes, size_t offset, size_t size) {
  if (offset + kHeaderBytes > bytes.size()) return false;
  const char* header = bytes.data() + offset;
  const uint32_t expected = Fixed32(header);
  Crc32c crc;
  crc.process_byte(static_cast<unsigned char>(header[6]));
  for (size_t length = 0; offset + kHeaderBytes + length <= bytes.size(); ++length) {
    if (length > 0) crc.process_byte(static_cast<unsigned char>(header[kHeaderBytes + length - 1]));
    if (DifferInOneByte(length, size - kHeaderBytes) && MaskedCrc(crc) == expected) return true;
  }
  return false;
}

bool AnyValidFragmentAfter(const std::string& bytes, size_t from) {
  for (size_t offset = from; offset + kHeaderBytes < bytes.size(); ++offset) {
    if (offset % kBlockBytes + kHeaderBytes > kBlockBytes) continue;
    const Fragment fragment = ReadFragment(bytes, offset);
    if (fragment.state == Fragment::State::kValid && fragment.size > kHeaderBytes) return true;
  }
  return false;
}

}  // namespace

LogCheck CheckLog(const std::string& bytes) {
  LogCheck out;
  size_t offset = 0;
  bool in_record = false;  // inside a record of several fragments
  const auto report_invalid = [&](size_t invalid_offset, bool torn) {
    out.state = torn && !AnyValidFragmentAfter(bytes, invalid_offset + 1)
                    ? LogCheck::State::kTorn
                    : LogCheck::State::kCorrupt;
    out.invalid_offset = invalid_offset;
    return out;
  };
  while (offset < bytes.size()) {
    const size_t block_left = kBlockBytes - offset % kBlockBytes;
    if (block_left < kHeaderBytes) {  // the block's trailer, filled with zeros
      const size_t end = std::min(bytes.size(), offset + block_left);
      if (!AllZero(bytes.substr(offset, end - offset), 0)) return report_invalid(offset, false);
      offset = end;
      if (!in_record) out.valid_bytes = offset;
      continue;
    }
    const Fragment fragment = ReadFragment(bytes, offset);
    if (fragment.state == Fragment::State::kPadding) {
      return AllZero(bytes, offset) ? report_invalid(offset, true) : report_invalid(offset, false);
    }
    if (fragment.state == Fragment::State::kPastEnd) {
      out.ends_in_record = true;
      return report_invalid(offset, !IsValidAtAnotherLength(bytes, offset, fragment.size));
    }
    if (fragment.state == Fragment::State::kInvalid)
      return report_invalid(offset, EndsInZeros(bytes, offset, fragment.size));
    const bool continues = fragment.type == kMiddle || fragment.type == kLast;
    if (continues != in_record) return report_invalid(offset, false);
    in_record = fragment.type == kFirst || fragment.type == kMiddle;
    offset += fragment.size;
    if (!in_record) out.valid_bytes = offset;
  }
  if (!in_record) return out;
  out.ends_in_record = true;
  return report_invalid(out.valid_bytes, true);
}

}  // namespace badgershore::store
