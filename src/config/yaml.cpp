#include "config/yaml.h"

#include <cmath>
#include <sstream>

namespace badgershore::config {
namespace {

std::string Line(const std::string& file, const YAML::Mark& mark) {
  return mark.is_null() ? file : file + ":" + std::to_string(mark.line + 1);
}

std::string Range(double least, double most) {
  std::ostringstream out;
  out << "from " << least << " to " << most;
  return out.str();
}

}  // namespace

YamlMap::YamlMap(const YAML::Node& node, std::string file, std::string path)
    : node_(node), file_(std::move(file)), path_(std::move(path)) {
  if (node_ && !node_.IsNull() && !node_.IsMap()) {
    const std::string name = path_.empty() ? "" : path_.substr(0, path_.size() - 1) + ": ";
    throw Error(Line(file_, node_.Mark()) + ": " + name + "expected a map");
  }
}

YamlMap YamlMap::Parse(const std::string& text, const std::string& file) {
  try {
    return YamlMap(YAML::Load(text), file);
  } catch (const YAML::Exception& e) {
    throw Error(Line(file, e.mark) + ": expected YAML: " + e.msg);
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
  throw Error(Line(file_, at.Mark()) + ": " + path_ + key + ": expected " + expected);
}

YAML::Node YamlMap::At(const std::string& key, bool required) {
  asked_.insert(key);
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
  const YAML::Node n = At(key, false);
  return !n.IsNull();
}

double YamlMap::Number(const std::string& key, double least, double most,
                       std::optional<double> otherwise) {
  if (!Has(key) && otherwise) return *otherwise;
  const YAML::Node n = At(key, true);
  double v = NAN;
  if (n.IsScalar()) v = n.as<double>(NAN);
  if (!(v >= least && v <= most)) Fail(key, "a number " + Range(least, most));
  return v;
}

int64_t YamlMap::Whole(const std::string& key, int64_t least, int64_t most,
                       std::optional<int64_t> otherwise) {
  if (!Has(key) && otherwise) return *otherwise;
  const YAML::Node n = At(key, true);
  const double v = n.IsScalar() ? n.as<double>(NAN) : NAN;
  if (!(v >= static_cast<double>(least) && v <= static_cast<double>(most)) || v != std::floor(v)) {
    Fail(key, "a whole number " + Range(static_cast<double>(least), static_cast<double>(most)));
  }
  return static_cast<int64_t>(v);
}

Micros YamlMap::Span(const std::string& key, double least_s, double most_s,
                     std::optional<double> otherwise_s) {
  return Seconds(Number(key, least_s, most_s, otherwise_s));
}

bool YamlMap::Flag(const std::string& key, bool otherwise) {
  if (!Has(key)) return otherwise;
  const YAML::Node n = At(key, true);
  bool v = false;
  if (!n.IsScalar() || !YAML::convert<bool>::decode(n, v)) Fail(key, "true or false");
  return v;
}

std::string YamlMap::Text(const std::string& key, std::optional<std::string> otherwise) {
  if (!Has(key) && otherwise) return *otherwise;
  const YAML::Node n = At(key, true);
  if (!n.IsScalar() || n.Scalar().empty()) Fail(key, "a string");
  return n.Scalar();
}

size_t YamlMap::OneOf(const std::string& key, const std::vector<std::string>& choices,
                      std::optional<size_t> otherwise) {
  if (!Has(key) && otherwise) return *otherwise;
  const std::string v = Text(key);
  std::string all;
  for (size_t i = 0; i < choices.size(); ++i) {
    if (choices[i] == v) return i;
    all += (i == 0 ? "" : i + 1 == choices.size() ? " or " : ", ") + choices[i];
  }
  Fail(key, all);
}

std::vector<std::string> YamlMap::Texts(const std::string& key) {
  std::vector<std::string> out;
  const YAML::Node n = At(key, false);
  if (n.IsNull()) return out;
  if (!n.IsSequence()) Fail(key, "a list of strings");
  for (const auto& item : n) {
    if (!item.IsScalar() || item.Scalar().empty()) Fail(key, "a list of strings");
    out.push_back(item.Scalar());
  }
  return out;
}

YamlMap YamlMap::Map(const std::string& key) {
  const YAML::Node n = At(key, false);
  return YamlMap(n, file_, path_ + key + ".");
}

void YamlMap::Each(const std::string& key, const std::function<void(YamlMap)>& each) {
  const YAML::Node n = At(key, false);
  if (n.IsNull()) return;
  if (!n.IsSequence()) Fail(key, "a list");
  int i = 0;
  for (const auto& item : n) {
    each(YamlMap(item, file_, path_ + key + "[" + std::to_string(i++) + "]."));
  }
}

void YamlMap::NoOthers() const {
  if (!node_.IsMap()) return;
  for (const auto& entry : node_) {
    const auto key = entry.first.as<std::string>("");
    if (asked_.contains(key)) continue;
    std::string known;
    for (const std::string& k : asked_) known += (known.empty() ? "" : ", ") + k;
    throw Error(Line(file_, entry.first.Mark()) + ": " + path_ + key + ": expected one of " +
                known);
  }
}

}  // namespace badgershore::config
