// Reads and checks the settings of the daemon of the tagged transport.
#pragma once

#include "tagged/settings_gen.h"

#include "base/address.h"

namespace gentianspindle {

absl::StatusOr<TaggedSettings>
ParseTaggedSettings(std::string_view aText, std::string_view aFile);

absl::StatusOr<TaggedSettings>
LoadTaggedSettings(const std::string& aPath);

// Converts the text of a setting that was checked before.
Endpoint
EndpointOf(const std::string& aText);

}
