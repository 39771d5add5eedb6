#include "cluster/lease.h"

#include <utility>

#include "common/json_fields.h"

namespace jd {
namespace {

struct LeaseRow {
  std::string holder;
  uint64_t fencing = 0;
  std::string nonce;
};

LeaseRow Parse(const std::string& value) {
  ConfigErrors errors;
  const nlohmann::json json = ParseJson(value, &errors);
  JsonReader reader(json, "", &errors);
  LeaseRow row;
  reader.String("holder", row.holder, Need::kRequired);
  reader.Integer("fencing", row.fencing, 0, INT64_MAX, Need::kRequired);
  reader.String("nonce", row.nonce, Need::kRequired);
  return row;
}

}  // namespace

Lease::Lease(std::string name, GatewayId self, uint64_t first_token)
    : key_("lease/" + std::move(name)), self_(std::move(self)), next_token_(first_token) {}

void Lease::OnTimer(MonoTime now, TableCalls* calls) {
  if (now < next_timer_) {
    return;
  }
  next_timer_ = now + kRenewInterval;
  // Starts a new attempt even if a reply to the previous one is still missing after a full
  // interval; that reply is then ignored.
  SendCall(Step::kRead, TableGet{key_}, calls);
}

void Lease::OnTableReply(MonoTime now, uint64_t token, const TableReply& reply, TableCalls* calls) {
  if (token != token_ || step_ == Step::kIdle) {
    return;
  }
  const Step step = std::exchange(step_, Step::kIdle);
  if (step == Step::kRead) {
    OnLeaseRow(now, reply, calls);
  } else if (step == Step::kConfirm) {
    OnConfirm(reply);
  } else if (reply.status == TableStatus::kDone || reply.status == TableStatus::kUnknown) {
    // Read the row back: check() needs its new version, and its nonce shows whether a write whose
    // reply was lost took effect.
    SendCall(Step::kConfirm, TableGet{key_}, calls);
  }
}

void Lease::OnLeaseRow(MonoTime now, const TableReply& reply, TableCalls* calls) {
  if (reply.status != TableStatus::kDone) {
    return;
  }
  const uint64_t version = reply.rows.empty() ? 0 : reply.rows[0].version;
  const LeaseRow row = reply.rows.empty() ? LeaseRow() : Parse(reply.rows[0].value);
  if (held(now) && version == row_version_) {
    Write(now, version, fencing_, calls);
    return;
  }
  held_until_.reset();
  if (version != seen_version_) {
    seen_version_ = version;
    seen_since_ = now;
  }
  if (version == 0 || now - seen_since_ >= Scale(kLeaseDuration, 1.0 + kClockRateMargin)) {
    Write(now, version, row.fencing + 1, calls);
  }
}

void Lease::OnConfirm(const TableReply& reply) {
  if (reply.status != TableStatus::kDone || reply.rows.empty() ||
      Parse(reply.rows[0].value).nonce != nonce_) {
    return;
  }
  row_version_ = reply.rows[0].version;
  fencing_ = pending_fencing_;
  held_until_ = write_sent_ + Scale(kLeaseDuration, 1.0 - kClockRateMargin);
}

void Lease::Write(MonoTime now, uint64_t row_version, uint64_t fencing, TableCalls* calls) {
  write_sent_ = now;
  pending_fencing_ = fencing;
  nonce_ = self_.value + "/" + std::to_string(Micros(now)) + "/" + std::to_string(++writes_);
  const nlohmann::json value = {{"holder", self_.value}, {"fencing", fencing}, {"nonce", nonce_}};
  TableTransaction transaction;
  transaction.checks.push_back({key_, row_version});
  transaction.puts.push_back({key_, value.dump()});
  SendCall(Step::kWrite, std::move(transaction), calls);
}

void Lease::SendCall(Step step, TableRequest request, TableCalls* calls) {
  step_ = step;
  token_ = next_token_++;
  calls->push_back({token_, std::move(request), kRenewInterval});
}

}  // namespace jd
