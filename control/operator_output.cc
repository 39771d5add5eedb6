#include "control/operator_output.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>
#include <tuple>

namespace jd {
namespace {

using Json = nlohmann::json;

std::string FormatScalar(const Json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// Prints each field of an object as a line "name: value", and each item of an array on a line.
void PrintPlain(const Json& value, const std::string& indent, std::ostringstream* out) {
  if (value.is_object()) {
    for (const auto& [name, item] : value.items()) {
      if (item.is_structured() && !item.empty()) {
        *out << indent << name << ":\n";
        PrintPlain(item, indent + "  ", out);
      } else {
        *out << indent << name << ": " << FormatScalar(item) << "\n";
      }
    }
    return;
  }
  if (!value.is_array()) {
    *out << indent << FormatScalar(value) << "\n";
    return;
  }
  for (const Json& item : value) {
    if (item.is_object()) {
      *out << indent;
      for (const auto& [name, field] : item.items()) {
        *out << name << "=" << FormatScalar(field) << " ";
      }
      *out << "\n";
    } else {
      PrintPlain(item, indent, out);
    }
  }
}

std::string FormatEvents(const Json& events) {
  std::ostringstream out;
  for (const Json& event : events) {
    out << event.value("at", int64_t{0}) << "." << event.value("counter", 0) << " "
        << event.value("gateway", "") << " " << event.value("kind", "");
    for (const char* field : {"request", "endpoint", "zone", "detail"}) {
      if (const std::string text = event.value(field, ""); !text.empty()) {
        out << " " << field << "=" << text;
      }
    }
    out << "\n";
  }
  return out.str();
}

// Returns the events in the Trace Event JSON format of trace viewers, as instant events. Each
// gateway is shown as a process and each endpoint as a thread.
Json ToTrace(const Json& events) {
  Json trace = Json::array();
  for (const Json& event : events) {
    trace.push_back({{"name", event.value("kind", "")},
                     {"ph", "i"},
                     {"s", "p"},
                     {"ts", event.value("at", int64_t{0})},
                     {"pid", event.value("gateway", "")},
                     {"tid", event.value("endpoint", "")},
                     {"args", event}});
  }
  return {{"traceEvents", std::move(trace)}};
}

std::string FormatStatus(const Json& answers) {
  std::ostringstream out;
  for (const Json& gateway : answers) {
    out << gateway.value("gateway", "") << ": ";
    if (gateway.contains("error")) {
      out << gateway.value("error", "") << "\n";
      continue;
    }
    out << (gateway.value("ready", false) ? "ready" : "not ready") << ", zone "
        << gateway.value("zone", "") << ", version " << gateway.value("version", uint64_t{0})
        << ", " << gateway.value("members", Json::array()).size() << " members, owns "
        << gateway.value("owned_pools", Json::array()).size() << " pools, "
        << gateway.value("calls", 0) << " calls\n";
    for (const Json& pool : gateway.value("owned_pools", Json::array())) {
      out << "  pool " << FormatScalar(pool.value("pool", Json(""))) << ": "
          << pool.value("lent", 0) << " lent, bound " << pool.value("bound", 0) << " of "
          << pool.value("slots", 0) << " slots\n";
    }
    for (const Json& note : gateway.value("notes", Json::array())) {
      out << "  " << FormatScalar(note) << "\n";
    }
  }
  return out.str();
}

}  // namespace

nlohmann::json MergeTimelines(const nlohmann::json& answers) {
  Json events = Json::array();
  for (const Json& answer : answers) {
    for (const Json& event : answer.value("events", Json::array())) {
      events.push_back(event);
    }
  }
  const auto order = [](const Json& event) {
    return std::tuple(event.value("at", int64_t{0}), event.value("counter", 0),
                      event.value("gateway", ""));
  };
  std::stable_sort(events.begin(), events.end(),
                   [&](const Json& a, const Json& b) { return order(a) < order(b); });
  return events;
}

std::string FormatAnswer(const std::string& command,
                         const nlohmann::json& answer,
                         const std::string& format) {
  if (command == "timeline" && answer.is_array()) {
    const Json events = MergeTimelines(answer);
    if (format == "trace") {
      return ToTrace(events).dump() + "\n";
    }
    return format == "json" ? events.dump(2) + "\n" : FormatEvents(events);
  }
  if (format == "json") {
    return answer.dump(2) + "\n";
  }
  if (command == "status" && answer.is_array()) {
    return FormatStatus(answer);
  }
  std::ostringstream out;
  PrintPlain(answer, "", &out);
  return out.str();
}

}  // namespace jd
