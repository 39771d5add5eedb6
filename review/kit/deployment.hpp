// Endpoints, gateways and callers of a small deployment on loopback addresses.
#pragma once

#include <fcntl.h>
#include <sys/wait.h>
#include <csignal>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <functional>
#include <memory>
#include <set>
#include <sstream>

#include "net.hpp"
#include "store.hpp"

namespace kit {

// Writes record.txt: what was sent, answered and run, one event a line.
class Recorder {
 public:
  explicit Recorder(const std::string& path) : file_(path) {}
  void Add(const std::string& line) {
    const std::lock_guard lock(mutex_);
    file_ << NowMs() << " " << line << "\n";
    file_.flush();
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

inline int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

struct EndpointOptions {
  std::string service = "ledger";
  std::string zone = "zone-a";
  int slots = 4;
  int queue = 8;
  int work_ms = 100;
};

// Who may run how: each run of a request is counted under its id.
struct Run {
  int64_t at = 0;
  std::string id;
  std::string endpoint;
};

class RunLog {
 public:
  void Add(const std::string& id, const std::string& endpoint) {
    const std::lock_guard lock(mutex_);
    runs_.push_back({NowMs(), id, endpoint});
  }
  std::vector<Run> runs() {
    const std::lock_guard lock(mutex_);
    return runs_;
  }
  int Count(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return static_cast<int>(
        std::count_if(runs_.begin(), runs_.end(), [&](const Run& run) { return run.id == id; }));
  }

 private:
  std::mutex mutex_;
  std::vector<Run> runs_;
};

// A connection on which an answer and a late second copy of another one may be written.
struct SharedStream {
  explicit SharedStream(int fd) : stream(fd) {}
  Stream stream;
  std::mutex mutex;
  bool ended = false;
};

// A server of a service. Registers itself in the store, answers probes, runs requests one per slot.
class Endpoint {
 public:
  // Decides what happens to a request that got a slot; returns true if the endpoint must crash.
  using CrashesOn = std::function<bool(const Message&)>;

  Endpoint(std::string id, EndpointOptions options, Store* store, RunLog* log, Recorder* record)
      : id_(std::move(id)),
        options_(std::move(options)),
        store_(store),
        log_(log),
        record_(record),
        fd_(Listen(&port_)) {
    Register();
    std::thread([this] { Accept(); }).detach();
    std::thread([this] { Beat(); }).detach();
  }
  CrashesOn crashes_on;
  double second_copies = 0;  // Share of the answers that are sent twice.
  std::atomic<int> rejected_probes{0};
  int down_ms = 3000;

  // Crashes, and starts again after a second under the same instance id and address, in another
  // service. Its entry stays meanwhile, because no heartbeat is three intervals late.
  void RestartIn(const std::string& service) {
    {
      const std::lock_guard lock(mutex_);
      record_->Add("crash endpoint=" + InstanceLocked());
      StopLocked();
    }
    SleepMs(1000);
    {
      const std::lock_guard lock(mutex_);
      ++lifetime_;
      options_.service = service;
      fd_ = Listen(&port_);
      up_ = true;
      running_ = waiting_ = 0;
      record_->Add("start endpoint=" + InstanceLocked() + " service=" + service);
    }
    Register();
  }
  std::string instance() {
    const std::lock_guard lock(mutex_);
    return InstanceLocked();
  }
  uint16_t port() const { return port_; }

 private:
  // When the second copy of an answer follows.
  static constexpr int kMinLateMs = 100;
  static constexpr int kMaxLateMs = 600;

  std::string InstanceLocked() const { return id_ + "-" + std::to_string(instance_); }
  std::string RowLocked() {
    return "{\"service\":" + Quote(options_.service) +
           ",\"address\":\"127.0.0.1:" + std::to_string(port_) +
           "\",\"zone\":" + Quote(options_.zone) +
           ",\"config_version\":\"v1\",\"slots\":" + std::to_string(options_.slots) +
           ",\"state\":\"ready\",\"warmup_left_ms\":0,\"seq\":" + std::to_string(++seq_) +
           ",\"born\":" + std::to_string(born_) + "}";
  }
  void Register() {
    const std::lock_guard lock(mutex_);
    born_ = WallMs();
    seq_ = 0;
    store_->Put("servers", InstanceLocked(), RowLocked());
  }
  void Beat() {
    while (true) {
      SleepMs(1500);
      const std::lock_guard lock(mutex_);
      if (up_) {
        store_->Put("servers", InstanceLocked(), RowLocked());
      }
    }
  }
  void Accept() {
    while (true) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        SleepMs(20);
        continue;
      }
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }
  std::string LoadLocked() const {
    return "Server-Load: " + std::to_string(running_) + "," + std::to_string(waiting_) + "," +
           std::to_string(options_.slots) + ",100\r\n";
  }
  // Breaks every connection and closes the port.
  void StopLocked() {
    up_ = false;
    shutdown(fd_, SHUT_RDWR);
    close(fd_);
    fd_ = -1;
    for (Stream* stream : streams_) {
      shutdown(stream->fd(), SHUT_RDWR);
    }
  }
  // Ends the lifetime: every connection breaks, the port is closed for a while, and a new lifetime
  // registers itself. The row of the old one is removed after three heartbeats, as the store does.
  void Crash(int lifetime) {
    {
      const std::lock_guard lock(mutex_);
      if (lifetime != lifetime_ || !up_) {
        return;
      }
      record_->Add("crash endpoint=" + InstanceLocked());
      StopLocked();
      const std::string gone = InstanceLocked();
      std::thread([this, gone] {
        SleepMs(4500);
        store_->Remove("servers", gone);
      }).detach();
    }
    std::thread([this] {
      SleepMs(down_ms);
      {
        const std::lock_guard lock(mutex_);
        ++lifetime_;
        ++instance_;
        port_ = 0;
        fd_ = Listen(&port_);
        up_ = true;
        running_ = waiting_ = 0;
        record_->Add("start endpoint=" + InstanceLocked() + " port=" + std::to_string(port_));
      }
      Register();
    }).detach();
  }
  void Serve(int fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const auto shared = std::make_shared<SharedStream>(fd);
    Stream& stream = shared->stream;
    int lifetime = 0;
    {
      const std::lock_guard lock(mutex_);
      if (!up_) {
        return;
      }
      lifetime = lifetime_;
      streams_.insert(&stream);
    }
    Message request;
    while (stream.Read(&request, NowMs() + 10'000) && Handle(shared, request, lifetime)) {
    }
    {
      const std::lock_guard lock(shared->mutex);
      shared->ended = true;
      shutdown(stream.fd(), SHUT_RDWR);
    }
    const std::lock_guard lock(mutex_);
    streams_.erase(&stream);
  }
  // Writes an answer. A faulty endpoint sends some answers once more, late.
  bool Answer(const std::shared_ptr<SharedStream>& shared, const std::string& text) {
    bool again = false;
    int late_ms = 0;
    {
      const std::lock_guard lock(mutex_);
      again = std::uniform_real_distribution<double>(0, 1)(random_) < second_copies;
      late_ms = std::uniform_int_distribution<int>(kMinLateMs, kMaxLateMs)(random_);
    }
    if (again) {
      std::thread([this, shared, text, late_ms] {
        SleepMs(late_ms);
        const std::lock_guard lock(shared->mutex);
        if (!shared->ended) {
          record_->Add("second copy endpoint=" + id_ + " status=" + text.substr(9, 3) +
                       (text.find("Request-Id") == std::string::npos ? " of a probe" : ""));
          shared->stream.Write(text);
        }
      }).detach();
    }
    const std::lock_guard lock(shared->mutex);
    return shared->stream.Write(text);
  }
  bool Handle(const std::shared_ptr<SharedStream>& shared, const Message& request, int lifetime) {
    Stream* stream = &shared->stream;
    const std::string target = request.Word(1);
    std::unique_lock lock(mutex_);
    if (lifetime != lifetime_ || !up_) {
      return false;
    }
    const std::string common = "Keep-Alive: timeout=10\r\n";
    if (target == "/health" && running_ >= options_.slots && waiting_ >= options_.queue) {
      const std::string head = "Not-Executed: 1\r\n" + LoadLocked() + common;
      ++rejected_probes;
      lock.unlock();
      return Answer(shared, Response(503, head, ""));
    }
    if (target == "/health") {
      const std::string head =
          "Instance-Id: " + InstanceLocked() + "\r\nWarmup-Ms: 0\r\n" + LoadLocked() + common;
      lock.unlock();
      return Answer(shared, Response(200, head, "ok\n"));
    }
    const std::string id = request.Header("Request-Id");
    const std::string echo = "Request-Id: " + id + "\r\n";
    const std::string expected = request.Header("Expect-Instance");
    if (id.empty()) {
      lock.unlock();
      return Answer(shared, Response(400, "Not-Executed: 1\r\n" + common, ""));
    }
    if (!expected.empty() && expected != InstanceLocked()) {
      record_->Add("misdirected id=" + id + " endpoint=" + InstanceLocked());
      const std::string head = echo + "Instance-Id: " + InstanceLocked() + "\r\n" + common;
      lock.unlock();
      return Answer(shared, Response(421, head, ""));
    }
    if (running_ >= options_.slots && waiting_ >= options_.queue) {
      record_->Add("shed id=" + id + " endpoint=" + InstanceLocked());
      const std::string head = echo + "Not-Executed: 1\r\n" + LoadLocked() + common;
      lock.unlock();
      return Answer(shared, Response(503, head, ""));
    }
    ++waiting_;
    while (running_ >= options_.slots) {
      lock.unlock();
      SleepMs(1);
      lock.lock();
      if (lifetime != lifetime_ || !up_) {
        return false;
      }
      if (stream->PeerClosed()) {
        --waiting_;
        return false;
      }
    }
    --waiting_;
    ++running_;
    const std::string instance = InstanceLocked();
    lock.unlock();
    log_->Add(id, instance);
    record_->Add("run id=" + id + " endpoint=" + instance + " target=" + target);
    if (crashes_on && crashes_on(request)) {
      SleepMs(20);
      Crash(lifetime);
      return false;
    }
    const int64_t end = NowMs() + options_.work_ms;
    bool dropped = false;
    while (NowMs() < end && !dropped) {
      SleepMs(std::min<int64_t>(5, end - NowMs()));
      dropped = stream->PeerClosed();
    }
    lock.lock();
    if (lifetime != lifetime_ || !up_) {
      return false;
    }
    --running_;
    const std::string head = echo + "Server-Stamp: stamp." + id + "\r\n" + LoadLocked() + common;
    lock.unlock();
    return !dropped && Answer(shared, Response(200, head, "body of " + id + "\n"));
  }

  std::mutex mutex_;
  std::string id_;
  EndpointOptions options_;
  Store* store_;
  RunLog* log_;
  Recorder* record_;
  uint16_t port_ = 0;
  int fd_;
  int lifetime_ = 1;
  int instance_ = 1;
  bool up_ = true;
  int64_t born_ = 0;
  int seq_ = 0;
  int running_ = 0;
  int waiting_ = 0;
  std::set<Stream*> streams_;
  std::mt19937 random_{std::random_device{}()};
};

struct RouteOptions {
  std::string prefix;
  std::string kind;
  std::string service = "ledger";
  int timeout_ms = 1500;
  int target_latency_ms = 800;
  int max_attempts = 2;
  int priority = 1;
};

inline std::string Manifest(int version,
                            const std::vector<RouteOptions>& routes,
                            const std::vector<std::string>& services) {
  std::string text = "{\"config_version\":" + std::to_string(version) + ",\"routes\":[";
  for (size_t i = 0; i < routes.size(); ++i) {
    const RouteOptions& r = routes[i];
    text += std::string(i == 0 ? "" : ",") + "{\"name\":\"r" + std::to_string(i) +
            "\",\"hostname\":\"shop.example\",\"prefix\":" + Quote(r.prefix) +
            ",\"kind\":" + Quote(r.kind) + ",\"timeout_ms\":" + std::to_string(r.timeout_ms) +
            ",\"target_latency_ms\":" + std::to_string(r.target_latency_ms) +
            ",\"priority\":" + std::to_string(r.priority) + ",\"service\":" + Quote(r.service) +
            ",\"max_attempts\":" + std::to_string(r.max_attempts) + "}";
  }
  text += "],\"services\":[";
  for (size_t i = 0; i < services.size(); ++i) {
    text +=
        std::string(i == 0 ? "" : ",") + "{\"name\":" + Quote(services[i]) +
        ",\"health_path\":\"/health\",\"max_connections\":260,\"protocol\":\"h1\",\"tls\":false,"
        "\"warmup_s\":3.0,\"warmup_per_s\":5.3}";
  }
  return text +
         "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

// A gateway process. Started again after it ends, as the platform does.
class GatewayProcess {
 public:
  struct Place {
    std::string repository;  // Folder in which the program starts.
    std::string folder;      // For settings and logs.
  };

  GatewayProcess(Place place, std::string name, std::string zone, uint16_t store, Recorder* record)
      : place_(std::move(place)), name_(std::move(name)), record_(record) {
    for (uint16_t* port : {&front_, &ready_, &peer_}) {
      held_.push_back(ListenLow(port));
    }
    zone_ = std::move(zone);
    store_ = store;
  }
  ~GatewayProcess() { Stop(); }

  // Starts the process for the first time of the deployment.
  void Start() {
    for (const int fd : held_) {
      close(fd);
    }
    held_.clear();
    Launch(true);
    std::thread([this] { Watch(); }).detach();
  }
  void Signal(int number) {
    const std::lock_guard lock(mutex_);
    if (pid_ > 0) {
      record_->Add("signal " + std::to_string(number) + " gateway=" + name_);
      kill(pid_, number);
    }
  }
  void Stop() {
    {
      const std::lock_guard lock(mutex_);
      stopped_ = true;
      if (pid_ <= 0) {
        return;
      }
      kill(pid_, SIGCONT);
      kill(pid_, SIGKILL);
    }
    while (running()) {
      SleepMs(5);
    }
  }
  bool running() {
    const std::lock_guard lock(mutex_);
    return pid_ > 0;
  }
  // The next end was caused by a signal of the test.
  void ExpectEnd() { expected_ = true; }
  bool Ready() const {
    const int fd = Connect(ready_);
    if (fd < 0) {
      return false;
    }
    Stream stream(fd);
    Message answer;
    return stream.Write("GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n") &&
           stream.Read(&answer, NowMs() + 1000) && answer.status() == 200;
  }
  // How often the process ended by itself.
  int own_ends() const { return own_ends_; }
  uint16_t front() const { return front_; }
  const std::string& name() const { return name_; }

 private:
  void Launch(bool first) {
    const std::string settings = place_.folder + "/" + name_ + ".toml";
    std::ofstream(settings) << "[gateway]\nid = \"" << name_ << "\"\nzone = \"" << zone_
                            << "\"\npolicy = \"fresh_load\"\ngrace_ms = 3000\nevent_ring = 0\n\n"
                            << "[callers]\nlisten = \"127.0.0.1:" << front_ << "\"\n\n"
                            << "[status]\nlisten = \"127.0.0.1:" << ready_ << "\"\n\n"
                            << "[peers]\naddress = \"127.0.0.1\"\nport = " << peer_
                            << "\nshared_key = \"closed-network-of-the-platform\"\n\n"
                            << "[platform]\nserver = \"127.0.0.1:" << store_
                            << "\"\nsource = \"discovery\"\nnew_deployment = "
                            << (first ? "true" : "false")
                            << "\n\n[retries]\nshare = 0.2\nwindow_s = 10\n\n"
                            << "[probes]\nper_second = 60\n";
    const std::string log = place_.folder + "/" + name_ + ".log";
    const std::lock_guard lock(mutex_);
    if (stopped_) {
      return;
    }
    pid_ = fork();
    if (pid_ == 0) {
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, STDOUT_FILENO);
      dup2(out, STDERR_FILENO);
      if (chdir(place_.repository.c_str()) != 0) {
        _exit(126);
      }
      setenv("JACKDAWDECK_NODE_FILE", settings.c_str(), 1);
      execl("target/jackdawdeck", "target/jackdawdeck", "gateway", nullptr);
      _exit(127);
    }
    record_->Add("start gateway=" + name_ + " front=" + std::to_string(front_));
  }
  void Watch() {
    while (true) {
      pid_t pid = 0;
      {
        const std::lock_guard lock(mutex_);
        pid = pid_;
      }
      if (pid <= 0) {
        return;
      }
      int status = 0;
      if (waitpid(pid, &status, 0) != pid) {
        SleepMs(10);
        continue;
      }
      bool again = false;
      {
        const std::lock_guard lock(mutex_);
        again = !stopped_;
        pid_ = -1;
      }
      const bool expected = expected_.exchange(false);
      if (again && !expected) {
        ++own_ends_;
      }
      record_->Add("end gateway=" + name_ + " by_itself=" + (again && !expected ? "1" : "0") +
                   (WIFEXITED(status) ? " exit=" + std::to_string(WEXITSTATUS(status))
                                      : " signal=" + std::to_string(WTERMSIG(status))));
      if (!again) {
        return;
      }
      SleepMs(500);
      Launch(false);
    }
  }

  Place place_;
  std::string name_;
  std::string zone_;
  Recorder* record_;
  uint16_t front_ = 0;
  uint16_t ready_ = 0;
  uint16_t peer_ = 0;
  uint16_t store_ = 0;
  std::vector<int> held_;
  std::mutex mutex_;
  pid_t pid_ = -1;
  bool stopped_ = false;
  std::atomic<bool> expected_{false};
  std::atomic<int> own_ends_{0};
};

struct Answer {
  int status = 0;  // 0: no answer.
  std::string stamp;
  std::string refusal;
  std::string body;
};

// A caller that keeps its connection and sends one request after the other.
class KeptCaller {
 public:
  KeptCaller(uint16_t front, std::string name, std::string path, Recorder* record)
      : front_(front), name_(std::move(name)), path_(std::move(path)), record_(record) {
    thread_ = std::thread([this] { Run(); });
  }
  void Stop() {
    stop_ = true;
    thread_.join();
  }
  // Ids of requests whose connection ended without an answer.
  const std::vector<std::string>& closed() const { return closed_; }
  int answered() const { return answered_; }

 private:
  void Run();

  uint16_t front_;
  std::string name_;
  std::string path_;
  Recorder* record_;
  std::thread thread_;
  std::atomic<bool> stop_{false};
  std::vector<std::string> closed_;
  int answered_ = 0;
};

inline std::string RequestText(const std::string& method,
                               const std::string& path,
                               const std::string& id,
                               int time_limit_ms,
                               const std::string& body) {
  return method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id +
         "\r\nRequest-Deadline: " + std::to_string(time_limit_ms) + "\r\n" +
         (method == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
         "\r\n" + body;
}

inline void KeptCaller::Run() {
  std::unique_ptr<Stream> stream;
  for (int i = 0; !stop_; ++i) {
    if (stream == nullptr) {
      const int fd = Connect(front_);
      if (fd < 0) {
        SleepMs(50);
        continue;
      }
      stream = std::make_unique<Stream>(fd);
    }
    const std::string id = name_ + "-" + std::to_string(i);
    record_->Add("sent id=" + id + " POST " + path_ + " front=" + std::to_string(front_));
    Message answer;
    const bool sent = stream->Write(RequestText("POST", path_, id, 3000, "{}"));
    if (sent && stream->Read(&answer, NowMs() + 4000)) {
      ++answered_;
      record_->Add("answer id=" + id + " status=" + std::to_string(answer.status()));
      if (answer.Header("Connection") == "close") {
        stream.reset();
      }
    } else {
      record_->Add("no answer id=" + id + (stream->timed_out() ? " timed out" : " closed"));
      if (sent && !stream->timed_out()) {
        closed_.push_back(id);
      }
      stream.reset();
    }
    SleepMs(20);
  }
}

// Sends one request on a new connection and reads its answer.
inline Answer Call(uint16_t front,
                   const std::string& method,
                   const std::string& path,
                   const std::string& id,
                   int time_limit_ms,
                   const std::string& body,
                   Recorder* record) {
  Answer result;
  record->Add("sent id=" + id + " " + method + " " + path + " front=" + std::to_string(front));
  const int fd = Connect(front);
  if (fd >= 0) {
    Stream stream(fd);
    Message answer;
    if (stream.Write(RequestText(method, path, id, time_limit_ms, body)) &&
        stream.Read(&answer, NowMs() + time_limit_ms + 1000)) {
      result.status = answer.status();
      result.stamp = answer.Header("Server-Stamp");
      result.refusal = answer.body.substr(0, 120);
      result.body = answer.body;
    }
  }
  std::string text = result.status == 200 ? "" : result.refusal;
  std::replace(text.begin(), text.end(), '\n', ' ');
  record->Add("answer id=" + id + " status=" + std::to_string(result.status) + " " + text);
  return result;
}

}  // namespace kit
