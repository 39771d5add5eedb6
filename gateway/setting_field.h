#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/settings.h"

namespace jd {

/// The type of a setting.
enum class SettingKind : uint8_t {
  kName,     ///< See IsValidName.
  kString,   ///< Any string, or one of `choices` if there are any.
  kAddress,  ///< IP address.
  kSocket,   ///< IP address and port, as "IP:PORT".
  kInteger,
  kNumber,
  kBool,
  kStringList,  ///< List of strings that are not empty.
};

/// The value of a setting. Only the member that belongs to the setting's kind is used.
struct SettingValue {
  std::string string;
  int64_t integer = 0;
  double number = 0;
  bool boolean = false;
  std::vector<std::string> string_list;
};

/// Describes a setting: what values it accepts, its default and its documentation.
struct SettingRule {
  const char* name;
  SettingKind kind;
  const char* unit;           ///< Empty if the setting has no unit.
  double min;                 ///< Minimum of a number; minimum length of a string, in bytes.
  double max;                 ///< Maximum of a number.
  const char* choices;        ///< Accepted strings as "a|b|c"; empty if any string is accepted.
  const char* default_value;  ///< Default in TOML; null if the setting is required.
  const char* description;    ///< For the documentation.
};

/// A setting together with the function that stores its value in an object of type T.
template <typename T>
struct SettingField {
  SettingRule rule;
  void (*set)(T& object, const SettingValue& value);
};

/// Collects the errors found in one settings file.
class SettingErrorList {
 public:
  explicit SettingErrorList(std::string file) : file_(std::move(file)) {}

  void Add(const toml::source_region& where, const std::string& text);
  bool empty() const { return errors_.empty(); }
  /// Returns the errors as "FILE:LINE: text", in the order of their lines.
  std::vector<std::string> SortedByLine() const;

 private:
  struct Error {
    uint32_t line = 0;
    std::string text;
  };
  std::string file_;
  std::vector<Error> errors_;
};

/// Describes the accepted values of a setting, for error messages and documentation.
std::string DescribeAccepted(const SettingRule& rule);
/// Reads the value of a setting.
/// @return false if the value has the wrong type or is not accepted.
bool ReadValue(const toml::node& node, const SettingRule& rule, SettingValue* value);
/// Returns the default value of a setting.
/// @param rule must have a default.
SettingValue DefaultValue(const SettingRule& rule);
/// Reports every key of a table that is not in `known`.
/// @param scope name of the table in messages; empty for the root table.
void ReportUnknownKeys(const toml::table& table,
                       const std::string& scope,
                       const std::vector<std::string>& known,
                       SettingErrorList* errors);

/// Reads the settings of an object from a table and reports invalid, missing and unknown ones.
/// Absent settings get their default values.
/// @param scope name of the table in messages. @param nested further accepted keys, which the
/// caller reads.
template <typename T>
void ReadObject(const toml::table& table,
                const std::string& scope,
                std::span<const SettingField<T>> fields,
                const std::vector<std::string>& nested,
                T* object,
                SettingErrorList* errors) {
  std::vector<std::string> known = nested;
  for (const SettingField<T>& field : fields) {
    known.emplace_back(field.rule.name);
    const toml::node* node = table.get(field.rule.name);
    SettingValue value;
    if (node == nullptr && field.rule.default_value == nullptr) {
      errors->Add(table.source(), "'" + scope + "." + field.rule.name +
                                      "' is missing; accepted: " + DescribeAccepted(field.rule));
      continue;
    }
    if (node == nullptr) {
      value = DefaultValue(field.rule);
    } else if (!ReadValue(*node, field.rule, &value)) {
      errors->Add(node->source(),
                  "'" + scope + "." + field.rule.name +
                      "' has an invalid value; accepted: " + DescribeAccepted(field.rule));
      continue;
    }
    field.set(*object, value);
  }
  ReportUnknownKeys(table, scope, known, errors);
}

}  // namespace jd
