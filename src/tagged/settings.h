// Reads and checks the settings of the daemon of the tagged transport.
#pragma once

#include "tagged/settings_gen.h"

#include "base/address.h"

#include "absl/container/flat_hash_map.h"

namespace gentianspindle {

absl::StatusOr<TaggedSettings>
ParseTaggedSettings(std::string_view aText, std::string_view aFile);

absl::StatusOr<TaggedSettings>
LoadTaggedSettings(const std::string& aPath);

// Reads entries of the form zone=region into the region of each zone. An error
// names the entry that is of another form, or whose zone came before.
absl::StatusOr<absl::flat_hash_map<std::string, std::string>>
ParseRegions(std::span<const std::string> aEntries);

// Converts the text of a setting that was checked before.
Endpoint
EndpointOf(const std::string& aText);

}
