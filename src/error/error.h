// Errors returned as values.
#pragma once

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace badgershore {

// What a caller may tell apart.
enum class ErrorCode {
  kInvalidAddress,      // not an address of the expected form
  kAddressUnavailable,  // well-formed, but the system does not grant it
};

// `message` is for people: what failed, where, and what was expected.
struct Error {
  ErrorCode code = ErrorCode::kInvalidAddress;
  std::string message;
};

// A value, or why there is none.
template <class T>
using Result = tl::expected<T, Error>;

inline tl::unexpected<Error> MakeError(ErrorCode code, std::string message) {
  return tl::make_unexpected(Error{code, std::move(message)});
}

}  // namespace badgershore
