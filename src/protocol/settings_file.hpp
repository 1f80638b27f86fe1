// The platform's JSON settings, checked.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "coordination/settings/platform_settings.hpp"

namespace walkford::protocol {

// Settings that can't be used. `what()` is one line that names the file or the field.
struct SettingsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Reads the platform's settings from their JSON text. Appends to `notes` a line for each value that
// is ignored or that is accepted but too small; they are to be logged once logging works. Throws
// SettingsError.
PlatformSettings read_platform_settings(const std::string& json_text,
                                        std::vector<std::string>& notes);
// The same, from a file.
PlatformSettings load_platform_settings(const std::string& path, std::vector<std::string>& notes);

}  // namespace walkford::protocol
