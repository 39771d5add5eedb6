#include "common/json_fields.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <sstream>

#include "common/text_rules.h"

namespace jd {
namespace {

/// Maximum length in bytes of a value in an error message; longer values are truncated.
constexpr size_t kMaxShownBytes = 60;
constexpr const char* kWholeNumber = "a whole number";
constexpr const char* kNumber = "a number";
constexpr const char* kBoolValues = "true or false";
constexpr const char* kString = "a string";
constexpr const char* kNonEmptyString = "a non-empty string";

std::string FormatValue(const nlohmann::json& value) {
  std::string text = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return text.size() > kMaxShownBytes ? text.substr(0, kMaxShownBytes) + "..." : text;
}

template <typename T>
std::string FormatRange(const char* kind, T low, T high) {
  std::ostringstream text;
  text << kind << " from " << low << " to " << high;
  return text.str();
}

std::string FormatChoices(std::initializer_list<const char*> names) {
  std::string text;
  for (const char* name : names) {
    text += std::string(text.empty() ? "" : ", ") + "\"" + name + "\"";
  }
  return text;
}

double ToMillis(Duration value) {
  return static_cast<double>(value.count()) / 1000.0;
}

}  // namespace

std::string ErrorText(const ConfigErrors& errors) {
  std::string text;
  for (const ConfigError& error : errors) {
    text += (text.empty() ? "" : "\n") + error.path + (error.path.empty() ? "" : ": ") +
            error.problem + "; accepted: " + error.accepted;
  }
  return text;
}

void JsonWriter::String(const char* name,
                        const std::string& value,
                        Need /*need*/,
                        bool /*may_be_empty*/) {
  json_[name] = value;
}

void JsonWriter::Int64(const char* name,
                       int64_t value,
                       int64_t /*low*/,
                       int64_t /*high*/,
                       Need /*need*/) {
  json_[name] = value;
}

void JsonWriter::Number(const char* name,
                        double value,
                        double /*low*/,
                        double /*high*/,
                        Need /*need*/) {
  json_[name] = value;
}

void JsonWriter::Millis(const char* name, Duration value, Duration /*low*/, Duration /*high*/) {
  json_[name] = ToMillis(value);
}

void JsonWriter::Bool(const char* name, bool value) {
  json_[name] = value;
}

void JsonWriter::Strings(const char* name, const std::vector<std::string>& values) {
  json_[name] = values;
}

void JsonDescriber::String(const char* name,
                           const std::string& value,
                           Need need,
                           bool may_be_empty) {
  AddField(name, may_be_empty ? kString : kNonEmptyString, value, need);
}

void JsonDescriber::NameString(const char* name) {
  AddField(name, kNameRule, nullptr, Need::kRequired);
}

void JsonDescriber::Int64(const char* name, int64_t value, int64_t low, int64_t high, Need need) {
  AddField(name, FormatRange(kWholeNumber, low, high), value, need);
}

void JsonDescriber::Number(const char* name, double value, double low, double high, Need need) {
  AddField(name, FormatRange(kNumber, low, high), value, need);
}

void JsonDescriber::Millis(const char* name, Duration value, Duration low, Duration high) {
  AddField(name, FormatRange(kNumber, ToMillis(low), ToMillis(high)) + ", in ms", ToMillis(value),
           Need::kOptional);
}

void JsonDescriber::Bool(const char* name, bool value) {
  AddField(name, kBoolValues, value, Need::kOptional);
}

void JsonDescriber::Strings(const char* name, const std::vector<std::string>& values) {
  AddField(name, "a list of non-empty strings", values, Need::kOptional);
}

void JsonDescriber::EnumIndex(const char* name,
                              size_t index,
                              std::initializer_list<const char*> names,
                              Need need) {
  AddField(name, FormatChoices(names), names.begin()[index], need);
}

void JsonDescriber::AddField(const char* name,
                             std::string accepted,
                             const nlohmann::json& value,
                             Need need) {
  fields_->push_back(
      {path_ + "." + name, std::move(accepted), need == Need::kRequired ? "" : value.dump()});
}

JsonReader::JsonReader(const nlohmann::json& json, std::string path, ConfigErrors* errors)
    : json_(&json), path_(std::move(path)), errors_(errors) {
  if (!json_->is_object()) {
    errors_->push_back({path_, "is " + FormatValue(json), "an object"});
  }
}

void JsonReader::String(const char* name, std::string& value, Need need, bool may_be_empty) {
  const nlohmann::json* found = FindField(name, need);
  if (found == nullptr) {
    return;
  }
  if (!found->is_string() || (!may_be_empty && found->get_ref<const std::string&>().empty())) {
    AddError(name, "is " + FormatValue(*found), may_be_empty ? kString : kNonEmptyString);
    return;
  }
  value = found->get<std::string>();
}

void JsonReader::NameString(const char* name, std::string& value) {
  const nlohmann::json* found = FindField(name, Need::kRequired);
  if (found == nullptr) {
    return;
  }
  const std::string text = found->is_string() ? found->get<std::string>() : std::string();
  if (!IsValidName(text)) {
    AddError(name, "is " + FormatValue(*found), kNameRule);
    return;
  }
  value = text;
}

void JsonReader::Int64(const char* name, int64_t& value, int64_t low, int64_t high, Need need) {
  const nlohmann::json* found = FindField(name, need);
  if (found == nullptr) {
    return;
  }
  const bool fits = found->is_number_integer() &&
                    (!found->is_number_unsigned() || found->get<uint64_t>() <= INT64_MAX);
  if (!fits || found->get<int64_t>() < low || found->get<int64_t>() > high) {
    AddError(name, "is " + FormatValue(*found), FormatRange(kWholeNumber, low, high));
    return;
  }
  value = found->get<int64_t>();
}

void JsonReader::Number(const char* name, double& value, double low, double high, Need need) {
  const nlohmann::json* found = FindField(name, need);
  if (found == nullptr) {
    return;
  }
  if (!found->is_number() || !(found->get<double>() >= low) || !(found->get<double>() <= high)) {
    AddError(name, "is " + FormatValue(*found), FormatRange(kNumber, low, high));
    return;
  }
  value = found->get<double>();
}

void JsonReader::Millis(const char* name, Duration& value, Duration low, Duration high) {
  double millis = ToMillis(value);
  Number(name, millis, ToMillis(low), ToMillis(high), Need::kOptional);
  value = Duration(std::llround(millis * 1000.0));
}

void JsonReader::Bool(const char* name, bool& value) {
  const nlohmann::json* found = FindField(name, Need::kOptional);
  if (found == nullptr) {
    return;
  }
  if (!found->is_boolean()) {
    AddError(name, "is " + FormatValue(*found), kBoolValues);
    return;
  }
  value = found->get<bool>();
}

void JsonReader::Strings(const char* name, std::vector<std::string>& values) {
  const nlohmann::json* array = FindArray(name);
  if (array == nullptr) {
    return;
  }
  values.clear();
  for (size_t i = 0; i < array->size(); ++i) {
    const nlohmann::json& item = (*array)[i];
    if (!item.is_string() || item.get_ref<const std::string&>().empty()) {
      AddError(std::string(name) + "[" + std::to_string(i) + "]", "is " + FormatValue(item),
               kNonEmptyString);
      continue;
    }
    values.push_back(item.get<std::string>());
  }
}

void JsonReader::EnumIndex(const char* name,
                           size_t& index,
                           std::initializer_list<const char*> names,
                           Need need) {
  const nlohmann::json* found = FindField(name, need);
  if (found == nullptr) {
    return;
  }
  for (size_t i = 0; i < names.size(); ++i) {
    if (found->is_string() && found->get_ref<const std::string&>() == names.begin()[i]) {
      index = i;
      return;
    }
  }
  AddError(name, "is " + FormatValue(*found), FormatChoices(names));
}

void JsonReader::ReportUnknownFields() {
  if (!json_->is_object()) {
    return;
  }
  std::string accepted;
  for (const std::string& name : known_) {
    accepted += (accepted.empty() ? "" : ", ") + name;
  }
  for (const auto& [name, value] : json_->items()) {
    if (!known_.contains(name)) {
      AddError(name, "is not a known field", accepted);
    }
  }
}

void JsonReader::AddError(const std::string& name, std::string problem, std::string accepted) {
  errors_->push_back({PathOf(name), std::move(problem), std::move(accepted)});
}

std::string JsonReader::PathOf(const std::string& name) const {
  return path_.empty() ? name : path_ + "." + name;
}

const nlohmann::json* JsonReader::FindField(const char* name, Need need) {
  known_.insert(name);
  if (!json_->is_object()) {
    return nullptr;
  }
  const auto found = json_->find(name);
  if (found != json_->end()) {
    return &*found;
  }
  if (need == Need::kRequired) {
    AddError(name, "is missing", "a value, because the field is required");
  }
  return nullptr;
}

const nlohmann::json* JsonReader::FindArray(const char* name) {
  const nlohmann::json* found = FindField(name, Need::kOptional);
  if (found != nullptr && !found->is_array()) {
    AddError(name, "is " + FormatValue(*found), "a list");
    return nullptr;
  }
  return found;
}

nlohmann::json ParseJson(std::string_view text, ConfigErrors* errors) {
  try {
    return nlohmann::json::parse(text);
  } catch (const nlohmann::json::parse_error& error) {
    errors->push_back(
        {"", "is not valid JSON: syntax error at byte " + std::to_string(error.byte), "JSON"});
    return {};
  }
}

}  // namespace jd
