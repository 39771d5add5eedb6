// The platform's store: rows in tables, reads, a feed of changes and transactions.
#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "net.hpp"

namespace kit {

inline std::string Base64(const std::string& in) {
  static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < in.size(); i += 3) {
    uint32_t v = static_cast<uint8_t>(in[i]) << 16;
    v |= i + 1 < in.size() ? static_cast<uint8_t>(in[i + 1]) << 8 : 0;
    v |= i + 2 < in.size() ? static_cast<uint8_t>(in[i + 2]) : 0;
    out += digits[v >> 18 & 63];
    out += digits[v >> 12 & 63];
    out += i + 1 < in.size() ? digits[v >> 6 & 63] : '=';
    out += i + 2 < in.size() ? digits[v & 63] : '=';
  }
  return out;
}

inline std::string Quote(const std::string& text) {
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out += '\\';
    }
    out += c;
  }
  return out + "\"";
}

inline std::string Unescape(const std::string& text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

inline std::string Query(const std::string& target, const std::string& name) {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t end = target.find('&', at + 1);
    const std::string part = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    if (part.rfind(name + "=", 0) == 0) {
      return Unescape(part.substr(name.size() + 1));
    }
    at = end;
  }
  return {};
}

class Store {
 public:
  Store() : fd_(Listen(&port_)) {
    std::thread([this] { Accept(); }).detach();
  }
  uint16_t port() const { return port_; }

  // Writes a row, as its value in plain text.
  void Put(const std::string& table, const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    PutEncoded(table, key, Base64(value));
    changed_.notify_all();
  }
  void Remove(const std::string& table, const std::string& key) {
    const std::lock_guard lock(mutex_);
    if (tables_[table].erase(key) > 0) {
      history_.push_back({++version_, table, key, "", true});
      changed_.notify_all();
    }
  }

 private:
  struct Row {
    std::string value;
    uint64_t version = 0;
  };
  struct Change {
    uint64_t version;
    std::string table;
    std::string key;
    std::string value;
    bool deleted;
  };

  void PutEncoded(const std::string& table, const std::string& key, const std::string& value) {
    tables_[table][key] = {value, ++version_};
    history_.push_back({version_, table, key, value, false});
  }
  void Accept() {
    while (true) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) {
        std::thread([this, fd] { Serve(fd); }).detach();
      }
    }
  }
  void Serve(int fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    Stream stream(fd);
    Message request;
    while (stream.Read(&request, NowMs() + 600'000)) {
      const std::string target = request.Word(1);
      std::string body;
      if (target.rfind("/api/rows-get", 0) == 0) {
        body = Get(Query(target, "table"), Query(target, "from"));
      } else if (target.rfind("/api/rows-feed", 0) == 0) {
        body =
            Feed(Query(target, "table"), std::strtoull(Query(target, "after").c_str(), nullptr, 10),
                 std::atol(Query(target, "wait_ms").c_str()));
      } else if (target.rfind("/api/rows-tx", 0) == 0) {
        body = Transact(request.body);
      } else {
        stream.Write(Response(404, "", ""));
        continue;
      }
      SleepMs(4);
      if (!stream.Write(Response(200, "Content-Type: application/json\r\n", body))) {
        return;
      }
    }
  }
  std::string Tail() const {
    return "\"ver\":" + std::to_string(version_) + ",\"now_ms\":" + std::to_string(NowMs()) + "}";
  }
  static std::string RowText(const std::string& table,
                             const std::string& key,
                             const std::string& value,
                             uint64_t version,
                             bool deleted) {
    std::string text = "{\"table\":" + Quote(table) + ",\"part\":\"\",\"key\":" + Quote(key);
    text += deleted ? ",\"deleted\":true" : ",\"value\":" + Quote(value);
    return text + ",\"ver\":" + std::to_string(version) + "}";
  }
  std::string Get(const std::string& table, const std::string& from) {
    const std::lock_guard lock(mutex_);
    std::string rows;
    int count = 0;
    bool more = false;
    const std::map<std::string, Row>& all = tables_[table];
    for (auto row = all.lower_bound(from); row != all.end(); ++row) {
      if (++count > 500) {
        more = true;
        break;
      }
      rows += (rows.empty() ? "" : ",") +
              RowText(table, row->first, row->second.value, row->second.version, false);
    }
    return "{\"rows\":[" + rows + "],\"has_more\":" + (more ? "true" : "false") + "," + Tail();
  }
  std::string Feed(const std::string& table, uint64_t after, int64_t wait_ms) {
    std::unique_lock lock(mutex_);
    const int64_t until = NowMs() + wait_ms;
    while (true) {
      std::map<std::string, Change> latest;
      for (auto change = history_.rbegin(); change != history_.rend() && change->version > after;
           ++change) {
        if (change->table == table) {
          latest.emplace(change->key, *change);
        }
      }
      if (!latest.empty() || NowMs() >= until) {
        std::map<uint64_t, Change> ordered;
        for (const auto& [key, change] : latest) {
          ordered.emplace(change.version, change);
        }
        std::string rows;
        for (const auto& [version, c] : ordered) {
          rows +=
              (rows.empty() ? "" : ",") + RowText(c.table, c.key, c.value, c.version, c.deleted);
        }
        return "{\"rows\":[" + rows + "]," + Tail();
      }
      changed_.wait_for(lock, std::chrono::milliseconds(until - NowMs()));
    }
  }
  // Reads the string value of a field of a flat JSON object that begins at `at`.
  static std::string Field(const std::string& text, size_t at, const char* name) {
    const std::string key = std::string("\"") + name + "\":\"";
    const size_t begin = text.find(key, at);
    if (begin == std::string::npos) {
      return {};
    }
    const size_t value = begin + key.size();
    return text.substr(value, text.find('"', value) - value);
  }
  // The gateways write one row without a condition; nothing else is supported.
  std::string Transact(const std::string& body) {
    const std::lock_guard lock(mutex_);
    const size_t upserts = body.find("\"upserts\"");
    const size_t key = body.rfind("\"key\"");
    if (upserts != std::string::npos && key != std::string::npos) {
      PutEncoded(Field(body, 0, "table"), Field(body, 0, "key"), Field(body, 0, "value"));
      changed_.notify_all();
    }
    return "{" + Tail();
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, Row>> tables_;
  std::vector<Change> history_;
  uint64_t version_ = 100;
  uint16_t port_ = 0;
  int fd_;
};

}  // namespace kit
