#include "config/yaml.h"

#include <cmath>
#include <sstream>

namespace badgershore::config {
namespace {

std::string FormatLocation(const std::string& file, const YAML::Mark& mark) {
  return mark.is_null() ? file : file + ":" + std::to_string(mark.line + 1);
}

std::string FormatRange(double min, double max) {
  std::ostringstream out;
  out << "from " << min << " to " << max;
  return out.str();
}

}  // namespace

YamlMap::YamlMap(const YAML::Node& node, std::string file, std::string path)
    : node_(node), file_(std::move(file)), path_(std::move(path)) {
  if (node_ && !node_.IsNull() && !node_.IsMap()) {
    const std::string name = path_.empty() ? "" : path_.substr(0, path_.size() - 1) + ": ";
    throw Error(FormatLocation(file_, node_.Mark()) + ": " + name + "expected a map");
  }
}

YamlMap YamlMap::Parse(const std::string& text, const std::string& file) {
  try {
    return YamlMap(YAML::Load(text), file);
  } catch (const YAML::Exception& e) {
    throw Error(FormatLocation(file, e.mark) + ": expected YAML: " + e.msg);
  }
}

YamlMap YamlMap::Load(const std::string& file) { return Parse(ReadFile(file), file); }

void YamlMap::Fail(const std::string& key, const std::string& expected) const {
  YAML::Node at = node_;
  if (node_.IsMap()) {
    for (const auto& entry : node_) {
      if (entry.first.as<std::string>("") == key) at.reset(entry.second);
    }
  }
  throw Error(FormatLocation(file_, at.Mark()) + ": " + path_ + key + ": expected " + expected);
}

YAML::Node YamlMap::Lookup(const std::string& key, bool required) {
  known_keys_.insert(key);
  YAML::Node found(YAML::NodeType::Null);
  if (node_.IsMap()) {
    for (const auto& entry : node_) {
      if (entry.first.as<std::string>("") == key) found.reset(entry.second);
    }
  }
  if (required && found.IsNull()) Fail(key, "a value");
  return found;
}

bool YamlMap::Has(const std::string& key) {
  const YAML::Node node = Lookup(key, false);
  return !node.IsNull();
}

double YamlMap::Number(const std::string& key, double min, double max,
                       std::optional<double> default_value) {
  if (!Has(key) && default_value) return *default_value;
  const YAML::Node node = Lookup(key, true);
  double value = NAN;
  if (node.IsScalar()) value = node.as<double>(NAN);
  if (!(value >= min && value <= max)) Fail(key, "a number " + FormatRange(min, max));
  return value;
}

int64_t YamlMap::Whole(const std::string& key, int64_t min, int64_t max,
                       std::optional<int64_t> default_value) {
  if (!Has(key) && default_value) return *default_value;
  const YAML::Node node = Lookup(key, true);
  const double value = node.IsScalar() ? node.as<double>(NAN) : NAN;
  if (!(value >= static_cast<double>(min) && value <= static_cast<double>(max)) ||
      value != std::floor(value)) {
    Fail(key, "a whole number " + FormatRange(static_cast<double>(min), static_cast<double>(max)));
  }
  return static_cast<int64_t>(value);
}

Micros YamlMap::Span(const std::string& key, double min_s, double max_s,
                     std::optional<double> default_s) {
  return Seconds(Number(key, min_s, max_s, default_s));
}

bool YamlMap::Flag(const std::string& key, bool default_value) {
  if (!Has(key)) return default_value;
  const YAML::Node node = Lookup(key, true);
  bool value = false;
  if (!node.IsScalar() || !YAML::convert<bool>::decode(node, value)) Fail(key, "true or false");
  return value;
}

std::string YamlMap::Text(const std::string& key, std::optional<std::string> default_value) {
  if (!Has(key) && default_value) return *default_value;
  const YAML::Node node = Lookup(key, true);
  if (!node.IsScalar() || node.Scalar().empty()) Fail(key, "a string");
  return node.Scalar();
}

size_t YamlMap::OneOf(const std::string& key, const std::vector<std::string>& choices,
                      std::optional<size_t> default_value) {
  if (!Has(key) && default_value) return *default_value;
  const std::string value = Text(key);
  std::string choice_list;
  for (size_t i = 0; i < choices.size(); ++i) {
    if (choices[i] == value) return i;
    choice_list += (i == 0 ? "" : i + 1 == choices.size() ? " or " : ", ") + choices[i];
  }
  Fail(key, choice_list);
}

std::vector<std::string> YamlMap::Texts(const std::string& key) {
  std::vector<std::string> out;
  const YAML::Node node = Lookup(key, false);
  if (node.IsNull()) return out;
  if (!node.IsSequence()) Fail(key, "a list of strings");
  for (const auto& item : node) {
    if (!item.IsScalar() || item.Scalar().empty()) Fail(key, "a list of strings");
    out.push_back(item.Scalar());
  }
  return out;
}

YamlMap YamlMap::Map(const std::string& key) {
  const YAML::Node node = Lookup(key, false);
  return YamlMap(node, file_, path_ + key + ".");
}

void YamlMap::Each(const std::string& key, const std::function<void(YamlMap)>& on_item) {
  const YAML::Node node = Lookup(key, false);
  if (node.IsNull()) return;
  if (!node.IsSequence()) Fail(key, "a list");
  int i = 0;
  for (const auto& item : node) {
    on_item(YamlMap(item, file_, path_ + key + "[" + std::to_string(i++) + "]."));
  }
}

void YamlMap::RejectUnknownKeys() const {
  if (!node_.IsMap()) return;
  for (const auto& entry : node_) {
    const auto key = entry.first.as<std::string>("");
    if (known_keys_.contains(key)) continue;
    std::string known;
    for (const std::string& known_key : known_keys_)
      known += (known.empty() ? "" : ", ") + known_key;
    throw Error(FormatLocation(file_, entry.first.Mark()) + ": " + path_ + key +
                ": expected one of " + known);
  }
}

}  // namespace badgershore::config
