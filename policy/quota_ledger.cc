#include "policy/quota_ledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jd {
namespace {

// Time constant of the average of the calls per second.
constexpr Duration kAveragePeriod = 500ms;
// Calls for which tokens are requested ahead.
constexpr Duration kAheadPeriod = 150ms;
// Shortest time between two requests for tokens ahead only.
constexpr Duration kAheadInterval = 20ms;
// Delay after which unused tokens are given back, so that many are sent in one message.
constexpr Duration kReturnDelay = 100ms;
// Time without a call after which the account of a workspace is dropped.
constexpr Duration kUnusedAccountLifetime = 3s;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

void SetToEarlier(std::optional<MonoTime>* earliest, MonoTime other) {
  *earliest = std::min(earliest->value_or(other), other);
}

}  // namespace

QuotaAdmission QuotaLedger::Admit(MonoTime now,
                                  const WorkspaceId& workspace,
                                  CallId call,
                                  Duration* retry_after) {
  Account& account = accounts_[workspace];
  account.calls_per_s =
      account.calls_per_s * std::exp(-Seconds(now - account.averaged) / Seconds(kAveragePeriod)) +
      1.0 / Seconds(kAveragePeriod);
  account.averaged = now;
  DropExpired(now, &account);
  if (account.waiting.empty() && TakeToken(now, &account)) {
    return QuotaAdmission::kAdmitted;
  }
  if (now < account.refused_until) {
    ++counts_.calls_refused;
    *retry_after = account.next_token - now;
    return QuotaAdmission::kRefused;
  }
  account.waiting.push_back({call, 0, false, now});
  return QuotaAdmission::kWaiting;
}

void QuotaLedger::Cancel(const WorkspaceId& workspace, CallId call) {
  const auto account = accounts_.find(workspace);
  if (account != accounts_.end()) {
    std::erase_if(account->second.waiting,
                  [call](const WaitingCall& waiting) { return waiting.call == call; });
  }
}

void QuotaLedger::Refund(MonoTime now, const WorkspaceId& workspace) {
  AddReturned(now, 1, &accounts_[workspace]);
}

void QuotaLedger::Charge(MonoTime now, const WorkspaceId& workspace) {
  Account& account = accounts_[workspace];
  DropExpired(now, &account);
  if (!TakeToken(now, &account)) {
    AddReturned(now, -1, &account);
  }
}

std::vector<QuotaDemand> QuotaLedger::TakeDemands(MonoTime now) {
  std::vector<QuotaDemand> demands;
  for (auto& [workspace, account] : accounts_) {
    DropExpired(now, &account);
    QuotaDemand demand;
    demand.workspace = workspace;
    for (WaitingCall& waiting : account.waiting) {
      if (!waiting.asked && waiting.next_event <= now) {
        waiting.asked = true;
        ++waiting.rounds;
        waiting.next_event = now + kReplyTimeout;
        ++demand.needed;
      }
    }
    demand.ahead = AheadDemand(now, demand.needed, &account);
    const bool return_due = account.returned != 0 && account.return_at <= now;
    if (demand.needed > 0 || demand.ahead > 0 || return_due) {
      demand.returned = std::exchange(account.returned, 0);
      counts_.tokens_requested += static_cast<uint64_t>(demand.needed + demand.ahead);
      demands.push_back(std::move(demand));
    }
  }
  return demands;
}

int32_t QuotaLedger::AheadDemand(MonoTime now, int32_t needed, Account* account) {
  if (now < account->refused_until || now < account->next_ahead) {
    return 0;
  }
  const double rate =
      account->calls_per_s * std::exp(-Seconds(now - account->averaged) / Seconds(kAveragePeriod));
  const auto wanted = static_cast<int32_t>(rate * Seconds(kAheadPeriod));
  const int32_t stock = Stock(*account);
  if (stock >= wanted || (needed == 0 && stock > wanted / 2)) {
    return 0;
  }
  account->next_ahead = now + kAheadInterval;
  return wanted - stock;
}

