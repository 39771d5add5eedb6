#include "control/operator_output.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>
#include <tuple>

namespace jd {
namespace {

using Json = nlohmann::json;

std::string Scalar(const Json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// Objects become "name: value" lines, lists one item a line.
void PrintPlain(const Json& value, const std::string& indent, std::ostringstream* out) {
  if (value.is_object()) {
    for (const auto& [name, item] : value.items()) {
      if (item.is_structured() && !item.empty()) {
        *out << indent << name << ":\n";
        PrintPlain(item, indent + "  ", out);
      } else {
        *out << indent << name << ": " << Scalar(item) << "\n";
      }
    }
    return;
  }
  if (!value.is_array()) {
    *out << indent << Scalar(value) << "\n";
    return;
  }
  for (const Json& item : value) {
    if (item.is_object()) {
      *out << indent;
      for (const auto& [name, field] : item.items()) {
        *out << name << "=" << Scalar(field) << " ";
      }
      *out << "\n";
    } else {
      PrintPlain(item, indent, out);
    }
  }
}

std::string PrintEvents(const Json& events) {
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

// The JSON object format of trace viewers: instant events, one process for each gateway.
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

std::string PrintStatus(const Json& answers) {
  std::ostringstream out;
  for (const Json& one : answers) {
    out << one.value("gateway", "") << ": ";
    if (one.contains("error")) {
      out << one.value("error", "") << "\n";
      continue;
    }
    out << (one.value("ready", false) ? "ready" : "not ready") << ", zone " << one.value("zone", "")
        << ", version " << one.value("version", uint64_t{0}) << ", "
        << one.value("members", Json::array()).size() << " members, owns "
        << one.value("owned_pools", Json::array()).size() << " pools, " << one.value("calls", 0)
        << " calls\n";
    for (const Json& pool : one.value("owned_pools", Json::array())) {
      out << "  pool " << Scalar(pool.value("pool", Json(""))) << ": " << pool.value("lent", 0)
          << " lent, bound " << pool.value("bound", 0) << " of " << pool.value("slots", 0)
          << " slots\n";
    }
    for (const Json& note : one.value("notes", Json::array())) {
      out << "  " << Scalar(note) << "\n";
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
    return format == "json" ? events.dump(2) + "\n" : PrintEvents(events);
  }
  if (format == "json") {
    return answer.dump(2) + "\n";
  }
  if (command == "status" && answer.is_array()) {
    return PrintStatus(answer);
  }
  std::ostringstream out;
  PrintPlain(answer, "", &out);
  return out.str();
}

}  // namespace jd
