// REFUSED: a late second copy of an endpoint's refusal is taken for the refusal of the next attempt
// of the same request.
#include "world.hpp"

using namespace kit;

namespace {

constexpr double kShedShare = 0.45;  // srv_grey, how "shed": share of requests that are refused.
constexpr double kExtraShare =
    0.03;  // garble, how "extra late": share of answers that are sent twice.
constexpr int kExtraDelayMs = 20;
constexpr int kWorkMs = 40;
constexpr double kSeconds = 80;

}  // namespace

int main(int, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  Record record(std::string(argv[1]) + "/record.txt");
  const std::string folder = TemporaryFolder();
  Store store;
  std::mutex mutex;
  std::mt19937 random(std::random_device{}());
  std::map<std::string, int> runs;
  const auto chance = [&](double share) {
    const std::lock_guard<std::mutex> lock(mutex);
    return std::uniform_real_distribution<double>(0, 1)(random) < share;
  };
  std::unique_ptr<Endpoint> endpoint;
  endpoint = std::make_unique<Endpoint>(
      "i-1", "intake", "nyarugenge", 4,
      [&](const std::shared_ptr<Connection>& connection, const Message& request) {
        const std::string id = Find(request.headers, "Request-Id");
        std::string answer;
        if (Trouble() && chance(kShedShare)) {
          answer = endpoint->Shed(request);
          record.Line("endpoint refuses %s: 503 Not-Executed", id.c_str());
        } else {
          {
            const std::lock_guard<std::mutex> lock(mutex);
            ++runs[id];
          }
          record.Line("endpoint runs %s", id.c_str());
          ++endpoint->running();
          SleepMs(kWorkMs);
          --endpoint->running();
          answer = endpoint->Answer(200, request, "done " + id);
        }
        connection->Write(answer);
        if (Trouble() && chance(kExtraShare)) {
          std::thread([&record, connection, answer, id] {
            SleepMs(kExtraDelayMs);
            record.Line("endpoint sends its last answer to %s once more", id.c_str());
            connection->Write(answer);
          }).detach();
        }
      });
  Heartbeats heartbeats(&store, {endpoint.get()});
  store.Put(
      "op", "config",
      ManifestJson(
          7,
          json::array({RouteJson("r-order", "/order/", "non_idempotent", "intake", 1500, 800, 2)}),
          {"intake"})
          .dump());
  Gateway gateway(folder, store.port(), {});
  gateway.Start();
  if (!gateway.WaitReady(20)) {
    std::printf("the gateway is not ready\n");
    Finish(kCouldNotRun, {&gateway}, folder);
  }
  std::map<std::string, int> answers;
  std::map<int, int> statuses;
  const double until = Now() + kSeconds;
  for (int i = 0; Now() < until; ++i) {
    Request request;
    request.id = "q" + std::to_string(i);
    request.method = "PUT";
    request.path = "/order/x";
    request.body = "order " + request.id;
    record.Line("requester sends %s", request.id.c_str());
    const int status = Send(gateway.front(), request).status;
    record.Line("requester gets %d for %s", status, request.id.c_str());
    answers[request.id] = status;
    ++statuses[status];
  }
  SleepMs(1000);
  int broken = 0;
  const std::lock_guard<std::mutex> lock(mutex);
  for (const auto& [id, count] : runs) {
    const int status = answers[id];
    if (status == 503 || status == 429 || status == 408 || status == 421) {
      ++broken;
      record.Line("REFUSED broken: %s was answered %d and has run", id.c_str(), status);
    }
    if (count > 1) {
      ++broken;
      record.Line("TWICE broken: %s has run %d times", id.c_str(), count);
    }
  }
  for (const auto& [status, count] : statuses) {
    std::printf("requests with status %d: %d\n", status, count);
  }
  std::printf("requests that were answered as not run, and have run: %d\n", broken);
  Finish(broken == 0 ? kHeld : kBroken, {&gateway}, folder);
}
