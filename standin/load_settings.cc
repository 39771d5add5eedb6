#include "standin/load_settings.h"

#include <random>
#include <sstream>
#include <stdexcept>

namespace jd {

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

WeightedNames ParseWeightedNames(const std::string& text) {
  WeightedNames names;
  for (const std::string& part : SplitList(text)) {
    const size_t colon = part.find(':');
    names.emplace_back(part.substr(0, colon),
                       colon == std::string::npos ? 1.0 : std::stod(part.substr(colon + 1)));
  }
  if (names.empty()) {
    throw std::runtime_error("list of names with weights is empty");
  }
  return names;
}

const std::string& LoadPlan::PickWeighted(const WeightedNames& names) {
  double total = 0;
  for (const auto& [name, weight] : names) {
    total += weight;
  }
  double draw = std::uniform_real_distribution<double>(0, total)(random_);
  for (const auto& [name, weight] : names) {
    draw -= weight;
    if (draw < 0) {
      return name;
    }
  }
  return names.back().first;
}

LoadRequest LoadPlan::NextRequest() {
  LoadRequest request;
  const double gap = std::exponential_distribution<double>(settings_.rate)(random_);
  last_arrival_ += Duration(static_cast<int64_t>(gap * 1e6));
  request.arrival = last_arrival_;
  request.id = settings_.id_prefix + "-" + std::to_string(settings_.seed) + "-" +
               std::to_string(++requests_generated_);
  request.service = PickWeighted(settings_.services);
  request.workspace = PickWeighted(settings_.workspaces);
  const bool is_read = std::bernoulli_distribution(settings_.get_share)(random_);
  request.method = is_read ? "GET" : "POST";
  request.path = (is_read ? "/status/" : "/orders/") + std::to_string(requests_generated_);
  if (!is_read) {
    request.body = request.id + std::string(settings_.body_size, '.');
    if (std::bernoulli_distribution(settings_.key_share)(random_)) {
      request.key = "key-" + request.id;
    }
  }
  return request;
}

}  // namespace jd
