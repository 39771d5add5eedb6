#pragma once

#include <string>
#include <variant>

#include "cluster/peer_message.h"
#include "jackdawdeck_types.h"
#include "rpc/packed_rows.h"

namespace jd {

/// The message in a received envelope.
using ReceivedMessage = std::variant<PeerMessage, OperatorRequest, OperatorReply>;

/// Puts a message into an envelope.
/// @param key the deployment's shared key; empty in all envelopes of a connection but the first.
/// @param packer used by all messages to peers.
wire::Envelope ToEnvelope(const PeerMessage& message, const std::string& key, RowPacker* packer);
wire::Envelope ToEnvelope(const OperatorRequest& request, const std::string& key);
wire::Envelope ToEnvelope(const OperatorReply& reply, const std::string& key);

/// Returns the message in a received envelope. Does not check the key.
/// @throws FrameError if the envelope has no body of a known type, or an enum value is out of
/// range.
ReceivedMessage FromEnvelope(const wire::Envelope& envelope);

/// Compares two keys. The time taken does not depend on where keys of equal length differ, so that
/// it does not reveal to an attacker how much of a guessed key is right.
bool EqualsInConstantTime(const std::string& a, const std::string& b);

}  // namespace jd
