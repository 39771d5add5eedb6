#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace jd {

/// Returns the TOML text of the chart that was embedded from the folder `charts`, or an empty
/// string if there is no chart of that name.
std::string_view EmbeddedChart(std::string_view name);

/// Thrown if no chart has the requested name, or if a chart is malformed or refers to an unknown
/// state.
class ChartError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// The definition of a finite state machine, parsed from TOML:
///
///     initial = "idle"
///     final = ["done"]
///     [states.idle]
///     start = { to = "running", action = "send" }
///
/// A chart is immutable, and several machines can share it; each StateChart::Machine holds its own
/// current state.
class StateChart {
 public:
  struct Transition {
    std::string to;
    std::string action;  ///< Name of the action; empty if there is none.
  };

  /// @throws ChartError if the text is not a valid chart.
  static StateChart Parse(std::string_view toml_text);
  /// Parses an embedded chart.
  /// @throws ChartError if there is no chart of that name or its text is not a valid chart.
  static StateChart Load(std::string_view name);

  /// Returns the transition for `event` in `state`, or null if the state does not accept the event.
  const Transition* FindTransition(const std::string& state, const std::string& event) const;
  const std::string& initial() const { return initial_; }
  bool is_final(const std::string& state) const;
  std::vector<std::string> states() const;

  /// A state machine that follows a chart. The chart must outlive the machine.
  class Machine {
   public:
    explicit Machine(const StateChart& chart) : chart_(&chart), state_(chart.initial()) {}

    /// Takes the transition for `event`.
    /// @return the transition's action, or null if the current state does not accept the event; the
    /// state then stays the same.
    const std::string* Fire(const std::string& event);
    const std::string& state() const { return state_; }
    /// Returns whether the machine is in a final state.
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
