#pragma once

#include <span>

#include "gateway/setting_field.h"

namespace jd {

/// The share of one workspace, as written in the file.
struct WorkspaceSetting {
  WorkspaceId id;
  double share = 1.0;
};

// The settings of each table of the file. Reader and documentation both use them, and nothing else
// says what a setting accepts.
std::span<const SettingField<Settings>> GatewayFields();
std::span<const SettingField<ListenAddress>> CallersFields();
std::span<const SettingField<ListenAddress>> StatusFields();
std::span<const SettingField<Settings>> PeersFields();
std::span<const SettingField<PeerSeed>> SeedFields();
std::span<const SettingField<Settings>> PlatformFields();
std::span<const SettingField<Settings>> RetriesFields();
std::span<const SettingField<Settings>> ProbesFields();
std::span<const SettingField<Limits>> LimitsFields();
std::span<const SettingField<WorkspaceSetting>> WorkspaceFields();
std::span<const SettingField<Profile>> ProfileFields();
std::span<const SettingField<Zone>> ZoneFields();
std::span<const SettingField<Service>> ServiceFields();
std::span<const SettingField<WorkspaceShare>> ShareFields();
std::span<const SettingField<Endpoint>> EndpointFields();

}  // namespace jd
