#include "store/disk/log_check.h"

#include <boost/crc.hpp>
#include <cstring>
#include <string_view>

namespace badgershore::store {
namespace {

constexpr size_t kBlock = 32768, kHeader = 7;
enum Type : unsigned char { kZero = 0, kFull = 1, kFirst = 2, kMiddle = 3, kLast = 4 };

uint32_t Fixed32(const char* p) {
  uint32_t v = 0;
  for (int i = 3; i >= 0; --i) v = v << 8 | static_cast<unsigned char>(p[i]);
  return v;
}

using Crc32c = boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true>;

uint32_t Masked(const Crc32c& crc) {
  const uint32_t c = crc.checksum();
  return ((c >> 15) | (c << 17)) + 0xa282ead8U;
}

uint32_t Masked(const char* data, size_t n) {
  Crc32c crc;
  crc.process_bytes(data, n);
  return Masked(crc);
}

struct Fragment {
  enum class State { kGood, kPadding, kPastEnd, kBad } state = State::kBad;
  unsigned char type = 0;
  size_t size = 0;  // including its header
};

Fragment ReadFragment(const std::string& bytes, size_t at) {
  Fragment f;
  if (at + kHeader > bytes.size()) {
    f.state = Fragment::State::kPastEnd;
    return f;
  }
  const char* p = bytes.data() + at;
  const size_t length =
      static_cast<unsigned char>(p[4]) | static_cast<size_t>(static_cast<unsigned char>(p[5])) << 8;
  f.type = static_cast<unsigned char>(p[6]);
  f.size = kHeader + length;
  if (f.type == kZero && length == 0 && Fixed32(p) == 0) {
    f.state = Fragment::State::kPadding;
  } else if (at % kBlock + f.size > kBlock || f.type < kFull || f.type > kLast) {
    f.state = Fragment::State::kBad;
  } else if (at + f.size > bytes.size()) {
    f.state = Fragment::State::kPastEnd;
  } else if (Masked(p + 6, length + 1) == Fixed32(p)) {
    f.state = Fragment::State::kGood;
  }
  return f;
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

// Whether the fragment at `at`, whose length extends past the end of the log, is valid with one
// byte of that length changed. If so, the length is corrupt and the fragment is not a torn write.
bool IsWholeAtAnotherLength(const std::string& bytes, size_t at, size_t size) {
  if (at + kHeader > bytes.size()) return false;
  const char* header = bytes.data() + at;
  const uint32_t expected = Fixed32(header);
  Crc32c crc;
  crc.process_byte(static_cast<unsigned char>(header[6]));
  for (size_t length = 0; at + kHeader + length <= bytes.size(); ++length) {
    if (length > 0) crc.process_byte(static_cast<unsigned char>(header[kHeader + length - 1]));
    if (DifferInOneByte(length, size - kHeader) && Masked(crc) == expected) return true;
  }
  return false;
}

bool AnyGoodAfter(const std::string& bytes, size_t from) {
  for (size_t at = from; at + kHeader < bytes.size(); ++at) {
    if (at % kBlock + kHeader > kBlock) continue;
    const Fragment f = ReadFragment(bytes, at);
    if (f.state == Fragment::State::kGood && f.size > kHeader) return true;
  }
  return false;
}

}  // namespace

LogCheck CheckLog(const std::string& bytes) {
  LogCheck out;
  size_t at = 0;
  bool open = false;  // inside a record of several fragments
  const auto bad = [&](size_t where, bool torn) {
    out.state = torn && !AnyGoodAfter(bytes, where + 1) ? LogCheck::State::kTorn
                                                        : LogCheck::State::kDamaged;
    out.bad_at = where;
    return out;
  };
  while (at < bytes.size()) {
    const size_t left = kBlock - at % kBlock;
    if (left < kHeader) {  // too few bytes for a header: block trailer, filled with zeros
      const size_t end = std::min(bytes.size(), at + left);
      if (!AllZero(bytes.substr(at, end - at), 0)) return bad(at, false);
      at = end;
      if (!open) out.good_bytes = at;
      continue;
    }
    const Fragment f = ReadFragment(bytes, at);
    if (f.state == Fragment::State::kPadding) {
      return AllZero(bytes, at) ? bad(at, true) : bad(at, false);
    }
    if (f.state == Fragment::State::kPastEnd) {
      out.ends_in_record = true;
      return bad(at, !IsWholeAtAnotherLength(bytes, at, f.size));
    }
    if (f.state == Fragment::State::kBad) return bad(at, EndsInZeros(bytes, at, f.size));
    const bool continues = f.type == kMiddle || f.type == kLast;
    if (continues != open) return bad(at, false);
    open = f.type == kFirst || f.type == kMiddle;
    at += f.size;
    if (!open) out.good_bytes = at;
  }
  if (!open) return out;
  out.ends_in_record = true;
  return bad(out.good_bytes, true);
}

}  // namespace badgershore::store
