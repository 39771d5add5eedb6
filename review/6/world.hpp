// Small stand-ins for the cases of the second review: the platform's store, endpoints, requesters
// and the processes under test, all on loopback addresses. Header only; needs libc, threads and
// nlohmann-json.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <strings.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace kit {

using nlohmann::json;

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

inline double Now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
inline int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void SleepMs(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}
inline bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// Writes record.txt: one line for each thing that was sent, answered or run.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")), start_(Now()) {
    if (file_ == nullptr) {
      std::exit(kCouldNotRun);
    }
  }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::fprintf(file_, "%9.4f ", Now() - start_);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::FILE* file_;
  double start_;
  std::mutex mutex_;
};

// ---- HTTP/1.1 over blocking sockets ----

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string Find(const Headers& headers, const char* name) {
  for (const auto& [key, value] : headers) {
    if (strcasecmp(key.c_str(), name) == 0) {
      return value;
    }
  }
  return {};
}

struct Message {
  std::string first;  // Request line or status line.
  Headers headers;
  std::string body;
  size_t length = 0;  // Content-Length.
  std::string Word(int index) const {
    size_t begin = 0;
    for (int i = 0; i < index; ++i) {
      begin = first.find(' ', begin);
      if (begin == std::string::npos) {
        return {};
      }
      ++begin;
    }
    return first.substr(begin, first.find(' ', begin) - begin);
  }
  int status() const { return std::atoi(Word(1).c_str()); }
};

class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Connection() { close(fd_); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  int fd() const { return fd_; }

  // Reads more bytes. Returns false at the end of the stream, on an error or after the time.
  bool Fill(double until) {
    const double left = until - Now();
    pollfd event{fd_, POLLIN, 0};
    if (left <= 0 || poll(&event, 1, static_cast<int>(left * 1000) + 1) <= 0) {
      return false;
    }
    char bytes[65536];
    const ssize_t size = recv(fd_, bytes, sizeof(bytes), 0);
    if (size <= 0) {
      return false;
    }
    in_.append(bytes, static_cast<size_t>(size));
    return true;
  }
  bool ReadHead(Message* message, double until) {
    size_t end = 0;
    while ((end = in_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until)) {
        return false;
      }
    }
    *message = Message();
    size_t begin = 0;
    while (begin < end) {
      const size_t eol = std::min(in_.find("\r\n", begin), end);
      const std::string line = in_.substr(begin, eol - begin);
      const size_t colon = line.find(':');
      if (message->first.empty()) {
        message->first = line;
      } else if (colon != std::string::npos) {
        const size_t value = line.find_first_not_of(" \t", colon + 1);
        message->headers.emplace_back(line.substr(0, colon),
                                      value == std::string::npos ? "" : line.substr(value));
      }
      begin = eol + 2;
    }
    in_.erase(0, end + 4);
    message->length = std::strtoull(Find(message->headers, "Content-Length").c_str(), nullptr, 10);
    return true;
  }
  bool ReadBody(Message* message, double until) {
    while (in_.size() < message->length) {
      if (!Fill(until)) {
        return false;
      }
    }
    message->body = in_.substr(0, message->length);
    in_.erase(0, message->length);
    return true;
  }
  bool Read(Message* message, double until) {
    return ReadHead(message, until) && ReadBody(message, until);
  }
  bool Write(const std::string& bytes) {
    const std::lock_guard<std::mutex> lock(write_mutex_);
    size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t size = send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (size <= 0) {
        return false;
      }
      sent += static_cast<size_t>(size);
    }
    return true;
  }
  // Closes with a reset.
  void Reset() {
    const linger now{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    shutdown(fd_, SHUT_RDWR);
  }
  std::string& input() { return in_; }

 private:
  int fd_;
  std::string in_;
  std::mutex write_mutex_;
};

inline std::string Format(const std::string& first,
                          const Headers& headers,
                          const std::string& body) {
  std::string text = first + "\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline sockaddr_in Loopback(uint16_t port, const std::string& ip) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  address.sin_port = htons(port);
  return address;
}
inline sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

