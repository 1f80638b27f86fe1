// Reads and validates the platform settings, which are JSON.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "coordination/settings/platform_settings.hpp"

namespace walkford::protocol {

// Invalid settings. `what()` is one line that names the file or the field.
struct SettingsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Parses the platform settings from JSON text. Appends a line to `notes` for each value that is
// ignored, or accepted although it is below the recommended minimum. The caller logs the notes once
// logging is configured. Throws SettingsError.
PlatformSettings read_platform_settings(const std::string& json_text,
                                        std::vector<std::string>& notes);
// Reads the platform settings from a file. See read_platform_settings().
PlatformSettings load_platform_settings(const std::string& path, std::vector<std::string>& notes);

}  // namespace walkford::protocol
