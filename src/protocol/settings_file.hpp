// The platform's JSON settings, checked.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "coordination/settings/platform_settings.hpp"

namespace walkford::protocol {

// One line that names the field.
struct SettingsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Notes are what was ignored, to be logged once logging works.
PlatformSettings read_platform_settings(const std::string& json_text,
                                        std::vector<std::string>& notes);
PlatformSettings load_platform_settings(const std::string& path, std::vector<std::string>& notes);

}  // namespace walkford::protocol