inline bool BindsPort(uint16_t port, int* fd) {
  *fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  return bind(*fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
}

// Gives the ports of one block, below the range from which outgoing connections take theirs. The
// first port of the block stays bound, so that other runs at the same time leave the block alone.
inline uint16_t FreePort() {
  constexpr int kBlock = 200;
  static int first = 0;
  static int used = 0;
  int fd = -1;
  while (first == 0) {
    const int block = 11000 + kBlock * std::uniform_int_distribution<int>(
                                           0, 90)(*new std::mt19937(std::random_device{}()));
    if (BindsPort(static_cast<uint16_t>(block), &fd)) {
      first = block;
    } else {
      close(fd);
    }
  }
  while (++used < kBlock) {
    const auto port = static_cast<uint16_t>(first + used);
    const bool free = BindsPort(port, &fd);
    close(fd);
    if (free) {
      return port;
    }
  }
  std::exit(kCouldNotRun);
}

inline std::shared_ptr<Connection> Connect(uint16_t port, const std::string& ip = "127.0.0.1") {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port, ip);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(fd);
    return nullptr;
  }
  return std::make_shared<Connection>(fd);
}

// Accepts connections and serves each in a thread of its own.
class Server {
 public:
  using Handler = std::function<void(std::shared_ptr<Connection>)>;
  Server(uint16_t port, Handler handler, std::string ip = "127.0.0.1")
      : port_(port), ip_(std::move(ip)), handler_(std::move(handler)) {
    Open();
  }
  uint16_t port() const { return port_; }
  // Stops listening and resets all connections, as a killed process would.
  void Close() {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (fd_ >= 0) {
      shutdown(fd_, SHUT_RDWR);
      close(fd_);
      fd_ = -1;
    }
    for (const std::weak_ptr<Connection>& weak : connections_) {
      if (const auto connection = weak.lock()) {
        connection->Reset();
      }
    }
    connections_.clear();
  }
  void Open() {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = Loopback(port_, ip_);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(fd, 512) != 0) {
      std::fprintf(stderr, "cannot listen on port %d\n", port_);
      std::exit(kCouldNotRun);
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      fd_ = fd;
    }
    std::thread([this, fd] {
      while (true) {
        const int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
          return;
        }
        auto connection = std::make_shared<Connection>(accepted);
        {
          const std::lock_guard<std::mutex> lock(mutex_);
          std::erase_if(connections_, [](const auto& weak) { return weak.expired(); });
          connections_.push_back(connection);
        }
        std::thread([this, connection] { handler_(connection); }).detach();
      }
    }).detach();
  }

 private:
  uint16_t port_;
  std::string ip_;
  Handler handler_;
  std::mutex mutex_;
  int fd_ = -1;
  std::vector<std::weak_ptr<Connection>> connections_;
};

// ---- The platform's store ----

inline std::string Base64(const std::string& bytes) {
  static const char* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      group = (group << 8) | (i + j < bytes.size() ? static_cast<uint8_t>(bytes[i + j]) : 0);
    }
    for (size_t j = 0; j < 4; ++j) {
      text += i + j <= bytes.size() ? kDigits[(group >> (18 - 6 * j)) & 63] : '=';
    }
  }
  return text;
}

inline std::string FromBase64(const std::string& text) {
  static const std::string kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string bytes;
  uint32_t group = 0;
  int bits = 0;
  for (const char digit : text) {
    const size_t value = kDigits.find(digit);
    if (value == std::string::npos) {
      break;
    }
    group = (group << 6) | static_cast<uint32_t>(value);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>((group >> bits) & 255);
    }
  }
  return bytes;
}

// Replaces texts of the same length.
inline void ReplaceAll(std::string* bytes, const std::string& from, const std::string& to) {
  for (size_t at = 0; (at = bytes->find(from, at)) != std::string::npos; at += to.size()) {
    bytes->replace(at, from.size(), to);
  }
}

