#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace jd {

/// Returns the TOML text of a chart in the folder `charts`, or an empty text if there is none.
std::string_view EmbeddedChart(std::string_view name);

/// Thrown when a chart's text is malformed or refers to an unknown state.
class ChartError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// A finite state machine read from TOML:
///
///     initial = "idle"
///     final = ["done"]
///     [states.idle]
///     start = { to = "running", action = "send" }
///
/// The chart is immutable and shared; a StateChart::Machine is one run of it.
class StateChart {
 public:
  struct Transition {
    std::string to;
    std::string action;  ///< May be empty.
  };

  /// @throws ChartError if the text is not a valid chart.
  static StateChart Parse(std::string_view toml_text);
  /// Loads an embedded chart. @throws ChartError if there is none of that name.
  static StateChart Load(std::string_view name);

  /// Returns the transition for `event` in `state`, or null if the event is not accepted there.
  const Transition* Find(const std::string& state, const std::string& event) const;
  const std::string& initial() const { return initial_; }
  bool is_final(const std::string& state) const;
  std::vector<std::string> states() const;

  class Machine {
   public:
    explicit Machine(const StateChart& chart) : chart_(&chart), state_(chart.initial()) {}

    /// Takes the transition for `event`.
    /// @return the transition's action, or null if the event is not accepted in this state.
    const std::string* Fire(const std::string& event);
    const std::string& state() const { return state_; }
    bool done() const { return chart_->is_final(state_); }

   private:
    const StateChart* chart_;
    std::string state_;
  };

 private:
  std::string initial_;
  std::vector<std::string> final_;
  std::map<std::string, std::map<std::string, Transition>> states_;
};

}  // namespace jd
