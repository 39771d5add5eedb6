#pragma once

#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "common/ids.h"
#include "common/units.h"

namespace jd {

/// One error in a JSON document, reported to the person who wrote the document.
struct ConfigError {
  std::string path;      ///< Path of the invalid field, for example "endpoints[2].port".
  std::string problem;   ///< What is wrong with the field.
  std::string accepted;  ///< Which values are accepted.
  bool operator==(const ConfigError&) const = default;
};
using ConfigErrors = std::vector<ConfigError>;

/// Formats the errors, one per line.
std::string ErrorText(const ConfigErrors& errors);

/// Whether a field is required. An optional field that is absent keeps its default value.
enum class Need : uint8_t { kRequired, kOptional };

/// Writes the fields of a struct to a JSON object. JsonReader has the same functions, so that one
/// function template which lists the fields can both encode and decode a struct.
class JsonWriter {
 public:
  void String(const char* name, const std::string& value, Need need, bool may_be_empty = false);
  template <typename Tag>
  void Name(const char* name, const NameId<Tag>& id) {
    json_[name] = id.value;
  }
  void Int64(const char* name, int64_t value, int64_t low, int64_t high, Need need);
  template <typename Int>
  void Integer(const char* name, const Int& value, int64_t low, int64_t high, Need need) {
    Int64(name, static_cast<int64_t>(value), low, high, need);
  }
  void Number(const char* name, double value, double low, double high, Need need);
  void Millis(const char* name, Duration value, Duration low, Duration high);
  void Bool(const char* name, bool value);
  void Strings(const char* name, const std::vector<std::string>& values);
  template <typename EnumType>
  void Enum(const char* name,
            const EnumType& value,
            std::initializer_list<const char*> names,
            Need /*need*/) {
    json_[name] = names.begin()[static_cast<size_t>(value)];
  }
  template <typename Item, typename Fields>
  void Objects(const char* name, const std::vector<Item>& items, Fields fields) {
    json_[name] = nlohmann::json::array();
    for (const Item& item : items) {
      JsonWriter writer;
      fields(writer, item);
      json_[name].push_back(std::move(writer).TakeJson());
    }
  }
  nlohmann::json TakeJson() && { return std::move(json_); }

 private:
  nlohmann::json json_ = nlohmann::json::object();
};

/// Describes the values that a field of a JSON object accepts, for the documentation page.
struct ConfigField {
  std::string path;           ///< For example "services[].endpoints[].port".
  std::string accepted;       ///< Type, range and unit.
  std::string default_value;  ///< Default value as JSON, or empty if the field is required.
};

/// Describes the fields of a struct. Has the same functions as JsonWriter; the values passed to
/// them are documented as the defaults.
class JsonDescriber {
 public:
  /// @param path path of the object, for example "profiles[]".
  /// @param fields receives the descriptions.
  JsonDescriber(std::string path, std::vector<ConfigField>* fields)
      : path_(std::move(path)), fields_(fields) {}

  void String(const char* name, const std::string& value, Need need, bool may_be_empty = false);
  template <typename Tag>
  void Name(const char* name, const NameId<Tag>& /*id*/) {
    NameString(name);
  }
  template <typename Int>
  void Integer(const char* name, const Int& value, int64_t low, int64_t high, Need need) {
    Int64(name, static_cast<int64_t>(value), low, high, need);
  }
  void Number(const char* name, double value, double low, double high, Need need);
  void Millis(const char* name, Duration value, Duration low, Duration high);
  void Bool(const char* name, bool value);
  void Strings(const char* name, const std::vector<std::string>& values);
  template <typename EnumType>
  void Enum(const char* name,
            const EnumType& value,
            std::initializer_list<const char*> names,
            Need need) {
    EnumIndex(name, static_cast<size_t>(value), names, need);
  }
  template <typename Item, typename Fields>
  void Objects(const char* name, const std::vector<Item>& /*items*/, Fields fields) {
    JsonDescriber describer(path_ + "." + name + "[]", fields_);
    const Item item;
    fields(describer, item);
  }

 private:
  void NameString(const char* name);
  void Int64(const char* name, int64_t value, int64_t low, int64_t high, Need need);
  void EnumIndex(const char* name,
                 size_t index,
                 std::initializer_list<const char*> names,
                 Need need);
  void AddField(const char* name, std::string accepted, const nlohmann::json& value, Need need);

  std::string path_;
  std::vector<ConfigField>* fields_;
};

/// Reads the fields of a struct from a JSON object and reports all errors.
class JsonReader {
 public:
  /// @param path path of the object in its document; empty for the document itself.
  /// @param errors receives an error for each invalid field.
  JsonReader(const nlohmann::json& json, std::string path, ConfigErrors* errors);

  void String(const char* name, std::string& value, Need need, bool may_be_empty = false);
  /// Reads a required name. Names consist of letters, digits, '-', '_', '.' and '/' because they
  /// are part of table keys.
  template <typename Tag>
  void Name(const char* name, NameId<Tag>& id) {
    NameString(name, id.value);
  }
  void Int64(const char* name, int64_t& value, int64_t low, int64_t high, Need need);
  template <typename Int>
  void Integer(const char* name, Int& value, int64_t low, int64_t high, Need need) {
    int64_t wide = static_cast<int64_t>(value);
    Int64(name, wide, low, high, need);
    value = static_cast<Int>(wide);
  }
  void Number(const char* name, double& value, double low, double high, Need need);
  void Millis(const char* name, Duration& value, Duration low, Duration high);
  void Bool(const char* name, bool& value);
  void Strings(const char* name, std::vector<std::string>& values);
  template <typename EnumType>
  void Enum(const char* name,
            EnumType& value,
            std::initializer_list<const char*> names,
            Need need) {
    size_t index = static_cast<size_t>(value);
    EnumIndex(name, index, names, need);
    value = static_cast<EnumType>(index);
  }
  template <typename Item, typename Fields>
  void Objects(const char* name, std::vector<Item>& items, Fields fields) {
    const nlohmann::json* array = FindArray(name);
    for (size_t i = 0; array != nullptr && i < array->size(); ++i) {
      JsonReader reader((*array)[i], PathOf(name) + "[" + std::to_string(i) + "]", errors_);
      Item item;
      fields(reader, item);
      reader.ReportUnknownFields();
      items.push_back(std::move(item));
    }
  }
  /// Reports each field of the object that was not looked up as an unknown field.
  void ReportUnknownFields();
  /// Reports an error for a field of the object.
  void AddError(const std::string& name, std::string problem, std::string accepted);
  /// Returns the path of a field of the object in the document.
  std::string PathOf(const std::string& name) const;
  const std::string& path() const { return path_; }
  ConfigErrors* errors() const { return errors_; }
  /// Returns the value of a field, or null if the field is absent. Reports an error if the field is
  /// absent but required.
  const nlohmann::json* FindField(const char* name, Need need);

 private:
  void NameString(const char* name, std::string& value);
  void EnumIndex(const char* name,
                 size_t& index,
                 std::initializer_list<const char*> names,
                 Need need);
  const nlohmann::json* FindArray(const char* name);

  const nlohmann::json* json_;
  std::string path_;
  ConfigErrors* errors_;
  std::set<std::string> known_;  ///< Names of the fields that were looked up.
};

/// Parses JSON text. Reports an error and returns a JSON null if the text is malformed.
nlohmann::json ParseJson(std::string_view text, ConfigErrors* errors);

}  // namespace jd