// Gateways listen for each other on addresses of the first network; each knows the others by
// addresses of the second one, on which PeerProxy listens. The texts have the same length.
constexpr const char* kOwnNetwork = "127.0.0.";
constexpr const char* kProxyNetwork = "127.0.1.";

inline std::string Unescape(const std::string& text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i] == '+' ? ' ' : text[i];
    }
  }
  return out;
}

// One store with rows-get, rows-feed and rows-tx. Rows that the operator or the servers write are
// set by Put.
class Store {
 public:
  Store()
      : server_(FreePort(), [this](std::shared_ptr<Connection> c) { Serve(std::move(c), ""); }) {}
  uint16_t port() const { return server_.port(); }
  // Opens a port for one gateway, which sees the addresses of PeerProxy in the rows of all others.
  uint16_t OpenPortFor(const std::string& gateway) {
    doors_.push_back(std::make_unique<Server>(
        FreePort(),
        [this, gateway](std::shared_ptr<Connection> c) { Serve(std::move(c), gateway); }));
    return doors_.back()->port();
  }
  uint64_t Put(const std::string& table, const std::string& key, const std::string& value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    rows_[table][key] = {Base64(value), ++version_, false};
    changed_.notify_all();
    return version_;
  }
  void Drop(const std::string& table, const std::string& key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    rows_[table][key] = {"", ++version_, true};
    changed_.notify_all();
  }

 private:
  struct Row {
    std::string value;
    uint64_t version = 0;
    bool deleted = false;
  };

  static json RowJson(const std::string& table,
                      const std::string& key,
                      const Row& row,
                      const std::string& reader) {
    json value = {{"table", table}, {"part", ""}, {"key", key}, {"ver", row.version}};
    if (row.deleted) {
      value["deleted"] = true;
    } else {
      value["value"] = row.value;
      if (table == "gateways" && !reader.empty() && reader != key) {
        std::string text = FromBase64(row.value);
        ReplaceAll(&text, kOwnNetwork, kProxyNetwork);
        value["value"] = Base64(text);
      }
    }
    return value;
  }
  static int64_t NowMs() { return static_cast<int64_t>(Now() * 1000); }

