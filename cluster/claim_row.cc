#include "cluster/claim_row.h"

#include <charconv>

#include "common/json_fields.h"

namespace jd {
namespace {

constexpr const char* kHex = "0123456789abcdef";

/// Encodes a response body as hexadecimal text, because JSON text cannot represent every byte.
std::string ToHex(const std::string& bytes) {
  std::string hex;
  hex.reserve(bytes.size() * 2);
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    hex.push_back(kHex[value >> 4U]);
    hex.push_back(kHex[value & 15U]);
  }
  return hex;
}

std::string FromHex(const std::string& hex) {
  std::string bytes;
  bytes.reserve(hex.size() / 2);
  for (size_t i = 0; i + 1 < hex.size(); i += 2) {
    uint8_t value = 0;
    std::from_chars(hex.data() + i, hex.data() + i + 2, value, 16);
    bytes.push_back(static_cast<char>(value));
  }
  return bytes;
}

}  // namespace

std::string ClaimRow::ToJson() const {
  const nlohmann::json json = {{"nonce", nonce},
                               {"fingerprint", fingerprint.value},
                               {"claimed_us", Micros(claimed)},
                               {"done", done},
                               {"status", status},
                               {"content_type", content_type},
                               {"body_hex", ToHex(body)},
                               {"body_kept", body_kept}};
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<ClaimRow> ClaimRow::Parse(const std::string& value) {
  ConfigErrors errors;
  const nlohmann::json json = ParseJson(value, &errors);
  JsonReader reader(json, "", &errors);
  ClaimRow row;
  int64_t claimed = 0;
  std::string hex;
  reader.String("nonce", row.nonce, Need::kRequired);
  const nlohmann::json* fingerprint = reader.FindField("fingerprint", Need::kRequired);
  reader.Int64("claimed_us", claimed, 0, INT64_MAX, Need::kRequired);
  reader.Bool("done", row.done);
  reader.Integer("status", row.status, 0, 999, Need::kOptional);
  reader.String("content_type", row.content_type, Need::kOptional, true);
  reader.String("body_hex", hex, Need::kOptional, true);
  reader.Bool("body_kept", row.body_kept);
  if (!errors.empty() || !fingerprint->is_number_unsigned()) {
    return std::nullopt;
  }
  row.fingerprint = Fingerprint(fingerprint->get<uint64_t>());
  row.claimed = WallFromMicros(claimed);
  row.body = FromHex(hex);
  return row;
}

}  // namespace jd
