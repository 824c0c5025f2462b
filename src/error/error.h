// Errors returned as values.
#pragma once

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace badgershore {

// Kinds of errors that callers may handle differently.
enum class ErrorCode {
  kInvalidAddress,      // not an address in the expected format
  kAddressUnavailable,  // well-formed, but the system can't bind it
};

// `message` is for humans: what failed, where, and what was expected.
struct Error {
  ErrorCode code = ErrorCode::kInvalidAddress;
  std::string message;
};

// A value or an error.
template <class T>
using Result = tl::expected<T, Error>;

inline tl::unexpected<Error> MakeError(ErrorCode code, std::string message) {
  return tl::make_unexpected(Error{code, std::move(message)});
}

}  // namespace badgershore