  void Serve(std::shared_ptr<Connection> connection, const std::string& reader) {
    Message request;
    while (connection->Read(&request, Now() + 600)) {
      int status = 200;
      const json reply = Handle(request, reader, &status);
      if (!connection->Write(Format("HTTP/1.1 " + std::to_string(status) + " X",
                                    {{"Content-Type", "application/json"}}, reply.dump()))) {
        return;
      }
    }
  }
  json Handle(const Message& request, const std::string& reader, int* status) {
    const std::string target = request.Word(1);
    const std::string path = target.substr(0, target.find('?'));
    std::map<std::string, std::string> query;
    size_t at = target.find('?');
    while (at != std::string::npos) {
      const size_t next = target.find('&', at + 1);
      const std::string pair =
          target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
      const size_t equals = pair.find('=');
      query[pair.substr(0, equals)] =
          equals == std::string::npos ? "" : Unescape(pair.substr(equals + 1));
      at = next;
    }
    SleepMs(4);
    std::unique_lock<std::mutex> lock(mutex_);
    if (path == "/api/rows-tx") {
      return Transact(json::parse(request.body), status);
    }
    json rows = json::array();
    if (path == "/api/rows-get") {
      for (const auto& [key, row] : rows_[query["table"]]) {
        if (!row.deleted && key >= query["from"] && (!query.contains("to") || key < query["to"])) {
          rows.push_back(RowJson(query["table"], key, row, reader));
        }
      }
      return {{"rows", rows}, {"has_more", false}, {"ver", version_}, {"now_ms", NowMs()}};
    }
    if (path == "/api/rows-feed") {
      const uint64_t after = std::strtoull(query["after"].c_str(), nullptr, 10);
      const auto until = std::chrono::steady_clock::now() +
                         std::chrono::milliseconds(std::atoi(query["wait_ms"].c_str()));
      const auto collect = [&] {
        std::map<uint64_t, json> ordered;
        for (const auto& [key, row] : rows_[query["table"]]) {
          if (row.version > after) {
            ordered[row.version] = RowJson(query["table"], key, row, reader);
          }
        }
        rows = json::array();
        for (const auto& [version, row] : ordered) {
          rows.push_back(row);
        }
        return !rows.empty();
      };
      while (!collect() && changed_.wait_until(lock, until) == std::cv_status::no_timeout) {
      }
      return {{"rows", rows}, {"ver", version_}, {"now_ms", NowMs()}};
    }
    *status = 404;
    return {{"error", "no such call"}};
  }
  json Transact(const json& body, int* status) {
    for (const json& row : body.value("expect", json::array())) {
      const auto& table = rows_[row.at("table")];
      const auto found = table.find(row.at("key"));
      const uint64_t version =
          found == table.end() || found->second.deleted ? 0 : found->second.version;
      if (version != row.at("ver")) {
        *status = 412;
        return {{"rows", json::array()}, {"ver", version_}, {"now_ms", NowMs()}};
      }
    }
    ++version_;
    for (const json& row : body.value("upserts", json::array())) {
      rows_[row.at("table")][row.at("key")] = {row.at("value"), version_, false};
    }
    for (const json& row : body.value("remove", json::array())) {
      rows_[row.at("table")][row.at("key")] = {"", version_, true};
    }
    changed_.notify_all();
    return {{"ver", version_}, {"now_ms", NowMs()}};
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, Row>> rows_;
  uint64_t version_ = 0;
  Server server_;
  std::vector<std::unique_ptr<Server>> doors_;
};

// ---- Endpoints ----

// One endpoint: answers its health path, refuses other instances' requests, and passes the rest on
// to a function.
class Endpoint {
 public:
  using Handler = std::function<void(const std::shared_ptr<Connection>&, const Message&)>;
  // A handler that gets the head only reads the body itself.
  Endpoint(std::string id,
           std::string service,
           std::string zone,
           int slots,
           Handler handler,
           bool head_only = false,
           const std::string& ip = "127.0.0.1")
      : id_(std::move(id)),
        service_(std::move(service)),
        zone_(std::move(zone)),
        slots_(slots),
        handler_(std::move(handler)),
        head_only_(head_only),
        ip_(ip),
        server_(
            FreePort(),
            [this](std::shared_ptr<Connection> c) { Serve(std::move(c)); },
            ip) {}
  const std::string& id() const { return id_; }
  Server& server() { return server_; }
  std::atomic<int>& running() { return running_; }
  std::string Load() const {
    return std::to_string(running_.load()) + ",0," + std::to_string(slots_);
  }
  std::string Row(const char* state, uint64_t seq) const {
    return json{{"service", service_}, {"address", ip_ + ":" + std::to_string(server_.port())},
                {"zone", zone_},       {"config_version", "v1"},
                {"slots", slots_},     {"state", state},
                {"warmup_left_ms", 0}, {"seq", seq},
                {"born", born_}}
        .dump();
  }
  // An answer of the application, with the endpoint's signature.
  std::string Answer(int status, const Message& request, const std::string& body) const {
    return Format("HTTP/1.1 " + std::to_string(status) + " X",
                  {{"Request-Id", Find(request.headers, "Request-Id")},
                   {"Server-Stamp", "stamp." + id_ + "." + Find(request.headers, "Request-Id")},
                   {"Server-Load", Load()},
                   {"Keep-Alive", "timeout=10"}},
                  body);
  }
  // A refusal: the request was not run.
  std::string Shed(const Message& request) const {
    return Format("HTTP/1.1 503 Service Unavailable",
                  {{"Request-Id", Find(request.headers, "Request-Id")},
                   {"Not-Executed", "1"},
                   {"Server-Load", Load()},
                   {"Keep-Alive", "timeout=10"}},
                  "");
  }

