// Reads and validates YAML settings. Every error is one line that names the file, the line and the
// expected value; an unknown key is an error.
#pragma once

#include <yaml-cpp/yaml.h>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/config.h"
#include "core/model/time.h"

namespace badgershore::config {

class YamlMap {
 public:
  YamlMap(const YAML::Node& node, std::string file, std::string path = "");
  static YamlMap Load(const std::string& file);
  static YamlMap Parse(const std::string& text, const std::string& file);

  bool Has(const std::string& key);
  // An absent key yields `default_value`; without `default_value` it is an error.
  double Number(const std::string& key, double min, double max,
                std::optional<double> default_value = std::nullopt);
  int64_t Whole(const std::string& key, int64_t min, int64_t max,
                std::optional<int64_t> default_value = std::nullopt);
  Micros Span(const std::string& key, double min_s, double max_s,
              std::optional<double> default_s = std::nullopt);
  bool Flag(const std::string& key, bool default_value);
  std::string Text(const std::string& key, std::optional<std::string> default_value = std::nullopt);
  // The value must be one of `choices`; returns its index.
  size_t OneOf(const std::string& key, const std::vector<std::string>& choices,
               std::optional<size_t> default_value = std::nullopt);
  std::vector<std::string> Texts(const std::string& key);
  // An absent key yields an empty map.
  YamlMap Map(const std::string& key);
  void Each(const std::string& key, const std::function<void(YamlMap)>& on_item);

  // Throws if the map has a key that was not read. To be called after reading all known keys.
  void RejectUnknownKeys() const;
  [[noreturn]] void Fail(const std::string& key, const std::string& expected) const;

 private:
  YAML::Node Lookup(const std::string& key, bool required);
  YAML::Node node_;
  std::string file_, path_;
  std::set<std::string> known_keys_;
};

}  // namespace badgershore::config
