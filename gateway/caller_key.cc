#include "gateway/caller_key.h"

#include <event2/keyvalq_struct.h>
#include <string_view>

#include "net/http_message.h"

namespace jd {
namespace {

constexpr std::string_view kScheme = "Bearer";

// Returns the key of a header value, or an empty string if the value is malformed.
std::string KeyOf(std::string_view value) {
  if (value.size() <= kScheme.size() ||
      !EqualsIgnoreCase(value.substr(0, kScheme.size()), kScheme)) {
    return {};
  }
  const std::string_view rest = value.substr(kScheme.size());
  const size_t begin = rest.find_first_not_of(' ');
  if (begin == 0 || begin == std::string_view::npos) {
    return {};
  }
  const std::string_view key = rest.substr(begin, rest.find_last_not_of(" \t") + 1 - begin);
  return key.find_first_of(" \t,") == std::string_view::npos ? std::string(key) : std::string();
}

}  // namespace

std::optional<std::string> ParseCallerKey(const evkeyvalq* headers) {
  std::optional<std::string> key;
  for (const evkeyval* header = headers->tqh_first; header != nullptr;
       header = header->next.tqe_next) {
    if (EqualsIgnoreCase(header->key, "Authorization")) {
      key = key ? std::string() : KeyOf(header->value);
    }
  }
  return key;
}

}  // namespace jd