 private:
  void Serve(std::shared_ptr<Connection> connection) {
    Message request;
    while (connection->ReadHead(&request, Now() + 600)) {
      if (!head_only_ && !connection->ReadBody(&request, Now() + 600)) {
        return;
      }
      const std::string expected = Find(request.headers, "Expect-Instance");
      if (!expected.empty() && expected != id_) {
        connection->Write(Format(
            "HTTP/1.1 421 X",
            {{"Request-Id", Find(request.headers, "Request-Id")}, {"Instance-Id", id_}}, ""));
      } else if (request.Word(1) == "/health") {
        connection->Write(Format(
            "HTTP/1.1 200 OK",
            {{"Instance-Id", id_}, {"Server-Load", Load()}, {"Keep-Alive", "timeout=10"}}, ""));
      } else {
        handler_(connection, request);
      }
    }
  }

  std::string id_;
  std::string service_;
  std::string zone_;
  int slots_;
  int64_t born_ = UnixMs();
  Handler handler_;
  bool head_only_;
  std::string ip_;
  std::atomic<int> running_{0};
  Server server_;
};

// Writes the rows of endpoints every 1,500 ms, as their heartbeats do.
class Heartbeats {
 public:
  Heartbeats(Store* store, std::vector<Endpoint*> endpoints) {
    for (Endpoint* endpoint : endpoints) {
      store->Put("servers", endpoint->id(), endpoint->Row("ready", 1));
    }
    std::thread([store, endpoints] {
      for (uint64_t seq = 2;; ++seq) {
        SleepMs(1500);
        for (Endpoint* endpoint : endpoints) {
          store->Put("servers", endpoint->id(), endpoint->Row("ready", seq));
        }
      }
    }).detach();
  }
};

// ---- Processes under test ----

struct GatewayOptions {
  std::string name = "edge-1";
  std::string zone = "nyarugenge";
  int memory_mb = 260;
  bool bootstrap = true;
  int grace_s = 6;
  std::string ip = "127.0.0.1";  // Where it listens for its peers.
};

// A gateway process, started with the command and the settings of the deploy file.
class Gateway {
 public:
  Gateway(std::string folder, uint16_t store, GatewayOptions options)
      : folder_(std::move(folder)),
        store_(store),
        options_(std::move(options)),
        front_(FreePort()),
        ready_(FreePort()),
        peers_(FreePort()) {}
  ~Gateway() { Kill(); }
  uint16_t front() const { return front_; }
  uint16_t peers() const { return peers_; }
  uint16_t ready() const { return ready_; }
  pid_t pid() const { return pid_; }
  const std::string& name() const { return options_.name; }

