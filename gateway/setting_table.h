#pragma once

#include <span>

#include "gateway/setting_field.h"

namespace jd {

// These functions return the settings of each table of the file. Both the parser and the
// documentation page use them, and the accepted values of a setting are defined nowhere else.
std::span<const SettingField<Settings>> GatewayFields();
std::span<const SettingField<ListenAddress>> CallersFields();
std::span<const SettingField<ListenAddress>> StatusFields();
std::span<const SettingField<Settings>> PeersFields();
std::span<const SettingField<PeerSeed>> SeedFields();
std::span<const SettingField<Settings>> PlatformFields();
std::span<const SettingField<Settings>> RetriesFields();
std::span<const SettingField<Settings>> ProbesFields();
std::span<const SettingField<Limits>> LimitsFields();
std::span<const SettingField<Workspace>> WorkspaceFields();
std::span<const SettingField<Profile>> ProfileFields();
std::span<const SettingField<Zone>> ZoneFields();
std::span<const SettingField<Service>> ServiceFields();
std::span<const SettingField<WorkspaceShare>> ShareFields();
std::span<const SettingField<Endpoint>> EndpointFields();

}  // namespace jd
