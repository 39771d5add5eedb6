#include "gateway/setting_field.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cmath>
#include <sstream>

#include "common/text_rules.h"

namespace jd {
namespace {

bool IsChoice(const std::string& string, const std::string& choices) {
  const std::string list = "|" + choices + "|";
  return choices.empty() || (!string.empty() && string.find('|') == std::string::npos &&
                             list.find("|" + string + "|") != std::string::npos);
}

bool IsEmptyDefault(std::string_view default_value) {
  return default_value.empty() || default_value == "\"\"";
}

bool IsStringAccepted(const std::string& string, const SettingRule& rule) {
  switch (rule.kind) {
    case SettingKind::kName:
      return IsValidName(string);
    case SettingKind::kSocket:
      return string.empty() || IsSocketAddress(string);
    case SettingKind::kAddress:
      return (string.empty() && rule.default_value != nullptr &&
              IsEmptyDefault(rule.default_value)) ||
             IsIpAddress(string);
    default:
      return string.size() >= static_cast<size_t>(rule.min) && IsChoice(string, rule.choices);
  }
}

bool ReadStrings(const toml::node& node, std::vector<std::string>* strings) {
  const toml::array* array = node.as_array();
  if (array == nullptr) {
    return false;
  }
  for (const toml::node& element : *array) {
    const auto* string = element.as_string();
    if (string == nullptr || string->get().empty()) {
      return false;
    }
    strings->push_back(string->get());
  }
  return true;
}

std::string FormatNumber(double number) {
  if (number == std::trunc(number)) {
    return std::to_string(static_cast<int64_t>(number));
  }
  std::ostringstream out;
  out << number;
  return out.str();
}

std::string DescribeKind(const SettingRule& rule) {
  switch (rule.kind) {
    case SettingKind::kName:
      return kNameRule;
    case SettingKind::kString:
      return rule.min > 0 ? "a string of at least " + FormatNumber(rule.min) + " characters"
                          : "a string";
    case SettingKind::kAddress:
      return "an IP address";
    case SettingKind::kSocket:
      return "an IP address and a port with a colon between them";
    case SettingKind::kInteger:
      return "a whole number";
    case SettingKind::kNumber:
      return "a number";
    case SettingKind::kBool:
      return "true or false";
    case SettingKind::kStringList:
      return "a list of strings that are not empty";
  }
  return {};
}

}  // namespace

void SettingErrorList::Add(const toml::source_region& where, const std::string& text) {
  // Tables without a header in the file, such as the root table, have no line; line 1 stands for
  // them.
  errors_.push_back({std::max<uint32_t>(where.begin.line, 1), text});
}

std::vector<std::string> SettingErrorList::SortedByLine() const {
  std::vector<Error> sorted = errors_;
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const Error& a, const Error& b) { return a.line < b.line; });
  std::vector<std::string> lines;
  lines.reserve(sorted.size());
  for (const Error& error : sorted) {
    lines.push_back(file_ + ":" + std::to_string(error.line) + ": " + error.text);
  }
  return lines;
}

std::string DescribeAccepted(const SettingRule& rule) {
  if (*rule.choices != '\0') {
    std::string choices = rule.choices;
    for (size_t at = 0; (at = choices.find('|', at)) != std::string::npos; at += 2) {
      choices.replace(at, 1, ", ");
    }
    return "one of " + choices;
  }
  std::string text = DescribeKind(rule);
  if (rule.kind == SettingKind::kInteger || rule.kind == SettingKind::kNumber) {
    text += " from " + FormatNumber(rule.min) + " to " + FormatNumber(rule.max);
  }
  if (*rule.unit != '\0') {
    text += std::string(", in ") + rule.unit;
  }
  return text;
}

bool ReadValue(const toml::node& node, const SettingRule& rule, SettingValue* value) {
  switch (rule.kind) {
    case SettingKind::kName:
    case SettingKind::kString:
    case SettingKind::kAddress:
    case SettingKind::kSocket:
      value->string = node.value_exact<std::string>().value_or(std::string());
      return node.is_string() && IsStringAccepted(value->string, rule);
    case SettingKind::kInteger:
      value->integer = node.value_exact<int64_t>().value_or(0);
      return node.is_integer() && static_cast<double>(value->integer) >= rule.min &&
             static_cast<double>(value->integer) <= rule.max;
    case SettingKind::kNumber:
      value->number = node.value<double>().value_or(0);
      return node.is_number() && std::isfinite(value->number) && value->number >= rule.min &&
             value->number <= rule.max;
    case SettingKind::kBool:
      value->boolean = node.value_exact<bool>().value_or(false);
      return node.is_boolean();
    case SettingKind::kStringList:
      return ReadStrings(node, &value->string_list);
  }
  return false;
}

SettingValue DefaultValue(const SettingRule& rule) {
  SettingValue value;
  if (*rule.default_value != '\0') {
    const toml::table table = toml::parse("v = " + std::string(rule.default_value));
    ReadValue(*table.get("v"), rule, &value);
  }
  return value;
}

void ReportUnknownKeys(const toml::table& table,
                       const std::string& scope,
                       const std::vector<std::string>& known,
                       SettingErrorList* errors) {
  for (const auto& [key, node] : table) {
    const std::string name(key.str());
    if (std::find(known.begin(), known.end(), name) != known.end()) {
      continue;
    }
    std::string list;
    for (const std::string& other : known) {
      list += (list.empty() ? "" : ", ") + other;
    }
    errors->Add(key.source(), "unknown key '" + (scope.empty() ? "" : scope + ".") + name +
                                  "'; accepted: " + list);
  }
}

}  // namespace jd