  void Start() {
    const std::string file = folder_ + "/" + options_.name + ".settings";
    std::ofstream(file) << Settings();
    options_.bootstrap = false;
    const std::string log = folder_ + "/" + options_.name + ".log";
    std::vector<std::string> variables = {"JACKDAWDECK_NODE_FILE=" + file};
    for (const char* name : {"PATH", "HOME", "LANG"}) {
      if (const char* value = std::getenv(name)) {
        variables.push_back(std::string(name) + "=" + value);
      }
    }
    std::vector<char*> environment;
    for (std::string& variable : variables) {
      environment.push_back(variable.data());
    }
    environment.push_back(nullptr);
    char program[] = "target/jackdawdeck";
    char command[] = "gateway";
    char* arguments[] = {program, command, nullptr};
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      execve(program, arguments, environment.data());
      _exit(127);
    }
  }
  void Signal(int number) const {
    if (pid_ > 0) {
      kill(pid_, number);
    }
  }
  // Returns whether the process has ended by itself, and forgets it then.
  bool Ended(int* status) {
    if (pid_ > 0 && waitpid(pid_, status, WNOHANG) == pid_) {
      pid_ = -1;
      return true;
    }
    return false;
  }
  void Kill() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = -1;
    }
  }
  bool Ready() const {
    const auto connection = Connect(ready_);
    Message answer;
    return connection != nullptr &&
           connection->Write("GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n") &&
           connection->Read(&answer, Now() + 1) && answer.status() == 200;
  }
  bool WaitReady(double seconds) const {
    const double until = Now() + seconds;
    while (Now() < until) {
      if (Ready()) {
        return true;
      }
      SleepMs(20);
    }
    return false;
  }
  // Returns a value in MB from /proc/PID/status, such as RssAnon.
  static double MemoryMb(pid_t pid, const char* field) {
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(file, line)) {
      if (line.starts_with(std::string(field) + ":")) {
        return std::atof(line.c_str() + std::strlen(field) + 1) / 1024;
      }
    }
    return 0;
  }

 private:
  std::string Settings() const {
    const auto address = [](uint16_t port) {
      return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
    };
    return "[gateway]\nid = \"" + options_.name + "\"\nzone = \"" + options_.zone +
           "\"\npolicy = \"fresh_load\"\ngrace_ms = 3000\nstop_limit_s = " +
           std::to_string(options_.grace_s) +
           "\nevent_ring = 0\n\n[callers]\nlisten = " + address(front_) +
           "\n[status]\nlisten = " + address(ready_) + "\n[peers]\naddress = \"" + options_.ip +
           "\"\nport = " + std::to_string(peers_) +
           "\nshared_key = \"closed-network-of-the-platform\"\n\n[limits]\nmemory_mb = " +
           std::to_string(options_.memory_mb) + "\n\n[platform]\nserver = " + address(store_) +
           "source = \"discovery\"\nnew_deployment = " + (options_.bootstrap ? "true" : "false") +
           "\n\n[retries]\nshare = 0.2\nwindow_s = 10\n\n[probes]\nper_second = 60\n";
  }

  std::string folder_;
  uint16_t store_;
  GatewayOptions options_;
  uint16_t front_;
  uint16_t ready_;
  uint16_t peers_;
  pid_t pid_ = -1;
};

// Forwards the connections of a gateway's peers to it, and can silence open ones: bytes are
// dropped, nothing is closed, and new connections work.
class PeerProxy {
 public:
  // ip: the gateway's address in the first network.
  PeerProxy(const std::string& ip, uint16_t port, Record* record)
      : target_(ip),
        record_(record),
        server_(
            port,
            [this](std::shared_ptr<Connection> c) { Serve(std::move(c)); },
            kProxyNetwork + ip.substr(std::strlen(kOwnNetwork))),
        port_(port) {}
  // Silences the open connections that this peer has opened.
  int Silence(const std::string& peer) {
    const std::lock_guard<std::mutex> lock(mutex_);
    int count = 0;
    for (const auto& link : links_) {
      if (!link->closed && link->peer == peer) {
        link->silent = true;
        ++count;
      }
    }
    return count;
  }

 private:
  struct Link {
    std::atomic<bool> silent{false};
    std::atomic<bool> closed{false};
    std::string peer;
  };
  void Serve(std::shared_ptr<Connection> from) {
    const std::shared_ptr<Connection> to = Connect(port_, target_);
    if (to == nullptr) {
      return;
    }
    auto link = std::make_shared<Link>();
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      links_.push_back(link);
    }
    std::thread([from, to, link] {
      Pump(to.get(), from.get(), link.get(), nullptr, nullptr);
    }).detach();
    Pump(from.get(), to.get(), link.get(), &mutex_, record_);
  }
  // Forwards bytes. The first message names the sender.
  static void Pump(Connection* from,
                   Connection* to,
                   Link* link,
                   std::mutex* mutex,
                   Record* record) {
    while (from->Fill(Now() + 600)) {
      std::string bytes;
      bytes.swap(from->input());
      const size_t name = bytes.find("edge-");
      if (mutex != nullptr && link->peer.empty() && name != std::string::npos) {
        const std::lock_guard<std::mutex> lock(*mutex);
        link->peer = bytes.substr(name, 6);
        record->Line("proxy: a peer link of %s is open", link->peer.c_str());
      }
      ReplaceAll(&bytes, kOwnNetwork, kProxyNetwork);
      if (!link->silent && !to->Write(bytes)) {
        break;
      }
    }
    link->closed = true;
    shutdown(from->fd(), SHUT_RDWR);
    shutdown(to->fd(), SHUT_RDWR);
  }

  std::string target_;
  Record* record_;
  std::mutex mutex_;
  std::vector<std::shared_ptr<Link>> links_;
  Server server_;
  uint16_t port_;
};

