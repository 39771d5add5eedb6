#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/settings.h"

namespace jd {

enum class SettingKind : uint8_t {
  kName,     ///< See IsValidName.
  kText,     ///< Any text; `choices` restricts it to a list.
  kAddress,  ///< IP number.
  kSocket,   ///< IP number and port with a colon between them.
  kInteger,
  kNumber,
  kFlag,
  kTexts,  ///< List of texts.
};

/// The value of a setting; the member that belongs to the kind is used.
struct SettingValue {
  std::string text;
  int64_t integer = 0;
  double number = 0;
  bool flag = false;
  std::vector<std::string> texts;
};

/// What the reader and the documentation need to know about a setting.
struct SettingRule {
  const char* name;
  SettingKind kind;
  const char* unit;      ///< Empty if it has none.
  double min;            ///< Of numbers; texts have at least `min` characters.
  double max;            ///< Of numbers.
  const char* choices;   ///< "a|b|c", or empty.
  const char* fallback;  ///< Default in TOML; null if the setting is required.
  const char* sentence;
};

/// A setting of objects of type T.
template <typename T>
struct SettingField {
  SettingRule rule;
  void (*set)(T& object, const SettingValue& value);
};

/// Collects the faults of one file.
class SettingFaults {
 public:
  explicit SettingFaults(std::string file) : file_(std::move(file)) {}

  void Add(const toml::source_region& where, const std::string& text);
  bool empty() const { return faults_.empty(); }
  /// Returns the faults in the order of their lines.
  std::vector<std::string> Sorted() const;

 private:
  struct Fault {
    uint32_t line = 0;
    std::string text;
  };
  std::string file_;
  std::vector<Fault> faults_;
};

/// Describes what a rule accepts, for messages and documentation.
std::string DescribeAccepted(const SettingRule& rule);
/// Reads one value. @return false if it is not accepted.
bool ReadValue(const toml::node& node, const SettingRule& rule, SettingValue* value);
/// Returns the default of a rule. @param rule has a default.
SettingValue DefaultValue(const SettingRule& rule);
/// Returns whether a key of `scope` is known; reports it if not.
void ReportUnknownKeys(const toml::table& table,
                       const std::string& scope,
                       const std::vector<std::string>& known,
                       SettingFaults* faults);

/// Reads an object; settings that are absent get their defaults.
/// @param nested keys that the caller reads itself. @param scope name of the object in messages.
template <typename T>
void ReadObject(const toml::table& table,
                const std::string& scope,
                std::span<const SettingField<T>> fields,
                const std::vector<std::string>& nested,
                T* object,
                SettingFaults* faults) {
  std::vector<std::string> known = nested;
  for (const SettingField<T>& field : fields) {
    known.emplace_back(field.rule.name);
    const toml::node* node = table.get(field.rule.name);
    SettingValue value;
    if (node == nullptr && field.rule.fallback == nullptr) {
      faults->Add(table.source(), "'" + scope + "." + field.rule.name +
                                      "' is missing; accepted: " + DescribeAccepted(field.rule));
      continue;
    }
    if (node == nullptr) {
      value = DefaultValue(field.rule);
    } else if (!ReadValue(*node, field.rule, &value)) {
      faults->Add(node->source(),
                  "'" + scope + "." + field.rule.name +
                      "' has a wrong value; accepted: " + DescribeAccepted(field.rule));
      continue;
    }
    field.set(*object, value);
  }
  ReportUnknownKeys(table, scope, known, faults);
}

}  // namespace jd
