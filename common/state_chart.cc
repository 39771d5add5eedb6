#include "common/state_chart.h"

#include <toml++/toml.h>

#include <algorithm>

namespace jd {
namespace {

StateChart::Transition ParseTransition(const toml::node& node) {
  const toml::table* table = node.as_table();
  if (table == nullptr || !table->contains("to")) {
    throw ChartError("a transition must be a table that contains 'to'");
  }
  StateChart::Transition transition;
  transition.to = (*table)["to"].value_or(std::string());
  transition.action = (*table)["action"].value_or(std::string());
  return transition;
}

}  // namespace

StateChart StateChart::Parse(std::string_view toml_text) {
  StateChart chart;
  toml::table root;
  try {
    root = toml::parse(toml_text);
  } catch (const toml::parse_error& error) {
    throw ChartError(std::string(error.description()));
  }
  chart.initial_ = root["initial"].value_or(std::string());
  if (const toml::array* finals = root["final"].as_array()) {
    for (const toml::node& state : *finals) {
      chart.final_.push_back(state.value_or(std::string()));
    }
  }
  if (const toml::table* states = root["states"].as_table()) {
    for (const auto& [name, node] : *states) {
      auto& transitions = chart.states_[std::string(name.str())];
      const toml::table* table = node.as_table();
      if (table == nullptr) {
        throw ChartError("a state must be a table");
      }
      for (const auto& [event, transition] : *table) {
        transitions[std::string(event.str())] = ParseTransition(transition);
      }
    }
  }
  if (!chart.states_.contains(chart.initial_)) {
    throw ChartError("unknown initial state '" + chart.initial_ + "'");
  }
  for (const auto& [name, transitions] : chart.states_) {
    for (const auto& [event, transition] : transitions) {
      if (!chart.states_.contains(transition.to)) {
        throw ChartError("state '" + name + "', event '" + event + "': unknown target '" +
                         transition.to + "'");
      }
    }
  }
  return chart;
}

StateChart StateChart::Load(std::string_view name) {
  const std::string_view text = EmbeddedChart(name);
  if (text.empty()) {
    throw ChartError("no chart named '" + std::string(name) + "'");
  }
  return Parse(text);
}

const StateChart::Transition* StateChart::FindTransition(const std::string& state,
                                                         const std::string& event) const {
  const auto state_transitions = states_.find(state);
  if (state_transitions == states_.end()) {
    return nullptr;
  }
  const auto transition = state_transitions->second.find(event);
  return transition == state_transitions->second.end() ? nullptr : &transition->second;
}

bool StateChart::is_final(const std::string& state) const {
  return std::find(final_.begin(), final_.end(), state) != final_.end();
}

std::vector<std::string> StateChart::states() const {
  std::vector<std::string> names;
  names.reserve(states_.size());
  for (const auto& [name, transitions] : states_) {
    names.push_back(name);
  }
  return names;
}

const std::string* StateChart::Machine::Fire(const std::string& event) {
  const Transition* transition = chart_->FindTransition(state_, event);
  if (transition == nullptr) {
    return nullptr;
  }
  state_ = transition->to;
  return &transition->action;
}

}  // namespace jd