// ---- Requesters ----

struct Request {
  std::string id;
  std::string method = "GET";
  std::string path = "/";
  std::string body;
  int deadline_ms = 3000;
  Headers extra;
};

struct Outcome {
  int status = 0;  // 0: no answer.
  Message message;
  double sent = 0;
  double ended = 0;
};

inline std::string FormatRequest(const Request& request) {
  Headers headers = {{"Host", "shop.example"},
                     {"Request-Id", request.id},
                     {"Request-Deadline", std::to_string(request.deadline_ms)}};
  headers.insert(headers.end(), request.extra.begin(), request.extra.end());
  std::string text = request.method + " " + request.path + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  if (request.method != "GET" || !request.body.empty()) {
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  return text + "\r\n" + request.body;
}

inline Outcome Exchange(Connection* connection, const Request& request) {
  Outcome outcome;
  outcome.sent = Now();
  if (connection != nullptr) {
    connection->Write(FormatRequest(request));
    if (connection->Read(&outcome.message, outcome.sent + request.deadline_ms / 1000.0 + 1)) {
      outcome.status = outcome.message.status();
    }
  }
  outcome.ended = Now();
  return outcome;
}

inline Outcome Send(uint16_t port, const Request& request) {
  const std::shared_ptr<Connection> connection = Connect(port);
  return Exchange(connection.get(), request);
}

// ---- The manifest ----

inline json RouteJson(const std::string& name,
                      const std::string& prefix,
                      const char* kind,
                      const std::string& service,
                      int timeout_ms,
                      int target_ms,
                      int max_attempts) {
  return {{"name", name},  {"hostname", "shop.example"}, {"prefix", prefix},
          {"kind", kind},  {"timeout_ms", timeout_ms},   {"target_latency_ms", target_ms},
          {"priority", 1}, {"service", service},         {"max_attempts", max_attempts}};
}

inline json ManifestJson(uint64_t version, json routes, const std::vector<std::string>& services) {
  json list = json::array();
  for (const std::string& service : services) {
    list.push_back({{"name", service},
                    {"health_path", "/health"},
                    {"max_connections", 260},
                    {"protocol", "h1"},
                    {"tls", false},
                    {"warmup_s", 3.0},
                    {"warmup_per_s", 5.3}});
  }
  return {{"config_version", version},
          {"routes", std::move(routes)},
          {"services", std::move(list)},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 67108864},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}}};
}

// Ends the case: its processes, then this one.
[[noreturn]] inline void Finish(int code,
                                const std::vector<Gateway*>& gateways,
                                const std::string& folder) {
  for (Gateway* gateway : gateways) {
    gateway->Kill();
  }
  if (std::getenv("KEEP") == nullptr) {
    std::filesystem::remove_all(folder);
  } else {
    std::printf("logs are kept in the temporary folder\n");
  }
  std::fflush(stdout);
  _exit(code);
}

inline std::string TemporaryFolder() {
  std::string path = std::filesystem::temp_directory_path() / "review-case-XXXXXX";
  if (mkdtemp(path.data()) == nullptr) {
    std::exit(kCouldNotRun);
  }
  return path;
}

}  // namespace kit
