#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "common/ids.h"
#include "common/random.h"
#include "common/units.h"
#include "common/vm_list.h"

namespace jd {

/// Registers this gateway in a table of the platform's store and reads the list of registered
/// gateways.
///
/// In a new deployment, where all gateways start at about the same time, a gateway writes its own
/// row before it reads the list, so that of two gateways at least one finds the other. After a
/// restart the row is still there, so a gateway first asks the peers that it hears for the list,
/// then reads it, and writes its row only if the row is missing. The reads are spread over time,
/// and a gateway that has read the list passes it on, so that few of the gateways that start at the
/// same time read it.
///
/// A gateway that joins a running deployment announces itself to all others, which have read the
/// list before.
///
/// A store that is restored from a copy may have lost rows, which nobody but their gateways writes
/// again. The list is therefore read once in each era of the store; known gateways that it lacks
/// are kept.
class GatewayRegistry {
 public:
  enum class Call : uint8_t { kRead, kWrite, kAskPeers };

  /// Delay between the write and the read of the list, within which other gateways that started at
  /// the same time have written their rows too.
  static constexpr Duration kReadDelay = 700ms;
  /// The first read of the list is delayed further by a random time up to this.
  static constexpr Duration kReadSpread = 1500ms;
  /// How long a gateway waits for the list of a peer before it reads the list itself.
  static constexpr Duration kPeerReplyTimeout = 300ms;
  static constexpr Duration kRetryDelay = 1s;

  /// @param new_deployment whether all gateways start for the first time.
  /// @param seed of the random delays.
  GatewayRegistry(Vm self, bool new_deployment, uint64_t seed);

  /// Schedules the first call. Must be called before the other functions.
  void Start(MonoTime now);
  /// Returns the call to make now, if one is due. The caller must report its result with one of the
  /// functions below; kAskPeers has no result.
  std::optional<Call> NextCall(MonoTime now);
  /// Takes a page of the list. The list is in use once its last page has been read.
  /// @param era era of the store that the page was read in.
  /// @param next_key smallest key of the next page; empty if this page is the last one.
  /// @return whether the page was the last one.
  bool OnGatewayPage(MonoTime now,
                     const VmList& page,
                     StoreEra era,
                     const std::string& next_key = {});
  /// Takes the list that a peer has read, which replaces the first own read in an era of the store.
  /// A list without this gateway was read too early and is ignored.
  /// @return whether the list was taken.
  bool OnPeerList(VmList gateways, StoreEra era);
  /// Adds a gateway that has joined, or replaces the one of its name.
  /// @return whether the list changed. A list that is not known yet is read later.
  bool OnGatewayAdded(const Vm& gateway);
  /// Returns whether the others must be told of this gateway: it has joined a running deployment,
  /// and its row is in the list. True once.
  bool TakeAnnouncement();
  /// Schedules a read of the list if it has not been read in this era of the store.
  void OnStoreEra(MonoTime now, StoreEra era);
  void OnRowWritten(MonoTime now);
  void OnCallFailed(MonoTime now);
  /// Smallest key that the next read of the list must return.
  const std::string& page_key() const { return page_key_; }
  /// Returns when NextCall is due.
  std::optional<MonoTime> next_timer() const;

  const Vm& self() const { return self_; }
  /// The gateways in the latest list read, including this one if it was listed.
  const VmList& gateways() const { return gateways_; }
  /// Era of the store in which the list was read.
  StoreEra listed_era() const { return listed_era_; }
  /// The latest known era of the store.
  StoreEra store_era() const { return store_era_; }
  /// Whether the latest list that was read had this gateway's row.
  bool listed() const { return listed_; }
  bool new_deployment() const { return new_deployment_; }

 private:
  void OnGatewayList(MonoTime now, VmList gateways, StoreEra era);
  bool Lists(const VmList& gateways) const;
  /// Takes a list, and keeps the known gateways that a list of a later era lacks.
  void TakeList(VmList gateways, StoreEra era);
  void ForgetPages();
  Duration RandomSpread();

  Vm self_;
  bool new_deployment_;
  RandomEngine random_;
  VmList gateways_;
  VmList pages_;          ///< Gateways of the pages that were read so far.
  std::string page_key_;  ///< Smallest key of the next page.
  StoreEra pages_era_;
  StoreEra listed_era_;
  StoreEra store_era_;
  bool listed_ = false;
  bool was_listed_ = false;  ///< A list that was taken before had this gateway's row.
  bool joins_ = false;  ///< The row of this gateway was written, and the others do not know of it.
  std::optional<MonoTime> due_;
  Call next_call_ = Call::kWrite;
};

}  // namespace jd
