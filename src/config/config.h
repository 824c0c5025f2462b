// Reads and validates the platform's settings file (JSON) and the operators' settings (YAML).
#pragma once

#include <stdexcept>
#include <string>

#include "core/model/settings.h"
#include "core/model/types.h"

namespace badgershore::config {

// A one-line message: the file, the field and the expected value.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Returns the contents of the file; throws an Error if it can't be read.
std::string ReadFile(const std::string& file);

PlatformSettings ParsePlatform(const std::string& text, const std::string& file);
PlatformSettings LoadPlatform(const std::string& file);

Options ParseOptions(const std::string& text, const std::string& file);
Options LoadOptions(const std::string& file);

// The cells; `peer_address` is this controller's peer address, which determines its own cell.
CellsConfig ParseCells(const std::string& text, const std::string& file,
                       const std::string& peer_address);
CellsConfig LoadCells(const std::string& file, const std::string& peer_address);

}  // namespace badgershore::config
