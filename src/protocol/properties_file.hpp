// The operators' own settings: Java-style property files, checked.
#pragma once

#include <string>
#include <vector>

#include "coordination/settings/operator_settings.hpp"
#include "protocol/settings_file.hpp"

namespace walkford::protocol {

// Reads the files in order; where two set the same property, the later one counts, and `notes` says
// so. Throws SettingsError with the file and the field.
OperatorSettings load_operator_settings(const std::vector<std::string>& paths,
                                        std::vector<std::string>& notes);

// All properties there are.
std::vector<std::string> property_names();

// Classes of jobs that the properties name and no objective does: accepted, as classes come and go.
void note_unknown_classes(const OperatorSettings& operator_settings,
                          const PlatformSettings& platform_settings,
                          std::vector<std::string>& notes);

}  // namespace walkford::protocol