void QuotaLedger::OnLease(MonoTime now,
                          MonoTime request_sent,
                          const QuotaLease& lease,
                          std::vector<Decision>* decisions) {
  Account& account = accounts_[lease.workspace];
  if (lease.granted > 0) {
    counts_.tokens_granted += static_cast<uint64_t>(lease.granted);
    account.leases.push_back({std::min(request_sent, now) + kLeaseLifetime, lease.granted});
  }
  const Duration retry_after = std::min(lease.retry_after, kMaxRetryAfter);
  DropExpired(now, &account);
  int32_t unanswered = lease.needed;
  for (WaitingCall& waiting : std::exchange(account.waiting, {})) {
    const bool asked = waiting.asked && unanswered > 0;
    unanswered -= asked ? 1 : 0;
    if (TakeToken(now, &account)) {
      decisions->push_back({waiting.call, true, Duration(0)});
    } else if (!asked || !RefuseWaiting(now, retry_after, &waiting, decisions)) {
      account.waiting.push_back(waiting);
    }
  }
  if (lease.granted < lease.needed && retry_after > kMaxHold) {
    account.refused_until = now + std::min(retry_after, kMaxLocalRefusal);
    account.next_token = now + retry_after;
  }
}

bool QuotaLedger::RefuseWaiting(MonoTime now,
                                Duration retry_after,
                                WaitingCall* waiting,
                                std::vector<Decision>* decisions) {
  if (retry_after <= kMaxHold && waiting->rounds < kMaxRounds) {
    waiting->asked = false;
    waiting->next_event = now + retry_after;
    return false;
  }
  ++counts_.calls_refused;
  decisions->push_back({waiting->call, false, retry_after});
  return true;
}

std::vector<WorkspaceId> QuotaLedger::OnTimer(MonoTime now, std::vector<Decision>* decisions) {
  std::vector<WorkspaceId> silent;
  for (auto entry = accounts_.begin(); entry != accounts_.end();) {
    Account& account = entry->second;
    DropExpired(now, &account);
    bool timed_out = false;
    for (WaitingCall& waiting : account.waiting) {
      if (!waiting.asked || waiting.next_event > now) {
        continue;
      }
      timed_out = true;
      ++counts_.unanswered;
      waiting.asked = false;
      waiting.next_event = now;
      if (waiting.rounds >= kMaxRounds) {
        ++counts_.calls_refused;
        decisions->push_back({waiting.call, false, kUnansweredRetryAfter});
      }
    }
    if (timed_out) {
      silent.push_back(entry->first);
    }
    std::erase_if(account.waiting, [](const WaitingCall& waiting) {
      return !waiting.asked && waiting.rounds >= kMaxRounds;
    });
    const bool unused = account.waiting.empty() && account.leases.empty() &&
                        account.returned == 0 && now - account.averaged > kUnusedAccountLifetime;
    entry = unused ? accounts_.erase(entry) : std::next(entry);
  }
  return silent;
}

std::optional<MonoTime> QuotaLedger::next_timer() const {
  std::optional<MonoTime> next;
  for (const auto& [workspace, account] : accounts_) {
    for (const WaitingCall& waiting : account.waiting) {
      SetToEarlier(&next, waiting.next_event);
    }
    if (!account.leases.empty()) {
      SetToEarlier(&next, account.leases.front().expires);
    }
    if (account.returned != 0) {
      SetToEarlier(&next, account.return_at);
    }
  }
  return next;
}

void QuotaLedger::DropExpired(MonoTime now, Account* account) {
  while (!account->leases.empty() && account->leases.front().expires <= now) {
    AddReturned(now, account->leases.front().tokens, account);
    account->leases.pop_front();
  }
}

int32_t QuotaLedger::Stock(const Account& account) {
  int32_t tokens = 0;
  for (const Lease& lease : account.leases) {
    tokens += lease.tokens;
  }
  return tokens;
}

bool QuotaLedger::TakeToken(MonoTime now, Account* account) {
  if (account->leases.empty() || account->leases.front().expires <= now) {
    return false;
  }
  if (--account->leases.front().tokens == 0) {
    account->leases.pop_front();
  }
  return true;
}

void QuotaLedger::AddReturned(MonoTime now, int32_t tokens, Account* account) {
  if (account->returned == 0) {
    account->return_at = now + kReturnDelay;
  }
  account->returned += tokens;
}

}  // namespace jd
